package target

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// standIn is a target in this process.
type standIn struct {
	name    string
	server  *http.Server
	address string

	closeLag time.Duration // between the end of a connection and its close; set before use

	mu      sync.Mutex // guards what follows
	search  func(w http.ResponseWriter, r *http.Request, req LeafRequest)
	legs    []*leg
	submit  func() // after a request was run, before its answer
	submits int    // requests run
	accepts int
	open    int
	maxOpen int
}

// leg is the target's end of a connection, which can go silent: what arrives is
// lost, what is written is swallowed, and no end hears of the other's close.
type leg struct {
	net.Conn
	silent atomic.Bool
	twice  atomic.Bool // repeats what the target writes
	closed chan struct{}
	owner  *standIn
	once   sync.Once
}

func (l *leg) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if !l.silent.Load() {
		return n, err
	}
	<-l.closed
	return 0, net.ErrClosed
}

func (l *leg) Write(p []byte) (int, error) {
	if l.silent.Load() {
		return len(p), nil
	}
	if l.twice.Load() {
		p = append(p[:len(p):len(p)], p...)
		_, err := l.Conn.Write(p)
		return len(p) / 2, err
	}
	return l.Conn.Write(p)
}

// Close leaves the count after the target's lag, and only then tells the client.
func (l *leg) Close() error {
	l.once.Do(func() {
		close(l.closed)
		time.Sleep(l.owner.closeLag)
		l.owner.mu.Lock()
		l.owner.open--
		l.owner.mu.Unlock()
	})
	if l.silent.Load() {
		return nil // the stand-in's cleanup closes it
	}
	return l.Conn.Close()
}

// costlyListener spends a time on each new connection, one after the other.
type costlyListener struct {
	net.Listener
	cost  time.Duration
	owner *standIn
}

func (c *costlyListener) Accept() (net.Conn, error) {
	inner, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	time.Sleep(c.cost)
	l := &leg{Conn: inner, closed: make(chan struct{}), owner: c.owner}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.owner.legs = append(c.owner.legs, l)
	c.owner.accepts++
	c.owner.open++
	c.owner.maxOpen = max(c.owner.maxOpen, c.owner.open)
	return l, nil
}

// forLegs calls f for each connection opened so far.
func (s *standIn) forLegs(f func(*leg)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.legs {
		f(l)
	}
}

func goSilent(l *leg) { l.silent.Store(true) }
func cut(l *leg)      { l.Conn.Close() }

func newStandIn(t testing.TB, name string, connectCost time.Duration) *standIn {
	s := &standIn{name: name, search: answerSearch}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /leaves/{leaf}/search", s.serveSearch)
	mux.HandleFunc("POST /leaves/{leaf}/submit", s.serveSubmit)
	mux.HandleFunc("GET "+PathStatus, s.serveStatus)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.server = &http.Server{Handler: mux, Protocols: protocols}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	done := make(chan struct{})
	go func() { defer close(done); _ = s.server.Serve(&costlyListener{listener, connectCost, s}) }()
	t.Cleanup(func() { s.server.Close(); <-done; s.forLegs(cut) })
	return s
}

func (s *standIn) counts() (accepts, open, maxOpen, submits int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepts, s.open, s.maxOpen, s.submits
}

func (s *standIn) onSearch(f func(http.ResponseWriter, *http.Request, LeafRequest)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.search = f
}

func (s *standIn) onSubmit(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submit = f
}

func writeAnswer(w http.ResponseWriter, answer any) {
	w.Header().Set(HeaderIncarnation, "one")
	w.Header().Set(HeaderState, string(StateServing))
	_ = json.NewEncoder(w).Encode(answer)
}

func answerSearch(w http.ResponseWriter, _ *http.Request, req LeafRequest) {
	writeAnswer(w, LeafAnswer{Echo: req.Echo, Records: 10, Complete: true, Items: []Item{{Key: req.Request}}})
}

func (s *standIn) serveSearch(w http.ResponseWriter, r *http.Request) {
	var req LeafRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.search
	s.mu.Unlock()
	f(w, r, req)
}

func (s *standIn) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var req SubmitRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.submits++
	f := s.submit
	s.mu.Unlock()
	if f != nil {
		f()
	}
	writeAnswer(w, SubmitAnswer{Echo: req.Echo, Key: req.Key})
}

func (s *standIn) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeAnswer(w, Status{Target: s.name, Incarnation: "one", State: StateServing})
}

func (s *standIn) endpoint(connections int) Endpoint {
	return Endpoint{Name: s.name, Address: s.address, Connections: connections, ConnectCost: time.Millisecond,
		HealthInterval: 20 * time.Millisecond, HealthTimeout: 200 * time.Millisecond}
}
