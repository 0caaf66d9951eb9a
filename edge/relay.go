package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Each call of the store is paid for, and 77 VMs that all watch it pay for as many
// calls. In each zone a few VMs read the store; the others follow one of these over the
// connections between VMs, and turn to the store when it fails them. A VM that lost the
// store says so rather than pass on what may be old.

// relay is a Store whose leafs and manifest come from another VM if one serves them.
// What belongs to leafs is used by one goroutine, and so is what belongs to manifests.
type relay struct {
	Store
	e            *Engine
	maxStaleness time.Duration // how lately the other VM must have heard from the store

	leafsUpstream, manifestUpstream upstream
	incarnation                     string // of the process that told the positions of leafs

	mu          sync.Mutex           // guards the fields below
	avoidUntil  map[string]time.Time // VMs that failed, until when they are not followed
	failing     map[string]bool      // VMs whose latest call failed
	nextRead    time.Time            // until when nothing is read from the store
	storeFailed bool                 // the store was, since leafs were last listed
}

// upstream is where something is read at present.
type upstream struct {
	vm string // name of the VM that is followed; empty for the store
}

// avoidPeriod is how long a VM that failed is not followed.
const avoidPeriod = 5 * time.Second

// answerTimeout bounds the wait for an answer that is to come at once.
const answerTimeout = 500 * time.Millisecond

// A VM that others read the store for goes to it itself only now and then while that
// fails: the store is mostly away for all, and what is away is paid for as well. In an
// outage of 4.5 s 77 VMs made 1,043 such calls in vain; then each found its readers again.
const (
	// startDelayShare is the part of the time within which a change has to be known that a
	// VM which has just started waits for those that read the store.
	startDelayShare = 1.0 / 2
	// retryDelayShare is the part of it between two readings that failed.
	retryDelayShare = 1.0 / 2
)

// errReadDeferred says that the store is left to the VMs that read it for others.
var errReadDeferred = errors.New("edge: reading of the store is left to other VMs")

func newRelay(store Store, e *Engine, fresh time.Duration) *relay {
	return &relay{
		Store:        store,
		e:            e,
		maxStaleness: fresh,
		avoidUntil:   make(map[string]time.Time),
		failing:      make(map[string]bool),
	}
}

// delayFirstRead is called when the other VMs are known.
func (r *relay) delayFirstRead() {
	r.delayRead(time.Duration(startDelayShare * float64(r.maxStaleness)))
}

func (r *relay) delayRead(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextRead = time.Now().Add(d)
}

func (r *relay) storeReaders() scatter.StoreReaders {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return r.e.table.StoreReaders(time.Now())
}

// currentReader returns the VM to follow, false if this one is to read the store itself.
func (r *relay) currentReader() (scatter.VM, bool) {
	readers := r.storeReaders().Others
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range readers {
		if now.After(r.avoidUntil[vm.Name]) {
			return vm, true
		}
	}
	return scatter.VM{}, false
}

// mayReadStore reports whether the store is to be read now. If not, those who failed are asked
// again next: they may have found the store.
func (r *relay) mayReadStore() bool {
	if r.storeReaders().Self {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.nextRead) {
		clear(r.avoidUntil)
		return false
	}
	// One reading at a time finds out whether the store is there.
	r.nextRead = now.Add(time.Duration(retryDelayShare * float64(r.maxStaleness)))
	return true
}

// sameUpstream reports whether something is still to be read where it was.
func (r *relay) sameUpstream(w upstream) (scatter.VM, bool) {
	vm, follow := r.currentReader()
	if !follow {
		return vm, w.vm == ""
	}
	return vm, w.vm == vm.Name
}

// Leafs implements Store.
func (r *relay) Leafs(ctx context.Context) (LeafList, error) {
	if vm, ok := r.currentReader(); ok {
		var ans leafsAnswer
		if r.callReader(ctx, vm, methodFollowLeafs, &followCall{List: true}, &ans) == nil {
			r.leafsUpstream, r.incarnation = upstream{vm: vm.Name}, ans.Incarnation
			list := LeafList{Revision: Revision(ans.Position), AfterOutage: r.takeStoreFailed()}
			return list, unpack(ans.Leafs, &list.Leafs)
		}
	}
	if !r.mayReadStore() {
		return LeafList{}, errReadDeferred
	}
	list, err := r.Store.Leafs(ctx)
	r.recordListing(followedLeafs, err)
	if err == nil {
		list.AfterOutage = r.takeStoreFailed()
		r.leafsUpstream = upstream{}
	}
	return list, err
}

// WatchLeafs implements Store.
func (r *relay) WatchLeafs(ctx context.Context, since Revision, wait time.Duration) (LeafChanges, error) {
	vm, same := r.sameUpstream(r.leafsUpstream)
	if !same {
		return LeafChanges{}, ErrHistoryCompacted // to be read anew, elsewhere
	}
	if r.leafsUpstream.vm == "" {
		c, err := r.Store.WatchLeafs(ctx, since, wait)
		r.recordWatch(followedLeafs, err)
		return c, err
	}
	var ans leafsAnswer
	call := &followCall{Incarnation: r.incarnation, Position: int64(since), WaitMS: wait.Milliseconds()}
	if err := r.callReader(ctx, vm, methodFollowLeafs, call, &ans); err != nil {
		return LeafChanges{}, err
	}
	return LeafChanges{Changes: ans.Changes, Revision: Revision(ans.Position)}, nil
}

// Manifest implements Store.
func (r *relay) Manifest(ctx context.Context) (*routing.Manifest, Revision, error) {
	if vm, ok := r.currentReader(); ok {
		var ans manifestAnswer
		if r.callReader(ctx, vm, methodFollowManifest, &followCall{List: true}, &ans) == nil {
			r.manifestUpstream = upstream{vm: vm.Name}
			m, err := ans.manifest()
			return m, 0, err
		}
	}
	if !r.mayReadStore() {
		return nil, 0, errReadDeferred
	}
	m, at, err := r.Store.Manifest(ctx)
	r.recordListing(followedManifest, err)
	if err == nil {
		r.manifestUpstream = upstream{}
	}
	return m, at, err
}

// WatchManifest implements Store.
func (r *relay) WatchManifest(ctx context.Context, since Revision, wait time.Duration) (*routing.Manifest, Revision, error) {
	vm, same := r.sameUpstream(r.manifestUpstream)
	if !same {
		return nil, 0, ErrHistoryCompacted
	}
	if r.manifestUpstream.vm == "" {
		m, at, err := r.Store.WatchManifest(ctx, since, wait)
		r.recordWatch(followedManifest, err)
		return m, at, err
	}
	call := &followCall{WaitMS: wait.Milliseconds()}
	if m := r.e.inForce.Get(); m != nil {
		call.Position = m.Version
	}
	var ans manifestAnswer
	if err := r.callReader(ctx, vm, methodFollowManifest, call, &ans); err != nil {
		return nil, 0, err
	}
	m, err := ans.manifest()
	return m, 0, err
}

// recordListing takes how a listing of the store ended, and tells those who follow this VM.
func (r *relay) recordListing(what string, err error) {
	if err == nil {
		r.e.feed.recordSuccess(what)
		r.delayRead(0)
		return
	}
	r.e.feed.recordFailure(what)
	held := time.Duration(retryDelayShare * float64(r.maxStaleness))
	r.delayRead(held/2 + rand.N(held/2))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFailed = true
}

// takeStoreFailed reports, once, whether a listing of the store failed since leafs were last
// listed. That a VM which reads it was silent, or lost it, does not count.
func (r *relay) takeStoreFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	away := r.storeFailed
	r.storeFailed = false
	return away
}

// recordWatch tells them of a watch. One that failed says little: the listing that follows
// at once shows whether the store is lost, and if every VM turned to the store whenever
// watches are cut, these would be as many calls as if nobody followed.
func (r *relay) recordWatch(what string, err error) {
	if err == nil {
		r.e.feed.recordSuccess(what)
	}
}

// manifest returns the manifest of an answer, nil if it has none.
func (a *manifestAnswer) manifest() (*routing.Manifest, error) {
	if a.Document == nil {
		return nil, nil
	}
	var doc routing.Document
	if err := unpack(a.Document, &doc); err != nil {
		return nil, err
	}
	return routing.NewManifest(doc), nil
}

// callReader makes one call to a VM that reads the store. One that fails is not followed for
// some time.
func (r *relay) callReader(ctx context.Context, vm scatter.VM, method string, call *followCall, into any) error {
	call.MaxStalenessMS = r.maxStaleness.Milliseconds()
	wait := time.Duration(call.WaitMS)*time.Millisecond + answerTimeout
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	err := r.e.currentPeerClient().follow(ctx, vm, method, call, into)
	r.e.stats.store(method, err)
	r.recordReaderCall(vm, method, err)
	return err
}

// recordReaderCall takes how a call to a VM that reads the store ended.
func (r *relay) recordReaderCall(vm scatter.VM, method string, err error) {
	if result.CodeOf(err) == result.PositionGone {
		err = nil // it answers; this VM lags
	}
	r.mu.Lock()
	was := r.failing[vm.Name]
	r.failing[vm.Name] = err != nil
	if err != nil {
		r.avoidUntil[vm.Name] = time.Now().Add(avoidPeriod)
	}
	r.mu.Unlock()
	switch {
	case err != nil && !was:
		r.e.log.Info("VM is not followed", "vm", vm.Name, "method", method, "error", err)
	case err == nil && was:
		r.e.log.Info("VM is followed again", "vm", vm.Name, "method", method)
	}
}
