package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Guards against a VM that goes back to an older set of evacuated zones when it turns from one
// reader of the store to another one that lags behind.
func TestOlderSetOfEvacuatedZonesIsNotAdopted(t *testing.T) {
	g := gomega.NewWithT(t)
	var tracker evacuationTracker
	begun, _, _ := tracker.offer(Evacuations{Zones: []string{"a"}, Revision: 5})
	g.Expect(begun).To(gomega.Equal([]string{"a"}))
	_, ended, adopted := tracker.offer(Evacuations{Revision: 4})
	g.Expect(adopted).To(gomega.BeFalse())
	g.Expect(ended).To(gomega.BeEmpty())
	begun, ended, _ = tracker.offer(Evacuations{Zones: []string{"b"}, Revision: 6})
	g.Expect(begun).To(gomega.Equal([]string{"b"}))
	g.Expect(ended).To(gomega.Equal([]string{"a"}))
}

// Guards against a VM that keeps a zone evacuated for good. It heard of the evacuation from a reader
// that was then lost; the other reader was not told of changes until the evacuation had ended, so
// that its own set never changed.
func TestEndOfEvacuationThatTheReaderNeverSawIsPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFeed()
	f.setEvacuations(Evacuations{Revision: 1})
	f.setEvacuations(Evacuations{Revision: 5})
	set := f.evacuationsSince(4) // heard of an evacuation at revision 4
	g.Expect(set).NotTo(gomega.BeNil())
	g.Expect(set.Zones).To(gomega.BeEmpty())
	g.Expect(f.evacuationsSince(5)).To(gomega.BeNil())
}

// evacuationStore is a store of evacuations in memory. The methods of Store that concern other
// resources must not be called.
type evacuationStore struct {
	Store
	mu        sync.Mutex // guards the fields below
	revision  Revision
	zones     map[string]bool
	changedAt Revision      // latest change of zones
	compacted Revision      // watches from an earlier revision fail
	changed   chan struct{} // closed and replaced at each change
}

func newEvacuationStore() *evacuationStore {
	return &evacuationStore{revision: 1, zones: map[string]bool{}, changed: make(chan struct{})}
}

// set evacuates a zone or takes the evacuation back.
func (s *evacuationStore) set(zone string, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changedAt = s.revision
	if evacuated {
		s.zones[zone] = true
	} else {
		delete(s.zones, zone)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history. Watches in progress hear of no change any more and are not cut.
func (s *evacuationStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.compacted = s.revision
	s.changed = make(chan struct{}) // without closing the old one
}

func (s *evacuationStore) Evacuations(context.Context) (Evacuations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Evacuations{Revision: s.revision}
	for zone := range s.zones {
		e.Zones = append(e.Zones, zone)
	}
	slices.Sort(e.Zones)
	return e, nil
}

func (s *evacuationStore) WatchEvacuations(ctx context.Context, since Revision, wait time.Duration) (*Evacuations, Revision, error) {
	s.mu.Lock()
	lost, newer, changed := since < s.compacted, s.changedAt > since, s.changed
	s.mu.Unlock()
	if lost {
		return nil, 0, ErrHistoryCompacted
	}
	if !newer {
		select {
		case <-changed:
		case <-time.After(wait):
			return nil, since, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	set, err := s.Evacuations(ctx)
	return &set, set.Revision, err
}

// evacuationVM is a VM that follows the evacuations. Its store may reject it.
type evacuationVM struct {
	*evacuationStore
	site *evacuationSite
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

func (vm *evacuationVM) Evacuations(ctx context.Context) (Evacuations, error) {
	if vm.isRejected() {
		return Evacuations{}, errRejected
	}
	if begins, cut := vm.cut(); cut || isClosed(begins) {
		sleep(ctx, lostReadTimeout)
		return Evacuations{}, errNoAnswer
	}
	return vm.evacuationStore.Evacuations(ctx)
}

// cut returns a channel that is closed when the VM is cut off, and whether it is cut off.
func (vm *evacuationVM) cut() (begins <-chan struct{}, cut bool) {
	vm.site.mu.Lock()
	defer vm.site.mu.Unlock()
	return vm.cutBegins, vm.cutOff
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (vm *evacuationVM) WatchEvacuations(ctx context.Context, since Revision, wait time.Duration) (*Evacuations, Revision, error) {
	if vm.isRejected() {
		return nil, 0, errRejected
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
		set, revision, err := vm.evacuationStore.WatchEvacuations(watchCtx, since, wait)
		if !isClosed(lost) {
			return set, revision, err
		}
	}
	sleep(ctx, time.Until(began.Add(wait+lostWatchTimeout)))
	return nil, 0, errNoAnswer
}

func (vm *evacuationVM) isRejected() bool {
	vm.site.mu.Lock()
	defer vm.site.mu.Unlock()
	return vm.rejected
}

// evacuationSite is a zone of VMs with one store, without a network.
type evacuationSite struct {
	noPeerClient // the methods of peerClient that are not needed
	store        *evacuationStore
	vms          []*evacuationVM
	zones        map[string]*evacuatedZone // by name; the zones that were ever evacuated
	boundMS      float64                   // time within which a zone's leafs must get no more requests
	mu           sync.Mutex                // guards the fields of each VM
}

// follow implements peerClient: it calls the other VM's engine directly.
func (s *evacuationSite) follow(ctx context.Context, vm scatter.VM, method string, call *followCall, into any) error {
	s.mu.Lock()
	var engine *Engine
	var life context.Context
	for _, v := range s.vms {
		if v.name == vm.Name {
			engine, life = v.engine, v.life
		}
	}
	s.mu.Unlock()
	if engine == nil {
		return errNotJoined // the VM has not started yet
	}
	// The connection breaks when the process ends.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	ans, err := engine.serveFollow(ctx, method, call)
	if err = errors.Join(err, life.Err()); err != nil {
		return err
	}
	*into.(*evacuationsAnswer) = *ans.(*evacuationsAnswer)
	return nil
}

// evacuationBoundMS is the time within which a zone's leafs must get no more requests on drawn days.
const evacuationBoundMS = 5000

// start starts a VM as a new process that knows nothing.
func (s *evacuationSite) start(vm *evacuationVM) {
	settings := &Settings{Name: vm.name, Zone: "z", Bounds: BoundSettings{ManifestMS: s.boundMS, DrainMS: s.boundMS, EvacuateMS: s.boundMS}}
	engine := NewEngine(EngineOptions{Self: vm.name, Zone: "z", Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
	engine.setPeerClient(s)
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
	r := newRelay(vm, engine, (&Node{settings: settings}).maxStaleness())
	f := &follower{e: engine, store: r, settings: settings, log: logging.Discard()}
	r.delayFirstRead()
	go f.follow(ctx, f.evacuationsResource())
}

// knows reports whether the VM sends no requests to the zone's leafs.
func (vm *evacuationVM) knows(zone string) bool {
	vm.engine.mu.Lock()
	defer vm.engine.mu.Unlock()
	return slices.Contains(vm.engine.evacuations.current.Zones, zone)
}

// evacuationEvent is something that happens on a drawn day.
type evacuationEvent struct {
	kind  int    // one of the constants below
	vm    int    // index of the VM that it concerns
	zone  string // zone that it concerns
	steps int    // number of steps until the next event
}

// The kinds of events. The first one has two numbers, so that it is drawn twice as often.
const (
	toggleZone      = 0 // the zone is evacuated, or taken back
	toggleZoneToo   = 1
	loseHistory     = 2 // the store drops its history, and no watch in progress hears of it
	toggleRejection = 3 // the store begins or ceases to reject the VM
	restartVM       = 4
	toggleCut       = 5 // the VM is cut off from the store, or no more
	eventKinds      = 6
)

// Guards against requests to an evacuated zone after the bound, from a VM in touch: one that ran
// and reached the store for a while. Evacuations, their ends, losses of the store's history, VMs
// turned away by the store or cut off from it, and restarts come in any order. The real loops run in virtual time.
func TestEvacuationIsKnownWithinTheBound(t *testing.T) {
	event := rapid.Custom(func(rt *rapid.T) evacuationEvent {
		return evacuationEvent{
			kind:  rapid.IntRange(0, eventKinds-1).Draw(rt, "kind"),
			vm:    rapid.IntRange(0, evacuationVMs-1).Draw(rt, "vm"),
			zone:  rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"),
			steps: rapid.IntRange(0, 80).Draw(rt, "steps"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		day := rapid.SliceOfN(event, 1, 12).Draw(rt, "day")
		var fault string
		synctest.Test(t, func(*testing.T) { fault = playEvacuations(day) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// evacuationVMs is the number of VMs of the zone: two that read the store, and others.
const evacuationVMs = 9

// newEvacuationSite starts the VMs of a site with the given bound, in milliseconds.
func newEvacuationSite(boundMS float64) *evacuationSite {
	s := &evacuationSite{store: newEvacuationStore(), zones: map[string]*evacuatedZone{}, boundMS: boundMS}
	for i := range evacuationVMs {
		s.vms = append(s.vms, &evacuationVM{evacuationStore: s.store, site: s, name: fmt.Sprint("vm-", i), cutBegins: make(chan struct{})})
	}
	for _, vm := range s.vms {
		s.start(vm)
	}
	return s
}

// stop ends all VMs.
func (s *evacuationSite) stop() {
	for _, vm := range s.vms {
		vm.stop()
	}
}

// readsStore reports whether the VM reads the store for others.
func (vm *evacuationVM) readsStore() bool {
	vm.engine.mu.Lock()
	defer vm.engine.mu.Unlock()
	return vm.engine.table.StoreReaders(time.Now()).Self
}

// Guards against a VM in touch that acts by what it knew before a change for longer than the bound: the
// VM that it follows was cut off from the store just before the change, and just after another one.
func TestFollowersOfACutOffReaderLearnOfChangesInTime(t *testing.T) {
	const bound = 3000
	readers := 0
	for reader := range evacuationVMs {
		for phase := 0; phase < 2000; phase += 250 {
			var fault string
			synctest.Test(t, func(*testing.T) {
				s := newEvacuationSite(bound)
				defer s.stop()
				time.Sleep(4*time.Second + time.Duration(phase)*time.Millisecond)
				if !s.vms[reader].readsStore() {
					return
				}
				readers++
				s.apply(evacuationEvent{kind: toggleZone, zone: "a"})
				time.Sleep(120 * time.Millisecond)
				s.apply(evacuationEvent{kind: toggleCut, vm: reader})
				time.Sleep(60 * time.Millisecond)
				s.apply(evacuationEvent{kind: toggleZone, zone: "b"})
				for range 60 {
					time.Sleep(100 * time.Millisecond)
					if fault = s.check(); fault != "" {
						return
					}
				}
			})
			if fault != "" {
				t.Fatalf("reader vm-%d, phase %d ms: %s", reader, phase, fault)
			}
		}
	}
	if readers == 0 {
		t.Fatal("no VM reads the store for others")
	}
}

// playEvacuations plays a day and returns what was wrong, empty if nothing was.
func playEvacuations(day []evacuationEvent) string {
	const step = 100 * time.Millisecond
	s := newEvacuationSite(evacuationBoundMS)
	defer s.stop()
	for _, ev := range day {
		s.apply(ev)
		for range ev.steps {
			time.Sleep(step)
			if fault := s.check(); fault != "" {
				return fault
			}
		}
	}
	return ""
}

// evacuatedZone is what the store says of a zone.
type evacuatedZone struct {
	evacuated bool
	since     time.Time // when that last changed
}

// apply makes an event happen.
func (s *evacuationSite) apply(ev evacuationEvent) {
	vm := s.vms[ev.vm]
	switch ev.kind {
	case toggleZone, toggleZoneToo:
		old := s.zones[ev.zone]
		next := &evacuatedZone{evacuated: old == nil || !old.evacuated, since: time.Now()}
		s.zones[ev.zone] = next
		s.store.set(ev.zone, next.evacuated)
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
	}
}

// check returns what a VM in touch does not know although the bound has passed, empty if there is
// nothing.
func (s *evacuationSite) check() string {
	bound := time.Duration(s.boundMS) * time.Millisecond
	for _, vm := range s.vms {
		if vm.rejected || vm.cutOff || min(time.Since(vm.startedAt), time.Since(vm.rejectedAt), time.Since(vm.cutAt)) <= bound {
			continue // not in touch
		}
		for name, zone := range s.zones {
			if time.Since(zone.since) > bound && vm.knows(name) != zone.evacuated {
				return fmt.Sprintf("%s: zone %s evacuated %v since %v, known %v", vm.name, name, zone.evacuated, time.Since(zone.since), !zone.evacuated)
			}
		}
	}
	return ""
}
