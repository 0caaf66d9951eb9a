package query

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// defaultRetryAfter is stated with answers that fell short for want of replicas: about
// the time in which the health of targets is learned anew.
const defaultRetryAfter = time.Second

// Search runs a query to its end. It returns when the outcome is decided, and
// never holds a decided outcome back.
func (e *Engine) Search(ctx context.Context, req *Request) *Answer {
	svc := e.service(req.Search.Service)
	if svc == nil {
		return &Answer{Code: result.NoReplica, Ran: result.RanNo, RetryAfter: defaultRetryAfter}
	}
	if refused := e.admit(ctx, svc, req); refused != nil {
		return refused
	}
	began := e.now()
	out := e.run(ctx, svc, req)
	e.release(svc, req, began, out)
	return newAnswer(req, out)
}

// run feeds one query's events to the policy and carries out its actions.
func (e *Engine) run(ctx context.Context, svc *service, req *Request) *policy.Outcome {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &runner{
		engine:  e,
		svc:     svc,
		req:     req,
		ctx:     ctx,
		events:  make(chan event, eventBuffer),
		cancels: make(map[policy.AttemptID]context.CancelFunc),
	}
	return r.loop()
}

// eventBuffer lets attempts end without waiting for the query's loop.
const eventBuffer = 64

// runner is one query in progress. Its fields belong to the goroutine that
// runs loop; attempts reach it through events alone.
type runner struct {
	engine  *Engine
	svc     *service
	req     *Request
	ctx     context.Context
	events  chan event
	cancels map[policy.AttemptID]context.CancelFunc
	query   *policy.Query
}

// event is the end of an attempt; answer is nil if it failed.
type event struct {
	attempt policy.AttemptID
	answer  *target.LeafAnswer
	failure policy.Failure
}

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

func (r *runner) start() (time.Time, []policy.Action) {
	r.svc.mu.Lock()
	defer r.svc.mu.Unlock()
	now := r.engine.now()
	r.query = policy.NewQuery(r.req.spec(), r.svc.table)
	acts := r.query.Start(now)
	return r.query.NextTick(), acts
}

// handleEvents feeds an event, and those that have come meanwhile, under one lock.
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

// handleEvent passes an event to the policy. It must hold svc.mu.
func (r *runner) handleEvent(now time.Time, ev event) []policy.Action {
	if ev.answer != nil {
		return r.query.HandleAnswer(now, ev.attempt, ev.answer)
	}
	return r.query.HandleFailure(now, ev.attempt, ev.failure)
}

func (r *runner) tick() (time.Time, []policy.Action) {
	r.svc.mu.Lock()
	defer r.svc.mu.Unlock()
	now := r.engine.now()
	acts := r.query.Tick(now)
	return r.query.NextTick(), acts
}

// abandon ends a query whose caller went away.
func (r *runner) abandon() *policy.Outcome {
	r.svc.mu.Lock()
	acts := r.query.Abandon(r.engine.now())
	r.svc.mu.Unlock()
	return r.execute(acts)
}

// execute does what the policy decided. It returns the outcome once there is
// one.
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

func (r *runner) cancelAttempt(id policy.AttemptID) {
	if cancel := r.cancels[id]; cancel != nil {
		cancel()
		delete(r.cancels, id)
	}
}

func (r *runner) send(s policy.Send) {
	ctx, cancel := context.WithTimeout(r.ctx, s.Timeout)
	r.cancels[s.Attempt] = cancel
	job := func() {
		defer cancel()
		r.post(r.call(ctx, s))
	}
	if !r.engine.pool.TryEnqueue(job) {
		cancel()
		go r.post(event{attempt: s.Attempt, failure: policy.Failure{Reason: policy.ReasonBusy, Refused: true}})
	}
}

// post hands an event to the loop, unless the query has ended.
func (r *runner) post(ev event) {
	select {
	case r.events <- ev:
	case <-r.ctx.Done():
	}
}

func (r *runner) call(ctx context.Context, s policy.Send) event {
	deadline, _ := ctx.Deadline()
	answer, err := r.engine.opt.Leaves.Search(ctx, s.Replica.Target, s.Replica.Leaf, target.LeafRequest{
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
		return event{attempt: s.Attempt, failure: failureOf(err)}
	}
	return event{attempt: s.Attempt, answer: &answer}
}

// failureOf translates a client's error for the policy.
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
