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

// A caller must not get another caller's records, or some records twice. A target returns
// the answer to another request, returns its answer twice, or answers so late that a
// second attempt is already in progress. Every caller must get its own, complete answer,
// since another replica of each shard answers correctly.
func TestCrossedLateAndDuplicateAnswersOfOneTarget(t *testing.T) {
	const many = 1 << 30 // more than the searches of the test
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

// A network device between the daemons and the targets loses its state of all open
// connections, twice: they carry no more data, while new connections work. The daemons
// must detect the silent connections and open new ones; otherwise searches would time out
// until the daemons are restarted.
func TestSilentTargetConnectionsUnderLoad(t *testing.T) {
	c := start(t, clusterConfig{ProxyTargets: true, Target: func(_ int, o *targetsim.Options) {
		o.IdleMS = 1000 // closes the target's end of a silent connection, which counts toward the target's limit
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

// A target that is being replaced reports that it is draining. If VMs went on sending it
// searches, these would be cut off when it stops. Within a few seconds all VMs must stop
// sending it searches. No search may be incomplete meanwhile, since other replicas hold
// its shards.
func TestDrainingTargetGetsNoNewSearches(t *testing.T) {
	c := start(t, clusterConfig{Targets: 4})
	l := c.startLoad(1, 0, truthOf(c.Index).check)
	draining := c.Targets[1]
	c.ok(draining.SetDraining(true))
	attempts := func() int {
		counters := must[targetsim.Counters](c)(draining.Counters())
		return counters.Searches + counters.Refused[target.ReasonDraining]
	}
	// Wait for 200 complete answers in a row without an attempt at that target.
	c.Eventually(func() bool {
		tried, answered := attempts(), l.answered(result.Complete)
		c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout).Should(gomega.BeNumerically(">", answered+200))
		return attempts() == tried
	}, waitTimeout).Should(gomega.BeTrue())
	c.Expect(l.stop()).To(gomega.BeEmpty())
	c.Expect(l.answered(result.CoverageTooLow, result.TimedOut)).To(gomega.BeZero())
}

// An answer must say if its limit cut off matches. With one shard only the leaf knows
// that it did, so the VM must pass this on from the leaf's answer.
func TestMatchesCutByTheLimitAreStated(t *testing.T) {
	c := start(t, clusterConfig{Shards: 1})
	for _, limit := range []int{1, 3, 49, 1000} {
		for _, query := range []string{"well", ""} {
			body := gateway.SearchBody{Query: query, Limit: limit}
			a, status, err := c.Daemons[0].Search(c.ctx, findSearch, body)
			c.ok(err)
			c.Expect(status).To(gomega.Equal(http.StatusOK))
			c.expectCompleteAnswer(a, c.Index, target.KindSearch, body)
		}
	}
}
