package edge

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// logRequest counts an answered or abandoned request and writes the log line that summarizes
// it. version is that of the manifest in force, who says on whose behalf the request ran, end what ended
// its connection, and took is the time since the request arrived.
func (e *Engine) logRequest(req *Request, route *routing.Route, version int64, who origin, res *Result, end connEnd, took time.Duration) {
	out := res.Outcome
	e.stats.request(route.Kind.String(), out, took)
	fields := append(append(refusalFields(out), who.logFields()...), e.stopping.logFields(out, took)...)
	if out.Verdict == scatter.Abandoned {
		e.stats.count(`bramley_edge_requests_abandoned_total{by=%q}`, connEndNames[end])
		fields = append(fields, "by", connEndNames[end])
	}
	e.log.Info("request", append(fields,
		"request", req.ID,
		"content", res.Content.String(),
		"route", route.Name,
		"kind", route.Kind.String(),
		"manifest", version,
		"verdict", out.Verdict.String(),
		"status", res.Status,
		"shards", len(route.Gather),
		"missing", out.Missing,
		"quarantined", out.Quarantined,
		"stopped", out.Stopped,
		"gaps", formatGaps(out.Gaps, res.Services),
		"sent", out.Sent,
		"hedges", out.Hedges,
		"early_hedges", out.EarlyHedges,
		"retries", out.Retries,
		"calls", out.Called,
		"reasked", out.Reasked,
		"ms", took.Milliseconds(),
		"left_ms", time.Until(req.Deadline).Milliseconds(),
		"late_ms", max(time.Since(req.DueAt), 0).Milliseconds(),
	)...)
}

// refusalFields returns the log fields of a request that was refused because its forecast wait
// exceeds the limit, and none for any other request.
func refusalFields(out scatter.Outcome) []any {
	if out.Refusal == nil {
		return nil
	}
	return append(yieldFields(out.Refusal),
		"wait_ms", out.Refusal.Wait.Milliseconds(),
		"wait_limit_ms", out.Refusal.Limit.Milliseconds(),
		"own_ms", out.Refusal.OwnTime.Milliseconds(),
		"stopping", out.Refusal.Stopping,
		"retry_after_ms", out.RetryAfter.Milliseconds(),
	)
}

// logRefusal counts and logs a request that was answered without being sent to a leaf. why is
// the reason, for the log and the metrics. version is that of the manifest in force, 0 if there
// is none.
func (e *Engine) logRefusal(r *http.Request, status int, why string, version int64, fields ...any) {
	callerConnOf(r.Context()).refuse()
	e.stats.count(`bramley_edge_refusals_total{why=%q}`, why)
	if !e.stopping.time().IsZero() {
		e.stopping.ends.refused.Add(1)
	}
	e.log.Info("request refused", append([]any{
		"request", e.headerCodec.RequestID(r.Header),
		"status", status,
		"why", why,
		"manifest", version,
		"path", r.URL.Path,
	}, fields...)...)
}

// logGather logs the outcome of another VM's call if shards are missing, an attempt was a retry,
// or the call got no results. took is the time since the call arrived.
func (e *Engine) logGather(req *Request, spec scatter.Spec, out scatter.Outcome, took time.Duration) {
	if out.Missing == 0 && out.Verdict == scatter.Answered && out.Retries == 0 {
		return
	}
	e.log.Info("gathered for a VM", append(refusalFields(out),
		"request", req.ID,
		"rank", spec.Rank,
		"tenant", spec.Tenant,
		"shards", len(spec.Services),
		"verdict", out.Verdict.String(),
		"missing", out.Missing,
		"gaps", formatGaps(out.Gaps, spec.Services),
		"sent", out.Sent,
		"hedges", out.Hedges,
		"early_hedges", out.EarlyHedges,
		"retries", out.Retries,
		"ms", took.Milliseconds(),
	)...)
}

// logPanic counts and logs a panic p. It has to be called by the function that recovers.
func (e *Engine) logPanic(msg string, p any, fields ...any) {
	e.stats.count(`bramley_edge_panics_total`)
	e.log.Error(msg, append([]any{"panic", fmt.Sprint(p), "stack", string(debug.Stack())}, fields...)...)
}

// maxNamedGaps is how many services a log line names for each cause of gaps.
const maxNamedGaps = 3

// formatGaps describes the shards without an answer: their number for each cause, and the
// services of some of them. services holds the service of each shard of the query.
func formatGaps(gaps []scatter.Gap, services []string) string {
	var text strings.Builder
	for _, cause := range scatter.GapCauses() {
		var names []string
		for _, gap := range gaps {
			if gap.Cause == cause {
				names = append(names, services[gap.Shard])
			}
		}
		if len(names) == 0 {
			continue
		}
		if text.Len() > 0 {
			text.WriteString("; ")
		}
		named := strings.Join(names[:min(len(names), maxNamedGaps)], " ")
		fmt.Fprintf(&text, "%s %d: %s", cause, len(names), named)
	}
	return text.String()
}

// logAttemptEnd logs an attempt that ended without a usable answer. err is the error of the
// attempt, nil if a leaf answered.
func (r *runner) logAttemptEnd(s scatter.Send, ev event, err error) {
	if ev.end == scatter.EndAnswered {
		return
	}
	status := 0
	if ev.reply != nil {
		status = ev.reply.Status
	}
	r.e.log.Info("attempt failed", append(r.e.contentFields(r.spec.Content),
		"request", r.req.ID,
		"service", r.spec.Services[s.Shard],
		"leaf", s.Leaf.ID,
		"why", s.Reason.String(),
		"end", endNames[ev.end],
		"status", status,
		"ms", time.Since(s.SentAt).Milliseconds(),
		"error", err,
	)...)
}
