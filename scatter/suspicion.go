package scatter

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// suspicion keeps requests away from a VM or a leaf that did not answer, until a new
// connection to it can be made. Each request sent to one that is frozen, disconnected or
// without power loses half of its time. Requests to one leaf or VM are rarer than the longest
// cooldown, so with a cooldown alone nearly every request would detect the failure again. A
// probe costs a handshake.
type suspicion struct {
	raised    bool
	probes    int       // consecutive failed probes
	nextProbe time.Time // time of the next probe
}

// Pauses between two probes. A leaf or VM that has recovered is found within the longest
// pause.
const (
	firstProbePause   = 250 * time.Millisecond
	maxVMProbePause   = 2 * time.Second // longest pause, for a VM
	maxLeafProbePause = time.Second     // longest pause, for a leaf: a disconnected one should be found within 2 s
)

func (s *suspicion) raise(now time.Time) {
	if !s.raised {
		*s = suspicion{raised: true, nextProbe: now.Add(firstProbePause)}
	}
}

func (s *suspicion) probeFailed(now time.Time, longest time.Duration) {
	s.probes++
	s.nextProbe = now.Add(min(firstProbePause<<min(s.probes, maxDoublings), longest))
}

// due reports whether a probe is due now. If not, next is when one will be, zero for never.
func (s *suspicion) due(now time.Time) (due bool, next time.Time) {
	switch {
	case !s.raised:
		return false, time.Time{}
	case now.Before(s.nextProbe):
		return false, s.nextProbe
	}
	return true, time.Time{}
}

// SuspectVMs returns the VMs to which a connection has to be made now, to find out whether
// they are alive, and when to check again for the others; zero if there are none.
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

// RecordVMProbe records whether a suspect VM proved, on a new connection, that it is alive.
func (t *Table) RecordVMProbe(now time.Time, name string, alive bool) {
	v := t.vms[name]
	switch {
	case v == nil:
	case alive:
		v.suspicion = suspicion{}
		v.cooldown = cooldown{}
	default:
		v.suspicion.probeFailed(now, maxVMProbePause)
	}
}

// livenessRound schedules a liveness check of all VMs that this one calls, after one of them
// was silent.
//
// VMs are lost together: a rack, a zone, a network. Each loss that is detected only by a call
// costs a request the shards of that call, and a VM calls many others.
type livenessRound struct {
	requested bool
	lastAt    time.Time // when the other VMs were checked
}

// livenessPause is the minimum time between two rounds of liveness checks: a round costs each
// VM one message from each of the VMs that call it.
const livenessPause = time.Second

func (r *livenessRound) request(now time.Time) { r.requested = now.Sub(r.lastAt) >= livenessPause }

// DueForLivenessCheck returns the VMs whose liveness has to be checked now.
func (t *Table) DueForLivenessCheck(now time.Time) []VM {
	if !t.liveness.requested {
		return nil
	}
	t.liveness = livenessRound{lastAt: now}
	return t.Delegates(now)
}

// LivenessCheckFailed records that a VM did not answer a liveness check.
func (t *Table) LivenessCheckFailed(now time.Time, name string) {
	if v := t.vms[name]; v != nil {
		v.suspicion.raise(now)
	}
}

// SuspectLeafs returns the leafs to which a connection has to be made now, and when to check
// again for the others; zero if there are none.
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

// RecordLeafProbe records whether a connection to a suspect leaf could be made. It reports
// whether this cleared the suspicion.
func (t *Table) RecordLeafProbe(now time.Time, id LeafID, alive bool) (cleared bool) {
	l := t.findLeaf(id)
	if l == nil || !l.suspicion.raised {
		return false
	}
	if !alive {
		l.suspicion.probeFailed(now, maxLeafProbePause)
		return false
	}
	l.suspicion = suspicion{}
	return true
}
