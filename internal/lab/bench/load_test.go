package bench

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// Guards against a benchmark that counts a wrong answer as correct and so hides a fault of
// the daemon. Each case changes a correct answer as a faulty daemon could, and the changed
// answer must not match.
func TestWrongAnswersAreDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	svc := Service{Name: "desk"}
	index := svc.index(1, 4)
	expected := newExpectedAnswers()
	expected.addIndex(index)
	completeAnswer := func() gateway.Answer {
		items, more, records := index.ExpectedAnswer(target.KindSearch, "well", "", itemLimit)
		return gateway.Answer{
			Snapshot: index.Snapshot, Items: append([]target.Item{}, items...), More: more,
			Coverage: &gateway.Coverage{Ratio: 1, Shards: 4, ShardsAnswered: 4, Records: records},
		}
	}
	g.Expect(expected.matches(svc.Name, "well", completeAnswer())).To(gomega.BeTrue())
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
		a := completeAnswer()
		change(&a)
		g.Expect(expected.matches(svc.Name, "well", a)).To(gomega.BeFalse(), name)
	}
}

// Guards against a median that one window with an outlier decides, and against a panic if
// there are no windows.
func TestMedianOfWindows(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(median([]float64{30, 900, 20})).To(gomega.Equal(30.0))
	g.Expect(median(nil)).To(gomega.BeZero())
}
