package once

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/juju/errors"
)

// segmentWriter is the committer's queue of operations on one segment (a stored
// object that holds the claims of one second), with the last known content of the
// segment. At most one goroutine works on it at a time.
type segmentWriter struct {
	name string // of the segment's object

	// Guarded by committer.mu.
	queue    []*pending // operations that are not yet part of a batch
	running  bool       // a goroutine works on the queue
	lastUsed time.Time  // when an operation was last queued

	// Used by the writer's goroutine only. The state was read or written earlier
	// and may be outdated; a conditional update detects that.
	known   bool    // version and state are set
	version uint64  // version of the segment's object when state was read or written; 0 if there was none
	state   segment // last known content of the segment, of that version
}

// runWriter applies the operations of the writer's queue until the queue is empty
// or the committer stops.
func (c *committer) runWriter(w *segmentWriter) {
	for {
		batch := c.takeQueue(w, true)
		if len(batch) == 0 {
			return
		}
		if !c.commit(w, batch) {
			return
		}
	}
}

// commit applies the batch, together with operations that arrive in the meantime,
// and delivers the replies. It returns false if the committer stops.
func (c *committer) commit(w *segmentWriter, batch []*pending) bool {
	fresh := false       // w.state was read after the whole batch had arrived
	creditTaken := false // the credit for the next write was deducted
	for try := 0; ; try++ {
		if more := c.takeQueue(w, false); len(more) > 0 {
			batch = append(batch, more...)
			fresh = false
		}
		batch = c.dropAbandoned(w, batch)
		if len(batch) == 0 {
			return true
		}
		if !w.known {
			if err := c.load(w); err != nil {
				if !c.backoff(try) {
					return false
				}
				continue
			}
			fresh = true
		}
		next, replies, changed := w.state.apply(opsOf(batch))
		// A reply that a newer state could change is given only from a state that
		// was read after the whole batch had arrived.
		if !fresh && needsFresh(batch, replies) {
			w.known = false
			continue
		}
		// Without a change of the content, a write is needed only as a fence against
		// an earlier write that may still take effect.
		if !changed && !needsFence(w, batch) {
			c.deliverAll(w, batch, replies)
			return true
		}
		if !creditTaken {
			creditTaken = true
			waited, ok := c.waitForCredit()
			if !ok {
				return false
			}
			if waited {
				continue // include operations that arrived during the wait
			}
		}
		err := c.write(w, next, batch)
		if err == nil {
			c.deliverAll(w, batch, replies)
			return true
		}
		if errors.Is(err, objstore.ErrTooLarge) {
			c.log.Error("cannot write the claims object: it is too large", "object", w.name)
			c.deliverAll(w, batch, rejectAll(replies))
			return true
		}
		creditTaken = false
		if !c.backoff(try) {
			return false
		}
	}
}

// dropAbandoned returns the batch without the claims whose caller no longer waits.
// It queues the release of a dropped claim of this VM's own callers if the claim may
// be stored, now or later: it was part of a write of this VM, or another VM may still
// store it.
func (c *committer) dropAbandoned(w *segmentWriter, batch []*pending) []*pending {
	kept := batch[:0]
	for _, p := range batch {
		if p.state.Load() != stateAbandoned {
			kept = append(kept, p)
			continue
		}
		if !p.fromPeer && (p.attempted || p.op.barOnRelease) {
			c.release(w, p)
		}
		c.untrack(p.fromPeer)
	}
	return kept
}

// deliverAll completes each operation of the batch with the reply at its index.
func (c *committer) deliverAll(w *segmentWriter, batch []*pending, replies []reply) {
	for i, p := range batch {
		c.deliver(w, p, replies[i])
	}
}

// creditPollInterval is the time between two checks of a segment writer that waits
// for credit: another VM may have transferred the credit for the write.
const creditPollInterval = 5 * time.Millisecond

// waitForCredit waits until this VM's budget of writes to the platform allows one
// write, and deducts it. waited reports whether it had to wait. ok is false if the
// committer stops.
func (c *committer) waitForCredit() (waited, ok bool) {
	for {
		wait, taken := c.credit.take(time.Now())
		if taken {
			return waited, true
		}
		waited = true
		timer := time.NewTimer(min(wait, creditPollInterval))
		select {
		case <-timer.C:
		case <-c.tomb.Dying():
			timer.Stop()
			return true, false
		}
	}
}

// load reads the segment from the platform into the writer's version and state. An
// object that does not exist is an empty segment of version 0.
func (c *committer) load(w *segmentWriter) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
	defer cancel()
	c.counters.reads.Inc()
	object, err := c.opts.Store.Get(ctx, Kind, w.name)
	c.recordCall(err)
	if errors.Is(err, objstore.ErrNotFound) {
		w.known, w.version, w.state = true, 0, segment{overflow: isOverflow(w.name)}
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	state, err := decodeSegment(w.name, object.Value)
	if err != nil {
		c.log.Error("cannot decode the claims object", "object", w.name, "error", err)
		return errors.Trace(err)
	}
	w.known, w.version, w.state = true, object.Version, state
	return nil
}

// write replaces the segment by next, which includes the batch, on condition that
// the object still has the version that the writer knows. After an error other than
// objstore.ErrBusy, ErrConflict and ErrTooLarge, the write may have taken effect, or
// may do so later.
func (c *committer) write(w *segmentWriter, next segment, batch []*pending) error {
	value, err := next.encode()
	if err != nil {
		return errors.Trace(err)
	}
	for _, p := range batch {
		p.attempted = true
		p.expectedVersion = w.version
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
	defer cancel()
	c.counters.writes.Inc()
	c.counters.operations.Add(len(batch))
	c.counters.bytes.Add(len(value))
	version, err := c.opts.Store.Put(ctx, Kind, w.name, w.version, value)
	c.recordCall(err)
	if err == nil {
		w.version, w.state = version, next
		return nil
	}
	if errors.Is(err, objstore.ErrConflict) {
		c.counters.conflicts.Inc()
	}
	if !errors.Is(err, objstore.ErrBusy) {
		// The known state may be outdated: another write took effect, or this one
		// did or still may. After a new read, the operation ids in the segment show
		// which operations were stored.
		w.known = false
	}
	return errors.Trace(err)
}

// needsFresh reports whether any reply could be different with a newer state of the
// segment. These are the replies on a key that is held without an outcome, on a full
// segment, on a claim that is barred or no longer exists, and on a release. A stored
// outcome is final.
func needsFresh(batch []*pending, replies []reply) bool {
	for i, rep := range replies {
		switch rep.verdict {
		case verdictHeld:
			if rep.held.Outcome == nil {
				return true
			}
		case verdictFull, verdictGone:
			return true
		case verdictDone:
			if batch[i].op.kind == opRelease {
				return true
			}
		}
	}
	return false
}

// needsFence reports whether the segment has to be written although its content
// stays the same, to give it a new version. An abandoned claim that is not in the
// segment may still be stored, because the platform may apply a write long after
// its sender gave up. The key would then stay blocked. A further write changes the
// version, so that the old write, which expects the old version, fails.
func needsFence(w *segmentWriter, batch []*pending) bool {
	for _, p := range batch {
		if p.op.kind == opRelease && p.attempted && p.expectedVersion == w.version {
			return true
		}
	}
	return false
}

// opsOf returns the operations of the batch, in order.
func opsOf(batch []*pending) []op {
	ops := make([]op, len(batch))
	for i, p := range batch {
		ops[i] = p.op
	}
	return ops
}

// rejectAll sets all verdicts to verdictFull and returns the replies. It is used if
// the segment's value is too large to be written.
func rejectAll(replies []reply) []reply {
	for i := range replies {
		replies[i].verdict = verdictFull
	}
	return replies
}
