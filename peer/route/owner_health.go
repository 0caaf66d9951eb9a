package route

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

const (
	// unreachableCooldown is the length of the cooldown of an owner that could not be
	// reached or didn't answer. During the cooldown of an owner, calls try the other owners
	// first. An owner that isn't called can't show that it has recovered, so the cooldown
	// ends after a fixed time.
	unreachableCooldown = 2 * time.Second
	// minSilence and silenceFactor say when an owner with calls in flight counts as silent:
	// if no answer has arrived from it for longer than minSilence, and for longer than
	// silenceFactor times the mean time until its answers.
	minSilence    = 20 * time.Millisecond
	silenceFactor = 4
	// maxUnanswered is the number of consecutive calls through an owner without an answer
	// after which the owner's cooldown starts. abandoned says which calls count.
	maxUnanswered = 3
	// minRefusalCooldown and maxRefusalCooldown bound the cooldown of an owner for one
	// target after it has refused a call to that target. Between them it is the time that
	// the refusal asks to wait before a retry.
	minRefusalCooldown = 100 * time.Millisecond
	maxRefusalCooldown = time.Second
	// meanLatencyDivisor determines how fast the moving average of an owner's latencies
	// follows new ones: a new latency changes the average by the difference between the
	// two, divided by meanLatencyDivisor.
	meanLatencyDivisor = 8
)

// ownerHealth tracks the health of one owner, a VM through which this one calls targets,
// from the calls that go through it. A frozen owner counts as live for seconds, until the
// exchange detects it. Without ownerHealth, each call to it in that time would be lost or
// cost a hedge. ownerHealth isn't safe for concurrent use. It has no side effects and
// takes the time as a parameter.
type ownerHealth struct {
	inFlight      int                  // number of calls in flight
	waitingSince  time.Time            // the later of the last answer and the last start of a call while no other was in flight
	meanLatency   time.Duration        // moving average of the time until an answer
	unanswered    int                  // number of calls that count as unanswered since the last answer or the start of the last cooldown
	unansweredAt  time.Time            // when a call last counted as unanswered
	cooldownUntil time.Time            // end of the cooldown for all targets
	refusedUntil  map[string]time.Time // end of the cooldown after a refusal, by target
}

// sent records the start of a call.
func (h *ownerHealth) sent(now time.Time) {
	if h.inFlight == 0 {
		h.waitingSince = now
	}
	h.inFlight++
}

// answered records an answer of any kind, including a refusal by the target. took is the
// time from the start of the call to the answer.
func (h *ownerHealth) answered(took time.Duration, now time.Time) {
	h.inFlight--
	h.waitingSince = now
	h.unanswered = 0
	h.meanLatency += (took - h.meanLatency) / meanLatencyDivisor
}

// abandoned records a call that was cancelled or timed out without an answer. It starts
// a cooldown if the owner is silent or maxUnanswered is reached. took is the time since the
// start of the call.
//
// A call that was cancelled before an answer was due, like a hedge that another attempt
// made superfluous, shows nothing and doesn't count as unanswered. Calls that were in
// flight at the same time count once: a short pause of the owner or of this VM delays all of
// them.
func (h *ownerHealth) abandoned(took time.Duration, now time.Time) {
	silent := h.silent(now)
	h.inFlight--
	if sentAt := now.Add(-took); took >= h.meanLatency && !sentAt.Before(h.unansweredAt) {
		h.unanswered++
		h.unansweredAt = now
	}
	if silent || h.unanswered >= maxUnanswered {
		h.markUnreachable(now)
	}
}

// record records that a call to the named target ended with err; nil means success. took is
// the duration of the call and ctx its context. connEnded says that the connection to the
// owner has ended. An error counts as an answer of the owner only if neither ctx nor the
// connection has ended.
func (h *ownerHealth) record(ctx context.Context, name string, err error, connEnded bool, took time.Duration, now time.Time) {
	call, _ := err.(*target.CallError)
	switch {
	case call != nil && ctx.Err() != nil:
		h.abandoned(took, now)
		return
	case call != nil && connEnded:
		h.connectionLost()
		return
	}
	h.answered(took, now)
	if call == nil {
		return
	}
	switch {
	case call.Kind == target.ErrorBusy: // the owner itself is at its limit
	case call.Kind == target.ErrorRefused && call.Reason == target.ReasonShed: // no slot of the leaf was free in time
	case call.Kind == target.ErrorUnreachable: // the owner has no connection to the target
	default:
		return
	}
	h.markRefused(name, call.RetryAfter, now)
}

// connectionLost records a call whose connection ended before the answer. It starts no
// cooldown: the next call dials the owner, and a failed dial starts one.
func (h *ownerHealth) connectionLost() { h.inFlight-- }

// markUnreachable starts a cooldown of the owner for all targets.
func (h *ownerHealth) markUnreachable(now time.Time) {
	h.cooldownUntil = now.Add(unreachableCooldown)
	h.unanswered = 0
}

// markRefused starts a cooldown of the owner for one target after it has refused a call
// because no slot was free or it has no connection to the target. That says nothing about
// other targets. retryAfter is the time that the refusal asks to wait.
func (h *ownerHealth) markRefused(name string, retryAfter time.Duration, now time.Time) {
	if h.refusedUntil == nil {
		h.refusedUntil = map[string]time.Time{}
	}
	h.refusedUntil[name] = now.Add(min(max(retryAfter, minRefusalCooldown), maxRefusalCooldown))
}

// silent reports whether calls are in flight and no answer has arrived from the owner for
// unusually long: longer than minSilence, and than silenceFactor times the mean latency.
func (h *ownerHealth) silent(now time.Time) bool {
	return h.inFlight > 0 && now.Sub(h.waitingSince) > max(minSilence, silenceFactor*h.meanLatency)
}

// inCooldown reports whether other owners of the named target should be tried first:
// during a cooldown, or while the owner is silent.
func (h *ownerHealth) inCooldown(name string, now time.Time) bool {
	return now.Before(h.cooldownUntil) || now.Before(h.refusedUntil[name]) || h.silent(now)
}
