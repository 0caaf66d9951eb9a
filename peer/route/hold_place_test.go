package route

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/place"
	"github.com/bramleybarrow/bramleybarrow/target"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// contestedFleet is a Fleet without other VMs in which the place of this VM is contested if
// contested is set. It holds the place that the router published last.
type contestedFleet struct {
	contested atomic.Bool
	place     atomic.Int64
}

func (f *contestedFleet) Places() map[int]objstore.VM { return nil }
func (f *contestedFleet) SetPlace(place int)          { f.place.Store(int64(place)) }
func (f *contestedFleet) PlaceContested() bool        { return f.contested.Load() }
func (f *contestedFleet) Ended(string, string) bool   { return false }
func (f *contestedFleet) WireOptions() wire.Options   { return wire.Options{} }

// countingStore counts the reads of single objects, which fail while down is set.
type countingStore struct {
	objstore.Store
	reads int
	down  bool
}

// Get reads an object.
func (s *countingStore) Get(ctx context.Context, kind, name string) (objstore.Object, error) {
	s.reads++
	if s.down {
		return objstore.Object{}, errors.New("platform down")
	}
	return s.Store.Get(ctx, kind, name)
}

// newContestedRouter returns a router of a fleet with two places, one of which owns each target,
// with the platform's store and the fleet.
func newContestedRouter(t *testing.T) (*Router, *countingStore, *contestedFleet) {
	g := NewWithT(t)
	store, fleet := &countingStore{Store: platformsim.NewStore()}, &contestedFleet{}
	r := New(Options{
		Local: target.NewClient(target.Options{}),
		Place: place.Options{Store: store, Deployment: "d", VM: "vm-0", Incarnation: "a", Ended: fleet.Ended},
	})
	r.fleet = fleet
	r.Apply(&bundle.Bundle{
		Fleet: bundle.Fleet{MaxVMs: 2},
		Services: []bundle.Service{{Name: "desk", Shards: 1, Targets: []bundle.Target{
			{Name: "target-0", Leaves: 1, Slots: 1, Connections: 1},
			{Name: "target-1", Leaves: 1, Slots: 1, Connections: 1},
			{Name: "target-2", Leaves: 1, Slots: 1, Connections: 1},
		}}},
	})
	g.Expect(r.hasSharedTargets).To(BeTrue())
	return r, store, fleet
}

// claimAll gives both places to other VMs, as happens after this VM counted as lost.
func claimAll(t *testing.T, store objstore.Store) {
	g := NewWithT(t)
	for _, vm := range []string{"vm-1", "vm-2"} {
		_, err := place.Acquire(context.Background(), place.Options{
			Store: store, Deployment: "d", VM: vm, Incarnation: vm + "-1",
			Ended: func(holder, _ string) bool { return holder == "vm-0" },
		}, 2)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// Guards against an owner that keeps its connections although its place was given to another
// VM: it counted as lost while it ran, so nothing made it ask the platform.
func TestContestedPlaceThatWasLostIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	r, store, fleet := newContestedRouter(t)
	h := r.updatePlace(heldPlace{})
	g.Expect(h.held).NotTo(BeNil())
	held := func() (n int) {
		for _, name := range []string{"target-0", "target-1", "target-2"} {
			n += r.Connections(name)
		}
		return n
	}
	before := held()
	claimAll(t, store)
	g.Expect(held()).To(Equal(before), "the VM can't know yet")

	fleet.contested.Store(true)
	h = r.updatePlace(h)
	g.Expect(h.held).To(BeNil(), "no place is free")
	g.Expect(held()).To(BeZero())
	g.Expect(fleet.place.Load()).To(BeEquivalentTo(noPlace))
}

// Guards against a holder that gives up its place, or closes its connections, because
// another VM wrongly states to hold it.
func TestContestedPlaceThatIsStillHeldIsKept(t *testing.T) {
	g := NewWithT(t)
	r, _, fleet := newContestedRouter(t)
	h := r.updatePlace(heldPlace{})
	fleet.contested.Store(true)
	changed := r.Changed()
	again := r.updatePlace(h)
	g.Expect(again.held).To(Equal(h.held))
	g.Expect(again.contestedAt).NotTo(BeZero())
	g.Expect(changed).NotTo(BeClosed())
	g.Expect(r.updatePlace(again).contestedAt).To(Equal(again.contestedAt), "the platform is not asked again at once")
}

// Guards against a holder that gives up its place, or asks the platform again and again, while
// the platform is down.
func TestContestedPlaceIsKeptWhileThePlatformIsDown(t *testing.T) {
	g := NewWithT(t)
	r, store, fleet := newContestedRouter(t)
	h := r.updatePlace(heldPlace{})
	claimAll(t, store)
	fleet.contested.Store(true)
	store.down = true
	again := r.updatePlace(h)
	g.Expect(again.held).To(Equal(h.held))
	g.Expect(store.reads).To(Equal(1))
	r.updatePlace(again)
	g.Expect(store.reads).To(Equal(1))
}
