package once

import "time"

// relayState decides which way one operation goes: to the VM that commits its
// segment, or by this VM's own conditional update, and what has to follow. It
// has neither clock nor lock; events and the time go in, the next step comes
// out.
//
// The failures it stands against: the committer is killed, frozen, cut off,
// leaving, or slow, with the operation in its hands. Falling back carries the
// same operation id, so that an entry which the committer made is found and
// taken for this operation's own. What the committer does later can't win the
// key again, since the entry is there; and if the entry is to go, bar leaves the
// id behind.
type relayState struct {
	relayDeadline time.Time // no new relaying from here on; the rest is for the own update
	// mayApplyElsewhere says that another VM may carry the operation out, now or at any time
	// later. It never goes back: nobody can be asked to forget.
	mayApplyElsewhere bool
}

// event is what became of relaying.
type event int

const (
	eventDecided     event = iota // the committer's verdict is final
	eventUndecided                // the committer lives and waits for the platform
	eventNotAccepted              // it will never carry the operation out
	eventUnknown                  // no answer
)

// step is what to do next.
type step int

const (
	stepRelay  step = iota // have the segment's committer do it
	stepDirect             // update the segment
	stepEnd                // the verdict stands
)

// start returns the first step. remote says whether another VM is the
// committer.
func (c *relayState) start(remote bool, now time.Time) step {
	if remote && now.Before(c.relayDeadline) {
		return stepRelay
	}
	return stepDirect
}

// next returns the step after an event. A committer that waits for the platform
// is asked again: if each VM went to a slow platform by itself, it would become
// slower for all. One that is silent is not asked again.
func (c *relayState) next(e event, now time.Time) step {
	switch e {
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

// mustBar tells whether a claim that ended without being won has to be barred,
// so that no other VM enters it later.
func (c *relayState) mustBar(won bool) bool { return c.mayApplyElsewhere && !won }
