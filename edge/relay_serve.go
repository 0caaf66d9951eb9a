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
	methodFollowLeafs    = "follow_leafs"
	methodFollowManifest = "follow_manifest"
)

// followCall requests the changes after a position, or everything.
type followCall struct {
	Incarnation    string `json:"life"` // incarnation of the VM that issued Position
	Position       int64  `json:"position"`
	List           bool   `json:"list"` // return everything, at once
	WaitMS         int64  `json:"wait_ms"`
	MaxStalenessMS int64  `json:"within_ms"` // longest time since the store answered the called VM
}

// leafsAnswer is the result of methodFollowLeafs.
type leafsAnswer struct {
	Incarnation string            `json:"life"`
	Position    int64             `json:"position"`
	Leafs       []byte            `json:"leafs,omitempty"`   // if List was set: packed []registry.Leaf
	Changes     []registry.Change `json:"changes,omitempty"` // if List was not set
}

// manifestAnswer is the result of methodFollowManifest, for which followCall.Position is a
// manifest version.
type manifestAnswer struct {
	Document []byte `json:"document,omitempty"` // packed routing.Document; absent if there is no newer one
}

// Names of the resources that are followed.
const (
	followedLeafs    = "leafs"
	followedManifest = "manifest"
)

// serveFollowLeafs serves a VM that follows the leafs of this one. It waits for changes for
// up to WaitMS.
func (e *Engine) serveFollowLeafs(ctx context.Context, call *followCall) (*leafsAnswer, error) {
	within := time.Duration(call.MaxStalenessMS) * time.Millisecond
	if !e.feed.isFresh(followedLeafs, within) {
		return nil, errStoreStale
	}
	if call.List {
		leafs, position, err := e.feed.list()
		if err != nil {
			return nil, err
		}
		return &leafsAnswer{Incarnation: e.feed.incarnation, Position: position, Leafs: leafs}, nil
	}
	if call.Incarnation != e.feed.incarnation {
		return nil, errPositionUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.WaitMS)*time.Millisecond)
	defer cancel()
	var changes []registry.Change
	position, kept := call.Position, true
	fresh := func() bool { return e.feed.isFresh(followedLeafs, within) }
	e.feed.waitFor(ctx, func() bool {
		changes, position, kept = e.feed.changesSince(call.Position)
		return len(changes) > 0 || !kept || !fresh()
	})
	if !kept {
		return nil, errPositionUnknown
	}
	if len(changes) == 0 && !fresh() {
		return nil, errStoreStale
	}
	return &leafsAnswer{Incarnation: e.feed.incarnation, Position: position, Changes: changes}, nil
}

// serveFollowManifest serves a VM that follows the manifest of this one. It waits for a newer
// manifest for up to WaitMS.
func (e *Engine) serveFollowManifest(ctx context.Context, call *followCall) (*manifestAnswer, error) {
	fresh := func() bool {
		return e.feed.isFresh(followedManifest, time.Duration(call.MaxStalenessMS)*time.Millisecond)
	}
	if !fresh() {
		return nil, errStoreStale
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.WaitMS)*time.Millisecond)
	defer cancel()
	newer := false
	e.feed.waitFor(ctx, func() bool {
		m, _ := e.feed.current()
		newer = m != nil && m.Version > call.Position
		return newer || call.List || !fresh()
	})
	if !newer {
		if !fresh() {
			return nil, errStoreStale
		}
		return &manifestAnswer{}, nil
	}
	doc, err := e.feed.document()
	if err != nil {
		return nil, err
	}
	return &manifestAnswer{Document: doc}, nil
}

var (
	errStoreStale      = result.Errorf(result.PlatformDown, "this VM has no recent answer from the store")
	errPositionUnknown = result.Errorf(result.PositionGone, "the position is unknown or no longer kept")
)

// decodeFollow decodes the parameters of a follow call.
func decodeFollow(params json.RawMessage) (*followCall, error) {
	call := new(followCall)
	if err := json.Unmarshal(params, call); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "follow")
	}
	return call, nil
}
