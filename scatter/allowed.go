package scatter

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Two VMs may send requests to leafs of one shard: the called VM, and the calling VM once it
// has waited too long. Neither knows in time what the other did. Both compute the same leafs
// from the request's id, one fewer than the request allows (MaxAttempts). The calling VM uses
// only these; the called VM may use one more of its own choice. Together they use no more
// leafs than the request allows, even if one of them freezes between any two steps.
//
// A second VM, called because the first one is silent, uses the computed leafs only.
//
// The called VM sends requests to these leafs all the time and knows which are slow or
// unreachable. If it too were restricted to the computed leafs, a shard with two bad leafs of
// three would be lost to every second request, while a good leaf is idle.
//
// They compute the same leafs only if both know the same list. A change reaches one VM up to
// some seconds before another, and a VM that has lost the store much later. Therefore a call
// carries the caller's list as a View, and the called VM declines shards for which its own
// view differs.

// View is a hash of the set of leafs of a service, without draining ones, as one VM knows it.
// VMs that know the same leafs have the same view.
type View uint32

// View returns this VM's view of a service, 0 for an unknown one.
func (t *Table) View(service string) View {
	s := t.services[service]
	if s == nil {
		return 0
	}
	if !s.viewKnown {
		s.view = viewOf(s.leafs)
		s.viewKnown = true
	}
	return s.view
}

// viewVersion changes with each release that changes the rule for which VM may use which
// leafs. During a rolling upgrade, VMs of two versions have different views and decline each
// other's shards. Otherwise they might together use one leaf more than a request allows.
const viewVersion = 3

// viewOf returns the hash of the leafs that don't drain.
func viewOf(leafs []*leaf) View {
	var sum uint64 = viewVersion
	for _, l := range leafs {
		if !l.Draining {
			// A sum does not depend on the order in which leafs became known.
			sum += xxhash.Sum64String(l.ID + "/" + strconv.FormatInt(l.Born, 10))
		}
	}
	return View(sum)
}

// commonLeafs returns the leafs of a shard that both the calling and the called VM may use for
// a request. attempts is the number of leafs that the request may run on. One fewer than that
// are returned, but at least one if there is any. Leafs in the given zone come first; the
// order is otherwise pseudorandom, by the request's id. A leaf whose address was reused counts
// among them, since only this VM may know of that.
func (t *Table) commonLeafs(service, zone, request string, attempts int) []LeafID {
	s := t.services[service]
	if s == nil {
		return nil
	}
	var leafs []*leaf
	for _, l := range s.leafs {
		if !l.Draining {
			leafs = append(leafs, l)
		}
	}
	slices.SortFunc(leafs, func(a, b *leaf) int {
		return cmp.Or(
			cmpBool(a.Zone == zone, b.Zone == zone),
			cmp.Compare(rank(request, a.ID), rank(request, b.ID)),
		)
	})
	n := min(len(leafs), max(attempts-1, 1))
	ids := make([]LeafID, 0, n)
	for _, l := range leafs[:n] {
		ids = append(ids, l.id)
	}
	return ids
}

// candidates returns the leafs that an attempt on a shard may go to:
//   - all usable ones, if no other VM may query the shard, or if this VM was called for it and
//     has not yet used a leaf of its own choice;
//   - the common leafs and its own choice, if this VM was called and has made that choice;
//   - only the common leafs at the calling VM, at a VM that is called in place of a silent
//     one, and where the request allows a single attempt.
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

// recordChoice records that an attempt goes to a leaf. If another VM may query the shard too
// and the leaf is not a common one, the leaf becomes this VM's only own choice.
func (s *shard) recordChoice(id LeafID) {
	if s.shared && !slices.Contains(s.commonLeafs, id) {
		s.ownChoice = id
	}
}

// clearChoice records that an attempt at a leaf ran nothing. If the leaf was this VM's own
// choice, another one may be chosen.
func (s *shard) clearChoice(id LeafID) {
	if s.ownChoice == id {
		s.ownChoice = LeafID{}
	}
}

// usableAmong returns those of the given leafs that are still known and take requests.
func (t *Table) usableAmong(ids []LeafID) []*leaf {
	var list []*leaf
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

// rank returns a hash by which the leafs of a shard are ordered for a request. The order is the
// same at all VMs and differs from request to request. VMs are ordered in the same way.
func rank(request, leaf string) uint64 {
	return xxhash.Sum64String(request + "/" + leaf)
}
