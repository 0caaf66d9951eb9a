// Package faultproxy implements a TCP proxy with fault injection for tests. It can close,
// refuse, delay or freeze connections, drop the bytes of one direction, or silence the open
// connections permanently while new ones work.
package faultproxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/labhttp"
)

// Faults are the network faults that the proxy injects. The zero value is a healthy network.
type Faults struct {
	Refuse   bool `json:"refuse"`    // new connections are closed at once
	Frozen   bool `json:"frozen"`    // no bytes pass in either direction, on new connections too
	LoseUp   bool `json:"lose_up"`   // bytes from the client are dropped
	LoseDown bool `json:"lose_down"` // bytes to the client are dropped
	DelayMS  int  `json:"delay_ms"`  // delay of each chunk of bytes that is read, in each direction

	// Partitioned names the clients for which the network is Frozen. It needs Options.ReadHello.
	Partitioned []string `json:"apart,omitempty"`
}

// Counters counts the connections that reached the server.
type Counters struct {
	Open  int `json:"open"`  // open now; silent ones are counted until Close
	Total int `json:"total"` // since the start of the proxy
}

// Proxy forwards TCP connections to one address. Create it with Start. Its methods are safe
// for concurrent use.
type Proxy struct {
	target    string       // IP and port to forward to
	readHello bool         // see Options.ReadHello
	listener  net.Listener // for the connections to forward
	control   net.Listener // of the control endpoint
	tomb      tomb.Tomb

	mu            sync.Mutex // guards the fields below
	faults        Faults
	faultsChanged chan struct{}      // closed, and replaced, when the faults change
	links         map[*link]struct{} // open connections that reached the server
	total         int                // connections that reached the server since the start
}

// link is one connection through the proxy.
type link struct {
	client, server net.Conn // the proxy's connections with the client and to the server
	clientName     string   // name of the VM that connected; empty if not known
	silent         bool     // Proxy.Silence silenced the link; never unset; guarded by Proxy.mu
}

// Options configures a proxy.
type Options struct {
	Listen  string // IP and port; empty for a free port on the loopback
	Control string // IP and port of the control endpoint; empty for a free port on the loopback
	Target  string // IP and port to forward to
	// ReadHello says that the connections are between VMs. The proxy then reads the name of
	// the VM that connects from the first message on each connection.
	ReadHello bool
}

// Start opens the listeners and returns a proxy that forwards connections until Close.
func Start(opts Options) (*Proxy, error) {
	listener, control, err := labhttp.Listen(opts.Listen, opts.Control)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{
		target: opts.Target, readHello: opts.ReadHello, listener: listener, control: control,
		faultsChanged: make(chan struct{}), links: make(map[*link]struct{}),
	}
	srv := &http.Server{Handler: p.controlHandler()}
	p.tomb.Go(func() error {
		p.tomb.Go(p.acceptLoop)
		p.tomb.Go(func() error {
			if err := srv.Serve(control); !errors.Is(err, http.ErrServerClosed) {
				return errors.Trace(err)
			}
			return nil
		})
		<-p.tomb.Dying()
		srv.Close()
		listener.Close()
		p.Cut()
		return nil
	})
	return p, nil
}

// Address returns the IP and port where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// ControlAddress returns the IP and port of the control endpoint.
func (p *Proxy) ControlAddress() string { return p.control.Addr().String() }

// Close closes the listeners and every connection and waits for the proxy's goroutines.
func (p *Proxy) Close() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// SetFaults replaces the faults.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// Cut closes every open connection that reached the server. It leaves new ones open that are still
// held because the network is frozen.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.close()
	}
}

// Silence silences every open connection that reached the server, permanently: the proxy drops
// all bytes in both directions, and when one end closes it leaves the other one open. Other
// connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent = true
	}
}

// Counters returns the connection counts.
func (p *Proxy) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counters{Open: len(p.links), Total: p.total}
}

// acceptLoop accepts connections and handles each one in a goroutine, until Close.
func (p *Proxy) acceptLoop() error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			if !p.tomb.Alive() {
				return nil
			}
			return errors.Trace(err)
		}
		p.tomb.Go(func() error {
			p.handleConn(client)
			return nil
		})
	}
}

// handleConn connects a client to the server, if the faults allow it, and forwards bytes in both
// directions until the connection is closed.
func (p *Proxy) handleConn(client net.Conn) {
	if p.refusesConns() {
		client.Close()
		return
	}
	clientName, received := "", []byte(nil)
	if p.readHello {
		clientName, received = readClientName(client)
	}
	received, ok := p.holdWhileFrozen(&link{client: client, clientName: clientName}, received)
	if !ok {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	l := &link{client: client, server: server, clientName: clientName}
	if !p.addLink(l) {
		l.close()
		return
	}
	defer p.removeLink(l)
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(l, io.MultiReader(bytes.NewReader(received), client), server, true) })
	wg.Go(func() { p.forward(l, server, client, false) })
	wg.Wait()
}

// holdPollInterval is the interval at which holdWhileFrozen checks whether the network is still
// frozen for a new connection.
const holdPollInterval = 20 * time.Millisecond

// holdWhileFrozen delays a new connection while the network is frozen for it, as lost packets
// would. Its first result is the parameter received, followed by the bytes that the client sent
// meanwhile. Its second result is false if the client closed the connection or the proxy is
// closing; the connection must then not reach the server.
func (p *Proxy) holdWhileFrozen(l *link, received []byte) (all []byte, ok bool) {
	defer l.client.SetReadDeadline(time.Time{})
	buf := make([]byte, 4<<10)
	for {
		f, _, _ := p.linkState(l)
		if !f.Frozen {
			return received, true
		}
		if !p.tomb.Alive() {
			return nil, false
		}
		_ = l.client.SetReadDeadline(time.Now().Add(holdPollInterval))
		n, err := l.client.Read(buf)
		received = append(received, buf[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, false
		}
	}
}

// forward copies bytes in one direction until either end closes. Upstream is the direction
// from the client to the server.
func (p *Proxy) forward(l *link, from io.Reader, to net.Conn, upstream bool) {
	defer p.propagateClose(l, upstream)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.waitToForward(l, upstream) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToForward delays a chunk of bytes as the faults require. It returns false if the chunk must
// be dropped. Upstream is the direction from the client to the server.
func (p *Proxy) waitToForward(l *link, upstream bool) bool {
	for {
		f, changed, silent := p.linkState(l)
		if silent || f.drops(upstream) {
			return false
		}
		if !f.Frozen {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
			return true
		}
		select {
		case <-changed:
		case <-p.tomb.Dying():
			return false
		}
	}
}

// propagateClose closes both ends of the link, after one end has closed, as soon as the faults
// let the close pass in this direction. On a silent link a close does not pass: the other end
// stays open until Cut or Close. Upstream is the direction from the client to the server.
func (p *Proxy) propagateClose(l *link, upstream bool) {
	defer l.close()
	for {
		f, changed, silent := p.linkState(l)
		if !silent && !f.Frozen && !f.drops(upstream) {
			return
		}
		select {
		case <-changed:
		case <-p.tomb.Dying():
			return
		}
	}
}

// linkState returns the faults that apply to the link, a channel that is closed when the proxy's
// faults change, and whether the link is silent.
func (p *Proxy) linkState(l *link) (Faults, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	f.Frozen = f.Frozen || slices.Contains(f.Partitioned, l.clientName)
	return f, p.faultsChanged, l.silent
}

// drops reports whether bytes in that direction are dropped. Upstream is the direction from the
// client to the server.
func (f Faults) drops(upstream bool) bool { return upstream && f.LoseUp || !upstream && f.LoseDown }

// close closes the connections with the client and to the server.
func (l *link) close() {
	l.client.Close()
	l.server.Close()
}

// refusesConns reports whether new connections are to be closed at once.
func (p *Proxy) refusesConns() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Refuse
}

// addLink adds a link that reached the server to the open ones and returns true. It returns false
// if the proxy is closing.
func (p *Proxy) addLink(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tomb.Alive() {
		return false
	}
	p.links[l] = struct{}{}
	p.total++
	return true
}

// removeLink removes a link from the open ones.
func (p *Proxy) removeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// controlHandler returns the handler of the control endpoint:
//
//	PUT  /control/faults    Faults
//	POST /control/cut
//	POST /control/silence
//	GET  /control/counters  Counters
func (p *Proxy) controlHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Put("/control/faults"), labhttp.PutHandler(p.SetFaults))
	mux.HandleFunc(pat.Post("/control/cut"), func(w http.ResponseWriter, _ *http.Request) {
		p.Cut()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc(pat.Post("/control/silence"), func(w http.ResponseWriter, _ *http.Request) {
		p.Silence()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc(pat.Get("/control/counters"), func(w http.ResponseWriter, _ *http.Request) {
		labhttp.WriteJSON(w, http.StatusOK, p.Counters())
	})
	return mux
}
