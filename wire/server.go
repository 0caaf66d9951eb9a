package wire

import (
	"maps"
	"net"
	"slices"
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
	ln       net.Listener // accepts the TCP connections
	onConn   func(*Conn)  // called with each connection once the connection is authenticated

	mu     sync.Mutex         // guards the fields below
	hellos []*Conn            // accepted connections that are not yet authenticated, the oldest first
	conns  map[*Conn]struct{} // authenticated connections that are open
}

// Listen starts to accept connections at address. Each connection is passed to onConn when
// it is authenticated. onConn must call Serve and must not block. The server closes the
// connections when it stops.
func Listen(address string, o Options, counters *Counters, onConn func(*Conn)) (*Server, error) {
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
	s := &Server{opts: o.withDefaults(), counters: counters, ln: ln, onConn: onConn, conns: map[*Conn]struct{}{}}
	s.tomb.Go(s.accept)
	return s, nil
}

// Addr returns the listener's address.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Conns returns the authenticated connections that are open.
func (s *Server) Conns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// Stop closes the listener and all connections, and waits until their handlers have
// returned.
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

// accept accepts connections until the server stops, and serves each in a goroutine of its own.
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
			s.opts.Log.Warn("accepting a connection from a peer failed", "error", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		c := s.startHello(raw)
		s.tomb.Go(func() error { return s.serveConn(c) })
	}
}

// acceptRetryPause is the pause after a failed accept. Without it, a lack of file
// descriptors would cause a busy loop.
const acceptRetryPause = 50 * time.Millisecond

// startHello starts the hello of an accepted connection. If more than MaxHellos
// connections are not yet authenticated, it closes the oldest of them: a process without
// the key that opens connections and sends nothing must not keep VMs out. The hello of a
// VM takes milliseconds, so it is rarely the oldest.
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

// serveConn waits until a connection is authenticated, passes it to onConn, and returns
// when the connection is closed. It closes the connection if the hello fails or takes longer
// than HelloTimeout, if MaxConns authenticated connections are already open, or when the
// server stops.
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

// endHello removes c from the connections that are not yet authenticated. If c is proven,
// which means that its hello succeeded, and fewer than MaxConns connections are
// authenticated, endHello adds c to those and returns true. Otherwise it returns false.
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

// removeConn removes a closed connection from the authenticated ones.
func (s *Server) removeConn(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
