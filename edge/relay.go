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

// Store calls are billed, and 77 VMs that all watch the store make 77 times as many calls as
// one. So a few VMs in each zone read the store. The others follow one of these over the
// connections between VMs, and read the store themselves if it fails. A VM that lost the store
// reports this instead of passing on data that may be stale.

// relay is a Store that reads leafs, the manifest and evacuations from another VM if one serves
// them, else from the embedded Store. The two methods about each resource, such as Leafs and
// WatchLeafs, must be called from a single goroutine.
type relay struct {
	Store   // the platform's store; also serves the calls about VMs
	e       *Engine
	budgets map[string]stalenessBudget // by followed resource

	// Sources of the latest full read of each resource.
	leafsUpstream, manifestUpstream, evacuationsUpstream upstream
	// incarnation is that of the followed VM when it returned the list of leafs. Positions in
	// that VM's sequence of changes are valid within this incarnation only.
	incarnation string
	// confirmedAt is when the manifest that the latest call of Manifest or WatchManifest returned,
	// or the one before if it returned none, was confirmed to be the newest.
	confirmedAt time.Time

	mu          sync.Mutex           // guards the fields below
	avoidUntil  map[string]time.Time // by name of a VM that failed: until when it is not followed
	failing     map[string]bool      // by name of a VM: whether the latest call to it failed
	turns       storeTurns           // of reads of the store, unless this VM reads it for others
	storeFailed bool                 // a read of the store failed since leafs were last listed
}

// upstream is where a resource is read from: the store, or a VM that reads the store for others.
type upstream struct {
	vm string // name of the VM that is followed; empty for the store
	// endsWaits is true if that VM ends a wait once its own answer from the store is too old.
	endsWaits bool
}

// earlierReleaseWaitShare bounds a wait at a VM of an earlier release, which looks at the age of its
// answer only when the wait begins, as a share of stalenessBudget.giveUp. What it tells at the end may be
// older than giveUp by as much.
const earlierReleaseWaitShare = 0.125

// avoidPeriod is how long this VM does not follow a VM after a call to it failed.
const avoidPeriod = 5 * time.Second

// readerAnswerTimeout bounds the wait for the answer of a VM that reads the store for others, while this
// VM's knowledge is young. If the call lets that VM wait for a change, that time is added.
const readerAnswerTimeout = 500 * time.Millisecond

// readPauseShare is the longest pause between a failed read of the store and the next read at a VM that
// normally follows others, as a share of the shortest bound. Mostly the store is then unavailable to all VMs,
// and failed calls are billed too. A VM that has just started waits as long for the VMs that read the store
// for others, before it reads the store itself.
const readPauseShare = 0.4

var (
	// errReadDeferred means that the store is not read now, because other VMs read it.
	errReadDeferred = errors.New("edge: read of the store deferred to other VMs")
	// errKnowledgeTooOld means that this VM does not wait for the VM that it follows, since its own
	// knowledge is too old.
	errKnowledgeTooOld = errors.New("edge: what this VM knows is too old to wait for another VM")
)

// newRelay returns a relay that reads from store while it follows no VM. bounds are the times within
// which changes must be known.
func newRelay(store Store, e *Engine, bounds BoundSettings) *relay {
	r := &relay{
		Store:      store,
		e:          e,
		budgets:    make(map[string]stalenessBudget),
		avoidUntil: make(map[string]time.Time),
		failing:    make(map[string]bool),
	}
	var shortest time.Duration
	for _, f := range bounds.followBounds() {
		r.budgets[f.resource] = newStalenessBudget(f.bound)
		if f.bound > 0 && (shortest == 0 || f.bound < shortest) {
			shortest = f.bound
		}
	}
	r.turns.pause = shareOf(readPauseShare, shortest)
	return r
}

// delayFirstRead is called before the followed resources are first read. It delays this
// VM's first read of the store, unless it reads the store for others. This gives the VMs that
// do so time to become available.
func (r *relay) delayFirstRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turns.postpone(time.Now(), r.turns.pause)
}

// storeReaders returns which VMs read the store for others at present.
func (r *relay) storeReaders() scatter.StoreReaders {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return r.e.table.StoreReaders(time.Now())
}

// currentReader returns the VM to follow: the first that reads the store for others and has not
// failed recently. It returns false if there is none, or if this VM reads the store itself.
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

// awaitStoreTurn waits until this VM may read a resource from the store, and returns the function to call
// after the read. It returns nil if the store must not be read now. Calls to the VMs that read the store for
// others are then allowed although they failed before, because they may have reached the store again.
func (r *relay) awaitStoreTurn(ctx context.Context, resource string) (end func()) {
	if r.storeReaders().Self {
		return func() {}
	}
	limit := time.NewTimer(r.budgets[resource].storeTurn)
	defer limit.Stop()
	_, needed := r.age(resource)
	for waited := false; ctx.Err() == nil; {
		decision, inFlight := r.takeStoreTurn(waited, needed)
		switch decision {
		case readStore:
			return func() { close(inFlight) }
		case deferRead:
			return nil
		}
		select {
		case <-inFlight:
		case <-limit.C:
			waited = true
		case <-ctx.Done():
		}
	}
	return nil
}

// takeStoreTurn returns the decision of storeTurns, and carries it out. The channel is closed at the end of
// the read that begins, or of the one to wait for.
func (r *relay) takeStoreTurn(waited, needed bool) (turnDecision, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	decision := r.turns.decide(now, waited, needed)
	switch decision {
	case readStore:
		return decision, r.turns.begin(now)
	case deferRead:
		clear(r.avoidUntil)
	}
	return decision, r.turns.inFlight
}

// age returns how old this VM's knowledge of a resource is, and false if it has none.
func (r *relay) age(resource string) (time.Duration, bool) {
	at := r.e.known.time(resource)
	return time.Since(at), !at.IsZero()
}

// timeLeft returns how long this VM may still wait for the VM that it follows, at least 0.
func (r *relay) timeLeft(resource string) time.Duration {
	age, _ := r.age(resource)
	return r.budgets[resource].timeLeft(age)
}

// watchTimes returns for how long the followed VM is asked to wait for a change, at most for the time
// want, and after which time the call ends.
func (r *relay) watchTimes(resource string, up upstream, want time.Duration) (wait, timeout time.Duration) {
	b := r.budgets[resource]
	if !up.endsWaits {
		wait = min(want, shareOf(earlierReleaseWaitShare, b.giveUp))
		return wait, wait + b.answer
	}
	age, _ := r.age(resource)
	return b.watchTimes(age, want)
}

// readTimeout returns the time within which a VM must answer with a whole resource.
func (r *relay) readTimeout(resource string) time.Duration {
	age, known := r.age(resource)
	if !known {
		return readerAnswerTimeout
	}
	return r.budgets[resource].readTimeout(age)
}

// sameUpstream returns the VM to follow, empty if there is none. It also reports whether up, the
// upstream of the latest full read, is still the one to read from: the VM to follow, or the store
// if there is none.
func (r *relay) sameUpstream(up upstream) (scatter.VM, bool) {
	vm, follow := r.currentReader()
	if !follow {
		return vm, up.vm == ""
	}
	return vm, up.vm == vm.Name
}

// followsVM reports whether the latest full read of a resource was from another VM. It must be called
// from the goroutine that reads the resource.
func (r *relay) followsVM(resource string) bool {
	switch resource {
	case followedLeafs:
		return r.leafsUpstream.vm != ""
	case followedManifest:
		return r.manifestUpstream.vm != ""
	case followedEvacuations:
		return r.evacuationsUpstream.vm != ""
	}
	return false
}

// read reads a resource as a whole from the VM to follow by fromVM. If there is none or that fails,
// it reads from the store by fromStore, or returns errReadDeferred if this VM may not read the
// store now. It records in up which of the two it was.
func (r *relay) read(ctx context.Context, resource string, up *upstream, fromVM func(scatter.VM) (*storeAge, error), fromStore func() error) error {
	began := time.Now()
	if vm, ok := r.currentReader(); ok {
		if age, err := fromVM(vm); err == nil {
			*up = upstream{vm: vm.Name, endsWaits: age.StoreAgeMS != nil}
			r.recordKnown(resource, began.Add(-age.of(r.budgets[resource].giveUp)))
			return nil
		}
	}
	end := r.awaitStoreTurn(ctx, resource)
	if end == nil {
		return errReadDeferred
	}
	defer end()
	began = time.Now()
	err := fromStore()
	failure := storeFailure(err)
	r.recordListing(resource, failure)
	if failure == nil {
		*up = upstream{}
		r.recordKnown(resource, began)
	}
	return err
}

// recordKnown records that this VM knows a resource as it was at a time.
func (r *relay) recordKnown(resource string, at time.Time) {
	r.e.known.record(time.Now(), resource, at)
}

// Leafs implements Store. It returns the list of leafs of the VM to follow, or that of the store
// if no VM can be followed. It returns errReadDeferred if this VM may not read the store now.
func (r *relay) Leafs(ctx context.Context) (LeafList, error) {
	var list LeafList
	err := r.read(ctx, followedLeafs, &r.leafsUpstream, func(vm scatter.VM) (*storeAge, error) {
		var ans leafsAnswer
		if err := r.callReader(ctx, vm, followedLeafs, &followCall{List: true}, r.readTimeout(followedLeafs), &ans); err != nil {
			return nil, err
		}
		r.incarnation = ans.Incarnation
		list.Revision = Revision(ans.Position)
		return &ans.storeAge, unpack(ans.Leafs, &list.Leafs)
	}, func() (err error) {
		list, err = r.Store.Leafs(ctx)
		return err
	})
	if err == nil {
		list.AfterOutage = r.takeStoreFailed()
	}
	return list, err
}

// WatchLeafs implements Store. It returns the changes of the leafs after since, and waits for
// them at most for the time wait. If the VM to follow has changed since Leafs was called, it
// returns ErrHistoryCompacted, so that its caller reads the list again, from the new VM or the
// store. Revisions are those of the store or, if a VM is followed, positions in that VM's
// sequence of changes.
func (r *relay) WatchLeafs(ctx context.Context, since Revision, wait time.Duration) (LeafChanges, error) {
	vm, same := r.sameUpstream(r.leafsUpstream)
	if !same {
		return LeafChanges{}, ErrHistoryCompacted
	}
	began := time.Now()
	if r.leafsUpstream.vm == "" {
		c, err := r.Store.WatchLeafs(ctx, since, wait)
		r.recordWatch(followedLeafs, answeredAt(began, wait), err)
		return c, err
	}
	wait, timeout := r.watchTimes(followedLeafs, r.leafsUpstream, wait)
	var ans leafsAnswer
	call := &followCall{Incarnation: r.incarnation, Position: int64(since), WaitMS: wait.Milliseconds()}
	if err := r.callReader(ctx, vm, followedLeafs, call, timeout, &ans); err != nil {
		return LeafChanges{}, err
	}
	r.recordKnown(followedLeafs, answeredAt(began, wait).Add(-ans.of(r.budgets[followedLeafs].giveUp)))
	return LeafChanges{Changes: ans.Changes, Revision: Revision(ans.Position)}, nil
}

// Manifest implements Store. It returns the manifest of the VM to follow, or that of the store if
// no VM can be followed. It returns errReadDeferred if this VM may not read the store now. The
// revision is 0 if a VM is followed.
func (r *relay) Manifest(ctx context.Context) (*routing.Manifest, Revision, error) {
	began := time.Now()
	var m *routing.Manifest
	var revision Revision
	err := r.read(ctx, followedManifest, &r.manifestUpstream, func(vm scatter.VM) (*storeAge, error) {
		var ans manifestAnswer
		if err := r.callReader(ctx, vm, followedManifest, &followCall{List: true}, r.readTimeout(followedManifest), &ans); err != nil {
			return nil, err
		}
		newer, err := ans.manifest()
		m = newer
		r.confirmedAt = began.Add(-r.ageOf(&ans))
		return &ans.storeAge, err
	}, func() (err error) {
		m, revision, err = r.Store.Manifest(ctx)
		r.confirmedAt = began
		return err
	})
	return m, revision, err
}

// WatchManifest implements Store. It waits for a newer manifest, at most for the time wait, and
// returns nil if there is none. If the VM to follow has changed since Manifest was called, it
// returns ErrHistoryCompacted, so that its caller reads the manifest again. If a VM is followed,
// since is not used: the call to that VM states the version of the manifest in force.
func (r *relay) WatchManifest(ctx context.Context, since Revision, wait time.Duration) (*routing.Manifest, Revision, error) {
	vm, same := r.sameUpstream(r.manifestUpstream)
	if !same {
		return nil, 0, ErrHistoryCompacted
	}
	began := time.Now()
	if r.manifestUpstream.vm == "" {
		m, revision, err := r.Store.WatchManifest(ctx, since, wait)
		r.recordWatch(followedManifest, answeredAt(began, wait), storeFailure(err))
		r.confirmedAt = answeredAt(began, wait)
		return m, revision, err
	}
	wait, timeout := r.watchTimes(followedManifest, r.manifestUpstream, wait)
	call := &followCall{WaitMS: wait.Milliseconds()}
	if m := r.e.inForce.Get(); m != nil {
		call.Position = m.Version
	}
	var ans manifestAnswer
	if err := r.callReader(ctx, vm, followedManifest, call, timeout, &ans); err != nil {
		return nil, 0, err
	}
	r.confirmedAt = answeredAt(began, wait).Add(-r.ageOf(&ans))
	r.recordKnown(followedManifest, answeredAt(began, wait).Add(-ans.of(r.budgets[followedManifest].giveUp)))
	m, err := ans.manifest()
	return m, 0, err
}

// answeredAt returns when a watch that began at a time and has just returned was answered. An answer
// that arrives after the time wait may have been given at its end, and was late, or found this VM
// frozen.
func answeredAt(began time.Time, wait time.Duration) time.Time {
	end := began.Add(wait)
	if now := time.Now(); now.Before(end) {
		return now
	}
	return end
}

// ageOf returns how long ago the manifest was confirmed by which a VM has answered.
func (r *relay) ageOf(ans *manifestAnswer) time.Duration {
	if ans.AgeMS == nil {
		return r.budgets[followedManifest].giveUp // a VM whose latest answer from the store is older does not answer
	}
	return time.Duration(*ans.AgeMS) * time.Millisecond
}

// Evacuations implements Store. It returns the set of evacuated zones of the VM to follow, or that
// of the store if no VM can be followed. It returns errReadDeferred if this VM may not read the
// store now.
func (r *relay) Evacuations(ctx context.Context) (Evacuations, error) {
	var set Evacuations
	err := r.read(ctx, followedEvacuations, &r.evacuationsUpstream, func(vm scatter.VM) (*storeAge, error) {
		var ans evacuationsAnswer
		if err := r.callReader(ctx, vm, followedEvacuations, &followCall{List: true}, r.readTimeout(followedEvacuations), &ans); err != nil {
			return nil, err
		}
		set = ans.set()
		return &ans.storeAge, nil
	}, func() (err error) {
		set, err = r.Store.Evacuations(ctx)
		return err
	})
	return set, err
}

// WatchEvacuations implements Store. It waits for a newer set of evacuated zones, at most for the
// time wait, and returns nil if there is none. If the VM to follow has changed since Evacuations
// was called, it returns ErrHistoryCompacted, so that its caller reads the set again. If a VM is
// followed, since is not used: the call to that VM states the revision of the set in force.
func (r *relay) WatchEvacuations(ctx context.Context, since Revision, wait time.Duration) (*Evacuations, Revision, error) {
	vm, same := r.sameUpstream(r.evacuationsUpstream)
	if !same {
		return nil, 0, ErrHistoryCompacted
	}
	began := time.Now()
	if r.evacuationsUpstream.vm == "" {
		set, revision, err := r.Store.WatchEvacuations(ctx, since, wait)
		r.recordWatch(followedEvacuations, answeredAt(began, wait), err)
		return set, revision, err
	}
	wait, timeout := r.watchTimes(followedEvacuations, r.evacuationsUpstream, wait)
	call := &followCall{Position: int64(r.e.evacuationRevision()), WaitMS: wait.Milliseconds()}
	var ans evacuationsAnswer
	if err := r.callReader(ctx, vm, followedEvacuations, call, timeout, &ans); err != nil {
		return nil, 0, err
	}
	r.recordKnown(followedEvacuations, answeredAt(began, wait).Add(-ans.of(r.budgets[followedEvacuations].giveUp)))
	if ans.Revision == 0 {
		return nil, 0, nil
	}
	set := ans.set()
	return &set, 0, nil
}

// recordListing records the result of a full read of a resource from the store. After a failure it
// delays the next read, and VMs that follow this one are notified. A success is passed on by
// recordApplied.
func (r *relay) recordListing(resource string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.turns.succeed(time.Now())
		return
	}
	r.e.feed.recordFailure(resource)
	r.turns.fail(time.Now(), r.turns.pause/2+rand.N(r.turns.pause/2))
	r.storeFailed = true
}

// recordApplied records that what the latest full read of a resource returned is in force in this VM.
// If it came from the store, VMs that follow this one can have it from now on. Were they answered
// earlier, a VM that has just started would tell them that there are no leafs and no evacuated zones.
func (r *relay) recordApplied(resource string) {
	if !r.followsVM(resource) {
		r.e.feed.recordSuccess(resource, r.e.known.time(resource))
	}
}

// takeStoreFailed reports whether a read of the store by this VM itself has failed since leafs were
// last listed, and clears storeFailed. Failed calls to a VM that reads the store for others do not
// count, and neither do failed reads of the store by that VM.
func (r *relay) takeStoreFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := r.storeFailed
	r.storeFailed = false
	return failed
}

// recordWatch records the result of a watch of a resource in the store, and when it was answered. A
// failed watch is ignored, because the full read that follows immediately shows whether the store is
// lost. If a failed watch counted as a loss, all VMs that follow this one would read the store
// themselves whenever the store ends its watches. This would take as many calls as without a relay.
func (r *relay) recordWatch(resource string, answeredAt time.Time, err error) {
	if err == nil {
		r.e.feed.recordSuccess(resource, answeredAt)
		r.recordKnown(resource, answeredAt)
	}
}

// manifest returns the manifest of an answer, nil if the answer has none.
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

// followMethods are the methods by which resources are followed.
var followMethods = map[string]string{
	followedLeafs:       methodFollowLeafs,
	followedManifest:    methodFollowManifest,
	followedEvacuations: methodFollowEvacuations,
}

// callReader makes one call about a resource to a VM that reads the store for others, and stores the
// decoded answer in into. If the call fails or takes longer than timeout, the VM is not followed for
// avoidPeriod. A timeout of 0 has passed already.
func (r *relay) callReader(ctx context.Context, vm scatter.VM, resource string, call *followCall, timeout time.Duration, into any) error {
	method := followMethods[resource]
	call.MaxStalenessMS = r.budgets[resource].giveUp.Milliseconds()
	err := errKnowledgeTooOld
	if timeout > 0 {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		err = r.e.currentPeerClient().follow(ctx, vm, method, call, into)
		r.e.stats.store(method, err)
	}
	r.recordReaderCall(vm, method, err)
	return err
}

// recordReaderCall records the result of a call to a VM that reads the store for others. After a
// failure, the VM is not followed for avoidPeriod.
func (r *relay) recordReaderCall(vm scatter.VM, method string, err error) {
	if result.CodeOf(err) == result.PositionGone {
		err = nil // the reader works; this VM lags behind
	}
	r.mu.Lock()
	failedBefore := r.failing[vm.Name]
	r.failing[vm.Name] = err != nil
	if err != nil {
		r.avoidUntil[vm.Name] = time.Now().Add(avoidPeriod)
	}
	r.mu.Unlock()
	switch {
	case err != nil && !failedBefore:
		r.e.log.Info("VM is not followed", "vm", vm.Name, "method", method, "error", err)
	case err == nil && failedBefore:
		r.e.log.Info("VM is followed again", "vm", vm.Name, "method", method)
	}
}
