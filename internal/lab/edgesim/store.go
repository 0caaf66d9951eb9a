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

// StoreFaults are the faults that a store simulates. The zero value is a healthy store.
type StoreFaults struct {
	Status        int           // if not 0, the HTTP status of the response to every call
	Silent        bool          // calls get no answer while this is set
	SilentWatches bool          // watches get no answer, and wait until the caller disconnects
	Delay         time.Duration // before each answer
	LoseAnswers   bool          // writes take effect, and their connection is closed without an answer
	StaleListings bool          // listings with allow-stale have a revision before the last compaction
}

// Store simulates a metadata store. Create it with NewStore. It is safe for concurrent use.
type Store struct {
	server   *httptest.Server
	pageSize int // upper bound of the objects in a page of a listing

	mu                sync.Mutex                          // guards the fields below
	revision          int64                               // number of the last change
	objects           map[string]map[string]*storedObject // by kind and name
	history           []storedEvent                       // changes after compactedRevision, oldest first
	compactedRevision int64                               // the history up to this revision was discarded
	changed           chan struct{}                       // closed, and replaced, at each change and by SetFaults
	faults            StoreFaults
	calls             map[string]int // numbers of calls received, by HTTP method and kind
}

// storedObject is one version of an object.
type storedObject struct {
	name            string
	revision        int64 // of the store after the write of this version
	createdRevision int64 // of the store after the write of the object's first version
	spec            json.RawMessage
}

// storedEvent is an entry of the history: an object that was written or removed.
type storedEvent struct {
	kind    string
	object  storedObject
	removed bool
}

// NewStore starts an empty store. A listing returns at most pageSize objects in a page.
func NewStore(pageSize int) *Store {
	s := &Store{
		pageSize: pageSize,
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
	s.SetFaults(StoreFaults{Status: http.StatusServiceUnavailable}) // ends the calls held by StoreFaults.Silent
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFaults replaces the faults and closes all connections, which aborts the calls in progress.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	s.faults = f
	s.notifyWatches()
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// Put creates or replaces an object, like a write by the operator or a leaf. Spec is any JSON text.
// An existing object keeps its created revision.
func (s *Store) Put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, json.RawMessage(spec))
}

// Remove removes an object and reports whether it existed.
func (s *Store) Remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remove(kind, name)
}

// Compact discards the history and closes all connections, which aborts the waiting watches. A
// watch for changes after an earlier revision then gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	s.history, s.compactedRevision = nil, s.revision
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// Calls returns how many calls with that HTTP method were received for objects of that kind.
func (s *Store) Calls(method, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method+" "+kind]
}

// put creates or replaces an object and returns its new version. The caller must hold mu.
func (s *Store) put(kind, name string, spec json.RawMessage) *storedObject {
	byName := s.objects[kind]
	if byName == nil {
		byName = make(map[string]*storedObject)
		s.objects[kind] = byName
	}
	s.revision++
	o := &storedObject{name: name, revision: s.revision, createdRevision: s.revision, spec: spec}
	if previous := byName[name]; previous != nil {
		o.createdRevision = previous.createdRevision
	}
	byName[name] = o
	s.history = append(s.history, storedEvent{kind: kind, object: *o})
	s.notifyWatches()
	return o
}

// remove removes an object and reports whether it existed. The caller must hold mu.
func (s *Store) remove(kind, name string) bool {
	o := s.objects[kind][name]
	if o == nil {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	removed := *o
	removed.revision = s.revision
	s.history = append(s.history, storedEvent{kind: kind, object: removed, removed: true})
	s.notifyWatches()
	return true
}

// notifyWatches wakes the watches that wait for a change and the calls that StoreFaults.Silent
// holds. The caller must hold mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve counts and delays a call, and dispatches it by its HTTP method and URL unless
// StoreFaults.Silent or StoreFaults.Status prevents an answer from the store's contents.
func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/bramleybarrow/objects/")
	kind, name, _ := strings.Cut(path, "/")
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

// holdSilently keeps a call without an answer until the caller disconnects or StoreFaults.Silent is
// unset; then it closes the connection. As long as the request's body is unread, the server does
// not detect that the caller has disconnected, so waiting for the request's context alone could
// block forever.
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

// objectJSON returns the object as the store's HTTP interface encodes it.
func objectJSON(o *storedObject) map[string]any {
	return map[string]any{
		"meta":   map[string]any{"name": o.name, "revision": o.revision, "created-rev": o.createdRevision, "finalizers": []string{}, "deleting": false},
		"spec":   o.spec,
		"status": nil,
	}
}

// writeJSON writes a response with the status and v encoded as JSON. It panics if v can't be encoded,
// for example because a spec is not JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("edgesim: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has disconnected if this fails.
	_, _ = w.Write(data)
}

// get answers a call for one object.
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

// list answers a call for a page of a listing: the objects of the kind whose names sort after the
// given name. If stale is set, the revision that it states is before the last compaction.
func (s *Store) list(w http.ResponseWriter, kind, after string, stale bool) {
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
	revision := s.revision
	if stale {
		revision = s.compactedRevision - 1
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": revision})
}

// watch answers a watch with the changes of the kind after a revision. It waits for the first one,
// and answers without changes when the time that the caller allows has passed.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := s.eventsAfter(kind, since)
		revision, changed, faults, compacted := s.revision, s.changed, s.faults, since < s.compactedRevision
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if faults.SilentWatches {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
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

// eventsAfter returns the events of the kind after the revision since, as a watch returns them. The
// caller must hold mu.
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

// write performs a write and answers it. If loseAnswer is set, it closes the connection instead of
// answering.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, loseAnswer bool) {
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
	if loseAnswer {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if o == nil {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, status, objectJSON(o))
}

// apply performs a write: a POST creates the object newName, a PUT replaces the object name and a
// DELETE removes it. It returns the HTTP status of the response and the object in its body, or nil
// for an empty body. The caller must hold mu.
func (s *Store) apply(method, kind, name, newName string, spec json.RawMessage) (int, *storedObject) {
	switch method {
	case http.MethodPost:
		if existing := s.objects[kind][newName]; existing != nil {
			return http.StatusConflict, existing
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
