package scatter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// livenessRound schedules liveness checks of all VMs that this one calls, after one of them was
// silent, and keeps what the latest round found.
//
// VMs fail together: those of a rack, a zone or a network. A request whose call detects that a VM
// is lost may get no answers for the shards of that call. Since a VM calls many others, this would
// happen to many requests. The check finds the other lost VMs before requests do.
//
// If a round finds several silent VMs, or a lost zone, this VM tells the others, which then make a round of their
// own and pass the report on. Otherwise each of hundreds of VMs would lose a request before it
// knows of the loss of a zone: with a request every few seconds at each VM, that takes as long.
type livenessRound struct {
	requested bool           // a check of all VMs that this one calls has to be started
	lastAt    time.Time      // when the latest check was started
	passedAt  time.Time      // when this VM last passed a report of lost VMs on
	silent    map[string]int // by zone: VMs that the latest round found silent
	answered  map[string]int // by zone: VMs that answered in the latest round
}

const (
	// livenessPause is the minimum time between two rounds of liveness checks by this VM, and
	// between two reports that it passes on. In a round, a VM sends a message to each VM that
	// it calls. If all VMs make a round, each of them gets one message from each of the VMs
	// that call it.
	livenessPause = time.Second
	// minLostVMs is the number of silent VMs from which they count as lost together: the other
	// VMs are told, and if no VM of their zone has answered, the zone counts as lost. A single
	// silent VM among others that answer is not reported, since its shards are queried through
	// another owner.
	minLostVMs = 2
	// maxChecksPerZone bounds the VMs that a round checks in a zone where this VM calls fewer
	// than minLostVMs. All VMs of a small zone are checked, so that it doesn't count as lost
	// while one of them is alive.
	maxChecksPerZone = 4
)

// newLivenessRound returns a round that has found nothing.
func newLivenessRound() livenessRound {
	return livenessRound{silent: make(map[string]int), answered: make(map[string]int)}
}

// request requests a round, unless the latest one was started less than livenessPause ago.
func (r *livenessRound) request(now time.Time) { r.requested = now.Sub(r.lastAt) >= livenessPause }

// passOn reports whether a report of lost VMs is to be passed on now, and records that it is.
func (r *livenessRound) passOn(now time.Time) bool {
	if now.Sub(r.passedAt) < livenessPause {
		return false
	}
	r.passedAt = now
	return true
}

// LivenessCheckRequested reports whether a round of liveness checks has to be started.
func (t *Table) LivenessCheckRequested() bool { return t.liveness.requested }

// StartLivenessRound returns the VMs whose liveness has to be checked now. If a round of checks was
// requested, these are all VMs that this one calls, and the round counts as started. Otherwise
// there are none.
func (t *Table) StartLivenessRound(now time.Time) []VM {
	if !t.liveness.requested {
		return nil
	}
	passedAt := t.liveness.passedAt
	t.liveness = newLivenessRound()
	t.liveness.lastAt, t.liveness.passedAt = now, passedAt
	return t.Delegates(now)
}

// LivenessWitnesses returns the VMs that a round has to check besides those in called, over a new
// connection if there is none. called are the VMs of StartLivenessRound that can be checked on an
// open connection. In a small fleet this VM calls a single VM of a zone, whose silence doesn't show
// whether the zone is lost.
func (t *Table) LivenessWitnesses(called []VM) []VM {
	checked := make(map[string]int) // by zone: VMs that are checked, or suspect already
	for _, v := range called {
		checked[v.Zone]++
	}
	var candidates []VM
	for _, v := range t.vms {
		switch {
		case v.suspicion.raised:
			checked[v.Zone]++
		case !slices.Contains(called, v.VM):
			candidates = append(candidates, v.VM)
		}
	}
	slices.SortFunc(candidates, func(a, b VM) int { return cmp.Compare(rank(t.self, a.Name), rank(t.self, b.Name)) })
	zones := t.shardZones()
	var witnesses []VM
	added := make(map[string]int)
	for _, v := range candidates {
		if zones[v.Zone] && checked[v.Zone] < minLostVMs && checked[v.Zone]+added[v.Zone] < maxChecksPerZone {
			added[v.Zone]++
			witnesses = append(witnesses, v)
		}
	}
	return witnesses
}

// RecordLivenessCheck records whether a VM answered a liveness check. A silent one becomes suspect.
func (t *Table) RecordLivenessCheck(now time.Time, name string, alive bool) {
	v := t.vms[name]
	switch {
	case v == nil:
	case alive:
		t.liveness.answered[v.Zone]++
		t.zoneFound(v.Zone)
	default:
		v.suspicion.raise(now)
		t.liveness.silent[v.Zone]++
	}
}

// RoundResult is what a round of liveness checks found.
type RoundResult struct {
	Silent    int      // number of VMs that did not answer
	LostZones []string // zones that count as lost; sorted
	Report    bool     // other VMs have to be told that VMs were lost
}

// EndLivenessRound records that the checks of a round have ended, and returns what it found. Zones of
// which several VMs are suspect and none answered count as lost.
func (t *Table) EndLivenessRound(now time.Time) RoundResult {
	var result RoundResult
	zoneLost := false // a zone was found to be lost that did not count as lost before
	for zone, n := range t.liveness.silent {
		result.Silent += n
		if t.liveness.answered[zone] == 0 && t.suspectsIn(zone) >= min(minLostVMs, t.vmsIn(zone)) {
			zoneLost = zoneLost || !t.lostZones[zone]
			t.lostZones[zone] = true
		}
	}
	if t.isolatedSince.IsZero() && t.otherZonesLost() {
		t.isolatedSince = now
	}
	result.LostZones = slices.Sorted(maps.Keys(t.lostZones))
	result.Report = (result.Silent >= minLostVMs || zoneLost) && t.liveness.passOn(now)
	return result
}

// LossReported records that another VM reports a loss of VMs: this VM makes a liveness round of its
// own, since only its own checks make a VM suspect. It reports whether to pass the report on.
func (t *Table) LossReported(now time.Time) (passOn bool) {
	t.liveness.request(now)
	return t.liveness.passOn(now)
}

// zoneFound records that a VM of a zone is alive and can be reached.
func (t *Table) zoneFound(zone string) {
	delete(t.lostZones, zone)
	if zone != t.zone {
		t.isolatedSince = time.Time{}
	}
}

const (
	// isolationPeriod is how long all other zones have to be lost until this VM counts as
	// isolated. VMs that lose power together are back within one or two seconds, and callers
	// are better off waiting for them.
	isolationPeriod = 1500 * time.Millisecond
	// minOtherZones is the number of other zones from which a VM to which all of them are lost
	// concludes that it is itself cut off, and not they.
	minOtherZones = 2
)

// Isolated reports whether this VM, or its zone, has been cut off from all other zones for a while.
// It then can't query most shards, while VMs elsewhere can: callers should go there.
func (t *Table) Isolated(now time.Time) bool {
	return !t.isolatedSince.IsZero() && now.Sub(t.isolatedSince) >= isolationPeriod
}

// otherZonesLost reports whether all other zones with VMs are lost, and there are enough of them to
// conclude that this VM is cut off.
func (t *Table) otherZonesLost() bool {
	zones := make(map[string]bool)
	for _, v := range t.vms {
		if v.Zone == t.zone {
			continue
		}
		if !t.lostZones[v.Zone] {
			return false
		}
		zones[v.Zone] = true
	}
	return len(zones) >= minOtherZones
}

// vmsIn returns the number of other VMs of a zone that are listed.
func (t *Table) vmsIn(zone string) int {
	n := 0
	for _, v := range t.vms {
		if v.Zone == zone {
			n++
		}
	}
	return n
}

// suspectsIn returns the number of suspect VMs of a zone.
func (t *Table) suspectsIn(zone string) int {
	n := 0
	for _, v := range t.vms {
		if v.Zone == zone && v.suspicion.raised {
			n++
		}
	}
	return n
}

// zoneLost reports whether a zone counts as lost: the VMs there that this one calls were silent, so
// the others, to which it has no connections, are not called in their place. The first suspect VM of
// the zone that proves to be alive ends this.
func (t *Table) zoneLost(zone string) bool { return t.lostZones[zone] }

// forgetLostZones ends the loss of zones of which no VM is suspect any more: the suspect ones are no
// longer listed.
func (t *Table) forgetLostZones() {
	for zone := range t.lostZones {
		if t.suspectsIn(zone) == 0 {
			t.zoneFound(zone)
		}
	}
}
