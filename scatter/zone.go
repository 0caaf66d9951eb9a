package scatter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ownersPerLeaf is the number of VMs of a zone that own a leaf, which means that they normally
// send requests to it. The leafs of a zone with fewer than twice as many VMs are not divided, and
// all of its VMs own all leafs. Fewer owners would be too few when some are lost. With more, a
// leaf would not accept enough connections for all owners, and each connection would be used too
// rarely to stay open.
const ownersPerLeaf = 4

// callCost is the processor time that a call to another VM costs the calling VM, as a multiple of
// the processor time of a request to a leaf.
const callCost = 3

// zoneMembers holds the VMs of one zone, this one included, ordered by descending power and
// then by name. All VMs that know the same list divide the leafs in the same way.
//
// The leafs of a zone are divided into partitions. The first VMs of the list own one partition
// each, and so do the next ones, until each partition has ownersPerLeaf owners. The VM with
// index i of the list owns partition i modulo the number of partitions. A small zone has one
// partition, which all of its VMs own.
type zoneMembers struct {
	ranked     []zoneMember // the VMs of the zone, by descending power and then by name
	self       int          // index of this VM in ranked, -1 in other zones
	partitions int          // number of leaf partitions
	owners     int          // number of VMs that own a partition: the first ones in ranked
}

// zoneMember is a VM of a zone.
type zoneMember struct {
	name  string
	power float64 // number of processor cores
}

// arrange orders the VMs of a zone and divides its leafs into partitions. self is the name of
// this VM, and shards the number of shards that a request queries in the zone.
func (z *zoneMembers) arrange(self string, shards int) {
	slices.SortFunc(z.ranked, func(a, b zoneMember) int {
		return cmp.Or(cmp.Compare(b.power, a.power), cmp.Compare(a.name, b.name))
	})
	z.self = slices.IndexFunc(z.ranked, func(v zoneMember) bool { return v.name == self })
	z.partitions = z.fastestPartitioning(shards)
	// All VMs of a small zone own its leafs. In a larger zone, each partition has ownersPerLeaf
	// owners, and the other VMs own none.
	z.owners = len(z.ranked)
	if len(z.ranked) >= 2*ownersPerLeaf {
		z.owners = z.partitions * ownersPerLeaf
	}
}

// fastestPartitioning returns the number of leaf partitions with which a request to the given
// number of shards is answered fastest. More partitions mean fewer shards for each of the VMs that
// are called in parallel, but each partition costs a call. VMs differ in power, and so in the time
// of one request to a leaf. The slowest partition is the one whose strongest owner has the least
// power.
func (z *zoneMembers) fastestPartitioning(shards int) int {
	maxPartitions := len(z.ranked) / ownersPerLeaf
	if maxPartitions <= 1 {
		return 1
	}
	// With n partitions, a caller of median power makes n calls. The slowest one is to the
	// strongest owner of the last partition, which sends a request for each of its shards.
	callerPower := max(z.ranked[len(z.ranked)/2].power, minPower)
	best, bestTime := 1, math.Inf(1)
	for n := 1; n <= maxPartitions; n++ {
		ownerPower := max(z.ranked[n-1].power, minPower)
		// took is the time for the calls, plus that for the shards of the slowest one. Its
		// unit is the time of one request to a leaf on one core.
		took := float64(n)*callCost/callerPower + float64(shards)/float64(n)/ownerPower
		if took < bestTime {
			best, bestTime = n, took
		}
	}
	return best
}

// minPower is the smallest power, in cores, that a VM is assumed to have. It also applies to a VM
// that reports none.
const minPower = 0.01

// partitionOf returns the number, from 0, of the zone's leaf partition to which the leafs of the
// named service belong. It is computed from the name, also if the zone has no such leaf.
func (z *zoneMembers) partitionOf(service string) int {
	return int(xxhash.Sum64String(service) % uint64(z.partitions))
}

// owns reports whether this VM owns the leaf partition with the given number. It does not if it
// is in another zone, or if the VMs before it in the zone's list suffice as owners.
func (z *zoneMembers) owns(partition int) bool {
	return z.self >= 0 && z.self < z.owners && z.self%z.partitions == partition
}

// ownersOf returns the VMs that own the leaf partition with the given number, in descending order
// of power.
func (z *zoneMembers) ownersOf(partition int) []zoneMember {
	var list []zoneMember
	for i := partition; i < z.owners; i += z.partitions {
		list = append(list, z.ranked[i])
	}
	return list
}

// SetMaxShards sets the number of shards of the gathered request that has the most.
func (t *Table) SetMaxShards(now time.Time, n int) {
	t.maxShards = n
	t.Repartition(now)
}

// Repartition updates the number of shards that a request queries in a zone. If it has changed,
// the leafs of all zones are divided into partitions again. Repartition has to be called after
// each batch of changes of the list of leafs.
func (t *Table) Repartition(now time.Time) {
	if n := t.countShardsPerZone(); n != t.shardsPerZone {
		t.shardsPerZone = n
		t.partitionZones(now)
	}
}

// countShardsPerZone returns how many shards of the gathered request with the most shards have a
// leaf in one zone. It assumes that leafs are spread evenly over the zones. It uses the rounded
// average number of leafs per shard, so that single leafs that are added or removed don't change
// the result.
func (t *Table) countShardsPerZone() int {
	zones := make(map[string]bool)
	services, leafs := 0, 0
	for _, s := range t.services {
		if !s.gatheredOnly || len(s.leafs) == 0 {
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
	// The probability that a shard has a leaf in a given zone is replicas / zones, at most 1.
	replicas := math.Round(float64(leafs) / float64(services))
	return int(math.Ceil(float64(t.maxShards) * min(replicas/float64(len(zones)), 1)))
}

// partitionZones divides the leafs of each zone into partitions that the zone's VMs own. VMs that
// left less than memberRetention ago still count. Then this VM's shares of the connections to
// leafs are set, which depend on the division.
func (t *Table) partitionZones(now time.Time) {
	zones := map[string]*zoneMembers{t.zone: {ranked: []zoneMember{{name: t.self, power: t.power}}}}
	for name, m := range t.members {
		if now.Sub(m.lastListed) > memberRetention {
			delete(t.members, name)
			continue
		}
		if zones[m.zone] == nil {
			zones[m.zone] = &zoneMembers{}
		}
		zones[m.zone].ranked = append(zones[m.zone].ranked, zoneMember{name: name, power: m.power})
	}
	t.leafOwners = 0
	for _, z := range zones {
		z.arrange(t.self, t.shardsPerZone)
		// The owners of one partition: the zone's owners divided by its partitions, rounded up.
		t.leafOwners += (z.owners + z.partitions - 1) / z.partitions
	}
	t.zones = zones
	for _, s := range t.services {
		t.shareConnections(s)
	}
}
