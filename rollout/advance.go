package rollout

import (
	"context"
	"errors"
	"fmt"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// Request is an operator's request for a change.
type Request struct {
	Reason string
	// Op is empty for a new operation, or the id printed by an earlier run
	// whose outcome is unknown.
	Op OpID
	// Expect, if not 0, is the revision that the operator believes in force;
	// another one is a conflict.
	Expect uint64
	DryRun bool // decide and check, but write nothing
}

// MaxReasonBytes bounds a reason, in bytes.
const MaxReasonBytes = 1000

// intent is what an operation is about.
type intent struct {
	action Action
	digest string
}

// entryBuilder makes the next entry from the head as read.
type entryBuilder func(ctx context.Context, head *Head, change Change) (Entry, error)

// makeChange makes one change, or finds out what became of it if ask names an
// operation of an earlier run.
func (c *Client) makeChange(ctx context.Context, req Request, want intent, buildEntry entryBuilder) (Entry, error) {
	if c.opts.Key == nil {
		return Entry{}, result.Errorf(result.BadSettings, "a change needs your private key; pass --key or make one with keygen")
	}
	if n := len(req.Reason); n == 0 || n > MaxReasonBytes {
		return Entry{}, result.Errorf(result.BadRequest, "reason: found %d bytes, allowed are 1 to %d", n, MaxReasonBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Patience)
	defer cancel()
	s, err := c.readState(ctx)
	if req.Op != "" {
		return c.resumeChange(ctx, req, want, s, err, buildEntry)
	}
	if err != nil {
		return Entry{}, err
	}
	if req.Op, err = NewOpID(s.revision() + 1); err != nil {
		return Entry{}, err
	}
	if req.Expect != 0 && req.Expect != s.revision() {
		return Entry{Op: req.Op}, unexpectedRevision(req.Expect, s)
	}
	return c.commitChange(ctx, req, want, s, buildEntry)
}

// commitChange makes the change on top of the head as read. Its order of writes is
// what the audit chain rests on: first the entry that the head holds is kept
// under its own name, then the head is replaced on the condition that it is
// still the one read. An operator who stops in between leaves either nothing, a
// kept entry that is still the head's, or a whole change; the next operator
// goes on from any of these.
func (c *Client) commitChange(ctx context.Context, req Request, want intent, s headState, buildEntry entryBuilder) (Entry, error) {
	entry, err := buildEntry(ctx, s.head, Change{
		Op: req.Op, Person: c.opts.Key.Person, Reason: req.Reason, At: c.opts.Now().UTC(),
	})
	if entry.Op = req.Op; err != nil || req.DryRun {
		return entry, err
	}
	if err := c.archiveEntry(ctx, s.head); err != nil {
		return entry, err
	}
	if err := c.checkHeadNotReverted(ctx, s); err != nil {
		return entry, err
	}
	accepted, err := c.writeHead(ctx, s, entry)
	if err != nil {
		return entry, err
	}
	c.archiveNow(ctx, accepted)
	return accepted.Entry, want.checkMatches(accepted)
}

// resumeChange resolves an operation whose outcome was unknown. If it has not
// landed and its turn has not passed, the operation goes on as if new: both
// its writes expect the same version, so only one can take effect.
func (c *Client) resumeChange(ctx context.Context, req Request, want intent, s headState, readErr error, buildEntry entryBuilder) (Entry, error) {
	revision, err := req.Op.Revision()
	if err != nil {
		return Entry{}, err
	}
	if readErr != nil {
		return Entry{Op: req.Op}, outcomeUnknown(req.Op, readErr)
	}
	outcome, accepted, err := c.resolve(ctx, req.Op, revision, s.head)
	switch {
	case err != nil:
		return Entry{Op: req.Op}, outcomeUnknown(req.Op, err)
	case outcome == OutcomeAccepted:
		return accepted.Entry, want.checkMatches(accepted)
	case outcome == OutcomeConflict:
		return Entry{Op: req.Op}, conflictError(accepted, s.head)
	case s.revision()+1 != revision:
		return Entry{Op: req.Op}, result.Errorf(result.BrokenAudit,
			"operation %s is for revision %d and the head is at %d only; the store was set back", req.Op, revision, s.revision())
	}
	e, err := c.commitChange(ctx, req, want, s, buildEntry)
	if err != nil {
		err = outcomeUnknown(req.Op, err)
	}
	return e, err
}

// outcomeUnknown keeps an operator from being told that nothing was changed while
// the write of an earlier run may still land. Only what was read of the
// operation itself settles it.
func outcomeUnknown(op OpID, err error) error {
	switch result.Of(err) {
	case result.Conflict, result.KeyReused, result.BrokenAudit, result.WriteUnknown:
		return err
	}
	return result.Wrap(result.WriteUnknown, err, fmt.Sprintf("run the same command again with --op %s to learn the outcome", op))
}

// checkMatches tells an operator who asked again for another change than the one that
// the operation made.
func (want intent) checkMatches(accepted *Head) error {
	e := &accepted.Entry
	if e.Action == want.action && e.Subject() == want.digest {
		return nil
	}
	return result.Errorf(result.KeyReused, "operation %s is revision %d: %s of %s; leave --op out for another change", e.Op, e.Revision, e.Action, e.Subject())
}

// resolve applies Resolve, reading the kept entry if that is needed.
func (c *Client) resolve(ctx context.Context, op OpID, revision uint64, head *Head) (Outcome, *Head, error) {
	outcome := Resolve(op, revision, head, nil)
	if outcome != OutcomeNeedArchived {
		return outcome, head, nil
	}
	archived, err := c.readArchived(ctx, revision)
	if err != nil {
		return outcome, nil, err
	}
	if archived == nil {
		return outcome, nil, result.Errorf(result.BrokenAudit, "the head is at revision %d and revision %d is not kept", head.Entry.Revision, revision)
	}
	return Resolve(op, revision, head, archived), archived, nil
}

// conflictError tells what came first. now is the head, if it is known to be later.
func conflictError(winner, latest *Head) error {
	w := &winner.Entry
	text := "revision %d came first: %s of %s by %s at %s, because %q"
	args := []any{w.Revision, w.Action, w.Subject(), w.Person, w.At.Format("2006-01-02 15:04:05 MST"), w.Reason}
	if latest != nil && latest.Entry.Revision > w.Revision {
		text += "; the head is at revision %d by now"
		args = append(args, latest.Entry.Revision)
	}
	return result.Errorf(result.Conflict, text+"; look at it with audit and decide anew", args...)
}

// unexpectedRevision tells an operator that another revision is in force than thought.
func unexpectedRevision(expect uint64, s headState) error {
	if s.head == nil {
		return result.Errorf(result.Conflict, "revision %d was expected and nothing is in force", expect)
	}
	return conflictError(s.head, s.head)
}

// Subject returns the digest that the change was about: rolled out or recalled.
func (e *Entry) Subject() string {
	if e.Action == ActionRecall {
		return e.Recalled
	}
	return e.Digest
}

// archiveEntry keeps the head's entry under its own name.
func (c *Client) archiveEntry(ctx context.Context, h *Head) error {
	if h == nil {
		return nil
	}
	name := AuditName(c.opts.Deployment, h.Entry.Revision)
	return c.createOnce(ctx, KindAudit, name, h.Signed.Bytes(), func(existing []byte) bool {
		return sameSigned(existing, h.Hash)
	})
}

func sameSigned(raw []byte, hash string) bool {
	s, err := bundle.ParseSigned(raw)
	return err == nil && s.Hash() == hash
}

// checkHeadNotReverted refuses to build on a head that the chain is already past.
// It happens when the store was restored from an earlier copy: VMs would
// ignore the new revision, since they have a higher one in force.
func (c *Client) checkHeadNotReverted(ctx context.Context, s headState) error {
	archived, err := c.readArchived(ctx, s.revision()+1)
	if err != nil || archived == nil {
		return err
	}
	// The head may have moved on since it was read; then the write will find out.
	now, err := c.readState(ctx)
	if err != nil || now.version != s.version {
		return err
	}
	return result.Errorf(result.BrokenAudit, "the head is at revision %d, but revision %d is kept already; the store was set back", s.revision(), archived.Entry.Revision)
}

// writeHead replaces the head and returns what landed. A write whose answer was
// lost, and a conflict, which may speak of an own earlier try, are resolved by
// the operation id in what stands there.
func (c *Client) writeHead(ctx context.Context, base headState, e Entry) (*Head, error) {
	signed := signEntry(e, c.opts.Key)
	maybeSent := false
	for try := 0; ; try++ {
		err := c.put(ctx, KindHead, c.opts.Deployment, base.version, signed.Bytes())
		switch {
		case err == nil:
			return &Head{Entry: e, Signed: signed, Hash: signed.Hash()}, nil
		case errors.Is(err, objstore.ErrTooLarge):
			return nil, result.Wrap(result.BundleTooLarge, err, "nothing was written")
		case errors.Is(err, objstore.ErrBusy):
		default:
			maybeSent = true
			accepted, err := c.resolveWrite(ctx, e)
			if accepted != nil || err != nil {
				return accepted, err
			}
		}
		if ctx.Err() != nil {
			return nil, c.timeoutError(maybeSent, e.Op, err)
		}
		c.opts.Backoff(ctx, try)
	}
}

// timeoutError is the error of an operation that ran out of patience.
func (c *Client) timeoutError(maybeSent bool, op OpID, err error) error {
	if maybeSent {
		return result.Errorf(result.WriteUnknown, "run the same command again with --op %s to learn the outcome", op)
	}
	return result.Wrap(result.PlatformDown, err, "nothing was changed")
}

// resolveWrite reads what became of the entry: the head that it landed as, a
// conflict, or neither while that is open, which it also is while the platform
// can't be read. What landed may differ from e in its time of signing, when an
// earlier run with the same operation id wrote it.
func (c *Client) resolveWrite(ctx context.Context, e Entry) (*Head, error) {
	now, err := c.readState(ctx)
	if err != nil {
		return nil, nil
	}
	outcome, accepted, err := c.resolve(ctx, e.Op, e.Revision, now.head)
	switch {
	case result.Of(err) == result.BrokenAudit:
		return nil, err
	case err != nil || outcome == OutcomeOpen:
		return nil, nil
	case outcome == OutcomeAccepted:
		return accepted, nil
	}
	return nil, conflictError(accepted, now.head)
}

// archiveNow keeps an accepted entry at once. If it fails, whoever advances the
// head next does it.
func (c *Client) archiveNow(ctx context.Context, h *Head) {
	_ = c.put(ctx, KindAudit, AuditName(c.opts.Deployment, h.Entry.Revision), 0, h.Signed.Bytes())
}
