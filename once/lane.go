package once

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/juju/errors"
)

// segmentWriter applies operations to one segment for the committer. At most one
// goroutine works on it at a time.
type segmentWriter struct {
	name string

	// Guarded by committer.mu.
	queue    []*pending
	running  bool
	lastUsed time.Time

	// Used by the writer's goroutine only. The state was read or written earlier
	// and may be outdated; a conditional update detects that.
	known   bool // version and state are set
	version uint64
	state   segment
}

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

// commit applies the batch, together with operations that arrive in the meantime.
// It returns false if the committer stops.
func (c *committer) commit(w *segmentWriter, batch []*pending) bool {
	fresh := false // the state was read after the whole batch had arrived
	paced := false
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
		if !fresh && needsFresh(batch, replies) {
			w.known = false
			continue
		}
		if !changed && !needsFence(w, batch) {
			c.deliverAll(w, batch, replies)
			return true
		}
		if !paced {
			paced = true
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
			c.log.Error("a claims object is too large", "object", w.name)
			c.deliverAll(w, batch, rejectAll(replies))
			return true
		}
		paced = false
		if !c.backoff(try) {
			return false
		}
	}
}

// dropAbandoned removes claims whose caller no longer waits. A claim that was part
// of a write may be stored, now or later, and is released.
func (c *committer) dropAbandoned(w *segmentWriter, batch []*pending) []*pending {
	kept := batch[:0]
	for _, p := range batch {
		if p.state.Load() != stateAbandoned {
			kept = append(kept, p)
			continue
		}
		if !p.fromPeer && (p.attempted || p.op.bar) {
			c.release(w, p)
		}
		c.untrack(p.fromPeer)
	}
	return kept
}

func (c *committer) deliverAll(w *segmentWriter, batch []*pending, replies []reply) {
	for i, p := range batch {
		c.deliver(w, p, replies[i])
	}
}

// creditPollInterval is how often a segment writer checks whether another VM has
// transferred the credit for its write.
const creditPollInterval = 5 * time.Millisecond

// waitForCredit waits until this VM has credit for one write and deducts it. ok is
// false if the committer stops.
func (c *committer) waitForCredit() (waited, ok bool) {
	for {
		wait, paid := c.credit.take(time.Now())
		if paid {
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

func (c *committer) load(w *segmentWriter) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
	defer cancel()
	c.count.reads.Inc()
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
	c.count.writes.Inc()
	c.count.operations.Add(len(batch))
	c.count.bytes.Add(len(value))
	version, err := c.opts.Store.Put(ctx, Kind, w.name, w.version, value)
	c.recordCall(err)
	if err == nil {
		w.version, w.state = version, next
		return nil
	}
	if errors.Is(err, objstore.ErrConflict) {
		c.count.conflicts.Inc()
	}
	if !errors.Is(err, objstore.ErrBusy) {
		// The write may have taken effect, or may do so later. After a new read,
		// the operation ids in the segment show which operations were stored.
		w.known = false
	}
	return errors.Trace(err)
}

// needsFresh reports whether any reply could be different with a newer state. Only
// a stored outcome is final.
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

// needsFence reports whether a write must change the segment's version although the
// content stays the same. An abandoned claim that is absent may still be stored,
// because the platform may apply a write long after its sender gave up. Its key
// would then be reported as in progress forever. If a write moves the segment past
// the version that the old write expects, the old write fails.
func needsFence(w *segmentWriter, batch []*pending) bool {
	for _, p := range batch {
		if p.op.kind == opRelease && p.attempted && p.expectedVersion == w.version {
			return true
		}
	}
	return false
}

func opsOf(batch []*pending) []op {
	ops := make([]op, len(batch))
	for i, p := range batch {
		ops[i] = p.op
	}
	return ops
}

// rejectAll changes the replies to those of a write that cannot be made.
func rejectAll(replies []reply) []reply {
	for i := range replies {
		replies[i].verdict = verdictFull
	}
	return replies
}
