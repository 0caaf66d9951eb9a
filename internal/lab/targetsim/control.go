package targetsim

import (
	"net/http"

	"goji.io"
	"goji.io/pat"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/labhttp"
)

// DrainingRequest is the body of PUT /control/draining; see Target.SetDraining.
type DrainingRequest struct {
	Draining bool `json:"draining"`
}

// controlHandler returns the handler of the control endpoint:
//
//	PUT /control/faults     Faults
//	PUT /control/timing     Timing
//	PUT /control/snapshots  []SnapshotPlacement
//	PUT /control/draining   DrainingRequest
//	GET /control/ran        StartedRequests
//	GET /control/counters   Counters
func (t *Target) controlHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Put("/control/faults"), labhttp.PutHandler(t.SetFaults))
	mux.HandleFunc(pat.Put("/control/timing"), labhttp.PutHandler(t.SetTiming))
	mux.HandleFunc(pat.Put("/control/snapshots"), func(w http.ResponseWriter, r *http.Request) {
		placements, err := labhttp.ReadJSON[[]SnapshotPlacement](w, r)
		if err == nil {
			err = t.SetSnapshots(placements)
		}
		if err != nil {
			labhttp.WriteError(w, http.StatusBadRequest, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc(pat.Put("/control/draining"), labhttp.PutHandler(func(c DrainingRequest) {
		t.SetDraining(c.Draining)
	}))
	mux.HandleFunc(pat.Get("/control/ran"), func(w http.ResponseWriter, _ *http.Request) {
		labhttp.WriteJSON(w, http.StatusOK, t.Ran())
	})
	mux.HandleFunc(pat.Get("/control/counters"), func(w http.ResponseWriter, _ *http.Request) {
		labhttp.WriteJSON(w, http.StatusOK, t.Counters())
	})
	return mux
}
