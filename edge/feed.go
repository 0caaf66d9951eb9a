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

// feed is what this VM knows of leafs and of the manifest, in the order in which it
// learned it, for VMs that follow this one in place of the store. It is safe for
// concurrent use.
type feed struct {
	incarnation string // of this process; a position means nothing in another

	mu          sync.Mutex // guards the fields below
	position    int64      // of the latest change
	log         []feedChange
	leafs       map[string]registry.Leaf // by id
	manifest    *routing.Manifest
	changed     chan struct{} // closed at each change
	lastSuccess map[string]time.Time

	packedList     []byte // of leafs; nil after a change
	packedManifest []byte // nil after a change
}

type feedChange struct {
	position int64
	change   registry.Change
}

// maxFeedLog is how many changes are kept for VMs that lag. One that lags further reads
// the whole list.
const maxFeedLog = 2048

func newFeed() *feed {
	return &feed{
		incarnation: uuid.NewString(),
		leafs:       make(map[string]registry.Leaf),
		changed:     make(chan struct{}),
		lastSuccess: make(map[string]time.Time),
	}
}

func (f *feed) appendChanges(changes []registry.Change) {
	if len(changes) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.packedList = nil
	for _, c := range changes {
		f.position++
		f.log = append(f.log, feedChange{position: f.position, change: c})
		if c.Gone {
			delete(f.leafs, c.Leaf.ID)
		} else {
			f.leafs[c.Leaf.ID] = c.Leaf
		}
	}
	if extra := len(f.log) - maxFeedLog; extra > 0 {
		f.log = append([]feedChange(nil), f.log[extra:]...)
	}
	f.notifyWaiters()
}

func (f *feed) setManifest(m *routing.Manifest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.manifest = m
	f.packedManifest = nil
	f.notifyWaiters()
}

func (f *feed) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// recordSuccess notes that the store told what there is of something.
func (f *feed) recordSuccess(resource string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSuccess[resource] = time.Now()
}

// recordFailure notes that a call of the store failed. Those who follow this VM learn it at once:
// the store may turn away this VM alone.
func (f *feed) recordFailure(resource string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.lastSuccess, resource)
	f.notifyWaiters()
}

// isFresh reports whether the store was heard of something within a time.
func (f *feed) isFresh(resource string, within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastSuccess[resource]) < within
}

// list returns all leafs, packed, and the position to go on from. Those who follow a VM
// that starts ask for the same list at the same time.
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

// document returns the manifest, packed.
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

// changesSince returns the changes changesSince a position, false if they are not kept any more.
func (f *feed) changesSince(position int64) ([]registry.Change, int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if position > f.position || len(f.log) > 0 && position < f.log[0].position-1 {
		return nil, 0, false
	}
	var changes []registry.Change
	for _, c := range f.log {
		if c.position > position {
			changes = append(changes, c.change)
		}
	}
	return changes, f.position, true
}

func (f *feed) current() (*routing.Manifest, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.manifest, f.changed
}

// waitFor waits until ready returns true after a change, or ctx ends.
func (f *feed) waitFor(ctx context.Context, ready func() bool) {
	for {
		_, changed := f.current()
		if ready() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
