package edgesim

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// LeafFaults are what a leaf does wrong. The zero value is a healthy leaf.
type LeafFaults struct {
	Delay           time.Duration // of its work
	Hold            chan struct{} // its work ends when this is closed; nil for at once
	Refuse          bool          // every request is answered 503, not run
	Fail            bool          // every request is run and answered 500
	LoseAnswers     bool          // every request is run, and its connection closed without an answer
	TruncateBody    bool          // answers end in the middle of their body
	NoContentLength bool          // answers end with their connection
	ExtraAnswer     bool          // a second answer follows each one
	NoReceipt       bool          // answers lack the receipt
	Silent          bool          // requests are run and never answered
}

// Leaf is one lifetime of one leaf. It is safe for concurrent use.
type Leaf struct {
	ID, Service, Zone string
	Born              int64
	Records           int // of an answer; 4 if 0

	server *httptest.Server

	mu         sync.Mutex // guards the fields below
	faults     LeafFaults
	arrivals   map[string]int // by request id
	runs       map[string]int
	conns      int // opened so far
	lastHeader http.Header
	lastBody   []byte
	lastURI    string
	inFlight   int
}

// Start starts the leaf.
func (l *Leaf) Start() *Leaf {
	l.arrivals, l.runs = make(map[string]int), make(map[string]int)
	l.server = httptest.NewUnstartedServer(http.HandlerFunc(l.serve))
	l.server.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			l.mu.Lock()
			l.conns++
			l.mu.Unlock()
		}
	}
	l.server.Start()
	return l
}

// Stop ends the leaf; its address refuses connections.
func (l *Leaf) Stop() {
	l.server.CloseClientConnections()
	l.server.Close()
}

// DropConnections closes all connections without a word.
func (l *Leaf) DropConnections() { l.server.CloseClientConnections() }

// Address returns the leaf's IP and port.
func (l *Leaf) Address() string { return strings.TrimPrefix(l.server.URL, "http://") }

// SetFaults changes what goes wrong from now on.
func (l *Leaf) SetFaults(f LeafFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Counts returns how often a request arrived and how often it ran.
func (l *Leaf) Counts(id string) (arrivals, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[id], l.runs[id]
}

// Totals returns how many requests arrived, and how many connections were opened.
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

// InFlight returns how many requests the leaf works on.
func (l *Leaf) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

func (l *Leaf) addInFlight(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight += n
}

// RegistryEntry returns what the leaf writes of itself into the store.
func (l *Leaf) RegistryEntry(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":2,"state":%q,"cold-left-ms":0,"sequence":1,"born":%d}`,
		l.Service, l.Address(), l.Zone, state, l.Born)
}

// Receipt returns the receipt of the leaf's answer to a request.
func (l *Leaf) Receipt(id string) string { return l.ID + "." + id }

// Answer returns the body of the leaf's answer to a request: records that depend on
// both.
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

func (l *Leaf) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Bramleybarrow-Attempt-Id")
	if want := r.Header.Get("Bramleybarrow-Target-Instance"); want != "" && want != l.ID {
		w.Header().Set("Bramleybarrow-Instance-Id", l.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// A body that is cut short shows in what the test compares.
	body, _ := io.ReadAll(r.Body)
	l.mu.Lock()
	f := l.faults
	l.arrivals[id]++
	if !f.Refuse {
		l.runs[id]++
	}
	l.lastHeader, l.lastBody, l.lastURI = r.Header.Clone(), body, r.RequestURI
	l.mu.Unlock()
	if f.Refuse {
		w.Header().Set("Bramleybarrow-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.doWork(r, f)
	l.writeAnswer(w, id, f)
}

func (l *Leaf) doWork(r *http.Request, f LeafFaults) {
	l.addInFlight(1)
	defer l.addInFlight(-1)
	if f.Silent {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(f.Delay):
	case <-r.Context().Done():
	}
	if f.Hold == nil {
		return
	}
	select {
	case <-f.Hold:
	case <-r.Context().Done():
	}
}

func (l *Leaf) writeAnswer(w http.ResponseWriter, id string, f LeafFaults) {
	body := l.Answer(id)
	if f.LoseAnswers || f.Silent {
		panic(http.ErrAbortHandler)
	}
	if f.TruncateBody || f.NoContentLength || f.ExtraAnswer {
		l.writeRawAnswer(w, id, body, f)
		return
	}
	w.Header().Set("Bramleybarrow-Attempt-Id", id)
	w.Header().Set("Bramleybarrow-Server-Load", "1,0,2,100")
	if !f.NoReceipt {
		w.Header().Set("Bramleybarrow-Response-Stamp", l.Receipt(id))
	}
	if f.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The caller is gone if this fails.
	_, _ = w.Write(body)
}

// writeRawAnswer writes an answer that net/http would not.
func (l *Leaf) writeRawAnswer(w http.ResponseWriter, id string, body []byte, f LeafFaults) {
	conn, _, err := w.(http.Hijacker).Hijack()
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
		one := head + length + "\r\n" + string(body)
		out = one + one
	}
	// The caller is gone if this fails.
	_, _ = io.WriteString(conn, out)
	if f.ExtraAnswer {
		time.Sleep(200 * time.Millisecond) // the connection looks open meanwhile
	}
	_ = conn.Close()
}
