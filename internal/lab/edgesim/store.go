package edgesim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFaults are what a store does wrong. The zero value is a healthy store.
type StoreFaults struct {
	Status        int           // answered to every call, if set
	Silent        bool          // calls get no answer while it is set
	SilentWatches bool          // watches tell nothing and don't end
	Delay         time.Duration // before each answer
	LoseAnswers   bool          // writes are done and not answered
	StaleListings bool          // listings that may be old bear a revision that is forgotten
}

// Store is a metadata store. It is safe for concurrent use.
type Store struct {
	server   *httptest.Server
	pageSize int

	mu                sync.Mutex // guards the fields below
	revision          int64
	objects           map[string]map[string]*storedObject // by kind and name
	history           []storedEvent
	compactedRevision int64         // changes up to here are forgotten
	changed           chan struct{} // closed at each change
	faults            StoreFaults
	calls             map[string]int // by method and kind
}

type storedObject struct {
	name            string
	revision        int64
	createdRevision int64
	spec            json.RawMessage
}

type storedEvent struct {
	kind    string
	object  storedObject
	removed bool
}

// NewStore starts a store whose listings have pages of the size given.
func NewStore(page int) *Store {
	s := &Store{
		pageSize: page,
		revision: 1,
		objects:  make(map[string]map[string]*storedObject),
		changed:  make(chan struct{}),
		calls:    make(map[string]int),
	}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns the store's IP and port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store.
func (s *Store) Close() {
	s.SetFaults(StoreFaults{Status: http.StatusServiceUnavailable})
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFaults changes what goes wrong from now on. Waiting watches are cut.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	s.faults = f
	s.notifyWatches()
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// Put writes an object as the operator or a leaf does. Spec is any JSON text.
func (s *Store) Put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, json.RawMessage(spec))
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Compact forgets all history and cuts the watches that wait.
func (s *Store) Compact() {
	s.mu.Lock()
	s.history, s.compactedRevision = nil, s.revision
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// Calls returns how many calls came, by method and kind.
func (s *Store) Calls(method, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method+" "+kind]
}

func (s *Store) put(kind, name string, spec json.RawMessage) *storedObject {
	byName := s.objects[kind]
	if byName == nil {
		byName = make(map[string]*storedObject)
		s.objects[kind] = byName
	}
	s.revision++
	o := &storedObject{name: name, revision: s.revision, createdRevision: s.revision, spec: spec}
	if old := byName[name]; old != nil {
		o.createdRevision = old.createdRevision
	}
	byName[name] = o
	s.history = append(s.history, storedEvent{kind: kind, object: *o})
	s.notifyWatches()
	return o
}

func (s *Store) remove(kind, name string) bool {
	o := s.objects[kind][name]
	if o == nil {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *o
	gone.revision = s.revision
	s.history = append(s.history, storedEvent{kind: kind, object: gone, removed: true})
	s.notifyWatches()
	return true
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	rest := strings.TrimPrefix(r.URL.Path, "/bramleybarrow/objects/")
	kind, name, _ := strings.Cut(rest, "/")
	s.mu.Lock()
	s.calls[r.Method+" "+kind]++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	switch {
	case faults.Silent:
		s.holdSilently(r)
	case faults.Status != 0:
		w.WriteHeader(faults.Status)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"), faults.StaleListings && r.URL.Query().Has("allow-stale"))
	default:
		s.write(w, r, kind, name, faults.LoseAnswers)
	}
}

// holdSilently holds a call without an answer until the caller leaves or the store speaks
// again; then its connection ends. A caller that leaves does not show while the body of
// its request is unread, so the end of the silence has to be watched too.
func (s *Store) holdSilently(r *http.Request) {
	for {
		s.mu.Lock()
		silent, changed := s.faults.Silent, s.changed
		s.mu.Unlock()
		if !silent {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func objectJSON(o *storedObject) map[string]any {
	return map[string]any{
		"meta":   map[string]any{"name": o.name, "revision": o.revision, "created-rev": o.createdRevision, "finalizers": []string{}, "deleting": false},
		"spec":   o.spec,
		"status": nil,
	}
}

// writeJSON writes v as JSON. An object whose bytes are no JSON goes out as it stands.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("edgesim: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller is gone if this fails.
	_, _ = w.Write(data)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, objectJSON(o))
}

func (s *Store) list(w http.ResponseWriter, kind, after string, old bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > s.pageSize
	items := []any{}
	for _, name := range names[:min(len(names), s.pageSize)] {
		items = append(items, objectJSON(s.objects[kind][name]))
	}
	at := s.revision
	if old {
		at = s.compactedRevision - 1
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := s.eventsAfter(kind, since)
		at, changed, faults, gone := s.revision, s.changed, s.faults, since < s.compactedRevision
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if faults.SilentWatches {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []any{}, "store-revision": since})
			return
		}
	}
}

func (s *Store) eventsAfter(kind string, since int64) []any {
	var events []any
	for i := range s.history {
		ev := &s.history[i]
		if ev.kind == kind && ev.object.revision > since {
			events = append(events, map[string]any{"removed": ev.removed, "object": objectJSON(&ev.object)})
		}
	}
	return events
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, lose bool) {
	var body struct {
		Meta struct {
			Name string `json:"name"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, o := s.apply(r.Method, kind, name, body.Meta.Name, body.Spec)
	if lose {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	if o == nil {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, status, objectJSON(o))
}

func (s *Store) apply(method, kind, name, newName string, spec json.RawMessage) (int, *storedObject) {
	switch method {
	case http.MethodPost:
		if old := s.objects[kind][newName]; old != nil {
			return http.StatusConflict, old
		}
		return http.StatusOK, s.put(kind, newName, spec)
	case http.MethodPut:
		if s.objects[kind][name] == nil {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, s.put(kind, name, spec)
	default:
		if !s.remove(kind, name) {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, nil
	}
}
