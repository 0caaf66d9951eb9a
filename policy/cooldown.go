package policy

import "time"

// cooldown keeps attempts away from a replica or a target that fails or refuses.
type cooldown struct {
	failures     int       // failures in a row
	failedAt     time.Time // when the latest failure was counted
	failedUntil  time.Time // end of the cooldown after failures; until then attempts are sent only if no other replica is available
	refusedUntil time.Time // end of the cooldown after a refusal; until then no attempts are sent
}

// Limits of a cooldown.
const (
	// baseCooldown is the length of the first cooldown of a replica or target after failures.
	// A cooldown after a refusal lasts until the refusal allows a retry, but at least
	// baseCooldown.
	baseCooldown         = 50 * time.Millisecond
	maxCooldown          = 2 * time.Second // length of the longest cooldown of a replica or target after failures
	maxCooldownDoublings = 6               // upper bound of how often a cooldown after failures is doubled
	failuresToCooldown   = 2               // number of failures in a row after which the first cooldown starts
)

// recordFailure counts the failure of an attempt that was sent at sentAt. The first
// cooldown starts after failuresToCooldown failures in a row. Each further failure
// doubles the cooldown, up to maxCooldown. Attempts that were in flight at the same
// time count once: a short pause of the target or of this VM fails many of them and
// shows no more than one failure does.
func (c *cooldown) recordFailure(sentAt, now time.Time) {
	if sentAt.Before(c.failedAt) {
		return
	}
	c.failures++
	c.failedAt = now
	if c.failures < failuresToCooldown {
		return
	}
	d := baseCooldown << min(c.failures-failuresToCooldown, maxCooldownDoublings)
	c.failedUntil = later(c.failedUntil, now.Add(min(d, maxCooldown)))
}

// recordRefusal starts a cooldown of at least d, the time after which the refusal allows a
// retry. A refusal is not counted as a failure: a replica or target that refuses is alive.
func (c *cooldown) recordRefusal(now time.Time, d time.Duration) {
	c.refusedUntil = later(c.refusedUntil, now.Add(max(d, baseCooldown)))
}

// recordAnswer resets the count of failures. An active cooldown continues, since it
// may come from a failure later than the answer.
func (c *cooldown) recordAnswer() { c.failures = 0 }

// active reports whether a cooldown after failures or a refusal has not ended.
func (c *cooldown) active(now time.Time) bool { return now.Before(c.failedUntil) || c.refusing(now) }

// refusing reports whether a cooldown after a refusal has not ended.
func (c *cooldown) refusing(now time.Time) bool { return now.Before(c.refusedUntil) }

// end returns when the cooldown after failures and the one after a refusal have both ended, which
// may be in the past. It returns the zero time if there was no cooldown.
func (c *cooldown) end() time.Time { return later(c.failedUntil, c.refusedUntil) }
