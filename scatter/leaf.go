package scatter

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// LeafID identifies one incarnation of a leaf: one run of its process.
type LeafID struct {
	ID   string // the leaf's id, the same for all of its incarnations
	Born int64  // Unix time at which the incarnation started, in milliseconds
}

// Load is the load that a leaf reports with an answer.
type Load struct {
	Running  int     // requests that the leaf is running
	Waiting  int     // requests in the leaf's queue
	Slots    int     // requests that the leaf can run at the same time
	Slowdown float64 // duration of work on the leaf's machine, as a multiple of the usual; 0 if not reported
}

// leaf is what this VM knows of one incarnation of a leaf.
type leaf struct {
	registry.Leaf
	id          LeafID
	hash        uint64 // of its id, for rendezvous hashing
	sameZone    bool   // in this VM's availability zone
	maxInFlight int    // limit on the requests that this VM may have in flight at the leaf
	evacuated   bool   // its zone is evacuated
	// maybeColdUntil is until when the leaf may be cold although its entry does not say so yet,
	// since the evacuation of its zone has ended.
	maybeColdUntil time.Time
	coldRequests   coldLimiter // requests of this VM to the leaf while it is cold
	addressReused  bool        // another leaf answered at its address; this leaf will not be there again

	inFlight  []pendingRequest // requests of this VM, oldest first
	slowdown  slowdown         // how much longer than usual work takes at the leaf
	cooldown  cooldown         // after failures or refusals, keeps requests away for a while
	failures  failureRate      // share of this VM's requests to the leaf that fail
	suspicion suspicion        // after silence, keeps requests away until a new connection can be made
	trial     trial            // after consecutive failures, limits requests while other leafs are sound

	othersReported float64       // requests of other VMs that ran or waited at the leaf, by its latest load report
	reportedAt     time.Time     // when the latest load report was received
	freeSlots      int           // slots without a request, by the latest load report
	halfOpen       bool          // the leaf stopped a request that took too long; it gets one request at a time until it answers one
	typicalWork    time.Duration // smoothed time that requests like those sent here take at a leaf of usual speed
}

// pendingRequest is a request of this VM to a leaf that has not ended.
type pendingRequest struct {
	sentAt  time.Time
	typical time.Duration // duration of such requests at a leaf of usual speed
	known   bool          // typical follows from recorded durations; otherwise it is a default
}

// Parameters of the time that a leaf is expected to take for a request.
const (
	// reportedLoadLifetime is the age from which the load that a leaf reported is ignored.
	reportedLoadLifetime = time.Second
	// reportedLoadWeight is the weight, from 0 to 1, with which other VMs' requests in a
	// leaf's fresh load report count in the estimate of its load (othersEstimate). They don't
	// count in full, since even a fresh report lags behind. The weight decreases with the
	// report's age.
	reportedLoadWeight = 0.5
	// stalledDurationFactor is the multiple of a request's expected duration after which a
	// leaf that has not answered it counts as stalled.
	stalledDurationFactor = 3
	// minStalledDuration is the shortest time without an answer to a request after which a
	// leaf counts as stalled.
	minStalledDuration = 20 * time.Millisecond
	// typicalWorkWeight is the weight of a new request in the smoothed typical duration of
	// the requests to a leaf (leaf.typicalWork), from 0 to 1.
	typicalWorkWeight = 0.1
	// stalledLeafDelay is the additional time that a request to a stalled leaf is expected
	// to take. A leaf is stalled if its oldest request in flight takes much longer than
	// expected. A pause of a leaf takes about 100 ms.
	stalledLeafDelay = 80 * time.Millisecond
)

// available reports whether the leaf is neither suspect nor in cooldown. An unavailable leaf gets a
// request only if no available leaf takes it.
func (l *leaf) available(now time.Time) bool { return !l.suspicion.raised && !l.cooldown.active(now) }

// preferredTo reports whether l is a better choice than other if neither is available. A leaf
// that is not suspect is better than a suspect one. Otherwise the leaf whose cooldown ends
// earlier is better.
func (l *leaf) preferredTo(other *leaf) bool {
	if l.suspicion.raised != other.suspicion.raised {
		return other.suspicion.raised
	}
	return l.cooldown.until.Before(other.cooldown.until)
}

// inService reports whether the leaf takes requests by what the operator and the leaf itself have
// published: it is not draining, and its zone is not evacuated.
func (l *leaf) inService() bool { return !l.Draining && !l.evacuated }

// usable reports whether the leaf takes requests at all: it is in service, and no other leaf has
// its address.
func (l *leaf) usable() bool { return l.inService() && !l.addressReused }

// crossZoneSurcharge is what is added to the expected duration at a leaf in another zone, as a
// share of the latency objective. Requests go to the leaf with the lowest sum. Traffic between
// zones is expensive. A leaf in this zone that is slower by less than the surcharge still
// answers in time.
const crossZoneSurcharge = 0.25

// recordSent records a request that is sent to the leaf, and updates typicalWork.
func (l *leaf) recordSent(req pendingRequest) {
	l.inFlight = append(l.inFlight, req)
	if l.typicalWork == 0 {
		l.typicalWork = req.typical
	}
	l.typicalWork += time.Duration(typicalWorkWeight * float64(req.typical-l.typicalWork))
}

// removeInFlight removes one request that was sent at sentAt from those in flight, and returns
// it. If none was sent at that time, it returns a request whose typical duration is not known.
func (l *leaf) removeInFlight(sentAt time.Time) pendingRequest {
	i := slices.IndexFunc(l.inFlight, func(req pendingRequest) bool { return req.sentAt.Equal(sentAt) })
	if i < 0 {
		return pendingRequest{sentAt: sentAt}
	}
	req := l.inFlight[i]
	l.inFlight = slices.Delete(l.inFlight, i, i+1)
	return req
}

// recordAnswer records that the leaf answered the request req now, with whatever result.
func (l *leaf) recordAnswer(now time.Time, req pendingRequest) {
	l.cooldown.recordAnswer()
	l.halfOpen = false
	if req.known {
		l.slowdown.recordAnswer(now, req.sentAt, req.typical)
	}
}

// recordFailedAnswer records that the leaf answered the request req now with a failure. It may have failed before
// it did the work, so the time that it took counts only if it is longer than an answer is expected to take.
func (l *leaf) recordFailedAnswer(now time.Time, req pendingRequest) {
	req.known = req.known && now.Sub(req.sentAt) > l.expected(now, req.typical)
	l.recordAnswer(now, req)
}

// recordLoad records the load that the leaf reported with an answer. This VM's own requests in
// flight are subtracted from it.
func (l *leaf) recordLoad(now time.Time, load Load) {
	others := load.Running + load.Waiting - len(l.inFlight)
	l.othersReported = float64(max(others, 0))
	l.reportedAt = now
	l.freeSlots = load.Slots - load.Running
	if load.Slowdown > 0 {
		l.slowdown.recordReported(now, load.Slowdown)
	}
}

// recordRefusal records that the leaf refused to run a request. It starts a short cooldown, so
// that a full leaf gets no request for a moment. A leaf that reports a free slot with its refusal
// is not full, and is just as likely to refuse the next request. Such a refusal counts as a
// failure.
func (l *leaf) recordRefusal(now time.Time) {
	l.cooldown.startAtLeast(now, refusedCooldown)
	if l.reportedAt.Equal(now) && l.freeSlots > 0 {
		l.failures.add(now, 1)
	}
}

// RecordSurplus records that the leaf has sent bytes that no request waits for, so that a connection had to be
// closed. Its answers stay valid, but the next request takes a new connection: it counts as a failure for the
// choice between leafs.
func (t *Table) RecordSurplus(now time.Time, id LeafID) {
	if l := t.findLeaf(id); l != nil {
		l.failures.add(now, 1)
	}
}

// othersEstimate returns the estimated number of requests of other VMs at the leaf: those in
// its last load report, with a weight that decreases with the report's age. The choice between
// leafs uses it; forecasts use othersRemaining.
func (l *leaf) othersEstimate(now time.Time) float64 {
	age := now.Sub(l.reportedAt)
	if age >= reportedLoadLifetime {
		return 0
	}
	return l.othersReported * reportedLoadWeight * (1 - float64(age)/float64(reportedLoadLifetime))
}

// stalled reports whether the oldest request in flight takes much longer than expected. The leaf
// has then paused, or has stopped without notice.
func (l *leaf) stalled(now time.Time) bool {
	if len(l.inFlight) == 0 {
		return false
	}
	oldest := l.inFlight[0]
	return now.Sub(oldest.sentAt) > max(stalledDurationFactor*l.expected(now, oldest.typical), minStalledDuration)
}

// expected returns the time that a request takes at this leaf once it runs, where typical is its
// duration at a leaf of usual speed.
func (l *leaf) expected(now time.Time, typical time.Duration) time.Duration {
	return time.Duration(l.slowdown.factor(now) * float64(typical))
}

// cost returns the cost of one more request at the leaf. Requests go to the leaf with the lowest
// cost. It is the time that the request is expected to take, including the time in the queue,
// plus surcharges for another zone, a stalled leaf and recent failures. typical is the duration
// of such a request at a leaf of usual speed. objective is its latency objective; some surcharges
// are shares of it.
func (l *leaf) cost(now time.Time, objective, typical time.Duration) time.Duration {
	base := l.expected(now, typical)
	// ahead is the number of requests that have to end first: those of this VM and of other
	// VMs, plus the new one, less those that run at the same time.
	ahead := float64(len(l.inFlight)) + l.othersEstimate(now) + 1 - float64(l.Slots)
	cost := base + time.Duration(max(ahead, 0)/float64(l.Slots)*float64(base))
	if !l.sameZone {
		cost += time.Duration(crossZoneSurcharge * float64(objective))
	}
	if l.stalled(now) {
		cost += stalledLeafDelay
	}
	return cost + time.Duration(failureRateSurcharge*l.failures.current(now)*float64(objective))
}

// idle reports whether a request would get a slot at once, as far as this VM knows.
func (l *leaf) idle(now time.Time) bool {
	return !l.stalled(now) && float64(len(l.inFlight))+l.othersEstimate(now) < float64(l.Slots)
}

// hasCapacity reports whether this VM may send one more request to the leaf. A leaf whose latest
// request expired gets a single one, so that no more requests are lost if it is still too slow.
func (l *leaf) hasCapacity() bool {
	if l.halfOpen {
		return len(l.inFlight) == 0
	}
	return len(l.inFlight) < l.maxInFlight
}
