package scatter

import "time"

// cooldown keeps requests away from a leaf or a VM that does not answer.
type cooldown struct {
	failures int // consecutive
	until    time.Time
}

// Lengths of a cooldown. The first failures say little: a leaf breaks off a few answers and
// serves the next request. The longest cooldown stays below the 2 s within which a leaf that
// was only disconnected should be found again.
const (
	baseCooldown       = 60 * time.Millisecond
	maxCooldown        = 1500 * time.Millisecond
	maxDoublings       = 5
	failuresToCooldown = 2
	// silentDoublings is how often the first cooldown after a silence is doubled.
	silentDoublings = 2
)

// recordFailure counts a failure of a request that was sent at sentAt. Requests that were in
// flight together count once: one pause ends many of them and is no more evidence than one
// failure.
func (c *cooldown) recordFailure(sentAt, now time.Time) {
	if sentAt.Before(c.until) {
		return
	}
	c.failures++
	if c.failures < failuresToCooldown {
		return
	}
	c.extend(now, min(baseCooldown<<min(c.failures-failuresToCooldown, maxDoublings), maxCooldown))
}

// recordUnreachable counts that no connection could be made. No process listens at the
// address, so the cooldown begins at once.
func (c *cooldown) recordUnreachable(now time.Time) {
	if now.Before(c.until) {
		return
	}
	c.failures = max(c.failures+1, failuresToCooldown)
	c.extend(now, min(baseCooldown<<min(c.failures-failuresToCooldown+1, maxDoublings), maxCooldown))
}

// recordSilence counts that nothing was received in the whole time of a request, which is many
// times longer than any pause of a leaf. The leaf has stopped without notice, and the next
// request would be lost as well. The cooldown begins at once, and is longer than after a
// failure.
func (c *cooldown) recordSilence(sentAt, now time.Time) {
	if sentAt.Before(c.until) {
		return
	}
	c.failures = max(c.failures+1, failuresToCooldown+silentDoublings)
	c.extend(now, min(baseCooldown<<min(c.failures-failuresToCooldown, maxDoublings), maxCooldown))
}

// startAtLeast starts a cooldown of at least d without counting a failure: a leaf that
// refuses is alive.
func (c *cooldown) startAtLeast(now time.Time, d time.Duration) { c.extend(now, d) }

func (c *cooldown) extend(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(c.until) {
		c.until = until
	}
}

func (c *cooldown) recordAnswer() { c.failures = 0 }

func (c *cooldown) active(now time.Time) bool { return now.Before(c.until) }
