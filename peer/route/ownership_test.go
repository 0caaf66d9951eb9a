package route

import (
	"testing"

	. "github.com/onsi/gomega"
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
