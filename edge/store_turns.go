package edge

import "time"

// storeTurns decides when a VM that normally follows others reads the store itself. Mostly the store is
// then unavailable to all VMs, and failed calls are billed too. So one read at a time finds out whether the
// store answers. It reads no clock, and is not safe for concurrent use.
type storeTurns struct {
	pause    time.Duration // longest pause after a failed read
	next     time.Time     // no read begins before this time
	inFlight chan struct{} // closed when the latest read ends; nil before the first
	failed   bool          // the latest read that ended has failed
}

// turnDecision is what a VM does that wants to read the store.
type turnDecision int

const (
	readStore   turnDecision = iota // read it now
	awaitFlight                     // wait until inFlight is closed, then ask again
	deferRead                       // don't read it now
)

// decide returns what a VM does. waited says that it has waited for the read in flight for as long as it may.
// needed says that nothing else keeps its knowledge within the bound: it then reads beside the read in
// flight, unless the latest one has failed.
func (t *storeTurns) decide(now time.Time, waited, needed bool) turnDecision {
	switch {
	case !now.Before(t.next):
		return readStore
	case t.inFlight == nil || isClosed(t.inFlight):
		return deferRead
	case !waited:
		return awaitFlight
	case needed && !t.failed:
		return readStore
	}
	return deferRead
}

// begin records that a read begins, and returns the channel to close at its end.
func (t *storeTurns) begin(now time.Time) chan struct{} {
	t.next = now.Add(t.pause)
	t.inFlight = make(chan struct{})
	return t.inFlight
}

// succeed records that a read has succeeded.
func (t *storeTurns) succeed(now time.Time) {
	t.next, t.failed = now, false
}

// fail records that a read has failed. No read begins within the given pause.
func (t *storeTurns) fail(now time.Time, pause time.Duration) {
	t.failed = true
	t.postpone(now, pause)
}

// postpone lets no read begin within a time.
func (t *storeTurns) postpone(now time.Time, d time.Duration) { t.next = now.Add(d) }

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
