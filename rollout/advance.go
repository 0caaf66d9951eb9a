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
	Reason string // why the operator makes the change; 1 to MaxReasonBytes bytes
	// Op is empty for a new operation. To resume an operation with an unknown
	// outcome, it is the id that the earlier run printed.
	Op OpID
	// Expect is the revision that the operator assumes to be in force. If it is
	// not 0 and another revision is in force, the change fails with Conflict.
	Expect uint64
	DryRun bool // build and check the entry, but write nothing
}

// MaxReasonBytes is the maximum length of the reason that an operator gives for a
// change, in bytes.
const MaxReasonBytes = 1000

// intent is the change that an operator requests: the action and the bundle to roll
// out or recall.
type intent struct {
	action Action
	digest string // of the bundle
}

// entryBuilder returns the entry that follows head and makes the given change. head
// is the latest accepted change, or nil before the first rollout.
type entryBuilder func(ctx context.Context, head *Head, change Change) (Entry, error)

// makeChange makes the change that want describes and returns its entry, which
// buildEntry builds. If req names an operation of an earlier run, makeChange resumes
// that operation instead. After an error, the entry may have no field set but Op.
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

// commitChange makes the change on top of s, the head as read. req.Op is set. The
// integrity of the audit chain depends on the order of writes. First the entry in the
// head is archived under its own name. Then the head is replaced, on condition that
// it is still the version that was read. If the operator's program stops at any point,
// either nothing was written, or the entry in the head is archived already, or the
// change is complete. The next operator can continue from each of these states.
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
	c.tryArchiveEntry(ctx, accepted)
	return accepted.Entry, want.checkMatches(accepted)
}

// resumeChange returns the outcome of req.Op, an operation of an earlier run. s and
// readErr are the result of reading the head. If the operation was not accepted and
// its revision is still the next one, resumeChange makes the change again. This is
// safe: the earlier write and the new one expect the same version of the head, so
// only one of them can take effect.
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
			"operation %s is for revision %d, but the head is only at revision %d; the store was reverted to an earlier state", req.Op, revision, s.revision())
	}
	e, err := c.commitChange(ctx, req, want, s, buildEntry)
	if err != nil {
		err = outcomeUnknown(req.Op, err)
	}
	return e, err
}

// outcomeUnknown returns err if its code states the outcome of the operation or that
// it is unknown, and otherwise wraps it in an error with code WriteUnknown. The write
// of an earlier run may still take effect, so an error that says that nothing was
// changed would be wrong.
func outcomeUnknown(op OpID, err error) error {
	switch result.CodeOf(err) {
	case result.Conflict, result.KeyReused, result.BrokenAudit, result.WriteUnknown:
		return err
	}
	return result.Wrap(result.WriteUnknown, err, fmt.Sprintf("run the same command again with --op %s to learn the outcome", op))
}

// checkMatches returns an error with code KeyReused if the accepted entry makes
// another change than want. This happens if the operator resumed the operation with
// another command.
func (want intent) checkMatches(accepted *Head) error {
	e := &accepted.Entry
	if e.Action == want.action && e.Subject() == want.digest {
		return nil
	}
	return result.Errorf(result.KeyReused, "operation %s is revision %d: %s of %s; leave --op out for another change", e.Op, e.Revision, e.Action, e.Subject())
}

// resolve returns the outcome of the operation op, whose entry was to get the given
// revision. head is the current head. resolve calls Resolve and reads the archived
// entry of the revision if needed. If the outcome is OutcomeAccepted or
// OutcomeConflict, the returned Head is the entry that got the revision.
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
		return outcome, nil, result.Errorf(result.BrokenAudit, "the head is at revision %d, but revision %d is not archived", head.Entry.Revision, revision)
	}
	return Resolve(op, revision, head, archived), archived, nil
}

// conflictError returns an error with code Conflict that describes winner, the
// accepted change that came before the operator's own. latest is the current head, or
// nil if it is unknown.
func conflictError(winner, latest *Head) error {
	w := &winner.Entry
	text := "revision %d came first: %s of %s by %s at %s, because %q"
	args := []any{w.Revision, w.Action, w.Subject(), w.Person, w.At.Format("2006-01-02 15:04:05 MST"), w.Reason}
	if latest != nil && latest.Entry.Revision > w.Revision {
		text += "; the head is now at revision %d"
		args = append(args, latest.Entry.Revision)
	}
	return result.Errorf(result.Conflict, text+"; look at it with audit and decide again", args...)
}

// unexpectedRevision returns an error with code Conflict: the revision in force, as
// read in s, is not the one that the operator expects.
func unexpectedRevision(expect uint64, s headState) error {
	if s.head == nil {
		return result.Errorf(result.Conflict, "revision %d was expected, but nothing is in force", expect)
	}
	return conflictError(s.head, s.head)
}

// Subject returns the digest of the bundle that the change rolled out or recalled.
func (e *Entry) Subject() string {
	if e.Action == ActionRecall {
		return e.Recalled
	}
	return e.Digest
}

// archiveEntry stores the entry in the head h as an object of its own, as part of the
// audit chain. It retries until ctx ends, and does nothing if the entry is archived
// already, or if h is nil.
func (c *Client) archiveEntry(ctx context.Context, h *Head) error {
	if h == nil {
		return nil
	}
	name := AuditName(c.opts.Deployment, h.Entry.Revision)
	return c.createOnce(ctx, KindAudit, name, h.Signed.Bytes(), func(existing []byte) bool {
		return sameSigned(existing, h.Hash)
	})
}

// sameSigned reports whether raw is a signed object with the given hash.
func sameSigned(raw []byte, hash string) bool {
	s, err := bundle.ParseSigned(raw)
	return err == nil && s.Hash() == hash
}

// checkHeadNotReverted returns an error with code BrokenAudit if the audit chain has
// an entry of a higher revision than the head in s. That happens when the store was
// restored from an earlier copy. VMs would refuse the operator's new entry, since its
// revision or a higher one is already in force there.
func (c *Client) checkHeadNotReverted(ctx context.Context, s headState) error {
	archived, err := c.readArchived(ctx, s.revision()+1)
	if err != nil || archived == nil {
		return err
	}
	// The head may have advanced since s was read. This is no fault of the chain, and
	// the conditional write of the new entry will fail.
	current, err := c.readState(ctx)
	if err != nil || current.version != s.version {
		return err
	}
	return result.Errorf(result.BrokenAudit, "the head is at revision %d, but revision %d is archived already; the store was reverted to an earlier state", s.revision(), archived.Entry.Revision)
}

// writeHead replaces base, the head as read, by the entry e and returns the new head.
// The response to a write may be lost, and a write may conflict with an earlier try
// of the same operation. In both cases writeHead reads the head, whose operation id
// shows the outcome. The new head may hold an entry of an earlier run, see
// resolveWrite.
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
		case errors.Is(err, objstore.ErrBusy): // the write did not run
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

// timeoutError returns the error of an operation that took longer than
// ClientOptions.Patience. Its code is WriteUnknown if a write may have reached the
// platform (maybeSent), else PlatformDown. err is the error of the last write.
func (c *Client) timeoutError(maybeSent bool, op OpID, err error) error {
	if maybeSent {
		return result.Errorf(result.WriteUnknown, "run the same command again with --op %s to learn the outcome", op)
	}
	return result.Wrap(result.PlatformDown, err, "nothing was changed")
}

// resolveWrite finds out whether the entry e was accepted. It returns the head with
// the accepted entry, or an error with code Conflict or BrokenAudit. While the outcome
// is open, or if the platform can't be read, it returns nil and no error. The accepted
// entry may differ from e, for instance in At, if an earlier run with the same
// operation id wrote it.
func (c *Client) resolveWrite(ctx context.Context, e Entry) (*Head, error) {
	current, err := c.readState(ctx)
	if err != nil {
		return nil, nil
	}
	outcome, accepted, err := c.resolve(ctx, e.Op, e.Revision, current.head)
	switch {
	case result.CodeOf(err) == result.BrokenAudit:
		return nil, err
	case err != nil || outcome == OutcomeOpen:
		return nil, nil
	case outcome == OutcomeAccepted:
		return accepted, nil
	}
	return nil, conflictError(accepted, current.head)
}

// tryArchiveEntry archives an accepted entry, in one call without retry. It ignores
// failures: the operator who advances the head next archives the entry.
func (c *Client) tryArchiveEntry(ctx context.Context, h *Head) {
	_ = c.put(ctx, KindAudit, AuditName(c.opts.Deployment, h.Entry.Revision), 0, h.Signed.Bytes())
}
