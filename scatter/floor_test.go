package scatter

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// fleetOf returns n VMs in each zone, each with one processor core.
func fleetOf(n int, zones ...string) []VM {
	var list []VM
	for _, zone := range zones {
		for i := range n {
			list = append(list, VM{Name: fmt.Sprintf("vm-%s-%02d", zone, i), Zone: zone, Power: 1})
		}
	}
	return list
}

// tableOf returns the table of the VM self, which knows all VMs in vms. The process of self
// started at startedAt.
func tableOf(vms []VM, self VM, config BudgetConfig, now, startedAt time.Time) *Table {
	t := NewTable(self, config, startedAt, nil)
	var others []VM
	for _, v := range vms {
		if v.Name != self.Name {
			others = append(others, v)
		}
	}
	t.SetVMs(now, others)
	return t
}

// Guards against more extra arrivals at a shard's leafs than allowed. Up to 80 VMs each spend their
// share of the floor of the shard's budget, are restarted, and spend a share again within the same
// window. The sum of the shares before and after the restart stays below the floor.
func TestFloorSharesStayBelowFloor(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	config := BudgetConfig{Ratio: 0.2, Floor: 200, Window: 10 * time.Second}
	for _, perZone := range []int{1, 2, 7, 20} {
		vms := fleetOf(perZone, "a", "b", "c", "d")
		for _, gatheredOnly := range []bool{false, true} {
			sum := 0.0
			for _, v := range vms {
				old := tableOf(vms, v, config, now, now.Add(-time.Minute))
				fresh := tableOf(vms, v, config, now, now.Add(-time.Second))
				sum += old.floorShare(now, "shard-7", gatheredOnly) + fresh.floorShare(now, "shard-7", gatheredOnly)
			}
			g.Expect(sum).To(gomega.BeNumerically("<=", config.Floor+1e-9), "%d VMs a zone, shard %v", perZone, gatheredOnly)
		}
	}
}

// Guards against an answer that lacks a shard although another leaf could answer it. The shard's
// leaf pauses. If the floor of the shard's budget were divided equally among 80 VMs, a VM that owns
// the leaf could hedge only once in ten seconds, although no more than 20 of the VMs use the leaf.
func TestOwnersOfAShardMayHedgeItMoreThanOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	config := BudgetConfig{Ratio: 0.2, Floor: 200, Window: 10 * time.Second}
	vms := fleetOf(20, "a", "b", "c", "d")
	var owners, others []float64
	for _, v := range vms {
		table := tableOf(vms, v, config, now, now.Add(-time.Minute))
		floor := table.floorShare(now, "shard-7", true)
		if table.ownsService("shard-7") {
			owners = append(owners, floor)
		} else {
			others = append(others, floor)
		}
	}
	g.Expect(len(owners)).To(gomega.Equal(4 * ownersPerLeaf))
	g.Expect(owners).To(gomega.HaveEach(gomega.BeNumerically(">=", 4)))
	g.Expect(others).To(gomega.HaveEach(gomega.BeNumerically(">=", 1)))
}

// Guards against a VM that has just started and spends the whole floor of a service's budget, as if
// it were the only VM, until it has read the list of VMs. Before that it spends nothing of the
// floor.
func TestVMWithoutVMListSpendsNoFloor(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	table := NewTable(VM{Name: "vm-1", Zone: "a"}, BudgetConfig{Ratio: 0.2, Floor: 200, Window: 10 * time.Second}, now, nil)
	g.Expect(table.budget(now, "ledger").spend(now, 0)).To(gomega.BeFalse())
	table.SetVMs(now, nil)
	g.Expect(table.budget(now, "ledger").spend(now, 0)).To(gomega.BeTrue())
}
