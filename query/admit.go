package query

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// admit waits for room to run a query. It returns nil if the query is admitted,
// and its final answer if it is refused.
func (e *Engine) admit(ctx context.Context, svc *service, req *Request) *Answer {
	if req.plain() {
		return nil
	}
	return e.admitUntil(ctx, svc, req.deadline())
}

func (e *Engine) admitUntil(ctx context.Context, svc *service, deadline time.Time) *Answer {
	arrived := e.now()
	svc.mu.Lock()
	v := svc.admission.Arrive(arrived, deadline)
	var decided chan policy.Verdict
	if v.Decision == policy.Wait {
		decided = make(chan policy.Verdict, 1)
		svc.waiting[v.Ticket] = decided
	}
	svc.mu.Unlock()
	if decided != nil {
		v = e.awaitAdmission(ctx, svc, v.Ticket, decided, deadline)
	}
	if v.Decision == policy.Admit {
		svc.metrics.admitted.Inc()
		svc.metrics.observePhase(phaseAdmission, e.now().Sub(arrived))
		return nil
	}
	svc.metrics.refused.Inc()
	return &Answer{Code: result.Overloaded, Ran: result.RanNo, RetryAfter: v.RetryAfter}
}

// awaitAdmission returns the verdict on a waiting query. The policy decides by the
// query's deadline as long as it is called; the timer calls it.
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
	return <-decided // sent under the lock, before the ticket left the queue
}

// release takes the end of a query and wakes those that were waiting for it.
func (e *Engine) release(svc *service, req *Request, began time.Time, out *policy.Outcome) {
	if req.plain() {
		return
	}
	svc.metrics.recordEnd(out)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	now := e.now()
	svc.table.Median.UpdateBaseline(now, svc.admission.OverShare())
	svc.finishQuery(now, policy.QueryEnd{
		Took:     now.Sub(began),
		Pressure: svc.table.Pressure(out, req.TimeLimit),
	})
}

// finishQuery passes on the verdicts that the end of a query brings. It must hold mu.
func (s *service) finishQuery(now time.Time, end policy.QueryEnd) {
	for _, v := range s.admission.Done(now, end) {
		if decided := s.waiting[v.Ticket]; decided != nil {
			decided <- v
			delete(s.waiting, v.Ticket)
		}
	}
}
