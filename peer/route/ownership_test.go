package route

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// TestLeavingOwnersAreNotLive: one of a target's owners is leaving and no longer reports
// the target's health. If it still counted as a live owner, a target whose status no VM
// can read would not be detected as lost until that owner has stopped.
func TestLeavingOwnersAreNotLive(t *testing.T) {
	f := newFleet(t, 5, 3)
	f.waitReachable(f.vms...)
	f.Eventually(f.owners).WithTimeout(testLimit).Should(HaveLen(2))
	live := func(vm *testVM) func() []int {
		return func() []int { return vm.router.Ownership("target-0").LiveOwners }
	}
	for _, vm := range f.vms {
		f.Eventually(live(vm)).WithTimeout(testLimit).Should(HaveLen(2))
	}
	leaving := f.owners()[0]
	leaving.peers.AnnounceLeaving()
	for _, vm := range f.vms {
		f.Eventually(live(vm)).WithTimeout(testLimit).Should(HaveLen(1), vm.name)
	}
	f.Expect(leaving.router.Ownership("target-0").Owner).To(BeTrue())
	f.Expect(leaving.router.Ownership("unknown")).To(Equal(Ownership{}))
}

// An owner has no connection to the target, for example because all of its share have gone
// silent. Its calls must go through another owner, like those of VMs that own none.
func TestOwnerWithoutConnectionsCallsThroughAnotherOwner(t *testing.T) {
	f := newFleet(t, 5, 3)
	f.waitReachable(f.vms...)
	f.Eventually(f.owners).WithTimeout(testLimit).Should(HaveLen(2))
	owner := f.owners()[0]
	f.Eventually(func() []int { return owner.router.Ownership("target-0").LiveOwners }).WithTimeout(testLimit).Should(HaveLen(2))
	unreachable := target.Endpoint{Name: "target-0", Address: "127.0.0.1:1", Connections: owner.router.Connections("target-0")}
	owner.client.Apply([]target.Endpoint{unreachable})
	for range 10 {
		f.Expect(owner.search(f)).To(Succeed())
	}
}

// Several owners of a target open a connection beyond their share at the same time, so that
// the target sees more connections than it accepts. One live owner at most may.
func TestOneLiveOwnerLeads(t *testing.T) {
	f := newFleet(t, 5, 3)
	f.waitReachable(f.vms...)
	leaders := func() (names []string) {
		for _, vm := range f.vms {
			if vm.router.Ownership("target-0").Leads() {
				names = append(names, vm.name)
			}
		}
		return names
	}
	f.Eventually(leaders).WithTimeout(testLimit).Should(HaveLen(1))
	first := leaders()[0]
	for _, vm := range f.vms {
		if vm.name == first {
			vm.peers.AnnounceLeaving()
		}
	}
	f.Eventually(leaders).WithTimeout(testLimit).Should(And(HaveLen(1), Not(ContainElement(first))))
}
