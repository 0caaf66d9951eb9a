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
// layers of the JSON-RPC library parse a message several times in each direction. If leaf
// calls were part of the message, that would cost more than all their other processing.
type boundedCodec struct {
	maxRead    *atomic.Int64 // largest frame that is read, in bytes; Conn raises it during the hello
	maxSend    int           // largest frame that is written, in bytes
	bodies     *bodies       // binary bodies of the current messages
	withBodies bool          // this end speaks VersionCBOR, so a message that it reads may have a body
}

// bodies holds the bodies of the message that is being written and of the one that is
// being read. No lock is needed: the JSON-RPC library writes one message at a time and
// calls onSend just before each, and it passes a message to Conn.Handle before it reads
// the next.
type bodies struct {
	out, in []byte // body of the message being written, and body of the one being read; nil for a message without a body
}

// bodyMarker is the first byte of a frame that holds a body. JSON never begins with it, so
// it distinguishes such frames from those of messages.
const bodyMarker = 0

// bodyAttachment passes a binary body through the JSON-RPC library, as the value of an extra
// field of the message. onSend removes the field before the message is written.
type bodyAttachment []byte

// bodyField is the name of the extra field that holds a bodyAttachment. It is not sent.
const bodyField = "body"

// onSend moves the body from the message's extra field to b.out. The JSON-RPC library calls
// it just before it writes a message.
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

// WriteObject implements jsonrpc2.ObjectCodec. A message or body that exceeds maxSend fails
// with MessageTooBig before anything is written, so that the connection stays usable. The
// other end would close the connection if it received such a message.
func (c boundedCodec) WriteObject(stream io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	// The message and its body are separate frames. The body's frame also holds bodyMarker.
	if size := max(len(data), len(c.bodies.out)+1); size > c.maxSend {
		return result.Errorf(result.MessageTooBig, "%d bytes, at most %d", size, c.maxSend)
	}
	if c.bodies.out != nil {
		header := binary.AppendUvarint(nil, uint64(len(c.bodies.out))+1)
		if _, err := stream.Write(append(header, bodyMarker)); err != nil {
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

// ReadObject implements jsonrpc2.ObjectCodec. It decodes a message into v, and puts the
// message's body, if it has one, into c.bodies.in. An error has the code MessageTooBig or
// BadMessage if the message is too big or malformed, and not if the connection failed.
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

// readFrame reads one frame, a length and that many bytes, and returns the bytes. A frame
// that exceeds c.maxRead fails before its bytes are read.
func (c boundedCodec) readFrame(stream *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return nil, err
	}
	if limit := c.maxRead.Load(); size > uint64(limit) {
		return nil, result.Errorf(result.MessageTooBig, "%d bytes, at most %d", size, limit)
	}
	buf := make([]byte, size)
	_, err = io.ReadFull(stream, buf)
	return buf, err
}

// timedConn sets a deadline for each read and each write, and counts traffic. A connection
// can become silent without FIN or RST, while writes into the kernel's buffer still
// succeed. Only a deadline for each read and write detects that.
type timedConn struct {
	net.Conn
	silenceTimeout time.Duration // time limit of each read and each write
	counters       *Counters
}

// Read implements io.Reader. It fails if no byte arrives within silenceTimeout.
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

// Write implements io.Writer. It fails if the bytes can't be written within silenceTimeout.
func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.counters.BytesOut.Add(uint64(n))
	c.counters.Writes.Add(1)
	return n, err
}

// nextDeadline returns the deadline of a read or write that begins now.
func (c *timedConn) nextDeadline() time.Time {
	return time.Now().Add(c.silenceTimeout)
}

// Counters counts the traffic of all connections of one end, hellos included.
type Counters struct {
	BytesIn, BytesOut, Writes atomic.Uint64 // bytes received, bytes sent, and writes to TCP connections
	HellosRefused             atomic.Uint64 // accepted connections that were not authenticated, or exceeded Options.MaxConns
	SilentClosed              atomic.Uint64 // reads that ended at their deadline, which closes the connection
}
