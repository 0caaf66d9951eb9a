package scatter

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// LeafID names one lifetime of a leaf. It is comparable.
type LeafID struct {
	ID   string
	Born int64 // in Unix milliseconds
}

// Load is what a leaf says of itself with an answer.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64 // how long work takes on the leaf's machine now, 1 as usual; 0 if not stated
}

// leaf is what this VM knows of one lifetime of a leaf.
type leaf struct {
	registry.Leaf
	id            LeafID
	sameZone      bool // in this VM's availability zone
	maxInFlight   int  // requests of this VM in flight at most
	addressReused bool // another leaf answered at its address, where it will not be again

	inFlight  []pendingRequest // the oldest first
	slowdown  slowdown
	cooldown  cooldown
	failures  failureRate
	suspicion suspicion

	othersReported float64 // requests of other VMs at the last report
	reportedAt     time.Time
	freeSlots      int           // at the last report
	halfOpen       bool          // its latest request expired: one at a time until one is answered
	typicalWork    time.Duration // smoothed: what requests usually take that were sent here
}

// pendingRequest is a request on its way.
type pendingRequest struct {
	sentAt  time.Time
	typical time.Duration // that its kind takes at a leaf which is as usual
	known   bool          // usual comes from answers
}

// Parameters of what a leaf is expected to take.
const (
	reportLifetime = time.Second           // after which a reported load counts nothing
	reportWeight   = 0.5                   // of a fresh report, which lags
	stallFactor    = 3                     // times the expected time without an answer, after which a leaf is taken to pause
	minStall       = 20 * time.Millisecond // the least such time
	workWeight     = 0.1                   // of a new request in what requests usually take
	stallCost      = 80 * time.Millisecond // expected of a leaf that pauses, which takes some 100 ms
)

// available reports whether requests may be sent to the leaf, as far as is known of it.
func (l *leaf) available(now time.Time) bool { return !l.suspicion.active && !l.cooldown.active(now) }

// preferredTo reports which of two leafs that are not asked is the better one to ask.
func (l *leaf) preferredTo(o *leaf) bool {
	if l.suspicion.active != o.suspicion.active {
		return o.suspicion.active
	}
	return l.cooldown.until.Before(o.cooldown.until)
}

// usable reports whether the leaf takes requests.
func (l *leaf) usable() bool { return !l.Draining && !l.addressReused }

// crossZoneShare is the part of a request's aim that a leaf in another zone is charged, while
// one is chosen. Bytes between zones are dear, and a near leaf that is slower by less than
// that still answers in time.
const crossZoneShare = 0.25

func (l *leaf) recordSent(f pendingRequest) {
	l.inFlight = append(l.inFlight, f)
	if l.typicalWork == 0 {
		l.typicalWork = f.typical
	}
	l.typicalWork += time.Duration(workWeight * float64(f.typical-l.typicalWork))
}

// removeInFlight takes one request that was sent at the time given out of flight.
func (l *leaf) removeInFlight(sentAt time.Time) pendingRequest {
	i := slices.IndexFunc(l.inFlight, func(f pendingRequest) bool { return f.sentAt.Equal(sentAt) })
	if i < 0 {
		return pendingRequest{sentAt: sentAt}
	}
	f := l.inFlight[i]
	l.inFlight = slices.Delete(l.inFlight, i, i+1)
	return f
}

func (l *leaf) recordAnswer(now time.Time, f pendingRequest) {
	l.cooldown.recordAnswer()
	l.halfOpen = false
	if f.known {
		l.slowdown.recordAnswer(now, f.sentAt, f.typical)
	}
}

// recordLoad takes the load that a leaf stated; own requests are not among the others'.
func (l *leaf) recordLoad(now time.Time, load Load) {
	others := load.Running + load.Waiting - len(l.inFlight)
	l.othersReported = float64(max(others, 0))
	l.reportedAt = now
	l.freeSlots = load.Slots - load.Running
	if load.Slowdown > 0 {
		l.slowdown.recordStated(now, load.Slowdown)
	}
}

// recordRefusal takes that the leaf did not run a request. One that is full for a moment is left
// alone for that moment. One that says with its refusal that it has a free slot turns requests
// away for another reason: it is no less likely to refuse the next one.
func (l *leaf) recordRefusal(now time.Time) {
	l.cooldown.recordRefusal(now, refusedCooldown)
	if l.reportedAt.Equal(now) && l.freeSlots > 0 {
		l.failures.add(now, 1)
	}
}

func (l *leaf) othersEstimate(now time.Time) float64 {
	age := now.Sub(l.reportedAt)
	if age >= reportLifetime {
		return 0
	}
	return l.othersReported * reportWeight * (1 - float64(age)/float64(reportLifetime))
}

// stalled reports whether the oldest request in flight has been silent for longer
// than usual: the leaf pauses, or is gone without a word.
func (l *leaf) stalled(now time.Time) bool {
	if len(l.inFlight) == 0 {
		return false
	}
	oldest := l.inFlight[0]
	return now.Sub(oldest.sentAt) > max(stallFactor*l.expected(now, oldest.typical), minStall)
}

// expected is the time that a kind of request takes here which takes usual elsewhere.
func (l *leaf) expected(now time.Time, usual time.Duration) time.Duration {
	return time.Duration(l.slowdown.factor(now) * float64(usual))
}

// cost is the time that one more request is expected to take, with a surcharge for
// what else it costs. Usual is what its kind takes.
func (l *leaf) cost(now time.Time, aim, usual time.Duration) time.Duration {
	base := l.expected(now, usual)
	ahead := float64(len(l.inFlight)) + l.othersEstimate(now) + 1 - float64(l.Slots)
	cost := base + time.Duration(max(ahead, 0)/float64(l.Slots)*float64(base))
	if !l.sameZone {
		cost += time.Duration(crossZoneShare * float64(aim))
	}
	if l.stalled(now) {
		cost += stallCost
	}
	return cost + time.Duration(failureCost*l.failures.current(now)*float64(aim))
}

// idle reports whether a request would get a slot at once, as far as is known.
func (l *leaf) idle(now time.Time) bool {
	return !l.stalled(now) && float64(len(l.inFlight))+l.othersEstimate(now) < float64(l.Slots)
}

// hasCapacity reports whether this VM may send one more request. A leaf that was too slow for its
// latest one is tried with a single request, so that no more are lost if it still is.
func (l *leaf) hasCapacity() bool {
	if l.halfOpen {
		return len(l.inFlight) == 0
	}
	return len(l.inFlight) < l.maxInFlight
}
