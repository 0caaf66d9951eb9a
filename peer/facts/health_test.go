package facts

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var testTargets = []string{"t0", "t1", "t2"}

func newTestTable() *Table {
	t := NewTable()
	t.SetTargets(testTargets)
	return t
}

func drawHealth(t *rapid.T) *Health {
	h := &Health{
		Target: rapid.SampledFrom(testTargets).Draw(t, "target"),
		Stamp: Stamp{
			Epoch:       rapid.Uint64Range(1, 3).Draw(t, "epoch"),
			FirstRead:   rapid.Int64Range(0, 1).Draw(t, "born"),
			Incarnation: fmt.Sprint("i", rapid.IntRange(0, 1).Draw(t, "incarnation")),
			Drained:     rapid.Bool().Draw(t, "drained"),
			Seq:         rapid.Uint64Range(0, 3).Draw(t, "seq"),
			At:          rapid.Int64Range(0, 2).Draw(t, "at"),
		},
		Maps:         []Map{{"s", 1, 4}},
		Leaves:       [][]Holding{{{0, 0, rapid.Int64Range(0, 2).Draw(t, "records")}}},
		UnreadableBy: rapid.SliceOfN(rapid.IntRange(0, 3), 0, 2).Draw(t, "unread"),
	}
	if h.Drained {
		h.State = Draining
	}
	return h
}

func mergeHealthChecked(t *rapid.T, table *Table, f Fact) {
	before, known := table.Health(f.Health.Target)
	news := table.Merge(f, now)
	after, _ := table.Health(f.Health.Target)
	if known && before.Outranks(after) {
		t.Fatalf("%v set back to %v", before, after)
	}
	if known && after.Epoch < before.Epoch {
		t.Fatalf("%v: an earlier incarnation than %v", after, before)
	}
	same := after.Epoch == before.Epoch && after.FirstRead == before.FirstRead && after.Incarnation == before.Incarnation
	if known && before.Drained && same && !after.Drained {
		t.Fatalf("%v is no more drained in %v", before, after)
	}
	if news != (!known || !table.Contains(Fact{Health: &before})) {
		t.Fatalf("news %v, but %v was followed by %v", news, before, after)
	}
}

// TestHealthOrderIsTotal: of two statements exactly one wins, and who wins does
// not depend on what was heard in between.
func TestHealthOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := *drawHealth(t), *drawHealth(t), *drawHealth(t)
		a.Target, b.Target, c.Target = "t", "t", "t"
		if a.encoded() != b.encoded() && a.Outranks(b) == b.Outranks(a) {
			t.Fatalf("no order between %v and %v", a, b)
		}
		if a.Outranks(b) && b.Outranks(c) && !a.Outranks(c) {
			t.Fatalf("%v over %v over %v, but not over it", a, b, c)
		}
	})
}

// TestHealthOfTargetsNotInForce: a bundle takes a target out, and a VM that still
// has the earlier bundle goes on telling of it. What was forgotten must not come
// back, or tables would grow with every target there ever was.
func TestHealthOfTargetsNotInForce(t *testing.T) {
	g := NewWithT(t)
	table := newTestTable()
	h := Health{Target: "t0", Stamp: Stamp{Epoch: 1, Incarnation: "i"}}
	empty := table.Root(Targets)
	g.Expect(table.Merge(Fact{Health: &h}, now)).To(BeTrue())
	g.Expect(table.SetTargets([]string{"t1"})).To(BeTrue())
	g.Expect(table.HealthCount()).To(BeZero())
	g.Expect(table.Root(Targets)).To(Equal(empty))
	g.Expect(table.Merge(Fact{Health: &h}, now)).To(BeFalse())
}

func TestMalformedHealthIsRefused(t *testing.T) {
	g := NewWithT(t)
	table := newTestTable()
	stamp := Stamp{Epoch: 1, Incarnation: "i"}
	for _, h := range []Health{
		{Target: "t0"},
		{Target: "t0", Stamp: stamp, State: Draining},
		{Target: "t0", Stamp: stamp, Leaves: [][]Holding{{{0, 0, 1}}}},
		{Target: "t0", Stamp: stamp, Maps: []Map{{"s", 1, 1}}, Leaves: [][]Holding{{{0, 0}}}},
		{Target: "t0", Stamp: stamp, Maps: []Map{{strings.Repeat("s", MaxHealthBytes), 1, 1}}},
	} {
		g.Expect(table.Merge(Fact{Health: &h}, now)).To(BeFalse(), "%v", h)
	}
}
