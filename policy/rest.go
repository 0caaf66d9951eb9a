package policy

import "time"

// cooldown keeps attempts away from a replica or a target that does not answer.
type cooldown struct {
	failures     int       // in a row
	failedAt     time.Time // when the last one was counted
	until        time.Time // takes no attempt before, unless no other replica does
	refusedUntil time.Time // takes no attempt before, by its own word
}

// Limits of a rest.
const (
	baseCooldown       = 50 * time.Millisecond
	maxCooldown        = 2 * time.Second
	maxDoublings       = 6
	failuresToCooldown = 2 // in a row, before the first rest
)

// recordFailure counts the failure of an attempt; each one in a row makes for a longer
// rest. Attempts that were in flight together count once: a moment's pause of
// the target, or of this VM, ends many of them, and says no more than one does.
func (r *cooldown) recordFailure(sentAt, now time.Time) {
	if sentAt.Before(r.failedAt) {
		return
	}
	r.failures++
	r.failedAt = now
	if r.failures < failuresToCooldown {
		return
	}
	d := baseCooldown << min(r.failures-failuresToCooldown, maxDoublings)
	r.until = later(r.until, now.Add(min(d, maxCooldown)))
}

// recordRefusal makes for a rest of at least d. It is not counted as a failure: who
// refuses is alive.
func (r *cooldown) recordRefusal(now time.Time, d time.Duration) {
	r.refusedUntil = later(r.refusedUntil, now.Add(max(d, baseCooldown)))
}

// recordAnswer ends the count of failures. A rest under way goes on: it may come
// from a later failure than the answer.
func (r *cooldown) recordAnswer() { r.failures = 0 }

func (r *cooldown) active(now time.Time) bool { return now.Before(r.until) || r.refusing(now) }

func (r *cooldown) refusing(now time.Time) bool { return now.Before(r.refusedUntil) }

func (r *cooldown) end() time.Time { return later(r.until, r.refusedUntil) }
