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

// requestTimeout bounds a request, a profile of up to a minute included.
const requestTimeout = 70 * time.Second

// Options configure the operators' page. Status is required.
type Options struct {
	Status  func() Status
	Metrics []func(io.Writer) // in Prometheus text format
}

// NewHTTPServer returns the HTTP server of the operators' page.
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
		// The connection is gone if this fails; nobody is left to be told.
		_ = json.NewEncoder(w).Encode(opt.Status())
	})
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
	}
}
