// Package slotbook keeps account of the slots of a service's leafs. It is meant for a service of few
// leafs and long work, which many VMs ask now and then: none of them knows what the others have in
// flight, and what leafs state with their answers is old by the time of a VM's next request. One VM
// keeps the book of the service. The others ask it for a leaf, send the request to the leaf
// themselves, and tell it when the leaf has ended the request. The package reads no clock and does no
// I/O.
package slotbook

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/fairshare"
)

// Parameters of a book.
const (
	// workWeight is the weight of a request that has ended in the smoothed work of its leaf.
	workWeight = 0.1
	// expiryFactor is the multiple of the usual work of a leaf after which a request whose end
	// was not told is forgotten.
	expiryFactor = 4
	// overdueShare is the least time for which a request is expected to run on, as a share of
	// its usual work.
	overdueShare = 0.1
	// otherZoneShare is what a leaf in another zone costs more, as a share of its usual work.
	// With as much wait as this, a leaf of the same zone is left for it.
	otherZoneShare = 0.1
	// heldShare is how much longer work is assumed to take at a leaf whose slots are all held, as
	// a share: work on the slots of one machine slows each other.
	heldShare = 0.1
	// blockedFor is how long a leaf that refused a request for want of room gets no other one.
	blockedFor = 15 * time.Millisecond
	// maxWaiting bounds the requests that wait for a slot, as a multiple of the slots.
	maxWaiting = 4
	// maxPromises bounds the refused requests that are expected to come back.
	maxPromises = 256
	// minRetryAfter is the shortest time after which a refused request should come back.
	minRetryAfter = 10 * time.Millisecond
)

// LeafID identifies one incarnation of a leaf.
type LeafID struct {
	ID   string
	Born int64 // Unix time at which the incarnation started, in milliseconds
}

// Leaf is a leaf that may be named.
type Leaf struct {
	LeafID
	Zone  string // availability zone
	Slots int    // requests that it runs at the same time
}

// ID identifies a request at all VMs.
type ID struct {
	VM     string // name of the VM that sends it
	Number uint64
}

// Request asks for a leaf.
type Request struct {
	ID      ID
	Zone    string        // availability zone of the VM that sends it
	Work    time.Duration // usual work of such a request; used while the book has measured none
	MaxWait time.Duration // longest wait for a slot after which the request is still worth starting
	Ranked  bool          // Rank, Tenant and Draw decide who comes first while all slots are held
	Rank    int           // 0 is the most urgent
	Tenant  string        // empty if there is none
	Draw    float64       // see fairshare.Shares.Position
}

// Grant is the answer to a request: a leaf, a place among those that wait for one, or the time after
// which the request should come back. It has none of them if there are no leafs to name.
type Grant struct {
	ID         ID
	Leaf       LeafID        // the leaf with a slot for the request; zero for none
	Wait       bool          // the request waits for a slot: a later grant names the leaf
	RetryAfter time.Duration // if refused: when a slot is expected to be free for it
}

// Book is the account of the slots of one service. It is not safe for concurrent use.
type Book struct {
	leafs    map[LeafID]*leaf
	named    []Leaf      // those that may be named
	waiting  []waiter    // in the order in which they get slots
	promises []time.Time // when refused requests are expected to come back
	refused  []Grant     // answers to requests that waited until others were preferred; not returned yet
	shares   *fairshare.Shares
}

// leaf is what the book knows of one leaf.
type leaf struct {
	Leaf
	work         time.Duration // smoothed time for which a request holds a slot; 0 before the first
	held         []hold        // requests that hold slots
	blockedUntil time.Time
	others       int       // requests at the leaf that the book doesn't know, by its latest statement
	othersUntil  time.Time // when others are assumed to have ended
}

// hold is a request that was granted a slot and has not ended.
type hold struct {
	id   ID
	from time.Time     // when it was granted
	work time.Duration // usual work then
}

// waiter is a request that waits for a slot.
type waiter struct {
	Request
	position float64   // among the recent demand, from 0 to 1; the lowest comes first
	until    time.Time // when it is no longer worth starting
}

// New returns the book of a service without leafs.
func New() *Book { return &Book{leafs: make(map[LeafID]*leaf), shares: fairshare.New()} }

// SetWeights sets the shares of tenants, see fairshare.Shares.SetWeights.
func (b *Book) SetWeights(weights map[string]float64) { b.shares.SetWeights(weights) }

// SetLeafs sets the leafs that may be named now. What is held at others is kept until it has ended.
func (b *Book) SetLeafs(leafs []Leaf) {
	b.named = leafs
	for _, given := range leafs {
		l := b.leafs[given.LeafID]
		if l == nil {
			l = &leaf{}
			b.leafs[given.LeafID] = l
		}
		l.Leaf = given
		l.Slots = max(l.Slots, 1)
	}
}

// Reserve names a leaf with a free slot, the one that is expected to end the request first. Without
// one, the request waits if it is expected to get a slot in time, and is refused otherwise.
func (b *Book) Reserve(now time.Time, req Request) Grant {
	if len(b.named) == 0 {
		return Grant{ID: req.ID}
	}
	b.forget(now)
	w := waiter{Request: req, until: now.Add(req.MaxWait)}
	if req.Ranked {
		b.shares.Ask(now, req.Rank, req.Tenant, 1)
		w.position = b.shares.Position(now, req.Rank, req.Tenant, req.Draw)
	}
	if len(b.waiting) == 0 {
		if l := b.freeLeaf(now, req); l != nil {
			return b.grant(now, req, l)
		}
	}
	at, _ := slices.BinarySearchFunc(b.waiting, w, func(other, w waiter) int {
		if other.position <= w.position {
			return -1 // those that came before stay before
		}
		return 1
	})
	wait, slots := b.wait(now, at, req.Work)
	if wait > req.MaxWait || len(b.waiting) >= maxWaiting*slots {
		return Grant{ID: req.ID, RetryAfter: b.promise(now, req.Work)}
	}
	b.waiting = slices.Insert(b.waiting, at, w)
	b.refuseDisplaced(now, at+1)
	return Grant{ID: req.ID, Wait: true}
}

// refuseDisplaced refuses those of the waiting requests from an index on that get no slot in time any
// more, since another was preferred.
func (b *Book) refuseDisplaced(now time.Time, from int) {
	for i := len(b.waiting) - 1; i >= from; i-- {
		w := b.waiting[i]
		if wait, _ := b.wait(now, i, w.Work); now.Add(wait).After(w.until) {
			b.waiting = slices.Delete(b.waiting, i, i+1)
			b.refused = append(b.refused, Grant{ID: w.ID, RetryAfter: b.promise(now, w.Work)})
		}
	}
}

// promise returns when a refused request should come back: when a slot is free for it, after those
// that wait, and those that were told to come back before.
func (b *Book) promise(now time.Time, work time.Duration) time.Duration {
	b.promises = slices.DeleteFunc(b.promises, func(at time.Time) bool { return !at.After(now) })
	wait, _ := b.wait(now, len(b.waiting)+len(b.promises), work)
	wait = max(wait, minRetryAfter)
	if len(b.promises) < maxPromises {
		b.promises = append(b.promises, now.Add(wait))
	}
	return wait
}

// End is how a granted request ended.
type End struct {
	ID      ID
	Unused  bool // it was not sent to the leaf
	Full    bool // the leaf refused it for want of room
	Stated  bool // the leaf stated its load: Running and Waiting are set
	Running int
	Waiting int
}

// End records that a request has ended, also one that waits. It is ignored if the book doesn't know the
// request. It returns the answers to requests that waited.
func (b *Book) End(now time.Time, end End) []Grant {
	b.waiting = slices.DeleteFunc(b.waiting, func(w waiter) bool { return w.ID == end.ID })
	for _, l := range b.leafs {
		if i := slices.IndexFunc(l.held, func(h hold) bool { return h.id == end.ID }); i >= 0 {
			h := l.held[i]
			l.held = slices.Delete(l.held, i, i+1)
			l.ended(now, h, end)
			break
		}
	}
	return b.Tick(now)
}

// ended records that a request has left its slot.
func (l *leaf) ended(now time.Time, h hold, end End) {
	switch {
	case end.Full:
		l.blockedUntil = now.Add(blockedFor)
	case !end.Unused:
		took := max(now.Sub(h.from), 0)
		l.work = cmp.Or(l.work, took)
		l.work += time.Duration(workWeight * float64(took-l.work))
	}
	if end.Stated {
		known := len(l.held) + 1 // the leaf counts the request that ends
		l.others = min(max(end.Running+end.Waiting-known, 0), l.Slots)
		l.othersUntil = now.Add(l.work)
	}
}

// Tick returns the answers to requests that waited, and have got a slot or are refused since others
// were preferred.
func (b *Book) Tick(now time.Time) []Grant {
	b.forget(now)
	grants := b.refused
	b.refused = nil
	b.waiting = slices.DeleteFunc(b.waiting, func(w waiter) bool {
		l := b.freeLeaf(now, w.Request)
		if l != nil {
			grants = append(grants, b.grant(now, w.Request, l))
		}
		return l != nil
	})
	return grants
}

// forget removes requests whose end was not told, those that have waited too long, and leafs that may
// not be named and hold nothing.
func (b *Book) forget(now time.Time) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w waiter) bool { return now.After(w.until) })
	for id, l := range b.leafs {
		l.held = slices.DeleteFunc(l.held, func(h hold) bool { return now.Sub(h.from) > expiryFactor*max(h.work, l.work) })
		if len(l.held) == 0 && !slices.ContainsFunc(b.named, func(o Leaf) bool { return o.LeafID == id }) {
			delete(b.leafs, id)
		}
	}
}

// grant gives a slot of a leaf to a request.
func (b *Book) grant(now time.Time, req Request, l *leaf) Grant {
	l.held = append(l.held, hold{id: req.ID, from: now, work: l.usual(req.Work)})
	return Grant{ID: req.ID, Leaf: l.LeafID}
}

// usual returns the usual work of the leaf, or fallback while it isn't known.
func (l *leaf) usual(fallback time.Duration) time.Duration { return cmp.Or(l.work, fallback) }

// remaining returns for how much longer a request is expected to hold its slot of leaf l: for as long
// as it is overdue, if it is.
func (h hold) remaining(now time.Time, l *leaf) time.Duration {
	work := l.usual(h.work)
	left := h.from.Add(work).Sub(now)
	return max(left, -left, time.Duration(overdueShare*float64(work)))
}

// othersNow returns the number of slots that requests hold which the book doesn't know.
func (l *leaf) othersNow(now time.Time) int {
	if !now.Before(l.othersUntil) {
		return 0
	}
	return l.others
}

// freeLeaf returns the leaf with a free slot that is expected to end the request first. It returns nil
// if there is none.
func (b *Book) freeLeaf(now time.Time, req Request) (best *leaf) {
	var bestCost float64
	for _, given := range b.named {
		l := b.leafs[given.LeafID]
		if len(l.held)+l.othersNow(now) >= l.Slots || now.Before(l.blockedUntil) {
			continue
		}
		share := 1 + heldShare*float64(len(l.held))/float64(l.Slots)
		if given.Zone != req.Zone {
			share += otherZoneShare
		}
		cost := share * float64(l.usual(req.Work))
		if best == nil || cmp.Or(cmp.Compare(cost, bestCost), cmp.Compare(l.ID, best.ID)) < 0 {
			best, bestCost = l, cost
		}
	}
	return best
}

// wait returns the expected time until a request gets a slot which n others come before, and the
// number of slots.
func (b *Book) wait(now time.Time, n int, work time.Duration) (wait time.Duration, slots int) {
	var free []time.Duration // time until each slot is free
	for _, given := range b.named {
		l := b.leafs[given.LeafID]
		work = l.usual(work)
		for _, h := range l.held {
			free = append(free, h.remaining(now, l))
		}
		for range l.othersNow(now) {
			free = append(free, l.othersUntil.Sub(now))
		}
		for range l.Slots - len(l.held) - l.othersNow(now) {
			free = append(free, max(l.blockedUntil.Sub(now), 0))
		}
	}
	for range n {
		slices.Sort(free)
		free[0] += work
	}
	return slices.Min(free), len(free)
}
