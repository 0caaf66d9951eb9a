package query

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// trailLeaves stands in for leaves behind two owners of which vm-1 doesn't answer: a call goes
// through vm-1 unless an earlier attempt of its shard did.
type trailLeaves struct{ fakeLeaves }

// Search fails if it goes through vm-1.
func (l trailLeaves) Search(ctx context.Context, name string, leaf int, req target.LeafRequest) (target.LeafAnswer, error) {
	trail := target.TrailOf(ctx)
	if !trail.Contains("vm-1") {
		trail.Add("vm-1")
		return target.LeafAnswer{}, &target.CallError{Kind: target.ErrorDeadline, Target: name, Via: "vm-1"}
	}
	return l.fakeLeaves.Search(ctx, name, leaf, req)
}

// Guards against attempts of one shard that don't know through which VM the earlier ones went:
// with two attempts, each shard must be answered by its second one.
func TestAttemptsOfAShardShareATrail(t *testing.T) {
	g := NewWithT(t)
	const shards = 3
	e := NewEngine(Options{Leaves: trailLeaves{}})
	defer e.Close()
	e.Apply(&bundle.Bundle{
		Fleet:    bundle.Fleet{MaxVMs: 1},
		Services: []bundle.Service{{Name: "s", Shards: shards, Targets: []bundle.Target{{Name: "t", Leaves: 1, Slots: 2 * shards}}}},
		Searches: []bundle.Search{{Service: "s", Retry: bundle.Retry{Budget: 1}}},
	})
	var holdings []target.Holding
	for shard := range shards {
		holdings = append(holdings, target.Holding{Snapshot: "v1", Seq: 1, Shards: shards, Shard: shard, Records: 1})
	}
	e.TargetStatus("t", target.Status{
		Incarnation: "i1", State: target.StateServing, Leaves: []target.LeafStatus{{Holdings: holdings}},
	}, time.Now())
	a := e.Search(context.Background(), &Request{
		Search: &bundle.Search{Service: "s", Retry: bundle.Retry{MaxAttempts: 2}}, Arrived: time.Now(),
		TimeLimit: 10 * time.Second, MinCoverage: 1, MaxItems: 1,
	})
	g.Expect(a.Code).To(Equal(result.Complete))
	g.Expect(a.Sent).To(Equal(2 * shards))
}
