package scatter

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// learnShards lets the leafs of n gathered requests answer, the slow ones after the time
// given, which their machines state or not, the others after 8 ms.
func (w *world) learnShards(names []string, n int, slow map[string]bool, took time.Duration, stated bool) {
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
				if stated && late {
					w.table.RecordLoad(w.now, s.Leaf, Load{Slots: 2, Slowdown: float64(took) / float64(8*time.Millisecond)})
				}
				w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
				q.Reply(w.now, s.Attempt, false)
			}
		}
		w.wait(20 * time.Millisecond)
	}
}

// A fifth of the leafs is slow, and then one leaf goes dark. Callers get answers without
// its shard, or none: by the time in which nine of ten leafs answer, the slow ones included,
// a second leaf was to be asked only when the request was over.
func TestSilentLeafIsHedgedWhileOthersAreSlow(t *testing.T) {
	for _, stated := range []bool{true, false} {
		t.Run(fmt.Sprintf("stated %v", stated), func(t *testing.T) {
			w := newWorld(t)
			names := w.shards(20, homeZone)
			w.learnShards(names, 10, map[string]bool{names[0]: true, names[1]: true, names[2]: true, names[3]: true}, 85*time.Millisecond, stated)
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
			w.Expect(w.now.Sub(began)).To(gomega.BeNumerically("<=", 70*time.Millisecond), "8 ms and the way must be left")
		})
	}
}
