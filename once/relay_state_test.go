package once

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestRelayStateProperties guards against an operation that is relayed without end, and
// against a claim that another VM adds after it was given up. It draws random events.
// An operation must be relayed only until relayDeadline, and never again after a
// missing answer. It must always end with a final verdict or this VM's own update. Once
// another VM may apply the operation, mayApplyElsewhere must stay set.
func TestRelayStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		begin := time.Unix(1700000000, 0)
		now := begin
		state := &relayState{relayDeadline: begin.Add(time.Second)}
		next := state.start(rapid.Bool().Draw(t, "remote"), now)
		mayApply := false
		for next == stepRelay {
			g.Expect(now).To(BeTemporally("<", state.relayDeadline))
			e := event(rapid.IntRange(int(eventDecided), int(eventUnknown)).Draw(t, "event"))
			now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
			next = state.next(e, now)
			mayApply = mayApply || e == eventUnknown || e == eventUndecided
			g.Expect(state.mayApplyElsewhere).To(Equal(mayApply))
			switch e {
			case eventDecided:
				g.Expect(next).To(Equal(stepEnd))
			case eventUndecided:
				g.Expect(next).NotTo(Equal(stepEnd))
			default:
				g.Expect(next).To(Equal(stepDirect))
			}
		}
		g.Expect(state.mustBar(true)).To(BeFalse(), "a claim that was won is not barred")
		g.Expect(state.mustBar(false)).To(Equal(mayApply))
	})
}

// TestCreditIsConserved guards against a fleet that writes more than the platform
// accepts. VMs transfer credit to any other VM, and some transfers are lost. Together
// they must never write more than they earned, and no VM may hold more than its limit.
func TestCreditIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const fleetRate = 280.0
		vms := rapid.SampledFrom([]int{1, 7, 950}).Draw(t, "vms")
		begin := time.Unix(1700000000, 0)
		now := begin
		credits := make([]*credit, min(vms, 7))
		for i := range credits {
			credits[i] = newCredit(fleetRate, fleetRate/float64(vms), now)
		}
		written := 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			c := credits[rapid.IntRange(0, len(credits)-1).Draw(t, "vm")]
			switch rapid.IntRange(0, 2).Draw(t, "do") {
			case 0:
				wait, ok := c.take(now)
				if ok {
					written++
				} else {
					_, ok = c.take(now.Add(wait + time.Millisecond))
					g.Expect(ok).To(BeTrue(), "the wait was too short")
					now = now.Add(wait + time.Millisecond)
					written++
				}
			case 1:
				amount := c.withdraw(now)
				g.Expect(amount).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1)))
				credits[rapid.IntRange(0, len(credits)-1).Draw(t, "to")].deposit(amount, now)
			case 2:
				c.withdraw(now) // the transfer is lost
			}
			rate := fleetRate / float64(vms)
			earned := float64(len(credits)) * (min(minBurstWrites, rate) + rate*now.Sub(begin).Seconds())
			g.Expect(written).To(BeNumerically("<=", earned+1e-6))
			g.Expect(c.balance).To(BeNumerically("<=", max(minBurstWrites, rate, fleetRate/depositCapDivisor)))
		}
	})
}
