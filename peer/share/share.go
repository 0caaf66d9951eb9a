// Package share divides the connections that a target accepts among the VMs of a
// deployment. Its functions depend only on their arguments.
//
// The fleet has a fixed number of places, bundle.Fleet.MaxVMs. A Plan gives the
// number of places that own connections to a target, and the number of connections
// that each owner may hold. Owners*PerOwner never exceeds the target's limit. If the
// limit is at least the number of places, all VMs connect directly, and none needs to
// know which others are alive: this is the static share of a small fleet. In a larger
// fleet the owners of a target are chosen by rendezvous hashing over the places, and
// the other VMs reach the target through them.
//
// Owners are chosen from fixed numbers and not from the list of VMs, because that list
// lags: two VMs with different lists could both count themselves as the last owner.
package share

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxOwners is the greatest number of VMs that own connections to a target that accepts
// fewer connections than the fleet has places. With this many owners, the target can still
// be reached if some are lost, and yet each owner sees a large part of the target's load.
const maxOwners = 8

// spareShares is the number of shares of a target's connections that no VM owns, if the
// target accepts fewer connections than the fleet has places. They are left free because a
// VM that is frozen or isolated may keep its connections open while another VM claims its
// place and opens connections of its own.
const spareShares = 1

// Plan is the division of the connections that one target accepts among places. A place is
// a number that a VM claims, so that no two VMs hold the same one.
type Plan struct {
	Places   int // number of places of the fleet
	Owners   int // number of places that own connections to the target
	PerOwner int // connections that one owner may hold
}

// NewPlan returns the plan for a target that accepts the given number of connections from
// the whole fleet. placeCount is the number of places of the fleet. If there are at least
// as many connections as places, every place owns some. Otherwise there are up to maxOwners
// owners, and the connections are divided into spareShares more shares than owners.
func NewPlan(connections, placeCount int) Plan {
	placeCount = max(placeCount, 1)
	connections = max(connections, 0)
	owners := placeCount
	if connections < placeCount {
		// Spare shares are left free, but a target that accepts any connection has at
		// least one owner.
		owners = min(maxOwners, max(connections-spareShares, 1), connections)
	}
	switch {
	case owners == 0:
		return Plan{Places: placeCount}
	case owners == placeCount:
		return Plan{Places: placeCount, Owners: owners, PerOwner: connections / owners}
	default:
		return Plan{Places: placeCount, Owners: owners, PerOwner: max(connections/(owners+spareShares), 1)}
	}
}

// Direct reports whether every place owns connections, so that every VM connects to the
// target directly.
func (p Plan) Direct() bool { return p.Owners == p.Places }

// Connections returns how many connections to the target the VM that holds a place may
// open. 0 means that it reaches the target through an owner. Places are counted from 0;
// for a place out of range the result is 0.
func (p Plan) Connections(target string, place int) int {
	if place < 0 || place >= p.Places {
		return 0
	}
	if p.Direct() || slices.Contains(p.OwnerPlaces(target), place) {
		return p.PerOwner
	}
	return 0
}

// OwnerPlaces returns the places whose VMs own connections to the target, in descending
// order of their rendezvous weight. Places are counted from 0.
func (p Plan) OwnerPlaces(target string) []int {
	places := make([]int, p.Places)
	for i := range places {
		places[i] = i
	}
	return topByWeight(target, places, strconv.Itoa, p.Owners)
}

// topByWeight returns the n candidates with the highest rendezvous weights for a
// target, in descending order. name returns a candidate's name for the hash.
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
	top := make([]C, min(n, len(ranked)))
	for i := range top {
		top[i] = ranked[i].candidate
	}
	return top
}
