package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// distance classifies how far an owner is from this VM.
type distance int

const (
	sameZone distance = iota
	sameRegion
	elsewhere
)

// topology determines distances from one availability zone. A zone that the bundle
// doesn't list belongs to no region.
type topology struct {
	local   string            // the availability zone of this VM
	regions map[string]string // by zone
}

func (z topology) distance(zone string) distance {
	region := z.regions[z.local]
	switch {
	case zone == z.local:
		return sameZone
	case region != "" && z.regions[zone] == region:
		return sameRegion
	default:
		return elsewhere
	}
}

// candidate is a live owner of a target.
type candidate struct {
	vm         objstore.VM
	distance   distance
	inCooldown bool   // refused a call, was unreachable or didn't answer a short time ago
	weight     uint64 // spreads VMs over owners that are otherwise equal
}

// rendezvousWeight returns the weight of an owner by rendezvous hashing. It gives each
// VM its own order of the owners of each target. When an owner is lost, different VMs
// replace it by different owners, so that its load is spread.
func rendezvousWeight(self, target, owner string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(self)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(target)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(owner)
	return d.Sum64()
}

// compareLast compares two candidates of which only one should be tried last: the
// first of the two if aLast is set, otherwise the second.
func compareLast(aLast bool) int {
	if aLast {
		return 1
	}
	return -1
}

// sortCandidates sorts owners into the order in which they are tried. Owners in cooldown
// come after the others, and leaving ones come last. Within each group the nearest is
// first. A far owner costs milliseconds. An owner that refuses calls or doesn't answer
// costs the attempt. A leaving owner should receive no new calls, unless there is no
// other.
func sortCandidates(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int {
		if a.vm.Leaving != b.vm.Leaving {
			return compareLast(a.vm.Leaving)
		}
		if a.inCooldown != b.inCooldown {
			return compareLast(a.inCooldown)
		}
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight))
	})
}
