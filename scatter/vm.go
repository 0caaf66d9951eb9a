package scatter

import (
	"cmp"
	"math"
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
// would not do for all of them, and each would be used too seldom to stay open.
const ownersPerLeaf = 4

// callWork is the processor time that a call to another VM costs the calling one, in
// requests to leafs.
const callWork = 3

// zoneVMs is the VMs of one zone, this one included, those of most power first, then in the
// order of their names. All VMs that know the same list divide the leafs alike.
//
// The leafs of a zone are divided into parts. The first VMs of the list own one part each, the
// next ones as well, until each part has ownersPerLeaf; a small zone has one part, which all of
// its VMs own.
type zoneVMs struct {
	list   []placedVM
	self   int // index of this VM, -1 in other zones
	parts  int
	owners int // VMs that own a part: the first ones of the list
}

// placedVM is a VM that has a place in its zone.
type placedVM struct {
	name  string
	power float64
}

// arrange orders the VMs of a zone and divides its leafs for requests to a number of its shards.
func (z *zoneVMs) arrange(self string, shards int) {
	slices.SortFunc(z.list, func(a, b placedVM) int {
		return cmp.Or(cmp.Compare(b.power, a.power), cmp.Compare(a.name, b.name))
	})
	z.self = slices.IndexFunc(z.list, func(v placedVM) bool { return v.name == self })
	z.parts = z.quickestParts(shards)
	z.owners = len(z.list)
	if len(z.list) >= 2*ownersPerLeaf {
		z.owners = z.parts * ownersPerLeaf
	}
}

// quickestParts returns the number of parts with which a request has its answers first. More
// parts are asked side by side, but each is a call, and the part of the weakest VM that leads
// one takes longest. Power, and with it the time of one request to a leaf, differs between VMs.
func (z *zoneVMs) quickestParts(shards int) int {
	most := len(z.list) / ownersPerLeaf
	if most <= 1 {
		return 1
	}
	caller := max(z.list[len(z.list)/2].power, leastPower)
	best, least := 1, math.Inf(1)
	for n := 1; n <= most; n++ {
		weakest := max(z.list[n-1].power, leastPower)
		took := float64(n)*callWork/caller + float64(shards)/float64(n)/weakest
		if took < least {
			best, least = n, took
		}
	}
	return best
}

// leastPower stands for the power of a VM that states none, in cores.
const leastPower = 0.01

// partOf returns the part of a zone that a service's leafs belong to.
func (z *zoneVMs) partOf(service string) int {
	return int(xxhash.Sum64String(service) % uint64(z.parts))
}

// owns reports whether this VM asks the leafs of a part.
func (z *zoneVMs) owns(part int) bool {
	return z.self >= 0 && z.self < z.owners && z.self%z.parts == part
}

// ownersOf returns the VMs that ask the leafs of a part, those of most power first.
func (z *zoneVMs) ownersOf(part int) []placedVM {
	var list []placedVM
	for i := part; i < z.owners; i += z.parts {
		list = append(list, z.list[i])
	}
	return list
}

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
		t.places[v.Name] = vmPlace{zone: v.Zone, power: v.Power, seen: now}
	}
	t.vms = next
	t.divide(now)
	t.listed = true
}

// vmPlace is where a VM stands, and when it was last listed.
type vmPlace struct {
	zone  string
	power float64
	seen  time.Time
}

// SetShards takes how many shards the widest request asks.
func (t *Table) SetShards(now time.Time, n int) {
	t.shards = n
	t.Rearrange(now)
}

// Rearrange divides the leafs anew if their number makes it necessary. It follows a batch of
// changes of the list of leafs.
func (t *Table) Rearrange(now time.Time) {
	if n := t.shardsOfZone(); n != t.perZone {
		t.perZone = n
		t.divide(now)
	}
}

// shardsOfZone is how many shards of the widest request have a leaf in one zone, taken that
// leafs are spread alike. Single leafs that come and go don't change it.
func (t *Table) shardsOfZone() int {
	zones := make(map[string]bool)
	services, leafs := 0, 0
	for _, s := range t.groups {
		if !s.shard || len(s.leafs) == 0 {
			continue
		}
		services++
		leafs += len(s.leafs)
		for _, l := range s.leafs {
			zones[l.Zone] = true
		}
	}
	if services == 0 {
		return t.shards
	}
	replicas := math.Round(float64(leafs) / float64(services))
	return int(math.Ceil(float64(t.shards) * min(replicas/float64(len(zones)), 1)))
}

// divide orders the VMs of each zone, those that left lately included.
func (t *Table) divide(now time.Time) {
	zones := map[string]*zoneVMs{t.zone: {list: []placedVM{{name: t.self, power: t.power}}}}
	for name, p := range t.places {
		if now.Sub(p.seen) > keepPlace {
			delete(t.places, name)
			continue
		}
		if zones[p.zone] == nil {
			zones[p.zone] = &zoneVMs{}
		}
		zones[p.zone].list = append(zones[p.zone].list, placedVM{name: name, power: p.power})
	}
	t.owners = 0
	for _, z := range zones {
		z.arrange(t.self, t.perZone)
		t.owners += (z.owners + z.parts - 1) / z.parts
	}
	t.zones = zones
	for _, s := range t.groups {
		t.shareConnections(s)
	}
}

// Parameters of the VMs that are called for a part.
const (
	// partnersPerPart is how many of the owners of a part a VM calls, as long as they answer.
	// Each VM has others, so that connections between VMs grow with the number of parts
	// rather than of VMs.
	partnersPerPart = 2
	// partnerPower is the part of the power of the strongest owner that another one must have
	// to be called beside it: a request waits for the slowest of its calls.
	partnerPower = 0.5
)

// partners returns the VMs that this one calls for a part of a zone, leaving out those
// that cool down or are under suspicion, and those named except.
func (t *Table) partners(now time.Time, p place, except []string) []*vm {
	z := t.zones[p.zone]
	if z == nil {
		return nil
	}
	var list []*vm
	for _, owner := range z.ownersOf(p.part) {
		v := t.vms[owner.name]
		if v == nil || slices.Contains(except, owner.name) || !v.asked(now) {
			continue
		}
		if len(list) > 0 && owner.power < partnerPower*list[0].Power {
			break
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *vm) int { return cmp.Compare(rank(t.self, a.Name), rank(t.self, b.Name)) })
	return list[:min(len(list), partnersPerPart)]
}

// pickVM chooses a VM to ask the leafs of a part of a zone, other than those named except: of
// two random partners, the one with fewer of this VM's calls for its power.
func (t *Table) pickVM(now time.Time, p place, except []string) *vm {
	list := t.partners(now, p, except)
	if len(list) == 0 {
		return nil
	}
	a, b := t.drawVM(list), t.drawVM(list)
	if float64(b.flying)*a.Power < float64(a.flying)*b.Power {
		return b
	}
	return a
}

// Numbers of the VMs of a zone that read the store for the others.
const (
	readersPerZone = 2
	// spareReaders follow the readers like all others, and are followed when these fail. If
	// each VM turned to the store instead, one that turns some VMs away, the readers of a
	// zone among them, would be called by the rest of the zone.
	spareReaders = 4
)

// Reading says who reads the store in this VM's zone.
type Reading struct {
	Self   bool // this VM does, for itself and for those that follow it
	Others []VM // that do or may do, and are asked, if this VM does not: the first one that works is followed
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
	before := slices.Index(names, t.self)
	if before < readersPerZone {
		return Reading{Self: true}
	}
	// Only those before this one, so that no two VMs follow each other.
	names = names[:min(before, readersPerZone+spareReaders)]
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
	zones := t.shardZones()
	for name, z := range t.zones {
		if !zones[name] {
			continue
		}
		for part := range z.parts {
			if z.owns(part) {
				continue
			}
			for _, v := range t.partners(now, place{zone: name, part: part}, nil) {
				list = append(list, v.VM)
			}
		}
	}
	return list
}

// shardZones returns the zones that have leafs of shards.
func (t *Table) shardZones() map[string]bool {
	zones := make(map[string]bool)
	for _, l := range t.leafs {
		if t.groups[l.Service].shard {
			zones[l.Zone] = true
		}
	}
	return zones
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
