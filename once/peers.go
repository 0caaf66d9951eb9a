package once

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/once/relay"
)

var _ relay.Committer = (*Runner)(nil)

// maxHold bounds how long a batch of another VM is worked on.
const maxHold = time.Second

// Commit carries out the operations that another VM relays to this one, until
// b.HoldMS have passed. It never asks a third VM, whichever one this VM believes
// to be the committer. An error means that none was taken.
func (r *Runner) Commit(ctx context.Context, b relay.Batch) ([]relay.Reply, error) {
	ops, err := fromBatch(b)
	if err != nil {
		return nil, errors.Trace(err)
	}
	list, err := r.commit.admitPeer(b.Segment, ops)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.commit.pace.receive(b.Credit, time.Now())
	hold := min(time.Duration(b.HoldMS)*time.Millisecond, maxHold)
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	replies := make([]relay.Reply, len(list))
	for i, p := range list {
		replies[i] = r.commit.await(ctx, p)
	}
	return replies, nil
}

// await returns the verdict on an operation of another VM. One that has none
// when ctx ends is dropped, unless its write is under way.
func (c *committer) await(ctx context.Context, p *pending) relay.Reply {
	select {
	case rep := <-p.done:
		return toReply(rep)
	case <-ctx.Done():
	case <-c.tomb.Dying():
	}
	if p.state.CompareAndSwap(stateWaiting, stateAbandoned) {
		return relay.Reply{Verdict: relay.Undecided}
	}
	return toReply(<-p.done)
}

var kindNames = map[opKind]relay.Kind{opClaim: relay.Claim, opSettle: relay.Settle, opRelease: relay.Release}

var verdictNames = map[verdict]relay.Verdict{
	verdictDone: relay.Done, verdictHeld: relay.Held, verdictFull: relay.Full, verdictMoved: relay.Moved, verdictGone: relay.Gone,
}

func toRelay(o op) relay.Op {
	return relay.Op{Kind: kindNames[o.kind], ID: o.id, Entry: toEntry(o.entry)}
}

func toEntry(e entry) relay.Entry {
	wire := relay.Entry{Digest: e.Digest, Op: e.Op, Holder: e.Holder, UntilMS: e.UntilMS}
	if k := e.Outcome; k != nil {
		wire.Outcome = &relay.Kept{Code: k.Code, Result: k.Result, Detail: k.Detail}
	}
	return wire
}

func fromEntry(wire relay.Entry) entry {
	e := entry{Digest: wire.Digest, Op: wire.Op, Holder: wire.Holder, UntilMS: wire.UntilMS}
	if k := wire.Outcome; k != nil {
		e.Outcome = &kept{Code: k.Code, Result: json.RawMessage(k.Result), Detail: k.Detail}
	}
	return e
}

func fromBatch(b relay.Batch) ([]op, error) {
	ops := make([]op, len(b.Ops))
	for i, wire := range b.Ops {
		ops[i] = op{id: wire.ID, entry: fromEntry(wire.Entry)}
		switch wire.Kind {
		case relay.Claim:
			ops[i].kind = opClaim
		case relay.Settle:
			ops[i].kind = opSettle
		case relay.Release:
			ops[i].kind = opRelease
		default:
			return nil, errors.NotValidf("operation %q", wire.Kind)
		}
		if ops[i].kind == opSettle && ops[i].entry.Outcome == nil || ops[i].entry.Op == "" || ops[i].id == "" {
			return nil, errors.NotValidf("operation %q without its outcome, id or key", wire.Kind)
		}
	}
	return ops, nil
}

func toReply(rep reply) relay.Reply {
	wire := relay.Reply{Verdict: verdictNames[rep.verdict]}
	if rep.verdict == verdictHeld {
		held := toEntry(rep.held)
		wire.Held = &held
	}
	return wire
}

// fromRelay returns the reply and what it means for the operation's course. A
// reply that can't be understood leaves open what was done.
func fromRelay(got relay.Reply, fate relay.Fate) (reply, event) {
	switch {
	case fate == relay.NotTaken:
		return reply{}, eventNotTaken
	case fate == relay.Lost:
		return reply{}, eventLost
	case got.Verdict == relay.Undecided:
		return reply{}, eventUndecided
	case got.Verdict == relay.Held && got.Held != nil:
		return reply{verdict: verdictHeld, held: fromEntry(*got.Held)}, eventDecided
	}
	for v, name := range verdictNames {
		if name == got.Verdict && v != verdictHeld {
			return reply{verdict: v}, eventDecided
		}
	}
	return reply{}, eventLost
}
