package once

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/once/relay"
)

// Peers sends operations to other VMs, which apply them. It must be safe for
// concurrent use.
type Peers interface {
	// Committer returns the VM that commits the segment with the given name, which
	// means that it updates the segment for all VMs. The bool is false if this VM
	// has to update the segment itself.
	Committer(segment string) (objstore.VM, bool)
	// Commit sends an operation to a VM. It returns when the VM has answered or
	// counts as lost, or when ctx ends. The Reply is set only if the Delivery is
	// relay.Answered.
	Commit(ctx context.Context, vm objstore.VM, req relay.OpRequest) (relay.Reply, relay.Delivery)
}

// relayWaitDivisor divides the time limit of an operation. The result is the time
// after which this VM stops relaying the operation to another VM and updates the
// segment itself. The remaining time is enough for one call of the platform.
const relayWaitDivisor = 2

// dispatcher applies operations by relaying them to other VMs or by this VM's own
// update of the segment, as their relayState decides.
type dispatcher struct {
	committer *committer    // makes this VM's own updates
	peers     Peers         // the other VMs; nil if nothing is relayed
	relayWait time.Duration // longest time for which one operation is relayed before this VM applies it itself
}

// newDispatcher returns a dispatcher that relays through o.Peers and makes this
// VM's own updates through c.
func newDispatcher(o Options, c *committer) *dispatcher {
	return &dispatcher{committer: c, peers: o.Peers, relayWait: o.ClaimWait / relayWaitDivisor}
}

// claim applies a claim to the segment with the given name and waits for its reply.
// After an error, or any verdict but verdictDone, the claim is not won: the caller
// must not hand the request to a target. If the claim is stored all the same, now or
// later, it is removed in the background. claim sets o.barOnRelease if another VM
// may apply the claim later.
func (d *dispatcher) claim(ctx context.Context, name string, o *op) (reply, error) {
	if err := d.committer.admitRelayed(); err != nil {
		return reply{}, errors.Trace(err)
	}
	state := d.newRelayState(ctx)
	rep, decided := d.relay(ctx, name, *o, state)
	d.committer.untrack(false)
	o.barOnRelease = state.mayApplyElsewhere
	if !decided {
		var err error
		if rep, err = d.committer.submit(ctx, name, *o); err != nil {
			return reply{}, errors.Trace(err)
		}
	}
	if state.mustBar(rep.verdict == verdictDone) {
		d.committer.abandon(name, *o)
	}
	return rep, nil
}

// newRelayState returns the state of an operation that is not sent yet. The time
// for relaying it is relayWait, or the time until the deadline of ctx divided by
// relayWaitDivisor if that is shorter.
func (d *dispatcher) newRelayState(ctx context.Context) *relayState {
	now := time.Now()
	wait := d.relayWait
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, end.Sub(now)/relayWaitDivisor)
	}
	return &relayState{relayDeadline: now.Add(wait)}
}

// relay sends the operation to the VM that commits the segment with the given name,
// if that is another VM. It returns the other VM's reply and true, or false if this
// VM has to apply the operation itself.
func (d *dispatcher) relay(ctx context.Context, name string, o op, state *relayState) (reply, bool) {
	if d.peers == nil {
		return reply{}, false
	}
	ctx, cancel := context.WithDeadline(ctx, state.relayDeadline)
	defer cancel()
	vm, remote := d.peers.Committer(name)
	for next := state.start(remote, time.Now()); next == stepRelay; {
		got, delivery := d.peers.Commit(ctx, vm, relay.OpRequest{Segment: name, Op: toRelayOp(o), Credit: d.withdrawCredit})
		rep, ev := fromRelayReply(got, delivery)
		if next = state.next(ev, time.Now()); next == stepEnd {
			d.committer.counters.relayed.Inc()
			return rep, true
		}
	}
	if remote {
		d.committer.counters.fallbacks.Inc()
	}
	return reply{}, false
}

// withdrawCredit takes the credit that a batch transfers to the VM that commits the
// batch's segment: at most one write to the platform out of this VM's budget.
func (d *dispatcher) withdrawCredit() float64 { return d.committer.credit.withdraw(time.Now()) }

// finish starts a completion or a release, which is retried until it succeeds or
// the committer stops. The channel gets the reply, or nothing if the committer stops
// first. The operation may be applied twice, and at any later time. A release with
// barOnRelease is always applied by this VM's own update. If it were relayed, it
// could go to the VM that still has the claim and gave no final answer.
func (d *dispatcher) finish(name string, o op) <-chan reply {
	if d.peers == nil || o.barOnRelease && o.kind == opRelease {
		return d.committer.commitInBackground(name, o)
	}
	done := make(chan reply, 1)
	d.committer.runTracked(func() {
		rep, decided := d.relay(d.committer.ctx, name, o, d.newRelayState(d.committer.ctx))
		if decided {
			done <- rep
			return
		}
		direct := d.committer.commitInBackground(name, o)
		select {
		case rep = <-direct:
			done <- rep
		case <-d.committer.tomb.Dying():
		}
	})
	return done
}
