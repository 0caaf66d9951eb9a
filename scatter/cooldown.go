package scatter

import "time"

// cooldown keeps requests away from a leaf or a VM for a while after it failed, refused or did
// not answer.
type cooldown struct {
	failures int       // consecutive failures; one that starts a cooldown at once may count as several
	until    time.Time // end of the latest cooldown, zero if there was none
}

// Lengths of a cooldown: the time for which a leaf or VM gets no requests after failures. Each
// further consecutive failure doubles the length.
const (
	// baseCooldown is the length of the first cooldown of a leaf or VM, after
	// failuresToCooldown consecutive failures. During a cooldown it gets no requests.
	baseCooldown = 60 * time.Millisecond
	// maxCooldown is the longest time for which a leaf or VM gets no requests after
	// failures. It stays below the 2 s within which a leaf that was only disconnected should
	// be found again.
	maxCooldown = 1500 * time.Millisecond
	// maxPauseDoublings is how often the length of a cooldown, or the pause between probes
	// of a suspect leaf or VM, is doubled at most.
	maxPauseDoublings = 5
	// failuresToCooldown is the number of consecutive failures that start a cooldown. One
	// failure is no reason to avoid a leaf: a leaf that broke off an answer mostly serves
	// the next request.
	failuresToCooldown = 2
	// minSilenceDoublings is how often baseCooldown is doubled at least for the cooldown
	// after a request that got no answer in the time allowed for it.
	minSilenceDoublings = 2
)

// recordFailure counts a failure of a request that was sent at sentAt. It starts a cooldown if
// there were failuresToCooldown consecutive failures or more. Failures of requests that were sent
// before the end of the latest cooldown don't count: one pause of a leaf makes all requests fail
// that are in flight together, which is no more evidence than one failure.
func (c *cooldown) recordFailure(sentAt, now time.Time) {
	if sentAt.Before(c.until) {
		return
	}
	c.failures++
	if c.failures < failuresToCooldown {
		return
	}
	c.extend(now, min(baseCooldown<<min(c.failures-failuresToCooldown, maxPauseDoublings), maxCooldown))
}

// recordUnreachable records that no connection could be made. No process listens at the
// address, so a cooldown of twice baseCooldown or more begins at once. During a cooldown it
// changes nothing.
func (c *cooldown) recordUnreachable(now time.Time) {
	if now.Before(c.until) {
		return
	}
	c.failures = max(c.failures+1, failuresToCooldown)
	c.extend(now, min(baseCooldown<<min(c.failures-failuresToCooldown+1, maxPauseDoublings), maxCooldown))
}

// recordSilence records that a request that was sent at sentAt got no answer in the time allowed
// for it. That time is many times longer than any pause of a leaf. So the leaf has stopped without
// notice, and the next request would be lost as well. The cooldown begins at once, and is longer
// than after a failure.
func (c *cooldown) recordSilence(sentAt, now time.Time) {
	if sentAt.Before(c.until) {
		return
	}
	c.failures = max(c.failures+1, failuresToCooldown+minSilenceDoublings)
	c.extend(now, min(baseCooldown<<min(c.failures-failuresToCooldown, maxPauseDoublings), maxCooldown))
}

// startAtLeast starts a cooldown of at least d after a refusal. It counts no failure, since a
// leaf that refuses is alive.
func (c *cooldown) startAtLeast(now time.Time, d time.Duration) { c.extend(now, d) }

// extend moves the end of the cooldown to d from now, unless it already ends later.
func (c *cooldown) extend(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(c.until) {
		c.until = until
	}
}

// recordAnswer ends the series of consecutive failures. A cooldown in progress goes on.
func (c *cooldown) recordAnswer() { c.failures = 0 }

// active reports whether a cooldown is in progress.
func (c *cooldown) active(now time.Time) bool { return now.Before(c.until) }
