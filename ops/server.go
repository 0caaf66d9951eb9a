package ops

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"goji.io"
	"goji.io/pat"
)

// requestTimeout bounds a request to the operators' page. It is longer than 1 min, so that
// a CPU profile over that time can be taken.
const requestTimeout = 70 * time.Second

// Options configure the operators' page. Status is required. The functions must be safe for
// concurrent use.
type Options struct {
	Status  func() Status     // returns the VM's current state
	Metrics []func(io.Writer) // each writes metrics in the Prometheus text format
}

// NewHTTPServer returns the HTTP server of the operators' page. The caller sets its address
// or listener.
func NewHTTPServer(opt Options) *http.Server {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(PathHealth), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc(pat.Get(PathReady), func(w http.ResponseWriter, _ *http.Request) {
		if st := opt.Status(); !st.Ready {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc(pat.Get(PathMetrics), func(w http.ResponseWriter, _ *http.Request) {
		for _, write := range opt.Metrics {
			write(w)
		}
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc(pat.Get(PathProfile), pprof.Profile)
	mux.Handle(pat.Get(PathHeap), pprof.Handler("heap"))
	mux.HandleFunc(pat.Get(PathStatus), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// Encode fails only if the connection is lost, and then no error can be sent.
		_ = json.NewEncoder(w).Encode(opt.Status())
	})
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
	}
}
