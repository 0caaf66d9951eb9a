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

	"github.com/bramleybarrow/bramleybarrow/intake"
	"github.com/bramleybarrow/bramleybarrow/routing"
)

// Limits of connections. For callers' connections the timeouts apply unless the manifest
// states others.
const (
	headerTimeout  = 10 * time.Second  // longest time for reading the header of a request, unless the manifest states another
	idleTimeout    = 120 * time.Second // how long a connection may wait for its next request, unless the manifest states another time
	maxHeaderBytes = 64 << 10          // upper bound of the header of a caller's request, in bytes; the manifest can only lower it
)

// idleTimeoutSlack is added to the manifest's idle timeout of callers' connections. A caller
// may apply a longer timeout of a new manifest before this VM does, and must not find its
// connection closed.
const idleTimeoutSlack = 30 * time.Second

// callerListener applies the timeouts of the manifest in force to callers' connections. The
// timeouts of a net/http server are fixed while it runs. With these alone, a caller that reuses
// a connection for as long as the manifest allows would find it closed.
type callerListener struct {
	net.Listener
	limits func() routing.Limits // limits of the manifest in force
	intake *callerIntake         // of what callers make this VM hold; nil for no limits
	over   context.Context       // ends when this VM ends what it serves; nil if it doesn't
}

// Accept implements net.Listener. It wraps each connection in a callerConn, and closes those for which there is no
// room.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		cc := &callerConn{TCPConn: tcp, limits: l.limits, intake: l.intake, over: l.over, acceptedAt: time.Now(), roundTrip: measuredRoundTrip(tcp)}
		if l.intake == nil || l.intake.admit(cc) {
			return cc, nil
		}
		_ = tcp.Close() // nothing was read
	}
}

// measuredRoundTrip returns the round-trip time that the kernel measured on a connection to
// a caller, 0 if it is not available.
func measuredRoundTrip(c *net.TCPConn) time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0 // callerPath.answerBy then uses assumedOneWay
	}
	return time.Duration(info.Rtt) * time.Microsecond
}

// callerConn is a caller's connection. net/http sets its read deadlines and reports its state
// changes from the same goroutine, so only the fields from mu on are shared.
type callerConn struct {
	*net.TCPConn
	limits     func() routing.Limits // limits of the manifest in force
	intake     *callerIntake         // holds the account of held; nil if there are no limits
	held       *intake.Conn          // account of this connection; nil if there are no limits
	over       context.Context       // as in callerListener
	acceptedAt time.Time             // when the connection was accepted
	roundTrip  time.Duration         // network round trip to the caller, measured when the connection was accepted; 0 if unknown
	// idle is set when the connection becomes idle after a request. The read deadline that is
	// set next bounds the wait for another request, and clears idle.
	idle bool
	used bool // the connection has carried an earlier request

	mu       sync.Mutex // guards the two fields below, and is held while request changes
	arriving bool       // bytes were read that may be the begin of a request that is not served yet
	closed   bool       // this VM has closed the connection, which carried no request

	request atomic.Pointer[openRequest]  // that is served on it; nil for none
	body    atomic.Pointer[arrivingBody] // that is being read; nil for none
	end     atomic.Int32                 // a connEnd
	abrupt  atomic.Bool                  // Close waits for nothing
	lingers atomic.Bool                  // Close waits until the caller has read its last answer
}

// callerConnKey is the key of a request's *callerConn in its context.
type callerConnKey struct{}

// withCallerConn is the server's ConnContext hook. It stores the callerConn in the request's
// context.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	if cc, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, cc)
	}
	return ctx
}

// callerPathOf returns what is known about the network path from the caller of a request that
// arrived at the given time. ctx is the context of the request.
func callerPathOf(ctx context.Context, arrived time.Time) callerPath {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return callerPath{}
	}
	path := callerPath{oneWay: c.roundTrip / 2}
	// If the first request on a connection arrives within a round trip of its acceptance, the
	// caller opened the connection for this request. Opening it has taken the caller one round
	// trip. A connection whose first request arrives later was opened in advance.
	if !c.used && arrived.Sub(c.acceptedAt) <= c.roundTrip {
		path.connectTime = c.roundTrip
	}
	return path
}

// trackCallerState is the server's ConnState hook. It marks a connection that has become idle
// after a request.
func trackCallerState(c net.Conn, state http.ConnState) {
	if cc, ok := c.(*callerConn); ok && state == http.StateIdle {
		cc.idle, cc.used = true, true
	}
}

// SetReadDeadline implements net.Conn. It replaces the server's own timeouts with those of
// the manifest in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	return c.TCPConn.SetReadDeadline(c.readDeadline(time.Now(), t))
}

// readDeadline returns the deadline to set instead of the one that the server requested. The
// first deadline after a connection becomes idle bounds the wait for a request; any other
// future deadline bounds the reading of a header. Past deadlines and the zero time are
// returned unchanged, because the server uses them to end its own reads.
func (c *callerConn) readDeadline(now, requested time.Time) time.Time {
	if !requested.After(now) {
		return requested
	}
	limits, idle := c.limits(), c.idle
	c.idle = false
	switch {
	case idle && limits.IdleTimeout > 0:
		return now.Add(limits.IdleTimeout + idleTimeoutSlack)
	case !idle && limits.HeaderTimeout > 0:
		return now.Add(limits.HeaderTimeout)
	}
	return requested
}

// callerLimits returns the limits of the manifest in force, zero limits if there is none.
func (e *Engine) callerLimits() routing.Limits {
	m := e.inForce.Get()
	if m == nil {
		return routing.Limits{}
	}
	return m.Limits
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
		header := c.arriving && c.request.Load() == nil
		c.mu.Unlock()
		if header && !c.holdHeader(n) {
			// net/http sends no answer of its own after a failed read.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory}
		}
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

// Bounds of what is read of a connection after its last answer.
const (
	drainTime     = 5 * time.Second
	lastDrainTime = 100 * time.Millisecond // when this VM ends
	drainBytes    = 256 << 10
)

// CloseWrite implements the part of net.TCPConn that net/http calls once the last answer is written.
func (c *callerConn) CloseWrite() error {
	c.endRequest()
	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn. The close of a connection with unread bytes, or to which more are on their way, resets
// it, and drops what the caller has not received of its answer. So it is closed for writing first, and read until
// the caller closes it, within drainTime and drainBytes.
func (c *callerConn) Close() error {
	req := c.request.Load()
	unread := req != nil && req.bodyDue.Load() || c.hasInput()
	c.endRequest()
	if unread && !c.abrupt.Load() {
		c.linger()
	}
	return c.TCPConn.Close()
}

// linger closes the connection for writing, and reads what still arrives until the caller closes it.
func (c *callerConn) linger() {
	wait := drainTime
	if c.over != nil && c.over.Err() != nil {
		wait = lastDrainTime
	}
	if c.TCPConn.CloseWrite() != nil || c.TCPConn.SetReadDeadline(time.Now().Add(wait)) != nil {
		return
	}
	c.lingers.Store(true)
	dropped := make([]byte, bodyChunk)
	for left := drainBytes; left > 0; {
		n, err := c.TCPConn.Read(dropped)
		if err != nil {
			return
		}
		left -= n
	}
}

// trackHeld records the state of the connection in the account of what callers hold.
func (c *callerConn) trackHeld(state http.ConnState) {
	if c.held == nil {
		return
	}
	switch state {
	case http.StateIdle:
		c.intake.update(func(now time.Time, a *intake.Account) { a.Wait(now, c.held) })
	case http.StateClosed, http.StateHijacked:
		c.intake.update(func(_ time.Time, a *intake.Account) { a.Close(c.held) })
	}
}
