package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"strings"
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
	// onNotification handles a notification whose body is in bodies.in. It is called by the
	// goroutine that reads the connection, as Conn.Handle is.
	onNotification func(method string)
}

// bodies holds the bodies of the message that is being written and of the one that is
// being read. No lock is needed: the JSON-RPC library writes one message at a time and
// calls onSend just before each, and it passes a message to Conn.Handle before it reads
// the next.
type bodies struct {
	out, in []byte // body of the message being written, and body of the one being read; nil for a message without a body
	// outMethod is the method of the message being written, if it is a notification that has only
	// a body and a plain method; otherwise it is empty.
	outMethod string
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
	b.out, b.outMethod = nil, ""
	if req == nil || len(req.ExtraFields) == 0 {
		return
	}
	if body, ok := req.ExtraFields[0].Value.(bodyAttachment); ok {
		b.out = body
		if req.Notif && req.Params == nil && req.Meta == nil && len(req.ExtraFields) == 1 && isPlainMethod(req.Method) {
			b.outMethod = req.Method
		}
		req.ExtraFields = nil
	}
}

// WriteObject implements jsonrpc2.ObjectCodec. A message or body that exceeds maxSend fails
// with MessageTooBig before anything is written, so that the connection stays usable. The
// other end would close the connection if it received such a message.
func (c boundedCodec) WriteObject(stream io.Writer, v any) error {
	data := encodeNotification(c.bodies.outMethod)
	if data == nil {
		var err error
		if data, err = json.Marshal(v); err != nil {
			return err
		}
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
	_, err := stream.Write(data)
	return err
}

// Messages of gathered requests are notifications that consist of a method and a body. The JSON
// library takes several times as long for them as the body takes, so they are encoded and decoded
// without it. The bytes are the same.
const (
	notificationHead = `{"jsonrpc":"2.0","method":"`
	notificationTail = `"}`
)

// isPlainMethod reports whether the name of a method is the same in JSON.
func isPlainMethod(method string) bool {
	return method != "" && strings.Trim(method, "abcdefghijklmnopqrstuvwxyz_") == ""
}

// encodeNotification encodes a notification with a plain method and no parameters. It returns nil for
// an empty method.
func encodeNotification(method string) []byte {
	if method == "" {
		return nil
	}
	return []byte(notificationHead + method + notificationTail)
}

// decodeNotification returns the method of a message that encodeNotification has encoded.
func decodeNotification(data []byte) (method string, ok bool) {
	rest, hasHead := bytes.CutPrefix(data, []byte(notificationHead))
	name, hasTail := bytes.CutSuffix(rest, []byte(notificationTail))
	if !hasHead || !hasTail || !isPlainMethod(string(name)) {
		return "", false
	}
	return string(name), true
}

// ReadObject implements jsonrpc2.ObjectCodec. It decodes a message into v, and puts the
// message's body, if it has one, into c.bodies.in. Notifications with a body and no parameters that
// come before it go to c.onNotification. An error has the code MessageTooBig or BadMessage if the
// message is too big or malformed, and not if the connection failed.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	for {
		data, err := c.readMessage(stream)
		if err != nil {
			return err
		}
		if c.bodies.in != nil {
			if method, ok := decodeNotification(data); ok {
				c.onNotification(method)
				continue
			}
		}
		if err := json.Unmarshal(data, v); err != nil {
			return result.Wrap(result.BadMessage, err, "")
		}
		return nil
	}
}

// readMessage reads a message without decoding it, and puts its body into c.bodies.in.
func (c boundedCodec) readMessage(stream *bufio.Reader) ([]byte, error) {
	c.bodies.in = nil
	data, err := c.readFrame(stream)
	if err == nil && c.withBodies && len(data) > 0 && data[0] == bodyMarker {
		c.bodies.in = data[1:]
		data, err = c.readFrame(stream)
	}
	return data, err
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
