package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// followStore is a store in memory that knows which zones are closed. It tells so by each followed
// resource: a closed zone is evacuated, its leaf is draining, and the manifest has a service of its name.
// The methods of Store that concern VMs must not be called.
type followStore struct {
	Store
	mu        sync.Mutex // guards the fields below
	revision  Revision
	zones     map[string]bool // whether a zone is closed, by the names of all zones that ever were
	changedAt Revision        // latest change of zones
	compacted Revision        // watches from an earlier revision fail
	changed   chan struct{}   // closed and replaced at each change
}

func newFollowStore() *followStore {
	return &followStore{revision: 1, zones: map[string]bool{}, changed: make(chan struct{})}
}

// set closes or opens a zone.
func (s *followStore) set(zone string, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changedAt = s.revision
	s.zones[zone] = closed
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history. Watches in progress hear of no change any more and are not cut.
func (s *followStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.compacted = s.revision
	s.changed = make(chan struct{}) // without closing the old one
}

func (s *followStore) Evacuations(context.Context) (Evacuations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Evacuations{Revision: s.revision}
	for zone, closed := range s.zones {
		if closed {
			e.Zones = append(e.Zones, zone)
		}
	}
	slices.Sort(e.Zones)
	return e, nil
}

func (s *followStore) Leafs(context.Context) (LeafList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := LeafList{Revision: s.revision}
	for zone, closed := range s.zones {
		list.Leafs = append(list.Leafs, registry.Leaf{ID: zone, Born: 1, Service: "s", Zone: zone, Slots: 1, Address: "127.0.0.1:1", Draining: closed})
	}
	return list, nil
}

func (s *followStore) Manifest(context.Context) (*routing.Manifest, Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc := routing.Document{Version: int64(max(s.changedAt, 1)), Services: map[string]routing.Service{}}
	for zone, closed := range s.zones {
		if closed {
			doc.Services[zone] = routing.Service{}
		}
	}
	return routing.NewManifest(doc), s.revision, nil
}

// awaitChange waits for a change after a revision, at most for the time wait, and reports whether there
// is one.
func (s *followStore) awaitChange(ctx context.Context, since Revision, wait time.Duration) (bool, error) {
	s.mu.Lock()
	lost, newer, changed := since < s.compacted, s.changedAt > since, s.changed
	s.mu.Unlock()
	if lost {
		return false, ErrHistoryCompacted
	}
	if newer {
		return true, nil
	}
	select {
	case <-changed:
		return true, nil
	case <-time.After(wait):
		return false, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (s *followStore) WatchEvacuations(ctx context.Context, since Revision, wait time.Duration) (*Evacuations, Revision, error) {
	changed, err := s.awaitChange(ctx, since, wait)
	if !changed {
		return nil, since, err
	}
	set, err := s.Evacuations(ctx)
	return &set, set.Revision, err
}

func (s *followStore) WatchLeafs(ctx context.Context, since Revision, wait time.Duration) (LeafChanges, error) {
	changed, err := s.awaitChange(ctx, since, wait)
	if !changed {
		return LeafChanges{Revision: since}, err
	}
	list, err := s.Leafs(ctx)
	c := LeafChanges{Revision: list.Revision}
	for _, leaf := range list.Leafs {
		c.Changes = append(c.Changes, registry.Change{Leaf: leaf})
	}
	return c, err
}

func (s *followStore) WatchManifest(ctx context.Context, since Revision, wait time.Duration) (*routing.Manifest, Revision, error) {
	changed, err := s.awaitChange(ctx, since, wait)
	if !changed {
		return nil, since, err
	}
	return s.Manifest(ctx)
}

// followVM is a VM that follows the store. The store may reject it, it may be cut off from the store, and
// it may be frozen.
type followVM struct {
	noPeerClient // the methods of peerClient that are not needed
	*followStore
	site *followSite
	name string

	engine     *Engine
	life       context.Context // ends with the process
	stop       context.CancelFunc
	startedAt  time.Time
	rejected   bool
	rejectedAt time.Time // when the store last rejected it
	cutOff     bool      // nothing passes between it and the store
	cutAt      time.Time // when that last began or ended
	cutBegins  chan struct{}
	storeCalls atomic.Int64
	frozen     bool
	frozenAt   time.Time     // when that last began or ended
	woken      chan struct{} // closed when it is frozen no more
}

var (
	errRejected = errors.New("rejected")
	errNoAnswer = errors.New("no answer")
)

// Times after which a VM that is cut off from the store gives a call up, beyond the wait of a watch.
const (
	lostReadTimeout  = 1500 * time.Millisecond
	lostWatchTimeout = 500 * time.Millisecond
)

// cut returns a channel that is closed when the VM is cut off, and whether it is cut off.
func (vm *followVM) cut() (begins <-chan struct{}, cut bool) {
	vm.site.mu.Lock()
	defer vm.site.mu.Unlock()
	return vm.cutBegins, vm.cutOff
}

func (vm *followVM) isRejected() bool {
	vm.site.mu.Lock()
	defer vm.site.mu.Unlock()
	return vm.rejected
}

// lifetime returns the context that ends with the VM's current process.
func (vm *followVM) lifetime() context.Context {
	vm.site.mu.Lock()
	defer vm.site.mu.Unlock()
	return vm.life
}

// awaitWake waits until the VM is not frozen, or until ctx ends.
func (vm *followVM) awaitWake(ctx context.Context) {
	for {
		vm.site.mu.Lock()
		frozen, woken := vm.frozen, vm.woken
		vm.site.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-woken:
		case <-ctx.Done():
			return
		}
	}
}

// readStore makes a call to the store that is not a watch.
func (vm *followVM) readStore(ctx context.Context, call func() error) error {
	defer vm.awaitWake(vm.lifetime())
	vm.storeCalls.Add(1)
	if vm.isRejected() {
		return errRejected
	}
	if begins, cut := vm.cut(); cut || isClosed(begins) {
		sleep(ctx, lostReadTimeout)
		return errNoAnswer
	}
	sleep(ctx, vm.site.latency)
	return call()
}

// watchStore makes a call to the store that waits for a change.
func (vm *followVM) watchStore(ctx context.Context, wait time.Duration, call func(context.Context) error) error {
	defer vm.awaitWake(vm.lifetime())
	vm.storeCalls.Add(1)
	if vm.isRejected() {
		return errRejected
	}
	began := time.Now()
	begins, cut := vm.cut()
	if !cut {
		watchCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		lost := make(chan struct{})
		go func() {
			select {
			case <-begins:
				close(lost)
				cancel()
			case <-watchCtx.Done():
			}
		}()
		err := call(watchCtx)
		sleep(watchCtx, vm.site.latency)
		if !isClosed(lost) {
			return err
		}
	}
	sleep(ctx, time.Until(began.Add(wait+lostWatchTimeout)))
	return errNoAnswer
}

func (vm *followVM) Evacuations(ctx context.Context) (set Evacuations, err error) {
	err = vm.readStore(ctx, func() (err error) { set, err = vm.followStore.Evacuations(ctx); return err })
	return set, err
}

func (vm *followVM) Leafs(ctx context.Context) (list LeafList, err error) {
	err = vm.readStore(ctx, func() (err error) { list, err = vm.followStore.Leafs(ctx); return err })
	return list, err
}

func (vm *followVM) Manifest(ctx context.Context) (m *routing.Manifest, revision Revision, err error) {
	err = vm.readStore(ctx, func() (err error) { m, revision, err = vm.followStore.Manifest(ctx); return err })
	return m, revision, err
}

func (vm *followVM) WatchEvacuations(ctx context.Context, since Revision, wait time.Duration) (set *Evacuations, revision Revision, err error) {
	err = vm.watchStore(ctx, wait, func(ctx context.Context) (err error) {
		set, revision, err = vm.followStore.WatchEvacuations(ctx, since, wait)
		return err
	})
	return set, revision, err
}

func (vm *followVM) WatchLeafs(ctx context.Context, since Revision, wait time.Duration) (c LeafChanges, err error) {
	err = vm.watchStore(ctx, wait, func(ctx context.Context) (err error) {
		c, err = vm.followStore.WatchLeafs(ctx, since, wait)
		return err
	})
	return c, err
}

func (vm *followVM) WatchManifest(ctx context.Context, since Revision, wait time.Duration) (m *routing.Manifest, revision Revision, err error) {
	err = vm.watchStore(ctx, wait, func(ctx context.Context) (err error) {
		m, revision, err = vm.followStore.WatchManifest(ctx, since, wait)
		return err
	})
	return m, revision, err
}

// follow implements peerClient: it calls the other VM's engine directly.
func (vm *followVM) follow(ctx context.Context, to scatter.VM, method string, call *followCall, into any) error {
	defer vm.awaitWake(vm.lifetime())
	other := vm.site.vm(to.Name)
	if other == nil {
		return errNotJoined // the VM has not started yet
	}
	vm.site.mu.Lock()
	engine, life := other.engine, other.life
	vm.site.mu.Unlock()
	// The connection breaks when the process ends.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	other.awaitWake(ctx)
	ans, err := engine.serveFollow(ctx, method, call)
	other.awaitWake(ctx)
	if err = errors.Join(err, life.Err(), ctx.Err()); err != nil {
		return err
	}
	switch into := into.(type) {
	case *evacuationsAnswer:
		*into = *ans.(*evacuationsAnswer)
	case *leafsAnswer:
		*into = *ans.(*leafsAnswer)
	case *manifestAnswer:
		*into = *ans.(*manifestAnswer)
	}
	return nil
}

// knows reports whether the VM takes a zone for closed, by the names of the followed resources.
func (vm *followVM) knows(zone string) map[string]bool {
	vm.engine.mu.Lock()
	evacuated := slices.Contains(vm.engine.evacuations.current.Zones, zone)
	vm.engine.mu.Unlock()
	vm.engine.feed.mu.Lock()
	draining := vm.engine.feed.leafs[zone].Draining
	vm.engine.feed.mu.Unlock()
	inManifest := false
	if m := vm.engine.inForce.Get(); m != nil {
		_, inManifest = m.Services[zone]
	}
	return map[string]bool{followedEvacuations: evacuated, followedLeafs: draining, followedManifest: inManifest}
}

// readsStore reports whether the VM reads the store for others.
func (vm *followVM) readsStore() bool {
	vm.engine.mu.Lock()
	defer vm.engine.mu.Unlock()
	return vm.engine.table.StoreReaders(time.Now()).Self
}

// followSite is a zone of VMs with one store, without a network.
type followSite struct {
	store   *followStore
	vms     []*followVM
	zones   map[string]*followedZone // by name; the zones that were ever closed
	boundMS float64                  // time within which each change must be known
	latency time.Duration            // how long the store takes for an answer
	mu      sync.Mutex               // guards the fields of each VM
}

// followVMs is the number of VMs of the zone: two that read the store, and others.
const followVMs = 9

// usualLatency is how long the store takes for an answer at most sites.
const usualLatency = 20 * time.Millisecond

// newFollowSite starts the VMs of a site with the given bound, in milliseconds.
func newFollowSite(boundMS float64, latency time.Duration) *followSite {
	s := &followSite{store: newFollowStore(), zones: map[string]*followedZone{}, boundMS: boundMS, latency: latency}
	for i := range followVMs {
		s.vms = append(s.vms, &followVM{followStore: s.store, site: s, name: fmt.Sprint("vm-", i), cutBegins: make(chan struct{})})
	}
	for _, vm := range s.vms {
		s.start(vm)
	}
	return s
}

// vm returns the VM with this name if it has started, and otherwise nil.
func (s *followSite) vm(name string) *followVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range s.vms {
		if vm.name == name && vm.engine != nil {
			return vm
		}
	}
	return nil
}

// start starts a VM as a new process that knows nothing.
func (s *followSite) start(vm *followVM) {
	settings := &Settings{Name: vm.name, Zone: "z", Bounds: BoundSettings{ManifestMS: s.boundMS, DrainMS: s.boundMS, EvacuateMS: s.boundMS}}
	engine := NewEngine(EngineOptions{
		Self: vm.name, Zone: "z", Power: 1, Log: logging.Discard(), Bounds: settings.Bounds, Budget: scatter.BudgetConfig{Window: time.Second},
	})
	engine.setPeerClient(vm)
	var others []scatter.VM
	for _, v := range s.vms {
		if v != vm {
			others = append(others, scatter.VM{Name: v.name, Zone: "z", Power: 1})
		}
	}
	engine.setVMs(others)
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	vm.engine, vm.startedAt, vm.life, vm.stop = engine, time.Now(), ctx, stop
	s.mu.Unlock()
	r := newRelay(vm, engine, settings.Bounds)
	f := &follower{e: engine, store: r, settings: settings, log: logging.Discard(), leafsListed: make(chan struct{}, 1)}
	r.delayFirstRead()
	for _, res := range []resource{f.manifests(), f.leafs(), f.evacuationsResource()} {
		go f.follow(ctx, res)
	}
}

// stop ends all VMs.
func (s *followSite) stop() {
	for _, vm := range s.vms {
		vm.stop()
	}
}

// followedZone is what the store says of a zone.
type followedZone struct {
	closed bool
	since  time.Time // when that last changed
}

// followEvent is something that happens at a site.
type followEvent struct {
	kind  int    // one of the constants below
	vm    int    // index of the VM that it concerns
	zone  string // zone that it concerns
	steps int    // number of steps until the next event
}

// The kinds of events. The first one has two numbers, so that it is drawn twice as often.
const (
	toggleZone      = 0 // the zone is closed or opened
	toggleZoneToo   = 1
	loseHistory     = 2 // the store drops its history, and no watch in progress hears of it
	toggleRejection = 3 // the store begins or ceases to reject the VM
	restartVM       = 4
	toggleCut       = 5 // the VM is cut off from the store, or no more
	toggleFreeze    = 6 // the VM freezes or wakes
	eventKinds      = 7
)

// apply makes an event happen.
func (s *followSite) apply(ev followEvent) {
	vm := s.vms[ev.vm]
	switch ev.kind {
	case toggleZone, toggleZoneToo:
		old := s.zones[ev.zone]
		next := &followedZone{closed: old == nil || !old.closed, since: time.Now()}
		s.zones[ev.zone] = next
		s.store.set(ev.zone, next.closed)
	case loseHistory:
		s.store.compact()
	case toggleRejection:
		s.mu.Lock()
		vm.rejected, vm.rejectedAt = !vm.rejected, time.Now()
		s.mu.Unlock()
	case restartVM:
		vm.stop()
		s.start(vm)
	case toggleCut:
		s.mu.Lock()
		vm.cutOff, vm.cutAt = !vm.cutOff, time.Now()
		if vm.cutOff {
			close(vm.cutBegins)
		} else {
			vm.cutBegins = make(chan struct{})
		}
		s.mu.Unlock()
	case toggleFreeze:
		s.mu.Lock()
		vm.frozen, vm.frozenAt = !vm.frozen, time.Now()
		if vm.frozen {
			vm.woken = make(chan struct{})
		} else {
			close(vm.woken)
		}
		s.mu.Unlock()
	}
}

// inTouch reports whether the VM has run and reached the store for longer than a time.
func (vm *followVM) inTouch(d time.Duration) bool {
	vm.site.mu.Lock()
	defer vm.site.mu.Unlock()
	return !vm.rejected && !vm.cutOff && !vm.frozen &&
		min(time.Since(vm.startedAt), time.Since(vm.rejectedAt), time.Since(vm.cutAt), time.Since(vm.frozenAt)) > d
}

// check returns what a VM in touch does not know although the bound has passed, empty if there is
// nothing.
func (s *followSite) check() string {
	bound := time.Duration(s.boundMS) * time.Millisecond
	for _, vm := range s.vms {
		if !vm.inTouch(bound) {
			continue
		}
		for name, zone := range s.zones {
			if time.Since(zone.since) <= bound {
				continue
			}
			for resource, known := range vm.knows(name) {
				if known != zone.closed {
					return fmt.Sprintf("%s: zone %s closed %v since %v, not known by %s", vm.name, name, zone.closed, time.Since(zone.since), resource)
				}
			}
		}
	}
	return ""
}

// lateCount returns how often the knowledge of a resource was older than its bound when it was renewed.
func (k *knownTimes) lateCount() (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, late := range k.late {
		n += late
	}
	return n
}
