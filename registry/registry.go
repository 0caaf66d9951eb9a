// Package registry keeps the list of leafs as the platform tells it, apart from
// how it is read. It is pure: listings, changes and the time in, changes of the
// leafs to use out.
package registry

import (
	"sort"
	"time"
)

// Leaf is one lifetime of one leaf.
type Leaf struct {
	ID       string // of the leaf; a later lifetime may bear it again
	Born     int64  // start of this lifetime, in Unix milliseconds
	Service  string
	Address  string // IP and port; others use it again when the leaf is gone
	Zone     string // availability zone
	Slots    int    // requests that it works on at once
	Draining bool   // it takes no new requests
}

// Change is a leaf that is new or different, or one that is gone.
type Change struct {
	Leaf Leaf
	Gone bool
}

// OutageHold is how long a leaf that is missing just after an outage of the store is
// still used. Entries lapse while leafs can't renew them, and come back within about
// 2 s of the store's return; without the hold a VM would drop every leaf at that
// moment and refuse all callers. It stays below the 3 s within which a leaf that
// left must get no more requests.
const OutageHold = 2200 * time.Millisecond

// Registry is the list of leafs. It is not safe for concurrent use.
type Registry struct {
	leafs     map[string]Leaf
	heldUntil map[string]time.Time // when a missing leaf is taken as gone
	holdEnd   time.Time            // until when leafs that go missing are held
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{leafs: make(map[string]Leaf), heldUntil: make(map[string]time.Time)}
}

// Len returns the number of leafs, those that are held included.
func (r *Registry) Len() int { return len(r.leafs) }

// StoreRecovered takes that the store answers again after an outage, and for how long leafs
// that are missing are held. It returns when Expire has to be called.
func (r *Registry) StoreRecovered(now time.Time, hold time.Duration) time.Time {
	r.holdEnd = now.Add(hold)
	return r.holdEnd
}

// Replace takes a whole listing.
func (r *Registry) Replace(now time.Time, list []Leaf) []Change {
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		changes = append(changes, r.Put(l)...)
	}
	for _, id := range r.sortedIDs() {
		if !listed[id] {
			changes = append(changes, r.Remove(now, id)...)
		}
	}
	return changes
}

// Put takes an entry.
func (r *Registry) Put(l Leaf) []Change {
	delete(r.heldUntil, l.ID)
	old, known := r.leafs[l.ID]
	if known && old.Born > l.Born {
		return nil // a late word of an earlier lifetime
	}
	r.leafs[l.ID] = l
	if known && old == l {
		return nil
	}
	return []Change{{Leaf: l}}
}

// Remove takes that an entry is missing.
func (r *Registry) Remove(now time.Time, id string) []Change {
	l, known := r.leafs[id]
	if !known {
		return nil
	}
	if now.Before(r.holdEnd) && !l.Draining {
		if _, held := r.heldUntil[id]; !held {
			r.heldUntil[id] = r.holdEnd
		}
		return nil
	}
	return r.drop(l)
}

// ExpireHeld drops the leafs whose hold is over.
func (r *Registry) ExpireHeld(now time.Time) []Change {
	var changes []Change
	for _, id := range r.sortedIDs() {
		if until, held := r.heldUntil[id]; held && !now.Before(until) {
			changes = append(changes, r.drop(r.leafs[id])...)
		}
	}
	return changes
}

func (r *Registry) drop(l Leaf) []Change {
	delete(r.leafs, l.ID)
	delete(r.heldUntil, l.ID)
	return []Change{{Leaf: l, Gone: true}}
}

// sortedIDs returns the sortedIDs in order, so that changes repeat.
func (r *Registry) sortedIDs() []string {
	ids := make([]string, 0, len(r.leafs))
	for id := range r.leafs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
