package scatter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// largeFleet returns 33 VMs for each zone: three with 0.8 processor cores each and thirty with
// 0.2.
func largeFleet(zones ...string) []VM {
	var list []VM
	for _, zone := range zones {
		for i := range 33 {
			power := 0.2
			if i%11 == 5 {
				power = 0.8
			}
			list = append(list, VM{Name: fmt.Sprintf("vm-%s-%02d", zone, i), Zone: zone, Power: power})
		}
	}
	return list
}

// joinFleet makes the world's table that of one VM of a fleet, with shards that have leafs in
// zones a and b. It returns the names of the shards.
func (w *world) joinFleet(vms []VM, self VM, shards int) []string {
	w.becomeVM(self.Name, self.Zone, BudgetConfig{Ratio: 0.2, Floor: 430, Window: 10 * time.Second})
	w.table = tableOf(vms, self, w.table.budgetConfig, w.now, w.now.Add(-time.Minute))
	w.table.rng = rand.New(rand.NewPCG(1, 2))
	w.table.SetMaxShards(w.now, shards)
	names := w.shards(shards, "a", "b")
	for _, name := range names {
		w.table.SetServiceConfig(w.now, name, ServiceConfig{MaxConnections: 120, Shard: true})
	}
	return names
}

// Guards against a dozen calls per request, most of them to VMs with a small part of a processor
// core: a request waits for the slowest of its calls.
func TestPowerfulVMsAreCalledWhileTheyAnswer(t *testing.T) {
	vms := largeFleet("a", "b", "c")
	w := newWorld(t)
	names := w.joinFleet(vms, vms[len(vms)-1], 87)
	called := func() []VM {
		spec := w.gathered(names)
		spec.MayDelegate = true
		var list []VM
		for _, call := range vmCalls(NewQuery(spec, w.table).Start(w.now)) {
			list = append(list, call.VM)
		}
		return list
	}
	for range 10 {
		list := called()
		w.Expect(len(list)).To(gomega.BeNumerically("<=", 3))
		for _, v := range list {
			w.Expect(v.Power).To(gomega.Equal(0.8), v.Name)
		}
	}
	for _, v := range vms {
		if v.Power > 0.5 {
			w.table.CallEnded(w.now, v.Name, EndSilent)
		}
	}
	w.Expect(called()).To(gomega.HaveLen(3), "other VMs own the partitions too")
}

// Guards against more open connections to a leaf than it accepts: hundreds of VMs each use the leaf
// once and keep the connection.
func TestKeptConnectionsStayBelowLimit(t *testing.T) {
	vms := largeFleet("a", "b", "c", "d", "e", "f")
	kept := 0
	for _, self := range vms {
		w := newWorld(t)
		w.joinFleet(vms, self, 1)
		for _, l := range w.table.leafs {
			if l.Zone == "a" && w.table.KeepsConnection(l.id) {
				kept += l.maxInFlight
			}
		}
	}
	g := gomega.NewWithT(t)
	g.Expect(kept).To(gomega.BeNumerically(">", 0))
	g.Expect(float64(kept)).To(gomega.BeNumerically("<=", usableConnectionShare*120))
}

// Guards against more extra arrivals than allowed where owners divide their part of the floor in
// proportion to their processor cores. Only two of the three zones have leafs. The sum of the
// shares of all VMs stays below the floor.
func TestPowerWeightedFloorSharesStayBelowFloor(t *testing.T) {
	vms := largeFleet("a", "b", "c")
	sum, strongest := 0.0, 0.0
	for _, self := range vms {
		w := newWorld(t)
		names := w.joinFleet(vms, self, 40)
		floor := w.table.floorShare(w.now, names[7], true)
		sum += floor
		strongest = max(strongest, floor)
	}
	g := gomega.NewWithT(t)
	g.Expect(sum).To(gomega.BeNumerically("<=", 430/vmHeadroom+1e-9))
	g.Expect(strongest).To(gomega.BeNumerically(">", 20), "an owner has the greatest share")
}
