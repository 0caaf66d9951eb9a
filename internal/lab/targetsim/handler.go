package targetsim

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/labhttp"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// retryAfterMS is when a refused caller is told to come back.
const retryAfterMS = 50

func (t *Target) handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(target.PathStatus), func(w http.ResponseWriter, _ *http.Request) {
		t.writeAnswer(w, http.StatusOK, t.Status())
	})
	mux.HandleFunc(pat.Post("/leaves/:leaf/search"), t.serveSearch)
	mux.HandleFunc(pat.Post("/leaves/:leaf/submit"), t.serveSubmit)
	return mux
}

func (t *Target) serveSearch(w http.ResponseWriter, r *http.Request) {
	number, l := t.leafFromPath(r)
	req, err := labhttp.ReadJSON[target.LeafRequest](w, r)
	if l == nil || err != nil {
		http.Error(w, "no such leaf, or malformed request", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r.Context(), req.DeadlineMS)
	defer cancel()
	part, held := t.findShard(number, req.Echo)
	if !held {
		t.writeRefusal(w, req.Echo, target.ReasonNoSnapshot, true)
		return
	}
	if !t.admit(ctx, w, l, req.Echo) {
		return
	}
	t.recorder.recordSearch(StartedRequest{Echo: req.Echo, Leaf: number})
	timing, cold := t.currentTiming()
	finished := sleep(ctx, l.serviceTime(timing, cold))
	l.release()
	if !finished {
		t.recorder.recordCancel()
		t.writeRefusal(w, req.Echo, target.ReasonDeadline, false)
		return
	}
	t.writeSearchAnswer(ctx, w, number, searchShard(part, req))
}

// searchShard reads the shard for one request.
func searchShard(part shard, req target.LeafRequest) target.LeafAnswer {
	items := part.matchingItems(req.Kind, req.Query, req.After)
	more := req.Limit > 0 && len(items) > req.Limit
	if more {
		items = items[:req.Limit]
	}
	return target.LeafAnswer{
		Echo: req.Echo, Items: items, More: more, Records: int64(len(part.keys)), Complete: true,
	}
}

// writeSearchAnswer answers, with whatever fault is due.
func (t *Target) writeSearchAnswer(ctx context.Context, w http.ResponseWriter, number int, ans target.LeafAnswer) {
	t.mu.Lock()
	fault := t.faults.consumeAnswerFault()
	omitRecords(&ans, fault.missingRecords)
	own := ans
	if fault.mismatched {
		ans = t.mismatchedAnswer(number, own)
	}
	t.lastAnswers[number] = &own
	t.mu.Unlock()
	sleep(ctx, fault.delay)
	t.writeAnswer(w, http.StatusOK, ans)
	if fault.duplicate {
		body, _ := json.Marshal(ans)
		w.Write(body)
	}
}

// mismatchedAnswer returns an answer that belongs to another request. The caller
// must hold mu.
func (t *Target) mismatchedAnswer(number int, own target.LeafAnswer) target.LeafAnswer {
	if last := t.lastAnswers[number]; last != nil && last.Echo != own.Echo {
		return *last
	}
	other := own
	other.Request += "-other"
	return other
}

func (t *Target) serveSubmit(w http.ResponseWriter, r *http.Request) {
	number, l := t.leafFromPath(r)
	req, err := labhttp.ReadJSON[target.SubmitRequest](w, r)
	if l == nil || err != nil || req.Key == "" {
		http.Error(w, "no such leaf, malformed request or no key", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r.Context(), req.DeadlineMS)
	defer cancel()
	if !t.admit(ctx, w, l, req.Echo) {
		return
	}
	// Once started, a submit runs to its end, whether anybody waits or not.
	t.recorder.recordSubmit(StartedRequest{Echo: req.Echo, Leaf: number, Key: req.Key, Payload: req.Payload})
	timing, cold := t.currentTiming()
	time.Sleep(l.serviceTime(timing, cold))
	l.release()
	if cut, held := t.consumeSubmitFault(); cut {
		panic(http.ErrAbortHandler)
	} else if held != nil {
		select {
		case <-held:
		case <-t.tomb.Dying():
		}
	}
	result, _ := json.Marshal(map[string]string{"filed": req.Key})
	t.writeAnswer(w, http.StatusOK, target.SubmitAnswer{Echo: req.Echo, Key: req.Key, Result: result})
}

// consumeSubmitFault returns whether to cut the connection, or what to wait for.
func (t *Target) consumeSubmitFault() (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return consumeCount(&t.faults.CutSubmits), t.submitHold
}

// admit takes a slot, or refuses.
func (t *Target) admit(ctx context.Context, w http.ResponseWriter, l *leaf, echo target.Echo) bool {
	t.mu.Lock()
	state := t.currentState(time.Now())
	refuseCold := state == target.StateStarting && t.timing.ColdFactor == 0
	shedShare := t.faults.ShedShare
	t.mu.Unlock()
	switch {
	case state == target.StateDraining:
		t.writeRefusal(w, echo, target.ReasonDraining, true)
		return false
	case refuseCold:
		t.writeRefusal(w, echo, target.ReasonCold, true)
		return false
	case l.happens(shedShare):
		t.writeRefusal(w, echo, target.ReasonShed, true)
		return false
	}
	switch l.acquire(ctx) {
	case queueFull:
		t.writeRefusal(w, echo, target.ReasonShed, true)
		return false
	case waitCancelled:
		t.writeRefusal(w, echo, target.ReasonDeadline, true)
		return false
	}
	return true
}

// currentTiming returns how long requests run just now, and whether the target is cold.
func (t *Target) currentTiming() (Timing, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timing, t.currentState(time.Now()) == target.StateStarting
}

// findShard returns the shard that echo names if that leaf holds it.
func (t *Target) findShard(number int, echo target.Echo) (shard, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.placements {
		if h.Snapshot != echo.Snapshot || number >= len(h.LeafShards) {
			continue
		}
		for _, s := range h.LeafShards[number] {
			if s == echo.Shard {
				return h.buildShards()[s], true
			}
		}
	}
	return shard{}, false
}

func (t *Target) leafFromPath(r *http.Request) (int, *leaf) {
	n, err := strconv.Atoi(pat.Param(r, "leaf"))
	if err != nil || n < 0 || n >= len(t.leaves) {
		return 0, nil
	}
	return n, t.leaves[n]
}

func (t *Target) writeRefusal(w http.ResponseWriter, echo target.Echo, reason target.Reason, notStarted bool) {
	t.recorder.recordRefusal(reason)
	t.writeAnswer(w, http.StatusServiceUnavailable, target.Refusal{
		Echo: &echo, Reason: reason, NotStarted: notStarted, RetryAfterMS: retryAfterMS,
	})
}

func (t *Target) writeAnswer(w http.ResponseWriter, status int, value any) {
	t.mu.Lock()
	state := t.currentState(time.Now())
	t.mu.Unlock()
	w.Header().Set(target.HeaderIncarnation, t.incarnation)
	w.Header().Set(target.HeaderState, string(state))
	labhttp.WriteJSON(w, status, value)
}

func withDeadline(ctx context.Context, ms int64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// sleep returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
