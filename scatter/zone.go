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

// callCost is the processor time that a call to another VM costs the calling one, in
// requests to leafs.
const callCost = 3

// zoneMembers is the VMs of one zone, this one included, those of most power first, then in the
// order of their names. All VMs that know the same list divide the leafs alike.
//
// The leafs of a zone are divided into parts. The first VMs of the list own one part each, the
// next ones as well, until each part has ownersPerLeaf; a small zone has one part, which all of
// its VMs own.
type zoneMembers struct {
	members    []zoneMember
	self       int // index of this VM, -1 in other zones
	partitions int
	owners     int // VMs that own a part: the first ones of the list
}

// zoneMember is a VM that has a place in its zone.
type zoneMember struct {
	name  string
	power float64
}

// arrange orders the VMs of a zone and divides its leafs for requests to a number of its shards.
func (z *zoneMembers) arrange(self string, shards int) {
	slices.SortFunc(z.members, func(a, b zoneMember) int {
		return cmp.Or(cmp.Compare(b.power, a.power), cmp.Compare(a.name, b.name))
	})
	z.self = slices.IndexFunc(z.members, func(v zoneMember) bool { return v.name == self })
	z.partitions = z.fastestPartitioning(shards)
	z.owners = len(z.members)
	if len(z.members) >= 2*ownersPerLeaf {
		z.owners = z.partitions * ownersPerLeaf
	}
}

// fastestPartitioning returns the number of parts with which a request has its answers first. More
// parts are asked side by side, but each is a call, and the part of the weakest VM that leads
// one takes longest. Power, and with it the time of one request to a leaf, differs between VMs.
func (z *zoneMembers) fastestPartitioning(shards int) int {
	most := len(z.members) / ownersPerLeaf
	if most <= 1 {
		return 1
	}
	caller := max(z.members[len(z.members)/2].power, minPower)
	best, least := 1, math.Inf(1)
	for n := 1; n <= most; n++ {
		weakest := max(z.members[n-1].power, minPower)
		took := float64(n)*callCost/caller + float64(shards)/float64(n)/weakest
		if took < least {
			best, least = n, took
		}
	}
	return best
}

// minPower stands for the power of a VM that states none, in cores.
const minPower = 0.01

// partitionOf returns the part of a zone that a service's leafs belong to.
func (z *zoneMembers) partitionOf(service string) int {
	return int(xxhash.Sum64String(service) % uint64(z.partitions))
}

// owns reports whether this VM asks the leafs of a part.
func (z *zoneMembers) owns(part int) bool {
	return z.self >= 0 && z.self < z.owners && z.self%z.partitions == part
}

// ownersOf returns the VMs that ask the leafs of a part, those of most power first.
func (z *zoneMembers) ownersOf(part int) []zoneMember {
	var list []zoneMember
	for i := part; i < z.owners; i += z.partitions {
		list = append(list, z.members[i])
	}
	return list
}

// SetMaxShards takes how many shards the widest request asks.
func (t *Table) SetMaxShards(now time.Time, n int) {
	t.maxShards = n
	t.Repartition(now)
}

// Repartition divides the leafs anew if their number makes it necessary. It follows a batch of
// changes of the list of leafs.
func (t *Table) Repartition(now time.Time) {
	if n := t.countShardsPerZone(); n != t.shardsPerZone {
		t.shardsPerZone = n
		t.partitionZones(now)
	}
}

// countShardsPerZone is how many shards of the widest request have a leaf in one zone, taken that
// leafs are spread alike. Single leafs that come and go don't change it.
func (t *Table) countShardsPerZone() int {
	zones := make(map[string]bool)
	services, leafs := 0, 0
	for _, s := range t.services {
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
		return t.maxShards
	}
	replicas := math.Round(float64(leafs) / float64(services))
	return int(math.Ceil(float64(t.maxShards) * min(replicas/float64(len(zones)), 1)))
}

// partitionZones orders the VMs of each zone, those that left lately included.
func (t *Table) partitionZones(now time.Time) {
	zones := map[string]*zoneMembers{t.zone: {members: []zoneMember{{name: t.self, power: t.power}}}}
	for name, p := range t.members {
		if now.Sub(p.seen) > memberRetention {
			delete(t.members, name)
			continue
		}
		if zones[p.zone] == nil {
			zones[p.zone] = &zoneMembers{}
		}
		zones[p.zone].members = append(zones[p.zone].members, zoneMember{name: name, power: p.power})
	}
	t.ownersPerLeaf = 0
	for _, z := range zones {
		z.arrange(t.self, t.shardsPerZone)
		t.ownersPerLeaf += (z.owners + z.partitions - 1) / z.partitions
	}
	t.zones = zones
	for _, s := range t.services {
		t.shareConnections(s)
	}
}
