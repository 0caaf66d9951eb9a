// Package registry keeps the list of leafs that the platform reports. It reads no clock and
// does no I/O. Its callers pass in complete listings, single changes and the current time.
// They get back the changes to the leafs in use.
package registry

import (
	"sort"
	"time"
)

// Leaf is one incarnation of a leaf.
type Leaf struct {
	ID       string // identifies the leaf; a later incarnation may have the same id
	Born     int64  // start of this incarnation, in Unix milliseconds
	Service  string // name of the service whose requests the leaf runs
	Address  string // IP and port; another leaf may reuse it after this one is removed
	Zone     string // availability zone
	Slots    int    // requests that the leaf can run concurrently
	Draining bool   // the leaf accepts no new requests
	Cold     bool   // the leaf is slow after a start or an interruption, and tolerates only few requests
}

// Change is a leaf that was added, changed or removed.
type Change struct {
	Leaf Leaf
	Gone bool // the leaf was removed; Leaf is its last state
}

// OutageHold is how long a leaf that is missing just after an outage of the store is
// still used. Leafs can't renew their entries during an outage, so the entries expire. They
// are listed again within about 2 s of the store's recovery. Without the hold a VM would
// drop every leaf at the recovery and refuse all callers. The hold is shorter than the 3 s
// within which a leaf that has left must get no more requests.
const OutageHold = 2200 * time.Millisecond

// Registry is the list of leafs in use. A leaf that is missing from the platform's list but
// still used is called held. A Registry is not safe for concurrent use.
type Registry struct {
	leafs     map[string]Leaf      // leafs in use, held ones included, by id
	heldUntil map[string]time.Time // when a held leaf is removed, by id
	holdEnd   time.Time            // leafs that go missing before this time are held until then
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{leafs: make(map[string]Leaf), heldUntil: make(map[string]time.Time)}
}

// Len returns the number of leafs in use, those included that are held although the platform
// no longer lists them.
func (r *Registry) Len() int { return len(r.leafs) }

// CountIn returns the number of leafs in use in a zone, those included that are held.
func (r *Registry) CountIn(zone string) int {
	n := 0
	for _, l := range r.leafs {
		if l.Zone == zone {
			n++
		}
	}
	return n
}

// StoreRecovered records that the store answers again after an outage. Leafs that go
// missing from its listings before now plus hold are kept until then. StoreRecovered returns
// now plus hold, the time at which ExpireHeld has to be called.
func (r *Registry) StoreRecovered(now time.Time, hold time.Duration) time.Time {
	r.holdEnd = now.Add(hold)
	return r.holdEnd
}

// Replace applies a complete listing of the platform and returns the changes. A leaf that
// the listing lacks is removed or held; see Remove.
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

// Put adds or updates a leaf that the platform lists and returns the change, if there is
// one. A delayed entry of an earlier incarnation of the leaf is ignored.
func (r *Registry) Put(l Leaf) []Change {
	delete(r.heldUntil, l.ID)
	old, known := r.leafs[l.ID]
	if known && old.Born > l.Born {
		return nil
	}
	r.leafs[l.ID] = l
	if known && old == l {
		return nil
	}
	return []Change{{Leaf: l}}
}

// Remove records that the platform no longer lists a leaf. If the store has just recovered
// and the leaf is not draining, the leaf is held: it stays in use until ExpireHeld removes
// it. Otherwise Remove removes the leaf and returns the change.
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

// ExpireHeld removes the leafs whose hold has ended and returns the changes.
func (r *Registry) ExpireHeld(now time.Time) []Change {
	var changes []Change
	for _, id := range r.sortedIDs() {
		if until, held := r.heldUntil[id]; held && !now.Before(until) {
			changes = append(changes, r.drop(r.leafs[id])...)
		}
	}
	return changes
}

// drop removes a leaf at once, held or not, and returns the change.
func (r *Registry) drop(l Leaf) []Change {
	delete(r.leafs, l.ID)
	delete(r.heldUntil, l.ID)
	return []Change{{Leaf: l, Gone: true}}
}

// sortedIDs returns the ids of all leafs in order, so that the order of changes is
// deterministic.
func (r *Registry) sortedIDs() []string {
	ids := make([]string, 0, len(r.leafs))
	for id := range r.leafs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
