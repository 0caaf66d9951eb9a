package edge

import "time"

// A VM that follows another one asks its sources in turn: the VM that it follows, another VM, the
// store. Any of these VMs may be cut off, frozen, or both, so this VM limits by its own clock how old
// its knowledge becomes while it waits for each. It learns of each change within the bound because
//
//	giveUp + answer + storeTurn + storeRead <= bound
//
// and it doesn't leave VMs that work, which would cost calls to the store, because
//
//	longest time between two answers of the store at such a VM + answer <= giveUp
//
// Settings for which one of the sums does not hold are rejected (see followBound.suffices).

// The terms of the sums, as shares of the bound.
const (
	giveUpShare    = 0.75
	answerShare    = 0.1
	storeTurnShare = 0.05
	storeReadShare = 0.1
	// watchWaitShare is how long a watch of the store waits for a change. Store calls are billed, so
	// a watch should wait long. But a watch may never report a change that has occurred: the store may
	// have dropped the watch, or the connection may have failed without an error. The remaining time
	// is for detecting this and for reading the list again.
	watchWaitShare = 0.6
)

// minStoreRead is the shortest time that suffices for reading a resource from the store.
const minStoreRead = 100 * time.Millisecond

// stalenessBudget divides the time within which a change of a resource must be known, the bound.
type stalenessBudget struct {
	giveUp    time.Duration // age of this VM's knowledge at which it leaves the VM that it follows; also the age up to which a VM passes knowledge on
	answer    time.Duration // time for a VM's answer, beyond the time for which it is asked to wait
	storeTurn time.Duration // time for which a read of the store waits for reads of other resources by this VM
	storeRead time.Duration // time in which the store is expected to answer a VM in touch; no call is ended by it
}

// newStalenessBudget returns the budget for a bound.
func newStalenessBudget(bound time.Duration) stalenessBudget {
	return stalenessBudget{
		giveUp:    shareOf(giveUpShare, bound),
		answer:    shareOf(answerShare, bound),
		storeTurn: shareOf(storeTurnShare, bound),
		storeRead: shareOf(storeReadShare, bound),
	}
}

// shareOf returns a share of a duration.
func shareOf(share float64, d time.Duration) time.Duration { return time.Duration(share * float64(d)) }

// total returns the age that the knowledge of a VM in touch reaches at most, whatever the VMs do that it
// follows.
func (b stalenessBudget) total() time.Duration {
	return b.giveUp + b.answer + b.storeTurn + b.storeRead
}

// timeLeft returns how long a VM whose knowledge has this age may still wait for the VM that it follows, at
// least 0.
func (b stalenessBudget) timeLeft(age time.Duration) time.Duration { return max(0, b.giveUp-age) }

// watchTimes returns for how long a VM whose knowledge has this age asks the VM that it follows to wait for a
// change, at most for the time want, and after which time the call ends, 0 if it must not be made.
func (b stalenessBudget) watchTimes(age, want time.Duration) (wait, timeout time.Duration) {
	left := b.timeLeft(age)
	wait = min(want, max(0, left-b.answer))
	return wait, min(left, wait+readerAnswerTimeout)
}

// readTimeout returns how long a VM whose knowledge has this age waits for another VM's answer with a whole
// resource.
func (b stalenessBudget) readTimeout(age time.Duration) time.Duration {
	return min(readerAnswerTimeout, b.timeLeft(age)+b.answer)
}

// waitAfterPause returns how long a watch waits after a pause, if the time from one answer to the next
// is to be wait.
func waitAfterPause(wait, pause time.Duration) time.Duration { return max(wait-pause, wait/2) }

// followBound is the bound of a followed resource.
type followBound struct {
	resource string
	field    string        // of the settings, from which bound is taken
	bound    time.Duration // time within which a change must be known; 0 if the resource is not followed
	wait     time.Duration // how long a watch of the store waits for a change
	pause    time.Duration // pause after a watch that returned changes
}

// followBounds returns the bounds of all resources.
func (b BoundSettings) followBounds() []followBound {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	manifestField := "$.bounds.manifest_ms"
	if b.manifestBoundMS() < b.ManifestMS {
		manifestField = "$.bounds.revoke_ms"
	}
	return []followBound{
		{followedManifest, manifestField, ms(b.manifestBoundMS()), shareOf(watchWaitShare, ms(b.manifestWatchMS())), manifestChangePause},
		{followedLeafs, "$.bounds.drain_ms", b.drainBound(), shareOf(watchWaitShare, b.drainBound()), leafsChangePause},
		{followedEvacuations, "$.bounds.evacuate_ms", ms(b.EvacuateMS), shareOf(watchWaitShare, ms(b.EvacuateMS)), evacuationChangePause},
	}
}

// followBound returns the bound of a resource.
func (b BoundSettings) followBound(resource string) followBound {
	for _, f := range b.followBounds() {
		if f.resource == resource {
			return f
		}
	}
	return followBound{}
}

// suffices reports whether both sums above hold for the bound, and leave enough time to read the store.
func (f followBound) suffices() bool {
	b := newStalenessBudget(f.bound)
	interval := max(f.wait, f.pause+waitAfterPause(f.wait, f.pause))
	return b.total() <= f.bound && interval+b.answer <= b.giveUp && b.storeRead >= minStoreRead
}
