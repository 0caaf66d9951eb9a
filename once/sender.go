package once

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/once/relay"
)

// Peers have operations carried out by other VMs.
type Peers interface {
	// Committer returns the VM that commits a segment, and false if this VM does.
	Committer(segment string) (objstore.VM, bool)
	// Commit has an operation carried out by a VM. It returns when that VM has
	// answered or counts as lost, or ctx ends.
	Commit(ctx context.Context, vm objstore.VM, a relay.OpRequest) (relay.Reply, relay.Delivery)
}

// relayWaitDivisor is the part of the time for a claim that may pass before this VM
// goes to the platform by itself. The other part holds one call of it.
const relayWaitDivisor = 2

// dispatcher carries operations out on the way that their course takes.
type dispatcher struct {
	committer *committer
	peers     Peers
	relayWait time.Duration // for relaying
}

func newDispatcher(o Options, commit *committer) *dispatcher {
	return &dispatcher{committer: commit, peers: o.Peers, relayWait: o.ClaimWait / relayWaitDivisor}
}

// claim carries out a claim and waits for its reply. After an error, or a reply
// that gives the key to another, the caller must hand nothing over; a claim
// that landed, or may land, is removed in the background. It sets o.bar if
// another VM may carry the claim out later.
func (s *dispatcher) claim(ctx context.Context, name string, o *op) (reply, error) {
	if err := s.committer.admitRelayed(); err != nil {
		return reply{}, errors.Trace(err)
	}
	way := s.newRelayState(ctx)
	rep, decided := s.relay(ctx, name, *o, way)
	s.committer.untrack(false)
	o.bar = way.mayApplyElsewhere
	if !decided {
		var err error
		if rep, err = s.committer.submit(ctx, name, *o); err != nil {
			return reply{}, errors.Trace(err)
		}
	}
	if way.mustBar(rep.verdict == verdictDone) {
		s.committer.abandon(name, *o)
	}
	return rep, nil
}

func (s *dispatcher) newRelayState(ctx context.Context) *relayState {
	now := time.Now()
	wait := s.relayWait
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, end.Sub(now)/relayWaitDivisor)
	}
	return &relayState{relayDeadline: now.Add(wait)}
}

// relay has the operation carried out by the segment's committer, if that is
// another VM. It returns false if this VM has to do it.
func (s *dispatcher) relay(ctx context.Context, name string, o op, way *relayState) (reply, bool) {
	if s.peers == nil {
		return reply{}, false
	}
	ctx, cancel := context.WithDeadline(ctx, way.relayDeadline)
	defer cancel()
	vm, remote := s.peers.Committer(name)
	for next := way.start(remote, time.Now()); next == stepRelay; {
		got, fate := s.peers.Commit(ctx, vm, relay.OpRequest{Segment: name, Op: toRelayOp(o), Credit: s.withdrawCredit})
		rep, e := fromRelayReply(got, fate)
		if next = way.next(e, time.Now()); next == stepEnd {
			s.committer.count.relayed.Inc()
			return rep, true
		}
	}
	if remote {
		s.committer.count.fallbacks.Inc()
	}
	return reply{}, false
}

func (s *dispatcher) withdrawCredit() float64 { return s.committer.credit.withdraw(time.Now()) }

// finish carries out a settle or a release for as long as it takes. Both may be
// carried out twice and at any time later. A release that has to bar its claim
// goes by this VM's own update: the committer in doubt is not asked again.
func (s *dispatcher) finish(name string, o op) <-chan reply {
	if s.peers == nil || o.bar && o.kind == opRelease {
		return s.committer.commitInBackground(name, o)
	}
	done := make(chan reply, 1)
	s.committer.runTracked(func() {
		rep, decided := s.relay(s.committer.ctx, name, o, s.newRelayState(s.committer.ctx))
		if decided {
			done <- rep
			return
		}
		direct := s.committer.commitInBackground(name, o)
		select {
		case rep = <-direct:
			done <- rep
		case <-s.committer.tomb.Dying():
		}
	})
	return done
}
