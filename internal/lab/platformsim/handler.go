package platformsim

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/labhttp"
	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// VMsRequest is the body of PUT /control/vms; see Store.SetVMs.
type VMsRequest struct {
	VMs   []objstore.VM `json:"vms"`
	LagMS int           `json:"lag_ms"`
}

// Handler returns a handler of the platform's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(objstore.PathVMs), s.serveVMs)
	mux.HandleFunc(pat.New(objstore.PathWatch+":kind"), s.serveWatch)
	mux.HandleFunc(pat.New(objstore.PathObjects+"*"), s.serveObjects)
	return mux
}

// ControlHandler returns the handler of the control endpoint:
//
//	GET, PUT /control/faults    Faults
//	GET      /control/counters  Counters
//	PUT      /control/vms       VMsRequest
func (s *Store) ControlHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/control/faults"), func(w http.ResponseWriter, _ *http.Request) {
		labhttp.WriteJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc(pat.Put("/control/faults"), labhttp.PutHandler(s.SetFaults))
	mux.HandleFunc(pat.Get("/control/counters"), func(w http.ResponseWriter, _ *http.Request) {
		labhttp.WriteJSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc(pat.Put("/control/vms"), labhttp.PutHandler(func(c VMsRequest) {
		s.SetVMs(c.VMs, time.Duration(c.LagMS)*time.Millisecond)
	}))
	return mux
}

// serveObjects dispatches the calls for objects. It splits the escaped path, because a name may
// contain an escaped slash.
func (s *Store) serveObjects(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), objstore.PathObjects)
	kindText, nameText, hasName := strings.Cut(path, "/")
	kind, err := url.PathUnescape(kindText)
	if err != nil {
		labhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	name, err := url.PathUnescape(nameText)
	if err != nil {
		labhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	switch {
	case !hasName && r.Method == http.MethodGet:
		s.serveList(w, r, kind)
	case hasName && r.Method == http.MethodGet:
		s.serveGet(w, r, kind, name)
	case hasName && r.Method == http.MethodPut:
		s.servePut(w, r, kind, name)
	case hasName && r.Method == http.MethodDelete:
		s.serveDelete(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, kind, name string) {
	obj, err := s.Get(r.Context(), kind, name)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(objstore.HeaderVersion, strconv.FormatUint(obj.Version, 10))
	w.Write(obj.Value)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	page, err := s.List(r.Context(), kind, r.URL.Query().Get("after"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	ans := objstore.PageJSON{Objects: []objstore.ObjectJSON{}, Revision: page.Revision, More: page.More}
	for _, o := range page.Objects {
		ans.Objects = append(ans.Objects, objstore.ObjectJSON{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	labhttp.WriteJSON(w, http.StatusOK, ans)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, kind, name string) {
	expect, err := expectedVersion(r.Header)
	if err != nil {
		labhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, objstore.MaxValue+1))
	if err != nil {
		labhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	version, err := s.Put(r.Context(), kind, name, expect, value)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(objstore.HeaderVersion, strconv.FormatUint(version, 10))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, kind, name string) {
	expect, err := expectedVersion(r.Header)
	if err != nil {
		labhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if err := s.Delete(r.Context(), kind, name, expect); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		labhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	result, err := s.Watch(r.Context(), pat.Param(r, "kind"), since)
	if err != nil {
		writeError(w, err)
		return
	}
	ans := objstore.WatchResultJSON{Events: []objstore.EventJSON{}, Revision: result.Revision}
	for _, e := range result.Events {
		ans.Events = append(ans.Events, objstore.EventJSON{
			Name: e.Name, Version: e.Version, Revision: e.Revision, Deleted: e.Deleted,
		})
	}
	labhttp.WriteJSON(w, http.StatusOK, ans)
}

func (s *Store) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.VMs(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	labhttp.WriteJSON(w, http.StatusOK, objstore.VMsJSON{VMs: vms})
}

// expectedVersion returns the version that a write expects according to its headers, or 0 if it
// creates the object.
func expectedVersion(h http.Header) (uint64, error) {
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(h.Get("If-Match"), 10, 64)
	return version, errors.Annotate(err, "If-Match")
}

// writeError writes a response with the HTTP status for err. For a lost answer it closes the
// connection without a response.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errAnswerLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, objstore.ErrNotFound):
		labhttp.WriteError(w, http.StatusNotFound, err)
	case errors.Is(err, objstore.ErrConflict):
		labhttp.WriteError(w, http.StatusPreconditionFailed, err)
	case errors.Is(err, objstore.ErrTooLarge):
		labhttp.WriteError(w, http.StatusRequestEntityTooLarge, err)
	case errors.Is(err, objstore.ErrBusy):
		labhttp.WriteError(w, http.StatusTooManyRequests, err)
	case errors.Is(err, ErrInvalidValue):
		labhttp.WriteError(w, http.StatusBadRequest, err)
	default:
		labhttp.WriteError(w, http.StatusServiceUnavailable, err)
	}
}
