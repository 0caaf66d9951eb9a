package edge

import (
	"bytes"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/tenant"
)

// Guards against a series for each priority that a manifest may name, and against series where
// requests have no order.
func TestRanksAreCountedInFewSeries(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStats()
	text := func() string {
		var b bytes.Buffer
		s.set.WritePrometheus(&b)
		return b.String()
	}
	s.ranked(scatter.Spec{Rank: 3}, scatter.Outcome{}, scatter.Yields{})
	g.Expect(text()).NotTo(gomega.ContainSubstring("bramley_edge_ranked_total"))
	for rank := range 1000 {
		s.ranked(scatter.Spec{Rank: rank}, scatter.Outcome{}, scatter.Yields{Ranked: true, Hedges: 2})
	}
	s.ranked(scatter.Spec{Delegated: true}, scatter.Outcome{Verdict: scatter.NotRun}, scatter.Yields{Ranked: true, Request: true})
	g.Expect(strings.Count(text(), "bramley_edge_ranked_total")).To(gomega.Equal(9))
	g.Expect(text()).To(gomega.ContainSubstring(`bramley_edge_yielded_total{rank="7",what="hedge"} 1986`))
	g.Expect(text()).To(gomega.ContainSubstring(`bramley_edge_ranked_total{rank="0",by="vm",end="yielded"} 1`))
}

// Guards against a tenant without a limit that has no room, or all of it.
func TestTenantsWithoutLimitHaveNoWeightOfTheirOwn(t *testing.T) {
	weights := tenantWeights([]tenant.Tenant{{Name: "large", Limit: tenant.Limit{RatePerS: 19, Burst: 19}}, {Name: "free"}})
	gomega.NewWithT(t).Expect(weights).To(gomega.Equal(map[string]float64{"large": 19}))
}
