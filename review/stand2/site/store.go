package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store that gives back each spec byte for byte as it was written.
type Store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]storedObject
	history  []storedEvent
	changed  chan struct{} // closed and replaced at each change
}

// storedObject is one object.
type storedObject struct {
	name, spec        string
	revision, created int64
}

// storedEvent is one change.
type storedEvent struct {
	kind    string
	object  storedObject
	removed bool
}

// json returns the object as the store's interface spells it.
func (o storedObject) json() string {
	name, _ := json.Marshal(o.name)
	return fmt.Sprintf(`{"meta":{"name":%s,"revision":%d,"created-rev":%d,"finalizers":[],"deleting":false},"spec":%s,"status":null}`, name, o.revision, o.created, o.spec)
}

// NewStore starts an empty store on a free loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, revision: 1, kinds: make(map[string]map[string]storedObject), changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.serve)) }()
	return s, nil
}

// Address returns the IP and port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Put creates or replaces an object.
func (s *Store) Put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// put is Put with s.mu held.
func (s *Store) put(kind, name, spec string) storedObject {
	objects := s.kinds[kind]
	if objects == nil {
		objects = make(map[string]storedObject)
		s.kinds[kind] = objects
	}
	old, known := objects[name]
	if known && old.spec == spec {
		return old
	}
	s.revision++
	o := storedObject{name: name, spec: spec, revision: s.revision, created: s.revision}
	if known {
		o.created = old.created
	}
	objects[name] = o
	s.record(storedEvent{kind: kind, object: o})
	return o
}

// Remove removes an object, and reports whether there was one.
func (s *Store) Remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.kinds[kind][name]
	if !known {
		return false
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.revision = s.revision
	s.record(storedEvent{kind: kind, object: o, removed: true})
	return true
}

// record adds an event and wakes the watches.
func (s *Store) record(ev storedEvent) {
	s.history = append(s.history, ev)
	close(s.changed)
	s.changed = make(chan struct{})
}

// pageSize is the number of objects in a page of a list.
const pageSize = 500

// serve answers a call.
func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/bramleybarrow/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodDelete:
		if !s.Remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		s.write(w, r, kind, name)
	}
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body)) // an error means that the caller has gone
}

// list answers with a page of objects.
func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names, items []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.kinds[kind][name].json())
	}
	reply(w, http.StatusOK, fmt.Sprintf(`{"items":[%s],"has-more":%v,"store-revision":%d}`, strings.Join(items, ","), more, s.revision))
}

// watch answers with the changes after a revision, as soon as there is one.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		var events []string
		s.mu.Lock()
		for _, ev := range s.history {
			if ev.kind == kind && ev.object.revision > since {
				events = append(events, fmt.Sprintf(`{"removed":%v,"object":%s}`, ev.removed, ev.object.json()))
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, fmt.Sprintf(`{"events":[%s],"store-revision":%d}`, strings.Join(events, ","), revision))
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// write creates or replaces an object.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Meta struct {
			Name string `json:"name"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = body.Meta.Name
	}
	old, known := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && known:
		reply(w, http.StatusConflict, old.json())
	case r.Method == http.MethodPut && !known:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, s.put(kind, name, string(body.Spec)).json())
	}
}
