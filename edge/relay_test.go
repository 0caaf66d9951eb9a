package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// listingStore is a Store whose Leafs returns one leaf and err.
type listingStore struct {
	Store
	err error
}

// Leafs always returns the leaf "leaf-1" and s.err.
func (s *listingStore) Leafs(context.Context) (LeafList, error) {
	return LeafList{Leafs: []registry.Leaf{{ID: "leaf-1"}}}, s.err
}

// failingPeerClient fails every follow call with err.
type failingPeerClient struct {
	noPeerClient
	err error
}

// follow always fails with c.err.
func (c *failingPeerClient) follow(context.Context, scatter.VM, string, *followCall, any) error {
	return c.err
}

// newFollowingRelay returns the relay of a VM that follows others instead of reading the store.
func newFollowingRelay(store Store, client peerClient) *relay {
	e := &Engine{log: logging.Discard(), stats: newStats(), feed: newFeed(), known: newKnownTimes(BoundSettings{}), peerClient: client}
	for i := range 20 {
		// The hash of a VM's name determines whether it reads the store.
		name := string(rune('a' + i))
		e.table = scatter.NewTable(scatter.VM{Name: name, Zone: "a"}, scatter.BudgetConfig{}, time.Now(), rand.New(rand.NewPCG(1, 2)))
		e.table.SetVMs(time.Now(), []scatter.VM{{Name: "vm-1", Zone: "a"}, {Name: "vm-2", Zone: "a"}})
		if !e.table.StoreReaders(time.Now()).Self {
			break
		}
	}
	return newRelay(store, e, BoundSettings{ManifestMS: 2, DrainMS: 2, EvacuateMS: 2})
}

// Guards against treating the failure of a VM that reads the store for others as an outage of
// the store: the VMs that followed it then read the list of leafs from the store, and must not
// report AfterOutage unless their own read failed too.
func TestReaderFailureIsNotAStoreOutage(t *testing.T) {
	for _, c := range []struct {
		name      string
		readerErr error
		storeErr  error
		outage    bool
	}{
		{"silent", result.Errorf(result.PeerSilent, "no answer"), nil, false},
		{"unreachable", errors.New("connection refused"), nil, false},
		{"has lost the store", errStoreStale, nil, false},
		{"silent, and the store fails once", result.Errorf(result.PeerSilent, "no answer"), errors.New("down"), true},
	} {
		g := gomega.NewWithT(t)
		store := &listingStore{err: c.storeErr}
		r := newFollowingRelay(store, &failingPeerClient{err: c.readerErr})
		g.Expect(r.storeReaders().Self).To(gomega.BeFalse())
		var list LeafList
		g.Eventually(func() (err error) {
			list, err = r.Leafs(t.Context())
			if err != nil && !errors.Is(err, errReadDeferred) {
				store.err = nil
			}
			return err
		}, "5s").Should(gomega.Succeed())
		g.Expect(list.AfterOutage).To(gomega.Equal(c.outage), c.name)
	}
}

// Guards against holding a leaf, that is, keeping it in use, for too long after it left. The leaf
// leaves while the VM that reads the store is frozen, so the VMs that follow the frozen VM find the
// leaf missing only after 3.5 s. If they held the leaf as after an outage of the store, it would
// get requests for 5.7 s, although at most 5 s are allowed.
func TestMissingLeafIsHeldNoLongerThanDrainBound(t *testing.T) {
	g := gomega.NewWithT(t)
	const bound = 5 * time.Second
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		sinceFresh time.Duration
		outage     bool
		hold       time.Duration
	}{
		{0, false, registry.OutageHold},
		{3500 * time.Millisecond, false, 750 * time.Millisecond},
		{10 * time.Second, false, 0},
		{10 * time.Second, true, registry.OutageHold},
	} {
		age := listAge{failed: true, freshAt: start}
		g.Expect(age.missingLeafHold(start.Add(c.sinceFresh), c.outage, bound)).To(gomega.Equal(c.hold))
		g.Expect(age.missingLeafHold(start.Add(c.sinceFresh), false, bound)).To(gomega.BeZero(), "the list is fresh again")
	}
	neverRead := listAge{failed: true}
	g.Expect(neverRead.missingLeafHold(start, false, bound)).To(gomega.Equal(registry.OutageHold))
}

// Guards against VMs of one zone that know different leafs for half a second after each change. A VM
// that follows another one need not pause as long as one whose store calls are billed.
func TestVMThatFollowsAnotherOnePausesBriefly(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newFollowingRelay(&listingStore{}, noPeerClient{})
	f := &follower{store: r, settings: new(Settings)}
	leafs := f.leafs()
	g.Expect(f.pauseAfter(leafs)).To(gomega.Equal(leafsChangePause), "reads the store")
	r.leafsUpstream = upstream{vm: "vm-1"}
	g.Expect(f.pauseAfter(leafs)).To(gomega.Equal(followedPause))
	g.Expect(f.pauseAfter(f.manifests())).To(gomega.Equal(manifestChangePause), "the manifest is read from the store")
}

// answeringStore is a Store that answers each read, with one leaf, no manifest and no evacuated zone.
type answeringStore struct{ listingStore }

// Manifest returns no manifest.
func (*answeringStore) Manifest(context.Context) (*routing.Manifest, Revision, error) {
	return nil, 1, nil
}

// Evacuations returns an empty set.
func (*answeringStore) Evacuations(context.Context) (Evacuations, error) {
	return Evacuations{Revision: 1}, nil
}

// Guards against a VM that passes on what it had before its first read of the store, which is no leafs
// and no evacuated zones, because the store has answered that read: VMs that follow it would drop
// their leafs, or count as ready without knowing of an evacuation.
func TestReadThatIsNotInForceYetIsNotPassedOn(t *testing.T) {
	store := &answeringStore{}
	e := &Engine{log: logging.Discard(), stats: newStats(), feed: newFeed(), known: newKnownTimes(BoundSettings{}), peerClient: noPeerClient{}}
	e.table = scatter.NewTable(scatter.VM{Name: "vm-1", Zone: "a"}, scatter.BudgetConfig{}, time.Now(), rand.New(rand.NewPCG(1, 2)))
	r := newRelay(store, e, BoundSettings{ManifestMS: 60_000, DrainMS: 60_000, EvacuateMS: 60_000})
	f := &follower{e: e, store: r, log: logging.Discard()}
	for _, c := range []struct {
		name, method string
		read         func(context.Context) error
	}{
		{followedLeafs, methodFollowLeafs, func(ctx context.Context) error { _, err := r.Leafs(ctx); return err }},
		{followedManifest, methodFollowManifest, func(ctx context.Context) error { _, _, err := r.Manifest(ctx); return err }},
		{followedEvacuations, methodFollowEvacuations, func(ctx context.Context) error { _, err := r.Evacuations(ctx); return err }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			serve := func() error {
				_, err := e.serveFollow(ctx, c.method, &followCall{List: true, MaxStalenessMS: time.Minute.Milliseconds()})
				return err
			}
			f.follow(ctx, resource{
				name: c.name,
				read: func(ctx context.Context) (Revision, error) {
					g.Expect(c.read(ctx)).To(gomega.Succeed())
					g.Expect(serve()).To(gomega.MatchError(errStoreStale), "the store has answered; nothing is in force yet")
					return 1, nil
				},
				watch: func(context.Context, Revision, time.Duration) (Revision, bool, error) {
					g.Expect(serve()).To(gomega.Succeed(), "what was read is in force")
					cancel()
					return 0, false, ctx.Err()
				},
			})
		})
	}
}

// watchStore is a Store whose watch of the manifest returns without a change. It notes when.
type watchStore struct {
	Store
	answeredAt time.Time
}

// WatchManifest returns no manifest.
func (s *watchStore) WatchManifest(context.Context, Revision, time.Duration) (*routing.Manifest, Revision, error) {
	s.answeredAt = time.Now()
	return nil, 1, nil
}

// Guards against a VM that was frozen during a watch, or gets its answer late, and takes the manifest
// for confirmed at the time of arrival. The keys that it then serves, or calls unknown, are judged by
// a manifest that is older than the bound.
func TestLateAnswerOfAWatchConfirmsNothingLater(t *testing.T) {
	g := gomega.NewWithT(t)
	store := new(watchStore)
	r := newFollowingRelay(store, &failingPeerClient{err: errStoreStale})
	for _, vm := range []string{"vm-1", "vm-2"} {
		r.avoidUntil[vm] = time.Now().Add(time.Minute) // the store is watched
	}
	_, _, err := r.WatchManifest(t.Context(), 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.confirmedAt).NotTo(gomega.BeTemporally(">", store.answeredAt))
	_, _, err = r.WatchManifest(t.Context(), 0, time.Minute)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.confirmedAt).NotTo(gomega.BeTemporally("<", store.answeredAt), "answered before its time")
}

// sleepingStore is a Store whose calls about leafs return after the time d, as they do at a VM that is
// frozen meanwhile.
type sleepingStore struct {
	Store
	d time.Duration
}

// Leafs returns no leafs.
func (s *sleepingStore) Leafs(context.Context) (LeafList, error) {
	time.Sleep(s.d)
	return LeafList{Revision: 1}, nil
}

// WatchLeafs returns no changes.
func (s *sleepingStore) WatchLeafs(context.Context, Revision, time.Duration) (LeafChanges, error) {
	time.Sleep(s.d)
	return LeafChanges{Revision: 1}, nil
}

// Guards against a VM that was frozen, takes an old answer of the store for a young one when it wakes, and
// passes it on as such.
func TestAnswerFromBeforeAFreezeIsPassedOnWithItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const wait, frozen = 1800 * time.Millisecond, 3 * time.Second
		store := &sleepingStore{}
		e := &Engine{log: logging.Discard(), stats: newStats(), feed: newFeed(), known: newKnownTimes(BoundSettings{}), peerClient: noPeerClient{}}
		e.table = scatter.NewTable(scatter.VM{Name: "vm-1", Zone: "a"}, scatter.BudgetConfig{}, time.Now(), rand.New(rand.NewPCG(1, 2)))
		r := newRelay(store, e, BoundSettings{DrainMS: 60_000})
		age := func() time.Duration { ans := e.feed.storeAge(followedLeafs); return ans.of(0) }
		read := func(d time.Duration) {
			store.d = d
			_, err := r.Leafs(t.Context())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			r.recordApplied(followedLeafs)
		}
		read(frozen)
		g.Expect(age()).To(gomega.Equal(frozen), "a list may be as old as the call")
		read(0)
		store.d = wait + frozen
		_, err := r.WatchLeafs(t.Context(), 1, wait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(age()).To(gomega.Equal(frozen), "the watch was answered at the end of its wait")
	})
}

// stubReader is a client of VMs that all return the same answer about leafs, or fail with err.
type stubReader struct {
	noPeerClient
	answer leafsAnswer
	err    error
}

// follow returns c.answer and c.err.
func (c *stubReader) follow(_ context.Context, _ scatter.VM, _ string, _ *followCall, into any) error {
	*into.(*leafsAnswer) = c.answer
	return c.err
}

// newFollowingEngine returns the engine of a VM that follows others instead of reading the store.
func newFollowingEngine(client peerClient, bounds BoundSettings) *Engine {
	for i := 0; ; i++ {
		// The hash of a VM's name determines whether it reads the store.
		e := NewEngine(EngineOptions{
			Self: fmt.Sprint("follower-", i), Zone: "a", Power: 1, Log: logging.Discard(), Bounds: bounds, Budget: scatter.BudgetConfig{Window: time.Second},
		})
		e.setPeerClient(client)
		e.setVMs([]scatter.VM{{Name: "vm-1", Zone: "a"}, {Name: "vm-2", Zone: "a"}})
		if !e.table.StoreReaders(time.Now()).Self {
			return e
		}
	}
}

// emptyStore is a Store without leafs.
type emptyStore struct{ Store }

// Leafs returns no leafs.
func (emptyStore) Leafs(context.Context) (LeafList, error) { return LeafList{Revision: 1}, nil }

// Guards against holding a leaf, that is, keeping it in use, for too long after it left: it left just after
// the store's latest answer to the reader, and that answer was old when the reader passed it on.
func TestHoldOfAMissingLeafCountsFromTheStoresAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const bound, readerAge = 3 * time.Second, 1700 * time.Millisecond
		bounds := BoundSettings{DrainMS: float64(bound.Milliseconds())}
		leafs, err := pack([]registry.Leaf{{ID: "leaf-1", Born: 1, Service: "s", Zone: "a", Slots: 1, Address: "127.0.0.1:1"}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		client := &stubReader{}
		e := newFollowingEngine(client, bounds)
		r := newRelay(emptyStore{}, e, bounds)
		f := &follower{e: e, store: r, settings: &Settings{Bounds: bounds}, log: logging.Discard(), leafsListed: make(chan struct{}, 1)}
		res := f.leafs()
		age := func(d time.Duration) storeAge { ms := d.Milliseconds(); return storeAge{StoreAgeMS: &ms} }

		client.answer = leafsAnswer{storeAge: age(0), Leafs: leafs}
		_, err = res.read(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(readerAge + 100*time.Millisecond)
		client.answer = leafsAnswer{storeAge: age(readerAge)}
		_, _, err = res.watch(t.Context(), 1, res.wait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		answeredAt := time.Now().Add(-readerAge)

		client.err = errStoreStale
		r.turns.postpone(time.Now(), 400*time.Millisecond)
		_, err = res.read(t.Context())
		g.Expect(err).To(gomega.MatchError(errReadDeferred))
		time.Sleep(500 * time.Millisecond)
		_, err = res.read(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(e.Leafs()).To(gomega.Equal(1), "the leaf is held")
		time.Sleep(time.Until(answeredAt.Add(bound)))
		g.Expect(e.Leafs()).To(gomega.BeZero())
	})
}
