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

// Submission is a non-idempotent request: it must not run twice. Before it is submitted,
// its key must be claimed, so that no other VM submits the same request.
type Submission struct {
	ID       string          // id of the caller's request
	Search   *bundle.Search  // the search that the caller named, of kind bundle.KindSubmit
	Key      string          // idempotency key
	Payload  json.RawMessage // passed to the target unchanged
	Deadline time.Time       // when the caller's time limit ends
}

// SubmitResult is the outcome of a Submission. Code is Accepted if a target ran it,
// OutcomeUnknown if one may have run it, and otherwise a code whose Ran is "not run".
type SubmitResult struct {
	Code       result.Code
	Result     json.RawMessage // the target's result; only if Code is Accepted
	Detail     string          // more about Code, for the caller; may be empty
	RetryAfter time.Duration   // wait before the caller may retry; 0 if Code is Accepted or OutcomeUnknown
}

// Admit admits or refuses a non-idempotent request for a service, before its key is
// claimed. It may wait until deadline. If refused is nil, the request is admitted and done
// must be called once when it ends.
func (e *Engine) Admit(ctx context.Context, service string, deadline time.Time) (done func(), refused *Answer) {
	svc := e.service(service)
	if svc == nil {
		return nil, &Answer{Code: result.NoReplica, Ran: result.RanNo, RetryAfter: defaultRetryAfter}
	}
	if refused := e.admitUntil(ctx, svc, deadline); refused != nil {
		return nil, refused
	}
	admittedAt := e.now()
	return func() {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		now := e.now()
		svc.finishQuery(now, policy.QueryEnd{Took: now.Sub(admittedAt)})
	}, nil
}

// Submit sends a claimed request to one target. It sends the request to a further target
// only if it is certain that no earlier one started it.
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

// runSubmission sends the request to the leaves that sub chooses, one after another. It
// returns when one has run the request or may have run it, or when no leaf can be tried
// before the deadline.
func (e *Engine) runSubmission(ctx context.Context, svc *service, req *Submission, sub *policy.Submission) SubmitResult {
	for {
		svc.mu.Lock()
		send, retryAt, ok := sub.Next(e.now())
		svc.mu.Unlock()
		if !ok {
			// No leaf can be tried now. Wait for retryAt, unless there is none (it is
			// zero) or it is not before the deadline.
			if retryAt.IsZero() || !retryAt.Before(req.Deadline) || !sleep(ctx, time.Until(retryAt)) {
				return notStartedResult(sub)
			}
			continue
		}
		answer, err := e.callLeaf(ctx, req, send)
		svc.mu.Lock()
		sub.HandleEnd(e.now(), endOfAttempt(err))
		svc.mu.Unlock()
		if err == nil {
			return SubmitResult{Code: result.Accepted, Result: answer.Result}
		}
		if !endOfAttempt(err).Refused {
			return SubmitResult{Code: result.OutcomeUnknown, Detail: err.Error()}
		}
		e.opts.Log.Debug("target did not start the request", "request", req.ID, "error", err)
	}
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// callLeaf sends the request to the leaf that send names, and waits for the answer up to the
// request's deadline.
func (e *Engine) callLeaf(ctx context.Context, req *Submission, send policy.Send) (target.SubmitAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	return e.opts.Leaves.Submit(ctx, send.Replica.Target, send.Replica.Leaf, target.SubmitRequest{
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

// endOfAttempt converts the result of a call to the form that the policy takes: Answered if
// err is nil, Refused if it is certain that the target did not start the request, and
// neither if the target may have run it.
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

// notStartedResult returns the result of a request that no target started. Its code is
// NoReplica if no leaf was tried, and NotStarted otherwise.
func notStartedResult(sub *policy.Submission) SubmitResult {
	if sub.Tried() == 0 {
		return SubmitResult{Code: result.NoReplica, RetryAfter: defaultRetryAfter}
	}
	return SubmitResult{Code: result.NotStarted, RetryAfter: defaultRetryAfter}
}
