package peer

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

// targetNames returns the names of n targets.
func targetNames(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprint("t", i))
	}
	return list
}

// setTargets makes all VMs keep the health of the n targets of targetNames(n).
func (f *testFleet) setTargets(n int) {
	for _, vm := range f.vms {
		vm.SetTargets(targetNames(n))
	}
}

// publishHealth publishes a statement about a new incarnation of a target. The epoch is
// the number of the incarnation.
func (vm *testVM) publishHealth(target string, epoch uint64) {
	base, _ := vm.Health(target)
	vm.PublishHealth(facts.Health{Target: target, Stamp: facts.Stamp{Epoch: epoch, Incarnation: fmt.Sprint("i", epoch)}}, base.Stamp)
}

// hasEpoch returns a check for waitForAll that a VM's statement about a target is about
// the incarnation that publishHealth published with this epoch.
func hasEpoch(target string, epoch uint64) func(*testVM) bool {
	return func(vm *testVM) bool {
		h, _ := vm.Health(target)
		return h.Epoch == epoch
	}
}

// TestHealthReachesAllVMs: if the statement of one VM about a target didn't reach another
// VM, that VM would call the target by an outdated status. The statement must reach all
// VMs, and each must return it from TakeHealthChanges once.
func TestHealthReachesAllVMs(t *testing.T) {
	f := newFleet(t, 8)
	f.waitConnected()
	f.setTargets(2)
	f.vms[0].publishHealth("t0", 1)
	f.waitForAll(hasEpoch("t0", 1))
	f.vms[3].publishHealth("t0", 2)
	f.waitForAll(hasEpoch("t0", 2))
	for _, vm := range f.vms {
		f.g.Eventually(vm.HealthChanged()).Should(Receive())
		f.g.Expect(vm.TakeHealthChanges()).To(ConsistOf(HaveField("Epoch", uint64(2))))
		f.g.Expect(vm.TakeHealthChanges()).To(BeEmpty())
	}
}

// TestOutdatedHealthIsNotPublished: an owner reads a target, is frozen, and receives a
// statement about a newer incarnation before it publishes what it read. Its own
// statement is based on one that has been replaced since. If it were published, VMs would
// call the target by the status of an ended incarnation.
func TestOutdatedHealthIsNotPublished(t *testing.T) {
	f := newFleet(t, 2)
	f.waitConnected()
	f.setTargets(1)
	f.vms[0].publishHealth("t0", 1)
	f.waitForAll(hasEpoch("t0", 1))
	base, _ := f.vms[0].Health("t0")
	f.vms[1].publishHealth("t0", 2)
	f.waitForAll(hasEpoch("t0", 2))
	outdated := facts.Health{Target: "t0", Stamp: facts.Stamp{Epoch: 3, Incarnation: "old"}}
	f.g.Expect(f.vms[0].PublishHealth(outdated, base.Stamp)).To(BeFalse())
}

// TestNewVMSyncsHealth: a VM starts in a fleet that knows thousands of targets. It must
// get their health from a peer in bulk. If it had to read all targets, or received their
// health one by one, callers would wait.
func TestNewVMSyncsHealth(t *testing.T) {
	const targets = 3 * maxDiffFacts
	f := newFleet(t, 3)
	f.waitConnected()
	f.setTargets(targets)
	for _, name := range targetNames(targets) {
		f.vms[0].publishHealth(name, 1)
	}
	hasAllHealth := func(vm *testVM) bool { return vm.healthTargets() == targets }
	f.waitForAll(hasAllHealth)
	fresh := f.start("fresh", nil)
	f.waitConnected()
	fresh.SetTargets(targetNames(targets))
	f.waitForAll(hasAllHealth)
}

// TestHealthAfterSplit: the network between two regions fails, and each side publishes
// new incarnations of targets. After the network is back, all VMs must have the latest
// incarnation of each target, and none may return to an earlier one.
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

// TestHealthWithDifferentBundles: during a rollout some VMs have a bundle without a
// target that others still publish. A comparison would find a difference each time and
// could never resolve it. So the health of targets must be compared only between VMs
// with the same revision.
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
