package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
)

// feed keeps the leafs and the manifest that this VM knows, and the recent changes of the
// leafs in the order in which this VM received them. Each change has a position, its number in
// this order. VMs that follow this VM instead of the store read from the feed. It is safe for
// concurrent use.
type feed struct {
	incarnation string // identifies this process; positions are valid within one incarnation only

	mu          sync.Mutex               // guards the fields below
	position    int64                    // position of the latest change of the leafs; 0 before the first
	changeLog   []feedChange             // the latest changes of the leafs, at most maxFeedLog
	leafs       map[string]registry.Leaf // by leaf id
	manifest    *routing.Manifest        // in force; nil before the first
	evacuations *Evacuations             // in force; nil before the first
	changed     chan struct{}            // closed and replaced at each change of the feed
	lastSuccess map[string]time.Time     // by name of a followed resource: when the store last answered about it

	packedList     []byte // leafs, encoded by pack; nil if they have changed since
	packedManifest []byte // document of manifest, encoded by pack; nil if it has changed since
}

// feedChange is a change of the list of leafs with its position.
type feedChange struct {
	position int64
	change   registry.Change
}

// maxFeedLog is how many changes of the leafs are kept for VMs that lag behind. A VM that
// lags further reads the whole list.
const maxFeedLog = 2048

// newFeed returns a feed without leafs and manifest, as a new incarnation.
func newFeed() *feed {
	return &feed{
		incarnation: uuid.NewString(),
		leafs:       make(map[string]registry.Leaf),
		changed:     make(chan struct{}),
		lastSuccess: make(map[string]time.Time),
	}
}

// appendChanges applies changes of the leafs, in order, and wakes the VMs that wait for them.
func (f *feed) appendChanges(changes []registry.Change) {
	if len(changes) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.packedList = nil
	for _, c := range changes {
		f.position++
		f.changeLog = append(f.changeLog, feedChange{position: f.position, change: c})
		if c.Gone {
			delete(f.leafs, c.Leaf.ID)
		} else {
			f.leafs[c.Leaf.ID] = c.Leaf
		}
	}
	if extra := len(f.changeLog) - maxFeedLog; extra > 0 {
		f.changeLog = append([]feedChange(nil), f.changeLog[extra:]...)
	}
	f.notifyWaiters()
}

// setManifest replaces the manifest and wakes the calls of VMs that wait for a newer one.
func (f *feed) setManifest(m *routing.Manifest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.manifest = m
	f.packedManifest = nil
	f.notifyWaiters()
}

// setEvacuations replaces the set of evacuated zones, and wakes the calls of VMs that wait for a
// newer one. It does so even if the zones are the same: a VM that follows this one may know from
// another VM of an evacuation that began and ended while this VM received no changes.
func (f *feed) setEvacuations(next Evacuations) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations = &next
	f.notifyWaiters()
}

// evacuationsSince returns the set of evacuated zones if it was read at a later revision of the
// store than the given one, and otherwise nil.
func (f *feed) evacuationsSince(revision Revision) *Evacuations {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuations == nil || f.evacuations.Revision <= revision {
		return nil
	}
	return f.evacuations
}

// notifyWaiters wakes all calls of waitFor. The caller must hold f.mu.
func (f *feed) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// recordSuccess records that the store answered about a followed resource at a time.
func (f *feed) recordSuccess(resource string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSuccess[resource] = at
}

// recordFailure records that a store call about a followed resource failed. Calls of VMs that
// follow this one stop waiting and fail, so that these VMs can read from elsewhere at once: the
// store may be rejecting this VM alone.
func (f *feed) recordFailure(resource string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.lastSuccess, resource)
	f.notifyWaiters()
}

// isFresh reports whether the store last answered about a followed resource less than maxStaleness
// ago.
func (f *feed) isFresh(resource string, maxStaleness time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastSuccess[resource]) < maxStaleness
}

// list returns all leafs, encoded by pack, and the position of the latest change that the list
// includes. The packed list is kept, because after a start of this VM, all VMs that follow it
// request the same list at the same time.
func (f *feed) list() ([]byte, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.packedList == nil {
		packed, err := pack(slices.Collect(maps.Values(f.leafs)))
		if err != nil {
			return nil, 0, err
		}
		f.packedList = packed
	}
	return f.packedList, f.position, nil
}

// document returns the document of the manifest, encoded by pack. There must be a manifest.
func (f *feed) document() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.packedManifest == nil {
		packed, err := pack(f.manifest.Document)
		if err != nil {
			return nil, err
		}
		f.packedManifest = packed
	}
	return f.packedManifest, nil
}

// changesSince returns the changes of the leafs after a position, and the latest position. The
// last result is false if the position was never issued, or if some of the changes are no
// longer kept.
func (f *feed) changesSince(position int64) ([]registry.Change, int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The position was never issued, or a change after it is no longer in changeLog.
	if position > f.position || len(f.changeLog) > 0 && position < f.changeLog[0].position-1 {
		return nil, 0, false
	}
	var changes []registry.Change
	for _, c := range f.changeLog {
		if c.position > position {
			changes = append(changes, c.change)
		}
	}
	return changes, f.position, true
}

// current returns the manifest, nil if there is none, and a channel that is closed at the next
// change of the feed.
func (f *feed) current() (*routing.Manifest, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.manifest, f.changed
}

// freshUntil returns when the store's latest answer about a followed resource becomes older than
// maxStaleness.
func (f *feed) freshUntil(resource string, maxStaleness time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastSuccess[resource].Add(maxStaleness)
}

// waitFor waits until ready returns true, until the store has not answered about the resource for
// maxStaleness, or until ctx ends. It calls ready at the start and after each change of the feed.
func (f *feed) waitFor(ctx context.Context, resource string, maxStaleness time.Duration, ready func() bool) {
	for {
		_, changed := f.current()
		stale := time.NewTimer(time.Until(f.freshUntil(resource, maxStaleness)))
		if ready() || !f.isFresh(resource, maxStaleness) {
			stale.Stop()
			return
		}
		select {
		case <-changed:
		case <-stale.C: // unless the store has answered since
		case <-ctx.Done():
		}
		stale.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}
