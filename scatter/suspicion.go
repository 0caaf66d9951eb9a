package scatter

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// suspicion keeps requests away from a VM or a leaf that did not answer, until a new connection
// to it can be made. Each request sent to a VM or leaf that is frozen, disconnected or without
// power loses half of its time. A cooldown alone would not prevent that: the time between two
// requests to one leaf or VM is mostly longer than the longest cooldown, so nearly every request
// would detect the failure again. A probe, which makes a new connection, costs only a handshake.
type suspicion struct {
	raised       bool      // the leaf or VM is suspect: it gets no requests
	since        time.Time // when it became suspect
	failedProbes int       // consecutive failed probes
	nextProbe    time.Time // when the next probe is due, if raised
}

// Pauses before the probes of a suspect leaf or VM. The pause doubles with each failed probe, up to
// a maximum. A leaf or VM that has recovered is found within the longest pause.
const (
	// firstProbePause is the time from when a leaf or VM becomes suspect until its first probe.
	firstProbePause = 250 * time.Millisecond
	// maxVMProbePause is the longest time between two probes of a suspect VM.
	maxVMProbePause = 2 * time.Second
	// maxLeafProbePause is the longest time between two probes of a suspect leaf. A leaf that
	// was only disconnected should be found within 2 s.
	maxLeafProbePause = time.Second
)

// raise makes the leaf or VM suspect, unless it already is.
func (s *suspicion) raise(now time.Time) {
	if !s.raised {
		*s = suspicion{raised: true, since: now, nextProbe: now.Add(firstProbePause)}
	}
}

// probeFailed schedules the next probe after a failed one. maxPause is the longest time until then.
func (s *suspicion) probeFailed(now time.Time, maxPause time.Duration) {
	s.failedProbes++
	s.nextProbe = now.Add(min(firstProbePause<<min(s.failedProbes, maxPauseDoublings), maxPause))
}

// due reports whether a probe is due now. If not, next is when the next probe is due. It is zero
// if the leaf or VM is not suspect.
func (s *suspicion) due(now time.Time) (due bool, next time.Time) {
	switch {
	case !s.raised:
		return false, time.Time{}
	case now.Before(s.nextProbe):
		return false, s.nextProbe
	}
	return true, time.Time{}
}

// SuspectVMs returns the suspect VMs that have to be probed now: a new connection to each shows
// whether it is alive. next is when to call SuspectVMs again for the other suspect VMs, zero if
// there are none.
func (t *Table) SuspectVMs(now time.Time) (list []VM, next time.Time) {
	for _, v := range t.vms {
		due, probeAt := v.suspicion.due(now)
		if due {
			list = append(list, v.VM)
		}
		next = earlier(next, probeAt)
	}
	return list, next
}

// RecordVMProbe records whether a suspect VM proved, on a new connection, that it is alive. If so,
// the VM may be called again at once. Otherwise the next probe is scheduled.
func (t *Table) RecordVMProbe(now time.Time, name string, alive bool) {
	v := t.vms[name]
	switch {
	case v == nil:
	case alive:
		v.suspicion = suspicion{}
		v.cooldown = cooldown{}
		t.zoneFound(v.Zone)
	default:
		v.suspicion.probeFailed(now, maxVMProbePause)
	}
}

// SuspectLeafs returns the suspect leafs that have to be probed now: a new connection to each
// shows whether it can be reached. next is when to call SuspectLeafs again for the other suspect
// leafs, zero if there are none.
func (t *Table) SuspectLeafs(now time.Time) (list []registry.Leaf, next time.Time) {
	for _, l := range t.leafs {
		due, probeAt := l.suspicion.due(now)
		if due {
			list = append(list, l.Leaf)
		}
		next = earlier(next, probeAt)
	}
	return list, next
}

// RecordLeafProbe records the result of a probe of a suspect leaf: alive says that a connection
// to it could be made. It reports whether the leaf was suspect and is no longer.
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
