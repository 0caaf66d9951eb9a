package route

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// newMetrics creates the router's counters and the gauges that are computed when they are
// read.
func (r *Router) newMetrics() {
	r.metrics = metrics.NewSet()
	r.directCalls = r.metrics.NewCounter(`bramley_route_calls_total{path="direct"}`)
	r.ownerCalls = r.metrics.NewCounter(`bramley_route_calls_total{path="owner"}`)
	for d, name := range []string{sameZone: "zone", sameRegion: "region", elsewhere: "elsewhere"} {
		r.ownerCallsByDistance[d] = r.metrics.NewCounter(`bramley_route_owner_calls_total{within="` + name + `"}`)
	}
	r.metrics.NewGauge(`bramley_route_place`, func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.ownPlace)
	})
	r.metrics.NewGauge(`bramley_route_owner_connections`, func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(len(r.ownerConns))
	})
	r.metrics.NewGauge(`bramley_route_peer_calls`, func() float64 { return float64(r.owner.Calls()) })
}

// WriteMetrics writes the router's metrics in the Prometheus text format. The value
// of bramley_route_place is -1 on a VM that holds no place.
func (r *Router) WriteMetrics(w io.Writer) { r.metrics.WritePrometheus(w) }
