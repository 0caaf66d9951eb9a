package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a burst of retries and hedges around the boundary of two windows that causes more
// extra arrivals than allowed. In every sliding window, the extra arrivals stay within the ratio
// of the requests plus this VM's share of the budget's floor.
func TestBudgetHoldsInEverySlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		config := BudgetConfig{Ratio: 0.2, Floor: 40, Window: 10 * time.Second}
		start := time.Unix(1000, 0)
		b := newBudget(config, start)
		b.floor = config.Floor / 10
		var requests, extras []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.countRequest(now, 1)
				requests = append(requests, now)
				continue
			}
			if !b.spend(now, 0) {
				continue
			}
			extras = append(extras, now)
			allowed := config.Ratio*float64(countAfter(requests, now.Add(-config.Window))) + config.Floor/10
			g.Expect(float64(countAfter(extras, now.Add(-config.Window)))).To(gomega.BeNumerically("<=", allowed))
		}
	})
}

// countAfter returns how many of the times are after from.
func countAfter(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}

// Guards against a budget that is never refilled: it would refuse every retry after the first
// minute.
func TestSpentBudgetIsRefilled(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	b := newBudget(BudgetConfig{Ratio: 0.2, Floor: 40, Window: 10 * time.Second}, now)
	b.floor = 4
	for range 4 {
		g.Expect(b.spend(now, 0)).To(gomega.BeTrue())
	}
	g.Expect(b.spend(now, 0)).To(gomega.BeFalse())
	g.Expect(b.spend(now.Add(11*time.Second), 0)).To(gomega.BeTrue())
}
