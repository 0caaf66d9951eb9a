package query

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// brokenLeaves stands in for leaves behind an owner whose connections break in every call.
type brokenLeaves struct{ fakeLeaves }

// Search always fails.
func (brokenLeaves) Search(_ context.Context, name string, _ int, _ target.LeafRequest) (target.LeafAnswer, error) {
	return target.LeafAnswer{}, &target.CallError{Kind: target.ErrorBroken, Target: name, Via: "vm-7"}
}

// Guards against failed searches of which the log doesn't say which attempts were made,
// through which VMs, and why each failed.
func TestFailedSearchIsLoggedWithItsAttempts(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	e := NewEngine(Options{Leaves: brokenLeaves{}, Log: slog.New(slog.NewTextHandler(&lines, nil))})
	defer e.Close()
	e.Apply(&bundle.Bundle{
		Fleet:    bundle.Fleet{MaxVMs: 1},
		Services: []bundle.Service{{Name: "s", Shards: 1, Targets: []bundle.Target{{Name: "t", Leaves: 1, Slots: 2}}}},
		Searches: []bundle.Search{{Service: "s", Retry: bundle.Retry{Budget: 1}}},
	})
	e.TargetStatus("t", target.Status{
		Incarnation: "i1", State: target.StateServing,
		Leaves: []target.LeafStatus{{Holdings: []target.Holding{{Snapshot: "v1", Seq: 1, Shards: 1, Records: 1}}}},
	}, time.Now())
	a := e.Search(context.Background(), &Request{
		ID:     "request-1",
		Search: &bundle.Search{Service: "s", Retry: bundle.Retry{MaxAttempts: 2}}, Arrived: time.Now(),
		TimeLimit: 10 * time.Second, MinCoverage: 1, MaxItems: 1,
	})
	g.Expect(a.Code).To(Equal(result.CoverageTooLow))
	g.Expect(lines.String()).To(And(
		ContainSubstring(`msg="search failed"`),
		ContainSubstring("request=request-1"),
		ContainSubstring(`missing="0 broken"`),
		ContainSubstring("failed=2"),
		MatchRegexp(`attempts="shard 0 target t leaf 0 after \d+ ms: target t via vm-7: broken; shard 0 target t leaf 0 after`),
	))
}
