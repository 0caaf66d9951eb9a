package scatter

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// unevenFleet returns the VMs of two zones: two strong and ten weak ones in each.
func unevenFleet() []VM {
	var list []VM
	for _, zone := range []string{"a", "b"} {
		for i := range 12 {
			v := VM{Name: zone + string(rune('a'+i)), Zone: zone, Power: 0.13}
			if i < 2 {
				v.Power = 0.8
			}
			list = append(list, v)
		}
	}
	return list
}

// without returns the VMs whose name is not the given one.
func without(vms []VM, name string) []VM {
	var list []VM
	for _, v := range vms {
		if v.Name != name {
			list = append(list, v)
		}
	}
	return list
}

// tableIn returns the table of the named VM of the uneven fleet, with 90 shards.
func tableIn(t *testing.T, name string) *world {
	w := newWorld(t)
	for _, v := range unevenFleet() {
		if v.Name == name {
			w.joinFleet(unevenFleet(), v, 90)
		}
	}
	w.Expect(w.table.zones["a"].partitions).To(gomega.BeNumerically(">", 1))
	return w
}

// calledFor returns the names of the VMs that the table's VM calls for a partition of zone a.
func (w *world) calledFor(partition int) []string {
	var names []string
	for _, v := range w.table.delegates(w.now, zonePartition{zone: "a", partition: partition}, nil) {
		names = append(names, v.Name)
	}
	return names
}

// handOver lets the VM "aa", which owns partition 0 of zone a, hand over to the VM "ab". It returns
// their tables and that of a caller in zone b. If told is false, the caller is not told.
func handOver(t *testing.T, told bool) (owner, successor, caller *world) {
	owner, successor, caller = tableIn(t, "aa"), tableIn(t, "ab"), tableIn(t, "bl")
	caller.Expect(caller.calledFor(0)).To(gomega.Equal([]string{"aa"}))
	next := owner.table.Successors(owner.now)
	owner.Expect(next).To(gomega.HaveLen(maxSuccessors))
	owner.Expect(next[0].Name).To(gomega.Equal("ab"), "the strong VM of the same zone")
	owner.Expect(next[1].Zone).To(gomega.Equal("b"), "strong VMs of another zone before weak ones")
	owner.Expect(next[2].Zone).To(gomega.Equal("b"))
	h := owner.table.Handover(owner.now)
	leafs, err := successor.table.AcceptHandover(successor.now, h)
	successor.Expect(err).NotTo(gomega.HaveOccurred())
	successor.Expect(leafs).NotTo(gomega.BeEmpty())
	if told {
		caller.table.RecordSuccessor(caller.now, "aa", "ab", h.Partitions)
	}
	return owner, successor, caller
}

// Guards against calls to an owner that is about to stop, and to a returned one that is not ready:
// callers go over when they are told, and back when the owner is listed again.
func TestPartitionGoesToItsSuccessorAndBack(t *testing.T) {
	_, successor, caller := handOver(t, true)
	caller.Expect(caller.calledFor(0)).To(gomega.Equal([]string{"ab"}))
	for _, w := range []*world{successor, caller} {
		w.wait(time.Second)
		all := w.table
		others := without(without(unevenFleet(), "aa"), all.self)
		all.SetVMs(w.now, others)
	}
	caller.Expect(caller.calledFor(0)).To(gomega.Equal([]string{"ab"}))
	successor.Expect(successor.table.serves(zonePartition{zone: "a", partition: 0})).To(gomega.BeTrue())
	successor.Expect(successor.table.TakeReturned(successor.now)).To(gomega.BeEmpty())
	for _, w := range []*world{successor, caller} {
		w.wait(5 * time.Second)
		w.table.SetVMs(w.now, without(unevenFleet(), w.table.self))
	}
	caller.Expect(caller.calledFor(0)).To(gomega.Equal([]string{"aa"}))
	back := successor.table.TakeReturned(successor.now)
	successor.Expect(back).To(gomega.HaveLen(1))
	successor.Expect(back[0].VM.Name).To(gomega.Equal("aa"))
	successor.Expect(successor.table.serves(zonePartition{zone: "a", partition: 0})).To(gomega.BeFalse())
	successor.Expect(successor.table.TakeReturned(successor.now)).To(gomega.BeEmpty())
}

// Guards against a partition that is lost with its successor: the successor is killed while it
// stands in, and callers go to the owners: also to the one that leaves, while it is listed.
func TestKilledSuccessorLeavesTheOwners(t *testing.T) {
	_, _, caller := handOver(t, true)
	caller.table.CallEnded(caller.now, "ab", EndSilent)
	caller.Expect(caller.calledFor(0)).To(gomega.Equal([]string{"aa"}))
	caller.table.SetVMs(caller.now, without(without(unevenFleet(), "aa"), "bl"))
	caller.Expect(caller.calledFor(0)).NotTo(gomega.BeEmpty())
	caller.Expect(caller.calledFor(0)).NotTo(gomega.ContainElement("ab"))
}

// Guards against a caller that is left without an owner since the message that names the successor
// was lost, or since the owner was killed before it could send one.
func TestLostMessageLeavesTheOtherOwners(t *testing.T) {
	_, _, caller := handOver(t, false)
	caller.Expect(caller.calledFor(0)).To(gomega.Equal([]string{"aa"}))
	caller.table.SetVMs(caller.now, without(without(unevenFleet(), "aa"), "bl"))
	caller.Expect(caller.calledFor(0)).To(gomega.HaveLen(delegatesPerPartition))
}

// Guards against a hand-over that outlasts its reason: the owner was told to stop, could not take
// itself off the list, and goes on.
func TestHandoverOfAnOwnerThatStaysEnds(t *testing.T) {
	_, _, caller := handOver(t, true)
	caller.wait(memberRetention + time.Second)
	caller.Expect(caller.calledFor(0)).To(gomega.Equal([]string{"aa"}))
}

// Guards against messages for a VM that nobody misses, and against a hand-over to a VM that is
// suspect or about to stop too.
func TestSuccessorIsNamedOnlyIfNeeded(t *testing.T) {
	weak := tableIn(t, "ac")
	weak.Expect(weak.table.Successors(weak.now)).To(gomega.BeEmpty())
	owner := tableIn(t, "aa")
	owner.table.CallEnded(owner.now, "ab", EndSilent)
	owner.Expect(owner.table.Successors(owner.now)[0].Zone).To(gomega.Equal("b"))
	owner = tableIn(t, "aa")
	owner.table.RecordSuccessor(owner.now, "ab", "ba", []Partition{{Zone: "a", Number: 1, Count: owner.table.zones["a"].partitions}})
	owner.Expect(owner.table.Successors(owner.now)[0].Zone).To(gomega.Equal("b"))
}

// Guards against calls to another zone where all VMs of a small zone own its leafs and have connections.
func TestSmallZoneHandsNothingOver(t *testing.T) {
	w := newWorld(t)
	w.shards(20, homeZone, "other")
	w.table.SetVMs(w.now, []VM{{Name: "vm-weak", Zone: homeZone, Power: 0.1}, {Name: "vm-far", Zone: "other", Power: 1}})
	w.Expect(w.table.Successors(w.now)).To(gomega.BeEmpty())
}

// Guards against a successor that starts without knowledge of the leafs, and against one that
// believes what another VM says more than its own answers.
func TestSuccessorAdoptsWhatItDoesNotKnow(t *testing.T) {
	owner, successor := tableIn(t, "aa"), tableIn(t, "ab")
	var ids []LeafID
	for _, l := range owner.table.leafs {
		if l.Zone == "a" && owner.table.servesLeaf(l) {
			ids = append(ids, l.id)
		}
	}
	for _, id := range ids {
		owner.table.RecordLoad(owner.now, id, Load{Slots: 2, Running: 2, Waiting: 3, Slowdown: 4})
	}
	successor.table.RecordLoad(successor.now, ids[0], Load{Slots: 2, Slowdown: 1})
	_, err := successor.table.AcceptHandover(successor.now, owner.table.Handover(owner.now))
	successor.Expect(err).NotTo(gomega.HaveOccurred())
	successor.Expect(successor.table.findLeaf(ids[0]).slowdown.factor(successor.now)).To(gomega.Equal(1.0))
	for _, id := range ids[1:] {
		l := successor.table.findLeaf(id)
		successor.Expect(l.slowdown.factor(successor.now)).To(gomega.BeNumerically("~", 4, 0.1))
		successor.Expect(l.othersReported).To(gomega.BeNumerically(">", 4))
	}
}

// Guards against a VM that takes over another partition than the one that is handed over, and against
// values from another VM that no leaf could have.
func TestHandoverIsChecked(t *testing.T) {
	w := tableIn(t, "ab")
	partitions := w.table.zones["a"].partitions
	for _, p := range []Partition{{"a", 0, partitions + 1}, {"a", partitions, partitions}, {"a", -1, partitions}, {"nowhere", 0, 1}} {
		_, err := w.table.AcceptHandover(w.now, Handover{From: "aa", Partitions: []Partition{p}})
		w.Expect(err).To(gomega.MatchError(ErrOtherDivision))
		w.table.RecordSuccessor(w.now, "aa", "ba", []Partition{p})
	}
	w.Expect(w.table.standIns).To(gomega.BeEmpty())
	for _, l := range w.table.leafs {
		l.adopt(w.now, HandedLeaf{Reported: math.NaN(), Excess: math.Inf(1), Others: -5, Failing: 7})
		w.Expect(l.slowdown.factor(w.now)).To(gomega.BeNumerically("<=", maxReportedSlowdown))
		w.Expect(l.othersReported).To(gomega.BeZero())
		w.Expect(l.failures.current(w.now)).To(gomega.BeNumerically("<=", 1))
	}
}

// Guards against a restarted owner that gets calls before it has connections, and against one that
// delays its return although nobody serves in its place, or as well as it would.
func TestReturningOwnerConnectsFirstIfOthersServe(t *testing.T) {
	for name, connects := range map[string]bool{"aa": true, "ac": false} {
		w := tableIn(t, name)
		w.Expect(w.table.IsNeeded(w.now) && w.table.IsServedByOthers(w.now)).To(gomega.Equal(connects), name)
	}
	w := tableIn(t, "aa")
	w.table.SetVMs(w.now, nil)
	w.Expect(w.table.IsServedByOthers(w.now)).To(gomega.BeFalse(), "the first VM to return")
}
