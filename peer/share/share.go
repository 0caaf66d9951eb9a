// Package share cuts the connections that a target accepts among the VMs of a
// deployment. It is pure.
//
// The fleet has a fixed number of places, bundle.Fleet.MaxVMs. A Plan says how
// many places own connections to a target and how many connections each owner
// may hold; Owners*Each never exceeds the target's limit. If the limit lets
// every place own some, all VMs go direct and nobody needs to know who else
// lives: that is the static share of a small fleet. In a larger one the owners
// of a target are chosen by rendezvous hashing over the places, and the other
// VMs reach it through them.
//
// The places are fixed numbers and not the list of VMs, because that list lags:
// two VMs with different lists can both believe to be the last owner.
package share

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// wantedOwners is the number of owners of a target that can't serve every VM:
// enough to lose some, and few enough that each sees much of the target's load.
const wantedOwners = 8

// spareShares is how many shares of each target are left free where places
// change hands: a VM that is frozen, or cut off, keeps its connections open at
// the target while its successor in the place opens others.
const spareShares = 1

// Plan is how one target's connections are cut.
type Plan struct {
	Places   int // of the fleet
	Owners   int // places that own connections to the target
	PerOwner int // connections that one owner may hold
}

// NewPlan plans for a target that accepts that many connections from the whole
// fleet, which has that many places.
func NewPlan(connections, places int) Plan {
	places = max(places, 1)
	connections = max(connections, 0)
	owners := places
	if connections < places {
		owners = min(wantedOwners, max(connections-spareShares, 1), connections)
	}
	switch {
	case owners == 0:
		return Plan{Places: places}
	case owners == places:
		return Plan{Places: places, Owners: owners, PerOwner: connections / owners}
	default:
		return Plan{Places: places, Owners: owners, PerOwner: max(connections/(owners+spareShares), 1)}
	}
}

// Direct tells whether every VM has connections of its own.
func (p Plan) Direct() bool { return p.Owners == p.Places }

// Connections returns how many connections to the target the VM at a place may
// hold; 0 means that it reaches the target through an owner. Places are counted
// from 0.
func (p Plan) Connections(target string, place int) int {
	if place < 0 || place >= p.Places {
		return 0
	}
	if p.Direct() || slices.Contains(p.OwnerPlaces(target), place) {
		return p.PerOwner
	}
	return 0
}

// OwnerPlaces returns the places that own the target, the first choice first.
func (p Plan) OwnerPlaces(target string) []int {
	places := make([]int, p.Places)
	for i := range places {
		places[i] = i
	}
	return topByWeight(target, places, strconv.Itoa, p.Owners)
}

// topByWeight returns the n candidates with the highest rendezvous weight for a target.
func topByWeight[C any](target string, candidates []C, name func(C) string, n int) []C {
	type weighed struct {
		candidate C
		weight    uint64
	}
	ranked := make([]weighed, len(candidates))
	for i, c := range candidates {
		ranked[i] = weighed{c, xxhash.Sum64String(target + "\x00" + name(c))}
	}
	slices.SortFunc(ranked, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	first := make([]C, min(n, len(ranked)))
	for i := range first {
		first[i] = ranked[i].candidate
	}
	return first
}
