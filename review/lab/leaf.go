package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Leaf is a stand-in of a leaf. It runs Slots requests at once, queues Queue more and rejects the
// others, and serves one request at a time on a connection.
type Leaf struct {
	ID, Service, Zone string
	Slots, Queue      int
	Work              time.Duration // of a request
	Record            *Record
	// Observe is called with the id and the body of each request that runs. It may be nil.
	Observe func(leaf, id, method string, body []byte)

	listener net.Listener
	slots    chan struct{}

	mu        sync.Mutex // guards the fields below
	waiting   int
	runs      map[string]int // by request id
	extra     float64        // share of answers that are sent a second time
	extras    int            // answers sent a second time
	rejects   int            // requests rejected
	extraSeed *rand.Rand
	conns     map[net.Conn]bool // open connections
}

// Start starts the leaf on a free loopback port.
func (l *Leaf) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.listener, l.slots, l.runs, l.conns = listener, make(chan struct{}, l.Slots), make(map[string]int), make(map[net.Conn]bool)
	l.extraSeed = rand.New(rand.NewPCG(1, uint64(len(l.ID))))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serveConn(conn)
		}
	}()
	return nil
}

// Stop ends the leaf like a crash of its process: its port refuses connections, and the open ones are
// closed.
func (l *Leaf) Stop() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// track records that a connection was opened or has ended.
func (l *Leaf) track(conn net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[conn] = true
	} else {
		delete(l.conns, conn)
	}
}

// Entry returns the leaf's entry in the store.
func (l *Leaf) Entry(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-left-ms":0,"sequence":1,"born":1}`,
		l.Service, l.listener.Addr().String(), l.Zone, l.Slots, state)
}

// SetExtra sets the share of answers after which the same answer is sent again, when the next request
// has arrived on the connection.
func (l *Leaf) SetExtra(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extra = share
}

// Runs returns how often each request has run, by its id, and the numbers of rejected requests and of
// extra answers.
func (l *Leaf) Runs() (runs map[string]int, rejects, extras int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs = make(map[string]int, len(l.runs))
	for id, n := range l.runs {
		runs[id] = n
	}
	return runs, l.rejects, l.extras
}

// serveConn serves the requests of a connection, one after the other.
func (l *Leaf) serveConn(conn net.Conn) {
	l.track(conn, true)
	defer l.track(conn, false)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late []byte   // an answer to send again when the next request has arrived
	var lateID string // of its request
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Bramleybarrow-Attempt-Id")
		if late != nil {
			l.Record.Printf("leaf %s answers %s again, late, where the answer to %s is expected: %.12s", l.ID, lateID, id, late)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := l.answer(conn, req, id, body)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		l.mu.Lock()
		if l.extra > 0 && l.extraSeed.Float64() < l.extra {
			l.extras++
			late, lateID = answer, id
		}
		l.mu.Unlock()
	}
}

// answer runs or rejects a request, and returns the answer.
func (l *Leaf) answer(conn net.Conn, req *http.Request, id string, body []byte) []byte {
	if want := req.Header.Get("Bramleybarrow-Target-Instance"); want != "" && want != l.ID {
		return []byte("HTTP/1.1 421 Misdirected Request\r\nBramleybarrow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	left, _ := strconv.Atoi(req.Header.Get("Bramleybarrow-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(left)*time.Millisecond)
	defer cancel()
	if !l.enter(ctx) {
		l.mu.Lock()
		l.rejects++
		l.mu.Unlock()
		l.Record.Printf("leaf %s rejects %s", l.ID, id)
		return l.format(id, "503 Service Unavailable", "Bramleybarrow-Not-Executed: 1\r\n", "")
	}
	defer func() { <-l.slots }()
	l.mu.Lock()
	l.runs[id]++
	n := l.runs[id]
	l.mu.Unlock()
	l.Record.Printf("leaf %s runs %s (from %s), time %d", l.ID, id, conn.RemoteAddr(), n)
	if l.Observe != nil {
		l.Observe(l.ID, id, req.Method, body)
	}
	select {
	case <-time.After(l.Work):
	case <-ctx.Done():
		return l.format(id, "504 Gateway Timeout", l.stamp(id), "")
	}
	return l.format(id, "200 OK", l.stamp(id), strings.Repeat(l.ID[len(l.ID)-1:], 64))
}

// enter takes a slot, and returns false if the leaf is full or ctx ends in the queue.
func (l *Leaf) enter(ctx context.Context) bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	l.mu.Lock()
	full := l.waiting >= l.Queue
	if !full {
		l.waiting++
	}
	l.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		l.mu.Lock()
		l.waiting--
		l.mu.Unlock()
	}()
	select {
	case l.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// stamp returns the header with the leaf's receipt.
func (l *Leaf) stamp(id string) string {
	return fmt.Sprintf("Bramleybarrow-Response-Stamp: %s.%s\r\n", l.ID, id)
}

// format returns an answer on the wire. It echoes the request's id and states the leaf's load.
func (l *Leaf) format(id, status, headers, body string) []byte {
	l.mu.Lock()
	waiting := l.waiting
	l.mu.Unlock()
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nBramleybarrow-Attempt-Id: %s\r\nBramleybarrow-Server-Load: %d,%d,%d\r\n%sContent-Length: %d\r\n\r\n%s",
		status, id, min(len(l.slots), l.Slots), waiting, l.Slots, headers, len(body), body)
}
