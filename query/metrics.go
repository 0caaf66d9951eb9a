package query

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/policy"
)

// phase is a part of a query's time.
type phase string

// The phases of a query, in order. Together they are the time from its arrival
// to the answer that was awaited longest.
const (
	phaseAdmission phase = "admission" // waiting for room
	phaseHeld      phase = "held"      // until the last answer's attempt was sent
	phaseAttempt   phase = "attempt"   // of that attempt, its wait at the target included
)

// phaseBuckets are the upper bounds of the histograms of phases, in seconds.
var phaseBuckets = []float64{.001, .002, .005, .01, .02, .035, .05, .075, .1, .15, .2, .3, .5, 1}

// serviceMetrics are the metrics of one service's queries.
type serviceMetrics struct {
	phases   map[phase]*metrics.PrometheusHistogram
	hedges   *metrics.Counter
	retries  *metrics.Counter
	refused  *metrics.Counter
	admitted *metrics.Counter
}

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

func (m *serviceMetrics) observePhase(p phase, d time.Duration) { m.phases[p].Update(d.Seconds()) }

// recordEnd counts an admitted query. Phases are of queries answered in whole: of
// others, no single answer was awaited.
func (m *serviceMetrics) recordEnd(out *policy.Outcome) {
	m.hedges.Add(out.Hedges)
	m.retries.Add(out.Retries)
	if out.End != policy.EndComplete {
		return
	}
	m.observePhase(phaseHeld, out.LastAnswer.SentAfter)
	m.observePhase(phaseAttempt, out.LastAnswer.Took)
}
