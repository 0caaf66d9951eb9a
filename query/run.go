package query

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// defaultRetryAfter is the wait before a retry that an answer states if its failure has none
// of its own, as with a lack of replicas. Changes of targets' health become known within
// about this time.
const defaultRetryAfter = time.Second

// Search runs a query to its end. It returns as soon as the outcome is decided. It
// never returns nil.
func (e *Engine) Search(ctx context.Context, req *Request) *Answer {
	svc := e.service(req.Search.Service)
	if svc == nil {
		return &Answer{Code: result.NoReplica, Ran: result.RanNo, RetryAfter: defaultRetryAfter}
	}
	if refused := e.admit(ctx, svc, req); refused != nil {
		return refused
	}
	admittedAt := e.now()
	r := e.newRunner(svc, req)
	out := r.run(ctx)
	e.release(svc, req, admittedAt, out)
	answer := newAnswer(req, out)
	if out.End != policy.EndAbandoned {
		r.logFailure(answer.Code, out)
	}
	return answer
}

// newRunner returns a query that has not begun.
func (e *Engine) newRunner(svc *service, req *Request) *runner {
	return &runner{
		engine: e,
		svc:    svc,
		req:    req,
		events: make(chan event, eventBuffer),
		calls:  make(map[policy.AttemptID]call),
		trails: make(map[int]*target.Trail),
	}
}

// run passes the query's events to the policy and executes the policy's actions until the
// outcome is decided.
func (r *runner) run(ctx context.Context) *policy.Outcome {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r.ctx = ctx
	return r.loop()
}

// eventBuffer is the number of events that attempts can post without waiting for the
// query's loop.
const eventBuffer = 64

// runner is one query in progress. Only the goroutine that runs loop uses its
// changing fields; attempts send their results to events.
type runner struct {
	engine *Engine
	svc    *service
	req    *Request
	ctx    context.Context           // ends when the query ends or the caller disconnects
	events chan event                // ends of attempts, for loop
	calls  map[policy.AttemptID]call // in flight
	query  *policy.Query             // the policy's state of this query; guarded by svc.mu
	trails map[int]*target.Trail     // by shard: the VMs through which its attempts are made
	failed []failedAttempt           // for the log
}

// call is the call of an attempt in flight.
type call struct {
	send   policy.Send
	sentAt time.Time
	cancel context.CancelFunc
}

// event is the end of an attempt; answer is nil if it failed.
type event struct {
	attempt policy.AttemptID
	answer  *target.LeafAnswer
	failure policy.Failure // valid only if answer is nil
	details failedAttempt  // valid only if answer is nil
}

// loop runs the query until its outcome is decided. In each round it executes the policy's
// actions and then waits for the end of an attempt, for wake (the time at which the policy
// is to be called next), or for the caller to disconnect.
func (r *runner) loop() *policy.Outcome {
	wake, acts := r.start()
	timer := time.NewTimer(time.Until(wake))
	defer timer.Stop()
	for {
		if out := r.execute(acts); out != nil {
			return out
		}
		timer.Reset(time.Until(wake))
		select {
		case ev := <-r.events:
			wake, acts = r.handleEvents(ev)
		case <-timer.C:
			wake, acts = r.tick()
		case <-r.ctx.Done():
			return r.abandon()
		}
	}
}

// start begins the query. It returns the time at which the policy is to be called next, and
// the actions to execute now.
func (r *runner) start() (time.Time, []policy.Action) {
	r.svc.mu.Lock()
	defer r.svc.mu.Unlock()
	now := r.engine.now()
	r.query = policy.NewQuery(r.req.spec(), r.svc.table)
	acts := r.query.Start(now)
	return r.query.NextTick(), acts
}

// handleEvents passes ev and all other queued events to the policy under one lock. It
// returns the time at which the policy is to be called next, and the actions to execute
// now.
func (r *runner) handleEvents(ev event) (time.Time, []policy.Action) {
	r.svc.mu.Lock()
	defer r.svc.mu.Unlock()
	now := r.engine.now()
	acts := r.handleEvent(now, ev)
	for {
		select {
		case ev = <-r.events:
			acts = append(acts, r.handleEvent(now, ev)...)
		default:
			return r.query.NextTick(), acts
		}
	}
}

// handleEvent passes an event to the policy and returns the actions to execute. The caller
// must hold svc.mu.
func (r *runner) handleEvent(now time.Time, ev event) []policy.Action {
	_, inFlight := r.calls[ev.attempt]
	delete(r.calls, ev.attempt)
	if ev.answer != nil {
		return r.query.HandleAnswer(now, ev.attempt, ev.answer)
	}
	if inFlight {
		r.failed = append(r.failed, ev.details)
	}
	return r.query.HandleFailure(now, ev.attempt, ev.failure)
}

// tick calls the policy at the time that the policy asked for. It returns the time of the
// next such call, and the actions to execute now.
func (r *runner) tick() (time.Time, []policy.Action) {
	r.svc.mu.Lock()
	defer r.svc.mu.Unlock()
	now := r.engine.now()
	acts := r.query.Tick(now)
	return r.query.NextTick(), acts
}

// abandon ends a query whose caller disconnected, and returns its outcome.
func (r *runner) abandon() *policy.Outcome {
	r.svc.mu.Lock()
	acts := r.query.Abandon(r.engine.now())
	r.svc.mu.Unlock()
	return r.execute(acts)
}

// execute executes the policy's actions. It returns the outcome if one of them ends the
// query, and nil otherwise.
func (r *runner) execute(acts []policy.Action) *policy.Outcome {
	for _, act := range acts {
		switch a := act.(type) {
		case policy.Send:
			r.send(a)
		case policy.Cancel:
			r.cancelAttempt(a.Attempt)
		case policy.Finish:
			return &a.Outcome
		}
	}
	return nil
}

// cancelAttempt cancels the call of an attempt that is in flight.
func (r *runner) cancelAttempt(id policy.AttemptID) {
	if c, inFlight := r.calls[id]; inFlight {
		c.cancel()
		delete(r.calls, id)
		r.failed = append(r.failed, failedAttempt{send: c.send, took: time.Since(c.sentAt), err: errCancelled})
	}
}

// send passes an attempt to the workers, which call the leaf. If their queue is full, the
// attempt ends as refused because this VM is busy.
func (r *runner) send(s policy.Send) {
	ctx, cancel := context.WithTimeout(target.WithTrail(r.ctx, r.trail(s.Shard)), s.Timeout)
	r.calls[s.Attempt] = call{send: s, sentAt: time.Now(), cancel: cancel}
	job := func() {
		defer cancel()
		r.post(r.call(ctx, s))
	}
	if !r.engine.pool.TryEnqueue(job) {
		cancel()
		// In a goroutine, because post may wait for loop, which runs send.
		go r.post(event{
			attempt: s.Attempt,
			failure: policy.Failure{Reason: policy.ReasonBusy, Refused: true},
			details: failedAttempt{send: s, err: errNoWorker},
		})
	}
}

// trail returns the trail of a shard's attempts.
func (r *runner) trail(shard int) *target.Trail {
	t := r.trails[shard]
	if t == nil {
		t = &target.Trail{}
		r.trails[shard] = t
	}
	return t
}

// post sends an event to the loop, and drops it if the query has ended.
func (r *runner) post(ev event) {
	select {
	case r.events <- ev:
	case <-r.ctx.Done():
	}
}

// call sends an attempt to its leaf, waits for the answer and returns it, or the failure, as
// an event. The request states the time that is left until ctx's deadline.
func (r *runner) call(ctx context.Context, s policy.Send) event {
	deadline, _ := ctx.Deadline()
	started := time.Now()
	answer, err := r.engine.opts.Leaves.Search(ctx, s.Replica.Target, s.Replica.Leaf, target.LeafRequest{
		Echo: target.Echo{
			Request:  r.req.ID,
			Attempt:  int(s.Attempt),
			Shard:    s.Shard,
			Snapshot: s.Snapshot,
		},
		Kind:       target.Kind(r.req.Search.Kind),
		Query:      r.req.Query,
		After:      r.req.After,
		Limit:      r.req.MaxItems,
		DeadlineMS: time.Until(deadline).Milliseconds(),
	})
	if err != nil {
		return event{
			attempt: s.Attempt,
			failure: failureOf(err),
			details: failedAttempt{send: s, took: time.Since(started), err: err},
		}
	}
	return event{attempt: s.Attempt, answer: &answer}
}

// failureOf converts the error of a call to a leaf to the form that the policy takes: the
// reason for which the shard has no answer, whether it is certain that the target did not
// start the request, and whether no connection was available. An error that is not a
// *target.CallError counts as ReasonBroken.
func failureOf(err error) policy.Failure {
	var call *target.CallError
	if !errors.As(err, &call) {
		return policy.Failure{Reason: policy.ReasonBroken}
	}
	return policy.Failure{
		Reason:       missingReason(call),
		Refused:      call.NotStarted,
		NoConnection: call.Kind == target.ErrorUnreachable || call.Kind == target.ErrorBusy,
		RetryAfter:   call.RetryAfter,
	}
}
