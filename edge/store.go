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

// Revision identifies a state of the store. Revisions only increase.
type Revision int64

// ErrHistoryCompacted is returned by a watch from a revision whose later changes the store no
// longer keeps. The resource must be read again as a whole.
var ErrHistoryCompacted = errors.New("edge: the store no longer keeps this revision")

// LeafList is the complete list of leafs.
type LeafList struct {
	Leafs    []registry.Leaf
	Invalid  int      // number of invalid entries, which are not in Leafs
	Revision Revision // revision to watch from next
	// AfterOutage is true if the store may have been unavailable since the previous list.
	AfterOutage bool
}

// LeafChanges holds the changes of the list of leafs since a revision.
type LeafChanges struct {
	Changes  []registry.Change
	Revision Revision // revision to watch from next
}

// VMChanges holds the changes of the list of VMs since a revision, with only the latest state
// of each VM.
type VMChanges struct {
	Present  []scatter.VM // new and changed VMs
	Deleted  []string     // names of removed VMs
	Revision Revision     // revision to watch from next
}

// Store is the users' platform as a source of leafs, manifests, evacuations and VMs. Implementations bound
// the duration of each call.
type Store interface {
	// Leafs returns all leafs.
	Leafs(ctx context.Context) (LeafList, error)
	// WatchLeafs waits for changes of the leafs after a revision, at most for the time wait.
	// It returns no changes if there are none.
	WatchLeafs(ctx context.Context, since Revision, wait time.Duration) (LeafChanges, error)
	// Manifest returns the manifest, nil if there is none yet, and the revision to watch from
	// next. The revision is valid too if the error is a *routing.InvalidManifestError, which says
	// that the store has answered.
	Manifest(ctx context.Context) (*routing.Manifest, Revision, error)
	// WatchManifest waits for a new manifest after a revision, at most for the time wait. It
	// returns the manifest, nil if none appears, and the revision to watch from next. Both are
	// valid too if the error is a *routing.InvalidManifestError, for a manifest that appeared.
	WatchManifest(ctx context.Context, since Revision, wait time.Duration) (*routing.Manifest, Revision, error)
	// Evacuations returns the set of evacuated zones.
	Evacuations(ctx context.Context) (Evacuations, error)
	// WatchEvacuations waits for a change of the set of evacuated zones after a revision, at
	// most for the time wait. It returns the new set, nil if there is none, and the revision
	// to watch from next.
	WatchEvacuations(ctx context.Context, since Revision, wait time.Duration) (*Evacuations, Revision, error)

	// VMs returns the VMs of this system that have announced themselves, and the revision to
	// watch from next.
	VMs(ctx context.Context) ([]scatter.VM, Revision, error)
	// WatchVMs waits for changes of the list of VMs after a revision, at most for the time
	// wait. It returns no changes if there are none.
	WatchVMs(ctx context.Context, since Revision, wait time.Duration) (VMChanges, error)
	// Announce writes the entry of this VM.
	Announce(ctx context.Context, vm scatter.VM) error
	// Withdraw removes the entry of the VM with this name.
	Withdraw(ctx context.Context, name string) error
}

// LeafMetadata is what the status and the headers of a leaf's answer state.
type LeafMetadata struct {
	RequestID string       // id of the request that is answered
	Receipt   string       // proof that the leaf ran the request and sent this answer
	NotRun    bool         // the leaf states that it did not run the request
	Moved     bool         // the address now belongs to another leaf
	Load      scatter.Load // load that the leaf states
	HasLoad   bool         // the answer states a load, so Load is valid
}

// HeaderCodec reads and writes the headers between callers, this system and leafs.
// Implementations are safe for concurrent use.
type HeaderCodec interface {
	// RequestID returns the id of a caller's request.
	RequestID(h http.Header) string
	// CallerTimeout returns the caller's remaining time, and false if the caller does not
	// state it.
	CallerTimeout(h http.Header) (time.Duration, bool)
	// AttemptHeaders returns the headers that differ from one attempt to the next.
	// remaining is the time that remains for the attempt, and tenant the name of the tenant on
	// whose behalf the request runs, empty if none is known.
	AttemptHeaders(leaf scatter.LeafID, remaining time.Duration, tenant string) http.Header
	// ReplacedHeaders returns the names of those headers that only AttemptHeaders sets: a
	// caller's are not forwarded.
	ReplacedHeaders() []string
	// ParseLeafHeaders parses the status and the headers of a leaf's answer.
	ParseLeafHeaders(status int, h http.Header) LeafMetadata
	// GatheredHeaders returns the headers of the answer to a gathered request. receipts are
	// those of the shards that the answer includes, and missing is the number of shards that
	// have not answered.
	GatheredHeaders(receipts []string, missing int) http.Header
}
