package wire

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Server accepts connections from other VMs.
type Server struct {
	tomb     tomb.Tomb
	opts     Options
	counters *Counters
	ln       net.Listener
	onConn   func(*Conn)

	mu     sync.Mutex // guards the fields below
	hellos []*Conn    // in hello, the oldest first
	conns  map[*Conn]struct{}
}

// Listen starts to accept connections at address. Each authenticated one is
// passed to onConn, which calls Serve and must not block; the server closes it
// when it stops.
func Listen(address string, o Options, count *Counters, onConn func(*Conn)) (*Server, error) {
	for _, key := range o.Keys {
		if len(key) < MinKeyBytes {
			return nil, result.Errorf(result.BadSettings, "fleet key of %d bytes, at least %d are needed", len(key), MinKeyBytes)
		}
	}
	if len(o.Keys) == 0 {
		return nil, result.Errorf(result.BadSettings, "no fleet key")
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for peers")
	}
	s := &Server{opts: o.withDefaults(), counters: count, ln: ln, onConn: onConn, conns: map[*Conn]struct{}{}}
	s.tomb.Go(s.accept)
	return s, nil
}

// Addr returns the listener's address.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Stop closes the listener and all connections and waits for their handlers.
func (s *Server) Stop() {
	s.tomb.Kill(nil)
	s.ln.Close()
	s.mu.Lock()
	open := append([]*Conn(nil), s.hellos...)
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
	_ = s.tomb.Wait()
}

func (s *Server) accept() error {
	for {
		raw, err := s.ln.Accept()
		if !s.tomb.Alive() {
			if err == nil {
				raw.Close()
			}
			return nil
		}
		if err != nil {
			s.opts.Log.Warn("accept failed", "error", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		c := s.startHello(raw)
		s.tomb.Go(func() error { return s.serveConn(c) })
	}
}

// acceptRetryPause keeps a lack of file descriptors from becoming a busy loop.
const acceptRetryPause = 50 * time.Millisecond

// startHello makes room by closing the oldest connection in hello: a process
// without the key that opens connections and says nothing must not keep VMs
// out, and a VM's hello takes milliseconds, so it is hardly ever the oldest.
func (s *Server) startHello(raw net.Conn) *Conn {
	c := newConn(raw, &s.opts, s.counters, false)
	s.mu.Lock()
	s.hellos = append(s.hellos, c)
	var oldest *Conn
	if len(s.hellos) > s.opts.MaxHellos {
		oldest = s.hellos[0]
		s.hellos = s.hellos[1:]
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c
}

func (s *Server) serveConn(c *Conn) error {
	defer c.Wait()
	defer c.Close()
	timer := time.NewTimer(s.opts.HelloTimeout)
	defer timer.Stop()
	proven := false
	select {
	case <-c.ready:
		proven = true
	case <-c.Done():
	case <-timer.C:
	case <-s.tomb.Dying():
	}
	if !s.endHello(c, proven) {
		s.counters.HellosRefused.Add(1)
		return nil
	}
	defer s.removeConn(c)
	s.onConn(c)
	select {
	case <-c.Done():
	case <-s.tomb.Dying():
	}
	return nil
}

// endHello moves c to the authenticated connections, if there is room.
func (s *Server) endHello(c *Conn, proven bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.hellos {
		if other == c {
			s.hellos = append(s.hellos[:i], s.hellos[i+1:]...)
			break
		}
	}
	if !proven || len(s.conns) >= s.opts.MaxConns {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) removeConn(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
