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

	"github.com/sourcegraph/jsonrpc2"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// boundedCodec is jsonrpc2.VarintObjectCodec with bounds on the size of messages.
// The library's codec trusts the length that the other end states, so that one
// connection could make this VM read an unlimited amount.
//
// A message may have a binary body, which is sent in a separate frame before it. The
// layers of JSON-RPC parse a message several times in each direction, and for a body of
// leaf calls that costs more than all its other processing.
type boundedCodec struct {
	limit      *atomic.Int64 // bytes of one frame that is read
	maxSend    int           // bytes of one frame that is written
	bodies     *bodies
	withBodies bool // this end speaks VersionCBOR
}

// bodies holds the bodies of the message that is being written and of the one that is
// being read. No lock is needed: the JSON-RPC library writes one message at a time and
// calls OnSend just before, and it passes a message to the handler before it reads the
// next.
type bodies struct {
	out, in []byte
}

// bodyMarker is the first byte of a body's frame. JSON never begins with it.
const bodyMarker = 0

// bodyAttachment carries a body from a call to onSend, which runs just before the message
// is written.
type bodyAttachment []byte

// bodyField is the name of the extra field that holds a bodyAttachment. It is not sent.
const bodyField = "body"

// onSend moves the body from the message's extra field to b.out.
func (b *bodies) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	b.out = nil
	if req == nil || len(req.ExtraFields) == 0 {
		return
	}
	if body, ok := req.ExtraFields[0].Value.(bodyAttachment); ok {
		b.out = body
		req.ExtraFields = nil
	}
}

// WriteObject implements jsonrpc2.ObjectCodec. A message that exceeds maxSend, which the
// other end would refuse to read, fails with MessageTooBig before anything is written, and
// the connection stays usable.
func (c boundedCodec) WriteObject(stream io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if size := max(len(data), len(c.bodies.out)+1); size > c.maxSend {
		return result.Errorf(result.MessageTooBig, "%d bytes, at most %d", size, c.maxSend)
	}
	if c.bodies.out != nil {
		head := binary.AppendUvarint(nil, uint64(len(c.bodies.out))+1)
		if _, err := stream.Write(append(head, bodyMarker)); err != nil {
			return err
		}
		if _, err := stream.Write(c.bodies.out); err != nil {
			return err
		}
	}
	if _, err := stream.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. Errors about the message itself have the
// code MessageTooBig or BadMessage.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	c.bodies.in = nil
	data, err := c.readFrame(stream)
	if err == nil && c.withBodies && len(data) > 0 && data[0] == bodyMarker {
		c.bodies.in = data[1:]
		data, err = c.readFrame(stream)
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return result.Wrap(result.BadMessage, err, "")
	}
	return nil
}

func (c boundedCodec) readFrame(stream *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return nil, err
	}
	if limit := c.limit.Load(); size > uint64(limit) {
		return nil, result.Errorf(result.MessageTooBig, "%d bytes, at most %d", size, limit)
	}
	buf := make([]byte, size)
	_, err = io.ReadFull(stream, buf)
	return buf, err
}

// timedConn sets a deadline for each read and each write, and counts bytes. A connection
// can become silent without FIN or RST while writes still succeed into the kernel's
// buffer. Only a deadline on progress detects that.
type timedConn struct {
	net.Conn
	silenceTimeout time.Duration
	counters       *Counters
}

// Read implements io.Reader.
func (c *timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.counters.BytesIn.Add(uint64(n))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.counters.SilentClosed.Add(1)
	}
	return n, err
}

// Write implements io.Writer.
func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.counters.BytesOut.Add(uint64(n))
	c.counters.Writes.Add(1)
	return n, err
}

func (c *timedConn) nextDeadline() time.Time {
	return time.Now().Add(c.silenceTimeout)
}

// Counters counts the traffic of all connections of one end, hellos included.
type Counters struct {
	BytesIn, BytesOut, Writes atomic.Uint64
	HellosRefused             atomic.Uint64 // accepted connections that were not authenticated, or exceeded Options.MaxConns
	SilentClosed              atomic.Uint64 // reads that ended at their deadline
}
