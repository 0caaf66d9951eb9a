package site

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that a leaf began to work on.
type Run struct {
	Leaf, Service, ID    string
	Stamp                string // receipt of the answer
	Status               int
	Body                 []byte // of the answer
	Method, Target, Hash string // of the request as the leaf got it; Hash is that of its body
	Began, Ended         time.Time
}

// Arrival is a request that reached a leaf, whether it ran or not.
type Arrival struct {
	Leaf, Service, ID string
	At                time.Time
	Ran               bool
}

// Ledger holds what all leafs have seen.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string][]*Run // by attempt id
	arrivals []Arrival
	last     int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string][]*Run)} }

// Runs returns the runs of an attempt.
func (l *Ledger) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Run
	for _, r := range l.runs[id] {
		list = append(list, *r)
	}
	return list
}

// Arrivals returns all arrivals, oldest first.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.arrivals...)
}

// Leaf is a stand-in of a leaf. Its exported fields are set before Start.
type Leaf struct {
	ID, Service, Zone string
	Slots, Queue      int
	Work              func() time.Duration // how long a request takes
	Born              int64                // when the leaf started, by the clock of its machine, in Unix milliseconds
	Ledger            *Ledger
	// Spoil may take over the connection after a request has run, nil for never. It reports whether the connection
	// has to be closed.
	Spoil func(l *Leaf, conn net.Conn, r *Run, answer []byte) (closes, handled bool)

	listener net.Listener
	slots    chan struct{}
	mu       sync.Mutex
	waiting  int
	conns    map[net.Conn]struct{}
	ended    bool
}

// Start listens on a free loopback port.
func (l *Leaf) Start() error { return l.StartAt("127.0.0.1:0") }

// StartAt listens on an address.
func (l *Leaf) StartAt(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.listener, l.slots, l.conns = listener, make(chan struct{}, l.Slots), make(map[net.Conn]struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return nil
}

// Address returns the IP and port.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// End closes the listener and all connections, as the end of the process does.
func (l *Leaf) End() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// Entry returns the leaf's entry in the store.
func (l *Leaf) Entry(state string, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-left-ms":0,"sequence":%d,"born":%d}`,
		l.Service, l.Address(), l.Zone, l.Slots, state, sequence, l.Born)
}

// serve answers the requests on a connection.
func (l *Leaf) serve(conn net.Conn) {
	defer conn.Close()
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	ended := l.ended
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for !ended {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !l.answer(conn, req, body) {
			return
		}
	}
}

// load returns the load header.
func (l *Leaf) load() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("Bramleybarrow-Server-Load: %d,%d,%d\r\n", len(l.slots), l.waiting, l.Slots)
}

// answer answers a request. It reports whether the connection stays open.
func (l *Leaf) answer(conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Bramleybarrow-Attempt-Id")
	echo := "Bramleybarrow-Attempt-Id: " + id + "\r\n"
	if target := req.Header.Get("Bramleybarrow-Target-Instance"); target != "" && target != l.ID {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sBramleybarrow-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", echo, l.ID)
		return err == nil
	}
	if req.URL.Path == "/health" {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBramleybarrow-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", l.ID, l.load())
		return err == nil
	}
	if !l.takeSlot() {
		l.arrived(id, false)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sBramleybarrow-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", echo, l.load())
		return err == nil
	}
	run := l.begin(id, req, body)
	limit := time.Hour
	if ms, err := strconv.ParseFloat(req.Header.Get("Bramleybarrow-Deadline-Ms"), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	work := l.Work()
	time.Sleep(min(work, limit))
	<-l.slots
	if work > limit {
		run.Status, run.Body = http.StatusGatewayTimeout, nil
	}
	l.Ledger.mu.Lock()
	run.Ended = time.Now()
	l.Ledger.mu.Unlock()
	answer := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sBramleybarrow-Response-Stamp: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		run.Status, http.StatusText(run.Status), echo, run.Stamp, l.load(), len(run.Body), run.Body)
	if l.Spoil != nil {
		if closes, handled := l.Spoil(l, conn, run, answer); handled {
			return !closes
		}
	}
	_, err := conn.Write(answer)
	return err == nil
}

// takeSlot waits for a slot, and reports whether there was one or a place in the queue.
func (l *Leaf) takeSlot() bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	l.mu.Lock()
	if l.waiting >= l.Queue {
		l.mu.Unlock()
		return false
	}
	l.waiting++
	l.mu.Unlock()
	l.slots <- struct{}{}
	l.mu.Lock()
	l.waiting--
	l.mu.Unlock()
	return true
}

// arrived records an arrival.
func (l *Leaf) arrived(id string, ran bool) {
	l.Ledger.mu.Lock()
	defer l.Ledger.mu.Unlock()
	l.Ledger.arrivals = append(l.Ledger.arrivals, Arrival{Leaf: l.ID, Service: l.Service, ID: id, At: time.Now(), Ran: ran})
}

// begin records a run.
func (l *Leaf) begin(id string, req *http.Request, body []byte) *Run {
	l.arrived(id, true)
	sum := sha256.Sum256(body)
	l.Ledger.mu.Lock()
	defer l.Ledger.mu.Unlock()
	l.Ledger.last++
	run := &Run{
		Leaf: l.ID, Service: l.Service, ID: id, Stamp: fmt.Sprintf("%s.%d", l.ID, l.Ledger.last), Status: http.StatusOK,
		Method: req.Method, Target: req.RequestURI, Hash: hex.EncodeToString(sum[:]), Began: time.Now(),
	}
	for n := range 4 {
		record := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(run.Stamp), uint64(n)))
		run.Body = append(run.Body, record[:16]...)
	}
	l.Ledger.runs[id] = append(l.Ledger.runs[id], run)
	return run
}
