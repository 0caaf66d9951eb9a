package peer

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

// targetNames are the targets of every test's bundle.
func targetNames(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprint("t", i))
	}
	return list
}

func (f *testFleet) setTargets(n int) {
	for _, vm := range f.vms {
		vm.SetTargets(targetNames(n))
	}
}

func (vm *testVM) publishHealth(target string, epoch uint64) {
	base, _ := vm.Health(target)
	vm.TellHealth(facts.Health{Target: target, Stamp: facts.Stamp{Epoch: epoch, Incarnation: fmt.Sprint("i", epoch)}}, base.Stamp)
}

func hasEpoch(target string, epoch uint64) func(*testVM) bool {
	return func(vm *testVM) bool {
		h, _ := vm.Health(target)
		return h.Epoch == epoch
	}
}

// TestHealthReachesAll: what one VM states of a target reaches all others, and
// each is told once that there is news.
func TestHealthReachesAll(t *testing.T) {
	f := newFleet(t, 8)
	f.waitConnected()
	f.setTargets(2)
	f.vms[0].publishHealth("t0", 1)
	f.waitForAll(hasEpoch("t0", 1))
	f.vms[3].publishHealth("t0", 2)
	f.waitForAll(hasEpoch("t0", 2))
	for _, vm := range f.vms {
		f.g.Eventually(vm.HealthChanged()).Should(Receive())
		f.g.Expect(vm.TakeHealth()).To(ConsistOf(HaveField("Epoch", uint64(2))))
		f.g.Expect(vm.TakeHealth()).To(BeEmpty())
	}
}

// TestOutdatedHealthIsNotPublished: an owner reads a target, is frozen, and hears
// of a newer incarnation before it states what it read. Its statement, made from
// what it knew before, must not be made.
func TestOutdatedHealthIsNotPublished(t *testing.T) {
	f := newFleet(t, 2)
	f.waitConnected()
	f.setTargets(1)
	f.vms[0].publishHealth("t0", 1)
	f.waitForAll(hasEpoch("t0", 1))
	base, _ := f.vms[0].Health("t0")
	f.vms[1].publishHealth("t0", 2)
	f.waitForAll(hasEpoch("t0", 2))
	late := facts.Health{Target: "t0", Stamp: facts.Stamp{Epoch: 3, Incarnation: "old"}}
	f.g.Expect(f.vms[0].TellHealth(late, base.Stamp)).To(BeFalse())
}

// TestNewVMSyncsHealth: a VM starts where thousands of targets are known. If
// it had to read them all, or got them one by one, callers would wait; if it passed
// them on, the others would be told what they know.
func TestNewVMSyncsHealth(t *testing.T) {
	const targets = 3 * maxDiffFacts
	f := newFleet(t, 3)
	f.waitConnected()
	f.setTargets(targets)
	for _, name := range targetNames(targets) {
		f.vms[0].publishHealth(name, 1)
	}
	all := func(vm *testVM) bool { return vm.healthTargets() == targets }
	f.waitForAll(all)
	fresh := f.start("fresh", nil)
	f.waitConnected()
	fresh.SetTargets(targetNames(targets))
	f.waitForAll(all)
}

// TestHealthAfterSplit: regions lose each other while targets restart on one side
// and drain on the other. When they join, the later incarnation counts everywhere,
// and no VM goes back to an earlier one.
func TestHealthAfterSplit(t *testing.T) {
	f := newFleet(t, 6)
	f.waitConnected()
	f.setTargets(2)
	f.vms[0].publishHealth("t0", 1)
	f.vms[0].publishHealth("t1", 1)
	f.waitForAll(func(vm *testVM) bool { return hasEpoch("t0", 1)(vm) && hasEpoch("t1", 1)(vm) })
	left, right, group := f.halves()
	f.net.split(group)
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == len(left) })
	left[0].publishHealth("t0", 2)
	left[0].publishHealth("t0", 3)
	right[0].publishHealth("t0", 2)
	right[0].publishHealth("t1", 2)
	f.waitForAll(hasEpoch("t0", 3), left...)
	f.net.split(nil)
	f.waitForAll(func(vm *testVM) bool { return hasEpoch("t0", 3)(vm) && hasEpoch("t1", 2)(vm) })
}

// TestHealthWithDifferentBundles: during a rollout some VMs have a bundle without
// a target that others still tell of. Comparing would find a difference each time
// and never end it; they compare again once both have the same revision.
func TestHealthWithDifferentBundles(t *testing.T) {
	f := newFleet(t, 2)
	f.waitConnected()
	f.vms[0].SetTargets(targetNames(2))
	f.vms[0].publishHealth("t0", 1)
	f.vms[0].publishHealth("t1", 1)
	f.vms[1].SetTargets(targetNames(1))
	f.waitForAll(hasEpoch("t0", 1))
	f.vms[1].mu.Lock()
	other := &syncRequest{Revision: 7, Root: f.vms[1].table.Root(facts.General), Targets: f.vms[1].table.Root(facts.Targets)}
	f.vms[1].mu.Unlock()
	f.g.Expect(f.vms[0].handleSync(nil, other).Targets).To(BeEmpty())
	other.Revision = 0
	f.g.Expect(f.vms[0].handleSync(nil, other).Targets).NotTo(BeEmpty())
	f.vms[1].SetTargets(targetNames(2))
	f.waitForAll(hasEpoch("t1", 1))
}
