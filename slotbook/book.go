// Package slotbook keeps account of the slots of a service's leafs. It is meant for a service of few
// leafs and long work, which many VMs ask now and then: none of them knows what the others have in
// flight, and what leafs state with their answers is old by the time of a VM's next request. One VM
// keeps the book of the service. The others reserve a slot there, send the request to the leaf
// themselves, and release the slot once it has ended. The package reads no clock and does no I/O.
package slotbook

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of a book.
const (
	// workWeight is the weight of a released reservation in the smoothed work of its leaf.
	workWeight = 0.1
	// expiryFactor is the multiple of the usual work of a leaf after which a reservation that
	// was not released expires.
	expiryFactor = 4
	// blockedFor is how long a leaf without room, by its own word, gets no reservations.
	blockedFor = 15 * time.Millisecond
	// maxWaiting bounds the reservations that wait for a slot, per slot.
	maxWaiting = 4
)

// ID numbers the reservations of one book.
type ID uint64

// Request asks for a slot.
type Request struct {
	ID       ID
	Position float64       // place among the recent demand, from 0 to 1; the lowest comes first (package fairshare)
	MaxWait  time.Duration // longest wait for a slot after which the request is still worth starting
	Exclude  []string      // leafs that it must not get, since it was sent to them before
}

// Grant is the answer to a request.
type Grant struct {
	ID   ID
	Leaf string // the leaf whose slot was reserved; empty if none
	// Wait says that the request waits for a slot: a later grant answers it.
	Wait bool
	// RetryAfter is set if the request was refused: when a slot is expected to be free for it.
	RetryAfter time.Duration
}

// Book is the account of the slots of one service. It is not safe for concurrent use.
type Book struct {
	defaultWork time.Duration
	leafs       map[string]*leaf
	held        map[ID]hold
	waiting     []waiter // in the order in which they get slots
}

type leaf struct {
	id           string
	slots        int
	work         time.Duration // smoothed time for which its slots are held
	held         int           // reservations
	blockedUntil time.Time
}

// hold is a reserved slot.
type hold struct {
	leaf  string
	since time.Time
}

// waiter is a request that waits for a slot.
type waiter struct {
	Request
	until time.Time // when the request is no longer worth starting
}

// New returns the book of a service without leafs. work is how long a request is expected to hold a
// slot while nothing is known.
func New(work time.Duration) *Book {
	return &Book{defaultWork: work, leafs: make(map[string]*leaf), held: make(map[ID]hold)}
}

// SetLeaf adds a leaf, or changes its number of slots.
func (b *Book) SetLeaf(id string, slots int) {
	l := b.leafs[id]
	if l == nil {
		l = &leaf{id: id, work: b.defaultWork}
		for _, h := range b.held {
			if h.leaf == id {
				l.held++
			}
		}
		b.leafs[id] = l
	}
	l.slots = max(slots, 1)
}

// RemoveLeaf removes a leaf. What is reserved there stays so until it is released or expires.
func (b *Book) RemoveLeaf(id string) { delete(b.leafs, id) }

// Reserve answers a request at once with a slot, with a place among those that wait, or with a
// refusal.
func (b *Book) Reserve(now time.Time, req Request) Grant {
	if len(b.waiting) == 0 {
		if l := b.freeLeaf(now, req.Exclude); l != nil {
			return b.grant(now, req.ID, l)
		}
	}
	w := waiter{Request: req, until: now.Add(req.MaxWait)}
	at, _ := slices.BinarySearchFunc(b.waiting, w, func(other, w waiter) int {
		if other.Position <= w.Position {
			return -1 // those that came before stay before
		}
		return 1
	})
	wait := b.wait(now, at+1)
	if wait > req.MaxWait || len(b.waiting) >= maxWaiting*b.slots() {
		return Grant{ID: req.ID, RetryAfter: max(wait, time.Millisecond)}
	}
	b.waiting = slices.Insert(b.waiting, at, w)
	return Grant{ID: req.ID, Wait: true}
}

// Release ends a reservation whose request has ended. full says that the leaf refused it for want of
// room, so that others use the leaf too. It returns the answers to requests that waited.
func (b *Book) Release(now time.Time, id ID, full bool) []Grant {
	h, ok := b.held[id]
	if !ok {
		b.waiting = slices.DeleteFunc(b.waiting, func(w waiter) bool { return w.ID == id })
		return b.Tick(now)
	}
	delete(b.held, id)
	if l := b.leafs[h.leaf]; l != nil {
		l.held--
		if full {
			l.blockedUntil = now.Add(blockedFor)
		} else {
			l.work += time.Duration(workWeight * float64(now.Sub(h.since)-l.work))
		}
	}
	return b.Tick(now)
}

// Tick ends reservations that have expired, and returns the answers to requests that waited: a slot,
// or a refusal for one whose time is over or to which others were preferred since.
func (b *Book) Tick(now time.Time) []Grant {
	for id, h := range b.held {
		work := b.defaultWork
		l := b.leafs[h.leaf]
		if l != nil {
			work = l.work
		}
		if now.Sub(h.since) > expiryFactor*work {
			delete(b.held, id)
			if l != nil {
				l.held--
			}
		}
	}
	var grants []Grant
	var still []waiter
	for _, w := range b.waiting {
		if l := b.freeLeaf(now, w.Exclude); l != nil {
			grants = append(grants, b.grant(now, w.ID, l))
			continue
		}
		if wait := b.wait(now, len(still)+1); now.Add(wait).After(w.until) {
			grants = append(grants, Grant{ID: w.ID, RetryAfter: max(wait, time.Millisecond)})
			continue
		}
		still = append(still, w)
	}
	b.waiting = still
	return grants
}

// grant reserves a slot of a leaf.
func (b *Book) grant(now time.Time, id ID, l *leaf) Grant {
	l.held++
	b.held[id] = hold{leaf: l.id, since: now}
	return Grant{ID: id, Leaf: l.id}
}

// freeLeaf returns the leaf with a free slot that works fastest, of several the one with most of its
// slots free. It returns nil if there is none.
func (b *Book) freeLeaf(now time.Time, exclude []string) *leaf {
	var best *leaf
	for _, l := range b.leafs {
		if l.held >= l.slots || now.Before(l.blockedUntil) || slices.Contains(exclude, l.id) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(l.cost(), best.cost()), cmp.Compare(l.id, best.id)) < 0 {
			best = l
		}
	}
	return best
}

// cost returns the work of a leaf, increased by the share of its slots that are held: work on the
// slots of one machine slows each other.
func (l *leaf) cost() float64 {
	return float64(l.work) * (1 + 0.1*float64(l.held)/float64(l.slots))
}

// slots returns the number of slots of all leafs.
func (b *Book) slots() int {
	n := 0
	for _, l := range b.leafs {
		n += l.slots
	}
	return n
}

// wait returns the expected time until n more requests have got slots: those that are free now, or
// become free when what holds them has taken the usual time.
func (b *Book) wait(now time.Time, n int) time.Duration {
	var free []time.Duration
	for _, l := range b.leafs {
		for range l.slots - l.held {
			free = append(free, max(l.blockedUntil.Sub(now), 0))
		}
	}
	for _, h := range b.held {
		if l := b.leafs[h.leaf]; l != nil {
			free = append(free, max(h.since.Add(l.work).Sub(now), 0))
		}
	}
	if len(free) == 0 {
		return time.Second
	}
	slices.Sort(free)
	rounds, rest := (n-1)/len(free), (n-1)%len(free)
	return free[rest] + time.Duration(rounds)*b.defaultWork
}
