package leafhttp

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to a leaf. It carries one request at a time.
type conn struct {
	net.Conn
	raw           syscall.RawConn // of Conn
	bounded       *boundedReader  // reads from Conn
	reader        *bufio.Reader   // reads from bounded
	reusableUntil time.Time       // end of the idle timeout; set when the connection becomes idle
	statesIDs     bool            // an answer on it has stated the id of its request
	// repeatable holds the ids of requests that may be sent to the leaf again after an answer on
	// this connection. A late copy of that answer could be taken for the one to the next send, so
	// that goes out on another connection. It is nil if there are none.
	repeatable map[string]struct{}
}

// maxRepeatable bounds conn.repeatable. The connection is not reused beyond it.
const maxRepeatable = 64

// mayRepeat reports whether an answer to an earlier send of the request with the given id may still
// come on the connection. Liveness checks have no id.
func (c *conn) mayRepeat(id string) bool {
	_, repeatable := c.repeatable[id]
	return repeatable
}

// belongsTo reports whether an answer that states the id stated is the one to the request with the
// given id. Where a leaf states ids, an answer without one proves nothing.
func (c *conn) belongsTo(id, stated string) bool {
	return stated == id || stated == "" && !c.statesIDs
}

// record records the answer to the request with the given id.
func (c *conn) record(id string, reading Reading) {
	c.statesIDs = c.statesIDs || reading.ID != ""
	if reading.Last || id == "" {
		return
	}
	if c.repeatable == nil {
		c.repeatable = make(map[string]struct{})
	}
	c.repeatable[id] = struct{}{}
}

// worn reports whether the connection has carried too many requests that may be sent again.
func (c *conn) worn() bool { return len(c.repeatable) >= maxRepeatable }

// Timeouts and buffer size of a connection.
const (
	// dialTimeout bounds the time for opening a connection. A machine without power
	// sends no reply at all; a live leaf accepts within some 10 ms under load.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT). Without it, writes to a connection whose other end has
	// stopped responding would continue to succeed.
	unackedTimeout = 1500 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer, in bytes. The head and
	// body of most answers fit.
	readBufferSize = 2 << 10
)

// dial connects to a leaf at address, an IP and a port.
func dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{Control: setUserTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	control, err := raw.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	bounded := &boundedReader{src: raw}
	return &conn{Conn: raw, raw: control, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferSize)}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// connState is the state of an idle connection.
type connState int

const (
	connClean   connState = iota // open, without unread bytes
	connSurplus                  // the leaf has sent bytes that no request waits for
	connClosed                   // the leaf has closed it
)

// state returns the state of an idle connection. Unread bytes belong to no request: if a leaf sent a
// second answer, the next request would read it as its own. A connection that the leaf has closed is
// detected here too, before a request is sent on it and lost.
func (c *conn) state() connState {
	if c.reader.Buffered() > 0 {
		return connSurplus
	}
	state := connClosed
	err := c.raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case peekErr == unix.EAGAIN:
			state = connClean
		case peekErr == nil && n > 0:
			state = connSurplus
		}
		return true
	})
	if err != nil {
		return connClosed
	}
	return state
}

// reusable reports whether the connection is open and has no unread bytes.
func (c *conn) reusable() bool { return c.state() == connClean }
