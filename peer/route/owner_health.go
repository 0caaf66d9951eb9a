package route

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

const (
	// restTime is for how long an owner goes behind the others after it was found
	// silent or could not be reached. Nothing is heard of one that isn't called,
	// so the rest ends by itself.
	restTime = 2 * time.Second
	// minSilence and silenceFactor say when an owner with calls under way counts
	// as silent: no answer for that time, and for as many usual answer times.
	minSilence    = 20 * time.Millisecond
	silenceFactor = 4
	// maxMissed is how many calls in a row may be given up unanswered.
	maxMissed = 3
	// The bounds on a rest after a refusal.
	minRefusal = 100 * time.Millisecond
	maxRefusal = time.Second
	// meanWeight is the weight of the past in the moving mean.
	meanWeight = 8
)

// ownerHealth judges one owner by the calls that go through it. It is pure. A frozen
// owner counts as live for seconds until the exchange finds out; until then each
// call to it would be lost or cost a hedge.
type ownerHealth struct {
	out       int           // calls under way
	since     time.Time     // the last answer, or the begin of the first call after it
	mean      time.Duration // until an answer, moving
	missed    int           // calls given up since the last answer
	restUntil time.Time
	refused   map[string]time.Time // until when, by target
}

func (h *ownerHealth) sent(now time.Time) {
	if h.out == 0 {
		h.since = now
	}
	h.out++
}

// answered takes any answer, refusals by the target included.
func (h *ownerHealth) answered(took time.Duration, now time.Time) {
	h.out--
	h.since = now
	h.missed = 0
	h.mean += (took - h.mean) / meanWeight
}

// givenUp takes a call that ended without an answer.
func (h *ownerHealth) givenUp(now time.Time) {
	silent := h.silent(now)
	h.out--
	h.missed++
	if silent || h.missed >= maxMissed {
		h.unreachable(now)
	}
}

// outcome tells what became of a call about a target; broken says that the
// connection has ended.
func (h *ownerHealth) outcome(ctx context.Context, name string, err error, broken bool, took time.Duration, now time.Time) {
	call, _ := err.(*target.CallError)
	switch {
	case call != nil && ctx.Err() != nil:
		h.givenUp(now)
		return
	case call != nil && broken:
		h.lost()
		return
	}
	h.answered(took, now)
	if call == nil {
		return
	}
	if call.Kind == target.ErrorBusy || call.Kind == target.ErrorRefused && call.Reason == target.ReasonShed {
		h.refuse(name, call.RetryAfter, now)
	}
}

// lost takes a call whose connection broke.
func (h *ownerHealth) lost() { h.out-- }

func (h *ownerHealth) unreachable(now time.Time) {
	h.restUntil = now.Add(restTime)
	h.missed = 0
}

// refuse notes that no slot of a target was free. Other targets of the owner may
// have some.
func (h *ownerHealth) refuse(name string, retryAfter time.Duration, now time.Time) {
	if h.refused == nil {
		h.refused = map[string]time.Time{}
	}
	h.refused[name] = now.Add(min(max(retryAfter, minRefusal), maxRefusal))
}

func (h *ownerHealth) silent(now time.Time) bool {
	return h.out > 0 && now.Sub(h.since) > max(minSilence, silenceFactor*h.mean)
}

// resting tells whether others should be tried first.
func (h *ownerHealth) resting(name string, now time.Time) bool {
	return now.Before(h.restUntil) || now.Before(h.refused[name]) || h.silent(now)
}
