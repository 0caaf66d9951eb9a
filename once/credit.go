package once

import (
	"sync"
	"time"
)

const (
	// minBurstWrites is the number of unused writes to the platform that a VM may
	// always save for later, even if its part of the fleet's writes per second is
	// smaller. It is enough for a claim, an outcome and some writes for other VMs.
	minBurstWrites = 4
	// reservedWrites is the number of saved writes that a VM does not transfer to
	// other VMs: one for this VM's own update of a segment, in case the VM that
	// commits for it is lost.
	reservedWrites = 1
	// depositCapDivisor limits the writes that a VM holds by transfers from other
	// VMs: a transfer raises its balance at most to the number of writes that the
	// whole fleet may send in one second, divided by depositCapDivisor.
	depositCapDivisor = 4
)

// credit is this VM's budget of writes (conditional updates) to the platform. The
// unit is one write. Each VM earns writes at the fleet's rate divided by the number
// of VMs that Runner.SetFleetSize sets. It may transfer unused writes to the VM that
// commits for it. The transferred amount is deducted here, and is lost if the message
// is lost. So all VMs together never write more than they earned, whatever their
// lists of live VMs contain, and a VM that commits for many others gets most of their
// unused writes. It is safe for concurrent use.
type credit struct {
	fleetRate float64 // writes per second that all VMs together may send

	mu      sync.Mutex // guards the fields below; no other lock is taken under it
	rate    float64    // writes per second that this VM earns
	balance float64    // writes that this VM may send now
	updated time.Time  // time up to which balance includes the earned writes
}

// newCredit returns the budget of a VM that earns rate writes per second, in a
// fleet that may send fleetRate writes per second.
func newCredit(fleetRate, rate float64, now time.Time) *credit {
	return &credit{fleetRate: fleetRate, rate: rate, updated: now, balance: min(minBurstWrites, rate)}
}

// burst returns the balance, in writes, up to which this VM earns further writes:
// the writes that it earns in one second, but at least minBurstWrites. It must be
// called with mu held.
func (c *credit) burst() float64 { return max(minBurstWrites, c.rate) }

// setRate sets the number of writes per second that this VM earns from now on, and
// cuts the balance to the new burst.
func (c *credit) setRate(rate float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrue(now)
	c.rate = rate
	c.balance = min(c.balance, c.burst())
}

// accrue adds to the balance the writes that this VM earned since the last call of
// accrue, up to burst. It must be called with mu held.
func (c *credit) accrue(now time.Time) {
	if now.Before(c.updated) {
		return
	}
	earned := c.rate * now.Sub(c.updated).Seconds()
	c.updated = now
	// Transfers may have raised the balance above burst; it is not cut back here.
	if c.balance < c.burst() {
		c.balance = min(c.balance+earned, c.burst())
	}
}

// take deducts one write and returns true. If the balance is below one write, it
// deducts nothing and returns false with the time until the VM has earned the
// missing part; a transfer from another VM may shorten this time.
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

// withdraw deducts the amount to transfer to another VM, in writes, and returns it.
// The amount is at most one write and leaves at least reservedWrites in the
// balance.
func (c *credit) withdraw(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrue(now)
	amount := min(c.balance-reservedWrites, 1)
	if amount <= 0 {
		return 0
	}
	c.balance -= amount
	return amount
}

// deposit adds the amount that another VM transferred, in writes. An amount above
// one write is ignored, and the balance is raised at most to the fleet's writes in
// one second divided by depositCapDivisor.
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
