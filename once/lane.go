package once

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/juju/errors"
)

// segmentWriter is the committer's view of one segment. One goroutine at a time works
// on it.
type segmentWriter struct {
	name string

	// Guarded by committer.mu.
	queue    []*pending
	running  bool
	lastUsed time.Time

	// The lane's goroutine alone uses these. The state was read or written
	// earlier and may be old; a conditional update finds out.
	known   bool
	version uint64
	state   segment
}

func (c *committer) runWriter(l *segmentWriter) {
	for {
		batch := c.takeQueue(l, true)
		if len(batch) == 0 {
			return
		}
		if !c.commit(l, batch) {
			return
		}
	}
}

// commit carries the batch out, together with what comes in meanwhile. It
// returns false if the committer stops.
func (c *committer) commit(l *segmentWriter, batch []*pending) bool {
	fresh := false // the state was read after all of the batch had come in
	paced := false
	for try := 0; ; try++ {
		if more := c.takeQueue(l, false); len(more) > 0 {
			batch = append(batch, more...)
			fresh = false
		}
		batch = c.dropAbandoned(l, batch)
		if len(batch) == 0 {
			return true
		}
		if !l.known {
			if err := c.load(l); err != nil {
				if !c.backoff(try) {
					return false
				}
				continue
			}
			fresh = true
		}
		next, replies, changed := l.state.apply(opsOf(batch))
		if !fresh && needsFresh(batch, replies) {
			l.known = false
			continue
		}
		if !changed && !needsFence(l, batch) {
			c.deliverAll(l, batch, replies)
			return true
		}
		if !paced {
			paced = true
			waited, ok := c.waitForCredit()
			if !ok {
				return false
			}
			if waited {
				continue // take along what gathered meanwhile
			}
		}
		err := c.write(l, next, batch)
		if err == nil {
			c.deliverAll(l, batch, replies)
			return true
		}
		if errors.Is(err, objstore.ErrTooLarge) {
			c.log.Error("a claims object is too large", "object", l.name)
			c.deliverAll(l, batch, rejectAll(replies))
			return true
		}
		paced = false
		if !c.backoff(try) {
			return false
		}
	}
}

// dropAbandoned removes claims whose caller no longer waits. One that took
// part in a write may have landed, or land later, and is released.
func (c *committer) dropAbandoned(l *segmentWriter, batch []*pending) []*pending {
	kept := batch[:0]
	for _, p := range batch {
		if p.state.Load() != stateAbandoned {
			kept = append(kept, p)
			continue
		}
		if !p.fromPeer && (p.attempted || p.op.bar) {
			c.release(l, p)
		}
		c.untrack(p.fromPeer)
	}
	return kept
}

func (c *committer) deliverAll(l *segmentWriter, batch []*pending, replies []reply) {
	for i, p := range batch {
		c.deliver(l, p, replies[i])
	}
}

// creditPollInterval is how often a lane looks whether another VM has passed on what
// pays for its write.
const creditPollInterval = 5 * time.Millisecond

// waitForCredit holds this VM to the writes that it may send.
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

func (c *committer) load(l *segmentWriter) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
	defer cancel()
	c.count.reads.Inc()
	object, err := c.opts.Store.Get(ctx, Kind, l.name)
	c.recordCall(err)
	if errors.Is(err, objstore.ErrNotFound) {
		l.known, l.version, l.state = true, 0, segment{overflow: isOverflow(l.name)}
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	state, err := decodeSegment(l.name, object.Value)
	if err != nil {
		c.log.Error("claims refused", "object", l.name, "error", err)
		return errors.Trace(err)
	}
	l.known, l.version, l.state = true, object.Version, state
	return nil
}

func (c *committer) write(l *segmentWriter, next segment, batch []*pending) error {
	value, err := next.encode()
	if err != nil {
		return errors.Trace(err)
	}
	for _, p := range batch {
		p.attempted = true
		p.expectedVersion = l.version
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
	defer cancel()
	c.count.writes.Inc()
	c.count.operations.Add(len(batch))
	c.count.bytes.Add(len(value))
	version, err := c.opts.Store.Put(ctx, Kind, l.name, l.version, value)
	c.recordCall(err)
	if err == nil {
		l.version, l.state = version, next
		return nil
	}
	if errors.Is(err, objstore.ErrConflict) {
		c.count.conflicts.Inc()
	}
	if !errors.Is(err, objstore.ErrBusy) {
		// The write may have taken effect, now or later. The operations' own ids
		// in the segment tell after a new read which of them landed.
		l.known = false
	}
	return errors.Trace(err)
}

// needsFresh tells replies that a newer state could change. An outcome is
// final; all else is not.
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

// needsFence tells whether a write must move the segment's version on although
// its content stays. An abandoned claim that is absent may still land: the
// platform may carry out a write long after its sender gave up. It would show
// as a key that is in progress for ever. A write that expects the version that
// such a one expects leaves it nothing to land on.
func needsFence(l *segmentWriter, batch []*pending) bool {
	for _, p := range batch {
		if p.op.kind == opRelease && p.attempted && p.expectedVersion == l.version {
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

// rejectAll turns replies into those of a write that cannot be made.
func rejectAll(replies []reply) []reply {
	for i := range replies {
		replies[i].verdict = verdictFull
	}
	return replies
}
