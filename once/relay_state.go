package once

import "time"

// relayState decides, step by step, whether one operation is relayed to the VM that
// commits its segment or applied by this VM's own conditional update. It has no clock
// and no lock: the caller passes in events and the time, and gets the next step.
//
// The VM that commits the segment, called committer here, may be killed, frozen,
// disconnected, leaving or slow while it has the operation. Then this VM updates
// the segment itself. It uses the same operation id, so an entry that the committer
// wrote is recognized as this operation's own. Whatever the committer does later
// cannot claim the key a second time, because the entry exists. If the entry is to
// be removed, op.barOnRelease makes the release leave the operation's id in the
// segment, so that the committer cannot add the entry again.
type relayState struct {
	relayDeadline time.Time // time after which the operation is no longer relayed, so that time is left for this VM's own update
	// mayApplyElsewhere says that another VM may apply the operation, now or at any
	// later time. It stays set, because an operation that was sent cannot be
	// withdrawn.
	mayApplyElsewhere bool
}

// event is the result of relaying an operation to the VM that commits its segment.
type event int

// The events.
const (
	eventDecided     event = iota // the VM that commits the segment gave its final verdict
	eventUndecided                // the VM that commits the segment is alive, but still waits for the platform
	eventNotAccepted              // the VM that commits the segment will never apply the operation
	eventUnknown                  // no usable answer: the VM that commits the segment may apply the operation at any time
)

// step is the next thing to do for an operation, as relayState decides.
type step int

// The steps.
const (
	stepRelay  step = iota // send the operation to the VM that commits its segment
	stepDirect             // apply the operation by this VM's own update of the segment
	stepEnd                // nothing: the verdict on the operation is final
)

// start returns the first step for an operation: stepRelay if another VM commits the
// operation's segment (remote) and relayDeadline has not passed, else stepDirect.
func (s *relayState) start(remote bool, now time.Time) step {
	if remote && now.Before(s.relayDeadline) {
		return stepRelay
	}
	return stepDirect
}

// next returns the step that follows an event. If the VM that commits the segment
// waits for the platform, it gets the operation again: if each VM called a slow
// platform itself, the platform would become slower for all. If that VM does not
// answer, it is not called again.
func (s *relayState) next(ev event, now time.Time) step {
	switch ev {
	case eventDecided:
		return stepEnd
	case eventUndecided:
		s.mayApplyElsewhere = true
		return s.start(true, now)
	case eventUnknown:
		s.mayApplyElsewhere = true
	}
	return stepDirect
}

// mustBar reports whether the claim has to be barred, so that no other VM adds it
// to the segment later. This is the case if the claim was not won and another VM may
// still apply it.
func (s *relayState) mustBar(won bool) bool { return s.mayApplyElsewhere && !won }
