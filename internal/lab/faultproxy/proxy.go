// Package faultproxy is a TCP proxy whose faults tests set: connections that
// are cut, refused, delayed, frozen, silent in one direction, or silent for
// good while new ones work.
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

// Faults are what is wrong with the network. The zero value is a healthy one.
type Faults struct {
	Refuse   bool `json:"refuse"`    // close new connections at once
	Frozen   bool `json:"frozen"`    // nothing passes, either way, new connections included
	LoseUp   bool `json:"lose_up"`   // bytes from the client are thrown away
	LoseDown bool `json:"lose_down"` // bytes to the client are thrown away
	DelayMS  int  `json:"delay_ms"`  // of each piece of bytes, each way

	// Partitioned names clients for which the network is Frozen; see Options.Peers.
	Partitioned []string `json:"apart,omitempty"`
}

// Counters count connections since the start.
type Counters struct {
	Open  int `json:"open"`
	Total int `json:"total"`
}

// Proxy forwards TCP connections to one address. Create it with Start.
type Proxy struct {
	target    string
	readHello bool
	listener  net.Listener
	control   net.Listener
	tomb      tomb.Tomb

	mu            sync.Mutex // guards all below
	faults        Faults
	faultsChanged chan struct{} // closed, and replaced, when the faults change
	links         map[*link]struct{}
	total         int
}

// link is one connection through the proxy.
type link struct {
	client, server net.Conn
	clientName     string // of the client; empty if not known
	silent         bool   // for good; guarded by Proxy.mu
}

// Options say where a proxy listens and what it forwards to.
type Options struct {
	Listen  string // empty means a free port on the loopback
	Control string
	Target  string
	// ReadHello tells that the connections are those between VMs, so that each
	// client's first message names it.
	ReadHello bool
}

// Start listens and forwards until Close.
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

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// ControlAddress returns where the control endpoint serves.
func (p *Proxy) ControlAddress() string { return p.control.Addr().String() }

// Close cuts every connection and waits until all is done.
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

// Cut closes every open connection.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.close()
	}
}

// Silence makes every open connection silent for good: neither end hears of
// the other again, and neither is told. New connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent = true
	}
}

// Counters returns the counts of connections.
func (p *Proxy) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counters{Open: len(p.links), Total: p.total}
}

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

func (p *Proxy) handleConn(client net.Conn) {
	if p.refusesConns() {
		client.Close()
		return
	}
	name, first := "", []byte(nil)
	if p.readHello {
		name, first = readClientName(client)
	}
	first, ok := p.holdWhileFrozen(&link{client: client, clientName: name}, first)
	if !ok {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	l := &link{client: client, server: server, clientName: name}
	if !p.addLink(l) {
		l.close()
		return
	}
	defer p.removeLink(l)
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(l, io.MultiReader(bytes.NewReader(first), client), server, true) })
	wg.Go(func() { p.forward(l, server, client, false) })
	wg.Wait()
}

// holdPollInterval is how often a client that is held back is read from.
const holdPollInterval = 20 * time.Millisecond

// holdWhileFrozen keeps a new connection from the server while it is frozen, as packets that
// are lost do, and returns what the client has sent by then. A client that gives
// up meanwhile never reaches the server.
func (p *Proxy) holdWhileFrozen(l *link, read []byte) (all []byte, ok bool) {
	defer l.client.SetReadDeadline(time.Time{})
	buf := make([]byte, 4<<10)
	for {
		f, _, _ := p.linkState(l)
		if !f.Frozen {
			return read, true
		}
		if !p.tomb.Alive() {
			return nil, false
		}
		_ = l.client.SetReadDeadline(time.Now().Add(holdPollInterval))
		n, err := l.client.Read(buf)
		read = append(read, buf[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, false
		}
	}
}

// forward passes bytes one way until either end closes.
func (p *Proxy) forward(l *link, from io.Reader, to net.Conn, up bool) {
	defer p.propagateClose(l, up)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.waitToForward(l, up) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToForward holds a piece of bytes back as the faults say, and returns whether to
// pass it on.
func (p *Proxy) waitToForward(l *link, up bool) bool {
	for {
		f, changed, silent := p.linkState(l)
		if silent || f.drops(up) {
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

// propagateClose closes both ends once a close may pass. The ends of a silent link
// are never told that the other has closed; they are closed with the proxy.
func (p *Proxy) propagateClose(l *link, up bool) {
	defer l.close()
	for {
		f, changed, silent := p.linkState(l)
		if !silent && !f.Frozen && !f.drops(up) {
			return
		}
		select {
		case <-changed:
		case <-p.tomb.Dying():
			return
		}
	}
}

func (p *Proxy) linkState(l *link) (Faults, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	f.Frozen = f.Frozen || slices.Contains(f.Partitioned, l.clientName)
	return f, p.faultsChanged, l.silent
}

func (f Faults) drops(up bool) bool { return up && f.LoseUp || !up && f.LoseDown }

func (l *link) close() {
	l.client.Close()
	l.server.Close()
}

func (p *Proxy) refusesConns() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Refuse
}

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

func (p *Proxy) removeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// controlHandler serves the control endpoint:
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
