package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Revision is a state of the store. It only rises.
type Revision int64

// ErrHistoryCompacted is the answer to a watch from a revision that the store has
// forgotten; a listing has to be read again.
var ErrHistoryCompacted = errors.New("edge: the store has forgotten this revision")

// LeafList is the whole list of leafs.
type LeafList struct {
	Leafs    []registry.Leaf
	Invalid  int // entries that name no leaf
	Revision Revision
	// AfterOutage: the store may have been away since the listing before.
	AfterOutage bool
}

// LeafChanges is what changed in the list of leafs.
type LeafChanges struct {
	Changes  []registry.Change
	Revision Revision // to watch from next
}

// VMChanges is what changed in the list of VMs, the last word on each.
type VMChanges struct {
	Present  []scatter.VM
	Deleted  []string // names
	Revision Revision // to watch from next
}

// Store is what the users' platform keeps and tells. Each call has a bounded time.
type Store interface {
	Leafs(ctx context.Context) (LeafList, error)
	// WatchLeafs waits for changes after a revision, at most for wait.
	WatchLeafs(ctx context.Context, since Revision, wait time.Duration) (LeafChanges, error)
	// Manifest returns nil if there is none yet.
	Manifest(ctx context.Context) (*routing.Manifest, Revision, error)
	// WatchManifest returns nil if there is no new one within wait.
	WatchManifest(ctx context.Context, since Revision, wait time.Duration) (*routing.Manifest, Revision, error)

	// VMs lists the VMs of this system that announced themselves.
	VMs(ctx context.Context) ([]scatter.VM, Revision, error)
	WatchVMs(ctx context.Context, since Revision, wait time.Duration) (VMChanges, error)
	Announce(ctx context.Context, vm scatter.VM) error
	Withdraw(ctx context.Context, name string) error
}

// LeafMetadata is what a leaf's answer says beside its body.
type LeafMetadata struct {
	RequestID string // that it answers
	Receipt   string // proof that the leaf ran the request and gave this answer
	NotRun    bool   // the leaf states that it did not run the request
	Moved     bool   // another leaf has the address
	Load      scatter.Load
	HasLoad   bool
}

// Exchange knows the headers that callers, this system and leafs use.
type Exchange interface {
	// RequestID returns the id of a caller's request.
	RequestID(h http.Header) string
	// Wait returns how long the caller waits, false if it does not say.
	Wait(h http.Header) (time.Duration, bool)
	// ToLeaf returns the headers that differ between attempts.
	ToLeaf(leaf scatter.LeafID, left time.Duration) http.Header
	// Own returns the names of a caller's headers that ToLeaf replaces.
	Own() []string
	FromLeaf(status int, h http.Header) LeafMetadata
	// Gathered returns the headers of the answer to a gathered request.
	Gathered(receipts []string, missing int) http.Header
}
