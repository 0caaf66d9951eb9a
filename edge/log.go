package edge

import (
	"net/http"
	"time"

	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// logRequest writes the one line that sums a request up.
func (e *Engine) logRequest(req *Request, route *routing.Route, version int64, res *Result, took time.Duration) {
	out := res.Outcome
	e.stats.request(route.Kind.String(), out, took)
	e.log.Info("request",
		"request", req.ID,
		"route", route.Name,
		"kind", route.Kind.String(),
		"manifest", version,
		"verdict", out.Verdict.String(),
		"status", res.Status,
		"missing", out.Missing,
		"sent", out.Sent,
		"hedges", out.Hedges,
		"retries", out.Retries,
		"calls", len(out.Calls),
		"ms", took.Milliseconds(),
		"left_ms", time.Until(req.Deadline).Milliseconds(),
	)
}

// logRefusal writes that a request was answered without being handed to anyone.
func (e *Engine) logRefusal(r *http.Request, status int, why string, version int64) {
	e.stats.count(`bramley_edge_refusals_total{why=%q}`, why)
	e.log.Info("request refused",
		"request", e.exchange.RequestID(r.Header),
		"status", status,
		"why", why,
		"manifest", version,
		"path", r.URL.Path,
	)
}

// logGather writes what became of a call by another VM, if that was out of the
// ordinary.
func (e *Engine) logGather(req *Request, spec scatter.Spec, out scatter.Outcome, took time.Duration) {
	if out.Missing == 0 && out.Verdict == scatter.Answered && out.Retries == 0 {
		return
	}
	e.log.Info("gathered for a VM",
		"request", req.ID,
		"shards", len(spec.Services),
		"verdict", out.Verdict.String(),
		"missing", out.Missing,
		"sent", out.Sent,
		"hedges", out.Hedges,
		"retries", out.Retries,
		"ms", took.Milliseconds(),
	)
}

// noteEnd writes an attempt that ended otherwise than with an answer.
func (r *runner) noteEnd(s scatter.Send, ev event, err error) {
	if ev.end == scatter.EndAnswered {
		return
	}
	status := 0
	if ev.reply != nil {
		status = ev.reply.Status
	}
	r.e.log.Info("attempt failed",
		"request", r.req.ID,
		"service", r.spec.Services[s.Shard],
		"leaf", s.Leaf.ID,
		"why", s.Why.String(),
		"end", endNames[ev.end],
		"status", status,
		"ms", time.Since(s.SentAt).Milliseconds(),
		"error", err,
	)
}
