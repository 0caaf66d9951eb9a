package query

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// admit waits until the query may run. It returns nil if the query is admitted, and
// the final answer if it is refused. Searches with bundle.PolicyPlain skip admission.
func (e *Engine) admit(ctx context.Context, svc *service, req *Request) *Answer {
	if req.plain() {
		return nil
	}
	return e.admitUntil(ctx, svc, req.deadline())
}

// admitUntil waits until the service's admission policy admits a query that must be
// answered by deadline. It returns nil if the query is admitted, and the final answer if
// it is refused.
func (e *Engine) admitUntil(ctx context.Context, svc *service, deadline time.Time) *Answer {
	arrived := e.now()
	svc.mu.Lock()
	verdict := svc.admission.Arrive(arrived, deadline)
	var decided chan policy.Verdict
	if verdict.Decision == policy.Wait {
		decided = make(chan policy.Verdict, 1)
		svc.waiting[verdict.Ticket] = decided
	}
	svc.mu.Unlock()
	if decided != nil {
		verdict = e.awaitAdmission(ctx, svc, verdict.Ticket, decided, deadline)
	}
	if verdict.Decision == policy.Admit {
		svc.metrics.admitted.Inc()
		svc.metrics.observePhase(phaseAdmission, e.now().Sub(arrived))
		return nil
	}
	svc.metrics.refused.Inc()
	return &Answer{Code: result.Overloaded, Ran: result.RanNo, RetryAfter: verdict.RetryAfter}
}

// awaitAdmission waits for the verdict on a queued query, which finishQuery sends to
// decided when another query ends. If there is no verdict by deadline, or ctx ends first,
// the query leaves the queue and is refused.
func (e *Engine) awaitAdmission(ctx context.Context, svc *service, id policy.TicketID, decided chan policy.Verdict, deadline time.Time) policy.Verdict {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case v := <-decided:
		return v
	case <-timer.C:
	case <-ctx.Done():
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.admission.Abandon(id) {
		delete(svc.waiting, id)
		return policy.Verdict{Ticket: id, Decision: policy.Refuse, RetryAfter: defaultRetryAfter}
	}
	return <-decided // no longer queued: the verdict was sent under svc.mu when the ticket left the queue
}

// release records the end of a query in the metrics and the policy, and sends the resulting
// verdicts to waiting queries. Searches with bundle.PolicyPlain skip admission, so release
// does nothing for them.
func (e *Engine) release(svc *service, req *Request, admittedAt time.Time, out *policy.Outcome) {
	if req.plain() {
		return
	}
	svc.metrics.recordEnd(out)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	now := e.now()
	svc.table.Median.UpdateBaseline(now, svc.admission.OverShare())
	svc.finishQuery(now, policy.QueryEnd{
		Took:     now.Sub(admittedAt),
		Pressure: svc.table.Pressure(out, req.TimeLimit),
	})
}

// finishQuery records the end of an admitted query in the admission policy, and sends the
// resulting verdicts to waiting queries. The caller must hold s.mu.
func (s *service) finishQuery(now time.Time, end policy.QueryEnd) {
	for _, verdict := range s.admission.Done(now, end) {
		if decided := s.waiting[verdict.Ticket]; decided != nil {
			decided <- verdict
			delete(s.waiting, verdict.Ticket)
		}
	}
}
