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
	e     *Engine
	fresh time.Duration // how lately the other VM must have heard from the store

	leafs, manifests way
	life             string // of the process that told the positions of leafs

	mu      sync.Mutex           // guards the fields below
	avoided map[string]time.Time // VMs that failed, until when they are not followed
	failing map[string]bool      // VMs whose latest call failed
	heldTo  time.Time            // until when nothing is read from the store
	away    bool                 // the store was, since leafs were last listed
}

// way is where something is read at present.
type way struct {
	vm string // name of the VM that is followed; empty for the store
}

// storeTurn is how long a VM that failed is not followed.
const storeTurn = 5 * time.Second

// firstRead bounds the wait for an answer that is to come at once.
const firstRead = 500 * time.Millisecond

// A VM that others read the store for goes to it itself only now and then while that
// fails: the store is mostly away for all, and what is away is paid for as well. In an
// outage of 4.5 s 77 VMs made 1,043 such calls in vain; then each found its readers again.
const (
	// startShare is the part of the time within which a change has to be known that a
	// VM which has just started waits for those that read the store.
	startShare = 1.0 / 2
	// heldShare is the part of it between two readings that failed.
	heldShare = 1.0 / 2
)

// errHeldBack says that the store is left to the VMs that read it for others.
var errHeldBack = errors.New("edge: reading of the store is left to other VMs")

func newRelay(store Store, e *Engine, fresh time.Duration) *relay {
	return &relay{
		Store:   store,
		e:       e,
		fresh:   fresh,
		avoided: make(map[string]time.Time),
		failing: make(map[string]bool),
	}
}

// begin is called when the other VMs are known.
func (r *relay) begin() { r.hold(time.Duration(startShare * float64(r.fresh))) }

func (r *relay) hold(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldTo = time.Now().Add(d)
}

func (r *relay) reading() scatter.StoreReaders {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return r.e.table.StoreReaders(time.Now())
}

// leader returns the VM to follow, false if this one is to read the store itself.
func (r *relay) leader() (scatter.VM, bool) {
	readers := r.reading().Others
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range readers {
		if now.After(r.avoided[vm.Name]) {
			return vm, true
		}
	}
	return scatter.VM{}, false
}

// mayRead reports whether the store is to be read now. If not, those who failed are asked
// again next: they may have found the store.
func (r *relay) mayRead() bool {
	if r.reading().Self {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.heldTo) {
		clear(r.avoided)
		return false
	}
	// One reading at a time finds out whether the store is there.
	r.heldTo = now.Add(time.Duration(heldShare * float64(r.fresh)))
	return true
}

// holds reports whether something is still to be read where it was.
func (r *relay) holds(w way) (scatter.VM, bool) {
	vm, follow := r.leader()
	if !follow {
		return vm, w.vm == ""
	}
	return vm, w.vm == vm.Name
}

// Leafs implements Store.
func (r *relay) Leafs(ctx context.Context) (Listing, error) {
	if vm, ok := r.leader(); ok {
		var ans leafsAnswer
		if r.ask(ctx, vm, methodFollowLeafs, &followCall{List: true}, &ans) == nil {
			r.leafs, r.life = way{vm: vm.Name}, ans.Life
			list := Listing{At: Revision(ans.Position), AfterOutage: r.wasAway()}
			return list, unpack(ans.Leafs, &list.Leafs)
		}
	}
	if !r.mayRead() {
		return Listing{}, errHeldBack
	}
	list, err := r.Store.Leafs(ctx)
	r.note(followedLeafs, err)
	if err == nil {
		list.AfterOutage = r.wasAway()
		r.leafs = way{}
	}
	return list, err
}

// WatchLeafs implements Store.
func (r *relay) WatchLeafs(ctx context.Context, since Revision, wait time.Duration) (LeafChanges, error) {
	vm, same := r.holds(r.leafs)
	if !same {
		return LeafChanges{}, ErrHistoryGone // to be read anew, elsewhere
	}
	if r.leafs.vm == "" {
		c, err := r.Store.WatchLeafs(ctx, since, wait)
		r.noteWatch(followedLeafs, err)
		return c, err
	}
	var ans leafsAnswer
	call := &followCall{Life: r.life, Position: int64(since), WaitMS: wait.Milliseconds()}
	if err := r.ask(ctx, vm, methodFollowLeafs, call, &ans); err != nil {
		return LeafChanges{}, err
	}
	return LeafChanges{Changes: ans.Changes, At: Revision(ans.Position)}, nil
}

// Manifest implements Store.
func (r *relay) Manifest(ctx context.Context) (*routing.Manifest, Revision, error) {
	if vm, ok := r.leader(); ok {
		var ans manifestAnswer
		if r.ask(ctx, vm, methodFollowManifest, &followCall{List: true}, &ans) == nil {
			r.manifests = way{vm: vm.Name}
			m, err := ans.manifest()
			return m, 0, err
		}
	}
	if !r.mayRead() {
		return nil, 0, errHeldBack
	}
	m, at, err := r.Store.Manifest(ctx)
	r.note(followedManifest, err)
	if err == nil {
		r.manifests = way{}
	}
	return m, at, err
}

// WatchManifest implements Store.
func (r *relay) WatchManifest(ctx context.Context, since Revision, wait time.Duration) (*routing.Manifest, Revision, error) {
	vm, same := r.holds(r.manifests)
	if !same {
		return nil, 0, ErrHistoryGone
	}
	if r.manifests.vm == "" {
		m, at, err := r.Store.WatchManifest(ctx, since, wait)
		r.noteWatch(followedManifest, err)
		return m, at, err
	}
	call := &followCall{WaitMS: wait.Milliseconds()}
	if m := r.e.inForce.Get(); m != nil {
		call.Position = m.Version
	}
	var ans manifestAnswer
	if err := r.ask(ctx, vm, methodFollowManifest, call, &ans); err != nil {
		return nil, 0, err
	}
	m, err := ans.manifest()
	return m, 0, err
}

// note takes how a listing of the store ended, and tells those who follow this VM.
func (r *relay) note(what string, err error) {
	if err == nil {
		r.e.feed.heard(what)
		r.hold(0)
		return
	}
	r.e.feed.lost(what)
	held := time.Duration(heldShare * float64(r.fresh))
	r.hold(held/2 + rand.N(held/2))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// wasAway reports, once, whether a listing of the store failed since leafs were last
// listed. That a VM which reads it was silent, or lost it, does not count.
func (r *relay) wasAway() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	away := r.away
	r.away = false
	return away
}

// noteWatch tells them of a watch. One that failed says little: the listing that follows
// at once shows whether the store is lost, and if every VM turned to the store whenever
// watches are cut, these would be as many calls as if nobody followed.
func (r *relay) noteWatch(what string, err error) {
	if err == nil {
		r.e.feed.heard(what)
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

// ask makes one call to a VM that reads the store. One that fails is not followed for
// some time.
func (r *relay) ask(ctx context.Context, vm scatter.VM, method string, call *followCall, into any) error {
	call.WithinMS = r.fresh.Milliseconds()
	wait := time.Duration(call.WaitMS)*time.Millisecond + firstRead
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	err := r.e.delegatesNow().follow(ctx, vm, method, call, into)
	r.e.stats.store(method, err)
	r.noteLeader(vm, method, err)
	return err
}

// noteLeader takes how a call to a VM that reads the store ended.
func (r *relay) noteLeader(vm scatter.VM, method string, err error) {
	if result.Of(err) == result.PositionGone {
		err = nil // it answers; this VM lags
	}
	r.mu.Lock()
	was := r.failing[vm.Name]
	r.failing[vm.Name] = err != nil
	if err != nil {
		r.avoided[vm.Name] = time.Now().Add(storeTurn)
	}
	r.mu.Unlock()
	switch {
	case err != nil && !was:
		r.e.log.Info("VM is not followed", "vm", vm.Name, "method", method, "error", err)
	case err == nil && was:
		r.e.log.Info("VM is followed again", "vm", vm.Name, "method", method)
	}
}
