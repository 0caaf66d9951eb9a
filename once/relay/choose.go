package relay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// Choose returns the VM that commits the segment with the given name, which means
// that it updates the segment for all VMs. It is chosen by rendezvous hashing among
// the VMs for which avoided returns false. Choose returns false if avoided returns
// true for all VMs.
func Choose(segment string, vms []objstore.VM, avoided func(vm string) bool) (objstore.VM, bool) {
	var chosen objstore.VM
	var highestRank uint64
	found := false
	for _, vm := range vms {
		if avoided(vm.Name) {
			continue
		}
		rank := xxhash.Sum64String(segment + "\x00" + vm.Name)
		// The VM with the highest rank is chosen, and of several the first by name.
		if !found || rank > highestRank || rank == highestRank && vm.Name < chosen.Name {
			chosen, highestRank, found = vm, rank, true
		}
	}
	return chosen, found
}
