package allotment

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// VM is a member of the fleet.
type VM struct {
	Name  string
	Power float64 // number of processor cores
}

// minPowerShare is the least power of an accountant, as a share of that of the strongest VM. Weaker
// VMs follow the stronger ones as successors.
const minPowerShare = 0.5

// order returns the names of the VMs in the order in which they are chosen as accountant of a group.
// It is the same at all VMs that know the same list.
func order(vms []VM, group int) []string {
	strongest := 0.0
	for _, vm := range vms {
		strongest = max(strongest, vm.Power)
	}
	strong := func(vm VM) int {
		if vm.Power >= minPowerShare*strongest {
			return 0
		}
		return 1
	}
	seed := strconv.Itoa(group)
	list := slices.Clone(vms)
	slices.SortFunc(list, func(a, b VM) int {
		return cmp.Or(cmp.Compare(strong(a), strong(b)), cmp.Compare(hash(seed, a.Name), hash(seed, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, len(list))
	for i, vm := range list {
		names[i] = vm.Name
	}
	return names
}

// hash returns a hash of two texts.
func hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a digest can't fail.
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(b)
	return d.Sum64()
}
