package wire

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Conn is one connection to another VM. Once it is authenticated, Dial returns it, or a
// Server passes it to the function onConn of Listen. It is safe for concurrent use.
type Conn struct {
	tomb      tomb.Tomb
	rpc       *jsonrpc2.Conn // the JSON-RPC library's connection
	opts      *Options
	dialed    bool           // this end opened the connection
	remote    string         // the other end's IP and port
	maxRead   atomic.Int64   // largest message or body that is read, in bytes: maxHelloMessage during the hello, then Options.MaxMessage
	callSlots chan struct{}  // one token for each running handler, except those of Options.InOrder; at most MaxCalls
	bodies    bodies         // binary bodies of the message being written and of the one being read
	handlers  sync.WaitGroup // the handlers that are running
	version   atomic.Int64   // protocol version agreed in the hello
	lastSent  atomic.Int64   // when this end last sent a call or notification, in Unix nanoseconds

	mu         sync.Mutex // guards the fields below
	waitCalled bool       // Wait was called: no further handler may begin
	// The acceptor keeps hello, answer and key from the dialer's hello until the
	// connection is authenticated. They are nil otherwise, and always for the dialer.
	hello  *Hello        // the dialer's hello
	answer *HelloAnswer  // the acceptor's answer to it
	key    []byte        // the key that the acceptor chose
	peer   Identity      // of the other end; set when authenticated
	use    string        // Options.Use of the end that dialled; set when authenticated
	proven bool          // the connection is authenticated: the other end has proved that it holds the key
	ready  chan struct{} // closed when proven is set

	serveOnce sync.Once
	serving   chan struct{} // closed by Serve
}

// newConn starts the JSON-RPC protocol on a TCP connection. dialed states whether this end
// opened it. The returned connection is not authenticated yet, and reads messages of at
// most maxHelloMessage.
func newConn(raw net.Conn, o *Options, counters *Counters, dialed bool) *Conn {
	c := &Conn{
		opts:      o,
		dialed:    dialed,
		remote:    raw.RemoteAddr().String(),
		callSlots: make(chan struct{}, o.MaxCalls),
		ready:     make(chan struct{}),

		serving: make(chan struct{}),
	}
	c.maxRead.Store(maxHelloMessage)
	timed := &timedConn{Conn: raw, silenceTimeout: o.SilentAfter, counters: counters}
	codec := boundedCodec{maxRead: &c.maxRead, maxSend: o.MaxMessage, bodies: &c.bodies, withBodies: o.MaxVersion >= VersionCBOR}
	codec.onNotification = func(method string) {
		c.Handle(context.Background(), c.rpc, &jsonrpc2.Request{Method: method, Notif: true})
	}
	stream := jsonrpc2.NewBufferedStream(timed, codec)
	gated := gatedStream{ObjectStream: stream, open: make(chan struct{}), onInvalid: c.reportInvalidMessage}
	logger := jsonrpc2.SetLogger(rpcLogger{o.Log})
	c.rpc = jsonrpc2.NewConn(context.Background(), gated, c, logger, jsonrpc2.OnSend(c.bodies.onSend))
	close(gated.open)
	return c
}

// gatedStream reads nothing until open is closed. jsonrpc2.NewConn starts to read, and so
// may call Handle, before it has returned the connection.
type gatedStream struct {
	jsonrpc2.ObjectStream
	open      chan struct{} // closed when reading may begin
	onInvalid func(error)   // called with the error of a message that is too big or malformed
}

// ReadObject implements jsonrpc2.ObjectStream. It waits until open is closed before it reads
// a message into v, and calls onInvalid if the message is too big or malformed.
func (s gatedStream) ReadObject(v any) error {
	<-s.open
	err := s.ObjectStream.ReadObject(v)
	if code := result.CodeOf(err); code == result.MessageTooBig || code == result.BadMessage {
		s.onInvalid(err)
	}
	return err
}

// reportInvalidMessage logs err, the error of a message that cannot be read, and notifies the
// other end of it before the connection is closed. The id of such a message is not known, so
// the message cannot be answered.
func (c *Conn) reportInvalidMessage(err error) {
	c.opts.Log.Warn("message refused", "peer", c.remote, "error", err)
	_ = c.rpc.Notify(context.Background(), methodRefused, Refused{Code: result.CodeOf(err)})
}

// Peer returns the identity of the other end.
func (c *Conn) Peer() Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// Use returns the purpose of the connection: Options.Use of the end that dialled.
func (c *Conn) Use() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use
}

// Version returns the version of the protocol that both ends agreed on.
func (c *Conn) Version() int { return int(c.version.Load()) }

// Remote returns the other end's IP and port.
func (c *Conn) Remote() string { return c.remote }

// Dialed reports whether this end opened the connection.
func (c *Conn) Dialed() bool { return c.dialed }

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Serve lets handlers run. Until it is called, messages for handlers wait, so that the code
// that opened or accepted the connection can register it before the first message is
// handled.
func (c *Conn) Serve() {
	c.serveOnce.Do(func() { close(c.serving) })
}

// Close closes the connection. Pending calls fail.
func (c *Conn) Close() {
	c.rpc.Close()
	c.tomb.Kill(nil)
}

// Wait returns when the connection is closed and none of its handlers is running.
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

// Call calls a method of the peer, waits for the result and decodes it from JSON. into is
// the pointer to the value that receives the result; nil drops the result. An error has one
// of these codes: the code that the peer sent, MessageTooBig if the message exceeds
// Options.MaxMessage, PeerSilent if ctx ended first, or ExchangeFailed if the connection
// failed.
func (c *Conn) Call(ctx context.Context, method string, params, into any) error {
	c.lastSent.Store(time.Now().UnixNano())
	return callError(method, c.rpc.Call(ctx, method, params, into))
}

// Notify sends a message without waiting for an answer.
func (c *Conn) Notify(method string, params any) error {
	c.lastSent.Store(time.Now().UnixNano())
	return callError(method, c.rpc.Notify(context.Background(), method, params))
}

// CallBody is Call with a binary body in place of parameters, and without a result. The
// peer must speak VersionCBOR.
func (c *Conn) CallBody(ctx context.Context, method string, body []byte) error {
	c.lastSent.Store(time.Now().UnixNano())
	return callError(method, c.rpc.Call(ctx, method, nil, nil, jsonrpc2.ExtraField(bodyField, bodyAttachment(body))))
}

// NotifyBody is Notify with a binary body in place of parameters. The peer must speak
// VersionCBOR.
func (c *Conn) NotifyBody(method string, body []byte) error {
	c.lastSent.Store(time.Now().UnixNano())
	return callError(method, c.rpc.Notify(context.Background(), method, nil, jsonrpc2.ExtraField(bodyField, bodyAttachment(body))))
}

// Handle implements jsonrpc2.Handler. Until an accepted connection is authenticated, only
// the two methods of the hello are served, and any other one closes the connection. Pings
// and notices of refused messages are handled here, and all other messages go to
// Options.Handler. A binary body takes the place of the parameters. The connection reads
// nothing more until Handle returns, so Handle must not block.
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

// isProven reports whether the connection is authenticated, which means that the other end
// has proved that it holds the key.
func (c *Conn) isProven() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proven
}

// serve runs the handler of a message in a goroutine of its own, so that reading goes on.
// Options.MaxCalls bounds how many handlers run for this connection at once.
func (c *Conn) serve(ctx context.Context, req *jsonrpc2.Request) {
	if !c.acquireCallSlot() {
		c.replyError(ctx, req, result.Errorf(result.PeerBusy, "%d calls are already running", cap(c.callSlots)))
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
			// The slot is released before the answer is sent. Otherwise a peer that
			// makes one call after another could be refused because its last call
			// still counts as running.
			defer func() { <-c.callSlots }()
			return c.callHandler(ctx, req.Method, params)
		}, false)
	}()
}

// serveInOrder runs the handler of a message in the goroutine that reads the connection,
// before the next message is read.
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

// callHandler returns the result of Options.Handler, or an error with the code UnknownMethod if
// there is no handler. A panic becomes an error: it would end this process, and then that of the VM to
// which the peer turns next.
func (c *Conn) callHandler(ctx context.Context, method string, params json.RawMessage) (res any, err error) {
	if c.opts.Handler == nil {
		return nil, result.Errorf(result.UnknownMethod, "%q", method)
	}
	defer func() {
		if p := recover(); p != nil {
			c.opts.Log.Error("serving a message of a peer panicked", "method", method, "peer", c.remote, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			res, err = nil, result.Errorf(result.Internal, "%s panicked", method)
		}
	}()
	return c.opts.Handler(ctx, c, method, params)
}

// awaitServing waits until Serve was called. It returns false if the connection was closed
// before Serve. After Serve, messages that arrived before the connection was closed are
// still handled: an answer may be the last message that a peer sends.
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

// acquireCallSlot takes a slot for a handler and reports whether it got one. If none is
// free it returns false, or, if Options.WaitForCallSlot is set, waits until one is free or
// the connection is closed.
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

// addHandler counts a handler as running. It returns false if Wait has been called.
func (c *Conn) addHandler() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waitCalled {
		c.handlers.Add(1)
	}
	return !c.waitCalled
}

// SentResult is a result of Options.Handler that is told when it was sent, or could not be.
type SentResult interface {
	Sent()
}

// replyFunc handles a message with the given parameters and returns the result for the peer.
type replyFunc func(params json.RawMessage) (any, error)

// reply runs f, answers the request with its result or error, and reports whether f
// succeeded. A notification gets no answer. If fatal is set, an error of f closes the
// connection.
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
	if sent, ok := answer.(SentResult); ok {
		sent.Sent()
	}
	// The result was too big to be sent; the peer gets the error in its place.
	if result.CodeOf(err) == result.MessageTooBig {
		c.replyError(ctx, req, err)
	}
	return true // a failed connection is detected by its reader
}

// replyError answers a request with an error. For a notification, which has no answer, it
// only logs the error.
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

// errorData is the data member of a JSON-RPC error.
type errorData struct {
	RetryAfterMS int64 `json:"retry_after_ms"` // wait before a retry; 0 if none is stated
}

// callError translates an error of the JSON-RPC library, from a call of method, to an error
// with the code that Call documents.
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
			_ = json.Unmarshal(*rpcErr.Data, &data) // stays zero if the peer sent no such data
		}
		coded := result.Errorf(result.Code(rpcErr.Code), "%s", rpcErr.Message)
		return coded.WithRetryAfter(time.Duration(data.RetryAfterMS) * time.Millisecond)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return result.Wrap(result.PeerSilent, err, method)
	default:
		return result.Wrap(result.ExchangeFailed, err, method)
	}
}

// setAuthenticated marks the connection as authenticated, so that all methods are served
// and messages may have their full size. peer and use describe the other end and the
// connection's purpose; version is the protocol version that both ends agreed on.
func (c *Conn) setAuthenticated(peer Identity, use string, version int) {
	c.mu.Lock()
	c.peer = peer
	c.version.Store(int64(version))
	c.use = use
	c.proven = true
	c.hello, c.answer, c.key = nil, nil, nil
	c.mu.Unlock()
	c.maxRead.Store(int64(c.opts.MaxMessage))
	c.tomb.Go(c.ping)
	close(c.ready)
}

// ping keeps either end from closing an idle connection as silent. The end that dialled
// sends the pings. If the peer does not answer, the read of the connection reaches its
// deadline (see timedConn), and the connection is closed. ping returns then.
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
		// Only the dialer pings, and only if it has sent no call or notification
		// during the last half of the interval.
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

// rpcLogger writes the log lines of the JSON-RPC library to the daemon's log.
type rpcLogger struct{ log *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (l rpcLogger) Printf(format string, args ...any) {
	l.log.Debug("jsonrpc2", "remark", fmt.Sprintf(format, args...))
}
