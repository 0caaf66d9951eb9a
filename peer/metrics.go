package peer

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// newMetrics returns the metrics of the exchange. All are gauges that are computed when
// they are read.
func (x *Exchange) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	gauge := func(name string, f func() float64) { set.NewGauge(name, f) }
	gauge(`bramley_peer_bytes_total{direction="in"}`, func() float64 { return float64(x.wireCounters.BytesIn.Load()) })
	gauge(`bramley_peer_bytes_total{direction="out"}`, func() float64 { return float64(x.wireCounters.BytesOut.Load()) })
	gauge(`bramley_peer_messages_total`, func() float64 { return float64(x.wireCounters.Writes.Load()) })
	gauge(`bramley_peer_hellos_refused_total`, func() float64 { return float64(x.wireCounters.HellosRefused.Load()) })
	gauge(`bramley_peer_silent_total`, func() float64 { return float64(x.wireCounters.SilentClosed.Load()) })
	gauge(`bramley_peer_connections`, func() float64 { return float64(x.Peers()) })
	gauge(`bramley_peer_live_vms`, func() float64 { return float64(len(x.Live())) })
	gauge(`bramley_peer_lost_vms`, func() float64 { return float64(x.lostCount()) })
	gauge(`bramley_peer_drains`, func() float64 { return float64(len(x.Drains())) })
	gauge(`bramley_peer_drain_learned_seconds`, x.lastDrainSeconds)
	gauge(`bramley_peer_health_targets`, x.healthTargets)
	gauge(`bramley_peer_health_learned_seconds`, x.lastHealthSeconds)
	return set
}

// healthTargets returns the number of targets whose health is known.
func (x *Exchange) healthTargets() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return float64(x.table.HealthCount())
}

// lastHealthSeconds returns the Unix time in seconds at which the health of a target last
// changed on this VM, or 0 if none did.
func (x *Exchange) lastHealthSeconds() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return unixSeconds(x.lastHealthTime)
}

// lostCount returns the number of VMs that are lost and not yet forgotten.
func (x *Exchange) lostCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.LostCount()
}

// lastDrainSeconds returns the Unix time in seconds at which a drain was last added on
// this VM, or 0 if none was.
func (x *Exchange) lastDrainSeconds() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return unixSeconds(x.lastDrainTime)
}

// unixSeconds returns the Unix time in seconds, or 0 for the zero time.
func unixSeconds(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return float64(t.UnixNano()) / float64(time.Second)
}

// WriteMetrics writes the exchange's metrics in Prometheus text format.
func (x *Exchange) WriteMetrics(w io.Writer) { x.metrics.WritePrometheus(w) }
