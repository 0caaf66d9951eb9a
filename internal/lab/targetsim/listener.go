package targetsim

import (
	"net"
	"sync"
	"time"
)

// ConnectionCounts counts the connections to a target.
type ConnectionCounts struct {
	Current int `json:"current"` // open now
	Peak    int `json:"peak"`    // most open at once
	Total   int `json:"total"`   // accepted since the start
	Refused int `json:"refused"` // closed at once because the limit was reached
}

// limitListener allows maxConns open connections and closes further ones at once. For each
// connection that it accepts, Accept sleeps for acceptDelay. Only one goroutine calls Accept, so in
// a burst of new connections each one also waits for those before it.
type limitListener struct {
	net.Listener
	maxConns    int
	acceptDelay time.Duration

	mu    sync.Mutex // guards count
	count ConnectionCounts
}

// Accept implements net.Listener. It closes connections above the limit and waits for the next one.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.reserve() {
			conn.Close()
			continue
		}
		time.Sleep(l.acceptDelay)
		return &countedConn{Conn: conn, listener: l}, nil
	}
}

func (l *limitListener) counts() ConnectionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// reserve counts a new connection as open and returns true. If the limit is reached, it counts the
// connection as refused and returns false.
func (l *limitListener) reserve() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count.Current >= l.maxConns {
		l.count.Refused++
		return false
	}
	l.count.Total++
	l.count.Current++
	l.count.Peak = max(l.count.Peak, l.count.Current)
	return true
}

// release counts an open connection as closed.
func (l *limitListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count.Current--
}

// countedConn decrements the listener's count of current connections when it is closed.
type countedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close implements net.Conn. Only the first call decrements the count.
func (c *countedConn) Close() error {
	c.once.Do(c.listener.release)
	return c.Conn.Close()
}
