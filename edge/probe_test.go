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
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// silentPeerClient is a peerClient for which the VM named silentVM does not answer pings.
type silentPeerClient struct {
	noPeerClient
	silentVM string
}

// connected says that there are connections to all VMs.
func (*silentPeerClient) connected(scatter.VM) bool { return true }

// ping fails for silentVM and succeeds for every other VM.
func (c *silentPeerClient) ping(_ context.Context, vm scatter.VM) error {
	if vm.Name == c.silentVM {
		return errors.New("silent")
	}
	return nil
}

// Guards against lost calls when two VMs fail at the same time, for example in a power failure.
// After a call to the first VM has failed, a liveness check detects the failure of the second one
// before any call to it is lost. VMs that are alive are called as before.
func TestVMThatFailsLivenessCheckIsNotCalled(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	table := scatter.NewTable(scatter.VM{Name: "vm-a", Zone: "a"}, scatter.BudgetConfig{}, now, rand.New(rand.NewPCG(1, 2)))
	table.SetVMs(now, []scatter.VM{{Name: "vm-b", Zone: "b"}, {Name: "vm-c", Zone: "c"}, {Name: "vm-d", Zone: "d"}})
	table.SetServiceConfig(now, "shard", scatter.ServiceConfig{Shard: true})
	for _, zone := range []string{"b", "c", "d"} {
		table.Apply(now, registry.Change{Leaf: registry.Leaf{ID: "leaf-" + zone, Service: "shard", Zone: zone}})
	}
	n := &Node{log: logging.Discard(), engine: &Engine{
		table: table, peerClient: &silentPeerClient{silentVM: "vm-c"}, suspectVMs: newWakeup(),
	}}
	table.CallEnded(now, "vm-b", scatter.EndSilent)
	probed, _ := n.checkVMs(t.Context())
	g.Expect(probed).To(gomega.BeTrue())
	var called []string
	for _, vm := range table.Delegates(now) {
		called = append(called, vm.Name)
	}
	g.Expect(called).To(gomega.ConsistOf("vm-d"))
	g.Expect(n.engine.suspectVMs).To(gomega.Receive(), "suspects are to be probed")
}

// Guards against VMs that hear nothing of the loss of a zone: a report must reach the VMs at both
// ends of a connection, whichever of them opened it, and be passed on once.
func TestReportOfLostVMsReachesBothEndsOfAConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	join := func(name string) (*Engine, *peerTransport, scatter.VM) {
		e := NewEngine(EngineOptions{Self: name, Zone: name, Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
		key := make([]byte, 32)
		p, err := joinPeers(e, wire.Identity{Deployment: "d", VM: name, Incarnation: name}, "127.0.0.1:0", key, logging.Discard())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(p.close)
		e.setPeerClient(p)
		return e, p, scatter.VM{Name: name, Zone: name, Address: p.server.Addr().String(), Key: string(key)}
	}
	engineA, peersA, _ := join("a")
	engineB, peersB, b := join("b")
	g.Eventually(func() error {
		_, err := peersA.connect(t.Context(), b)
		return err
	}, "10s").Should(gomega.Succeed())
	g.Expect(engineA.lossReported()).To(gomega.BeTrue(), "to be passed on")
	<-engineA.livenessCheckDue
	peersA.reportLoss()
	g.Eventually(engineB.livenessCheckDue, "10s").Should(gomega.Receive(), "from the VM that dialled")
	g.Eventually(engineA.livenessCheckDue, "10s").Should(gomega.Receive(), "passed on to the VM that dialled")
	g.Consistently(engineB.livenessCheckDue, "200ms").ShouldNot(gomega.Receive(), "passed on once by each")
	peersB.reportLoss()
	g.Eventually(engineA.livenessCheckDue, "10s").Should(gomega.Receive())
}

// Guards against liveness checks and reports of lost VMs that wait for a dial to a lost VM, which
// takes the whole dial timeout.
func TestLivenessChecksDoNotWaitForADial(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEngine(EngineOptions{Self: "a", Zone: "a", Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
	p, err := joinPeers(e, wire.Identity{Deployment: "d", VM: "a", Incarnation: "a"}, "127.0.0.1:0", make([]byte, 32), logging.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(p.close)
	lost := scatter.VM{Name: "lost", Address: "127.0.0.1:1"}
	link := p.link(lost)
	link.mu.Lock() // as while it is being dialled
	t.Cleanup(link.mu.Unlock)
	done := make(chan error, 1)
	go func() {
		p.reportLoss()
		done <- p.ping(t.Context(), lost)
	}()
	g.Eventually(done, "10s").Should(gomega.Receive(gomega.MatchError(errNotConnected)))
}

// lostZonePeerClient is a peerClient in which no VM of the lost zone answers, on a connection or on a
// new one.
type lostZonePeerClient struct {
	noPeerClient
	lost    string
	reports int
}

// connected says that there are connections to the strong VMs only.
func (*lostZonePeerClient) connected(vm scatter.VM) bool { return vm.Power == 1 }

// ping fails for VMs of the lost zone.
func (c *lostZonePeerClient) ping(_ context.Context, vm scatter.VM) error { return c.answer(vm) }

// connect fails for VMs of the lost zone.
func (c *lostZonePeerClient) connect(_ context.Context, vm scatter.VM) (bool, error) {
	return true, c.answer(vm)
}

func (c *lostZonePeerClient) reportLoss() { c.reports++ }

// answer returns an error for VMs of the lost zone.
func (c *lostZonePeerClient) answer(vm scatter.VM) error {
	if vm.Zone == c.lost {
		return errors.New("silent")
	}
	return nil
}

// Guards against a lost zone of which the other VMs are not told because this VM has a connection
// to one of its VMs only.
func TestLossOfASmallZoneIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	table := scatter.NewTable(scatter.VM{Name: "vm-a", Zone: "a"}, scatter.BudgetConfig{}, now, rand.New(rand.NewPCG(1, 2)))
	table.SetVMs(now, []scatter.VM{
		{Name: "vm-b", Zone: "b", Power: 1}, {Name: "weak-b", Zone: "b", Power: 0.1},
		{Name: "vm-c", Zone: "c", Power: 1}, {Name: "weak-c", Zone: "c", Power: 0.1},
	})
	table.SetServiceConfig(now, "shard", scatter.ServiceConfig{Shard: true})
	for _, zone := range []string{"b", "c"} {
		table.Apply(now, registry.Change{Leaf: registry.Leaf{ID: "leaf-" + zone, Service: "shard", Zone: zone}})
	}
	client := &lostZonePeerClient{lost: "b"}
	n := &Node{log: logging.Discard(), engine: &Engine{table: table, peerClient: client, suspectVMs: newWakeup()}}
	table.CallEnded(now, "vm-b", scatter.EndSilent)
	probed, _ := n.checkVMs(t.Context())
	g.Expect(probed).To(gomega.BeTrue())
	g.Expect(client.reports).To(gomega.Equal(1))
	g.Expect(table.Delegates(now)).To(gomega.ConsistOf(gomega.HaveField("Name", "vm-c")))
}
