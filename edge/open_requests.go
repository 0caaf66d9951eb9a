package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// requestStage says how far this VM has come with a caller's request.
type requestStage int32

// The stages, in order. A request is still at the last one after its handler has returned, until its
// answer is written.
const (
	stageHead   requestStage = iota // its header was read
	stageKey                        // its key is checked
	stageToken                      // its tenant's limit is checked
	stageBody                       // its body is read
	stageOffer                      // it is offered to another VM, or runs there
	stageSlot                       // a keeper of slots is asked
	stageLeaf                       // leafs and other VMs work on it
	stageAnswer                     // its answer is written
	requestStages
)

// requestStageNames are the values of the label and key stage.
var requestStageNames = [requestStages]string{"head", "key", "token", "body", "offer", "slot", "leaf", "answer"}

// openRequest is a caller's request that this VM has not answered.
type openRequest struct {
	id    string
	since time.Time    // when its header was read
	stage atomic.Int32 // a requestStage
	// bodyDue is set while the body, or its end, has not been read.
	bodyDue atomic.Bool
}

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

// interruptBodies ends the reading of the bodies of requests.
func (s *callerConns) interruptBodies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if req := c.request.Load(); req != nil && req.bodyDue.Load() {
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

// beginRequest records that a request on the connection of ctx is served from now on. It returns false
// if this VM has closed the connection: the request must not run, since its answer could not be sent.
func beginRequest(ctx context.Context, id string, now time.Time, hasBody bool) bool {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.arriving = false
	req := &openRequest{id: id, since: now}
	req.bodyDue.Store(hasBody)
	c.request.Store(req)
	return true
}

// bodyRead records that the body of the request on the connection of ctx was read whole.
func bodyRead(ctx context.Context) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		if req := c.request.Load(); req != nil {
			req.bodyDue.Store(false)
		}
	}
}

// endRequest records that no request is served on the connection any more.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.Store(nil)
}

// closeUnlessBusy closes the connection unless it carries a request or one has begun to arrive, and
// reports whether it did.
func (c *callerConn) closeUnlessBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.arriving || c.request.Load() != nil || c.hasInput() {
		return false
	}
	c.closed = true
	_ = c.TCPConn.Close() // it is not used any more
	return true
}

// hasInput reports whether the kernel holds bytes that were not read.
func (c *callerConn) hasInput() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// enterStage records how far the request on the connection of ctx has come. It does nothing for a
// request that another VM has handed over.
func enterStage(ctx context.Context, stage requestStage) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		if req := c.request.Load(); req != nil {
			req.stage.Store(int32(stage))
		}
	}
}

// connEnd says what ended the reading from a caller's connection.
type connEnd int32

// The ends of a connection.
const (
	connOpen   connEnd = iota
	connClosed         // the caller has closed it, or its sending side
	connReset          // the caller or the network has reset it
	connOwn            // this VM has closed it
	connFailed         // any other error
	connEnds
)

// connEndNames are the values of the label and key by of abandoned requests.
var connEndNames = [connEnds]string{"unknown", "closed", "reset", "this_vm", "failed"}

// connEndOf classifies an error of a read. A deadline that has passed ends only the read.
func connEndOf(err error) connEnd {
	var timeout net.Error
	switch {
	case err == nil, errors.As(err, &timeout) && timeout.Timeout():
		return connOpen
	case errors.Is(err, io.EOF):
		return connClosed
	case errors.Is(err, syscall.ECONNRESET):
		return connReset
	case errors.Is(err, net.ErrClosed):
		return connOwn
	}
	return connFailed
}

// Read implements net.Conn. It records that a request has begun to arrive, and what ended the reading.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.mu.Lock()
		// net/http passes over empty lines before a request.
		begins := len(bytes.Trim(p[:n], "\r\n")) > 0
		c.arriving = c.arriving || begins && c.request.Load() == nil
		c.mu.Unlock()
	}
	if end := connEndOf(err); end != connOpen {
		c.end.CompareAndSwap(int32(connOpen), int32(end))
	}
	return n, err
}

// connEndOfRequest returns what ended the connection of the request with ctx.
func connEndOfRequest(ctx context.Context) connEnd {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		return connEnd(c.end.Load())
	}
	return connOpen
}

// drainTime bounds how long a connection with unread bytes is kept after its last answer.
const drainTime = 5 * time.Second

// CloseWrite implements the part of net.TCPConn that net/http calls once the last answer is written.
func (c *callerConn) CloseWrite() error {
	c.endRequest()
	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn. The close of a connection with unread bytes resets it, and drops what the caller
// has not received of its answer. So it is closed for writing first, and read until the caller closes it.
func (c *callerConn) Close() error {
	if c.hasInput() && !c.abrupt.Load() && c.TCPConn.CloseWrite() == nil && c.TCPConn.SetReadDeadline(time.Now().Add(drainTime)) == nil {
		_, _ = io.Copy(io.Discard, c.TCPConn) // the bytes belong to no request
	}
	return c.TCPConn.Close()
}

// endAbruptly has the connections that are still open closed at once.
func (s *callerConns) endAbruptly() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.abrupt.Store(true)
	}
}
