package scatter

import (
	"maps"
	"slices"
	"time"
)

// Spilling: while the VMs of this zone are short of room, some gathered requests are served through
// the VMs of another zone that has room. See docs/design/spill.md.

// Parameters of spilling. The room of a zone is from 0 to 1, see package room.
const (
	// spillBelow is the room of this zone below which requests begin to go elsewhere. It is that
	// of VMs which use nine tenths of their nominal power.
	spillBelow = 0.7
	spillUntil = 0.9 // room of this zone from which none goes elsewhere any more
	// minTakerRoom is the least room of a zone that takes requests of another one. With a lower
	// one, two zones could push work to and fro.
	minTakerRoom = spillUntil
	// minSpillTime is the least time until a request's answer is due for which it may go to
	// another zone. The way there and back takes up to callRoundTrip.
	minSpillTime = 4 * callRoundTrip
)

// AllowSpill lets gathered requests go to other zones while this one is short of room. UseRoom has to
// be called before.
func (t *Table) AllowSpill() { t.rooms.maySpill = true }

// SetOwnRoom records the share of its nominal power that this VM can give to more work.
func (t *Table) SetOwnRoom(factor float64) {
	if t.rooms != nil {
		t.rooms.own = factor
	}
}

// zoneRoom returns the room of a zone, as told by those of its VMs that this one calls, and by this
// VM if it owns leafs of the zone, weighted by nominal power. It also returns the sum of these VMs'
// nominal power times their room, 0 if there are none. What this VM has observed of single VMs does
// not count: one late answer says nothing about a zone.
func (t *Table) zoneRoom(now time.Time, zone string) (room, power float64) {
	z := t.zones[zone]
	if z == nil {
		return 0, 0
	}
	nominal := 0.0
	if z.self >= 0 && z.self < z.owners {
		nominal, power = t.power, t.power*t.rooms.own
	}
	for partition := range z.partitions {
		if z.owns(partition) {
			continue
		}
		for _, v := range t.firstRanked(withPower(t.availableOwners(now, zonePartition{zone: zone, partition: partition}, nil))) {
			nominal += v.Power
			power += v.Power * v.toldRoom(now)
		}
	}
	if nominal == 0 {
		return 0, 0
	}
	return power / nominal, power
}

// spills reports whether the next gathered request is served through another zone. The share of
// requests that are grows as the room of this zone falls.
func (t *Table) spills(now time.Time) bool {
	home, power := t.zoneRoom(now, t.zone)
	limit := spillBelow
	if t.rooms.spilling {
		limit = spillUntil
	}
	t.rooms.spilling = power > 0 && home < limit
	return t.rooms.spilling && t.rng.Float64() >= home/spillUntil
}

// pickSpillZone returns one of the zones with room, drawn by power, room and weight; empty if there
// is none. weight returns 0 for a zone that can't serve the request.
func (t *Table) pickSpillZone(now time.Time, weight func(zone string) float64) string {
	total := 0.0
	weights := make(map[string]float64)
	for name := range t.zones {
		if room, power := t.zoneRoom(now, name); name != t.zone && room >= minTakerRoom {
			weights[name] = power * weight(name)
			total += weights[name]
		}
	}
	at := t.rng.Float64() * total
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		if at -= weights[name]; at < 0 {
			return name
		}
	}
	return ""
}

// spill moves shards of this zone to another zone that has room, if this one is short of it. local
// are the indexes of the shards with a leaf here; remote holds the zones of those without one. The
// moved shards are added to remote, and the others returned.
func (q *Query) spill(now time.Time, local []int, remote map[int][]string) []int {
	if q.table.rooms == nil || !q.table.rooms.maySpill || q.spec.AnswerBy.Sub(now) < minSpillTime || !q.table.spills(now) {
		return local
	}
	movable := q.movableShards(now, local)
	zone := q.table.pickSpillZone(now, func(zone string) float64 {
		if n := len(movable[zone]); n >= minDelegatedShards {
			return float64(n)
		}
		return 0
	})
	if zone == "" {
		return local
	}
	for _, i := range movable[zone] {
		remote[i] = []string{zone}
	}
	q.table.rooms.spilled++
	return slices.DeleteFunc(local, func(i int) bool { return slices.Contains(movable[zone], i) })
}

// movableShards returns, for each other zone, those of the given shards that have a leaf there which
// takes requests and is not cold, and a VM to call for it.
func (q *Query) movableShards(now time.Time, shards []int) map[string][]int {
	canCall := q.table.callableOwners(now)
	byZone := make(map[string][]int)
	for _, i := range shards {
		service := q.shards[i].service
		for _, l := range q.table.usableLeafs(service) {
			list := byZone[l.Zone]
			listed := len(list) > 0 && list[len(list)-1] == i
			if !listed && !l.sameZone && l.available(now) && !l.isCold(now) && canCall(l.Zone, service) {
				byZone[l.Zone] = append(list, i)
			}
		}
	}
	return byZone
}
