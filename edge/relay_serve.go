package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// Methods by which a VM follows another one. Calls are rare, so their parameters are JSON.
const (
	methodFollowLeafs       = "follow_leafs"       // returns the list of leafs, or its changes
	methodFollowManifest    = "follow_manifest"    // returns a newer manifest
	methodFollowEvacuations = "follow_evacuations" // returns a newer set of evacuated zones
	methodNewerManifest     = "newer_manifest"     // returns a newer manifest at once, also from a VM that does not read the store
)

// followCall requests what another VM has read from the store: the list of leafs or its
// changes, the manifest, or the set of evacuated zones. The called VM numbers the changes of leafs in the order in which
// it received them; a position is the number of a change.
type followCall struct {
	Incarnation    string `json:"life"`      // incarnation of the called VM in which Position is valid
	Position       int64  `json:"position"`  // return the changes after this one; for methodFollowManifest and methodNewerManifest, the version of the manifest that the calling VM has; for methodFollowEvacuations, the revision of its set
	List           bool   `json:"list"`      // return all leafs, the manifest if it is newer, or the set of evacuated zones, at once
	WaitMS         int64  `json:"wait_ms"`   // without List: longest wait for a change, in milliseconds
	MaxStalenessMS int64  `json:"within_ms"` // the call fails if the store last answered the called VM longer ago than this, in milliseconds
}

// storeAge is a part of the answers to a VM that follows this one.
type storeAge struct {
	// StoreAgeMS is how long ago the store last answered the called VM about the resource, in
	// milliseconds. A VM that states it ends a wait as soon as that exceeds MaxStalenessMS; one of an
	// earlier release does neither.
	StoreAgeMS *int64 `json:"store_age_ms,omitempty"`
}

// storeAge returns how old the store's latest answer about a followed resource is.
func (f *feed) storeAge(resource string) storeAge {
	ms := time.Since(f.freshUntil(resource, 0)).Milliseconds()
	return storeAge{StoreAgeMS: &ms}
}

// of returns the stated age. A VM that does not state it has checked that it was below maxStaleness.
func (a *storeAge) of(maxStaleness time.Duration) time.Duration {
	if a.StoreAgeMS == nil {
		return maxStaleness
	}
	return time.Duration(*a.StoreAgeMS) * time.Millisecond
}

// leafsAnswer is the result of methodFollowLeafs.
type leafsAnswer struct {
	storeAge
	Incarnation string            `json:"life"`              // of the called VM; Position is valid within it only
	Position    int64             `json:"position"`          // number of the latest change, in the called VM's sequence of changes
	Leafs       []byte            `json:"leafs,omitempty"`   // if List was set: all leafs, a []registry.Leaf encoded by pack
	Changes     []registry.Change `json:"changes,omitempty"` // if List was not set: the changes after the position of the call
}

// manifestAnswer is the result of methodFollowManifest and methodNewerManifest, for which
// followCall.Position is a manifest version.
type manifestAnswer struct {
	storeAge
	Document []byte `json:"document,omitempty"` // a routing.Document encoded by pack; absent if there is no newer one
	AgeMS    *int64 `json:"age_ms,omitempty"`   // how long ago the called VM's manifest was confirmed to be the newest, in milliseconds; absent if that is not known
	// SourceLost says that the called VM gets no manifests from the store or the VMs that it
	// follows. Only methodNewerManifest is answered then.
	SourceLost bool `json:"source_lost,omitempty"`
}

// evacuationsAnswer is the result of methodFollowEvacuations. Revision is 0 if the set of evacuated
// zones has not changed.
type evacuationsAnswer struct {
	storeAge
	Zones    []string `json:"zones,omitempty"`
	Revision int64    `json:"revision,omitempty"` // of the store, at which the called VM or its source read the set; 0 if there is no newer set
}

// set returns the set of evacuated zones that the answer holds.
func (a *evacuationsAnswer) set() Evacuations {
	return Evacuations{Zones: a.Zones, Revision: Revision(a.Revision)}
}

// Names of the resources that VMs follow.
const (
	followedLeafs       = "leafs"       // the list of leafs
	followedManifest    = "manifest"    // the manifest in force
	followedEvacuations = "evacuations" // the set of evacuated zones
)

// serveFollow serves a call of a VM that reads a resource from this VM instead of from the store.
func (e *Engine) serveFollow(ctx context.Context, method string, call *followCall) (any, error) {
	switch method {
	case methodFollowLeafs:
		return e.serveFollowLeafs(ctx, call)
	case methodFollowManifest:
		return e.serveFollowManifest(ctx, call)
	case methodNewerManifest:
		return e.serveNewerManifest(call)
	default:
		return e.serveFollowEvacuations(ctx, call)
	}
}

// serveFollowLeafs serves a VM that reads the leafs from this VM instead of from the store. It
// returns all leafs at once, or waits for changes for up to WaitMS. It returns errStoreStale if
// the store has not answered this VM recently, and errPositionUnknown if the calling VM must
// read the whole list.
func (e *Engine) serveFollowLeafs(ctx context.Context, call *followCall) (*leafsAnswer, error) {
	maxStaleness := time.Duration(call.MaxStalenessMS) * time.Millisecond
	if !e.feed.isFresh(followedLeafs, maxStaleness) {
		return nil, errStoreStale
	}
	if call.List {
		leafs, position, err := e.feed.list()
		if err != nil {
			return nil, err
		}
		return &leafsAnswer{storeAge: e.feed.storeAge(followedLeafs), Incarnation: e.feed.incarnation, Position: position, Leafs: leafs}, nil
	}
	if call.Incarnation != e.feed.incarnation {
		return nil, errPositionUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.WaitMS)*time.Millisecond)
	defer cancel()
	var changes []registry.Change
	position, kept := call.Position, true // kept: all changes after call.Position are still known
	// The wait ends when there are changes, when some changes are no longer kept, or when the
	// store has not answered this VM recently.
	e.feed.waitFor(ctx, followedLeafs, maxStaleness, func() bool {
		changes, position, kept = e.feed.changesSince(call.Position)
		return len(changes) > 0 || !kept
	})
	if !kept {
		return nil, errPositionUnknown
	}
	if len(changes) == 0 && !e.feed.isFresh(followedLeafs, maxStaleness) {
		return nil, errStoreStale
	}
	return &leafsAnswer{storeAge: e.feed.storeAge(followedLeafs), Incarnation: e.feed.incarnation, Position: position, Changes: changes}, nil
}

// serveFollowManifest serves a VM that reads the manifest from this VM instead of from the
// store. It waits for a newer manifest for up to WaitMS, unless List is set. It returns
// errStoreStale if the store has not answered this VM recently.
func (e *Engine) serveFollowManifest(ctx context.Context, call *followCall) (*manifestAnswer, error) {
	maxStaleness := time.Duration(call.MaxStalenessMS) * time.Millisecond
	fresh := func() bool { return e.feed.isFresh(followedManifest, maxStaleness) }
	if !fresh() {
		return nil, errStoreStale
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.WaitMS)*time.Millisecond)
	defer cancel()
	newer := false
	var age *int64 // of the confirmation; must be read before the manifest
	// The wait ends when there is a newer manifest, at once if List is set, or when the store
	// has not answered this VM recently.
	e.feed.waitFor(ctx, followedManifest, maxStaleness, func() bool {
		age = e.confirmationAgeMS()
		m, _ := e.feed.current()
		newer = m != nil && m.Version > call.Position
		return newer || call.List
	})
	if !newer {
		if !fresh() {
			return nil, errStoreStale
		}
		return &manifestAnswer{storeAge: e.feed.storeAge(followedManifest), AgeMS: age}, nil
	}
	doc, err := e.feed.document()
	if err != nil {
		return nil, err
	}
	return &manifestAnswer{storeAge: e.feed.storeAge(followedManifest), Document: doc, AgeMS: age}, nil
}

// serveFollowEvacuations serves a VM that reads the set of evacuated zones from this VM instead of
// from the store. It waits for a newer set for up to WaitMS, unless List is set. It returns
// errStoreStale if the store has not answered this VM recently.
func (e *Engine) serveFollowEvacuations(ctx context.Context, call *followCall) (*evacuationsAnswer, error) {
	maxStaleness := time.Duration(call.MaxStalenessMS) * time.Millisecond
	fresh := func() bool { return e.feed.isFresh(followedEvacuations, maxStaleness) }
	if !fresh() {
		return nil, errStoreStale
	}
	known := Revision(call.Position)
	if call.List {
		known = -1
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.WaitMS)*time.Millisecond)
	defer cancel()
	var set *Evacuations
	// The wait ends when there is a newer set, or when the store has not answered this VM
	// recently.
	e.feed.waitFor(ctx, followedEvacuations, maxStaleness, func() bool {
		set = e.feed.evacuationsSince(known)
		return set != nil || call.List
	})
	switch {
	case set != nil:
		return &evacuationsAnswer{storeAge: e.feed.storeAge(followedEvacuations), Zones: set.Zones, Revision: int64(set.Revision)}, nil
	case !fresh():
		return nil, errStoreStale
	}
	return &evacuationsAnswer{storeAge: e.feed.storeAge(followedEvacuations)}, nil
}

var (
	// errStoreStale means that this VM cannot pass on what it read from the store, because it
	// may be stale.
	errStoreStale = result.Errorf(result.PlatformDown, "this VM has no recent answer from the store")
	// errPositionUnknown means that this VM does not know all changes after the position of a
	// call, so the calling VM must read the whole list.
	errPositionUnknown = result.Errorf(result.PositionGone, "the position is unknown or no longer kept")
)

// decodeFollow decodes the parameters of a method by which a VM follows another one.
func decodeFollow(params json.RawMessage) (*followCall, error) {
	call := new(followCall)
	if err := json.Unmarshal(params, call); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "follow")
	}
	return call, nil
}
