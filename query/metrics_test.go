package query

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// fakeLeaves stands in for the leaves of all targets. It answers every request at once.
type fakeLeaves struct{}

// Search always returns a complete answer without items.
func (fakeLeaves) Search(_ context.Context, _ string, _ int, req target.LeafRequest) (target.LeafAnswer, error) {
	return target.LeafAnswer{Echo: req.Echo, Records: 1, Complete: true}, nil
}

// Submit always returns an empty answer.
func (fakeLeaves) Submit(context.Context, string, int, target.SubmitRequest) (target.SubmitAnswer, error) {
	return target.SubmitAnswer{}, nil
}

// Guards against searches that get slower without a metric that shows whether they
// wait for admission, for a retry or for a leaf. Each phase of a complete answer must
// be counted.
func TestPhaseMetrics(t *testing.T) {
	g := NewWithT(t)
	set := metrics.NewSet()
	e := NewEngine(Options{Leaves: fakeLeaves{}, Metrics: set})
	defer e.Close()
	e.Apply(&bundle.Bundle{
		Fleet:    bundle.Fleet{MaxVMs: 1},
		Services: []bundle.Service{{Name: "s", Shards: 1, Targets: []bundle.Target{{Name: "t", Leaves: 1, Slots: 2}}}},
	})
	e.TargetStatus("t", target.Status{
		Incarnation: "i1", State: target.StateServing,
		Leaves: []target.LeafStatus{{Holdings: []target.Holding{{Snapshot: "v1", Seq: 1, Shards: 1, Records: 1}}}},
	}, time.Now())
	a := e.Search(context.Background(), &Request{
		Search: &bundle.Search{Service: "s"}, Arrived: time.Now(), TimeLimit: 10 * time.Second, MinCoverage: 1, MaxItems: 1,
	})
	g.Expect(a.Code).To(Equal(result.Complete))
	var text bytes.Buffer
	set.WritePrometheus(&text)
	for _, p := range []string{"admission", "held", "attempt"} {
		g.Expect(text.String()).To(ContainSubstring(`bramley_query_phase_seconds_count{service="s",phase="` + p + `"} 1`))
	}
}
