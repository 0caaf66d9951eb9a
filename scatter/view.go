package scatter

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Two VMs may send requests to leafs of one shard: the called VM, and the calling VM once it
// has waited too long. Neither knows in time what the other did. Both compute the same leafs,
// the common leafs, from the request's id. These are one fewer than the request allows
// (MaxAttempts). The calling VM uses only these; the called VM may use one more of its own
// choice. Together they use no more leafs than the request allows, even if one of them freezes
// between any two steps.
//
// A second VM, called because the first one is silent, uses the common leafs only.
//
// The called VM sends requests to the shard's leafs all the time and knows which are slow or
// unreachable. If it too were restricted to the common leafs, every second request would get no
// answer from a shard with two bad leafs of three, while a good leaf is idle.
//
// Both compute the same leafs only if both know the same leafs that matter for it. A change of the
// list of leafs reaches one VM up to some seconds before another, and much later if a VM can't reach
// the store. Therefore a call carries a View of each shard, a hash of the common leafs that the
// calling VM has computed, and the called VM declines shards for which it computes other ones. A
// change of the shard's other leafs does not matter: each VM is restricted by the common leafs,
// whatever else it knows.

// View identifies the common leafs that a VM has computed for a shard of a request: it is a hash of
// their ids and start times. VMs with the same view have computed the same leafs.
type View uint32

// viewVersion is the version of the rule that determines which of two VMs may use which leafs of a
// shard. A release that changes the rule has to increase the version. The version is part of every
// view. So VMs of two versions have different views and decline each other's shards during a rolling
// upgrade. Otherwise they might together use one leaf more than a request allows.
const viewVersion = 5

// viewOf returns the view of a shard with the given common leafs.
func viewOf(common []LeafID) View {
	var sum uint64 = viewVersion
	var buf [hashedTextSize]byte
	for _, id := range common {
		text := append(buf[:0], id.ID...)
		text = strconv.AppendInt(append(text, '/'), id.Born, 10)
		// A sum does not depend on the order of the leafs.
		sum += xxhash.Sum64(text)
	}
	return View(sum)
}

// commonLeafs returns the leafs of a shard that both the calling and the called VM may use for
// a request. attempts is the number of leafs that the request may run on. One fewer than that
// are returned, but at least one if there is any. Leafs in the given zone come first. Within and
// outside the zone the order is pseudorandom, by the request's id.
//
// A leaf whose address now belongs to another leaf is not left out: perhaps only this VM knows
// of that, and both VMs have to compute the same leafs.
func (t *Table) commonLeafs(service, zone, request string, attempts int) []LeafID {
	s := t.services[service]
	if s == nil {
		return nil
	}
	// All shards of a request are ranked, so each leaf is hashed once, and few leafs need no
	// memory besides the result.
	type rankedLeaf struct {
		leaf   *leaf
		inZone bool
		rank   uint64
	}
	leafs := make([]rankedLeaf, 0, 8)
	for _, l := range s.leafs {
		if l.inService() {
			leafs = append(leafs, rankedLeaf{leaf: l, inZone: l.Zone == zone, rank: rank(request, l.ID)})
		}
	}
	slices.SortFunc(leafs, func(a, b rankedLeaf) int {
		return cmp.Or(cmpBool(a.inZone, b.inZone), cmp.Compare(a.rank, b.rank))
	})
	n := min(len(leafs), max(attempts-1, 1))
	ids := make([]LeafID, 0, n)
	for _, l := range leafs[:n] {
		ids = append(ids, l.leaf.id)
	}
	return ids
}

// candidates returns the leafs that an attempt on a shard may go to. The common leafs are those
// that the calling and the called VM both compute and may both use. The called VM may use one
// more, its own choice. The first of these cases that applies counts:
//   - all usable leafs, if no other VM may query the shard;
//   - the common leafs, if this VM is the calling one, if it was called in place of a silent
//     VM, or if the request allows a single attempt;
//   - the common leafs and the own choice, if this VM has made that choice;
//   - all usable leafs otherwise, from which the own choice may be made.
func (q *Query) candidates(s *shard) []*leaf {
	switch {
	case !s.shared:
		return q.table.usableLeafs(s.service)
	case !q.spec.Delegated || q.spec.Redelegated || q.spec.MaxAttempts < 2:
		return q.table.usableAmong(s.commonLeafs)
	case s.ownChoice != LeafID{}:
		return q.table.usableAmong(append(slices.Clone(s.commonLeafs), s.ownChoice))
	}
	return q.table.usableLeafs(s.service)
}

// recordChoice records that an attempt goes to a leaf. If another VM may query the shard too,
// there are common leafs, which both VMs may use. Any other leaf is then recorded as this VM's own
// choice: the one further leaf that this VM may use for the shard.
func (s *shard) recordChoice(id LeafID) {
	if s.shared && !slices.Contains(s.commonLeafs, id) {
		s.ownChoice = id
	}
}

// clearChoice records that an attempt at a leaf ran nothing. If the leaf was this VM's own
// choice, which the other VM that may query the shard does not use, another leaf may be chosen.
func (s *shard) clearChoice(id LeafID) {
	if s.ownChoice == id {
		s.ownChoice = LeafID{}
	}
}

// usableAmong returns those of the given leafs that are still known and take requests.
func (t *Table) usableAmong(ids []LeafID) []*leaf {
	list := make([]*leaf, 0, len(ids))
	for _, id := range ids {
		if l := t.findLeaf(id); l != nil && l.usable() {
			list = append(list, l)
		}
	}
	return list
}

// cmpBool orders true before false.
func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// rank returns a hash of a request's id and a leaf's id. The leafs of a shard are ordered by
// it: the order is the same at all VMs and differs from request to request. Lists of VMs are
// ordered in the same way, with another text in place of the request's id and VM names in place
// of leaf ids.
func rank(request, leaf string) uint64 {
	var buf [hashedTextSize]byte
	text := append(append(buf[:0], request...), '/')
	return xxhash.Sum64(append(text, leaf...))
}

// hashedTextSize is the length of a text, in bytes, up to which hashing it needs no memory.
const hashedTextSize = 128
