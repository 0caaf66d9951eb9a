package scatter

import "time"

// The budget of a service allows extra arrivals, such as hedges and retries: a fixed ratio of the
// requests, plus the floor. The floor is a number of extra arrivals per window for all VMs
// together. No VM knows what the others spend, so each has a share of the floor.
const (
	// ownersFloorShare is the fraction, from 0 to 1, of the floor of a service's budget that
	// only the owners of the service divide among themselves. The owners are the VMs that
	// normally send requests to its leafs, and cause most arrivals there. All VMs divide the
	// remainder equally. If all VMs of a large fleet divided the whole floor equally, the
	// share of each would be less than one arrival. The fraction applies to services that
	// only gathered requests use.
	ownersFloorShare = 0.5
	// firstWindowShare limits what a VM may spend of the floor of a service's budget in the
	// first window after its process started, as a fraction of the VM's share of that floor.
	// The VM's previous process may have spent the whole share in the same window. Each
	// share is computed for more VMs than are known, by the factor vmHeadroom. That headroom
	// covers what the previous and the new process spend together as long as
	// firstWindowShare <= vmHeadroom - 1.
	firstWindowShare = 0.25
)

// budget returns this VM's budget for the named service. The budget allows extra arrivals, such as
// hedges and retries: a fixed ratio of the requests, plus this VM's share of the floor. The floor
// is a number of extra arrivals per window for all VMs together. Each call of budget first brings
// this VM's share up to date.
func (t *Table) budget(now time.Time, name string) *budget {
	s := t.service(now, name)
	s.budget.floor = t.floorShare(now, name, s.gatheredOnly)
	return s.budget
}

// floorShare returns this VM's share of the floor of the named service's budget, in extra arrivals
// (hedges and retries) per window. The budget allows a fixed ratio of the requests, plus the floor:
// a number of extra arrivals per window for all VMs together. gatheredOnly says that only gathered
// requests use the service. The service's owners then have a larger share than other VMs.
// A VM that does not yet know how many others there are has no share.
func (t *Table) floorShare(now time.Time, name string, gatheredOnly bool) float64 {
	if !t.vmsKnown {
		return 0
	}
	vms := float64(len(t.members) + 1)
	share := 1 / vms
	if gatheredOnly {
		share = (1-ownersFloorShare)/vms + ownersFloorShare*t.ownerShare(name)
	}
	// There may be more VMs than this one knows.
	share /= vmHeadroom
	if now.Sub(t.startedAt) < t.budgetConfig.Window {
		share *= firstWindowShare
	}
	return t.budgetConfig.Floor * share
}

// ownerShare returns this VM's fraction, from 0 to 1, of the part of the budget's floor that the
// owners of a service divide among themselves. It is 0 if this VM is not an owner. Owners divide
// that part in proportion to their power, as calls to them are divided. The owners are the VMs
// that own the service's leaf partition in any zone that has leafs of the service, or in any zone
// at all if no leaf is known.
func (t *Table) ownerShare(name string) float64 {
	if !t.ownsService(name) {
		return 0
	}
	zones := t.leafZones(name)
	if len(zones) > 0 && !zones[t.zone] {
		return 0
	}
	total := 0.0
	for zone, z := range t.zones {
		if len(zones) > 0 && !zones[zone] {
			continue
		}
		for _, owner := range z.ownersOf(z.partitionOf(name)) {
			total += max(owner.power, minPower)
		}
	}
	return max(t.power, minPower) / total
}

// leafZones returns the set of zones that have leafs of a service; it is empty if no leaf is
// known.
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

// ownsService reports whether this VM owns the leaf partition of its zone that the named
// service's leafs belong to. The partition is computed from the name, so the answer does not
// depend on whether the zone has such leafs.
func (t *Table) ownsService(name string) bool {
	z := t.zones[t.zone]
	return z.owns(z.partitionOf(name))
}
