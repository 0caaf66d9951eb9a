package route

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

const (
	// cooldownTime is for how long an owner goes behind the others after it was found
	// silent or could not be reached. Nothing is heard of one that isn't called,
	// so the rest ends by itself.
	cooldownTime = 2 * time.Second
	// minSilence and silenceFactor say when an owner with calls under way counts
	// as silent: no answer for that time, and for as many usual answer times.
	minSilence    = 20 * time.Millisecond
	silenceFactor = 4
	// maxUnanswered is how many calls in a row may be given up unanswered.
	maxUnanswered = 3
	// The bounds on a rest after a refusal.
	minRefusalCooldown = 100 * time.Millisecond
	maxRefusalCooldown = time.Second
	// meanWeight is the weight of the past in the moving mean.
	meanWeight = 8
)

// ownerHealth judges one owner by the calls that go through it. It is pure. A frozen
// owner counts as live for seconds until the exchange finds out; until then each
// call to it would be lost or cost a hedge.
type ownerHealth struct {
	inFlight      int           // calls under way
	waitingSince  time.Time     // the last answer, or the begin of the first call after it
	meanLatency   time.Duration // until an answer, moving
	unanswered    int           // calls given up since the last answer
	cooldownUntil time.Time
	refusedUntil  map[string]time.Time // until when, by target
}

func (h *ownerHealth) sent(now time.Time) {
	if h.inFlight == 0 {
		h.waitingSince = now
	}
	h.inFlight++
}

// answered takes any answer, refusals by the target included.
func (h *ownerHealth) answered(took time.Duration, now time.Time) {
	h.inFlight--
	h.waitingSince = now
	h.unanswered = 0
	h.meanLatency += (took - h.meanLatency) / meanWeight
}

// abandoned takes a call that ended without an answer.
func (h *ownerHealth) abandoned(now time.Time) {
	silent := h.silent(now)
	h.inFlight--
	h.unanswered++
	if silent || h.unanswered >= maxUnanswered {
		h.markUnreachable(now)
	}
}

// record tells what became of a call about a target; broken says that the
// connection has ended.
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

// connectionLost takes a call whose connection broke.
func (h *ownerHealth) connectionLost() { h.inFlight-- }

func (h *ownerHealth) markUnreachable(now time.Time) {
	h.cooldownUntil = now.Add(cooldownTime)
	h.unanswered = 0
}

// markRefused notes that no slot of a target was free. Other targets of the owner may
// have some.
func (h *ownerHealth) markRefused(name string, retryAfter time.Duration, now time.Time) {
	if h.refusedUntil == nil {
		h.refusedUntil = map[string]time.Time{}
	}
	h.refusedUntil[name] = now.Add(min(max(retryAfter, minRefusalCooldown), maxRefusalCooldown))
}

func (h *ownerHealth) silent(now time.Time) bool {
	return h.inFlight > 0 && now.Sub(h.waitingSince) > max(minSilence, silenceFactor*h.meanLatency)
}

// inCooldown tells whether others should be tried first.
func (h *ownerHealth) inCooldown(name string, now time.Time) bool {
	return now.Before(h.cooldownUntil) || now.Before(h.refusedUntil[name]) || h.silent(now)
}
