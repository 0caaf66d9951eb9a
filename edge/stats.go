package edge

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// stats holds the counters and histograms of a daemon. docs/OPERATIONS.md lists them.
type stats struct {
	set      *metrics.Set                    // all metrics
	attempts map[attemptEnd]*metrics.Counter // ended attempts; created at the start, because looking up a counter by its text is slow
	tenants  *tenantStats
}

// attemptEnd selects the counter of an attempt that has ended.
type attemptEnd struct {
	why scatter.AttemptReason // first attempt, retry or hedge
	end scatter.End           // how the attempt ended
}

// newStats returns metrics that have a counter for each way in which an attempt may end.
func newStats() *stats {
	s := &stats{set: metrics.NewSet(), attempts: make(map[attemptEnd]*metrics.Counter), tenants: newTenantStats()}
	for _, why := range []scatter.AttemptReason{scatter.FirstAttempt, scatter.Retry, scatter.Hedge} {
		for end, name := range endNames {
			text := fmt.Sprintf(`bramley_edge_attempts_total{why=%q,end=%q}`, why, name)
			s.attempts[attemptEnd{why, end}] = s.set.NewCounter(text)
		}
	}
	return s
}

// count increments the counter whose name and labels are formatted from format and args.
func (s *stats) count(format string, args ...any) {
	s.set.GetOrCreateCounter(fmt.Sprintf(format, args...)).Inc()
}

// endNames are the values of the label end, and of the key end in the log.
var endNames = map[scatter.End]string{
	scatter.EndAnswered:    "answered",
	scatter.EndUnreachable: "unreachable",
	scatter.EndRefused:     "refused",
	scatter.EndBroken:      "broken",
	scatter.EndSilent:      "silent",
	scatter.EndMoved:       "moved",
	scatter.EndFailed:      "failed",
	scatter.EndExpired:     "expired",
	scatter.EndNotStarted:  "unbegun",
}

// attempt counts an attempt that has ended.
func (s *stats) attempt(why scatter.AttemptReason, end scatter.End) {
	s.attempts[attemptEnd{why, end}].Inc()
}

// call counts a call to another VM that has ended.
func (s *stats) call(end scatter.End) {
	s.count(`bramley_edge_calls_to_vms_total{end=%q}`, endNames[end])
}

// store counts a store call, or a call to a VM that reads the store. call is the name of the
// call in the metric, and err its error.
func (s *stats) store(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	s.count(`bramley_edge_store_calls_total{call=%q,outcome=%q}`, call, outcome)
}

// request counts a caller's request, how long it took, and its missing shards. kind is the name
// of its route's kind.
func (s *stats) request(kind string, out scatter.Outcome, took time.Duration) {
	s.count(`bramley_edge_requests_total{kind=%q,verdict=%q}`, kind, out.Verdict)
	s.set.GetOrCreateHistogram(fmt.Sprintf(`bramley_edge_request_seconds{kind=%q}`, kind)).Update(took.Seconds())
	s.set.GetOrCreateCounter(`bramley_edge_calls_after_refusal_total`).Add(out.Reasked)
	if out.Quarantined {
		s.count(`bramley_edge_quarantined_requests_total{verdict=%q}`, out.Verdict)
	}
	if out.Refusal != nil && out.Refusal.Stopping {
		s.count(`bramley_edge_refusals_total{why="stopping"}`)
	}
	if out.Stopped {
		s.count(`bramley_edge_requests_ended_by_stop_total{verdict=%q}`, out.Verdict)
	}
	if out.Missing > 0 {
		s.set.GetOrCreateCounter(`bramley_edge_missing_shards_total`).Add(out.Missing)
	}
}

// writeMetrics writes all metrics in the Prometheus text format.
func (e *Engine) writeMetrics(w io.Writer) {
	e.stats.set.WritePrometheus(w)
	e.stats.tenants.write(w)
	dials, reuses, discarded := e.pool.Stats()
	fmt.Fprintf(w, "bramley_edge_leaf_connections_opened_total %d\n", dials)
	fmt.Fprintf(w, "bramley_edge_leaf_connections_reused_total %d\n", reuses)
	fmt.Fprintf(w, "bramley_edge_leaf_connections_dropped_total %d\n", discarded)
	fmt.Fprintf(w, "bramley_edge_leaf_connections_idle %d\n", e.pool.Idle())
	replaced, dropped := e.pool.AnswerStats()
	fmt.Fprintf(w, "bramley_edge_leaf_connections_replaced_total %d\n", replaced)
	fmt.Fprintf(w, "bramley_edge_extra_answers_total %d\n", dropped)
	for _, part := range leafhttp.Parts() {
		fmt.Fprintf(w, "bramley_edge_answers_too_long_total{part=%q} %d\n", part, e.pool.TooLong(part))
	}
	fmt.Fprintf(w, "bramley_edge_leafs %d\n", e.Leafs())
	fmt.Fprintf(w, "bramley_edge_other_vms %d\n", e.otherVMs())
	e.intake.writeMetrics(w)
	e.writeRoomMetrics(w)
	e.writeQuarantineMetrics(w)
	e.lateAnswers.writeMetrics(w, time.Now())
	e.known.writeMetrics(w, time.Now())
	isolated := 0
	if e.isolated() {
		isolated = 1
	}
	fmt.Fprintf(w, "bramley_edge_isolated %d\n", isolated)
	if zones, known := e.evacuatedZones(); known {
		fmt.Fprintf(w, "bramley_edge_evacuated_zones %d\n", zones)
	}
	if m := e.inForce.Get(); m != nil {
		fmt.Fprintf(w, "bramley_edge_manifest_version %d\n", m.Version)
		if age, confirmed := e.currency.age(time.Now()); confirmed && m.KeysRequired {
			fmt.Fprintf(w, "bramley_edge_manifest_age_seconds %.3f\n", age.Seconds())
		}
	}
}
