package once

import (
	"sync"
	"time"
)

const (
	// minBurst is how many writes a VM may save up however small its share: a
	// claim, an outcome and some for others.
	minBurst = 4
	// reserve are kept back when writes are passed on: one for this VM's own
	// update, should the VM that commits for it be lost.
	reserve = 1
	// depositCapDivisor is the part of the fleet's writes in a second that one VM
	// may hold of what others passed to it.
	depositCapDivisor = 4
)

// credit is this VM's right to write to the platform. Each VM earns the fleet's
// rate divided by the number of VMs in the bundle, and may pass what it has
// saved to the VM that commits for it. What is passed on is gone here, and lost
// if the message is. So all VMs together never write more than they earned,
// whatever their lists of live VMs say, and the VM that commits for many has
// nearly all of it. It is safe for concurrent use.
type credit struct {
	fleetRate float64 // writes per second of all VMs

	mu      sync.Mutex // guards the fields below; no other lock is taken under it
	rate    float64    // writes per second
	balance float64
	updated time.Time // up to which rate is in balance
}

func newCredit(fleet, rate float64, now time.Time) *credit {
	return &credit{fleetRate: fleet, rate: rate, updated: now, balance: min(minBurst, rate)}
}

// burst is up to where earned writes are saved: those of one second.
func (c *credit) burst() float64 { return max(minBurst, c.rate) }

// setRate sets what this VM earns.
func (c *credit) setRate(rate float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrue(now)
	c.rate = rate
	c.balance = min(c.balance, c.burst())
}

// accrue must be called with mu held.
func (c *credit) accrue(now time.Time) {
	if now.Before(c.updated) {
		return
	}
	earned := c.rate * now.Sub(c.updated).Seconds()
	c.updated = now
	if c.balance < c.burst() {
		c.balance = min(c.balance+earned, c.burst())
	}
}

// take pays for one write, or returns after what time it could be paid for at
// the latest.
func (c *credit) take(now time.Time) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrue(now)
	if c.balance >= 1 {
		c.balance--
		return 0, true
	}
	return time.Duration((1 - c.balance) / c.rate * float64(time.Second)), false
}

// withdraw returns up to one write to be passed on, none of the reserve.
func (c *credit) withdraw(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrue(now)
	given := min(c.balance-reserve, 1)
	if given <= 0 {
		return 0
	}
	c.balance -= given
	return given
}

// deposit adds what another VM passed on, at most one write at a time.
func (c *credit) deposit(given float64, now time.Time) {
	if !(given > 0 && given <= 1) { // NaN is neither
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrue(now)
	if limit := c.fleetRate / depositCapDivisor; c.balance < limit {
		c.balance = min(c.balance+given, limit)
	}
}
