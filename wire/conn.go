package wire

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Conn is one authenticated connection. It is safe for concurrent use.
type Conn struct {
	tomb      tomb.Tomb
	rpc       *jsonrpc2.Conn
	opts      *Options
	dialed    bool
	remote    string
	limit     atomic.Int64  // bytes of one message
	callSlots chan struct{} // one token per running handler
	bodies    bodies
	handlers  sync.WaitGroup
	version   atomic.Int64 // agreed in the hello
	lastSent  atomic.Int64 // when something was last sent, in Unix nanoseconds

	mu         sync.Mutex // guards the fields below
	waitCalled bool       // Wait was called: no further handler may begin
	hello      *Hello
	answer     *HelloAnswer
	key        []byte
	peer       Identity
	use        string
	proven     bool
	ready      chan struct{} // closed when proven

	serveOnce sync.Once
	serving   chan struct{} // closed by Serve
}

func newConn(raw net.Conn, o *Options, count *Counters, dialed bool) *Conn {
	c := &Conn{
		opts:      o,
		dialed:    dialed,
		remote:    raw.RemoteAddr().String(),
		callSlots: make(chan struct{}, o.MaxCalls),
		ready:     make(chan struct{}),

		serving: make(chan struct{}),
	}
	c.limit.Store(maxHelloMessage)
	timed := &timedConn{Conn: raw, silenceTimeout: o.SilentAfter, counters: count}
	codec := boundedCodec{limit: &c.limit, maxSend: o.MaxMessage, bodies: &c.bodies, withBodies: o.MaxVersion >= VersionCBOR}
	stream := jsonrpc2.NewBufferedStream(timed, codec)
	gate := gatedStream{ObjectStream: stream, open: make(chan struct{}), onInvalid: c.reportInvalidMessage}
	logger := jsonrpc2.SetLogger(rpcLogger{o.Log})
	c.rpc = jsonrpc2.NewConn(context.Background(), gate, c, logger, jsonrpc2.OnSend(c.bodies.onSend))
	close(gate.open)
	return c
}

// gatedStream reads nothing until open is closed: jsonrpc2.NewConn starts to
// read, and thereby to call Handle, before it has returned the connection.
type gatedStream struct {
	jsonrpc2.ObjectStream
	open      chan struct{}
	onInvalid func(error)
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s gatedStream) ReadObject(v any) error {
	<-s.open
	err := s.ObjectStream.ReadObject(v)
	if code := result.CodeOf(err); code == result.MessageTooBig || code == result.BadMessage {
		s.onInvalid(err)
	}
	return err
}

// reportInvalidMessage tells the other end why the connection is about to be closed: a
// message that can't be read has no id to answer to.
func (c *Conn) reportInvalidMessage(err error) {
	c.opts.Log.Warn("message refused", "peer", c.remote, "error", err)
	_ = c.rpc.Notify(context.Background(), methodRefused, Refused{Code: result.CodeOf(err)})
}

// Peer returns who is at the other end.
func (c *Conn) Peer() Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// Use returns what the end that dialled wants the connection for.
func (c *Conn) Use() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use
}

// Version returns the version of the protocol that both ends agreed on.
func (c *Conn) Version() int { return int(c.version.Load()) }

// Remote returns the other end's IP and port.
func (c *Conn) Remote() string { return c.remote }

// Dialed tells whether this end opened the connection.
func (c *Conn) Dialed() bool { return c.dialed }

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Serve lets handlers run. Until it is called they are held back, so that the
// owner can enter the connection into its tables before the first message.
func (c *Conn) Serve() {
	c.serveOnce.Do(func() { close(c.serving) })
}

// Close closes the connection; calls that wait on it fail.
func (c *Conn) Close() {
	c.rpc.Close()
	c.tomb.Kill(nil)
}

// Wait returns after Close, when no handler of the connection runs any more.
func (c *Conn) Wait() {
	<-c.Done()
	c.mu.Lock()
	c.waitCalled = true
	proven := c.proven
	c.mu.Unlock()
	c.handlers.Wait()
	if proven {
		_ = c.tomb.Wait()
	}
}

// Call calls a method of the peer and stores its result. Its errors carry the
// peer's code, or PeerSilent if ctx ended first, or ExchangeFailed if the
// connection broke.
func (c *Conn) Call(ctx context.Context, method string, params, into any) error {
	c.lastSent.Store(time.Now().UnixNano())
	return callError(method, c.rpc.Call(ctx, method, params, into))
}

// Notify sends a message that has no answer.
func (c *Conn) Notify(method string, params any) error {
	c.lastSent.Store(time.Now().UnixNano())
	return callError(method, c.rpc.Notify(context.Background(), method, params))
}

// CallBody is Call with a body of bytes in place of parameters. The peer must
// speak VersionCBOR.
func (c *Conn) CallBody(ctx context.Context, method string, body []byte) error {
	c.lastSent.Store(time.Now().UnixNano())
	return callError(method, c.rpc.Call(ctx, method, nil, nil, jsonrpc2.ExtraField(bodyField, bodyAttachment(body))))
}

// NotifyBody is Notify with a body of bytes in place of parameters. The peer must
// speak VersionCBOR.
func (c *Conn) NotifyBody(method string, body []byte) error {
	c.lastSent.Store(time.Now().UnixNano())
	return callError(method, c.rpc.Notify(context.Background(), method, nil, jsonrpc2.ExtraField(bodyField, bodyAttachment(body))))
}

// Handle implements jsonrpc2.Handler. It must not block: the connection reads
// nothing more until it returns.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch {
	case req.Method == MethodHello && !c.dialed && !c.isProven():
		c.reply(ctx, req, c.handleHello, true)
	case req.Method == MethodProve && !c.dialed && !c.isProven():
		if c.reply(ctx, req, c.handleProve, true) {
			c.finishHello()
		}
	case !c.dialed && !c.isProven():
		c.replyError(ctx, req, result.Errorf(result.BadHello, "method %q before the hello", req.Method))
		c.rpc.Close()
	case req.Method == methodRefused:
		c.opts.Log.Warn("a peer refused a message", "peer", c.remote, "refused", req.Params)
	case req.Method == MethodPing:
		c.reply(ctx, req, func(json.RawMessage) (any, error) { return struct{}{}, nil }, false)
	default:
		if body := c.bodies.in; body != nil {
			req.Params = (*json.RawMessage)(&body)
		}
		if c.opts.InOrder != nil && c.opts.InOrder(req.Method) {
			c.serveInOrder(ctx, req)
			return
		}
		c.serve(ctx, req)
	}
}

func (c *Conn) isProven() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proven
}

// serve runs the handler apart from the reading loop, within the bound on work
// taken from this peer.
func (c *Conn) serve(ctx context.Context, req *jsonrpc2.Request) {
	if !c.acquireCallSlot() {
		c.replyError(ctx, req, result.Errorf(result.PeerBusy, "%d calls run already", cap(c.callSlots)))
		return
	}
	if !c.addHandler() {
		<-c.callSlots
		return
	}
	go func() {
		defer c.handlers.Done()
		if !c.awaitServing() {
			<-c.callSlots
			return
		}
		c.reply(ctx, req, func(params json.RawMessage) (any, error) {
			// Room is made before the answer goes out: a peer that makes one
			// call after another is never told that its last one still runs.
			defer func() { <-c.callSlots }()
			return c.callHandler(ctx, req.Method, params)
		}, false)
	}()
}

// serveInOrder runs the handler on the reading loop, before the next message is read.
func (c *Conn) serveInOrder(ctx context.Context, req *jsonrpc2.Request) {
	if !c.addHandler() {
		return
	}
	defer c.handlers.Done()
	if !c.awaitServing() {
		return
	}
	c.reply(ctx, req, func(params json.RawMessage) (any, error) {
		return c.callHandler(ctx, req.Method, params)
	}, false)
}

func (c *Conn) callHandler(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if c.opts.Handler == nil {
		return nil, result.Errorf(result.UnknownMethod, "%q", method)
	}
	return c.opts.Handler(ctx, c, method, params)
}

// awaitServing waits until messages are served, and returns false if the
// connection ended before. What came in before its end is served all the same:
// an answer may be the last thing that a peer sends.
func (c *Conn) awaitServing() bool {
	select {
	case <-c.serving:
		return true
	default:
	}
	select {
	case <-c.serving:
		return true
	case <-c.Done():
		return false
	}
}

func (c *Conn) acquireCallSlot() bool {
	if c.opts.WaitForCallSlot {
		select {
		case c.callSlots <- struct{}{}:
			return true
		case <-c.Done():
			return false
		}
	}
	select {
	case c.callSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

// addHandler counts a handler in, unless Wait has been called.
func (c *Conn) addHandler() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waitCalled {
		c.handlers.Add(1)
	}
	return !c.waitCalled
}

type replyFunc func(params json.RawMessage) (any, error)

// reply runs f, sends its outcome and tells whether f succeeded. An error
// closes the connection if fatal.
func (c *Conn) reply(ctx context.Context, req *jsonrpc2.Request, f replyFunc, fatal bool) bool {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	answer, err := f(params)
	if err != nil {
		c.replyError(ctx, req, err)
		if fatal {
			c.rpc.Close()
		}
		return false
	}
	if !req.Notif {
		err = c.rpc.Reply(ctx, req.ID, answer)
	}
	if result.CodeOf(err) == result.MessageTooBig {
		c.replyError(ctx, req, err)
	}
	return true // a broken connection shows at its reader
}

func (c *Conn) replyError(ctx context.Context, req *jsonrpc2.Request, err error) {
	if req.Notif {
		c.opts.Log.Debug("notification refused", "method", req.Method, "peer", c.remote, "error", err)
		return
	}
	rpcErr := &jsonrpc2.Error{Code: int64(result.CodeOf(err)), Message: err.Error()}
	var coded *result.Error
	if errors.As(err, &coded) {
		rpcErr.Message = coded.Detail
		rpcErr.SetError(errorData{RetryAfterMS: coded.RetryAfter.Milliseconds()})
	}
	_ = c.rpc.ReplyWithError(ctx, req.ID, rpcErr)
}

// errorData travels with an error's code and detail.
type errorData struct {
	RetryAfterMS int64 `json:"retry_after_ms"`
}

func callError(method string, err error) error {
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case result.CodeOf(err) == result.MessageTooBig:
		return err
	case errors.As(err, &rpcErr):
		var data errorData
		if rpcErr.Data != nil {
			_ = json.Unmarshal(*rpcErr.Data, &data) // zero if the peer sent none
		}
		coded := result.Errorf(result.Code(rpcErr.Code), "%s", rpcErr.Message)
		return coded.WithRetryAfter(time.Duration(data.RetryAfterMS) * time.Millisecond)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return result.Wrap(result.PeerSilent, err, method)
	default:
		return result.Wrap(result.ExchangeFailed, err, method)
	}
}

// setAuthenticated opens the connection for all methods.
func (c *Conn) setAuthenticated(peer Identity, use string, version int) {
	c.mu.Lock()
	c.peer = peer
	c.version.Store(int64(version))
	c.use = use
	c.proven = true
	c.hello, c.answer, c.key = nil, nil, nil
	c.mu.Unlock()
	c.limit.Store(int64(c.opts.MaxMessage))
	c.tomb.Go(c.ping)
	close(c.ready)
}

// ping keeps an idle connection from counting as silent at either end. The end
// that dialled pings; a peer that doesn't answer lets its read run into the
// deadline of timedConn, which closes the connection.
func (c *Conn) ping() error {
	ticker := time.NewTicker(c.opts.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-ticker.C:
		}
		idle := time.Since(time.Unix(0, c.lastSent.Load()))
		if !c.dialed || idle < c.opts.PingInterval/2 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.opts.SilentAfter)
		err := c.Call(ctx, MethodPing, nil, nil)
		cancel()
		if err != nil {
			c.rpc.Close()
			return nil
		}
	}
}

// rpcLogger passes the library's remarks to the daemon's log.
type rpcLogger struct{ log *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (l rpcLogger) Printf(format string, args ...any) {
	l.log.Debug("jsonrpc2", "remark", fmt.Sprintf(format, args...))
}
