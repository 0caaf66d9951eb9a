package scatter

import (
	"slices"
	"time"
)

// trial finds a leaf that fails each request. Such a leaf mostly fails at once, so that by the requests in
// flight it looks like the one with the most room, and it would attract those for which the others have none.
// While another leaf of the service is sound, a leaf on trial gets no more than one request at a time, after
// pauses that get longer with each further failure.
//
// The leaf may also fail requests for what they ask, as all leafs then do. So a trial restricts nothing while
// no leaf is sound, and adds nothing to forecasts.
type trial struct {
	failures int       // consecutive failed requests, each sent after the one before had ended
	failedAt time.Time // when the latest counted failure ended
}

const (
	// failuresToTrial is the number of consecutive failures from which a leaf is on trial.
	failuresToTrial = 8
	// lastTryPause is the additional pause after which a leaf on trial also gets requests that can't be sent to
	// another leaf if it fails them. Without it, a leaf that gets no other requests would stay on trial for good.
	lastTryPause = 4 * time.Second
)

// recordFailure counts a failure of a request that was sent at sentAt. Requests that were in flight together
// count once, as one pause of a leaf fails them all.
func (t *trial) recordFailure(sentAt, now time.Time) {
	if !sentAt.Before(t.failedAt) {
		t.failures++
		t.failedAt = now
	}
}

// recordSilence records that a request that was sent at sentAt got no answer in the time allowed for it. That
// time is many times longer than any pause of a leaf, and each further request would lose it too: the trial
// begins at once.
func (t *trial) recordSilence(sentAt, now time.Time) {
	t.recordFailure(sentAt, now)
	t.failures = max(t.failures, failuresToTrial)
}

// recordAnswer ends the trial, since the leaf answered a request.
func (t *trial) recordAnswer() { *t = trial{} }

// due reports whether the leaf may be tried with a request. last says that the request can't be sent to another
// leaf if this one fails it.
func (t *trial) due(now time.Time, last bool) bool {
	pause := min(baseCooldown<<min(t.failures-failuresToTrial, maxPauseDoublings), maxCooldown)
	if last {
		pause += lastTryPause
	}
	return now.Sub(t.failedAt) >= pause
}

// onTrial reports whether the leaf is on trial. Failures that take less time than answers say little while an
// older request is still in flight, whose answer may be due.
func (l *leaf) onTrial(now time.Time) bool {
	if l.trial.failures < failuresToTrial {
		return false
	}
	return len(l.inFlight) == 0 || !l.inFlight[0].sentAt.Before(l.trial.failedAt) || l.stalled(now)
}

// sound reports whether the leaf can be expected to serve requests.
func (l *leaf) sound(now time.Time) bool {
	return !l.onTrial(now) && l.available(now) && !l.isCold(now)
}

// restrictTrials returns those of the leafs that may get a request: while one of them is sound, other than those that
// the request was sent to before, a leaf on trial may only if it has none in flight and a try is due. last says that
// the request can't be sent to another leaf if this one fails it.
func restrictTrials(now time.Time, leafs []*leaf, tried []LeafID, last bool) []*leaf {
	onTrial, sound := false, false
	for _, l := range leafs {
		onTrial = onTrial || l.onTrial(now)
		sound = sound || l.sound(now) && !slices.Contains(tried, l.id)
	}
	if !onTrial || !sound {
		return leafs
	}
	list := make([]*leaf, 0, len(leafs))
	for _, l := range leafs {
		if !l.onTrial(now) || len(l.inFlight) == 0 && l.trial.due(now, last) {
			list = append(list, l)
		}
	}
	return list
}
