package scatter

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// runGathered runs n gathered requests. The leafs of the services in slow answer later than the
// others by the time took; the others answer after 8 ms. If reported is set, the slow leafs report
// that work on their machines takes longer by the factor took / 8 ms.
func (w *world) runGathered(names []string, n int, slow map[string]bool, took time.Duration, reported bool) {
	for range n {
		q := NewQuery(w.gathered(names), w.table)
		first := sends(q.Start(w.now))
		for _, late := range []bool{false, true} {
			at := w.now
			w.wait(8 * time.Millisecond)
			if late {
				w.now = at.Add(took)
			}
			for _, s := range first {
				if slow[names[s.Shard]] != late {
					continue
				}
				if reported && late {
					w.table.RecordLoad(w.now, s.Leaf, Load{Slots: 2, Slowdown: float64(took) / float64(8*time.Millisecond)})
				}
				w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
				q.Reply(w.now, s.Attempt, false)
			}
		}
		w.wait(20 * time.Millisecond)
	}
}

// Guards against a hedge that comes too late. A fifth of the leafs is slow, and then one leaf does
// not answer. If the hedge were due only after the time in which nine of ten leafs answer, slow
// ones included, the request would be over by then. Its answer, if any, would lack the shard of the
// silent leaf.
func TestSilentLeafIsHedgedWhileOthersAreSlow(t *testing.T) {
	for _, reported := range []bool{true, false} {
		t.Run(fmt.Sprintf("stated %v", reported), func(t *testing.T) {
			w := newWorld(t)
			names := w.shards(20, homeZone)
			w.runGathered(names, 10, map[string]bool{names[0]: true, names[1]: true, names[2]: true, names[3]: true}, 85*time.Millisecond, reported)
			w.leaf("dark", homeZone)
			w.leaf("dark", "other")
			q := NewQuery(w.gathered([]string{names[10], "dark"}), w.table)
			first := sends(q.Start(w.now))
			w.wait(8 * time.Millisecond)
			q.Reply(w.now, first[0].Attempt, false)
			began, hedged := first[1].SentAt, []Send(nil)
			for len(hedged) == 0 && w.now.Sub(began) < 90*time.Millisecond {
				w.now = q.Wake(w.now)
				hedged = sends(q.Tick(w.now))
			}
			w.Expect(hedged).To(gomega.HaveLen(1))
			w.Expect(w.now.Sub(began)).To(gomega.BeNumerically("<=", 70*time.Millisecond), "8 ms and the time on the network must remain until AnswerBy")
		})
	}
}
