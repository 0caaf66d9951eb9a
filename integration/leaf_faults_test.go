package integration

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// A caller gets another caller's records, or some records twice: a target
// answers with what belongs to another request, answers twice over, or so late
// that a second attempt is already under way. Every caller must get its own
// answer, whole, since another replica of each shard answers rightly.
func TestCrossedLateAndDuplicateLeafAnswers(t *testing.T) {
	const many = 1 << 30
	tests := []struct {
		name   string
		faults targetsim.Faults
	}{
		{"crossed", targetsim.Faults{MismatchedAnswers: many}},
		{"duplicate", targetsim.Faults{DuplicateAnswers: many}},
		{"late", targetsim.Faults{LateAnswers: many, LateMS: 300}},
		{"late and crossed", targetsim.Faults{LateAnswers: many, LateMS: 100, MismatchedAnswers: many}},
	}
	c := start(t, clusterConfig{Targets: 4, Bundle: func(b *bundle.Bundle) {
		b.Searches[0].Retry.Budget, b.Searches[0].Hedge.Budget = 1, 1
	}})
	for _, tt := range tests {
		l := c.startLoad(1, 0, truthOf(c.Index).check)
		c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout).Should(gomega.BeNumerically(">", 20))
		c.ok(c.Targets[1].SetFaults(tt.faults))
		before := l.answered(result.Complete)
		c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout).Should(gomega.BeNumerically(">", before+200), tt.name)
		c.ok(c.Targets[1].SetFaults(targetsim.Faults{}))
		c.Expect(l.stop()).To(gomega.BeEmpty(), tt.name)
		c.Expect(l.answered(result.CoverageTooLow, result.TimedOut)).To(gomega.BeZero(), tt.name)
	}
}

// Searches run into their time limit until somebody restarts the daemons: what
// lies between them and the targets has lost track of every open connection;
// they say nothing any more, and new ones work. It happens twice. The daemons
// have to find the silent connections and open new ones by themselves.
func TestSilentTargetConnectionsUnderLoad(t *testing.T) {
	c := start(t, clusterConfig{ProxyTargets: true, Target: func(_ int, o *targetsim.Options) {
		o.IdleMS = 1000 // the target's end of a silent connection counts against its limit
	}})
	l := c.startLoad(1, 5000, truthOf(c.Index).check)
	for range 2 {
		before := l.answered(result.Complete)
		c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout).Should(gomega.BeNumerically(">", before+50))
		for _, proxy := range c.TargetProxies {
			c.ok(proxy.Silence())
		}
		for _, d := range c.Daemons {
			c.waitComplete(d)
		}
	}
	c.Expect(l.stop()).To(gomega.BeEmpty())
}

// A target that is being replaced cuts searches off: it says that it is leaving,
// and VMs go on sending it work. A few seconds after it began to leave it must
// get no search from any VM, and no search may fall short meanwhile, since
// other replicas hold its shards.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	c := start(t, clusterConfig{Targets: 4})
	l := c.startLoad(1, 0, truthOf(c.Index).check)
	leaving := c.Targets[1]
	c.ok(leaving.SetDraining(true))
	attempts := func() int {
		counters := must[targetsim.Counters](c)(leaving.Counters())
		return counters.Searches + counters.Refused[target.ReasonDraining]
	}
	// The load goes on: 200 more answers without any attempt at that target.
	c.Eventually(func() bool {
		tried, answered := attempts(), l.answered(result.Complete)
		c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout).Should(gomega.BeNumerically(">", answered+200))
		return attempts() == tried
	}, waitTimeout).Should(gomega.BeTrue())
	c.Expect(l.stop()).To(gomega.BeEmpty())
	c.Expect(l.answered(result.CoverageTooLow, result.TimedOut)).To(gomega.BeZero())
}

// A moderator takes a list for all there is, although matches were cut off by
// the limit that was asked for. With one shard only the leaf knows that it cut
// some; the answer has to pass that on.
func TestMatchesCutByTheLimitAreStated(t *testing.T) {
	c := start(t, clusterConfig{Shards: 1})
	for _, limit := range []int{1, 3, 49, 1000} {
		for _, query := range []string{"well", ""} {
			body := gateway.SearchBody{Query: query, Limit: limit}
			a, status, err := c.Daemons[0].Search(c.ctx, findSearch, body)
			c.ok(err)
			c.Expect(status).To(gomega.Equal(http.StatusOK))
			c.expectTruth(a, c.Index, target.KindSearch, body)
		}
	}
}
