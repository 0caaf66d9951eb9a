package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// VM is another VM that can ask the leafs near it.
type VM struct {
	Name    string
	Zone    string
	Address string  // IP and port of its inner listener
	Power   float64 // processor, in cores
	Key     string  // that a caller of this VM must have; secret
}

type vm struct {
	VM
	cooldown cooldown
	flying   int
	suspect  suspicion
}

// asked reports whether requests may be sent to the VM.
func (v *vm) asked(now time.Time) bool { return !v.suspect.held && !v.cooldown.active(now) }

// ownersPerLeaf is how many VMs of a zone ask the same leafs, as long as the zone has
// as many. Fewer would be too few when some are lost. With more, a leaf's connections
// would not do for all of them, each would be used too seldom to stay open, and a
// request over many shards would cost one VM more processor time than there is before
// its aim.
const ownersPerLeaf = 4

// parts returns into how many parts the VMs of a zone divide its leafs.
func parts(vms int) int { return max(vms/ownersPerLeaf, 1) }

// zoneVMs is the VMs of one zone, this one included, in the order of their names. All
// VMs that know the same list divide the leafs alike.
type zoneVMs struct {
	names []string
	self  int // index of this VM, -1 in other zones
}

func (z *zoneVMs) parts() int { return parts(len(z.names)) }

// partOf returns the part of a zone that a service's leafs belong to.
func (z *zoneVMs) partOf(service string) int {
	return int(xxhash.Sum64String(service) % uint64(z.parts()))
}

// owns reports whether this VM asks the leafs of a part.
func (z *zoneVMs) owns(part int) bool { return z.self >= 0 && z.self%z.parts() == part }

// keepPlace is how long a VM that left keeps its place among those that divide the
// leafs of its zone. Most come back within seconds under their old name. Without it
// nearly every VM would get another part at each restart of one, and open connections
// to other leafs while the zone is short of VMs anyway.
const keepPlace = 20 * time.Second

// SetVMs takes the other VMs. Those that stay keep what is known of them.
func (t *Table) SetVMs(now time.Time, others []VM) {
	next := make(map[string]*vm, len(others))
	for _, v := range others {
		known := t.vms[v.Name]
		if known == nil || known.VM != v {
			known = &vm{VM: v}
		}
		next[v.Name] = known
		t.places[v.Name] = vmPlace{zone: v.Zone, seen: now}
	}
	t.vms = next
	t.divide(now)
	t.listed = true
	for _, s := range t.groups {
		t.shareConnections(s)
	}
}

// vmPlace is where a VM stands, and when it was last listed.
type vmPlace struct {
	zone string
	seen time.Time
}

// divide orders the VMs of each zone, those that left lately included.
func (t *Table) divide(now time.Time) {
	zones := map[string]*zoneVMs{t.zone: {names: []string{t.self}}}
	for name, p := range t.places {
		if now.Sub(p.seen) > keepPlace {
			delete(t.places, name)
			continue
		}
		if zones[p.zone] == nil {
			zones[p.zone] = &zoneVMs{}
		}
		zones[p.zone].names = append(zones[p.zone].names, name)
	}
	t.owners = 0
	for _, z := range zones {
		slices.Sort(z.names)
		z.self = slices.Index(z.names, t.self)
		t.owners += (len(z.names) + z.parts() - 1) / z.parts()
	}
	t.zones = zones
}

// partnersPerPart is how many of the owners of a part a VM calls, as long as they answer.
// Each VM has others, so that connections between VMs grow with the number of parts
// rather than of VMs.
const partnersPerPart = 2

// partners returns the VMs that this one calls for a part of a zone, leaving out those
// that cool down or are under suspicion.
func (t *Table) partners(now time.Time, zone string, part int) []*vm {
	z := t.zones[zone]
	if z == nil {
		return nil
	}
	var list []*vm
	for i := part; i < len(z.names); i += z.parts() {
		if v := t.vms[z.names[i]]; v != nil && v.asked(now) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b *vm) int { return cmp.Compare(rank(t.self, a.Name), rank(t.self, b.Name)) })
	return list[:min(len(list), partnersPerPart)]
}

// pickVM chooses a VM to ask the leafs of a part of a zone: of two random partners, the
// one with fewer of this VM's calls for its power.
func (t *Table) pickVM(now time.Time, zone string, part int) *vm {
	list := t.partners(now, zone, part)
	if len(list) == 0 {
		return nil
	}
	a, b := t.drawVM(list), t.drawVM(list)
	if float64(b.flying)*a.Power < float64(a.flying)*b.Power {
		return b
	}
	return a
}

// readersPerZone is how many VMs of a zone read the store for the others.
const readersPerZone = 2

// Reading says who reads the store in this VM's zone.
type Reading struct {
	Self   bool // this VM does, for itself and for those that follow it
	Others []VM // that do and are asked, if this VM does not
}

// Reading returns who reads the store in this zone. All VMs that know the same list
// choose alike.
func (t *Table) Reading(now time.Time) Reading {
	names := []string{t.self}
	for name, v := range t.vms {
		if v.Zone == t.zone {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank("readers", a), rank("readers", b)) })
	names = names[:min(len(names), readersPerZone)]
	if slices.Contains(names, t.self) {
		return Reading{Self: true}
	}
	var r Reading
	for _, name := range names {
		if v := t.vms[name]; v != nil && v.asked(now) {
			r.Others = append(r.Others, v.VM)
		}
	}
	return r
}

// Partners returns all VMs that this one calls, so that connections to them can be
// opened before they are needed.
func (t *Table) Partners(now time.Time) []VM {
	var list []VM
	for name, z := range t.zones {
		for part := range z.parts() {
			if z.owns(part) {
				continue
			}
			for _, v := range t.partners(now, name, part) {
				list = append(list, v.VM)
			}
		}
	}
	return list
}

// drawVM draws a VM by its power.
func (t *Table) drawVM(list []*vm) *vm {
	total := 0.0
	for _, v := range list {
		total += v.Power
	}
	at := t.rng.Float64() * total
	for _, v := range list {
		if at -= v.Power; at < 0 {
			return v
		}
	}
	return list[len(list)-1]
}

// EndedAtVM takes the end of a call to another VM, also long after the query.
func (t *Table) EndedAtVM(now time.Time, name string, end End) {
	v := t.vms[name]
	if v == nil {
		return
	}
	v.flying = max(v.flying-1, 0)
	switch end {
	case EndAnswered:
		v.cooldown.answered()
	case EndUnreachable:
		v.cooldown.unreachable(now)
		v.suspect.hold(now)
	default:
		v.suspect.hold(now)
		t.liveness.raise(now)
	}
}
