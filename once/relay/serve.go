package relay

import (
	"context"
	"encoding/json"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Committer applies operations that other VMs send. Commit returns one reply per
// operation, in the order of the batch. An error means that no operation of the batch
// was or will be applied.
type Committer interface {
	Commit(ctx context.Context, b Batch) ([]Reply, error)
}

// Handle answers a call that another VM made to a method of this package: it passes
// the batch to c and returns c's Replies. An error of c is returned with the code
// result.PeerBusy.
func Handle(ctx context.Context, c Committer, method string, params json.RawMessage) (any, error) {
	if method != MethodCommit {
		return nil, result.Errorf(result.UnknownMethod, "%q", method)
	}
	var b Batch
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "")
	}
	if len(b.Ops) == 0 || len(b.Ops) > MaxOps || b.Segment == "" {
		return nil, result.Errorf(result.BadMessage, "%d operations on segment %q; needed are 1 to %d operations and the name of the segment", len(b.Ops), b.Segment, MaxOps)
	}
	replies, err := c.Commit(ctx, b)
	if err != nil {
		return nil, result.Wrap(result.PeerBusy, err, err.Error())
	}
	return Replies{Replies: replies}, nil
}
