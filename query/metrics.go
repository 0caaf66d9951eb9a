package query

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/policy"
)

// phase is a section of a query's time, named as in the metric's label.
type phase string

// The phases of a query, in order. Together they are the time from the query's arrival to
// the arrival of its last answer.
const (
	phaseAdmission phase = "admission" // from the query's arrival until its admission
	phaseHeld      phase = "held"      // from the query's admission until the attempt with the last answer was sent
	phaseAttempt   phase = "attempt"   // of the attempt with the last answer, from its sending to the answer; its wait at the target included
)

// phaseBuckets are the bucket upper bounds of the phase histograms, in seconds.
var phaseBuckets = []float64{.001, .002, .005, .01, .02, .035, .05, .075, .1, .15, .2, .3, .5, 1}

// serviceMetrics holds the metrics of one service's queries.
type serviceMetrics struct {
	phases   map[phase]*metrics.PrometheusHistogram
	hedges   *metrics.Counter // attempts sent as hedges
	retries  *metrics.Counter // attempts sent as retries
	refused  *metrics.Counter // queries and submissions that admission refused
	admitted *metrics.Counter // queries and submissions that admission let run
}

// newServiceMetrics returns the metrics of a service. It registers those in set that are not
// registered yet.
func newServiceMetrics(set *metrics.Set, service string) *serviceMetrics {
	name := func(metric string) string { return fmt.Sprintf("bramley_query_%s{service=%q}", metric, service) }
	m := &serviceMetrics{
		phases:   make(map[phase]*metrics.PrometheusHistogram),
		hedges:   set.GetOrCreateCounter(name("hedges_total")),
		retries:  set.GetOrCreateCounter(name("retries_total")),
		refused:  set.GetOrCreateCounter(name("refused_total")),
		admitted: set.GetOrCreateCounter(name("admitted_total")),
	}
	for _, p := range []phase{phaseAdmission, phaseHeld, phaseAttempt} {
		label := fmt.Sprintf("bramley_query_phase_seconds{service=%q,phase=%q}", service, p)
		m.phases[p] = set.GetOrCreatePrometheusHistogramExt(label, phaseBuckets)
	}
	return m
}

// observePhase adds the duration of one query's phase to the phase's histogram.
func (m *serviceMetrics) observePhase(p phase, d time.Duration) { m.phases[p].Update(d.Seconds()) }

// recordEnd counts the hedges and retries of an admitted query that ended. It records the
// phases after admission only if every shard answered, because only such a query ends when
// its last answer arrives.
func (m *serviceMetrics) recordEnd(out *policy.Outcome) {
	m.hedges.Add(out.Hedges)
	m.retries.Add(out.Retries)
	if out.End != policy.EndComplete {
		return
	}
	m.observePhase(phaseHeld, out.LastAnswer.SentAfter)
	m.observePhase(phaseAttempt, out.LastAnswer.Took)
}
