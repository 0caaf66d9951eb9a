package rollout

import (
	"context"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Audit is the verified chain of a deployment's accepted changes.
type Audit struct {
	Entries []Entry // one for each revision from 1 to Head, oldest first
	Head    uint64  // revision of the head, the latest accepted change; 0 before the first rollout
}

// Audit reads the whole audit chain and verifies that it is unbroken: it has every
// revision from 1 to the head's, each entry is signed and names the hash of the
// previous one, and the last entry equals the head. Otherwise the error has code
// BrokenAudit.
func (c *Client) Audit(ctx context.Context) (Audit, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Patience)
	defer cancel()
	// The head is read first, so that entries accepted between the two reads only
	// extend the chain beyond it, which VerifyChain allows.
	s, err := c.readState(ctx)
	if err != nil {
		return Audit{}, err
	}
	archived, err := c.readChain(ctx)
	if err != nil {
		return Audit{}, err
	}
	if s.head == nil && len(archived) > 0 {
		// The first rollout may have happened between the two reads.
		if s, err = c.readState(ctx); err != nil {
			return Audit{}, err
		}
	}
	chain, err := VerifyChain(s.head, archived)
	if err != nil {
		return Audit{}, err
	}
	a := Audit{Head: s.revision(), Entries: make([]Entry, 0, len(chain))}
	for _, h := range chain {
		a.Entries = append(a.Entries, h.Entry)
	}
	return a, nil
}

// readChain reads the archived entries of the audit chain, oldest first. It verifies
// each entry's signature and name; VerifyChain checks that the entries follow each
// other.
func (c *Client) readChain(ctx context.Context) ([]*Head, error) {
	objects, err := c.list(ctx, KindAudit, c.opts.Deployment+".")
	if err != nil {
		return nil, err
	}
	archived := make([]*Head, 0, len(objects))
	for _, obj := range objects {
		h, err := openHead(obj.Value, c.opts.Deployment, c.opts.Keys, true)
		if err != nil {
			return nil, result.Wrap(result.BrokenAudit, err, "archived entry "+obj.Name)
		}
		if obj.Name != AuditName(c.opts.Deployment, h.Entry.Revision) {
			return nil, result.Errorf(result.BrokenAudit, "archived entry %s holds revision %d", obj.Name, h.Entry.Revision)
		}
		archived = append(archived, h)
	}
	return archived, nil
}

// VerifyChain checks that the archived entries, oldest first, form an unbroken audit
// chain that contains head, and returns the chain up to and including head. head was
// read before the entries and need not be archived yet; it is nil before the first
// rollout. Entries with a higher revision than head were accepted after head was
// read; they have to continue the chain too. Errors have code BrokenAudit.
func VerifyChain(head *Head, archived []*Head) ([]*Head, error) {
	if head == nil {
		if len(archived) > 0 {
			return nil, result.Errorf(result.BrokenAudit, "%d entries are archived, but there is no head", len(archived))
		}
		return nil, nil
	}
	all := archived
	// The head's own entry may not be archived yet.
	if uint64(len(archived)) == head.Entry.Revision-1 {
		all = append(append([]*Head{}, archived...), head)
	}
	if uint64(len(all)) < head.Entry.Revision {
		return nil, result.Errorf(result.BrokenAudit, "the head is at revision %d, but only %d entries are archived", head.Entry.Revision, len(archived))
	}
	prev := ""
	for i, h := range all {
		if h.Entry.Revision != uint64(i+1) {
			return nil, result.Errorf(result.BrokenAudit, "revision %d is missing, %d follows", i+1, h.Entry.Revision)
		}
		if h.Entry.Prev != prev {
			return nil, result.Errorf(result.BrokenAudit, "revision %d does not follow from revision %d as archived", i+1, i)
		}
		prev = h.Hash
	}
	if all[head.Entry.Revision-1].Hash != head.Hash {
		return nil, result.Errorf(result.BrokenAudit, "the archived entry of revision %d differs from the head", head.Entry.Revision)
	}
	return all[:head.Entry.Revision], nil
}
