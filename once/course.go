package once

import "time"

// relayState decides whether one operation is relayed to the VM that commits its
// segment or applied by this VM's own conditional update, and what has to follow.
// It has no clock and no lock: the caller passes in events and the time, and gets
// the next step.
//
// It covers a committer that is killed, frozen, disconnected, leaving or slow while
// it has the operation. The fallback uses the same operation id, so an entry that
// the committer wrote is recognized as this operation's own. Whatever the committer
// does later cannot claim the key a second time, because the entry exists. If the
// entry is to be removed, op.bar leaves the operation's id in the segment.
type relayState struct {
	relayDeadline time.Time // nothing is relayed after it; the remaining time is for this VM's own update
	// mayApplyElsewhere says that another VM may apply the operation, now or at any
	// later time. It is never reset, because an operation that was sent cannot be
	// withdrawn.
	mayApplyElsewhere bool
}

// event is the result of relaying an operation.
type event int

const (
	eventDecided     event = iota // the committer's verdict is final
	eventUndecided                // the committer is alive and waits for the platform
	eventNotAccepted              // the committer will never apply the operation
	eventUnknown                  // no usable answer: the committer may apply the operation
)

// step is what to do next.
type step int

const (
	stepRelay  step = iota // send the operation to the segment's committer
	stepDirect             // update the segment from this VM
	stepEnd                // the verdict is final
)

// start returns the first step. remote says whether the committer is another VM.
func (c *relayState) start(remote bool, now time.Time) step {
	if remote && now.Before(c.relayDeadline) {
		return stepRelay
	}
	return stepDirect
}

// next returns the step after an event. A committer that waits for the platform
// gets the operation again: if each VM called a slow platform itself, the platform
// would become slower for all. A committer that does not answer is not called
// again.
func (c *relayState) next(ev event, now time.Time) step {
	switch ev {
	case eventDecided:
		return stepEnd
	case eventUndecided:
		c.mayApplyElsewhere = true
		return c.start(true, now)
	case eventUnknown:
		c.mayApplyElsewhere = true
	}
	return stepDirect
}

// mustBar reports whether a claim that ended without being won has to be barred, so
// that no other VM enters it later.
func (c *relayState) mustBar(won bool) bool { return c.mayApplyElsewhere && !won }
