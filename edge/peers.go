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
	// peerPingInterval is on an idle connection. Calls have their own, shorter bounds, and a VM
	// that leaves one unanswered is probed; pings only clear away connections that
	// nobody uses. Each wakes two processes.
	peerPingInterval   = 30 * time.Second
	peerSilenceTimeout = 65 * time.Second       // two pings
	peerDialTimeout    = 300 * time.Millisecond // for connect and hello
	peerMaxCalls       = 64                     // served for one VM at once; each lasts less than one aim
	peerUse            = "gather"
)

// peerTransport keeps one connection to each VM that is asked. It is safe for concurrent use.
type peerTransport struct {
	opts     wire.Options
	counters wire.Counters
	log      *slog.Logger
	server   *wire.Server

	mu      sync.Mutex // guards the fields below
	links   map[string]*peerLink
	pending map[uint64]chan<- *gatherAnswer // calls without a last answer, by key
	lastKey uint64
}

// peerLink is the connection to one VM, dialled by the first call that needs it.
type peerLink struct {
	mu   sync.Mutex // held while dialling
	conn *wire.Conn
}

// joinPeers listens for other VMs, which must have this VM's key, and lets the engine call them.
func joinPeers(e *Engine, self wire.Identity, listen string, key []byte, log *slog.Logger) (*peerTransport, error) {
	p := &peerTransport{
		log:     log,
		links:   make(map[string]*peerLink),
		pending: make(map[uint64]chan<- *gatherAnswer),
	}
	p.opts = wire.Options{
		Self:         self,
		Use:          peerUse,
		Keys:         [][]byte{key},
		Log:          log,
		HelloTimeout: peerDialTimeout,
		MaxCalls:     peerMaxCalls,
		PingInterval: peerPingInterval,
		SilentAfter:  peerSilenceTimeout,
		InOrder:      func(method string) bool { return method == methodGathered },
		Handler: func(ctx context.Context, conn *wire.Conn, method string, params json.RawMessage) (any, error) {
			return p.handle(ctx, e, conn, method, params)
		},
	}
	server, err := wire.Listen(listen, p.opts, &p.counters, func(c *wire.Conn) { c.Serve() })
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

func (p *peerTransport) handle(ctx context.Context, e *Engine, conn *wire.Conn, method string, params []byte) (any, error) {
	switch method {
	case methodGather:
		var call gatherCall
		if err := decodeBody(params, &call); err != nil {
			return nil, err
		}
		if len(call.Views) != len(call.Services) {
			return nil, result.Errorf(result.BadMessage, "%d services and %d views", len(call.Services), len(call.Views))
		}
		e.serveGather(ctx, &call, func(ans *gatherAnswer) { p.sendAnswer(conn, ans) })
		return nil, nil
	case methodGathered:
		ans := new(gatherAnswer)
		if err := decodeBody(params, ans); err != nil {
			return nil, err
		}
		p.deliver(ans)
		return nil, nil
	case methodFollowLeafs, methodFollowManifest:
		call, err := decodeFollow(params)
		if err != nil {
			return nil, err
		}
		if method == methodFollowLeafs {
			return e.serveFollowLeafs(ctx, call)
		}
		return e.serveFollowManifest(ctx, call)
	default:
		return nil, result.Errorf(result.UnknownMethod, "%q", method)
	}
}

// follow implements delegates.
func (p *peerTransport) follow(ctx context.Context, vm scatter.VM, method string, call *followCall, into any) error {
	link := p.link(vm)
	conn, err := link.get(ctx, vm, p)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, call, into)
	if result.CodeOf(err) == result.PeerSilent {
		link.drop(conn)
	}
	return err
}

func (p *peerTransport) sendAnswer(conn *wire.Conn, ans *gatherAnswer) {
	body, err := cbor.Marshal(ans)
	if err == nil {
		err = conn.NotifyBody(methodGathered, body)
	}
	if err != nil {
		p.log.Warn("answer to a VM lost", "vm", conn.Peer().VM, "error", err)
	}
}

// deliver hands an answer to the call that waits for it.
func (p *peerTransport) deliver(ans *gatherAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait := p.pending[ans.Key]; wait != nil {
		select {
		case wait <- ans:
		default: // more answers than a call has
		}
	}
}

// answersPerCall is how many messages may answer a call.
const answersPerCall = 4

func (p *peerTransport) registerCall() (uint64, <-chan *gatherAnswer) {
	answers := make(chan *gatherAnswer, answersPerCall)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastKey++
	p.pending[p.lastKey] = answers
	return p.lastKey, answers
}

func (p *peerTransport) unregisterCall(key uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, key)
}

// gather implements delegates.
func (p *peerTransport) gather(ctx context.Context, vm scatter.VM, call *gatherCall, sent func(), take func(*gatherAnswer)) error {
	link := p.link(vm)
	conn, err := link.get(ctx, vm, p)
	if err != nil {
		return &neverSentError{err: err}
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
	sent()
	for {
		select {
		case ans := <-answers:
			take(ans)
			if ans.Last {
				return nil
			}
		case <-conn.Done():
			return result.Errorf(result.ExchangeFailed, "the connection ended")
		case <-ctx.Done():
			// It may have gone silent, and a new one costs little.
			link.drop(conn)
			return ctx.Err()
		}
	}
}

// connect implements delegates.
func (p *peerTransport) connect(ctx context.Context, vm scatter.VM) (bool, error) {
	link := p.link(vm)
	if link.connected() {
		return false, nil
	}
	_, err := link.get(ctx, vm, p)
	return err == nil, err
}

// ping implements delegates.
func (p *peerTransport) ping(ctx context.Context, vm scatter.VM) error {
	link := p.link(vm)
	conn := link.current()
	if conn == nil {
		return nil
	}
	err := conn.Call(ctx, wire.MethodPing, nil, nil)
	if err != nil {
		link.drop(conn)
	}
	return err
}

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

func (l *peerLink) get(ctx context.Context, vm scatter.VM, p *peerTransport) (*wire.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connOpen() {
		return l.conn, nil
	}
	opts := p.opts
	opts.Keys = [][]byte{[]byte(vm.Key)}
	conn, err := wire.Dial(ctx, vm.Address, opts, &p.counters)
	if err != nil {
		return nil, err
	}
	conn.Serve()
	l.conn = conn
	return conn, nil
}

func (l *peerLink) connected() bool { return l.current() != nil }

// current returns the connection, nil if there is none.
func (l *peerLink) current() *wire.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connOpen() {
		return nil
	}
	return l.conn
}

// connOpen reports whether there is a connection. It must hold l.mu.
func (l *peerLink) connOpen() bool {
	if l.conn == nil {
		return false
	}
	select {
	case <-l.conn.Done():
		return false
	default:
		return true
	}
}

// drop closes a connection on which a call was not answered.
func (l *peerLink) drop(conn *wire.Conn) {
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	conn.Close()
}

// close ends all connections.
func (p *peerTransport) close() {
	p.server.Stop()
	p.mu.Lock()
	links := slices.Collect(maps.Values(p.links))
	p.mu.Unlock()
	for _, link := range links {
		link.close()
	}
}

func (l *peerLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}
