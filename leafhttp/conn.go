package leafhttp

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to a leaf. It belongs to one request at a time.
type conn struct {
	net.Conn
	reader        *bufio.Reader
	reusableUntil time.Time // not reused after that
}

// Times of connections.
const (
	// dialTimeout bounds a connect. A leaf on a machine without power answers
	// nothing at all; a live one takes some 10 ms under load.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT). A connection that went silent takes writes for ever.
	unackedTimeout = 1500 * time.Millisecond
	// readBufferSize holds the head and body of most answers, in bytes.
	readBufferSize = 2 << 10
)

func dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{Control: setOptions, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize)}, nil
}

func setOptions(_, _ string, raw syscall.RawConn) error {
	var err error
	if ctl := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); ctl != nil {
		return ctl
	}
	return err
}

// reusable reports whether nothing has come in since the last answer. Bytes that wait
// belong to no request: a leaf may send a second answer, which the next request would
// take for its own. The end of the connection shows here too, before a request is
// lost on it.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
