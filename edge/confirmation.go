package edge

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// The manifest in force is confirmed at a time if the store held no newer one then. An answer of
// the store confirms it, and another VM passes its confirmation on with its age.

// Parameters of the exchange of manifests between VMs.
const (
	// minRefreshInterval is the shortest time between two requests for the newest manifest because
	// of unknown keys. Callers may send such keys at any rate.
	minRefreshInterval = time.Second
	// maxUntouched is how long ago a VM whose own source fails may have been in touch, by another
	// VM whose source works, for calling a key unknown. It is two rounds of asking other VMs.
	maxUntouched = 2 * manifestPollInterval
	// maxUsualAge is how old the confirmation may be while all sources work, as a multiple of the
	// bound: the wait of a reader's watch and that of the VM that follows it, with their pauses.
	maxUsualAge = 1.5
)

// currency says how current the manifest in force is. The zero value never confirms it and bounds
// nothing. It is safe for concurrent use.
type currency struct {
	bound  time.Duration // within which this VM must know a new manifest
	strict time.Duration // how old the confirmation may be at most for serving keys; 0: any

	mu          sync.Mutex
	confirmedAt time.Time     // latest confirmation; zero if there was none
	touchedAt   time.Time     // when the source of this VM, or a VM whose source works, last answered
	lost        bool          // the source of this VM, the store or a VM that it follows, fails
	invalid     bool          // the source has a manifest that can't be put in force
	others      []scatter.VM  // the other VMs
	neighbours  []scatter.VM  // those of the other VMs that this one asks for the manifest
	turn        int           // of the neighbour that is asked next; counted on beyond their number
	flight      chan struct{} // closed at the end of the refresh in progress; nil if there is none
	refreshedAt time.Time     // when the latest refresh began
	heardFrom   string        // name of the latest VM that has a newer manifest, which will be fetched; empty if there is none
}

// setBounds sets the times within which changes of the manifest must be known. It must be called
// before all other methods.
func (c *currency) setBounds(bounds BoundSettings) {
	c.bound = time.Duration(bounds.manifestBoundMS() * float64(time.Millisecond))
	if bounds.StrictRevoke {
		c.strict = max(c.bound, time.Duration(bounds.RevokeMS*float64(time.Millisecond)))
	}
}

// manifestBoundMS returns the time within which a new manifest must be known, in milliseconds.
func (b BoundSettings) manifestBoundMS() float64 {
	if b.RevokeMS > 0 {
		return min(b.ManifestMS, b.RevokeMS)
	}
	return b.ManifestMS
}

// strictWatchShare shortens the watches of the manifest if keys are revoked strictly. A VM that
// follows a reader is told by the end of its watch what the reader knew by the end of its own; both
// together have to stay within the bound.
const strictWatchShare = 0.5

// manifestWatchMS returns the time from which the wait of a watch of the manifest is derived, in
// milliseconds.
func (b BoundSettings) manifestWatchMS() float64 {
	if b.StrictRevoke {
		return strictWatchShare * b.manifestBoundMS()
	}
	return b.manifestBoundMS()
}

// confirm records that the manifest in force was confirmed at a time. inTouch says that the answer
// came from the store, or from a VM whose source works.
func (c *currency) confirm(now, at time.Time, inTouch bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
	if inTouch {
		c.touchedAt = now
	}
}

// age returns the time since the latest confirmation, and false if there was none.
func (c *currency) age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmedAt), !c.confirmedAt.IsZero()
}

// olderThan reports whether there was no confirmation within a time.
func (c *currency) olderThan(now time.Time, limit time.Duration) bool {
	age, confirmed := c.age(now)
	return !confirmed || age > limit
}

// usualAge returns how old the confirmation may be while all sources work.
func (c *currency) usualAge() time.Duration { return time.Duration(maxUsualAge * float64(c.bound)) }

// setSource records whether the source of this VM works. It reports whether the source began to fail.
func (c *currency) setSource(works bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	began := !works && !c.lost
	c.lost = !works
	return began
}

// setSourceValid records whether the manifest of this VM's source can be put in force. It reports
// whether that has changed to the worse.
func (c *currency) setSourceValid(valid bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	began := !valid && !c.invalid
	c.invalid = !valid
	return began
}

// sourceLost reports whether the source of this VM fails.
func (c *currency) sourceLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// outOfTouch reports whether the source of this VM fails and no VM whose source works has answered
// recently.
func (c *currency) outOfTouch(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost && now.Sub(c.touchedAt) > maxUntouched
}

// mayServeKeys reports whether requests with a valid key may be served. With strict revocation that
// is so only while the confirmation is recent.
func (c *currency) mayServeKeys(now time.Time) bool {
	return c.strict == 0 || !c.olderThan(now, c.strict)
}

// mayBeBehind reports whether a key that the manifest in force doesn't hold may be in a newer one
// that this VM should know.
func (c *currency) mayBeBehind(now time.Time) bool {
	return c.olderThan(now, c.bound) || c.outOfTouch(now)
}

// pollDue reports whether other VMs should be asked for the manifest. keyed says that the manifest
// in force names tenants, and none that there is no manifest.
func (c *currency) pollDue(now time.Time, keyed, none bool) bool {
	c.mu.Lock()
	lost, invalid := c.lost, c.invalid
	c.mu.Unlock()
	switch {
	case none:
		return invalid
	case !keyed:
		return false
	}
	return lost || c.olderThan(now, c.usualAge()) || !c.mayServeKeys(now)
}

// startRefresh begins a refresh unless one is in progress or began recently. It returns the channel
// that is closed at the end of the refresh, nil if there is none, and whether the caller has to run it.
func (c *currency) startRefresh(now time.Time) (flight chan struct{}, run bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flight != nil || now.Sub(c.refreshedAt) < minRefreshInterval {
		return c.flight, false
	}
	c.flight, c.refreshedAt = make(chan struct{}), now
	return c.flight, true
}

// endRefresh ends the refresh in progress.
func (c *currency) endRefresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.flight)
	c.flight = nil
}

// setVMs replaces the list of the other VMs. self is this VM. Its neighbours are those of the other
// VMs that come first in an order of its own, VMs of other zones before those of its zone. So the
// connections of all VMs to their neighbours are no more than maxNeighbours times the VMs.
func (c *currency) setVMs(self scatter.VM, others []scatter.VM) {
	type candidate struct {
		vm    scatter.VM
		near  int // 1 if it is in the zone of this VM, else 0
		order uint64
	}
	candidates := make([]candidate, len(others))
	for i, vm := range others {
		candidates[i] = candidate{vm: vm, order: xxhash.Sum64String(self.Name + "/" + vm.Name)}
		if vm.Zone == self.Zone {
			candidates[i].near = 1
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.near, b.near), cmp.Compare(a.order, b.order))
	})
	var neighbours []scatter.VM
	for _, n := range candidates[:min(len(candidates), maxNeighbours)] {
		neighbours = append(neighbours, n.vm)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others = others
	c.neighbours = neighbours
}

// nextNeighbours returns the n neighbours whose turn it is.
func (c *currency) nextNeighbours(n int) []scatter.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = min(n, len(c.neighbours))
	var next []scatter.VM
	for i := range n {
		next = append(next, c.neighbours[(c.turn+i)%len(c.neighbours)])
	}
	c.turn += n
	return next
}
