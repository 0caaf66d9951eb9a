package scatter

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// LeafID identifies one incarnation of a leaf. It is comparable.
type LeafID struct {
	ID   string
	Born int64 // Unix time of its start, in milliseconds
}

// Load is the load that a leaf states with an answer.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64 // duration of work on the leaf's machine, as a multiple of the usual; 0 if not stated
}

// leaf is what this VM knows of one incarnation of a leaf.
type leaf struct {
	registry.Leaf
	id            LeafID
	sameZone      bool // in this VM's availability zone
	maxInFlight   int  // limit of this VM's requests in flight
	addressReused bool // another leaf answered at its address; this leaf will not be there again

	inFlight  []pendingRequest // oldest first
	slowdown  slowdown
	cooldown  cooldown
	failures  failureRate
	suspicion suspicion

	othersReported float64 // requests of other VMs at the last report
	reportedAt     time.Time
	freeSlots      int           // at the last report
	halfOpen       bool          // its latest request expired: one request at a time until one is answered
	typicalWork    time.Duration // smoothed typical duration of the requests that were sent here
}

// pendingRequest is a request in flight.
type pendingRequest struct {
	sentAt  time.Time
	typical time.Duration // duration of its kind at a leaf of usual speed
	known   bool          // typical was measured, and is not the default
}

// Parameters of the time that a leaf is expected to take.
const (
	reportLifetime = time.Second           // age at which a reported load no longer counts
	reportWeight   = 0.5                   // of a fresh report, which lags behind
	stallFactor    = 3                     // multiple of the expected time after which a silent leaf counts as stalled
	minStall       = 20 * time.Millisecond // lower bound of that time
	workWeight     = 0.1                   // of a new request in typicalWork
	stallCost      = 80 * time.Millisecond // expected delay at a stalled leaf; a pause takes about 100 ms
)

// available reports whether requests may be sent to the leaf, as far as this VM knows.
func (l *leaf) available(now time.Time) bool { return !l.suspicion.raised && !l.cooldown.active(now) }

// preferredTo reports whether l is a better choice than other, where neither is available.
func (l *leaf) preferredTo(other *leaf) bool {
	if l.suspicion.raised != other.suspicion.raised {
		return other.suspicion.raised
	}
	return l.cooldown.until.Before(other.cooldown.until)
}

// usable reports whether the leaf takes requests.
func (l *leaf) usable() bool { return !l.Draining && !l.addressReused }

// crossZoneShare is the surcharge on the cost of a leaf in another zone, as a share of the
// latency objective. Traffic between zones is expensive, and a leaf in this zone that is
// slower by less than that still answers in time.
const crossZoneShare = 0.25

func (l *leaf) recordSent(f pendingRequest) {
	l.inFlight = append(l.inFlight, f)
	if l.typicalWork == 0 {
		l.typicalWork = f.typical
	}
	l.typicalWork += time.Duration(workWeight * float64(f.typical-l.typicalWork))
}

// removeInFlight removes one request that was sent at sentAt from those in flight, and returns
// it.
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

// recordLoad records the load that the leaf stated, without this VM's own requests.
func (l *leaf) recordLoad(now time.Time, load Load) {
	others := load.Running + load.Waiting - len(l.inFlight)
	l.othersReported = float64(max(others, 0))
	l.reportedAt = now
	l.freeSlots = load.Slots - load.Running
	if load.Slowdown > 0 {
		l.slowdown.recordStated(now, load.Slowdown)
	}
}

// recordRefusal records that the leaf did not run a request. A leaf that is full for a moment
// gets no request for that moment. A leaf that states a free slot with its refusal refuses for
// another reason, and is just as likely to refuse the next request.
func (l *leaf) recordRefusal(now time.Time) {
	l.cooldown.startAtLeast(now, refusedCooldown)
	if l.reportedAt.Equal(now) && l.freeSlots > 0 {
		l.failures.add(now, 1)
	}
}

// othersEstimate returns the estimated number of requests of other VMs at the leaf: those of
// the last report, with a weight that decreases with its age.
func (l *leaf) othersEstimate(now time.Time) float64 {
	age := now.Sub(l.reportedAt)
	if age >= reportLifetime {
		return 0
	}
	return l.othersReported * reportWeight * (1 - float64(age)/float64(reportLifetime))
}

// stalled reports whether the oldest request in flight has had no answer for longer than
// usual: the leaf has paused, or has stopped without notice.
func (l *leaf) stalled(now time.Time) bool {
	if len(l.inFlight) == 0 {
		return false
	}
	oldest := l.inFlight[0]
	return now.Sub(oldest.sentAt) > max(stallFactor*l.expected(now, oldest.typical), minStall)
}

// expected returns the time that a kind of request takes at this leaf, where typical is its
// duration at a leaf of usual speed.
func (l *leaf) expected(now time.Time, typical time.Duration) time.Duration {
	return time.Duration(l.slowdown.factor(now) * float64(typical))
}

// cost returns the time that one more request is expected to take, plus surcharges for other
// costs. typical is the usual duration of its kind.
func (l *leaf) cost(now time.Time, objective, typical time.Duration) time.Duration {
	base := l.expected(now, typical)
	ahead := float64(len(l.inFlight)) + l.othersEstimate(now) + 1 - float64(l.Slots)
	cost := base + time.Duration(max(ahead, 0)/float64(l.Slots)*float64(base))
	if !l.sameZone {
		cost += time.Duration(crossZoneShare * float64(objective))
	}
	if l.stalled(now) {
		cost += stallCost
	}
	return cost + time.Duration(failureCost*l.failures.current(now)*float64(objective))
}

// idle reports whether a request would get a slot at once, as far as this VM knows.
func (l *leaf) idle(now time.Time) bool {
	return !l.stalled(now) && float64(len(l.inFlight))+l.othersEstimate(now) < float64(l.Slots)
}

// hasCapacity reports whether this VM may send one more request. A leaf that was too slow for
// its latest request is tried with a single one, so that no more are lost if it is still too
// slow.
func (l *leaf) hasCapacity() bool {
	if l.halfOpen {
		return len(l.inFlight) == 0
	}
	return len(l.inFlight) < l.maxInFlight
}
