package scatter

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Two VMs may ask leafs of one shard: the one that was called, and the one that called,
// when it has waited for too long. Neither knows in time what the other did. Both compute
// the same leafs from the request's id, one fewer than the request allows. The one that
// called asks these only; the other may ask one more of its own choice. Together they ask no
// more than the request allows, even if one of them freezes between any two steps.
//
// A second VM that is called, since the first one is silent, asks the computed ones only.
//
// The VM that was called asks these leafs all the time and knows which are slow or dark.
// If it too were held to those that were computed, a shard with two bad leafs of three would be
// lost to every second request, with a good leaf idle.
//
// They compute the same only if both know the same leafs. A change reaches one VM up to
// some seconds before another, and much later one that has lost the store. So a call
// carries what the caller knows as a View, and the called VM declines a shard of which
// it has another.

// View identifies the leafs of a service that a VM takes for usable. VMs with the same
// leafs have the same view.
type View uint32

// View returns this VM's view of a service.
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

// viewVersion changes with each release that decides otherwise who may ask which leafs. While VMs
// are replaced one after another, those of two forms have different views and decline each
// other's shards; together they might ask one leaf more than a request allows.
const viewVersion = 3

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

// commonLeafs returns the leafs of a shard that two VMs may ask, for a request that may run on
// attempts leafs: one in the zone given first, and one fewer in all than attempts. One whose
// address has moved counts among them, since only this VM may know.
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

// candidates returns the leafs that an attempt on a shard may go to.
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

// recordChoice notes that the VM that was called asks a leaf of its own choice.
func (s *shard) recordChoice(id LeafID) {
	if s.shared && !slices.Contains(s.commonLeafs, id) {
		s.ownChoice = id
	}
}

// clearChoice notes that an attempt ran nothing, so that another leaf may be chosen.
func (s *shard) clearChoice(id LeafID) {
	if s.ownChoice == id {
		s.ownChoice = LeafID{}
	}
}

// usableAmong returns those of some leafs that still take requests.
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

// rank orders the leafs of a shard, differently for each request.
func rank(request, leaf string) uint64 {
	return xxhash.Sum64String(request + "/" + leaf)
}
