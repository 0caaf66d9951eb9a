package route

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

const (
	// cooldownTime is how long other owners are tried before an owner that didn't answer
	// or could not be reached. An owner that isn't called can't show that it has
	// recovered, so the cooldown ends after a fixed time.
	cooldownTime = 2 * time.Second
	// An owner with calls in flight counts as silent if no answer has arrived for
	// longer than minSilence and silenceFactor times the mean latency.
	minSilence    = 20 * time.Millisecond
	silenceFactor = 4
	// maxUnanswered is the number of consecutive calls without an answer that puts an
	// owner into cooldown.
	maxUnanswered = 3
	// The bounds on a cooldown after a refusal.
	minRefusalCooldown = 100 * time.Millisecond
	maxRefusalCooldown = time.Second
	// meanWeight is the divisor of the moving average: each new latency changes the
	// average by its difference from it divided by meanWeight.
	meanWeight = 8
)

// ownerHealth tracks the health of one owner from the calls that go through it. A frozen
// owner counts as live for seconds, until the exchange detects it. Without ownerHealth,
// each call to it in that time would be lost or cost a hedge. ownerHealth isn't safe for
// concurrent use; it has no side effects and takes the time as a parameter.
type ownerHealth struct {
	inFlight      int                  // calls in flight
	waitingSince  time.Time            // time of the last answer, or start of the first call after it
	meanLatency   time.Duration        // moving average of the time until an answer
	unanswered    int                  // calls that ended without an answer since the last answer
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

// answered records an answer of any kind, including a refusal by the target.
func (h *ownerHealth) answered(took time.Duration, now time.Time) {
	h.inFlight--
	h.waitingSince = now
	h.unanswered = 0
	h.meanLatency += (took - h.meanLatency) / meanWeight
}

// abandoned records a call that was cancelled or timed out without an answer. It starts
// a cooldown if the owner is silent or maxUnanswered is reached.
func (h *ownerHealth) abandoned(now time.Time) {
	silent := h.silent(now)
	h.inFlight--
	h.unanswered++
	if silent || h.unanswered >= maxUnanswered {
		h.markUnreachable(now)
	}
}

// record records the outcome of a call to the named target, which took the given time.
// connEnded says that the connection to the owner has ended.
func (h *ownerHealth) record(ctx context.Context, name string, err error, connEnded bool, took time.Duration, now time.Time) {
	call, _ := err.(*target.CallError)
	switch {
	case call != nil && ctx.Err() != nil:
		h.abandoned(now)
		return
	case call != nil && connEnded:
		h.connectionLost()
		return
	}
	h.answered(took, now)
	if call == nil {
		return
	}
	if call.Kind == target.ErrorBusy || call.Kind == target.ErrorRefused && call.Reason == target.ReasonShed {
		h.markRefused(name, call.RetryAfter, now)
	}
}

// connectionLost records a call whose connection ended before the answer.
func (h *ownerHealth) connectionLost() { h.inFlight-- }

// markUnreachable starts a cooldown for all targets.
func (h *ownerHealth) markUnreachable(now time.Time) {
	h.cooldownUntil = now.Add(cooldownTime)
	h.unanswered = 0
}

// markRefused starts a cooldown for one target after a refusal because no slot was
// free. Other targets of the owner may have free slots.
func (h *ownerHealth) markRefused(name string, retryAfter time.Duration, now time.Time) {
	if h.refusedUntil == nil {
		h.refusedUntil = map[string]time.Time{}
	}
	h.refusedUntil[name] = now.Add(min(max(retryAfter, minRefusalCooldown), maxRefusalCooldown))
}

// silent reports whether calls have been waiting for an answer for unusually long.
func (h *ownerHealth) silent(now time.Time) bool {
	return h.inFlight > 0 && now.Sub(h.waitingSince) > max(minSilence, silenceFactor*h.meanLatency)
}

// inCooldown reports whether other owners of the named target should be tried first:
// during a cooldown, or while the owner is silent.
func (h *ownerHealth) inCooldown(name string, now time.Time) bool {
	return now.Before(h.cooldownUntil) || now.Before(h.refusedUntil[name]) || h.silent(now)
}
