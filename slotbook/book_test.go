package slotbook

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const usualWork = 90 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// newBook returns a book with leafs of two slots each.
func newBook(leafs int) *Book {
	b := New(usualWork)
	for i := range leafs {
		b.SetLeaf(fmt.Sprint("leaf-", i), 2)
	}
	return b
}

// Guards against more requests at a leaf than it has slots, slots that are lost, and requests without
// an answer, in any order of reservations, releases, lost releases and changes of leafs.
func TestEachSlotIsHeldOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		b, now := newBook(3), start
		held, waiting := make(map[ID]string), make(map[ID]bool)
		take := func(grants ...Grant) {
			for _, grant := range grants {
				delete(waiting, grant.ID)
				switch {
				case grant.Wait:
					waiting[grant.ID] = true
				case grant.Leaf != "":
					held[grant.ID] = grant.Leaf
				default:
					g.Expect(grant.RetryAfter).To(gomega.BeNumerically(">", 0))
				}
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "reserve") {
				req := Request{ID: ID(i + 1), Position: rapid.Float64Range(0, 1).Draw(t, "position"), MaxWait: 60 * time.Millisecond}
				take(b.Reserve(now, req))
			} else {
				for id := range held {
					delete(held, id)
					take(b.Release(now, id, rapid.Bool().Draw(t, "full"))...)
					break
				}
			}
			take(b.Tick(now)...)
			perLeaf := make(map[string]int)
			for _, h := range b.held {
				perLeaf[h.leaf]++
				g.Expect(perLeaf[h.leaf]).To(gomega.BeNumerically("<=", 2))
			}
			g.Expect(b.waiting).To(gomega.HaveLen(len(waiting)))
		}
		now = now.Add(time.Minute)
		take(b.Tick(now)...)
		g.Expect(waiting).To(gomega.BeEmpty())
		take(b.Tick(now.Add(time.Minute))...)
		g.Expect(b.held).To(gomega.BeEmpty(), "a reservation whose release was lost expires")
	})
}

// Guards against slots that go to whoever asks first: the lowest position is served first, and who
// can't be served in time because of others is refused at once, with the time until there is room.
func TestSlotsGoByPosition(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBook(1)
	for id := range ID(2) {
		g.Expect(b.Reserve(start, Request{ID: id + 1}).Leaf).NotTo(gomega.BeEmpty())
	}
	const patience = 100 * time.Millisecond
	g.Expect(b.Reserve(start, Request{ID: 3, Position: 0.9, MaxWait: patience}).Wait).To(gomega.BeTrue())
	g.Expect(b.Reserve(start, Request{ID: 4, Position: 0.1, MaxWait: patience}).Wait).To(gomega.BeTrue())
	refused := b.Reserve(start, Request{ID: 5, Position: 0.95, MaxWait: patience})
	g.Expect(refused).To(gomega.Equal(Grant{ID: 5, RetryAfter: 2 * usualWork}))
	now := start.Add(usualWork)
	g.Expect(b.Release(now, 1, false)).To(gomega.Equal([]Grant{{ID: 4, Leaf: "leaf-0"}}))
	g.Expect(b.Release(now, 2, false)).To(gomega.Equal([]Grant{{ID: 3, Leaf: "leaf-0"}}))
}

// Guards against a leaf that refuses for want of room, as others use it too, and is chosen again and
// again.
func TestFullLeafIsLeftForAMoment(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBook(2)
	first := b.Reserve(start, Request{ID: 1}).Leaf
	b.Release(start, 1, true)
	g.Expect(b.Reserve(start, Request{ID: 2}).Leaf).NotTo(gomega.Equal(first))
	g.Expect(b.Reserve(start, Request{ID: 3}).Leaf).NotTo(gomega.Equal(first))
	g.Expect(b.Reserve(start, Request{ID: 4}).Leaf).To(gomega.BeEmpty())
	g.Expect(b.Reserve(start.Add(blockedFor), Request{ID: 5}).Leaf).To(gomega.Equal(first))
}

// event is a function to call at a time of a play.
type event struct {
	at time.Duration
	fn func(at time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// playWaits plays requests for six leafs of two slots, at a share of what these can do, and returns
// the mean wait for a slot beyond the time of messages. choose picks the leaf of a request or nothing
// if it waits; ended is called once a request has left its slot, and returns those that then start.
func playWaits(load float64, way time.Duration, reserve func(time.Duration, ID) (string, bool), release func(time.Duration, ID) []Grant) (mean time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	const slots, requests = 12, 20_000
	var queue events
	came := make(map[ID]time.Duration)
	leafs := make(map[string][]ID) // running and queued requests of each leaf, oldest first
	var total time.Duration
	var run func(at time.Duration, leaf string, id ID)
	run = func(at time.Duration, leaf string, id ID) {
		total += at - came[id] - 2*way
		work := time.Duration(float64(usualWork) * (0.7 + 0.6*rng.Float64()))
		heap.Push(&queue, event{at + work, func(at time.Duration) {
			list := leafs[leaf]
			for i, other := range list {
				if other == id {
					list = append(list[:i:i], list[i+1:]...)
					break
				}
			}
			leafs[leaf] = list
			if len(list) >= 2 {
				run(at, leaf, list[1])
			}
			heap.Push(&queue, event{at + way, func(at time.Duration) {
				for _, grant := range release(at, id) {
					send(&queue, at+way, grant, leafs, run)
				}
			}})
		}})
	}
	at := time.Duration(0)
	for id := range ID(requests) {
		at += time.Duration(rng.ExpFloat64() * float64(usualWork) / (load * slots))
		heap.Push(&queue, event{at, func(at time.Duration) {
			came[id] = at
			heap.Push(&queue, event{at + way, func(at time.Duration) {
				if leaf, ok := reserve(at, id); ok {
					send(&queue, at+way, Grant{ID: id, Leaf: leaf}, leafs, run)
				}
			}})
		}})
	}
	for len(queue) > 0 {
		ev := heap.Pop(&queue).(event)
		ev.fn(ev.at)
	}
	return total / requests
}

// send makes a request reach its leaf at a time.
func send(queue *events, at time.Duration, grant Grant, leafs map[string][]ID, run func(time.Duration, string, ID)) {
	heap.Push(queue, event{at, func(at time.Duration) {
		leafs[grant.Leaf] = append(leafs[grant.Leaf], grant.ID)
		if len(leafs[grant.Leaf]) <= 2 {
			run(at, grant.Leaf, grant.ID)
		}
	}})
}

// bookWaits plays requests of VMs that reserve slots in a book, which messages reach in the time way.
func bookWaits(load float64, way time.Duration) time.Duration {
	b := newBook(6)
	return playWaits(load, way, func(at time.Duration, id ID) (string, bool) {
		grant := b.Reserve(start.Add(at), Request{ID: id, MaxWait: time.Minute})
		return grant.Leaf, grant.Leaf != ""
	}, func(at time.Duration, id ID) []Grant { return b.Release(start.Add(at), id, false) })
}

// Guards against requests that wait at one leaf while others have free slots: at half load, requests
// wait for a slot hardly longer than in one queue with all knowledge, which is the book without the
// time of messages, and far shorter than if each VM picks a leaf by itself.
func TestMeanWaitIsNearThatOfOneQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 4))
	alone := playWaits(0.5, 0, func(time.Duration, ID) (string, bool) {
		return fmt.Sprint("leaf-", rng.IntN(6)), true
	}, func(time.Duration, ID) []Grant { return nil })
	one := bookWaits(0.5, 0)
	for _, way := range []time.Duration{100 * time.Microsecond, 500 * time.Microsecond, 1500 * time.Microsecond} {
		t.Logf("one queue %v, book with messages of %v: %v, alone %v", one, way, bookWaits(0.5, way), alone)
	}
	book := bookWaits(0.5, 500*time.Microsecond)
	g.Expect(float64(book)).To(gomega.BeNumerically("<=", 1.2*float64(one)))
	g.Expect(alone).To(gomega.BeNumerically(">", 10*book))
}
