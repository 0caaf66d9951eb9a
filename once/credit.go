package once

import (
	"sync"
	"time"
)

const (
	// minBurst is the number of writes that a VM may accumulate however small its
	// share is: enough for a claim, an outcome and some writes for others.
	minBurst = 4
	// reserve is the number of writes that a VM does not transfer: one for this
	// VM's own update, in case the VM that commits for it is lost.
	reserve = 1
	// depositCapDivisor limits the credit that transfers from others may build up
	// on one VM, to the fleet's writes in one second divided by it.
	depositCapDivisor = 4
)

// credit is this VM's budget of writes to the platform. Each VM accrues the fleet's
// rate divided by the number of VMs in the bundle, and may transfer what it has
// accumulated to the VM that commits for it. The transferred amount is deducted
// here, and is lost if the message is lost. So all VMs together never write more
// than they accrued, whatever their lists of live VMs contain, and the VM that
// commits for many has nearly all of it. It is safe for concurrent use.
type credit struct {
	fleetRate float64 // writes per second of all VMs

	mu      sync.Mutex // guards the fields below; no other lock is taken under it
	rate    float64    // writes per second
	balance float64    // writes that may be sent now
	updated time.Time  // time up to which balance includes the accrued writes
}

func newCredit(fleet, rate float64, now time.Time) *credit {
	return &credit{fleetRate: fleet, rate: rate, updated: now, balance: min(minBurst, rate)}
}

// burst returns the limit up to which writes accrue: those of one second, and at
// least minBurst.
func (c *credit) burst() float64 { return max(minBurst, c.rate) }

// setRate sets the number of writes per second that this VM accrues.
func (c *credit) setRate(rate float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrue(now)
	c.rate = rate
	c.balance = min(c.balance, c.burst())
}

// accrue adds the writes of the time since the last call. It must be called with mu
// held.
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

// take deducts one write. If the balance is too low, it returns false and the
// longest time until one write has accrued.
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

// withdraw deducts and returns up to one write to transfer, without touching the
// reserve.
func (c *credit) withdraw(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrue(now)
	amount := min(c.balance-reserve, 1)
	if amount <= 0 {
		return 0
	}
	c.balance -= amount
	return amount
}

// deposit adds credit that another VM transferred, at most one write at a time.
func (c *credit) deposit(amount float64, now time.Time) {
	if !(amount > 0 && amount <= 1) { // also rejects NaN
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrue(now)
	if limit := c.fleetRate / depositCapDivisor; c.balance < limit {
		c.balance = min(c.balance+amount, limit)
	}
}
