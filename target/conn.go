package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// conn is one connection to a target.
type conn struct {
	http *http.ClientConn // sends requests on wire
	wire *wireConn        // the TCP connection

	// The mu of the connection's pool guards the fields below.

	calls        int       // calls and probes in progress on this connection
	retiring     bool      // accepts no new call and is closed once no call uses it
	probing      bool      // a status read that tests whether the connection is silent is in progress
	silent       bool      // a status read received nothing at all, and nothing has been received since; no call is started
	unanswered   bool      // nothing has been answered on it since it was opened
	awaited      bool      // silent and kept open: status reads on it wait for data
	lost         bool      // silent, and no answer is awaited any more; it is closed at once
	closing      bool      // being closed; counts against this VM's share of connections until the target has closed its end
	waitingSince time.Time // start of the first call since the last byte was received
}

// isSuspect reports whether a call has waited for longer than suspectAfter while
// nothing at all was received. This happens if a device between the two ends, such
// as a firewall, has lost the state of the connection: writes succeed, and no FIN or
// RST ever arrives. A connection whose only call is slow looks the same. A probe
// distinguishes the two cases, and it does no harm that other calls avoid the
// connection until its next byte arrives.
func (c *conn) isSuspect(now time.Time, suspectAfter time.Duration) bool {
	return c.awaitsData() && now.Sub(c.waitingSince) > suspectAfter
}

// awaitsData reports whether nothing was received since a call began. It stays
// true after that call is cancelled or times out, because the end of the call
// does not show whether the connection works.
func (c *conn) awaitsData() bool {
	return c.waitingSince.After(c.wire.lastRead())
}

// isHeard reports whether the connection was not found silent.
func (c *conn) isHeard() bool { return !c.silent }

// isOpen reports whether the connection is not being closed.
func (c *conn) isOpen() bool { return !c.closing }

// awaitsFirstAnswer reports whether an answer is awaited on the connection, which never had one.
func (c *conn) awaitsFirstAnswer() bool { return c.unanswered && !c.lost && !c.closing }

// wireConn is a net.Conn that records when it last received data.
type wireConn struct {
	net.Conn
	lastReadNanos atomic.Int64 // time of the last read that returned data, in ns since the Unix epoch
}

// newWireConn returns a wireConn that counts as having received data just now.
func newWireConn(inner net.Conn) *wireConn {
	w := &wireConn{Conn: inner}
	w.lastReadNanos.Store(time.Now().UnixNano())
	return w
}

// lastRead returns when data was last received, or when the connection was opened.
func (w *wireConn) lastRead() time.Time { return time.Unix(0, w.lastReadNanos.Load()) }

// Read implements net.Conn. It records the time if it received data.
func (w *wireConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.lastReadNanos.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close closes only the sending side. The other end can still be read from, so that
// conn.shutdown sees when the other end closes too.
func (w *wireConn) Close() error {
	if tcp, ok := w.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return w.Conn.Close()
}

// awaitRemoteClose reads until the other end has closed the connection, for at
// most limit, or until stop is closed.
func (w *wireConn) awaitRemoteClose(stop <-chan struct{}, limit time.Duration) {
	_ = w.Conn.SetReadDeadline(time.Now().Add(limit))
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		select {
		case <-stop:
			_ = w.Conn.SetReadDeadline(time.Now())
		case <-closed:
		}
	}()
	_, _ = io.Copy(io.Discard, w.Conn)
}

// wireKey is the context key of the **wireConn that dialWire sets.
type wireKey struct{}

// dialWire opens a TCP connection for http.Transport.NewClientConn. It also
// stores the connection in the **wireConn of the context, because an
// http.ClientConn gives no access to its net.Conn.
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

// maxAnswerHeaderBytes bounds the size of an answer's header.
const maxAnswerHeaderBytes = 16 << 10

// newTransport returns the transport that opens the connections of a Client. The
// transport's own connection pool is not used, because it resends requests and
// does not bound the number of dials.
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

// maxCloseWait bounds the wait for the other end to close a connection that is not silent.
const maxCloseWait = 200 * time.Millisecond

// shutdown closes the connection; calls that still use it fail. It waits until the target has
// closed its end, for at most wait, or until stop is closed. Until then the target counts the
// connection, and a replacement could exceed the target's limit.
func (c *conn) shutdown(stop <-chan struct{}, wait time.Duration) {
	_ = c.http.Close()
	if wait > 0 {
		c.wire.awaitRemoteClose(stop, wait)
	}
	_ = c.wire.Conn.Close()
}
