package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// handoverVM is a VM of the handover tests, the only strong one of its zone.
type handoverVM struct {
	engine *Engine
	peers  *peerTransport
	vm     scatter.VM
}

// joinForHandover returns VMs with these names, which are connected and know each other and a leaf in
// each zone.
func joinForHandover(t *testing.T, g *gomega.WithT, names ...string) []*handoverVM {
	var list []*handoverVM
	var all []scatter.VM
	for _, name := range names {
		e := NewEngine(EngineOptions{Self: name, Zone: name, Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
		key := make([]byte, 32)
		p, err := joinPeers(e, wire.Identity{Deployment: "d", VM: name, Incarnation: name}, "127.0.0.1:0", key, logging.Discard())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(p.close)
		e.setPeerClient(p)
		v := scatter.VM{Name: name, Zone: name, Address: p.server.Addr().String(), Power: 1, Key: string(key)}
		list, all = append(list, &handoverVM{engine: e, peers: p, vm: v}), append(all, v)
	}
	for _, v := range list {
		v.engine.table.SetServiceConfig(time.Now(), "shard", scatter.ServiceConfig{Shard: true})
		for _, zone := range names {
			v.engine.table.Apply(time.Now(), registry.Change{Leaf: registry.Leaf{ID: "leaf-" + zone, Service: "shard", Zone: zone, Address: "127.0.0.1:1"}})
		}
		v.list(all, "")
	}
	return list
}

// list sets the VMs that v knows: all but itself and the one that left, and weak ones that make the
// owner's zone so large that its leafs are divided.
func (v *handoverVM) list(all []scatter.VM, left string) {
	var others []scatter.VM
	for i := range 8 {
		others = append(others, scatter.VM{Name: fmt.Sprintf("weak-%d", i), Zone: "owner", Power: 0.1})
	}
	for _, o := range all {
		if o.Name != v.vm.Name && o.Name != left {
			others = append(others, o)
		}
	}
	v.engine.setVMs(others)
}

// calls returns the names of the VMs that v calls.
func (v *handoverVM) calls() []string {
	v.engine.mu.Lock()
	defer v.engine.mu.Unlock()
	var names []string
	for _, d := range v.engine.table.Delegates(time.Now()) {
		names = append(names, d.Name)
	}
	return names
}

// leave lets v hand its partition over, with a grace period of the given number of seconds.
func (v *handoverVM) leave(t *testing.T, graceS float64) {
	n := &Node{log: logging.Discard(), engine: v.engine, settings: &Settings{GraceS: graceS}}
	n.transport.Store(v.peers)
	v.engine.leaving.Store(true)
	n.handOver(t.Context())
}

// Guards against an owner that stops without its callers knowing who stands in: the one that calls it
// goes over once the successor has answered, and back once the owner is listed again.
func TestCallersGoToTheSuccessorAndBack(t *testing.T) {
	g := gomega.NewWithT(t)
	vms := joinForHandover(t, g, "owner", "caller", "other")
	owner, caller, other := vms[0], vms[1], vms[2]
	all := []scatter.VM{owner.vm, caller.vm, other.vm}
	g.Eventually(func() error { _, err := caller.peers.connect(t.Context(), owner.vm); return err }, "10s").Should(gomega.Succeed())
	caller.engine.leaving.Store(true) // refuses, so that the other one is asked
	g.Expect(caller.calls()).To(gomega.ConsistOf("owner", "other"))
	owner.leave(t, 60)
	g.Eventually(caller.calls, "10s").Should(gomega.ConsistOf("other", "other"))
	for _, v := range vms[1:] {
		v.list(all, "owner")
	}
	g.Expect(caller.calls()).To(gomega.ConsistOf("other", "other"))
	for _, v := range vms[1:] {
		v.list(all, "")
	}
	g.Expect(caller.calls()).To(gomega.ConsistOf("owner", "other"))
}

// Guards against an owner that waits for a frozen successor beyond its grace period, and tells callers
// of one that has not answered.
func TestOwnerLeavesWithoutASuccessor(t *testing.T) {
	g := gomega.NewWithT(t)
	vms := joinForHandover(t, g, "owner", "frozen", "caller")
	owner, frozen, caller := vms[0], vms[1], vms[2]
	g.Eventually(func() error { _, err := caller.peers.connect(t.Context(), owner.vm); return err }, "10s").Should(gomega.Succeed())
	caller.engine.leaving.Store(true)
	frozen.engine.mu.Lock()
	defer frozen.engine.mu.Unlock()
	left := make(chan struct{})
	go func() { owner.leave(t, 4); close(left) }()
	g.Eventually(left, "10s").Should(gomega.BeClosed())
	g.Expect(caller.calls()).To(gomega.ConsistOf("owner", "frozen"))
}

// Guards against a VM that hands over partitions in another one's name, and against a successor that
// is itself about to stop.
func TestHandOverIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	vms := joinForHandover(t, g, "owner", "other")
	owner, other := vms[0], vms[1]
	h := owner.engine.table.Handover(time.Now())
	h.From = "another"
	g.Expect(result.CodeOf(owner.peers.handOver(t.Context(), other.vm, h, 10*time.Second))).To(gomega.Equal(result.BadMessage))
	h.From = "owner"
	other.engine.leaving.Store(true)
	g.Expect(result.CodeOf(owner.peers.handOver(t.Context(), other.vm, h, 10*time.Second))).To(gomega.Equal(result.Leaving))
}
