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

	// Apart names clients for which the network is Frozen; see Options.Peers.
	Apart []string `json:"apart,omitempty"`
}

// Counters count connections since the start.
type Counters struct {
	Open  int `json:"open"`
	Total int `json:"total"`
}

// Proxy forwards TCP connections to one address. Create it with Start.
type Proxy struct {
	target   string
	peers    bool
	listener net.Listener
	control  net.Listener
	tomb     tomb.Tomb

	mu      sync.Mutex // guards all below
	faults  Faults
	changed chan struct{} // closed, and replaced, when the faults change
	links   map[*link]struct{}
	total   int
}

// link is one connection through the proxy.
type link struct {
	client, server net.Conn
	name           string // of the client; empty if not known
	silent         bool   // for good; guarded by Proxy.mu
}

// Options say where a proxy listens and what it forwards to.
type Options struct {
	Listen  string // empty means a free port on the loopback
	Control string
	Target  string
	// Peers tells that the connections are those between VMs, so that each
	// client's first message names it.
	Peers bool
}

// Start listens and forwards until Close.
func Start(opts Options) (*Proxy, error) {
	listener, control, err := labhttp.Listen(opts.Listen, opts.Control)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{
		target: opts.Target, peers: opts.Peers, listener: listener, control: control,
		changed: make(chan struct{}), links: make(map[*link]struct{}),
	}
	srv := &http.Server{Handler: p.controlHandler()}
	p.tomb.Go(func() error {
		p.tomb.Go(p.accept)
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
	close(p.changed)
	p.changed = make(chan struct{})
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

func (p *Proxy) accept() error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			if !p.tomb.Alive() {
				return nil
			}
			return errors.Trace(err)
		}
		p.tomb.Go(func() error {
			p.connect(client)
			return nil
		})
	}
}

func (p *Proxy) connect(client net.Conn) {
	if p.refuses() {
		client.Close()
		return
	}
	name, first := "", []byte(nil)
	if p.peers {
		name, first = readName(client)
	}
	first, ok := p.hold(&link{client: client, name: name}, first)
	if !ok {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	l := &link{client: client, server: server, name: name}
	if !p.add(l) {
		l.close()
		return
	}
	defer p.remove(l)
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(l, io.MultiReader(bytes.NewReader(first), client), server, true) })
	wg.Go(func() { p.pump(l, server, client, false) })
	wg.Wait()
}

// holdStep is how often a client that is held back is read from.
const holdStep = 20 * time.Millisecond

// hold keeps a new connection from the server while it is frozen, as packets that
// are lost do, and returns what the client has sent by then. A client that gives
// up meanwhile never reaches the server.
func (p *Proxy) hold(l *link, read []byte) (all []byte, ok bool) {
	defer l.client.SetReadDeadline(time.Time{})
	buf := make([]byte, 4<<10)
	for {
		f, _, _ := p.state(l)
		if !f.Frozen {
			return read, true
		}
		if !p.tomb.Alive() {
			return nil, false
		}
		_ = l.client.SetReadDeadline(time.Now().Add(holdStep))
		n, err := l.client.Read(buf)
		read = append(read, buf[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, false
		}
	}
}

// pump passes bytes one way until either end closes.
func (p *Proxy) pump(l *link, from io.Reader, to net.Conn, up bool) {
	defer p.passClose(l, up)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.wait(l, up) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait holds a piece of bytes back as the faults say, and returns whether to
// pass it on.
func (p *Proxy) wait(l *link, up bool) bool {
	for {
		f, changed, silent := p.state(l)
		if silent || f.loses(up) {
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

// passClose closes both ends once a close may pass. The ends of a silent link
// are never told that the other has closed; they are closed with the proxy.
func (p *Proxy) passClose(l *link, up bool) {
	defer l.close()
	for {
		f, changed, silent := p.state(l)
		if !silent && !f.Frozen && !f.loses(up) {
			return
		}
		select {
		case <-changed:
		case <-p.tomb.Dying():
			return
		}
	}
}

func (p *Proxy) state(l *link) (Faults, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	f.Frozen = f.Frozen || slices.Contains(f.Apart, l.name)
	return f, p.changed, l.silent
}

func (f Faults) loses(up bool) bool { return up && f.LoseUp || !up && f.LoseDown }

func (l *link) close() {
	l.client.Close()
	l.server.Close()
}

func (p *Proxy) refuses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Refuse
}

func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tomb.Alive() {
		return false
	}
	p.links[l] = struct{}{}
	p.total++
	return true
}

func (p *Proxy) remove(l *link) {
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
	mux.HandleFunc(pat.Put("/control/faults"), labhttp.Setter(p.SetFaults))
	mux.HandleFunc(pat.Post("/control/cut"), func(w http.ResponseWriter, _ *http.Request) {
		p.Cut()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc(pat.Post("/control/silence"), func(w http.ResponseWriter, _ *http.Request) {
		p.Silence()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc(pat.Get("/control/counters"), func(w http.ResponseWriter, _ *http.Request) {
		labhttp.Write(w, http.StatusOK, p.Counters())
	})
	return mux
}
