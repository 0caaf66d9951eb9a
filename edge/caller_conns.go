package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns are the open connections of callers. It is safe for concurrent use.
type callerConns struct {
	mu      sync.Mutex // guards the fields below
	open    map[*callerConn]http.ConnState
	closing bool // connections that carry no request are closed

	ended wakeup // after a connection has ended
}

// newCallerConns returns an empty set.
func newCallerConns() *callerConns {
	return &callerConns{open: make(map[*callerConn]http.ConnState), ended: newWakeup()}
}

// track records the state of a connection. It is the server's ConnState hook.
func (s *callerConns) track(c net.Conn, state http.ConnState) {
	trackCallerState(c, state)
	cc, ok := c.(*callerConn)
	if !ok {
		return
	}
	cc.trackHeld(state)
	if state != http.StateActive {
		cc.endRequest()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.open, cc)
		s.ended.notify()
	default:
		s.open[cc] = state
	}
	if s.closing && state == http.StateIdle {
		cc.closeUnlessBusy()
	}
}

// awaitNone waits until no connection is open, or ctx ends, and reports whether none is.
func (s *callerConns) awaitNone(ctx context.Context) bool {
	for {
		s.mu.Lock()
		none := len(s.open) == 0
		s.mu.Unlock()
		if none {
			return true
		}
		select {
		case <-s.ended:
		case <-ctx.Done():
			return false
		}
	}
}

// interruptBodies ends the reading of the bodies of requests, and of what follows a last answer.
func (s *callerConns) interruptBodies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.interruptBody(c.request.Load(), interruptedByStop)
		if c.lingers.Load() {
			_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // an error means that the caller has disconnected
		}
	}
}

// firstRequestTime is how long after a connection was accepted its first request is expected.
const firstRequestTime = 500 * time.Millisecond

// closeIdle closes the connections that carry no request, and from now on each that has carried one. It
// leaves open those on which a request has begun to arrive, and those whose first request is expected.
func (s *callerConns) closeIdle(now time.Time) (closed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c, state := range s.open {
		expected := state == http.StateNew && now.Sub(c.acceptedAt) < firstRequestTime
		if state != http.StateActive && !expected && c.closeUnlessBusy() {
			closed++
		}
	}
	return closed
}

// connCounts are numbers of connections by what they are used for.
type connCounts struct {
	idle   int // wait for a request
	unused int // have carried none yet
	active int // carry one
}

// counts returns the numbers of open connections.
func (s *callerConns) counts() (n connCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.open {
		switch state {
		case http.StateIdle:
			n.idle++
		case http.StateNew:
			n.unused++
		default:
			n.active++
		}
	}
	return n
}

// requests returns the requests that were not answered yet.
func (s *callerConns) requests() []*openRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*openRequest
	for c := range s.open {
		if req := c.request.Load(); req != nil {
			open = append(open, req)
		}
	}
	return open
}

// endAbruptly has the connections that are still open closed at once.
func (s *callerConns) endAbruptly() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.abrupt.Store(true)
	}
}
