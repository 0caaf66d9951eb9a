package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// distance classifies how far an owner is from this VM.
type distance int

// The distances of an owner from this VM, the nearest first.
const (
	sameZone   distance = iota // the owner is in this VM's availability zone
	sameRegion                 // the owner is in another zone of this VM's region
	elsewhere                  // the owner is in another region, or the region of its zone or of this VM's isn't known
)

// topology determines distances from this VM's availability zone. A zone that the bundle
// doesn't list belongs to no region.
type topology struct {
	local   string            // the availability zone of this VM
	regions map[string]string // the region of each availability zone of the bundle
}

// distance returns the distance from this VM to a VM in the given availability zone.
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
	tried      bool   // an earlier attempt of the same request on the same shard went through it
	inCooldown bool   // other owners are tried first: it refused a call, could not be reached or didn't answer a short time ago
	weight     uint64 // of otherwise equal owners, the one with the greatest weight is tried first; see rendezvousWeight
}

// rendezvousWeight returns the weight of an owner of a target for the VM named self, by
// rendezvous hashing. The weights give each VM its own order of the owners of each
// target. When an owner is lost, different VMs replace it by different owners, so that
// its load is spread.
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

// compareLast returns the result of a comparison of two candidates a and b for
// slices.SortFunc: the one that sorts a after b if aLast is true, and b after a otherwise.
func compareLast(aLast bool) int {
	if aLast {
		return 1
	}
	return -1
}

// sortCandidates sorts owners into the order in which they are tried. Owners in cooldown
// come after the others, then those through which an earlier attempt went, and leaving ones
// come last. Within each group the nearest is first. The reason for this order: a far owner
// costs milliseconds, and an owner that refuses calls or doesn't answer costs the attempt.
// If an earlier attempt has not been answered, its owner may be frozen, which takes longer
// to detect than a search has. A leaving owner should receive no new calls, unless there is
// no other.
func sortCandidates(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int {
		if a.vm.Leaving != b.vm.Leaving {
			return compareLast(a.vm.Leaving)
		}
		if a.tried != b.tried {
			return compareLast(a.tried)
		}
		if a.inCooldown != b.inCooldown {
			return compareLast(a.inCooldown)
		}
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight))
	})
}
