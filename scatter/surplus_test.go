package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// surplusLoad plays a load of callers on a service of which one leaf sends on after each answer, and returns the
// numbers of requests that this leaf and all leafs answered.
func surplusLoad(t *testing.T, callers int) (bad, total int) {
	f := newFailingLoad(t, EndAnswered, callers, 0)
	id := LeafID{ID: "leaf-0", Born: 1}
	for range 5000 {
		before := f.answers[id]
		f.run(time.Millisecond, true)
		for range f.answers[id] - before {
			f.table.RecordSurplus(f.now, id)
		}
	}
	for _, n := range f.answers {
		total += n
	}
	f.Expect(f.failed).To(gomega.BeZero())
	return f.answers[id], total
}

// Guards against a leaf that gets as much work as the others although it sends on after each answer, so that each
// request takes a new connection.
func TestLeafThatSendsOnAfterItsAnswersGetsLessWork(t *testing.T) {
	g := gomega.NewWithT(t)
	bad, total := surplusLoad(t, 4)
	t.Logf("%d of %d", bad, total)
	g.Expect(bad).To(gomega.BeNumerically("<", total/20))
}

// Guards against callers that wait while a leaf could serve them whose answers are whole, but which sends on after each.
func TestLeafThatSendsOnAfterItsAnswersServesWhatOthersHaveNoRoomFor(t *testing.T) {
	g := gomega.NewWithT(t)
	bad, total := surplusLoad(t, 16)
	t.Logf("%d of %d", bad, total)
	g.Expect(bad).To(gomega.BeNumerically(">", total/8))
}
