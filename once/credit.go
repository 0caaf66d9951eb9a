package once

import (
	"sync"
	"time"
)

const (
	// minSaved is how many writes a VM may save up however small its share: a
	// claim, an outcome and some for others.
	minSaved = 4
	// reserved are kept back when writes are passed on: one for this VM's own
	// update, should the VM that commits for it be lost.
	reserved = 1
	// maxSavedParts is the part of the fleet's writes in a second that one VM
	// may hold of what others passed to it.
	maxSavedParts = 4
)

// credit is this VM's right to write to the platform. Each VM earns the fleet's
// rate divided by the number of VMs in the bundle, and may pass what it has
// saved to the VM that commits for it. What is passed on is gone here, and lost
// if the message is. So all VMs together never write more than they earned,
// whatever their lists of live VMs say, and the VM that commits for many has
// nearly all of it. It is safe for concurrent use.
type credit struct {
	fleet float64 // writes per second of all VMs

	mu      sync.Mutex // guards the fields below; no other lock is taken under it
	rate    float64    // writes per second
	balance float64
	at      time.Time // up to which rate is in balance
}

func newCredit(fleet, rate float64, now time.Time) *credit {
	return &credit{fleet: fleet, rate: rate, at: now, balance: min(minSaved, rate)}
}

// earnedMax is up to where earned writes are saved: those of one second.
func (c *credit) earnedMax() float64 { return max(minSaved, c.rate) }

// setRate sets what this VM earns.
func (c *credit) setRate(rate float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earn(now)
	c.rate = rate
	c.balance = min(c.balance, c.earnedMax())
}

// earn must be called with mu held.
func (c *credit) earn(now time.Time) {
	if now.Before(c.at) {
		return
	}
	earned := c.rate * now.Sub(c.at).Seconds()
	c.at = now
	if c.balance < c.earnedMax() {
		c.balance = min(c.balance+earned, c.earnedMax())
	}
}

// take pays for one write, or returns after what time it could be paid for at
// the latest.
func (c *credit) take(now time.Time) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earn(now)
	if c.balance >= 1 {
		c.balance--
		return 0, true
	}
	return time.Duration((1 - c.balance) / c.rate * float64(time.Second)), false
}

// give returns up to one write to be passed on, none of the reserve.
func (c *credit) give(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earn(now)
	given := min(c.balance-reserved, 1)
	if given <= 0 {
		return 0
	}
	c.balance -= given
	return given
}

// receive adds what another VM passed on, at most one write at a time.
func (c *credit) receive(given float64, now time.Time) {
	if !(given > 0 && given <= 1) { // NaN is neither
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earn(now)
	if limit := c.fleet / maxSavedParts; c.balance < limit {
		c.balance = min(c.balance+given, limit)
	}
}
