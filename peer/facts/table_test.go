package facts

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const now = int64(1_000_000) // the current time in the tests, in Unix seconds

// drawFact draws a fact from so few values that many facts have the same key.
func drawFact(t *rapid.T) Fact {
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return Fact{Drain: &Drain{
			Target:      fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target")),
			Incarnation: fmt.Sprint("i", rapid.IntRange(0, 6).Draw(t, "incarnation")),
			Since:       rapid.Int64Range(0, 3).Draw(t, "since"),
		}}
	case 1:
		return Fact{Health: drawHealth(t)}
	}
	return Fact{Member: &Member{
		Name:        fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm")),
		Incarnation: fmt.Sprint("i", rapid.IntRange(0, 1).Draw(t, "incarnation")),
		Started:     rapid.Int64Range(0, 2).Draw(t, "started"),
		Counter:     rapid.Uint64Range(0, 3).Draw(t, "counter"),
		State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
		At:          now + rapid.Int64Range(-1000, 10).Draw(t, "at"),
	}}
}

// syncTables does one comparison of digests between two tables and exchanges the facts
// that differ. The VM of a starts it.
func syncTables(a, b *Table) {
	buckets := append(a.Differing(General, b.Digest(General)), a.Differing(Targets, b.Digest(Targets))...)
	give, want := b.Compare(buckets, a.Entries(buckets))
	for _, f := range give {
		a.Merge(f, now)
	}
	for _, f := range a.Facts(want) {
		b.Merge(f, now)
	}
}

// TestTablesConverge: two VMs received the same facts a different number of times, some not
// at all. A few comparisons must make their tables equal, and no statement may be replaced
// by an older one.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTestTable(), newTestTable()
		for range rapid.IntRange(0, 40).Draw(t, "facts") {
			f := drawFact(t)
			for _, table := range []*Table{a, b} {
				for range rapid.IntRange(0, 2).Draw(t, "times") {
					mergeChecked(t, table, f)
				}
			}
		}
		for range 5 {
			syncTables(a, b)
		}
		for section := range sectionCount {
			if a.Root(section) != b.Root(section) || len(a.Differing(section, b.Digest(section))) != 0 {
				t.Fatalf("tables differ:\n%v %v %v\n%v %v %v", a.members, a.drains, a.health, b.members, b.drains, b.health)
			}
		}
		if fmt.Sprint(a.members, a.drains, a.health) != fmt.Sprint(b.members, b.drains, b.health) {
			t.Fatal("the tables differ, but their digests are equal")
		}
	})
}

// mergeChecked merges a fact, and fails if an older statement replaces a newer one or if a
// target has too many drains.
func mergeChecked(t *rapid.T, table *Table, f Fact) {
	if f.Health != nil {
		mergeHealthChecked(t, table, f)
		return
	}
	var before Member
	if f.Member != nil {
		before, _ = table.Member(f.Member.Name)
	}
	table.Merge(f, now)
	if f.Member != nil {
		if after, _ := table.Member(f.Member.Name); before.Outranks(after) {
			t.Fatalf("%v was replaced by the older %v", before, after)
		}
	}
	if f.Drain != nil && len(table.drains[f.Drain.Target]) > maxDrainsPerTarget {
		t.Fatal("more drains of a target than the bound")
	}
}

// TestDigestFollowsContent: tables update their digests with each change. If a digest
// differed from that of a new table with the same content, VMs with equal tables would
// exchange their facts at each comparison.
func TestDigestFollowsContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable()
		for range rapid.IntRange(0, 40).Draw(t, "facts") {
			table.Merge(drawFact(t), now)
		}
		table.Expire(now + rapid.Int64Range(0, 1000).Draw(t, "later"))
		fresh := newTestTable()
		for _, m := range table.Members() {
			fresh.Merge(Fact{Member: &m}, m.At)
		}
		for _, d := range table.Drains() {
			fresh.Merge(Fact{Drain: &d}, now)
		}
		for _, e := range table.health {
			fresh.Merge(Fact{Health: &e.Health}, now)
		}
		if fresh.LostCount() != table.LostCount() {
			t.Fatalf("%d lost VMs counted, %d found", table.LostCount(), fresh.LostCount())
		}
		if fresh.Root(General) != table.Root(General) || fresh.Root(Targets) != table.Root(Targets) {
			t.Fatal("digest doesn't follow the content")
		}
	})
}

// TestFastClockDoesNotHideDrains: one VM's clock is a year ahead, and so are the times
// of the drains that it records. Only the newest drains of a target are kept. A drain
// that another VM records later must be among them.
func TestFastClockDoesNotHideDrains(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	for i := range maxDrainsPerTarget {
		table.AddDrain("t", fmt.Sprint("fast-", i), now+365*86400)
	}
	_, added := table.AddDrain("t", "later", now)
	g.Expect(added).To(BeTrue())
	g.Expect(table.Drains()).To(ContainElement(HaveField("Incarnation", "later")))
	_, added = table.AddDrain("t", "later", now)
	g.Expect(added).To(BeFalse())
}

// TestNewestDrainComesLast: a target drains, restarts and drains again, and a late
// status has the state serving. A VM keeps the last drain of each target in the list.
// If that were the older one, the VM would send new work to the target.
func TestNewestDrainComesLast(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.AddDrain("t", "first", now)
	table.AddDrain("t", "second", now)
	g.Expect(table.Drains()).To(HaveExactElements(HaveField("Incarnation", "first"), HaveField("Incarnation", "second")))
}

// TestMalformedFactsAreRefused: a peer of another release, or a faulty one, sends malformed
// facts, digests and entries. They must not change the table or cause a panic, which would
// end the process of this VM.
func TestMalformedFactsAreRefused(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	for _, f := range []Fact{
		{},
		{Drain: &Drain{}},
		{Member: &Member{}},
		{Drain: &Drain{Target: "t"}, Member: &Member{Name: "v"}},
	} {
		g.Expect(table.Merge(f, now)).To(BeFalse())
	}
	g.Expect(table.Differing(General, []byte("short"))).To(BeEmpty())
	_, want := table.Compare([]int{-1, int(sectionCount) * Buckets, 0}, []Entry{{"nonsense", 1}})
	g.Expect(table.Facts(want)).To(BeEmpty())
}
