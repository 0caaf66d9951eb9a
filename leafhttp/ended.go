package leafhttp

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"
)

// ConnectionLost reports whether err, from Pool.Do, says that the leaf's end closed or reset the
// connection before the whole answer was read. The leaf may have ended, or cut this connection only.
func ConnectionLost(err error) bool {
	if errors.As(err, new(*UnreachableError)) {
		return false
	}
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// Liveness is what a check of a leaf found out.
type Liveness int

// The results of a check.
const (
	LivenessUnknown Liveness = iota // nothing answered in time
	Alive                           // the leaf accepts connections
	Ended                           // nothing listens at the leaf's address
)

// String returns the word used in logs and metrics.
func (l Liveness) String() string { return [...]string{"unknown", "alive", "ended"}[l] }

// Parameters of a check.
const (
	// checkTimeout bounds a check. A machine that lives refuses or accepts within some milliseconds.
	checkTimeout = 200 * time.Millisecond
	// checkSettleTime is how long the first connection has to stay open. While a process ends, its
	// listener may accept connections that are closed at once. The time doubles with each.
	checkSettleTime = 2 * time.Millisecond
	// maxCheckDials bounds the connections that a check opens.
	maxCheckDials = 6
)

// Check finds out, by a new connection, whether a leaf whose connection was lost has ended. The
// connection to a leaf that is alive is kept for the next request.
func (p *Pool) Check(ctx context.Context, leaf Endpoint) Liveness {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for n := range maxCheckDials {
		p.dials.Add(1)
		c, err := dial(ctx, leaf.Address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return Ended
		case err != nil:
			return LivenessUnknown
		}
		select {
		case <-time.After(checkSettleTime << n):
		case <-ctx.Done():
		}
		if c.reusable() {
			p.put(leaf, c, leaf.limitIdle(defaultIdleTimeout))
			return Alive
		}
		_ = c.Close()
	}
	return LivenessUnknown
}

// Recheck is Check for a leaf that a check has found alive a moment ago. It opens a connection only if
// the one of that check was closed meanwhile.
func (p *Pool) Recheck(ctx context.Context, leaf Endpoint) Liveness {
	if c, _ := p.pop(leaf, ""); c != nil {
		if c.reusable() {
			p.put(leaf, c, time.Until(c.reusableUntil))
			return Alive
		}
		p.discarded.Add(1)
		_ = c.Close()
	}
	return p.Check(ctx, leaf)
}
