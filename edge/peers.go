package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// Parameters of connections between VMs.
const (
	// peerPingInterval is the interval of pings on an idle connection. Calls have shorter
	// timeouts of their own, and a VM that leaves a call unanswered is probed, so pings only
	// remove dead connections that are not in use. Each ping wakes two processes.
	peerPingInterval   = 30 * time.Second
	peerSilenceTimeout = 65 * time.Second       // a connection on which nothing was received for this time is closed; a little more than two ping intervals
	peerDialTimeout    = 300 * time.Millisecond // bounds connecting and the hello exchange
	peerMaxCalls       = 64                     // upper bound of calls of one VM served at the same time; a gather call takes less than one latency objective
	peerConnPurpose    = "gather"               // purpose of connections between VMs, stated when dialling
)

// peerTransport serves calls of other VMs, and implements peerClient with one connection to
// each VM that is called. It is safe for concurrent use.
type peerTransport struct {
	opts     wire.Options // of all connections; Keys holds this VM's key, which ensureConn replaces by that of the VM to call
	counters wire.Counters
	log      *slog.Logger
	server   *wire.Server
	greet    func(*wire.Conn) // tells a VM at the other end of a new connection of quarantined contents

	mu      sync.Mutex                      // guards the fields below
	links   map[string]*peerLink            // by name and address of the VM
	pending map[uint64]chan<- *gatherAnswer // by key of a call in progress: where its answers are sent
	lastKey uint64                          // key of the latest call
}

// peerLink is the connection to one VM. It is dialled by the first call that needs it.
type peerLink struct {
	mu   sync.Mutex // guards conn; held while dialling
	conn *wire.Conn // nil if there is none; may be closed
}

// joinPeers listens at the address listen for calls of other VMs, which must present key. It
// returns the transport that serves these calls and calls other VMs. self identifies this VM.
func joinPeers(e *Engine, self wire.Identity, listen string, key []byte, log *slog.Logger) (*peerTransport, error) {
	p := &peerTransport{
		log:     log,
		links:   make(map[string]*peerLink),
		pending: make(map[uint64]chan<- *gatherAnswer),
	}
	p.opts = wire.Options{
		Self:         self,
		Use:          peerConnPurpose,
		Keys:         [][]byte{key},
		Log:          log,
		HelloTimeout: peerDialTimeout,
		MaxCalls:     peerMaxCalls,
		PingInterval: peerPingInterval,
		SilentAfter:  peerSilenceTimeout,
		InOrder:      func(method string) bool { return method == methodGathered || method == methodQuarantine },
		Handler: func(ctx context.Context, conn *wire.Conn, method string, params json.RawMessage) (any, error) {
			return p.handle(ctx, e, conn, method, params)
		},
	}
	p.greet = func(c *wire.Conn) { p.sendQuarantine(c, e.quarantinedContents()) }
	server, err := wire.Listen(listen, p.opts, &p.counters, func(c *wire.Conn) {
		c.Serve()
		p.greet(c)
	})
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

// handle serves a message of another VM. It returns the result of a call, nil for a
// notification.
func (p *peerTransport) handle(ctx context.Context, e *Engine, conn *wire.Conn, method string, params []byte) (any, error) {
	switch method {
	case methodGather:
		held, ok := e.holdMessage(params)
		if !ok {
			return nil, p.refuseGather(conn, params)
		}
		defer held.release()
		call := gatherCall{held: held}
		if err := decodeBody(params, &call); err != nil {
			return nil, err
		}
		if len(call.Views) != len(call.Services) {
			return nil, result.Errorf(result.BadMessage, "%d services and %d views", len(call.Services), len(call.Views))
		}
		e.hearVersion(conn.Peer().VM, call.ManifestVersion)
		e.serveGather(ctx, &call, func(ans *gatherAnswer) {
			e.tellRoom(ans)
			p.sendAnswer(conn, ans)
		})
		return nil, nil
	case methodGathered:
		ans := new(gatherAnswer)
		if err := decodeBody(params, ans); err != nil {
			return nil, err
		}
		p.deliver(ans)
		return nil, nil
	case methodLost:
		if e.lossReported() {
			p.reportLoss()
		}
		return nil, nil
	case methodQuarantine:
		return nil, e.serveQuarantine(conn.Peer().VM, params)
	case methodHandOver:
		return nil, e.serveHandOver(ctx, conn, params)
	case methodSuccessor:
		return nil, e.recordSuccessor(conn, params)
	case methodFollowLeafs, methodFollowManifest, methodFollowEvacuations, methodNewerManifest:
		call, err := decodeFollow(params)
		if err != nil {
			return nil, err
		}
		return e.serveFollow(ctx, method, call)
	case methodAllot, methodAllotNear:
		return e.serveAllotment(conn.Peer().VM, method, params)
	case methodReserveSlot, methodAwaitSlot, methodEndSlot:
		return e.slots.Load().serve(ctx, conn.Peer().VM, method, params)
	case methodRunRequest:
		held, ok := e.holdMessage(params)
		if !ok {
			return nil, result.Wrap(result.NotStarted, errNoMemory, "request of another VM")
		}
		defer held.release()
		return e.serveRun(ctx, conn, params, held)
	case methodOfferRequest, methodDropRequest:
		return e.serveRequestOffer(ctx, conn, method, params)
	default:
		return nil, result.Errorf(result.UnknownMethod, "%q", method)
	}
}

const (
	// messageCopies is the memory for a message that holds a request, as a multiple of its bytes: the message, and
	// the request that is decoded from it.
	messageCopies = 2
	// smallMessage is the size of messages, in bytes, up to which they are not counted. peerMaxCalls bounds them.
	smallMessage = 4 << 10
)

// holdMessage counts a message that holds a caller's request, and reports whether there is room. If so, the message
// has to be released when the request has ended.
func (e *Engine) holdMessage(message []byte) (held *heldBody, ok bool) {
	if len(message) <= smallMessage {
		return nil, true
	}
	free, ok := e.intake.reserve(demandVM, messageCopies*int64(len(message)))
	if !ok {
		return nil, false
	}
	return newHeldBody(free), true
}

// refuseGather refuses a call to query shards without decoding the request in it.
func (p *peerTransport) refuseGather(conn *wire.Conn, params []byte) error {
	var call struct {
		Key uint64 `cbor:"1,keyasint"`
	}
	if err := decodeBody(params, &call); err != nil {
		return err
	}
	p.sendAnswer(conn, &gatherAnswer{Key: call.Key, Last: true, Refused: true, Cause: scatter.RefusedForSelf})
	return nil
}

// follow implements peerClient. It sends a call to a VM that reads the store for others, and
// stores the decoded answer in into. It closes a connection on which the call was not answered. A VM
// whose address is not known is called on a connection that it has opened.
func (p *peerTransport) follow(ctx context.Context, vm scatter.VM, method string, call *followCall, into any) error {
	if vm.Address == "" {
		for _, conn := range p.server.Conns() {
			if conn.Peer().VM == vm.Name {
				return conn.Call(ctx, method, call, into)
			}
		}
		return errNotConnected
	}
	link := p.link(vm)
	conn, err := link.ensureConn(ctx, vm, p)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, call, into)
	if result.CodeOf(err) == result.PeerSilent {
		link.drop(conn)
	}
	return err
}

// reportLoss implements peerClient. It tells all VMs to which there is a connection, dialled or
// accepted, that VMs were lost.
func (p *peerTransport) reportLoss() {
	for _, conn := range p.openConns() {
		// The VM at the other end may be lost itself, or be told by others.
		if err := conn.Notify(methodLost, nil); err != nil {
			p.log.Debug("telling a VM of lost VMs failed", "vm", conn.Peer().VM, "error", err)
		}
	}
}

// openConns returns the open connections to other VMs, dialled or accepted.
func (p *peerTransport) openConns() []*wire.Conn {
	p.mu.Lock()
	links := slices.Collect(maps.Values(p.links))
	p.mu.Unlock()
	conns := p.server.Conns()
	for _, link := range links {
		if conn := link.currentUnlessDialing(); conn != nil {
			conns = append(conns, conn)
		}
	}
	return conns
}

// sendAnswer sends an answer to the VM that made the call. If that fails, the failure is only
// logged.
func (p *peerTransport) sendAnswer(conn *wire.Conn, ans *gatherAnswer) {
	body, err := cbor.Marshal(ans)
	if err == nil {
		err = conn.NotifyBody(methodGathered, body)
	}
	if err != nil {
		p.log.Warn("sending an answer to a VM failed", "vm", conn.Peer().VM, "error", err)
	}
}

// deliver passes an answer to the call that waits for it. An answer is dropped if its call has
// ended.
func (p *peerTransport) deliver(ans *gatherAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answers := p.pending[ans.Key]; answers != nil {
		select {
		case answers <- ans:
		default: // more answers than a call may have
		}
	}
}

// maxAnswersPerCall is the maximum number of messages that answer a call: the acknowledgement,
// the declined and left-out shards, the interim answer and the last one.
const maxAnswersPerCall = 4

// registerCall returns the key of a new call, and a channel that receives its answers.
func (p *peerTransport) registerCall() (uint64, <-chan *gatherAnswer) {
	answers := make(chan *gatherAnswer, maxAnswersPerCall)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastKey++
	p.pending[p.lastKey] = answers
	return p.lastKey, answers
}

// unregisterCall ends the delivery of answers to a call.
func (p *peerTransport) unregisterCall(key uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, key)
}

// gather implements peerClient. It sets the call's key, sends the call to vm, runs onSent, and
// passes each answer to onAnswer until the last one or until ctx ends. If no connection could be
// opened, or vm would not pass the request's body on, it returns a neverSentError.
func (p *peerTransport) gather(ctx context.Context, vm scatter.VM, call *gatherCall, onSent func(), onAnswer func(*gatherAnswer)) error {
	link := p.link(vm)
	conn, err := link.ensureConn(ctx, vm, p)
	if err != nil {
		return &neverSentError{err: err}
	}
	if call.HasBody && conn.Version() < wire.VersionRequestBody {
		return &neverSentError{err: errEarlierRelease}
	}
	key, answers := p.registerCall()
	defer p.unregisterCall(key)
	call.Key = key
	body, err := cbor.Marshal(call)
	if err != nil {
		return err
	}
	if err := conn.NotifyBody(methodGather, body); err != nil {
		return err
	}
	onSent()
	for {
		select {
		case ans := <-answers:
			onAnswer(ans)
			if ans.Last {
				return nil
			}
		case <-conn.Done():
			return result.Errorf(result.ExchangeFailed, "connection closed before the last answer")
		case <-ctx.Done():
			// The connection may be dead, and a new one costs little.
			link.drop(conn)
			return ctx.Err()
		}
	}
}

// connect implements peerClient. It opens a connection to vm if there is none, and returns true
// if it opened one.
func (p *peerTransport) connect(ctx context.Context, vm scatter.VM) (bool, error) {
	link := p.link(vm)
	if link.connected() {
		return false, nil
	}
	_, err := link.ensureConn(ctx, vm, p)
	return err == nil, err
}

// connected implements peerClient. A connection that is being dialled is not open yet.
func (p *peerTransport) connected(vm scatter.VM) bool {
	return p.link(vm).currentUnlessDialing() != nil
}

// ping implements peerClient. It checks that vm is alive, on the connection to it, and closes the
// connection if the check fails. Without a connection it returns errNotConnected.
func (p *peerTransport) ping(ctx context.Context, vm scatter.VM) error {
	link := p.link(vm)
	conn := link.currentUnlessDialing()
	if conn == nil {
		return errNotConnected
	}
	err := conn.Call(ctx, wire.MethodPing, nil, nil)
	if err != nil {
		link.drop(conn)
	}
	return err
}

// link returns the link to a VM. A VM whose address has changed gets a new link.
func (p *peerTransport) link(vm scatter.VM) *peerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := vm.Name + "/" + vm.Address
	link := p.links[key]
	if link == nil {
		link = &peerLink{}
		p.links[key] = link
	}
	return link
}

// ensureConn returns the connection to vm, the VM of this link. If there is none, it opens one
// with the options of p.
func (l *peerLink) ensureConn(ctx context.Context, vm scatter.VM, p *peerTransport) (*wire.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.openConn(); conn != nil {
		return conn, nil
	}
	opts := p.opts
	opts.Keys = [][]byte{[]byte(vm.Key)}
	conn, err := wire.Dial(ctx, vm.Address, opts, &p.counters)
	if err != nil {
		return nil, err
	}
	conn.Serve()
	p.greet(conn)
	l.conn = conn
	return conn, nil
}

// connected reports whether there is an open connection.
func (l *peerLink) connected() bool { return l.current() != nil }

// current returns the connection, nil if none is open.
func (l *peerLink) current() *wire.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConn()
}

// currentUnlessDialing is current, but returns nil at once while the connection is being dialled. A
// VM that is lost may hold up a dial until its timeout, and the checks that find out which VMs are
// lost must not wait for that.
func (l *peerLink) currentUnlessDialing() *wire.Conn {
	if !l.mu.TryLock() {
		return nil
	}
	defer l.mu.Unlock()
	return l.openConn()
}

// openConn returns the connection, nil if none is open. The caller must hold l.mu.
func (l *peerLink) openConn() *wire.Conn {
	if l.conn == nil {
		return nil
	}
	select {
	case <-l.conn.Done():
		return nil
	default:
		return l.conn
	}
}

// drop closes a connection on which a call was not answered, so that the next call opens a new
// one.
func (l *peerLink) drop(conn *wire.Conn) {
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	conn.Close()
}

// close stops serving and closes all connections.
func (p *peerTransport) close() {
	p.server.Stop()
	p.mu.Lock()
	links := slices.Collect(maps.Values(p.links))
	p.mu.Unlock()
	for _, link := range links {
		link.close()
	}
}

// close closes the connection if there is one.
func (l *peerLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}
