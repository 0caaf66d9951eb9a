package site

import (
	"net"
	"sync"
)

// Proxy forwards TCP connections, and can be cut: it then forwards nothing, in silence, until the cut is healed.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{} // closed while the proxy forwards
}

// NewProxy listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, healed: make(chan struct{})}
	close(p.healed)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// Address returns the IP and port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Cut ends the forwarding.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

// Heal forwards again, also what was held up.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

// await blocks while the proxy is cut.
func (p *Proxy) await() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

// forward carries one connection.
func (p *Proxy) forward(conn net.Conn) {
	p.await()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	pipe := func(to, from net.Conn) {
		defer to.Close()
		defer from.Close()
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			p.await()
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pipe(target, conn)
	pipe(conn, target)
}
