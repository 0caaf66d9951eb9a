package bench

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// The bench must not take a wrong answer for a whole one: each change below is
// something that a faulty daemon could do.
func TestWrongAnswersAreDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	svc := Service{Name: "desk"}
	x := svc.index(1, 4)
	truths := newExpectedAnswers()
	truths.addIndex(x)
	whole := func() gateway.Answer {
		items, more, all := x.ExpectedAnswer(target.KindSearch, "well", "", itemLimit)
		return gateway.Answer{
			Snapshot: x.Snapshot, Items: append([]target.Item{}, items...), More: more,
			Coverage: &gateway.Coverage{Ratio: 1, Shards: 4, ShardsAnswered: 4, Records: all},
		}
	}
	g.Expect(truths.matches(svc.Name, "well", whole())).To(gomega.BeTrue())
	tests := map[string]func(*gateway.Answer){
		"unknown snapshot":      func(a *gateway.Answer) { a.Snapshot = "s9" },
		"no coverage":           func(a *gateway.Answer) { a.Coverage = nil },
		"another partition map": func(a *gateway.Answer) { a.Coverage.Shards++ },
		"records left out":      func(a *gateway.Answer) { a.Coverage.Records-- },
		"item left out":         func(a *gateway.Answer) { a.Items = a.Items[1:] },
		"items swapped":         func(a *gateway.Answer) { a.Items[0], a.Items[1] = a.Items[1], a.Items[0] },
		"item of another snapshot": func(a *gateway.Answer) {
			a.Items[3].Fields = json.RawMessage(`{"snapshot":"s0"}`)
		},
	}
	for name, change := range tests {
		a := whole()
		change(&a)
		g.Expect(truths.matches(svc.Name, "well", a)).To(gomega.BeFalse(), name)
	}
}

func TestMedianOfWindows(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(median([]float64{30, 900, 20})).To(gomega.Equal(30.0))
	g.Expect(median(nil)).To(gomega.BeZero())
}
