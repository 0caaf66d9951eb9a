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

// VMsControl is the body of PUT /control/vms.
type VMsControl struct {
	VMs   []objstore.VM `json:"vms"`
	LagMS int           `json:"lag_ms"`
}

// Handler serves the platform's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(objstore.PathVMs), s.serveVMs)
	mux.HandleFunc(pat.New(objstore.PathWatch+":kind"), s.serveWatch)
	mux.HandleFunc(pat.New(objstore.PathObjects+"*"), s.serveObjects)
	return mux
}

// Control serves the faults:
//
//	GET, PUT /control/faults    Faults
//	GET      /control/counters  Counters
//	PUT      /control/vms       VMsControl
func (s *Store) Control() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/control/faults"), func(w http.ResponseWriter, _ *http.Request) {
		labhttp.Write(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc(pat.Put("/control/faults"), labhttp.Setter(s.SetFaults))
	mux.HandleFunc(pat.Get("/control/counters"), func(w http.ResponseWriter, _ *http.Request) {
		labhttp.Write(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc(pat.Put("/control/vms"), labhttp.Setter(func(c VMsControl) {
		s.SetVMs(c.VMs, time.Duration(c.LagMS)*time.Millisecond)
	}))
	return mux
}

// serveObjects splits the escaped path itself, since a name may hold an
// escaped slash.
func (s *Store) serveObjects(w http.ResponseWriter, r *http.Request) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), objstore.PathObjects)
	kindText, nameText, hasName := strings.Cut(rest, "/")
	kind, err := url.PathUnescape(kindText)
	if err != nil {
		labhttp.Fail(w, http.StatusBadRequest, err)
		return
	}
	name, err := url.PathUnescape(nameText)
	if err != nil {
		labhttp.Fail(w, http.StatusBadRequest, err)
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
		fail(w, err)
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
		fail(w, err)
		return
	}
	ans := objstore.PageJSON{Objects: []objstore.ObjectJSON{}, Revision: page.Revision, More: page.More}
	for _, o := range page.Objects {
		ans.Objects = append(ans.Objects, objstore.ObjectJSON{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	labhttp.Write(w, http.StatusOK, ans)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, kind, name string) {
	expect, err := expected(r.Header)
	if err != nil {
		labhttp.Fail(w, http.StatusBadRequest, err)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, objstore.MaxValue+1))
	if err != nil {
		labhttp.Fail(w, http.StatusBadRequest, err)
		return
	}
	version, err := s.Put(r.Context(), kind, name, expect, value)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set(objstore.HeaderVersion, strconv.FormatUint(version, 10))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, kind, name string) {
	expect, err := expected(r.Header)
	if err != nil {
		labhttp.Fail(w, http.StatusBadRequest, err)
		return
	}
	if err := s.Delete(r.Context(), kind, name, expect); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		labhttp.Fail(w, http.StatusBadRequest, err)
		return
	}
	change, err := s.Watch(r.Context(), pat.Param(r, "kind"), since)
	if err != nil {
		fail(w, err)
		return
	}
	ans := objstore.WatchResultJSON{Events: []objstore.EventJSON{}, Revision: change.Revision}
	for _, e := range change.Events {
		ans.Events = append(ans.Events, objstore.EventJSON{
			Name: e.Name, Version: e.Version, Revision: e.Revision, Deleted: e.Deleted,
		})
	}
	labhttp.Write(w, http.StatusOK, ans)
}

func (s *Store) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.VMs(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	labhttp.Write(w, http.StatusOK, objstore.VMsJSON{VMs: vms})
}

// expected reads the condition of a write: the version, or 0 to create.
func expected(h http.Header) (uint64, error) {
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(h.Get("If-Match"), 10, 64)
	return version, errors.Annotate(err, "If-Match")
}

// fail answers with the status of err. A lost answer ends the connection
// without any.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errAnswerLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, objstore.ErrNotFound):
		labhttp.Fail(w, http.StatusNotFound, err)
	case errors.Is(err, objstore.ErrConflict):
		labhttp.Fail(w, http.StatusPreconditionFailed, err)
	case errors.Is(err, objstore.ErrTooLarge):
		labhttp.Fail(w, http.StatusRequestEntityTooLarge, err)
	case errors.Is(err, objstore.ErrBusy):
		labhttp.Fail(w, http.StatusTooManyRequests, err)
	case errors.Is(err, ErrValue):
		labhttp.Fail(w, http.StatusBadRequest, err)
	default:
		labhttp.Fail(w, http.StatusServiceUnavailable, err)
	}
}
