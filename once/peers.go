package once

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/once/relay"
)

var _ relay.Committer = (*Runner)(nil)

// maxPeerBatchWait limits how long Commit waits for the verdicts on a batch of
// another VM, whatever time that VM allows.
const maxPeerBatchWait = time.Second

// Commit applies the operations that another VM relays to this one, and returns one
// reply per operation. An operation without a verdict after b.HoldMS, or after
// maxPeerBatchWait if that is shorter, gets the reply relay.Undecided. Commit never
// calls a third VM, even if this VM believes that another one commits the segment.
// An error means that no operation was accepted.
func (r *Runner) Commit(ctx context.Context, b relay.Batch) ([]relay.Reply, error) {
	ops, err := opsFromBatch(b)
	if err != nil {
		return nil, errors.Trace(err)
	}
	list, err := r.committer.admitPeer(b.Segment, ops)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.committer.credit.deposit(b.Credit, time.Now())
	hold := min(time.Duration(b.HoldMS)*time.Millisecond, maxPeerBatchWait)
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	replies := make([]relay.Reply, len(list))
	for i, p := range list {
		replies[i] = r.committer.awaitPeerOp(ctx, p)
	}
	return replies, nil
}

// awaitPeerOp waits for the verdict on an operation of another VM and returns it. If
// there is none when ctx ends, it returns relay.Undecided, and the operation is
// dropped unless its write is in flight.
func (c *committer) awaitPeerOp(ctx context.Context, p *pending) relay.Reply {
	select {
	case rep := <-p.done:
		return toRelayReply(rep)
	case <-ctx.Done():
	case <-c.tomb.Dying():
	}
	if p.state.CompareAndSwap(stateWaiting, stateAbandoned) {
		return relay.Reply{Verdict: relay.Undecided}
	}
	return toRelayReply(<-p.done)
}

// relayKinds maps each kind of operation to its name in messages to other VMs.
var relayKinds = map[opKind]relay.Kind{opClaim: relay.Claim, opComplete: relay.Complete, opRelease: relay.Release}

// relayVerdicts maps each verdict to its name in messages to other VMs.
var relayVerdicts = map[verdict]relay.Verdict{
	verdictDone: relay.Done, verdictHeld: relay.Held, verdictFull: relay.Full, verdictMoved: relay.Moved, verdictGone: relay.Gone,
}

// toRelayOp converts an operation to its form in messages to other VMs. The form
// leaves out barOnRelease, because a release that bars its claim is never relayed.
func toRelayOp(o op) relay.Op {
	return relay.Op{Kind: relayKinds[o.kind], ID: o.id, Entry: toRelayEntry(o.entry)}
}

// toRelayEntry converts an entry to its form in messages to other VMs.
func toRelayEntry(e entry) relay.Entry {
	wire := relay.Entry{Digest: e.Digest, Op: e.Op, Holder: e.Holder, UntilMS: e.UntilMS}
	if outcome := e.Outcome; outcome != nil {
		wire.Outcome = &relay.Outcome{Code: outcome.Code, Result: outcome.Result, Detail: outcome.Detail}
	}
	return wire
}

// fromRelayEntry converts an entry of a message of another VM.
func fromRelayEntry(wire relay.Entry) entry {
	e := entry{Digest: wire.Digest, Op: wire.Op, Holder: wire.Holder, UntilMS: wire.UntilMS}
	if outcome := wire.Outcome; outcome != nil {
		e.Outcome = &storedOutcome{Code: outcome.Code, Result: json.RawMessage(outcome.Result), Detail: outcome.Detail}
	}
	return e
}

// opsFromBatch converts the operations of a batch of another VM. It returns an
// error if one of them is of an unknown kind or incomplete.
func opsFromBatch(b relay.Batch) ([]op, error) {
	ops := make([]op, len(b.Ops))
	for i, wire := range b.Ops {
		ops[i] = op{id: wire.ID, entry: fromRelayEntry(wire.Entry)}
		switch wire.Kind {
		case relay.Claim:
			ops[i].kind = opClaim
		case relay.Complete:
			ops[i].kind = opComplete
		case relay.Release:
			ops[i].kind = opRelease
		default:
			return nil, errors.NotValidf("operation %q", wire.Kind)
		}
		// Each operation needs the claim's operation id and key, and a completion
		// needs an outcome.
		if ops[i].kind == opComplete && ops[i].entry.Outcome == nil || ops[i].entry.Op == "" || ops[i].id == "" {
			return nil, errors.NotValidf("operation %q without its outcome, id or key", wire.Kind)
		}
	}
	return ops, nil
}

// toRelayReply converts a reply to its form in messages to other VMs.
func toRelayReply(rep reply) relay.Reply {
	wire := relay.Reply{Verdict: relayVerdicts[rep.verdict]}
	if rep.verdict == verdictHeld {
		held := toRelayEntry(rep.held)
		wire.Held = &held
	}
	return wire
}

// fromRelayReply converts the result of relaying an operation: what the other VM
// replied, and whether the operation reached it. The returned reply is set for
// eventDecided only. An unknown verdict becomes eventUnknown, because it leaves open
// whether the operation was applied.
func fromRelayReply(got relay.Reply, delivery relay.Delivery) (reply, event) {
	switch {
	case delivery == relay.NotAccepted:
		return reply{}, eventNotAccepted
	case delivery == relay.Unknown:
		return reply{}, eventUnknown
	case got.Verdict == relay.Undecided:
		return reply{}, eventUndecided
	case got.Verdict == relay.Held && got.Held != nil:
		return reply{verdict: verdictHeld, held: fromRelayEntry(*got.Held)}, eventDecided
	}
	for v, name := range relayVerdicts {
		if name == got.Verdict && v != verdictHeld {
			return reply{verdict: v}, eventDecided
		}
	}
	return reply{}, eventUnknown
}
