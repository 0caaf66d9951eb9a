package scatter

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// fleetOf returns the names and zones of VMs: n in each zone.
func fleetOf(n int, zones ...string) []VM {
	var list []VM
	for _, zone := range zones {
		for i := range n {
			list = append(list, VM{Name: fmt.Sprintf("vm-%s-%02d", zone, i), Zone: zone, Power: 1})
		}
	}
	return list
}

// tableOf returns the table of one VM of a fleet that was born at a time.
func tableOf(vms []VM, self VM, terms BudgetConfig, now, born time.Time) *Table {
	t := NewTable(self, terms, born, nil)
	var others []VM
	for _, v := range vms {
		if v.Name != self.Name {
			others = append(others, v)
		}
	}
	t.SetVMs(now, others)
	return t
}

// A shard's leafs get more extra arrivals than agreed: 80 VMs each take their part of
// the floor, most are killed and take it again in their next life within the window.
// The sum of all parts stays below the floor whatever each of them does.
func TestFloorSharesStayBelowFloor(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	terms := BudgetConfig{Ratio: 0.2, Floor: 200, Window: 10 * time.Second}
	for _, perZone := range []int{1, 2, 7, 20} {
		vms := fleetOf(perZone, "a", "b", "c", "d")
		for _, shard := range []bool{false, true} {
			sum := 0.0
			for _, v := range vms {
				old := tableOf(vms, v, terms, now, now.Add(-time.Minute))
				fresh := tableOf(vms, v, terms, now, now.Add(-time.Second))
				sum += old.floorShare(now, "shard-7", shard) + fresh.floorShare(now, "shard-7", shard)
			}
			g.Expect(sum).To(gomega.BeNumerically("<=", terms.Floor+1e-9), "%d VMs a zone, shard %v", perZone, shard)
		}
	}
}

// A page lacks a shard although another leaf has it: its leaf pauses, and the VM that
// owns it may hedge once in ten seconds, since the floor is kept for 80 VMs of which
// 20 ask that leaf.
func TestOwnersOfAShardMayHedgeItMoreThanOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	terms := BudgetConfig{Ratio: 0.2, Floor: 200, Window: 10 * time.Second}
	vms := fleetOf(20, "a", "b", "c", "d")
	var owners, others []float64
	for _, v := range vms {
		table := tableOf(vms, v, terms, now, now.Add(-time.Minute))
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

// A VM that has just started takes itself for the only one until it has read who else
// there is. It spends nothing of the floor that others may be spending.
func TestVMWithoutVMListSpendsNoFloor(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	table := NewTable(VM{Name: "vm-1", Zone: "a"}, BudgetConfig{Ratio: 0.2, Floor: 200, Window: 10 * time.Second}, now, nil)
	g.Expect(table.budget(now, "ledger").spend(now, 0)).To(gomega.BeFalse())
	table.SetVMs(now, nil)
	g.Expect(table.budget(now, "ledger").spend(now, 0)).To(gomega.BeTrue())
}
