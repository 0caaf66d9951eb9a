package edge

import (
	"context"
	"errors"
	"time"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/topk"
)

// peerClient reaches other VMs.
type peerClient interface {
	// gather makes a call, reports that it was written, and passes each answer to take. It
	// returns after the last answer, or when ctx ends. A neverSentError says that the VM got no
	// call.
	gather(ctx context.Context, vm scatter.VM, call *gatherCall, sent func(), take func(*gatherAnswer)) error
	// connect opens a connection if there is none, and reports whether it did. A new one
	// proves that the VM lives.
	connect(ctx context.Context, vm scatter.VM) (opened bool, err error)
	// ping asks a VM whether it lives, if there is a connection to it. After an error there
	// is none any more.
	ping(ctx context.Context, vm scatter.VM) error
	// follow makes a call to a VM that reads the store.
	follow(ctx context.Context, vm scatter.VM, method string, call *followCall, into any) error
}

// neverSentError says that nothing of a call was sent.
type neverSentError struct{ err error }

// Error implements error.
func (e *neverSentError) Error() string { return "edge: call not sent: " + e.err.Error() }

// Unwrap returns the cause.
func (e *neverSentError) Unwrap() error { return e.err }

// noPeerClient is a VM that has not joined the others.
type noPeerClient struct{}

var errNotJoined = errors.New("edge: not joined to other VMs")

func (noPeerClient) gather(context.Context, scatter.VM, *gatherCall, func(), func(*gatherAnswer)) error {
	return &neverSentError{err: errNotJoined}
}

func (noPeerClient) connect(context.Context, scatter.VM) (bool, error) { return false, errNotJoined }

func (noPeerClient) ping(context.Context, scatter.VM) error { return errNotJoined }

func (noPeerClient) follow(context.Context, scatter.VM, string, *followCall, any) error {
	return errNotJoined
}

// callLinger is how long a call to another VM goes on after it should have answered:
// its answer, if it comes, still tells that the VM lives.
const callLinger = 100 * time.Millisecond

// callPeer makes one call to another VM.
func (r *runner) callPeer(call scatter.CallVM) {
	ctx, cancel := context.WithDeadline(r.attempts, call.AnswerBy.Add(callLinger))
	defer cancel()
	onSent := func() { r.post(event{call: call.Call, sent: true}) }
	err := r.e.currentPeerClient().gather(ctx, call.VM, r.newGatherCall(call), onSent, func(ans *gatherAnswer) {
		shards, err := toShardsAnswer(call, ans)
		if err != nil {
			r.e.log.Error("answer of a VM dropped", "request", r.req.ID, "vm", call.VM.Name, "error", err)
			return
		}
		r.post(event{call: call.Call, shards: shards})
	})
	end := scatter.EndAnswered
	if err != nil {
		end = endOfCall(ctx)
		r.e.log.Warn("call to a VM failed", "request", r.req.ID, "vm", call.VM.Name, "zone", call.VM.Zone, "shards", len(call.Shards), "error", err)
		var neverSent *neverSentError
		r.post(event{call: call.Call, end: end, neverSent: errors.As(err, &neverSent)})
	}
	r.e.mu.Lock()
	r.e.table.CallEnded(time.Now(), call.VM.Name, end)
	r.e.mu.Unlock()
	if end != scatter.EndAnswered {
		r.e.livenessCheckDue.notify()
		r.e.suspectVMs.notify()
	}
	r.e.stats.call(end)
}

func (r *runner) newGatherCall(call scatter.CallVM) *gatherCall {
	services := make([]string, len(call.Shards))
	for i, shard := range call.Shards {
		services[i] = r.spec.Services[shard]
	}
	return &gatherCall{
		ID:                 r.req.ID,
		Method:             r.req.HTTP.Method,
		Target:             r.req.HTTP.Target,
		Host:               r.req.HTTP.Host,
		Header:             r.req.HTTP.Header,
		Services:           services,
		Views:              call.Views,
		Required:           call.Required,
		Redelegated:        call.Redelegated,
		Top:                r.req.Top,
		MaxAttempts:        r.spec.MaxAttempts,
		LatencyObjectiveUS: r.spec.LatencyObjective.Microseconds(),
		InterimUS:          time.Until(call.InterimBy).Microseconds(),
		AnswerUS:           time.Until(call.AnswerBy).Microseconds(),
		DeadlineUS:         time.Until(r.req.Deadline).Microseconds(),
	}
}

// endOfCall tells silence from a connection that could not be made or broke.
func endOfCall(ctx context.Context) scatter.End {
	if ctx.Err() != nil {
		return scatter.EndSilent
	}
	return scatter.EndUnreachable
}

var errInvalidAnswer = errors.New("edge: answer does not fit the call")

// toShardsAnswer numbers the shards of an answer as the query does.
func toShardsAnswer(call scatter.CallVM, ans *gatherAnswer) (*ShardsAnswer, error) {
	if len(ans.Included) != len(ans.Receipts) {
		return nil, errInvalidAnswer
	}
	included, err := mapShards(call, ans.Included)
	if err != nil {
		return nil, err
	}
	declined, err := mapShards(call, ans.Declined)
	if err != nil {
		return nil, err
	}
	return &ShardsAnswer{
		Included:   included,
		Receipts:   ans.Receipts,
		Records:    ans.Records,
		declined:   declined,
		last:       ans.Last,
		refused:    ans.Refused,
		retryAfter: time.Duration(ans.RetryAfterUS) * time.Microsecond,
	}, nil
}

func mapShards(call scatter.CallVM, indexes []int) ([]int, error) {
	var shards []int
	for _, i := range indexes {
		if i < 0 || i >= len(call.Shards) {
			return nil, errInvalidAnswer
		}
		shards = append(shards, call.Shards[i])
	}
	return shards, nil
}

// serveGather carries out another VM's call, which it acknowledges at once. It never asks a
// third VM, so that no two VMs wait for each other. What has come in by the interim is answered then: the caller
// learns that this VM lives, and has most of the shards should it die.
// Shards of which this VM knows other leafs than the caller are declined at once.
func (e *Engine) serveGather(ctx context.Context, call *gatherCall, answer func(*gatherAnswer)) {
	answer(&gatherAnswer{Key: call.Key}) // acknowledges the call
	now := time.Now()
	fromNow := func(us int64) time.Time { return now.Add(time.Duration(us) * time.Microsecond) }
	req := &Request{
		ID:       call.ID,
		Deadline: fromNow(call.DeadlineUS),
		Top:      call.Top,
		HTTP: &leafhttp.Request{
			Method: call.Method,
			Target: call.Target,
			Host:   call.Host,
			Header: call.Header,
		},
	}
	spec := scatter.Spec{
		Services:         call.Services,
		Gathered:         true,
		Idempotent:       true,
		MaxAttempts:      call.MaxAttempts,
		LatencyObjective: time.Duration(call.LatencyObjectiveUS) * time.Microsecond,
		AnswerBy:         fromNow(call.AnswerUS),
		Deadline:         req.Deadline,
		RequestID:        call.ID,
		Delegated:        true,
		Views:            call.Views,
		Required:         call.Required,
		Redelegated:      call.Redelegated,
		BudgetWeight:     scatter.DelegateWeight,
	}
	if call.Redelegated {
		spec.BudgetWeight = 0 // counted where it was asked for before
	}
	r := e.newRunner(req, spec)
	reported := make(map[scatter.AttemptID]bool)
	r.interim = fromNow(call.InterimUS)
	r.onInterim = func(ids []scatter.AttemptID) {
		if ans := r.partialAnswer(ids, reported); len(ans.Included) > 0 {
			ans.Key = call.Key
			answer(ans)
		}
	}
	r.onDeclined = func(shards []int) { answer(&gatherAnswer{Key: call.Key, Declined: shards}) }
	out := r.run(ctx)
	last := r.partialAnswer(out.Parts, reported)
	last.Key, last.Last = call.Key, true
	if out.Verdict == scatter.NotRun {
		last.Refused, last.RetryAfterUS = true, out.RetryAfter.Microseconds()
	}
	answer(last)
	e.logGather(req, spec, out, time.Since(now))
}

// partialAnswer is the answer with these attempts, less those that were told before.
func (r *runner) partialAnswer(ids []scatter.AttemptID, reported map[scatter.AttemptID]bool) *gatherAnswer {
	ans := &gatherAnswer{}
	var bodies [][]byte
	for _, id := range ids {
		if reported[id] {
			continue
		}
		reported[id] = true
		part := r.answers[id]
		ans.Included = append(ans.Included, r.shards[id])
		ans.Receipts = append(ans.Receipts, part.metadata.Receipt)
		bodies = append(bodies, part.Body)
	}
	ans.Records = topk.Merge(r.req.Top, bodies)
	return ans
}
