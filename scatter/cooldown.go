package scatter

import "time"

// cooldown keeps requests away from a leaf or a VM that does not answer.
type cooldown struct {
	failures int // in a row
	until    time.Time
}

// Lengths of a cooldown. The first failures say little: a leaf breaks off a few answers
// and serves the next. The longest stays below the 2 s within which a leaf that
// was only cut off should be found again.
const (
	baseCooldown       = 60 * time.Millisecond
	maxCooldown        = 1500 * time.Millisecond
	maxDoublings       = 5
	failuresToCooldown = 2
	// silentDoublings lengthen the first cooldown after a silence.
	silentDoublings = 2
)

// recordFailure counts a failure of a request that was sent at sentAt. Those in flight
// together count once: one pause ends many and says no more than one does.
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

// recordUnreachable counts that no connection could be made. Nobody is there, so the
// cooldown begins at once.
func (c *cooldown) recordUnreachable(now time.Time) {
	if now.Before(c.until) {
		return
	}
	c.failures = max(c.failures+1, failuresToCooldown)
	c.extend(now, min(baseCooldown<<min(c.failures-failuresToCooldown+1, maxDoublings), maxCooldown))
}

// recordSilence counts that nothing came for all the time of a request, many times longer than
// any pause of a leaf: it is gone without a word, and the next request would be lost as
// well. The cooldown begins at once, and is longer than after a failure.
func (c *cooldown) recordSilence(sentAt, now time.Time) {
	if sentAt.Before(c.until) {
		return
	}
	c.failures = max(c.failures+1, failuresToCooldown+silentDoublings)
	c.extend(now, min(baseCooldown<<min(c.failures-failuresToCooldown, maxDoublings), maxCooldown))
}

// recordRefusal makes for a cooldown of at least d without counting a failure: who refuses is
// alive.
func (c *cooldown) recordRefusal(now time.Time, d time.Duration) { c.extend(now, d) }

func (c *cooldown) extend(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(c.until) {
		c.until = until
	}
}

func (c *cooldown) recordAnswer() { c.failures = 0 }

func (c *cooldown) active(now time.Time) bool { return now.Before(c.until) }
