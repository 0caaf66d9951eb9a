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

// retryAfterMS is the delay after which a refusal asks the caller to retry, in milliseconds.
const retryAfterMS = 50

// handler returns the handler of the target's HTTP interface; see package target.
func (t *Target) handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(target.PathStatus), func(w http.ResponseWriter, _ *http.Request) {
		t.writeAnswer(w, http.StatusOK, t.Status())
	})
	mux.HandleFunc(pat.Post("/leaves/:leaf/search"), t.serveSearch)
	mux.HandleFunc(pat.Post("/leaves/:leaf/submit"), t.serveSubmit)
	return mux
}

// serveSearch answers a search of one shard that a leaf holds. The search waits for a slot of the
// leaf and occupies it for the service time.
func (t *Target) serveSearch(w http.ResponseWriter, r *http.Request) {
	leafNumber, l := t.leafFromPath(r)
	req, err := labhttp.ReadJSON[target.LeafRequest](w, r)
	if l == nil || err != nil {
		http.Error(w, "unknown leaf or malformed request", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r.Context(), req.DeadlineMS)
	defer cancel()
	sh, found := t.findShard(leafNumber, req.Echo)
	if !found {
		t.writeRefusal(w, req.Echo, target.ReasonNoSnapshot, true)
		return
	}
	if !t.admit(ctx, w, l, req.Echo) {
		return
	}
	t.recorder.recordSearch(StartedRequest{Echo: req.Echo, Leaf: leafNumber})
	timing, cold := t.currentTiming()
	finished := sleep(ctx, l.serviceTime(timing, cold))
	l.release()
	if !finished {
		t.recorder.recordCancel()
		t.writeRefusal(w, req.Echo, target.ReasonDeadline, false)
		return
	}
	t.writeSearchAnswer(ctx, w, leafNumber, searchShard(sh, req))
}

// searchShard returns the answer to a search of the shard.
func searchShard(sh shard, req target.LeafRequest) target.LeafAnswer {
	items := sh.matchingItems(req.Kind, req.Query, req.After)
	more := req.Limit > 0 && len(items) > req.Limit
	if more {
		items = items[:req.Limit]
	}
	return target.LeafAnswer{
		Echo: req.Echo, Items: items, More: more, Records: int64(len(sh.keys)), Complete: true,
	}
}

// writeSearchAnswer writes the leaf's answer to a search, changed and delayed as the faults require.
func (t *Target) writeSearchAnswer(ctx context.Context, w http.ResponseWriter, leafNumber int, ans target.LeafAnswer) {
	t.mu.Lock()
	fault := t.faults.consumeAnswerFault()
	omitRecords(&ans, fault.missingRecords)
	correct := ans
	if fault.mismatched {
		ans = t.mismatchedAnswer(leafNumber, correct)
	}
	t.lastAnswers[leafNumber] = &correct
	t.mu.Unlock()
	sleep(ctx, fault.delay)
	t.writeAnswer(w, http.StatusOK, ans)
	if fault.duplicate {
		body, _ := json.Marshal(ans)
		w.Write(body)
	}
}

// mismatchedAnswer returns an answer to another request: the leaf's last answer, or the correct one
// with another request id if there is no last answer or it has the same Echo. The caller must hold
// mu.
func (t *Target) mismatchedAnswer(leafNumber int, correct target.LeafAnswer) target.LeafAnswer {
	if last := t.lastAnswers[leafNumber]; last != nil && last.Echo != correct.Echo {
		return *last
	}
	other := correct
	other.Request += "-other"
	return other
}

// serveSubmit answers a submit. The submit waits for a slot of the leaf, is recorded as run and
// occupies the slot for the service time.
func (t *Target) serveSubmit(w http.ResponseWriter, r *http.Request) {
	leafNumber, l := t.leafFromPath(r)
	req, err := labhttp.ReadJSON[target.SubmitRequest](w, r)
	if l == nil || err != nil || req.Key == "" {
		http.Error(w, "unknown leaf, malformed request or missing key", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r.Context(), req.DeadlineMS)
	defer cancel()
	if !t.admit(ctx, w, l, req.Echo) {
		return
	}
	// A submit that has started runs to completion, even if its caller disconnects.
	t.recorder.recordSubmit(StartedRequest{Echo: req.Echo, Leaf: leafNumber, Key: req.Key, Payload: req.Payload})
	timing, cold := t.currentTiming()
	time.Sleep(l.serviceTime(timing, cold))
	l.release()
	if cut, hold := t.consumeSubmitFault(); cut {
		panic(http.ErrAbortHandler)
	} else if hold != nil {
		select {
		case <-hold:
		case <-t.tomb.Dying():
		}
	}
	result, _ := json.Marshal(map[string]string{"filed": req.Key})
	t.writeAnswer(w, http.StatusOK, target.SubmitAnswer{Echo: req.Echo, Key: req.Key, Result: result})
}

// consumeSubmitFault returns the faults of the next answer to a submit. The first result reports
// whether to close the connection without an answer; if so, Faults.CutSubmits is decremented. The
// second is a channel that is closed when answers may be sent, or nil if they are not held.
func (t *Target) consumeSubmitFault() (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return consumeCount(&t.faults.CutSubmits), t.submitHold
}

// admit waits for a slot of the leaf and returns true; the caller must then release the slot. If
// the request can't have one, admit writes a refusal and returns false.
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

// currentTiming returns the distribution of service times, and whether the target is still cold
// after its start.
func (t *Target) currentTiming() (Timing, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timing, t.currentState(time.Now()) == target.StateStarting
}

// findShard returns the shard that echo names, and whether the leaf holds it.
func (t *Target) findShard(leafNumber int, echo target.Echo) (shard, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.placements {
		if p.Snapshot != echo.Snapshot || leafNumber >= len(p.LeafShards) {
			continue
		}
		for _, s := range p.LeafShards[leafNumber] {
			if s == echo.Shard {
				return p.buildShards()[s], true
			}
		}
	}
	return shard{}, false
}

// leafFromPath returns the leaf that the request's path names and its number. The leaf is nil if
// there is none.
func (t *Target) leafFromPath(r *http.Request) (int, *leaf) {
	n, err := strconv.Atoi(pat.Param(r, "leaf"))
	if err != nil || n < 0 || n >= len(t.leaves) {
		return 0, nil
	}
	return n, t.leaves[n]
}

// writeRefusal counts a refusal and writes it. notStarted says that no leaf started the request.
func (t *Target) writeRefusal(w http.ResponseWriter, echo target.Echo, reason target.Reason, notStarted bool) {
	t.recorder.recordRefusal(reason)
	t.writeAnswer(w, http.StatusServiceUnavailable, target.Refusal{
		Echo: &echo, Reason: reason, NotStarted: notStarted, RetryAfterMS: retryAfterMS,
	})
}

// writeAnswer writes value as JSON, with the headers that every answer of a target carries.
func (t *Target) writeAnswer(w http.ResponseWriter, status int, value any) {
	t.mu.Lock()
	state := t.currentState(time.Now())
	t.mu.Unlock()
	w.Header().Set(target.HeaderIncarnation, t.incarnation)
	w.Header().Set(target.HeaderState, string(state))
	labhttp.WriteJSON(w, status, value)
}

// withDeadline returns a context that ends after ms milliseconds.
func withDeadline(ctx context.Context, ms int64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
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
