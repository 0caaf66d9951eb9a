package relay

import (
	"context"
	"encoding/json"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Committer applies the operations of other VMs. An error means that none of the
// batch was or will be applied.
type Committer interface {
	Commit(ctx context.Context, b Batch) ([]Reply, error)
}

// Handle serves the methods of this package. It never calls another VM. An error of
// c is returned with the code result.PeerBusy.
func Handle(ctx context.Context, c Committer, method string, params json.RawMessage) (any, error) {
	if method != MethodCommit {
		return nil, result.Errorf(result.UnknownMethod, "%q", method)
	}
	var b Batch
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "")
	}
	if len(b.Ops) == 0 || len(b.Ops) > MaxOps || b.Segment == "" {
		return nil, result.Errorf(result.BadMessage, "%d operations on segment %q, at most %d", len(b.Ops), b.Segment, MaxOps)
	}
	replies, err := c.Commit(ctx, b)
	if err != nil {
		return nil, result.Wrap(result.PeerBusy, err, err.Error())
	}
	return Replies{Replies: replies}, nil
}
