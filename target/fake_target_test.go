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

// fakeTarget is a target that runs in the test process.
type fakeTarget struct {
	name    string
	server  *http.Server
	address string

	running sync.RWMutex // locked while the target is paused; each read and write of a connection holds it for reading

	closeDelay time.Duration // wait before the target closes its end of a connection; set before the first connection

	mu            sync.Mutex // guards the fields below
	searchHandler func(w http.ResponseWriter, r *http.Request, req LeafRequest)
	conns         []*serverConn
	afterSubmit   func() // called after a submit was run, before it is answered; may be nil
	submits       int    // submits run
	accepts       int    // connections accepted
	open          int    // connections open now
	maxOpen       int    // highest value of open
}

// serverConn is the target's end of a connection, which can go silent: data that
// arrives is lost, data that is written is dropped, and neither end sees the other's
// close.
type serverConn struct {
	net.Conn
	silent          atomic.Bool
	duplicateWrites atomic.Bool   // each write is sent twice
	closed          chan struct{} // closed by the first call of Close
	target          *fakeTarget
	once            sync.Once // for the first call of Close
}

// Read reads data from the client. If the connection is silent when data arrives, Read
// drops the data and blocks until Close is called.
func (sc *serverConn) Read(p []byte) (int, error) {
	n, err := sc.Conn.Read(p)
	sc.target.awaitRunning()
	if !sc.silent.Load() {
		return n, err
	}
	<-sc.closed
	return 0, net.ErrClosed
}

// Write sends data to the client. It drops the data if the connection is silent, and sends
// it twice if duplicateWrites is set.
func (sc *serverConn) Write(p []byte) (int, error) {
	sc.target.awaitRunning()
	if sc.silent.Load() {
		return len(p), nil
	}
	if sc.duplicateWrites.Load() {
		p = append(p[:len(p):len(p)], p...)
		_, err := sc.Conn.Write(p)
		return len(p) / 2, err
	}
	return sc.Conn.Write(p)
}

// Close reduces the target's count of open connections after closeDelay, and closes
// the connection to the client only then.
func (sc *serverConn) Close() error {
	sc.once.Do(func() {
		close(sc.closed)
		time.Sleep(sc.target.closeDelay)
		sc.target.mu.Lock()
		sc.target.open--
		sc.target.mu.Unlock()
	})
	if sc.silent.Load() {
		return nil // newFakeTarget's cleanup closes it
	}
	return sc.Conn.Close()
}

// slowListener spends acceptDelay on each new connection, one at a time.
type slowListener struct {
	net.Listener
	acceptDelay time.Duration
	target      *fakeTarget
}

// Accept returns the next connection as a serverConn and counts it in the target's accepts,
// open and maxOpen.
func (l *slowListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	time.Sleep(l.acceptDelay)
	sc := &serverConn{Conn: inner, closed: make(chan struct{}), target: l.target}
	l.target.mu.Lock()
	defer l.target.mu.Unlock()
	l.target.conns = append(l.target.conns, sc)
	l.target.accepts++
	l.target.open++
	l.target.maxOpen = max(l.target.maxOpen, l.target.open)
	return sc, nil
}

// forEachConn calls f for each connection opened so far.
func (s *fakeTarget) forEachConn(f func(*serverConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sc := range s.conns {
		f(sc)
	}
}

// pause makes the target neither read nor write until the returned function is called, as if its
// process were paused. Connections are still accepted, as by the queue of its listener.
func (s *fakeTarget) pause() (resume func()) {
	s.running.Lock()
	return sync.OnceFunc(s.running.Unlock)
}

// awaitRunning returns once the target is not paused.
func (s *fakeTarget) awaitRunning() {
	s.running.RLock()
	defer s.running.RUnlock()
}

// silence makes a connection lose all data from now on, in both directions, while it stays open.
func silence(sc *serverConn) { sc.silent.Store(true) }

// breakConn closes a connection at once, without closeDelay.
func breakConn(sc *serverConn) { sc.Conn.Close() }

// newFakeTarget starts a target that spends connectCost on each new connection. It is
// stopped at the end of the test.
func newFakeTarget(t testing.TB, name string, connectCost time.Duration) *fakeTarget {
	s := &fakeTarget{name: name, searchHandler: answerSearch}
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
	go func() { defer close(done); _ = s.server.Serve(&slowListener{listener, connectCost, s}) }()
	t.Cleanup(func() { s.server.Close(); <-done; s.forEachConn(breakConn) })
	return s
}

// counts returns the accepted connections, those open now, the highest number open
// at the same time, and the submits that were run.
func (s *fakeTarget) counts() (accepts, open, maxOpen, submits int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepts, s.open, s.maxOpen, s.submits
}

// accepted returns the number of connections accepted so far.
func (s *fakeTarget) accepted() int {
	accepts, _, _, _ := s.counts()
	return accepts
}

// setSearchHandler sets the function that answers further searches.
func (s *fakeTarget) setSearchHandler(f func(http.ResponseWriter, *http.Request, LeafRequest)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searchHandler = f
}

// setAfterSubmit sets a function that is called after each further submit was run, before it
// is answered.
func (s *fakeTarget) setAfterSubmit(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterSubmit = f
}

// writeAnswer sends an answer as JSON, with the headers of a target that is serving.
func writeAnswer(w http.ResponseWriter, answer any) {
	w.Header().Set(HeaderIncarnation, "one")
	w.Header().Set(HeaderState, string(StateServing))
	_ = json.NewEncoder(w).Encode(answer)
}

// answerSearch answers a search completely, with one item whose key is the request's id.
func answerSearch(w http.ResponseWriter, _ *http.Request, req LeafRequest) {
	writeAnswer(w, LeafAnswer{Echo: req.Echo, Records: 10, Complete: true, Items: []Item{{Key: req.Request}}})
}

// serveSearch answers a search with searchHandler.
func (s *fakeTarget) serveSearch(w http.ResponseWriter, r *http.Request) {
	var req LeafRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.searchHandler
	s.mu.Unlock()
	f(w, r, req)
}

// serveSubmit runs a submit: it counts the submit, calls afterSubmit and then answers.
func (s *fakeTarget) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var req SubmitRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.submits++
	f := s.afterSubmit
	s.mu.Unlock()
	if f != nil {
		f()
	}
	writeAnswer(w, SubmitAnswer{Echo: req.Echo, Key: req.Key})
}

// serveStatus answers a status read: the target is serving and reports no leaves.
func (s *fakeTarget) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeAnswer(w, Status{Target: s.name, Incarnation: "one", State: StateServing})
}

// endpoint returns the target's endpoint, with the given share of connections.
func (s *fakeTarget) endpoint(connections int) Endpoint {
	return Endpoint{Name: s.name, Address: s.address, Connections: connections, ConnectCost: time.Millisecond,
		HealthInterval: 20 * time.Millisecond, HealthTimeout: 200 * time.Millisecond}
}
