package facts

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// testTargets holds the names of the targets whose health newTestTable keeps.
var testTargets = []string{"t0", "t1", "t2"}

// newTestTable returns a table that keeps the health of testTargets.
func newTestTable() *Table {
	t := NewTable()
	t.SetTargets(testTargets)
	return t
}

// drawHealth draws a statement from so few values that stamps are often equal in part.
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

// mergeHealthChecked merges a Health fact. It fails if an older statement replaces a newer
// one, if a drained incarnation is no longer drained, or if Merge returns the wrong result.
func mergeHealthChecked(t *rapid.T, table *Table, f Fact) {
	before, known := table.Health(f.Health.Target)
	changed := table.Merge(f, now)
	after, _ := table.Health(f.Health.Target)
	if known && before.Outranks(after) {
		t.Fatalf("%v was replaced by the older %v", before, after)
	}
	if known && after.Epoch < before.Epoch {
		t.Fatalf("%v: an earlier incarnation than %v", after, before)
	}
	sameIncarnation := after.Epoch == before.Epoch && after.FirstRead == before.FirstRead && after.Incarnation == before.Incarnation
	if known && before.Drained && sameIncarnation && !after.Drained {
		t.Fatalf("%v is drained, but %v isn't", before, after)
	}
	if changed != (!known || !table.Contains(Fact{Health: &before})) {
		t.Fatalf("Merge returned %v, but %v was followed by %v", changed, before, after)
	}
}

// TestHealthOrderIsTotal: of two different statements exactly one must outrank the other,
// and Outranks must be transitive. Otherwise the state of a table would depend on the
// order in which statements arrive, and VMs would not converge.
func TestHealthOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := *drawHealth(t), *drawHealth(t), *drawHealth(t)
		a.Target, b.Target, c.Target = "t", "t", "t"
		if a.encoded() != b.encoded() && a.Outranks(b) == b.Outranks(a) {
			t.Fatalf("no order between %v and %v", a, b)
		}
		if a.Outranks(b) && b.Outranks(c) && !a.Outranks(c) {
			t.Fatalf("%v outranks %v, which outranks %v, but the first doesn't outrank the last", a, b, c)
		}
	})
}

// TestHealthOfTargetsNotInForce: a bundle removes a target, and a VM that still has the
// earlier bundle continues to publish the target's health. The removed statement must not
// be added again, or tables would grow with every target that ever existed.
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

// TestMalformedHealthIsRefused: a peer sends statements that lack an incarnation, contradict
// themselves or are too large. They must not be merged: this VM would forward them, and
// it would panic when it decodes holdings whose partition map is absent.
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
