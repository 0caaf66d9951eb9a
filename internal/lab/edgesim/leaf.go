package edgesim

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// LeafFaults are the faults that a leaf simulates. The zero value is a healthy leaf.
type LeafFaults struct {
	Delay           time.Duration // how long a request runs
	Hold            chan struct{} // if not nil, a request runs on after Delay until this is closed
	Refuse          bool          // requests are answered with status 503 and not run
	RefuseTwice     bool          // as Refuse, and the answer is sent again when the next request has arrived on the connection
	Fail            bool          // requests are run and answered with status 500
	TimesOut        bool          // a request whose time budget ends while it runs is answered with status 504 then
	LoseAnswers     bool          // requests are run, and their connection is closed without an answer
	TruncateBody    bool          // answers end after half of their body
	NoContentLength bool          // answers have no Content-Length and end when the connection is closed
	ExtraAnswer     bool          // a second answer follows each one
	NoReceipt       bool          // answers have no receipt
	Endless         bool          // requests are run, and answered with a header that has no end
	Silent          bool          // requests are counted as run and get no answer until the caller disconnects
	// EndOn reports whether a request ends the leaf when it begins to run, as a crash of its process
	// does: all connections are closed, and new ones are refused. Nil means that none does.
	EndOn func(uri string) bool
	// SilenceOn reports whether a request hangs the leaf's process when it begins to run: connections stay
	// open and new ones are accepted, but nothing is answered any more. Nil means that none does.
	SilenceOn func(uri string) bool
	// CutOn reports whether a request closes all connections of the leaf when it begins to run. New ones are
	// accepted at once. Nil means that none does.
	CutOn func(uri string) bool
	// Arrived is called with the path and query of each request that arrives and is for this leaf, also while
	// the leaf is silent. It may be nil.
	Arrived func(uri string)
}

// Leaf simulates one incarnation of a leaf. Set the exported fields before Start. Its methods are
// safe for concurrent use after Start.
type Leaf struct {
	ID, Service, Zone string
	Born              int64 // start of this incarnation, in Unix milliseconds; changed by Restart
	Records           int   // number of records in an answer; 0 means 4
	Slots             int   // number of requests that the leaf runs at once, by its own account; 0 means 2
	// Observe is called with the headers of each request that arrives and is not for another leaf, and
	// whether it runs, by several goroutines at the same time. It may be nil.
	Observe func(header http.Header, runs bool)
	// Inspect is called as Observe, with the request and its body. It may be nil.
	Inspect func(r *http.Request, body []byte)

	mu         sync.Mutex // guards the fields below, and Born after Start
	server     *httptest.Server
	faults     LeafFaults
	arrivals   map[string]int       // how often a request arrived, by its id
	runs       map[string]int       // how often a request ran, by its id
	conns      int                  // connections opened so far
	lastHeader http.Header          // headers of the latest request
	lastBody   []byte               // body of the latest request
	lastURI    string               // path and query of the latest request
	lastMethod string               // HTTP method of the latest request
	inFlight   int                  // requests that are running
	running    map[string]int       // how many runs of a request are in progress, by its id
	workEnds   map[string]time.Time // when the last run of a request ended, by its id
	ended      bool                 // a request has ended the leaf
	hung       chan struct{}        // closed when a silent leaf is stopped or started again; nil if it answers
}

// Start starts the leaf on a free port of the loopback and returns l.
func (l *Leaf) Start() *Leaf {
	l.arrivals, l.runs = make(map[string]int), make(map[string]int)
	l.running, l.workEnds = make(map[string]int), make(map[string]time.Time)
	l.server = l.newServer()
	return l
}

// newServer returns a running server of the leaf on a free port.
func (l *Leaf) newServer() *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(l.serve))
	server.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			l.mu.Lock()
			l.conns++
			l.mu.Unlock()
		}
	}
	server.Start()
	return server
}

// Restart starts an ended leaf again, at another address. Its counts continue.
func (l *Leaf) Restart() {
	l.wake()
	l.currentServer().Close()
	server := l.newServer()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server, l.ended, l.Born = server, false, time.Now().UnixMilli()
}

// currentServer returns the server of the leaf's latest start.
func (l *Leaf) currentServer() *httptest.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.server
}

// Stop closes all connections and stops the leaf. Its address refuses connections from then on.
func (l *Leaf) Stop() {
	l.wake()
	server := l.currentServer()
	server.CloseClientConnections()
	server.Close()
}

// end ends the leaf like a crash of its process: its listener is closed first, then all connections,
// with the requests that run.
func (l *Leaf) end() {
	l.mu.Lock()
	l.ended = true
	server := l.server
	l.mu.Unlock()
	// An error means that another request has ended the leaf before.
	_ = server.Listener.Close()
	go server.CloseClientConnections() // it waits for the connection of the request that ends the leaf
}

// hang makes the leaf silent, if it is not.
func (l *Leaf) hang() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hung == nil {
		l.hung = make(chan struct{})
	}
}

// wake ends the silence of a leaf. The requests of the meantime get no answer.
func (l *Leaf) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hung != nil {
		close(l.hung)
		l.hung = nil
	}
}

// Silent reports whether a request has made the leaf silent.
func (l *Leaf) Silent() bool { return l.silence() != nil }

// silence returns a channel that is closed when the leaf's silence ends, nil if the leaf is not silent.
func (l *Leaf) silence() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hung
}

// awaitSilence blocks while the leaf is silent, or until the caller disconnects, and drops the request then.
func (l *Leaf) awaitSilence(r *http.Request) {
	hung := l.silence()
	if hung == nil {
		return
	}
	select {
	case <-hung:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// Ended reports whether a request has ended the leaf.
func (l *Leaf) Ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// DropConnections closes all connections, also those that wait for an answer.
func (l *Leaf) DropConnections() { l.currentServer().CloseClientConnections() }

// Address returns the leaf's IP and port.
func (l *Leaf) Address() string { return strings.TrimPrefix(l.currentServer().URL, "http://") }

// SetFaults replaces the faults. They apply to requests that arrive afterwards.
func (l *Leaf) SetFaults(f LeafFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Counts returns how often the request with that id arrived and how often it ran. The id is the
// value of the header Bramleybarrow-Attempt-Id.
func (l *Leaf) Counts(id string) (arrivals, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[id], l.runs[id]
}

// Totals returns the numbers of requests that arrived and of connections that were opened.
func (l *Leaf) Totals() (arrivals, conns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.arrivals {
		arrivals += n
	}
	return arrivals, l.conns
}

// LastRequest returns the headers and the body of the latest request.
func (l *Leaf) LastRequest() (http.Header, []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastHeader, l.lastBody
}

// LastRequestURI returns the path and query of the latest request.
func (l *Leaf) LastRequestURI() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastURI
}

// LastMethod returns the HTTP method of the latest request.
func (l *Leaf) LastMethod() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastMethod
}

// InFlight returns how many requests are running.
func (l *Leaf) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// WorkedUntil returns when the leaf ended its work on the request with that id: now while it runs, and the
// zero time if it never ran.
func (l *Leaf) WorkedUntil(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[id] > 0 {
		return time.Now()
	}
	return l.workEnds[id]
}

// beginWork counts a run of the request with that id as in progress.
func (l *Leaf) beginWork(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	l.running[id]++
}

// endWork ends what beginWork began.
func (l *Leaf) endWork(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.running[id]--
	l.workEnds[id] = time.Now()
}

// slots returns the number of requests that the leaf says it runs at once.
func (l *Leaf) slots() int { return cmp.Or(l.Slots, defaultSlots) }

// defaultSlots is the number of slots of a leaf that has no other.
const defaultSlots = 2

// RegistryEntry returns the JSON spec that the leaf writes about itself into the store when it is in
// that state.
func (l *Leaf) RegistryEntry(state string) string {
	address := l.Address()
	l.mu.Lock()
	born := l.Born
	l.mu.Unlock()
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-left-ms":0,"sequence":1,"born":%d}`,
		l.Service, address, l.Zone, l.slots(), state, born)
}

// Receipt returns the receipt of the leaf's answer to the request with that id: the proof that this
// leaf ran the request and gave the answer.
func (l *Leaf) Receipt(id string) string { return l.ID + "." + id }

// Answer returns the body of the leaf's answer to the request with that id: records of 16 bytes that
// depend on the ids of the leaf and the request.
func (l *Leaf) Answer(id string) []byte {
	n := l.Records
	if n == 0 {
		n = 4
	}
	var b bytes.Buffer
	for i := range n {
		sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(l.ID+id), uint64(i)))
		b.Write(sum[:16])
	}
	return b.Bytes()
}

// serve answers a request as the faults require. If the request names another leaf in the header
// Bramleybarrow-Target-Instance, it is not counted and gets status 421.
func (l *Leaf) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Bramleybarrow-Attempt-Id")
	if want := r.Header.Get("Bramleybarrow-Target-Instance"); want != "" && want != l.ID {
		w.Header().Set("Bramleybarrow-Instance-Id", l.ID)
		w.Header().Set("Bramleybarrow-Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// The error can be ignored: tests compare the body, so that they detect a truncated one.
	body, _ := io.ReadAll(r.Body)
	l.mu.Lock()
	f := l.faults
	l.arrivals[id]++
	if !f.refuses() {
		l.runs[id]++
	}
	l.lastHeader, l.lastBody, l.lastURI, l.lastMethod = r.Header.Clone(), body, r.RequestURI, r.Method
	l.mu.Unlock()
	if f.Arrived != nil {
		f.Arrived(r.RequestURI)
	}
	l.awaitSilence(r)
	if l.Inspect != nil {
		l.Inspect(r, body)
	}
	if l.Observe != nil {
		l.Observe(r.Header, !f.refuses())
	}
	if hijacker, ok := w.(http.Hijacker); ok && f.RefuseTwice {
		l.refuseTwice(hijacker, id)
		return
	}
	if f.refuses() {
		w.Header().Set("Bramleybarrow-Attempt-Id", id)
		w.Header().Set("Bramleybarrow-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if l.doWork(r, f) {
		w.Header().Set("Bramleybarrow-Attempt-Id", id)
		w.Header().Set("Bramleybarrow-Response-Stamp", l.Receipt(id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if f.EndOn != nil && f.EndOn(r.RequestURI) {
		l.end()
		panic(http.ErrAbortHandler)
	}
	if f.SilenceOn != nil && f.SilenceOn(r.RequestURI) {
		l.hang()
	}
	l.awaitSilence(r) // another request may have hung the process meanwhile
	if f.CutOn != nil && f.CutOn(r.RequestURI) {
		go l.DropConnections() // it waits for the connection of this request
		panic(http.ErrAbortHandler)
	}
	l.writeAnswer(w, id, f)
}

// refuses reports whether requests are not run.
func (f *LeafFaults) refuses() bool { return f.Refuse || f.RefuseTwice }

// refuseTwice refuses the request with that id, serves the next one on its connection after a second copy
// of the refusal, and closes the connection.
func (l *Leaf) refuseTwice(w http.Hijacker, id string) {
	conn, buffered, err := w.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nBramleybarrow-Attempt-Id: %s\r\nBramleybarrow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	if _, err := io.WriteString(conn, refusal); err != nil {
		return
	}
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return // the connection carries no other request
	}
	// The caller sees this one as a connection that ends if it fails.
	_, _ = io.WriteString(conn, refusal)
	rec := httptest.NewRecorder()
	l.serve(rec, next)
	resp := rec.Result()
	resp.ContentLength, resp.Close = int64(rec.Body.Len()), true
	_ = resp.Write(conn)
}

// doWork blocks for as long as the faults require the request to run, or until its caller
// disconnects. It reports whether the request's time budget ended before, with the fault TimesOut.
func (l *Leaf) doWork(r *http.Request, f LeafFaults) (timedOut bool) {
	id := r.Header.Get("Bramleybarrow-Attempt-Id")
	l.beginWork(id)
	defer l.endWork(id)
	if f.Silent {
		<-r.Context().Done()
		return false
	}
	ctx := r.Context()
	if budget, err := strconv.Atoi(r.Header.Get("Bramleybarrow-Deadline-Ms")); err == nil && f.TimesOut {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(budget)*time.Millisecond)
		defer cancel()
	}
	select {
	case <-time.After(f.Delay):
	case <-ctx.Done():
	}
	if f.Hold != nil {
		select {
		case <-f.Hold:
		case <-ctx.Done():
		}
	}
	return ctx.Err() != nil && r.Context().Err() == nil
}

// writeAnswer writes the answer to the request with that id, changed as the faults require. For
// LoseAnswers and Silent it closes the connection instead.
func (l *Leaf) writeAnswer(w http.ResponseWriter, id string, f LeafFaults) {
	body := l.Answer(id)
	if f.LoseAnswers || f.Silent {
		panic(http.ErrAbortHandler)
	}
	if f.Endless {
		l.writeEndless(w)
		return
	}
	if f.TruncateBody || f.NoContentLength || f.ExtraAnswer {
		l.writeRawAnswer(w, id, body, f)
		return
	}
	w.Header().Set("Bramleybarrow-Attempt-Id", id)
	// The numbers of running requests, of waiting requests and of slots, and the pace: how long
	// work takes on the leaf's machine, in hundredths of the usual time.
	w.Header().Set("Bramleybarrow-Server-Load", fmt.Sprintf("1,0,%d,100", l.slots()))
	if !f.NoReceipt {
		w.Header().Set("Bramleybarrow-Response-Stamp", l.Receipt(id))
	}
	if f.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The caller has disconnected if this fails.
	_, _ = w.Write(body)
}

// writeEndless writes a header until the caller closes the connection.
func (l *Leaf) writeEndless(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Long: ")
	for line := strings.Repeat("x", 4<<10); err == nil; {
		_, err = io.WriteString(conn, line)
	}
}

// writeRawAnswer writes the answer with the fault TruncateBody, NoContentLength or ExtraAnswer, which
// net/http's server can't produce, and closes the connection.
func (l *Leaf) writeRawAnswer(w http.ResponseWriter, id string, body []byte, f LeafFaults) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nBramleybarrow-Attempt-Id: %s\r\nBramleybarrow-Response-Stamp: %s\r\n", id, l.Receipt(id))
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	var out string
	switch {
	case f.TruncateBody:
		out = head + length + "\r\n" + string(body[:len(body)/2])
	case f.NoContentLength:
		out = head + "Connection: close\r\n\r\n" + string(body)
	case f.ExtraAnswer:
		response := head + length + "\r\n" + string(body)
		out = response + response
	}
	// The caller has disconnected if this fails.
	_, _ = io.WriteString(conn, out)
	if f.ExtraAnswer {
		time.Sleep(200 * time.Millisecond) // the caller sees an open connection meanwhile
	}
	_ = conn.Close()
}
