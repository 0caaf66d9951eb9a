package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// conn is one connection to a target. Its plain fields are guarded by the mu
// of its pool.
type conn struct {
	http *http.ClientConn
	wire *wireConn

	calls        int       // that hold this connection
	retiring     bool      // takes no new call and closes once idle
	probing      bool      // a probe is under way
	silent       bool      // closes at once
	closing      bool      // counts until the target has closed it too
	waitingSince time.Time // start of the first call since the last byte received
}

// isSuspect reports that a call has waited for longer than after while nothing
// at all was received. A connection that something between the two ends has
// lost track of looks like that: writes succeed, and no FIN or RST ever comes.
// So does a connection whose only call is slow; being passed over until the
// next byte does not harm it, and a probe tells the two apart.
func (c *conn) isSuspect(now time.Time, after time.Duration) bool {
	return c.awaitsData() && now.Sub(c.waitingSince) > after
}

// awaitsData reports that nothing was received since a call began. It stays
// true when that call is given up, because that says nothing about the wire.
func (c *conn) awaitsData() bool {
	return c.waitingSince.After(c.wire.lastRead())
}

// wireConn is a net.Conn that knows when it last received something.
type wireConn struct {
	net.Conn
	lastReadNanos atomic.Int64 // time of the last read, in ns since the epoch
}

func newWireConn(inner net.Conn) *wireConn {
	w := &wireConn{Conn: inner}
	w.lastReadNanos.Store(time.Now().UnixNano())
	return w
}

func (w *wireConn) lastRead() time.Time { return time.Unix(0, w.lastReadNanos.Load()) }

// Read implements net.Conn.
func (w *wireConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.lastReadNanos.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close tells the other end that nothing more will come. What it still sends
// can be read, so that its own close is seen; see conn.shut.
func (w *wireConn) Close() error {
	if tcp, ok := w.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return w.Conn.Close()
}

// awaitRemoteClose reads until the other end has closed, for at most limit.
func (w *wireConn) awaitRemoteClose(limit time.Duration) {
	_ = w.Conn.SetReadDeadline(time.Now().Add(limit))
	_, _ = io.Copy(io.Discard, w.Conn)
}

// wireKey is the context key under which dialWire leaves its connection.
type wireKey struct{}

// dialWire opens a TCP connection for http.Transport.NewClientConn and leaves
// it in the context, because an http.ClientConn does not show its net.Conn.
func dialWire(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	inner, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w := newWireConn(inner)
	if slot, ok := ctx.Value(wireKey{}).(**wireConn); ok {
		*slot = w
	}
	return w, nil
}

const maxAnswerHeaderBytes = 16 << 10

// newTransport returns the transport that opens the connections of a Client.
// Its own pool, with its replays and unbounded dials, stays unused.
func newTransport(o *Options) *http.Transport {
	protocols := new(http.Protocols)
	if o.Protocol == HTTP1 {
		protocols.SetHTTP1(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Transport{
		DialContext:            dialWire,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  o.PingAfter,
			PingTimeout:      o.ProbeTimeout,
			WriteByteTimeout: o.SuspectAfter + o.ProbeTimeout,
		},
	}
}

// maxCloseWait bounds the wait for the other end to close a connection too.
const maxCloseWait = 200 * time.Millisecond

// close closes the connection; calls still on it fail. It returns once the
// target has closed its end: until then the target counts the connection, and
// a new one in its place could be one above the target's limit.
func (c *conn) close(inHaste bool) {
	_ = c.http.Close()
	if !inHaste {
		c.wire.awaitRemoteClose(maxCloseWait)
	}
	_ = c.wire.Conn.Close()
}
