package scatter

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/room"
)

// An owner of a leaf partition that has enough nominal power is left out for lack of room while its
// present power, as a share of that of the owner that has most, is small. The two shares differ, so
// that work isn't pushed to and fro between owners.
const (
	leavePowerShare  = 0.3 // share below which an owner is left out
	rejoinPowerShare = 0.5 // share from which it is called again
)

// rooms is what this VM knows of the room of others, apart from the belief about each, and how its
// choices have used it.
type rooms struct {
	ackTimes    room.Usual                    // times until VMs acknowledged a call
	answerTimes map[time.Duration]*room.Usual // by latency objective: times until VMs first answered a call
	maySpill    bool                          // requests may go to other zones for lack of room
	own         float64                       // room of this VM itself
	spilling    bool                          // this zone is short of room
	shifted     int                           // see RoomStats
	damped      int                           // see RoomStats
	spilled     int                           // see RoomStats
}

// UseRoom makes this VM choose others by their room instead of their nominal power.
func (t *Table) UseRoom() { t.rooms = &rooms{own: 1, answerTimes: make(map[time.Duration]*room.Usual)} }

// RoomTold records what the named VM told of its room, and the age that it states of its reading.
func (t *Table) RoomTold(now time.Time, name string, s room.State, age time.Duration) {
	if b := t.beliefOf(name); b != nil && b.Tell(now, s, age) {
		t.rooms.damped++
	}
}

// CallAcknowledged records how long the named VM took to acknowledge a call.
func (t *Table) CallAcknowledged(now time.Time, name string, took time.Duration) {
	if b := t.beliefOf(name); b != nil {
		observe(now, b, &t.rooms.ackTimes, took)
	}
}

// CallAnswered records how long the named VM took until its first answer that includes shards, or
// its last one, to a call of a request with the given latency objective.
func (t *Table) CallAnswered(now time.Time, name string, objective, took time.Duration) {
	b := t.beliefOf(name)
	if b == nil {
		return
	}
	usual := t.rooms.answerTimes[objective]
	if usual == nil {
		usual = &room.Usual{}
		t.rooms.answerTimes[objective] = usual
	}
	observe(now, b, usual, took)
}

// observe compares the time that a VM took with the usual one, and adds it to those.
func observe(now time.Time, b *room.Belief, usual *room.Usual, took time.Duration) {
	if median, ok := usual.Median(); ok {
		b.Observe(now, took, median)
	}
	usual.Add(took)
}

// beliefOf returns the belief about the named VM, for a change. It is nil if the VM is not listed
// or room is not used.
func (t *Table) beliefOf(name string) *room.Belief {
	v := t.vms[name]
	if v == nil || t.rooms == nil {
		return nil
	}
	if v.belief == nil {
		v.belief = &room.Belief{}
	}
	return v.belief
}

// room returns the believed share of the VM's nominal power that it has for more work. It is 1 if
// nothing was heard of the VM for long.
func (v *vm) room(now time.Time) float64 {
	if v.belief == nil {
		return 1
	}
	return v.belief.Factor(now)
}

// toldRoom returns the share of the VM's nominal power that it has told to have for more work. It is
// 1 if it has told nothing for long.
func (v *vm) toldRoom(now time.Time) float64 {
	if v.belief == nil {
		return 1
	}
	return v.belief.Told(now)
}

// presentPower returns the VM's nominal power times its believed room, in cores.
func (v *vm) presentPower(now time.Time) float64 { return v.Power * v.room(now) }

// withRoom returns those of the owners of a leaf partition, in descending order of power, that have
// enough power by their room. With equal room these are the same as those of withPower. An owner
// with enough nominal power is left out only below leavePowerShare. One with less is called while it
// has enough compared with the present power of the others. all is true if no owner was excepted, so
// that the choice is remembered: an owner that is left out returns only with rejoinPowerShare.
func withRoom(now time.Time, owners []*vm, all bool) []*vm {
	mostPower, mostRoom := 0.0, 0.0
	for _, v := range owners {
		mostPower, mostRoom = max(mostPower, v.presentPower(now)), max(mostRoom, v.room(now))
	}
	var list []*vm
	for _, v := range owners {
		if v.Power < minDelegatePowerShare*owners[0].Power {
			if v.presentPower(now) >= minDelegatePowerShare*mostPower {
				list = append(list, v)
			}
			continue
		}
		share := leavePowerShare
		if v.leftOut {
			share = rejoinPowerShare
		}
		enough := v.presentPower(now) >= share*mostPower || v.room(now) >= share*mostRoom
		if all {
			v.leftOut = !enough
		}
		if enough {
			list = append(list, v)
		}
	}
	return list
}

// RoomStats describes what this VM believes of the room of others.
type RoomStats struct {
	Believed int     // VMs of which something was heard lately
	LeftOut  int     // owners of partitions that are not called for lack of room
	Lowest   float64 // lowest believed room, 1 if there is none
	Shifted  int     // choices so far of a VM that would not have been chosen by nominal power
	Damped   int     // told states so far that were believed only in part
	Spilled  int     // gathered requests so far that were served through another zone for lack of room
	Home     float64 // believed room of this VM's zone
	Spilling bool    // this VM's zone counts as short of room
}

// RoomStats returns what this VM believes of the room of others, and drops beliefs that are too
// old to matter.
func (t *Table) RoomStats(now time.Time) RoomStats {
	stats := RoomStats{Lowest: 1}
	if t.rooms == nil {
		return stats
	}
	stats.Shifted, stats.Damped, stats.Spilled = t.rooms.shifted, t.rooms.damped, t.rooms.spilled
	stats.Spilling = t.rooms.spilling
	stats.Home, _ = t.zoneRoom(now, t.zone)
	for _, v := range t.vms {
		if v.belief == nil {
			continue
		}
		if v.belief.Expired(now) {
			v.belief, v.leftOut = nil, false
			continue
		}
		stats.Believed++
		stats.Lowest = min(stats.Lowest, v.room(now))
		if v.leftOut {
			stats.LeftOut++
		}
	}
	return stats
}

// PickTaker returns the VM that a request may be handed over to, if this one is short of room and can
// give the share factor of its nominal power to more work. Only VMs that this one calls anyway and for
// which connected is true are considered, and those of other zones only if there is none in this
// one. One of those with room is drawn by power and room, so that the VMs of a zone that are short of
// room don't all choose the same.
func (t *Table) PickTaker(now time.Time, factor float64, connected func(VM) bool) (VM, bool) {
	if t.rooms == nil {
		return VM{}, false
	}
	list := t.takers(now, t.zone, factor, connected)
	if len(list) == 0 {
		for _, zone := range slices.Sorted(maps.Keys(t.zones)) {
			if zone != t.zone {
				list = append(list, t.takers(now, zone, factor, connected)...)
			}
		}
	}
	if len(list) == 0 {
		return VM{}, false
	}
	return t.drawByPower(now, list).VM, true
}

// takers returns the VMs of a zone that a request may be handed over to, see PickTaker.
func (t *Table) takers(now time.Time, zone string, factor float64, connected func(VM) bool) []*vm {
	var list []*vm
	for partition := range t.zones[zone].partitions {
		for _, v := range t.delegates(now, zonePartition{zone: zone, partition: partition}, nil) {
			if room.MayTake(v.room(now), v.presentPower(now), factor*t.power) && connected(v.VM) {
				list = append(list, v)
			}
		}
	}
	return list
}
