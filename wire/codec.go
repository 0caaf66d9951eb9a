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
// The library's codec believes the length that the other end states: one
// connection could make this VM read without end.
//
// A message may have a body of bytes, in a frame of its own before it: JSON-RPC's
// layers walk through a message several times in each direction, which costs a
// body of leaf calls more than all else that is done with it.
type boundedCodec struct {
	limit      *atomic.Int64 // of what is read
	maxSend    int
	bodies     *bodies
	withBodies bool // this end speaks VersionCBOR
}

// bodies holds the bodies of the messages that are being written and read. The
// JSON-RPC library writes one message at a time, calls OnSend just before, and
// hands out one message before it reads the next.
type bodies struct {
	out, in []byte
}

// bodyMarker begins the frame of a body; JSON never begins with it.
const bodyMarker = 0

// bodyAttachment is how a body gets from a call to the hook that runs before the
// message is written.
type bodyAttachment []byte

// bodyField names the member that carries attached within this process.
const bodyField = "body"

// onSend takes the body out of a message.
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

// WriteObject implements jsonrpc2.ObjectCodec. What the other end would not read
// fails here, with its code, and the connection goes on.
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

// ReadObject implements jsonrpc2.ObjectCodec.
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

// timedConn bounds each read by the time without a byte from the peer and each
// write by the same, and counts bytes. A connection can go silent without FIN
// or RST while writes still go into the kernel's buffer; only a deadline on
// progress finds that out.
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

// Counters counts what passed over the connections of one end, hello included.
type Counters struct {
	BytesIn, BytesOut, Writes atomic.Uint64
	HellosRefused             atomic.Uint64
	SilentClosed              atomic.Uint64
}
