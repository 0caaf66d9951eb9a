package query

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// Submission is a non-idempotent request. Its right to run has been claimed.
type Submission struct {
	ID       string
	Search   *bundle.Search
	Key      string
	Payload  json.RawMessage
	Deadline time.Time
}

// SubmitResult is what became of a Submission. Code is Accepted, or a code whose
// Ran is "not run", or OutcomeUnknown.
type SubmitResult struct {
	Code       result.Code
	Result     json.RawMessage
	Detail     string
	RetryAfter time.Duration
}

// Admit takes or refuses a non-idempotent request for a service, before its
// key is claimed. If refused is nil, done must be called once at its end.
func (e *Engine) Admit(ctx context.Context, service string, deadline time.Time) (done func(), refused *Answer) {
	svc := e.service(service)
	if svc == nil {
		return nil, &Answer{Code: result.NoReplica, Ran: result.RanNo, RetryAfter: defaultRetryAfter}
	}
	if refused := e.admitUntil(ctx, svc, deadline); refused != nil {
		return nil, refused
	}
	began := e.now()
	return func() {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		now := e.now()
		svc.finishQuery(now, policy.QueryEnd{Took: now.Sub(began)})
	}, nil
}

// Submit hands a claimed request to one target. It offers it to another one
// only after a target's own word that it did not start it.
func (e *Engine) Submit(ctx context.Context, req *Submission) SubmitResult {
	svc := e.service(req.Search.Service)
	if svc == nil {
		return SubmitResult{Code: result.NoReplica, RetryAfter: defaultRetryAfter}
	}
	svc.mu.Lock()
	sub, ok := policy.NewSubmission(svc.table, xxhash.Sum64String(req.Key), req.Search.Retry.MaxAttempts, e.now())
	svc.mu.Unlock()
	if !ok {
		return SubmitResult{Code: result.NoReplica, RetryAfter: defaultRetryAfter}
	}
	return e.runSubmission(ctx, svc, req, sub)
}

func (e *Engine) runSubmission(ctx context.Context, svc *service, req *Submission, sub *policy.Submission) SubmitResult {
	for {
		svc.mu.Lock()
		send, wait, ok := sub.Next(e.now())
		svc.mu.Unlock()
		if !ok {
			if wait.IsZero() || !wait.Before(req.Deadline) || !sleep(ctx, time.Until(wait)) {
				return notStartedResult(sub)
			}
			continue
		}
		answer, err := e.callTarget(ctx, req, send)
		svc.mu.Lock()
		sub.HandleEnd(e.now(), endOfAttempt(err))
		svc.mu.Unlock()
		if err == nil {
			return SubmitResult{Code: result.Accepted, Result: answer.Result}
		}
		if !endOfAttempt(err).Refused {
			return SubmitResult{Code: result.OutcomeUnknown, Detail: err.Error()}
		}
		e.opt.Log.Debug("a target did not start a request", "request", req.ID, "error", err)
	}
}

// sleep waits and reports whether ctx still stands.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) callTarget(ctx context.Context, req *Submission, send policy.Send) (target.SubmitAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	return e.opt.Leaves.Submit(ctx, send.Replica.Target, send.Replica.Leaf, target.SubmitRequest{
		Echo: target.Echo{
			Request:  req.ID,
			Attempt:  int(send.Attempt),
			Shard:    send.Shard,
			Snapshot: send.Snapshot,
		},
		Key:        req.Key,
		Payload:    req.Payload,
		DeadlineMS: time.Until(req.Deadline).Milliseconds(),
	})
}

func endOfAttempt(err error) policy.AttemptEnd {
	if err == nil {
		return policy.AttemptEnd{Answered: true}
	}
	var call *target.CallError
	if errors.As(err, &call) && call.NotStarted {
		return policy.AttemptEnd{Refused: true, RetryAfter: call.RetryAfter}
	}
	return policy.AttemptEnd{}
}

func notStartedResult(sub *policy.Submission) SubmitResult {
	if sub.Tried() == 0 {
		return SubmitResult{Code: result.NoReplica, RetryAfter: defaultRetryAfter}
	}
	return SubmitResult{Code: result.NotStarted, RetryAfter: defaultRetryAfter}
}
