package scatter

import "time"

// Parts of the floor of the budget. All VMs together may spend it once in a window, and
// none knows what the others spend.
const (
	// ownersFloorShare is the part of the floor that the owners of a shard divide among them,
	// where most arrivals at a shard are theirs. Divided by all VMs alike, a part of a
	// large fleet's floor is less than one arrival.
	ownersFloorShare = 0.5
	// firstWindowShare is the part of its share that a VM spends in its first window: an
	// earlier life of it may have spent the whole share in the same window. Both
	// together stay within the spare share, firstWindowShare <= spareVMs - 1.
	firstWindowShare = 0.25
)

// budget returns the budget of a service with this VM's present part of the floor.
func (t *Table) budget(now time.Time, name string) *budget {
	s := t.service(now, name)
	s.budget.floor = t.floorShare(now, name, s.shard)
	return s.budget
}

// floorShare returns this VM's part of the floor for a service. A VM that does not know yet
// how many others there are has none.
func (t *Table) floorShare(now time.Time, name string, shard bool) float64 {
	if !t.vmsKnown {
		return 0
	}
	vms := float64(len(t.members) + 1)
	share := 1 / vms
	if shard {
		share = (1-ownersFloorShare)/vms + ownersFloorShare*t.ownerShare(name)
	}
	share /= vmHeadroom
	if now.Sub(t.startedAt) < t.budgetConfig.Window {
		share *= firstWindowShare
	}
	return t.budgetConfig.Floor * share
}

// ownerShare is this VM's part of what the owners of a service divide among them by power, as
// calls are; 0 if it is none of them.
func (t *Table) ownerShare(name string) float64 {
	if !t.ownsService(name) {
		return 0
	}
	zones := t.leafZones(name)
	if len(zones) > 0 && !zones[t.zone] {
		return 0
	}
	all := 0.0
	for zone, z := range t.zones {
		if len(zones) > 0 && !zones[zone] {
			continue
		}
		for _, owner := range z.ownersOf(z.partitionOf(name)) {
			all += max(owner.power, minPower)
		}
	}
	return max(t.power, minPower) / all
}

// leafZones returns the zones of a service's leafs, none if no leaf is known.
func (t *Table) leafZones(name string) map[string]bool {
	s := t.services[name]
	if s == nil {
		return nil
	}
	zones := make(map[string]bool)
	for _, l := range s.leafs {
		zones[l.Zone] = true
	}
	return zones
}

// ownsService reports whether this VM owns the part of its zone that a service's leafs
// would belong to.
func (t *Table) ownsService(name string) bool {
	z := t.zones[t.zone]
	return z.owns(z.partitionOf(name))
}
