package wire

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// boundedCodec is jsonrpc2.VarintObjectCodec with bounds on the size of messages.
// The library's codec believes the length that the other end states: one
// connection could make this VM read without end.
type boundedCodec struct {
	limit   *atomic.Int64 // of what is read
	maxSend int
}

// WriteObject implements jsonrpc2.ObjectCodec. What the other end would not read
// fails here, with its code, and the connection goes on.
func (c boundedCodec) WriteObject(stream io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > c.maxSend {
		return result.Errorf(result.MessageTooBig, "%d bytes, at most %d", len(data), c.maxSend)
	}
	if _, err := stream.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if limit := c.limit.Load(); size > uint64(limit) {
		return result.Errorf(result.MessageTooBig, "%d bytes, at most %d", size, limit)
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(stream, buf); err != nil {
		return err
	}
	if err := json.Unmarshal(buf, v); err != nil {
		return result.Wrap(result.BadMessage, err, "")
	}
	return nil
}

// timedConn bounds each read by the time without a byte from the peer and each
// write by the same, and counts bytes. A connection can go silent without FIN
// or RST while writes still go into the kernel's buffer; only a deadline on
// progress finds that out.
type timedConn struct {
	net.Conn
	silent time.Duration
	count  *Counters
}

// Read implements io.Reader.
func (c *timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.until()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.count.BytesIn.Add(uint64(n))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.count.SilentClosed.Add(1)
	}
	return n, err
}

// Write implements io.Writer.
func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.until()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.count.BytesOut.Add(uint64(n))
	c.count.Writes.Add(1)
	return n, err
}

func (c *timedConn) until() time.Time {
	return time.Now().Add(c.silent)
}

// Counters counts what passed over the connections of one end, hello included.
type Counters struct {
	BytesIn, BytesOut, Writes atomic.Uint64
	HellosRefused             atomic.Uint64
	SilentClosed              atomic.Uint64
}
