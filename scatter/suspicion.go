package scatter

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// suspicion keeps requests away from a VM or a leaf that did not answer, until a connection
// to it is made anew. Each request sent to one that is frozen, cut off or without power
// loses half of its time, and requests to one leaf or VM are rarer than a cooldown can last, so
// that after one nearly every request would find out anew. A proof costs a handshake.
type suspicion struct {
	active    bool
	probes    int       // that failed in a row
	nextProbe time.Time // probe
}

// Pauses between two probes. What lives again is found within the longest.
const (
	firstProbe   = 250 * time.Millisecond
	maxProbe     = 2 * time.Second // of a VM
	maxLeafProbe = time.Second     // of a leaf: one that was only cut off should be found within 2 s
)

func (s *suspicion) begin(now time.Time) {
	if !s.active {
		*s = suspicion{active: true, nextProbe: now.Add(firstProbe)}
	}
}

func (s *suspicion) probeFailed(now time.Time, longest time.Duration) {
	s.probes++
	s.nextProbe = now.Add(min(firstProbe<<min(s.probes, maxDoublings), longest))
}

// due reports whether a probe is to be made now; if not, next is when, zero for never.
func (s *suspicion) due(now time.Time) (due bool, next time.Time) {
	switch {
	case !s.active:
		return false, time.Time{}
	case now.Before(s.nextProbe):
		return false, s.nextProbe
	}
	return true, time.Time{}
}

// SuspectVMs returns the VMs to which a connection is to be made now, to find out whether
// they live, and when to look again if there are others; zero if there are none.
func (t *Table) SuspectVMs(now time.Time) (list []VM, next time.Time) {
	for _, v := range t.vms {
		due, later := v.suspicion.due(now)
		if due {
			list = append(list, v.VM)
		}
		next = earlier(next, later)
	}
	return list, next
}

// RecordVMProbe takes whether a suspect VM proved, on a new connection, that it lives.
func (t *Table) RecordVMProbe(now time.Time, name string, alive bool) {
	v := t.vms[name]
	switch {
	case v == nil:
	case alive:
		v.suspicion = suspicion{}
		v.cooldown = cooldown{}
	default:
		v.suspicion.probeFailed(now, maxProbe)
	}
}

// livenessRound has all VMs that this one calls asked whether they live, once one was silent.
//
// VMs are lost together: a rack, a zone, a network. Each loss that shows only by a call
// costs a request the shards of that call, and a VM calls many others.
type livenessRound struct {
	requested bool
	last      time.Time // when the others were asked
}

// livenessPause is the least time between two rounds of asking: a round costs each VM a message
// for each of those that call it.
const livenessPause = time.Second

func (r *livenessRound) request(now time.Time) { r.requested = now.Sub(r.last) >= livenessPause }

// DueForLivenessCheck returns the VMs that are to be asked now whether they live.
func (t *Table) DueForLivenessCheck(now time.Time) []VM {
	if !t.liveness.requested {
		return nil
	}
	t.liveness = livenessRound{last: now}
	return t.Delegates(now)
}

// LivenessCheckFailed takes that a VM did not say that it lives.
func (t *Table) LivenessCheckFailed(now time.Time, name string) {
	if v := t.vms[name]; v != nil {
		v.suspicion.begin(now)
	}
}

// SuspectLeafs returns the leafs to which a connection is to be made now, and when to look
// again if there are others; zero if there are none.
func (t *Table) SuspectLeafs(now time.Time) (list []registry.Leaf, next time.Time) {
	for _, l := range t.leafs {
		due, later := l.suspicion.due(now)
		if due {
			list = append(list, l.Leaf)
		}
		next = earlier(next, later)
	}
	return list, next
}

// RecordLeafProbe takes whether a connection to a suspect leaf could be made. It reports whether
// the leaf is asked again for that.
func (t *Table) RecordLeafProbe(now time.Time, id LeafID, alive bool) (cleared bool) {
	l := t.findLeaf(id)
	if l == nil || !l.suspicion.active {
		return false
	}
	if !alive {
		l.suspicion.probeFailed(now, maxLeafProbe)
		return false
	}
	l.suspicion = suspicion{}
	return true
}
