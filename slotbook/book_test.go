package slotbook

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const usualWork = 90 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// someLeafs returns n leafs of two slots each.
func someLeafs(n int) []Leaf {
	var list []Leaf
	for i := range n {
		list = append(list, Leaf{LeafID: LeafID{ID: fmt.Sprint("leaf-", i), Born: 1}, Zone: "home", Slots: 2})
	}
	return list
}

// ask returns a request with a number that waits for at most maxWait.
func ask(n uint64, maxWait time.Duration) Request {
	return Request{ID: ID{VM: "vm", Number: n}, Zone: "home", Work: usualWork, MaxWait: maxWait}
}

// reserve asks a book with the given leafs.
func reserve(b *Book, now time.Time, leafs []Leaf, req Request) Grant {
	b.SetLeafs(leafs)
	return b.Reserve(now, req)
}

// Guards against more requests at a leaf than it has slots, slots that are lost, requests without an
// answer, and an account without bounds, in any order of requests, ends, lost ends and leafs.
func TestAccountIsBoundedAndForgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		b, now := New(), start
		var open []ID
		waits := make(map[ID]time.Time) // until when
		take := func(grants ...Grant) {
			for _, grant := range grants {
				delete(waits, grant.ID)
				if grant.Leaf.ID != "" {
					open = append(open, grant.ID)
				}
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			leafs := someLeafs(rapid.IntRange(1, 3).Draw(t, "leafs"))
			if len(open) == 0 || rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				req := ask(uint64(i), time.Duration(rapid.IntRange(0, 1000).Draw(t, "patience"))*time.Millisecond)
				req.Ranked, req.Rank, req.Draw = rapid.Bool().Draw(t, "ranked"), rapid.IntRange(-9, 99).Draw(t, "rank"), 0.5
				grant := reserve(b, now, leafs, req)
				g.Expect([]bool{grant.Leaf.ID != "", grant.Wait, grant.RetryAfter > 0}).To(gomega.ConsistOf(true, false, false))
				if take(grant); grant.Wait {
					waits[grant.ID] = now.Add(req.MaxWait)
				}
				take(b.Tick(now)...)
			} else {
				id := open[0]
				open = open[1:]
				take(b.End(now, End{
					ID: id, Full: rapid.Bool().Draw(t, "full"), Unused: rapid.Bool().Draw(t, "unused"),
					Stated: true, Running: rapid.IntRange(-9, 99).Draw(t, "running"),
				})...)
			}
			for _, l := range b.leafs {
				g.Expect(len(l.held)).To(gomega.BeNumerically("<=", l.Slots))
			}
			g.Expect(len(b.promises)).To(gomega.BeNumerically("<=", maxPromises))
		}
		for id, until := range waits {
			waits := slices.ContainsFunc(b.waiting, func(w waiter) bool { return w.ID == id })
			g.Expect(waits || now.After(until)).To(gomega.BeTrue(), "no answer")
		}
		g.Expect(reserve(b, now.Add(time.Hour), someLeafs(1), ask(1000, 0)).Leaf.ID).NotTo(gomega.BeEmpty(), "ends that were not told are assumed")
		g.Expect(b.leafs).To(gomega.HaveLen(1))
		g.Expect(b.waiting).To(gomega.BeEmpty())
	})
}

// Guards against a full service that lets callers wait in vain or sends them all back at once: each
// that can't be served in time is told when there is a slot for it.
func TestFullServiceSaysWhenThereIsRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	b, leafs := New(), someLeafs(1)
	for n := range uint64(2) {
		g.Expect(reserve(b, start, leafs, ask(n, 0)).Leaf).To(gomega.Equal(leafs[0].LeafID))
	}
	now := start.Add(30 * time.Millisecond)
	for n, slot := range []time.Duration{60, 60, 150} {
		g.Expect(reserve(b, now, leafs, ask(uint64(10+n), 20*time.Millisecond)).RetryAfter).To(gomega.Equal(slot * time.Millisecond))
	}
	g.Expect(reserve(b, now, leafs, ask(20, 80*time.Millisecond)).Wait).To(gomega.BeTrue())
	granted := b.End(start.Add(usualWork), End{ID: ID{VM: "vm", Number: 0}})
	g.Expect(granted).To(gomega.Equal([]Grant{{ID: ID{VM: "vm", Number: 20}, Leaf: leafs[0].LeafID}}))
}

// Guards against a leaf that refused for want of room, or that others keep busy, and is named again
// and again, and against what an earlier incarnation held.
func TestLeafsThatAreFullOrRestartedAreTakenAsTheyAre(t *testing.T) {
	g := gomega.NewWithT(t)
	b, leafs := New(), someLeafs(2)
	first := reserve(b, start, leafs, ask(1, 0)).Leaf
	b.End(start, End{ID: ID{VM: "vm", Number: 1}, Full: true})
	for n := range uint64(2) {
		g.Expect(reserve(b, start, leafs, ask(2+n, 0)).Leaf).NotTo(gomega.Equal(first))
	}
	g.Expect(reserve(b, start, leafs, ask(4, 0)).Leaf.ID).To(gomega.BeEmpty())
	now := start.Add(blockedFor)
	g.Expect(reserve(b, now, leafs, ask(5, 0)).Leaf).To(gomega.Equal(first))
	now = now.Add(usualWork)
	b.End(now, End{ID: ID{VM: "vm", Number: 5}, Stated: true, Running: 3})
	g.Expect(reserve(b, now, leafs[:1], ask(6, 0)).Leaf.ID).To(gomega.BeEmpty(), "two slots are used by others")
	leafs[0].Born = 2
	g.Expect(reserve(b, now, leafs[:1], ask(7, 0)).Leaf).To(gomega.Equal(leafs[0].LeafID))
}

// Guards against slots that go to whoever asks first: while room is short, the less urgent are
// refused first.
func TestUrgentRequestsGetTheSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New()
	b.SetLeafs(someLeafs(2))
	served, asked := make(map[int]int), make(map[int]int)
	held, now := make(map[ID]time.Time), start
	take := func(grants ...Grant) {
		for _, grant := range grants {
			if grant.Leaf.ID != "" {
				served[int(grant.ID.Number%3/2)]++
				held[grant.ID] = now.Add(usualWork)
			}
		}
	}
	for n := range uint64(4000) {
		now = now.Add(12 * time.Millisecond) // twice what the leafs can do
		for id, until := range held {
			if !now.Before(until) {
				delete(held, id)
				take(b.End(now, End{ID: id})...)
			}
		}
		req := ask(n, usualWork)
		req.Ranked, req.Rank, req.Draw = true, int(n%3/2), float64(n*7%100)/100
		asked[req.Rank]++
		take(b.Reserve(now, req))
		take(b.Tick(now)...)
	}
	urgent, other := float64(served[0])/float64(asked[0]), float64(served[1])/float64(asked[1])
	t.Logf("served: urgent %.2f, other %.2f", urgent, other)
	g.Expect(urgent).To(gomega.BeNumerically(">", 1.5*other))
}

// Guards against a request that waits in vain, since more urgent ones came after it.
func TestDisplacedRequestIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New()
	b.SetLeafs(someLeafs(1))
	for n, rank := range []int{0, 0, 3, 0, 0} {
		req := ask(uint64(n), 100*time.Millisecond)
		req.Ranked, req.Rank = true, rank
		g.Expect(b.Reserve(start, req).RetryAfter).To(gomega.BeZero())
	}
	g.Expect(b.Tick(start)).To(gomega.Equal([]Grant{{ID: ask(2, 0).ID, RetryAfter: 2 * usualWork}}))
}
