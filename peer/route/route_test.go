package route

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer"
	"github.com/bramleybarrow/bramleybarrow/peer/place"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// testLimit bounds each wait of a test.
const testLimit = 20 * time.Second

// noHeads implements peer.Heads for a VM without a head and without bundles.
type noHeads struct{}

func (noHeads) Revision() uint64                { return 0 }
func (noHeads) Changed() <-chan struct{}        { return nil }
func (noHeads) Head() []byte                    { return nil }
func (noHeads) RawBundle(string) ([]byte, bool) { return nil, false }
func (noHeads) OfferHead(context.Context, []byte, func(context.Context, string) ([]byte, error)) error {
	return nil
}

// testVM is a VM that has only an exchange, a router and a target client.
type testVM struct {
	name   string
	peers  *peer.Exchange
	router *Router
	client *target.Client
	done   chan struct{} // closed by stop
}

// testFleet is a fleet of VMs that call one target, "target-0".
type testFleet struct {
	*WithT
	t      *testing.T
	store  *platformsim.Store
	target *targetsim.Target
	bundle *bundle.Bundle
	vms    []*testVM
}

// newFleet starts the given number of VMs, with as many places, and a target that accepts
// the given number of connections.
func newFleet(t *testing.T, vms, connections int) *testFleet {
	f := &testFleet{WithT: NewWithT(t), t: t, store: platformsim.NewStore()}
	index := targetsim.Index{Service: "desk", Snapshot: "s1", Seq: 1, Shards: 2, Records: 10}
	var err error
	f.target, err = targetsim.Start(targetsim.Options{
		Name: "target-0", Service: "desk", Leaves: 2, Slots: 2, MaxConnections: connections,
		Timing: targetsim.Timing{BaseMS: 1}, Snapshots: targetsim.PlaceReplicas(index, 1, 2, 1),
	})
	f.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { f.target.Close() })
	f.bundle = &bundle.Bundle{
		Fleet: bundle.Fleet{MaxVMs: vms},
		Services: []bundle.Service{{Name: "desk", Shards: 2, Targets: []bundle.Target{{
			Name: "target-0", Address: f.target.Address(), Leaves: 2, Slots: 2, Connections: connections,
		}}}},
	}
	for i := range vms {
		f.start(fmt.Sprint("vm-", i))
	}
	return f
}

// start starts another VM and adds it to the fleet and to the platform's list of VMs.
func (f *testFleet) start(name string) *testVM {
	vm := &testVM{name: name, client: target.NewClient(target.Options{}), done: make(chan struct{})}
	vm.router = New(Options{
		Local:     vm.client,
		IdleAfter: 500 * time.Millisecond,
		Place:     place.Options{Store: f.store, Deployment: "d", VM: name, Incarnation: name + "-1"},
	})
	var err error
	vm.peers, err = peer.New(peer.Options{
		VM: objstore.VM{Name: name, Zone: "z"}, Incarnation: name + "-1", Deployment: "d",
		FleetKeys: [][]byte{bytes.Repeat([]byte("k"), 32)}, Listen: "127.0.0.1:0",
		Store: f.store, Heads: noHeads{}, CallHandler: vm.router.Handle,
		Interval: 50 * time.Millisecond, ListInterval: 50 * time.Millisecond,
		SuspectAfter: 300 * time.Millisecond, PingInterval: 100 * time.Millisecond,
	})
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(vm.peers.Start()).To(Succeed())
	f.vms = append(f.vms, vm)
	var list []objstore.VM
	for _, vm := range f.vms {
		list = append(list, objstore.VM{Name: vm.name, Zone: "z", Address: vm.peers.Address()})
	}
	f.store.SetVMs(list, 0)
	vm.router.Apply(f.bundle)
	vm.router.Start(vm.peers)
	go vm.followConnections(f.target.Address())
	f.t.Cleanup(vm.stop)
	return vm
}

// followConnections keeps the number of connections of the VM's target client at what the
// router allows, until the VM is stopped. address is that of the target.
func (vm *testVM) followConnections(address string) {
	for {
		changed := vm.router.Changed()
		vm.client.Apply([]target.Endpoint{{Name: "target-0", Address: address, Connections: vm.router.Connections("target-0")}})
		select {
		case <-changed:
		case <-vm.done:
			return
		}
	}
}

// stop closes the VM's connections to the target before it stops the router, which releases
// the VM's place. Further calls do nothing.
func (vm *testVM) stop() {
	select {
	case <-vm.done:
		return
	default:
		close(vm.done)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	vm.client.Close()
	_ = vm.router.Stop()
	_ = vm.peers.Stop(ctx)
}

// search searches leaf 1 of the target through the VM within one second.
func (vm *testVM) search(f *testFleet) error { return vm.searchWithin(f, time.Second) }

// searchWithin is searchWith with a time limit.
func (vm *testVM) searchWithin(f *testFleet, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return vm.searchWith(ctx, f)
}

// searchWith searches leaf 1 of the target through the VM. It returns the error of the
// search, or an error if the answer is incomplete or belongs to another search.
func (vm *testVM) searchWith(ctx context.Context, f *testFleet) error {
	holding := f.target.Status().Leaves[1].Holdings[0]
	echo := target.Echo{Request: "r", Attempt: 1, Shard: holding.Shard, Snapshot: holding.Snapshot}
	answer, err := vm.router.Search(ctx, "target-0", 1, target.LeafRequest{Echo: echo, Kind: target.KindSearch, Query: "q", Limit: 5})
	if err == nil && (answer.Echo != echo || !answer.Complete) {
		err = fmt.Errorf("answer %+v", answer)
	}
	return err
}

// waitReachable waits until the target answers searches of all the given VMs.
func (f *testFleet) waitReachable(vms ...*testVM) {
	f.t.Helper()
	for _, vm := range vms {
		f.Eventually(func() error { return vm.search(f) }).WithTimeout(testLimit).Should(Succeed(), vm.name)
	}
}

// owners returns the VMs that own connections to the target.
func (f *testFleet) owners() (list []*testVM) {
	for _, vm := range f.vms {
		if vm.router.Connections("target-0") > 0 {
			list = append(list, vm)
		}
	}
	return list
}

// TestDirectWhenLimitAllows: if a target accepts connections of all VMs, calls through
// another VM and claims to places on the platform would only cost time. Every VM must call
// the target directly and none may claim a place.
func TestDirectWhenLimitAllows(t *testing.T) {
	f := newFleet(t, 3, 7)
	f.waitReachable(f.vms...)
	f.Expect(f.owners()).To(HaveLen(3))
	page, err := f.store.List(context.Background(), place.Kind, "", 10)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(page.Objects).To(BeEmpty(), "a place was claimed although no target needs one")
}

// TestMoreVMsThanConnections: the fleet has more VMs than a target accepts connections.
// Callers of VMs without a connection would get no answers from the target. These VMs must
// call it through its owners, and together all VMs must never open more connections than
// it accepts.
func TestMoreVMsThanConnections(t *testing.T) {
	f := newFleet(t, 5, 3)
	f.waitReachable(f.vms...)
	f.Eventually(f.owners).WithTimeout(testLimit).Should(HaveLen(2))
	for _, vm := range f.vms {
		f.Eventually(func() (string, error) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			status, err := vm.router.Status(ctx, "target-0")
			return status.Incarnation, err
		}).WithTimeout(testLimit).Should(Equal(f.target.Incarnation()))
	}
	connections := f.target.Counters().Connections
	f.Expect(connections.Peak).To(BeNumerically("<=", 3))
	f.Expect(connections.Refused).To(BeZero())
}

// TestOwnersAreReplaced: one owner after another is replaced by a new VM. The other VMs
// must reach the target through the remaining owners and then through the new one, which
// acquires the released place. The connection limit must hold at all times.
func TestOwnersAreReplaced(t *testing.T) {
	f := newFleet(t, 4, 3)
	f.waitReachable(f.vms...)
	f.Eventually(f.owners).WithTimeout(testLimit).Should(HaveLen(2))
	for i := range 3 {
		owner := f.owners()[0]
		owner.stop()
		var others []*testVM
		for _, vm := range f.vms {
			if vm != owner {
				others = append(others, vm)
			}
		}
		f.vms = others
		f.waitReachable(others...)
		f.start(fmt.Sprint("new-", i))
		f.waitReachable(f.vms...)
		f.Eventually(f.owners).WithTimeout(testLimit).Should(HaveLen(2))
	}
	connections := f.target.Counters().Connections
	f.Expect(connections.Peak).To(BeNumerically("<=", 3))
	f.Expect(connections.Refused).To(BeZero())
}

// TestAllOwnersLeaving: all owners of a target are replaced at about the same time, and
// each still serves during its lame-duck time. When leaving VMs didn't count as owners,
// callers of the other VMs immediately lost the target's part of their answers. A leaving
// owner must be called as long as no owner that stays is known.
func TestAllOwnersLeaving(t *testing.T) {
	f := newFleet(t, 5, 3)
	f.waitReachable(f.vms...)
	f.Eventually(f.owners).WithTimeout(testLimit).Should(HaveLen(2))
	owners := f.owners()
	var other *testVM
	for _, vm := range f.vms {
		if vm != owners[0] && vm != owners[1] {
			other = vm
		}
	}
	staying := func() (names []string) {
		list := other.router.otherOwners("target-0", nil)
		for _, c := range list {
			if !c.vm.Leaving {
				names = append(names, c.vm.Name)
			}
		}
		return names
	}
	owners[0].peers.AnnounceLeaving()
	f.Eventually(staying).WithTimeout(testLimit).Should(Equal([]string{owners[1].name}))
	list := other.router.otherOwners("target-0", nil)
	f.Expect(list[0].vm.Name).To(Equal(owners[1].name), "an owner that stays must be tried first")
	owners[1].peers.AnnounceLeaving()
	f.Eventually(staying).WithTimeout(testLimit).Should(BeEmpty())
	f.Expect(other.search(f)).To(Succeed())
}
