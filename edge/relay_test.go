package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// listingStore lists leafs, or fails.
type listingStore struct {
	Store
	err error
}

func (s *listingStore) Leafs(context.Context) (LeafList, error) {
	return LeafList{Leafs: []registry.Leaf{{ID: "leaf-1"}}}, s.err
}

// failingPeerClient answers every call to follow with an error.
type failingPeerClient struct {
	noPeerClient
	err error
}

func (d *failingPeerClient) follow(context.Context, scatter.VM, string, *followCall, any) error {
	return d.err
}

// newFollowingRelay returns a relay of a VM that others read the store for.
func newFollowingRelay(store Store, d peerClient) *relay {
	e := &Engine{log: logging.Discard(), stats: newStats(), feed: newFeed(), peerClient: d}
	for i := range 20 {
		// One of many names sorts behind two others.
		name := string(rune('a' + i))
		e.table = scatter.NewTable(scatter.VM{Name: name, Zone: "a"}, scatter.BudgetConfig{}, time.Now(), rand.New(rand.NewPCG(1, 2)))
		e.table.SetVMs(time.Now(), []scatter.VM{{Name: "vm-1", Zone: "a"}, {Name: "vm-2", Zone: "a"}})
		if !e.table.StoreReaders(time.Now()).Self {
			break
		}
	}
	return newRelay(store, e, time.Millisecond)
}

// The VM that reads the store for a zone fails. Those who followed it list the store
// themselves, which is no sign that the store itself was away.
func TestReaderFailureIsNotAStoreOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		store error
		away  bool
	}{
		{"silent", result.Errorf(result.PeerSilent, "no answer"), nil, false},
		{"gone", errors.New("connection refused"), nil, false},
		{"has lost the store", errStoreStale, nil, false},
		{"silent, and the store fails once", result.Errorf(result.PeerSilent, "no answer"), errors.New("down"), true},
	} {
		g := gomega.NewWithT(t)
		store := &listingStore{err: c.store}
		r := newFollowingRelay(store, &failingPeerClient{err: c.err})
		g.Expect(r.storeReaders().Self).To(gomega.BeFalse())
		var list LeafList
		g.Eventually(func() (err error) {
			list, err = r.Leafs(t.Context())
			if err != nil && !errors.Is(err, errReadDeferred) {
				store.err = nil
			}
			return err
		}, "5s").Should(gomega.Succeed())
		g.Expect(list.AfterOutage).To(gomega.Equal(c.away), c.name)
	}
}

// The VM that reads the store for a zone freezes, and a leaf leaves meanwhile. Those who
// followed it find the leaf missing after 3.5 s. Were it held as after an outage, it would
// get requests for 5.7 s where 5 s are allowed.
func TestMissingLeafIsHeldNoLongerThanDrainBound(t *testing.T) {
	g := gomega.NewWithT(t)
	const bound = 5 * time.Second
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		silent time.Duration
		outage bool
		hold   time.Duration
	}{
		{0, false, registry.OutageHold},
		{3500 * time.Millisecond, false, 750 * time.Millisecond},
		{10 * time.Second, false, 0},
		{10 * time.Second, true, registry.OutageHold},
	} {
		d := listAge{failed: true, freshAt: start}
		g.Expect(d.hold(start.Add(c.silent), c.outage, bound)).To(gomega.Equal(c.hold))
		g.Expect(d.hold(start.Add(c.silent), false, bound)).To(gomega.BeZero(), "the list is fresh again")
	}
	unread := listAge{failed: true}
	g.Expect(unread.hold(start, false, bound)).To(gomega.Equal(registry.OutageHold))
}
