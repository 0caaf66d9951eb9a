package scatter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

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
