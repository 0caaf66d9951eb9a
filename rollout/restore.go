package rollout

import (
	"context"
	"errors"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// RestoreHead writes the latest archived entry to the head again, after the head
// object was lost, overwritten or reverted to an earlier copy. It creates no new
// revision and can't put anything into force that was not accepted before: the
// entry is signed and was the head earlier. It changes nothing if the head is up
// to date.
func (c *Client) RestoreHead(ctx context.Context) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Patience)
	defer cancel()
	s, err := c.readStateIfValid(ctx)
	if err != nil {
		return Entry{}, err
	}
	archived, err := c.readChain(ctx)
	if err != nil {
		return Entry{}, err
	}
	if len(archived) == 0 {
		return Entry{}, result.Errorf(result.NotFound, "no entry is archived")
	}
	last := archived[len(archived)-1]
	if s.revision() >= last.Entry.Revision {
		return s.head.Entry, nil
	}
	if _, err := VerifyChain(last, archived); err != nil {
		return Entry{}, err
	}
	// A head that is older than the archive has to be an earlier entry of the chain.
	if s.head != nil && archived[s.revision()-1].Hash != s.head.Hash {
		return Entry{}, result.Errorf(result.BrokenAudit, "the archived entry of revision %d differs from the head", s.revision())
	}
	return last.Entry, c.replaceHead(ctx, s, last)
}

// readStateIfValid is like readState, but if the head is not a valid signed entry, it
// returns a headState without a head, with the version of the head object.
func (c *Client) readStateIfValid(ctx context.Context) (headState, error) {
	obj, err := c.get(ctx, KindHead, c.opts.Deployment)
	if errors.Is(err, objstore.ErrNotFound) {
		return headState{}, nil
	}
	if err != nil {
		return headState{}, err
	}
	s := headState{version: obj.Version}
	if head, err := openHead(obj.Value, c.opts.Deployment, c.opts.Keys, true); err == nil {
		s.head = head
	}
	return s, nil
}

// replaceHead writes h to the head object, on condition that the object still has
// the version in s. It retries until ctx ends. A retry is safe: if an earlier try
// took effect, the next one fails with a conflict, and replaceHead finds that the
// head equals h.
func (c *Client) replaceHead(ctx context.Context, s headState, h *Head) error {
	for try := 0; ; try++ {
		err := c.put(ctx, KindHead, c.opts.Deployment, s.version, h.Signed.Bytes())
		if err == nil {
			return nil
		}
		if errors.Is(err, objstore.ErrConflict) {
			current, err := c.readStateIfValid(ctx)
			if err != nil {
				return err
			}
			if current.head != nil && current.head.Hash == h.Hash {
				return nil
			}
			return result.Errorf(result.Conflict, "the head changed meanwhile; look at it with status and decide again")
		}
		if ctx.Err() != nil {
			return result.Wrap(result.WriteUnknown, err, "run the same command again")
		}
		c.opts.Backoff(ctx, try)
	}
}
