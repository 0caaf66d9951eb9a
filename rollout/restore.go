package rollout

import (
	"context"
	"errors"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// RestoreHead writes the latest kept entry to the head again, after the head
// object was lost, overwritten or set back to an earlier copy. It makes no new revision and
// can put nothing into force that was not accepted before: the entry was the
// head once, and is signed. It changes nothing if the head is the latest.
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
		return Entry{}, result.Errorf(result.NotFound, "no entry is kept")
	}
	last := archived[len(archived)-1]
	if s.revision() >= last.Entry.Revision {
		return s.head.Entry, nil
	}
	if _, err := VerifyChain(last, archived); err != nil {
		return Entry{}, err
	}
	if s.head != nil && archived[s.revision()-1].Hash != s.head.Hash {
		return Entry{}, result.Errorf(result.BrokenAudit, "revision %d as kept is not the head's", s.revision())
	}
	return last.Entry, c.replaceHead(ctx, s, last)
}

// readStateIfValid is readState that takes a head which is no signed entry for none.
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

// replaceHead is safe to repeat: the write depends on the version read, and a
// conflict with an own earlier try shows as the head that was meant.
func (c *Client) replaceHead(ctx context.Context, s headState, h *Head) error {
	for try := 0; ; try++ {
		err := c.put(ctx, KindHead, c.opts.Deployment, s.version, h.Signed.Bytes())
		if err == nil {
			return nil
		}
		if errors.Is(err, objstore.ErrConflict) {
			now, err := c.readStateIfValid(ctx)
			if err != nil {
				return err
			}
			if now.head != nil && now.head.Hash == h.Hash {
				return nil
			}
			return result.Errorf(result.Conflict, "the head changed meanwhile; look at it with status and decide anew")
		}
		if ctx.Err() != nil {
			return result.Wrap(result.WriteUnknown, err, "run the same command again")
		}
		c.opts.Backoff(ctx, try)
	}
}
