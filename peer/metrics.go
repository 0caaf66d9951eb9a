package peer

import (
	"io"

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
	gauge(`bramley_peer_drains`, func() float64 { return float64(len(x.Drains())) })
	return set
}

// WriteMetrics writes the exchange's metrics in Prometheus text format.
func (x *Exchange) WriteMetrics(w io.Writer) { x.metrics.WritePrometheus(w) }
