package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/room"
)

// VM is one of the VMs that serve requests. Other VMs call it to query the leafs near it.
type VM struct {
	Name    string
	Zone    string  // availability zone
	Address string  // IP and port of its internal listener
	Power   float64 // number of processor cores
	Key     string  // secret that a caller of this VM must present
}

// vm is what this VM knows of another VM.
type vm struct {
	VM
	cooldown  cooldown     // after failures, keeps calls away for a while
	inFlight  int          // calls of this VM to it that have not ended
	suspicion suspicion    // after silence, keeps calls away until a probe shows that the VM is alive
	belief    *room.Belief // its believed room; nil if nothing was heard of it
	leftOut   bool         // for lack of room, this VM doesn't call it for a leaf partition that it owns
}

// available reports whether calls may be sent to the VM: it is neither suspect nor in cooldown.
func (v *vm) available(now time.Time) bool { return !v.suspicion.raised && !v.cooldown.active(now) }

// memberRetention is how long a VM that is no longer listed remains a member of its zone. The
// leafs of a zone are divided into partitions among its members. After a restart, most VMs return
// within seconds under their old name. Without the retention, each restart of a VM would assign
// another partition to nearly every other VM. They would have to open connections to other leafs
// while the zone is short of VMs anyway.
const memberRetention = 20 * time.Second

// VMs returns the other VMs that are listed now, in no order.
func (t *Table) VMs() []VM {
	list := make([]VM, 0, len(t.vms))
	for _, v := range t.vms {
		list = append(list, v.VM)
	}
	return list
}

// SetVMs sets the list of the other VMs, and divides the leafs of each zone among its VMs. What
// is known of VMs that stay unchanged is kept.
func (t *Table) SetVMs(now time.Time, others []VM) {
	next := make(map[string]*vm, len(others))
	for _, v := range others {
		known := t.vms[v.Name]
		if known == nil || known.VM != v {
			known = &vm{VM: v}
		}
		next[v.Name] = known
		t.members[v.Name] = memberInfo{zone: v.Zone, power: v.Power, lastListed: now}
	}
	t.vms = next
	t.forgetLostZones()
	t.partitionZones(now)
	t.endHandovers(now)
	t.vmsKnown = true
}

// memberInfo is what is known of a VM that is a member of a zone. A VM is a member while it is
// listed, and for memberRetention after that.
type memberInfo struct {
	zone       string
	power      float64   // number of processor cores
	lastListed time.Time // when it was last listed
}

// Parameters of the choice of VMs that this one calls for a leaf partition, among the VMs that
// own it.
const (
	// delegatesPerPartition is how many of the owners of a leaf partition one VM calls, as
	// long as they answer. Different VMs call different owners. A VM therefore has a number
	// of connections to other VMs that grows with the number of partitions, and not with the
	// number of VMs.
	delegatesPerPartition = 2
	// minDelegatePowerShare is the smallest power, in processor cores, of a leaf partition's
	// owner that is called, as a share of the power of the strongest owner that may be
	// called. Weaker owners are not called, since a request waits for the slowest of its
	// calls.
	minDelegatePowerShare = 0.5
)

// delegates returns the VMs that this one calls for a leaf partition: up to delegatesPerPartition of
// its owners. There are none in a zone that counts as lost. Owners in cooldown or under suspicion,
// those named in except, and those with too little power are left out. If room is used, power
// counts only as far as a VM has room for more work.
func (t *Table) delegates(now time.Time, p zonePartition, except []string) []*vm {
	owners := t.availableOwners(now, p, except)
	if t.rooms != nil {
		return t.firstRanked(withRoom(now, owners, len(except) == 0))
	}
	return t.firstRanked(withPower(owners))
}

// availableOwners returns the owners of a leaf partition that may be called, in descending order of
// power, without those named in except.
func (t *Table) availableOwners(now time.Time, p zonePartition, except []string) []*vm {
	z := t.zones[p.zone]
	if z == nil || t.zoneLost(p.zone) {
		return nil
	}
	var list []*vm
	for _, owner := range t.ownersOrStandIn(now, p) {
		v := t.vms[owner.name]
		if v != nil && !slices.Contains(except, owner.name) && v.available(now) {
			list = append(list, v)
		}
	}
	return list
}

// withPower returns those of the owners of a leaf partition, in descending order of power, that
// have enough nominal power.
func withPower(owners []*vm) []*vm {
	weak := slices.IndexFunc(owners, func(v *vm) bool { return v.Power < minDelegatePowerShare*owners[0].Power })
	if weak < 0 {
		return owners
	}
	return owners[:weak:weak]
}

// firstRanked returns up to delegatesPerPartition of the given VMs, those that come first in the
// order of this VM.
func (t *Table) firstRanked(list []*vm) []*vm {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b *vm) int { return cmp.Compare(rank(t.self, a.Name), rank(t.self, b.Name)) })
	return list[:min(len(list), delegatesPerPartition)]
}

// pickVM returns the VM to call for a leaf partition, or nil if there is none. VMs named in
// except are left out. Of the VMs that delegates returns, two are drawn at random, possibly the
// same. The one with fewer of this VM's calls in flight, relative to its power and room, is picked.
func (t *Table) pickVM(now time.Time, p zonePartition, except []string) *vm {
	list := t.delegates(now, p, except)
	if len(list) == 0 {
		return nil
	}
	a, b := t.drawByPower(now, list), t.drawByPower(now, list)
	// This compares b.inFlight relative to its power with a.inFlight relative to its own, without
	// a division.
	if float64(b.inFlight)*a.presentPower(now) < float64(a.inFlight)*b.presentPower(now) {
		a = b
	}
	if t.rooms != nil && !slices.Contains(t.firstRanked(withPower(t.availableOwners(now, p, except))), a) {
		t.rooms.shifted++
	}
	return a
}

// callableOwners returns a function that reports whether a VM of a zone can be called for a
// service. It remembers its results, so it is to be used only at the time now.
func (t *Table) callableOwners(now time.Time) func(zone, service string) bool {
	known := make(map[zonePartition]bool)
	return func(zone, service string) bool {
		z := t.zones[zone]
		if z == nil {
			return false
		}
		p := zonePartition{zone: zone, partition: z.partitionOf(service)}
		callable, ok := known[p]
		if !ok {
			callable = len(t.delegates(now, p, nil)) > 0
			known[p] = callable
		}
		return callable
	}
}

// Delegates returns all VMs that this one calls so that they query leafs for it. Connections to
// them can thus be opened before they are needed.
func (t *Table) Delegates(now time.Time) []VM {
	var list []VM
	zones := t.shardZones()
	for name, z := range t.zones {
		if !zones[name] {
			continue
		}
		for partition := range z.partitions {
			if z.owns(partition) {
				continue
			}
			for _, v := range t.delegates(now, zonePartition{zone: name, partition: partition}, nil) {
				list = append(list, v.VM)
			}
		}
	}
	return list
}

// shardZones returns the set of zones that have leafs of services used by gathered requests only.
func (t *Table) shardZones() map[string]bool {
	zones := make(map[string]bool)
	for _, l := range t.leafs {
		if t.services[l.Service].gatheredOnly {
			zones[l.Zone] = true
		}
	}
	return zones
}

// drawByPower returns a random VM of the list, with a probability in proportion to its power and
// room.
func (t *Table) drawByPower(now time.Time, list []*vm) *vm {
	total := 0.0
	for _, v := range list {
		total += v.presentPower(now)
	}
	// at is a random point in a row of intervals, one for each VM, as long as its present power.
	at := t.rng.Float64() * total
	for _, v := range list {
		if at -= v.presentPower(now); at < 0 {
			return v
		}
	}
	return list[len(list)-1]
}

// CallEnded records how a call to the named VM ended. It may be called long after the query
// ended. A VM that could not be reached or did not answer becomes suspect. If it was reached but
// did not answer, a liveness check of all VMs that this one calls is requested too.
func (t *Table) CallEnded(now time.Time, name string, end End) {
	v := t.vms[name]
	if v == nil {
		return
	}
	v.inFlight = max(v.inFlight-1, 0)
	switch end {
	case EndAnswered:
		v.cooldown.recordAnswer()
	case EndUnreachable:
		v.cooldown.recordUnreachable(now)
		v.suspicion.raise(now)
	default:
		v.suspicion.raise(now)
		t.liveness.request(now)
	}
}
