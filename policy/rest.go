package policy

import "time"

// rest keeps attempts away from a replica or a target that does not answer.
type rest struct {
	failures int       // in a row
	failedAt time.Time // when the last one was counted
	until    time.Time // takes no attempt before, unless no other replica does
	refused  time.Time // takes no attempt before, by its own word
}

// Limits of a rest.
const (
	baseRest       = 50 * time.Millisecond
	maxRest        = 2 * time.Second
	maxDoublings   = 6
	failuresToRest = 2 // in a row, before the first rest
)

// fail counts the failure of an attempt; each one in a row makes for a longer
// rest. Attempts that were in flight together count once: a moment's pause of
// the target, or of this VM, ends many of them, and says no more than one does.
func (r *rest) fail(sentAt, now time.Time) {
	if sentAt.Before(r.failedAt) {
		return
	}
	r.failures++
	r.failedAt = now
	if r.failures < failuresToRest {
		return
	}
	d := baseRest << min(r.failures-failuresToRest, maxDoublings)
	r.until = later(r.until, now.Add(min(d, maxRest)))
}

// refuse makes for a rest of at least d. It is not counted as a failure: who
// refuses is alive.
func (r *rest) refuse(now time.Time, d time.Duration) {
	r.refused = later(r.refused, now.Add(max(d, baseRest)))
}

// answered ends the count of failures. A rest under way goes on: it may come
// from a later failure than the answer.
func (r *rest) answered() { r.failures = 0 }

func (r *rest) resting(now time.Time) bool { return now.Before(r.until) || r.refusing(now) }

func (r *rest) refusing(now time.Time) bool { return now.Before(r.refused) }

func (r *rest) end() time.Time { return later(r.until, r.refused) }
