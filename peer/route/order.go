package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/platform"
)

// distance is how far an owner is from this VM.
type distance int

const (
	sameZone distance = iota
	sameRegion
	elsewhere
)

// zones tells distances from one availability zone. Zones that the bundle doesn't
// have are nobody's neighbours.
type zones struct {
	own     string
	regions map[string]string // by zone
}

func (z zones) distance(other string) distance {
	region := z.regions[z.own]
	switch {
	case other == z.own:
		return sameZone
	case region != "" && z.regions[other] == region:
		return sameRegion
	default:
		return elsewhere
	}
}

// candidate is a live owner of a target.
type candidate struct {
	vm       platform.VM
	distance distance
	resting  bool   // it refused or was silent a short time ago
	weight   uint64 // spreads VMs over owners that are equal otherwise
}

// weightOf gives each VM its own order of the owners of each target. An owner that
// is lost is replaced by another one for each VM, so that its load spreads.
func weightOf(self, target, owner string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(self)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(target)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(owner)
	return d.Sum64()
}

// order sorts owners in the order in which they are tried: the near ones first,
// those that rest behind all others. A far owner costs milliseconds, one that
// refuses or is silent costs the attempt.
func order(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int {
		if a.resting != b.resting {
			if a.resting {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight))
	})
}
