package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/slotbook"
)

// Slots of services that many VMs ask now and then.
//
// The problem: a service of few leafs and long work is asked by many VMs, each of them so rarely that
// it knows nothing of what the others have in flight. Each choice is then one at random: requests
// wait at one leaf while others have free slots. One VM therefore keeps account of the slots
// (package slotbook), and the others ask it for a leaf. Its answer is advice. The VM that has the
// request decides whether and where it runs, so that it runs no more often than without a keeper.
// See docs/design/slots.md.

const (
	// minKeeperPowerShare is the least power of a VM that keeps account of slots, as a share of
	// that of the strongest.
	minKeeperPowerShare = 0.5
	// maxKeepers is how many VMs may keep account of the slots of a service: a keeper and those
	// that stand in for it in turn.
	maxKeepers = 3
	// maxKeptSlots and minKeptWork bound how often a keeper is asked. Slots are not kept if the
	// service has more, or if its requests usually take less: what leafs state is then younger, and
	// a request to the keeper is worth less.
	maxKeptSlots = 64
	minKeptWork  = 20 * time.Millisecond
	// keepersLifetime is the time after which the keepers of a service are chosen again.
	keepersLifetime = time.Second
)

// keepers are the VMs that keep account of the slots of a service, the first one first.
type keepers struct {
	names []string
	at    time.Time // when they were chosen
}

// SlotsShared reports whether the slots of a service are fewer than the VMs that ask for them, so that
// an account of them is of use, and few enough for one VM.
func (t *Table) SlotsShared(name string) bool {
	s := t.services[name]
	if s == nil || s.gatheredOnly {
		return false
	}
	slots := 0
	for _, l := range s.leafs {
		if l.usable() {
			slots += l.Slots
		}
	}
	return slots > 0 && slots <= min(len(t.members), maxKeptSlots)
}

// SlotKeepers returns the VMs that keep account of the slots of a service and can be asked, the first
// one first; after it come those that stand in for it. They are among the strong VMs of the zones of
// the service's leafs. This VM itself has no address in the list.
func (t *Table) SlotKeepers(now time.Time, name string) []VM {
	s := t.services[name]
	if s == nil {
		return nil
	}
	if s.keepers.names == nil || now.Sub(s.keepers.at) >= keepersLifetime {
		s.keepers = keepers{names: t.chooseKeepers(name), at: now}
	}
	var list []VM
	for _, keeper := range s.keepers.names {
		if keeper == t.self {
			list = append(list, VM{Name: t.self, Zone: t.zone, Power: t.power})
		} else if v := t.vms[keeper]; v != nil && v.available(now) {
			list = append(list, v.VM)
		}
	}
	return list
}

// chooseKeepers returns the names of the VMs that keep account of the slots of a service, by
// rendezvous hashing, so that VMs which know the same others choose the same.
func (t *Table) chooseKeepers(name string) []string {
	zones := t.leafZones(name)
	power := make(map[string]float64)
	if zones[t.zone] {
		power[t.self] = t.power
	}
	for _, v := range t.vms {
		if zones[v.Zone] {
			power[v.Name] = v.Power
		}
	}
	most := 0.0
	for _, p := range power {
		most = max(most, p)
	}
	names := []string{}
	for vm, p := range power {
		if p >= minKeeperPowerShare*most {
			names = append(names, vm)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(name, a), rank(name, b)), cmp.Compare(a, b))
	})
	return names[:min(len(names), maxKeepers)]
}

// SlotLeafs returns the leafs of a service that a keeper may name: those that take requests without
// reservation, as far as this VM knows.
func (t *Table) SlotLeafs(now time.Time, name string) []slotbook.Leaf {
	var list []slotbook.Leaf
	for _, l := range t.usableLeafs(name) {
		if l.available(now) && !l.isCold(now) && !l.halfOpen {
			list = append(list, slotbook.Leaf{LeafID: slotbook.LeafID(l.id), Zone: l.Zone, Slots: l.Slots})
		}
	}
	return list
}

// SlotRequest returns what a keeper has to know of a request, apart from its ID and draw. ok is false
// if the work of such requests is known to be too short for asking.
func (t *Table) SlotRequest(now time.Time, spec Spec) (req slotbook.Request, ok bool) {
	work, known := t.typicalDuration(now, durationKey{objective: spec.LatencyObjective})
	return slotbook.Request{
		Zone: t.zone, Work: work, MaxWait: time.Duration(leafWaitShare * float64(spec.LatencyObjective)),
		Ranked: t.urgency != nil, Rank: spec.Rank, Tenant: spec.Tenant,
	}, !known || work >= minKeptWork
}

// pickLeaf returns the leaf for an attempt on a shard: the one with the lowest cost, or for the first
// attempt the one that a keeper of slots has named. The advice is ignored if this VM knows better:
// the leaf has left or restarted, takes no requests, is cold, suspect or in cooldown, or has no
// capacity for this VM.
func (q *Query) pickLeaf(now time.Time, s *shard, leafs []*leaf, filter leafFilter) *leaf {
	if l := q.table.findLeaf(q.spec.Advised); l != nil && s.sends == 0 && slices.Contains(leafs, l) &&
		l.available(now) && !l.isCold(now) && q.table.mayTake(now, l) {
		return l
	}
	return q.table.pickLeaf(now, q.durationKey(), leafs, filter)
}

// SentAsAdvised reports whether an attempt was sent to the leaf that a keeper of slots has named.
func (q *Query) SentAsAdvised() bool {
	return slices.Contains(q.shards[0].tried, q.spec.Advised)
}
