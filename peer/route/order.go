package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// distance is how far an owner is from this VM.
type distance int

const (
	sameZone distance = iota
	sameRegion
	elsewhere
)

// topology tells distances from one availability zone. Zones that the bundle doesn't
// have are nobody's neighbours.
type topology struct {
	local   string
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
	inCooldown bool   // it refused or was silent a short time ago
	weight     uint64 // spreads VMs over owners that are equal otherwise
}

// rendezvousWeight gives each VM its own order of the owners of each target. An owner that
// is lost is replaced by another one for each VM, so that its load spreads.
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

// compareLast is the order of two of which one should be tried later.
func compareLast(aLast bool) int {
	if aLast {
		return 1
	}
	return -1
}

// sortCandidates sorts owners in the sortCandidates in which they are tried: the near ones first,
// those that rest behind them, and those that are leaving last. A far owner costs
// milliseconds, one that refuses or is silent costs the attempt, and one that is
// leaving should get nothing new, unless it is the last.
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
