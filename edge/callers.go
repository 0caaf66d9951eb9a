package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleybarrow/bramleybarrow/routing"
)

// Limits of callers' connections while no manifest states others.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 120 * time.Second
	headerBytes   = 64 << 10
)

// idleSlack is for how long a connection is kept beyond the time that the operator allows. A
// caller that has learned of a longer time before this VM must not find it closed.
const idleSlack = 30 * time.Second

// callerListener bounds callers' connections by the manifest in force. net/http's time-outs
// are fixed for the life of a server, and a caller that reuses a connection for as long as
// the operator allows would find it closed.
type callerListener struct {
	net.Listener
	limits func() routing.Limits
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &callerConn{TCPConn: tcp, limits: l.limits, acceptedAt: time.Now(), roundTrip: measuredRoundTrip(tcp)}, nil
}

// measuredRoundTrip returns the round trip that the kernel measured on a connection, 0 if it does
// not say.
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
		return 0 // a time that is assumed takes its place
	}
	return time.Duration(info.Rtt) * time.Microsecond
}

// callerConn is a caller's connection. net/http sets its read deadlines from one goroutine,
// and tells of a change of state from the same one.
type callerConn struct {
	*net.TCPConn
	limits     func() routing.Limits
	acceptedAt time.Time
	roundTrip  time.Duration // 0 if not known
	idle       bool          // the next deadline ends the time without a request
	used       bool          // a request before the present one came on it
}

// callerConnKey is the key of a request's *callerConn in its context.
type callerConnKey struct{}

// withCallerConn is the server's ConnContext.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	if cc, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, cc)
	}
	return ctx
}

// callerPathOf returns what is known of the way from the caller of a request that arrived now.
func callerPathOf(ctx context.Context, now time.Time) callerPath {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return callerPath{}
	}
	path := callerPath{oneWay: c.roundTrip / 2}
	if !c.used && now.Sub(c.acceptedAt) <= c.roundTrip {
		path.connectTime = c.roundTrip
	}
	return path
}

// trackCallerState is the server's ConnState.
func trackCallerState(c net.Conn, state http.ConnState) {
	if cc, ok := c.(*callerConn); ok && state == http.StateIdle {
		cc.idle, cc.used = true, true
	}
}

// SetReadDeadline puts what is in force in place of the server's own time-outs.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	return c.TCPConn.SetReadDeadline(c.readDeadline(time.Now(), t))
}

// readDeadline returns the deadline for one that the server sets. The first that an idle
// connection gets bounds the wait for a request, any other that lies ahead bounds the reading
// of a header. Past ones and none at all are left as they are: with them the server ends its
// own reads.
func (c *callerConn) readDeadline(now, t time.Time) time.Time {
	if !t.After(now) {
		return t
	}
	limits, idle := c.limits(), c.idle
	c.idle = false
	switch {
	case idle && limits.IdleTimeout > 0:
		return now.Add(limits.IdleTimeout + idleSlack)
	case !idle && limits.HeaderTimeout > 0:
		return now.Add(limits.HeaderTimeout)
	}
	return t
}

// callerLimits returns the limits in force, none without a manifest.
func (e *Engine) callerLimits() routing.Limits {
	m := e.inForce.Get()
	if m == nil {
		return routing.Limits{}
	}
	return m.Limits
}
