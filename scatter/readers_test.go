package scatter

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a zone in which every VM reads the store, because the store refuses the VMs that
// normally read it. The other VMs follow a spare reader, and only one VM reads in addition.
func TestSpareReadersAreFollowedWhereReadersFail(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	vms := fleetOf(33, "a")
	failed := map[string]bool{}
	for _, v := range vms {
		if tableOf(vms, v, ampleBudget, now, now).StoreReaders(now).Self {
			failed[v.Name] = true
		}
	}
	g.Expect(failed).To(gomega.HaveLen(readersPerZone))
	reads, follows := 0, map[string]string{}
	for _, v := range vms {
		if failed[v.Name] {
			continue
		}
		others := tableOf(vms, v, ampleBudget, now, now).StoreReaders(now).Others
		first := slices.IndexFunc(others, func(o VM) bool { return !failed[o.Name] })
		if first < 0 {
			reads++
			continue
		}
		follows[v.Name] = others[first].Name
	}
	g.Expect(reads).To(gomega.Equal(1))
	for _, followed := range follows {
		g.Expect(follows).NotTo(gomega.HaveKey(followed), "a VM that is followed reads the store itself")
	}
}
