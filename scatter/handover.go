package scatter

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// Handing over leaf partitions. A VM that is about to stop names a successor for the partitions
// through which other VMs query shards, if the owners that are left are much weaker. The successor
// stands in until the owner returns. Partitions are not divided anew.

const (
	// minSuccessorShare is the smallest power of a VM that can stand in for this one, as a share
	// of this VM's power.
	minSuccessorShare = 0.5
	// maxSuccessors is how many VMs are asked to stand in, one after another.
	maxSuccessors = 3
	// maxHandedLeafs bounds the leafs that a hand-over describes.
	maxHandedLeafs = 512
)

// Partition identifies one leaf partition of a zone in messages between VMs.
type Partition struct {
	Zone   string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"` // from 0
	Count  int    `cbor:"3,keyasint"` // number of partitions into which the zone's leafs are divided
}

// HandedLeaf is what a VM knows of one leaf.
type HandedLeaf struct {
	ID       string  `cbor:"1,keyasint"` // see LeafID
	Born     int64   `cbor:"2,keyasint"`
	Reported float64 `cbor:"3,keyasint"` // slowdown of the leaf's machine, as it reports it
	Excess   float64 `cbor:"4,keyasint"` // duration of answers, as a multiple of the one expected with that slowdown
	Others   float64 `cbor:"5,keyasint"` // requests of other VMs that it runs or queues
	Failing  float64 `cbor:"6,keyasint"` // share of requests that fail
}

// HandedTime is the leaf time of one kind of gathered request.
type HandedTime struct {
	ObjectiveUS int64 `cbor:"1,keyasint"` // latency objective, in microseconds
	LeafTimeUS  int64 `cbor:"2,keyasint"` // in microseconds
}

// Handover is what a VM tells the one that serves its partitions from now on.
type Handover struct {
	From       string       `cbor:"1,keyasint"` // name of the VM that hands over
	Partitions []Partition  `cbor:"2,keyasint"`
	Leafs      []HandedLeaf `cbor:"3,keyasint"` // leafs of these partitions, at most maxHandedLeafs
	Times      []HandedTime `cbor:"4,keyasint"`
}

// ErrOtherDivision means that a VM hands over a partition that does not exist here: the two VMs know
// different members of a zone.
var ErrOtherDivision = errors.New("scatter: leafs of the zone are divided into other partitions")

// standIn is a VM that serves a partition in place of an owner.
type standIn struct {
	owner string    // name of the VM that handed over
	name  string    // name of the successor
	count int       // number of the zone's partitions then; with another one, the numbers mean others
	since time.Time // when the hand-over became known
	left  bool      // the owner was missing from the list of VMs since
}

// newStandIn returns a hand-over of a partition from owner to the VM with the given name.
func (t *Table) newStandIn(now time.Time, p zonePartition, owner, name string) *standIn {
	return &standIn{owner: owner, name: name, count: t.zones[p.zone].partitions, since: now, left: t.vms[owner] == nil}
}

// standInFor returns the hand-over of a partition, nil if there is none. One that has become void is
// ignored: the zone is divided otherwise now, or the owner has not left.
func (t *Table) standInFor(now time.Time, p zonePartition) *standIn {
	s, z := t.standIns[p], t.zones[p.zone]
	if s == nil || z == nil || z.partitions != s.count || !s.left && now.Sub(s.since) > memberRetention {
		return nil
	}
	return s
}

// servedPartitions returns the partitions that this VM serves: the one that it owns and those that it
// stands in for.
func (t *Table) servedPartitions() []zonePartition {
	var list []zonePartition
	if z := t.zones[t.zone]; z.self >= 0 && z.self < z.owners {
		list = append(list, zonePartition{zone: t.zone, partition: z.self % z.partitions})
	}
	for p := range t.standIns {
		if t.serves(p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, compareZonePartitions)
	return slices.Compact(list)
}

// serves reports whether this VM owns a partition or stands in for an owner.
func (t *Table) serves(p zonePartition) bool {
	z := t.zones[p.zone]
	if z == nil {
		return false
	}
	s := t.standIns[p]
	return z.owns(p.partition) || s != nil && s.name == t.self && s.count == z.partitions
}

// servesLeaf reports whether this VM serves the partition of a leaf.
func (t *Table) servesLeaf(l *leaf) bool {
	z := t.zones[l.Zone]
	return z != nil && t.serves(zonePartition{zone: l.Zone, partition: z.partitionOf(l.Service)})
}

// servesService reports whether this VM serves the partition of a service's leafs in any zone.
func (t *Table) servesService(name string) bool {
	if t.ownsService(name) || len(t.standIns) == 0 {
		return t.ownsService(name)
	}
	for zone, z := range t.zones {
		if t.serves(zonePartition{zone: zone, partition: z.partitionOf(name)}) {
			return true
		}
	}
	return false
}

// ownersOrStandIn returns the owners of a partition, in descending order of power. While a VM
// stands in for one of them and can be called, it is among them in that one's place.
func (t *Table) ownersOrStandIn(now time.Time, p zonePartition) []zoneMember {
	owners := t.zones[p.zone].ownersOf(p.partition)
	s := t.standInFor(now, p)
	if s == nil {
		return owners
	}
	v := t.vms[s.name]
	if v == nil || !v.available(now) {
		return owners
	}
	owners = slices.DeleteFunc(owners, func(m zoneMember) bool { return m.name == s.owner || m.name == s.name })
	owners = append(owners, zoneMember{name: v.Name, power: v.Power})
	slices.SortStableFunc(owners, func(a, b zoneMember) int { return cmp.Compare(b.power, a.power) })
	return owners
}

// strongestOther returns the greatest power of the other VMs that can be called for a partition,
// 0 if there are none.
func (t *Table) strongestOther(now time.Time, p zonePartition) float64 {
	power := 0.0
	for _, v := range t.delegates(now, p, nil) {
		power = max(power, v.Power)
	}
	return power
}

// IsNeeded reports whether a partition that this VM serves would be left to much weaker VMs without
// it. In a small zone, all VMs own its leafs, and none is needed.
func (t *Table) IsNeeded(now time.Time) bool {
	return slices.ContainsFunc(t.servedPartitions(), func(p zonePartition) bool {
		z := t.zones[p.zone]
		return z.owners < len(z.ranked) && t.strongestOther(now, p) < minSuccessorShare*t.power
	})
}

// IsServedByOthers reports whether other VMs can be called for each partition that this VM serves.
func (t *Table) IsServedByOthers(now time.Time) bool {
	return !slices.ContainsFunc(t.servedPartitions(), func(p zonePartition) bool { return t.strongestOther(now, p) == 0 })
}

// Successors returns the VMs to ask in turn to stand in for this one when it stops. There are none
// if it is not needed.
func (t *Table) Successors(now time.Time) []VM {
	if !t.IsNeeded(now) {
		return nil
	}
	var list []*vm
	for _, v := range t.vms {
		if v.available(now) && v.Power >= minSuccessorShare*t.power && !t.isLeaving(v.Name) {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		for _, p := range t.servedPartitions() {
			list = append(list, t.delegates(now, p, nil)...)
		}
	}
	load := func(v *vm) float64 { return float64(v.inFlight) / max(v.Power, minPower) }
	slices.SortFunc(list, func(a, b *vm) int {
		return cmp.Or(
			cmpBool(a.Zone == t.zone, b.Zone == t.zone), cmp.Compare(b.Power, a.Power),
			cmp.Compare(load(a), load(b)), cmp.Compare(rank(t.self, a.Name), rank(t.self, b.Name)))
	})
	list = slices.Compact(list)
	var successors []VM
	for _, v := range list[:min(len(list), maxSuccessors)] {
		successors = append(successors, v.VM)
	}
	return successors
}

// isLeaving reports whether a VM has handed its partitions over.
func (t *Table) isLeaving(name string) bool {
	for _, s := range t.standIns {
		if s.owner == name {
			return true
		}
	}
	return false
}

// Handover returns what this VM tells the one that serves its partitions from now on.
func (t *Table) Handover(now time.Time) Handover {
	return t.describe(now, t.servedPartitions())
}

// describe returns what this VM knows of some partitions.
func (t *Table) describe(now time.Time, partitions []zonePartition) Handover {
	h := Handover{From: t.self}
	for _, p := range partitions {
		h.Partitions = append(h.Partitions, Partition{Zone: p.zone, Number: p.partition, Count: t.zones[p.zone].partitions})
	}
	for _, l := range t.leafs {
		z := t.zones[l.Zone]
		if len(h.Leafs) == maxHandedLeafs {
			break
		}
		if z == nil || !slices.Contains(partitions, zonePartition{zone: l.Zone, partition: z.partitionOf(l.Service)}) {
			continue
		}
		h.Leafs = append(h.Leafs, HandedLeaf{
			ID: l.id.ID, Born: l.id.Born, Reported: l.slowdown.reportedFactor(now), Excess: l.slowdown.excessFactor(now),
			Others: l.othersRemaining(now, l.expected(now, l.typicalWork)), Failing: l.failures.current(now),
		})
	}
	for kind, f := range t.forecasts {
		if d, known := f.measured(now); known && kind.gathered {
			h.Times = append(h.Times, HandedTime{ObjectiveUS: kind.objective.Microseconds(), LeafTimeUS: d.Microseconds()})
		}
	}
	return h
}

// AcceptHandover makes this VM stand in for the one that hands over, unless it is an owner itself, and
// adopts what it does not know better. It returns the leafs to which connections should be opened.
// The error is ErrOtherDivision if a partition does not exist here.
func (t *Table) AcceptHandover(now time.Time, h Handover) ([]registry.Leaf, error) {
	var accepted []zonePartition
	for _, p := range h.Partitions {
		z := t.zones[p.Zone]
		if z == nil || z.partitions != p.Count || p.Number < 0 || p.Number >= p.Count {
			return nil, ErrOtherDivision
		}
		accepted = append(accepted, zonePartition{zone: p.Zone, partition: p.Number})
	}
	for _, p := range accepted {
		if !t.zones[p.zone].owns(p.partition) {
			t.standIns[p] = t.newStandIn(now, p, h.From, t.self)
		}
	}
	for _, s := range t.services {
		t.shareConnections(s)
	}
	for _, known := range h.Leafs[:min(len(h.Leafs), maxHandedLeafs)] {
		if l := t.findLeaf(LeafID{ID: known.ID, Born: known.Born}); l != nil {
			l.adopt(now, known)
		}
	}
	for _, d := range h.Times {
		kind := durationKey{objective: time.Duration(d.ObjectiveUS) * time.Microsecond, gathered: true}
		if _, known := t.durations[kind]; known || len(t.forecasts) < maxHandedKinds {
			t.forecastOf(kind).recordTold(now, time.Duration(d.LeafTimeUS)*time.Microsecond)
		}
	}
	var leafs []registry.Leaf
	for _, l := range t.leafs {
		z := t.zones[l.Zone]
		if z != nil && l.usable() && !l.suspicion.raised && slices.Contains(accepted, zonePartition{zone: l.Zone, partition: z.partitionOf(l.Service)}) {
			leafs = append(leafs, l.Leaf)
		}
	}
	return leafs, nil
}

// maxHandedKinds bounds the kinds of requests that this VM takes from a hand-over.
const maxHandedKinds = 64

// adopt takes over what another VM knows of the leaf, where this VM has no answer that is as young as
// slowdownHalfLife.
func (l *leaf) adopt(now time.Time, known HandedLeaf) {
	if now.Sub(l.reportedAt) < slowdownHalfLife {
		return
	}
	l.slowdown.set(now, known.Reported, known.Excess)
	l.othersReported, l.reportedAt = bounded(known.Others, 0, float64(l.Slots*maxHandedQueue)), now
	l.failures.rate, l.failures.updatedAt = bounded(known.Failing, 0, 1), now
}

// maxHandedQueue bounds the requests of other VMs that a hand-over states for a leaf, as a multiple
// of its slots.
const maxHandedQueue = 50

// bounded returns x, but at least low and at most high, and low if x is not a number.
func bounded(x, low, high float64) float64 {
	if math.IsNaN(x) {
		return low
	}
	return min(max(x, low), high)
}

// RecordSuccessor records that a VM that is about to stop has handed partitions over to a successor.
// It ignores partitions that do not exist here or that the VM does not serve, and successors that
// are not known.
func (t *Table) RecordSuccessor(now time.Time, leaving, successor string, partitions []Partition) {
	if t.vms[successor] == nil {
		return
	}
	for _, p := range partitions {
		z := t.zones[p.Zone]
		if z == nil || z.partitions != p.Count || p.Number < 0 || p.Number >= p.Count {
			continue
		}
		key := zonePartition{zone: p.Zone, partition: p.Number}
		owners := z.ownersOf(p.Number)
		old := t.standIns[key]
		owns := slices.ContainsFunc(owners, func(m zoneMember) bool { return m.name == leaving })
		if !owns && (old == nil || old.name != leaving) {
			continue
		}
		owner := leaving
		if !owns {
			owner = old.owner // the leaving VM stood in itself
		}
		t.standIns[key] = t.newStandIn(now, key, owner, successor)
	}
}

// endHandovers ends the hand-overs whose owner has returned or is no member any more, and keeps
// those whose partitions this VM has to hand back. It is called after each change of the list of VMs.
func (t *Table) endHandovers(now time.Time) {
	for p, s := range t.standIns {
		owner := t.vms[s.owner]
		s.left = s.left || owner == nil
		_, member := t.members[s.owner]
		returned := s.left && owner != nil
		if t.standInFor(now, p) != nil && member && !returned {
			continue
		}
		if returned && t.serves(p) {
			t.handBack = append(t.handBack, handBack{to: owner.VM, partition: p})
		}
		delete(t.standIns, p)
	}
}

// handBack is a partition whose owner has returned.
type handBack struct {
	to        VM
	partition zonePartition
}

// ReturnedOwner is an owner that serves its partitions again, and what it has to be told.
type ReturnedOwner struct {
	VM       VM
	Handover Handover
}

// TakeReturned returns the owners that have returned since the last call, for which this VM stood in.
func (t *Table) TakeReturned(now time.Time) []ReturnedOwner {
	var list []ReturnedOwner
	for _, b := range t.handBack {
		if z := t.zones[b.partition.zone]; z != nil && b.partition.partition < z.partitions {
			list = append(list, ReturnedOwner{VM: b.to, Handover: t.describe(now, []zonePartition{b.partition})})
		}
	}
	t.handBack = nil
	return list
}
