package peer

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

func (x *Exchange) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	gauge := func(name string, f func() float64) { set.NewGauge(name, f) }
	gauge(`bramley_peer_bytes_total{direction="in"}`, func() float64 { return float64(x.count.BytesIn.Load()) })
	gauge(`bramley_peer_bytes_total{direction="out"}`, func() float64 { return float64(x.count.BytesOut.Load()) })
	gauge(`bramley_peer_messages_total`, func() float64 { return float64(x.count.Writes.Load()) })
	gauge(`bramley_peer_hellos_refused_total`, func() float64 { return float64(x.count.HellosRefused.Load()) })
	gauge(`bramley_peer_silent_total`, func() float64 { return float64(x.count.SilentClosed.Load()) })
	gauge(`bramley_peer_connections`, func() float64 { return float64(x.Peers()) })
	gauge(`bramley_peer_live_vms`, func() float64 { return float64(len(x.Live())) })
	gauge(`bramley_peer_lost_vms`, func() float64 { return float64(x.lostCount()) })
	gauge(`bramley_peer_drains`, func() float64 { return float64(len(x.Drains())) })
	gauge(`bramley_peer_drain_learned_seconds`, x.drainLearnedSeconds)
	gauge(`bramley_peer_health_targets`, x.healthTargets)
	gauge(`bramley_peer_health_learned_seconds`, x.healthLearnedSeconds)
	return set
}

// healthTargets is the number of targets of which something is known.
func (x *Exchange) healthTargets() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return float64(x.table.HealthCount())
}

// healthLearnedSeconds is the Unix time at which this VM last learned something
// of a target, 0 before the first.
func (x *Exchange) healthLearnedSeconds() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return unixSeconds(x.lastHealthLearned)
}

// lostCount is the number of VMs that count as lostCount and are not forgotten yet.
func (x *Exchange) lostCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.LostCount()
}

// drainLearnedSeconds is the Unix time at which this VM last learned of a drain,
// 0 before the first.
func (x *Exchange) drainLearnedSeconds() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return unixSeconds(x.lastDrainLearned)
}

// unixSeconds is 0 for the zero time.
func unixSeconds(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return float64(t.UnixNano()) / float64(time.Second)
}

// WriteMetrics writes the exchange's metrics in Prometheus text format.
func (x *Exchange) WriteMetrics(w io.Writer) { x.metrics.WritePrometheus(w) }
