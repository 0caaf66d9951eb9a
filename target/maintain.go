package target

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
)

// idleInterval is how long a pool's maintainer or a Monitor's scheduler sleeps when it has
// nothing to do, unless it is woken earlier.
const idleInterval = time.Minute

// exceedCheckInterval is the time between two checks of whether this VM may exceed its share
// of a target's connections, while all of them are silent.
const exceedCheckInterval = 250 * time.Millisecond

// maintain is the maintainer: the goroutine that opens the pool's connections up to the
// share, one at a time and with pauses, replaces lost ones and closes idle retiring ones.
// Connections are opened and closed only from here, so that the share is never exceeded.
// It returns when the client is closed, or once a retired pool is empty.
func (p *pool) maintain() error {
	ctx := p.client.tomb.Context(context.Background())
	for {
		p.sweep()
		p.probeSuspects(time.Now())
		mayExceed := p.allSilent() && p.client.opts.MayExceedShare(p.name)
		due, done := p.plan(time.Now(), mayExceed)
		if done {
			return nil
		}
		if due <= 0 {
			p.open(ctx)
			due = 0
		}
		timer := time.NewTimer(due)
		select {
		case <-ctx.Done():
			timer.Stop()
			p.closeAll()
			return nil
		case <-p.wakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// plan returns the time until the maintainer has to act (due), and whether it can return
// because the pool is retired and empty (done). If due is 0 or less, a connection is to be
// opened. mayExceed says that one beyond the share may be. If none may be opened until a
// silent one has been closed, plan fails the waiting calls.
func (p *pool) plan(now time.Time, mayExceed bool) (due time.Duration, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	due = p.nextSuspectCheck(now)
	if p.retired {
		p.stopped = len(p.conns) == 0
		return due, p.stopped
	}
	needsConn := p.needsConn(mayExceed)
	p.shareHeld = !needsConn && len(p.conns) > 0 && p.count((*conn).isHeard) == 0
	switch {
	case needsConn:
		due = min(due, p.pacer.notBefore.Sub(now))
	case p.shareHeld:
		due = min(due, exceedCheckInterval)
		p.failWaiters()
	}
	return due, false
}

// nextSuspectCheck returns the time until the connections have to be checked for suspect
// ones: until the first that awaits data becomes suspect, and at most SuspectAfter. It
// returns idleInterval if no check is needed. p.mu must be held.
func (p *pool) nextSuspectCheck(now time.Time) time.Duration {
	if !p.watching {
		return idleInterval
	}
	suspectAfter := p.client.opts.SuspectAfter
	due := suspectAfter
	for _, cn := range p.conns {
		if wait := cn.waitingSince.Add(suspectAfter).Sub(now); wait > 0 && cn.awaitsData() {
			due = min(due, wait)
		}
	}
	return max(due, time.Millisecond)
}

// sweep starts to close the connections that failed, are lost, or are retiring and have no
// call left, and to await data on those that were found silent. In a retired pool it closes
// silent ones, because another VM may be about to open connections in their place. It assigns
// free connections to waiting calls.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireSurplus()
	for _, cn := range p.conns {
		lost := cn.lost || cn.http.Err() != nil || p.retired && cn.silent
		done := cn.calls == 0 && cn.retiring
		if cn.closing {
			continue
		}
		if !lost && !done {
			p.await(cn)
			continue
		}
		cn.closing = true
		p.client.tomb.Go(func() error {
			p.close(cn, false)
			p.remove(cn)
			return nil
		})
	}
	p.serveWaiters()
}

// await starts to await data on a connection if it is silent. p.mu must be held.
func (p *pool) await(cn *conn) {
	if !cn.silent || cn.awaited {
		return
	}
	cn.awaited = true
	cn.calls++
	p.client.tomb.Go(func() error {
		p.awaitAnswer(cn)
		return nil
	})
}

// remove removes a closed connection from the pool, so that it no longer counts
// against this VM's share of the target's connections.
func (p *pool) remove(cn *conn) {
	p.mu.Lock()
	p.conns = slices.DeleteFunc(p.conns, func(other *conn) bool { return other == cn })
	p.pacer.closed(time.Now())
	p.mu.Unlock()
	p.wake()
}

// close closes a connection and waits until the target has closed its end too: for at most
// SilentHold if the connection is silent, else maxCloseWait, or not at all if immediately is
// true. It doesn't wait once the client is closed.
func (p *pool) close(cn *conn, immediately bool) {
	p.mu.Lock()
	wait := maxCloseWait
	if cn.silent {
		wait = p.client.opts.SilentHold
	}
	p.mu.Unlock()
	if immediately {
		wait = 0
	}
	cn.shutdown(p.client.tomb.Dying(), wait)
	p.client.metrics.closed.Inc()
}

// closeAll retires the pool and closes its connections without waiting for the
// target.
func (p *pool) closeAll() {
	p.mu.Lock()
	conns := slices.DeleteFunc(slices.Clone(p.conns), func(cn *conn) bool { return cn.closing })
	p.retired = true
	p.stopped = true
	p.failWaiters()
	p.mu.Unlock()
	for _, cn := range conns {
		p.close(cn, true)
	}
}

// open opens one connection and adds it to the pool. It first waits until the client is
// opening fewer than MaxDials connections. If the connection can't be opened and the pool
// has no other, all waiting calls fail.
func (p *pool) open(ctx context.Context) {
	select {
	case p.client.dialSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	cn, err := p.dial(ctx)
	<-p.client.dialSlots
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastDialErr = err
	if cn != nil {
		p.conns = append(p.conns, cn)
	}
	if err == nil {
		p.pacer.opened(time.Now())
		p.serveWaiters()
		return
	}
	p.client.metrics.dialErrors.Inc()
	p.pacer.failed(time.Now())
	if cn != nil {
		cn.unanswered = true
		p.markSilent(cn, time.Now())
	}
	if p.count((*conn).isHeard) == 0 {
		p.failWaiters()
	}
}

// dial opens a connection and warms it up with a status read. No query is delayed
// by the time that the target spends on a new connection, and a port that accepts
// but never answers does not count as a connection. If the target doesn't answer in time,
// dial returns an error and the open connection: the target counts it.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.client.opts.DialTimeout)
	defer cancel()
	cn := &conn{}
	dialCtx := context.WithValue(ctx, wireKey{}, &cn.wire)
	cc, err := p.client.transport.NewClientConn(dialCtx, "http", p.address)
	if err != nil {
		if cn.wire != nil {
			_ = cn.wire.Conn.Close()
		}
		return nil, errors.Annotatef(err, "connecting to %s", p.address)
	}
	cn.http = cc
	p.client.metrics.opened.Inc()
	var status Status
	callErr := p.client.roundTrip(ctx, cn, statusCall(p.name, &status))
	if callErr != nil && callErr.Kind != ErrorDeadline {
		p.close(cn, false)
		return nil, errors.Annotatef(callErr, "warming up a connection to %s", p.address)
	}
	cc.SetStateHook(p.stateChanged)
	if callErr != nil {
		return cn, errors.Annotatef(callErr, "warming up a connection to %s", p.address)
	}
	return cn, nil
}

// stateChanged wakes the maintainer when a connection is lost or can accept a
// waiting call. It must not lock p.mu, because code that holds p.mu calls methods of
// the ClientConn.
func (p *pool) stateChanged(cc *http.ClientConn) {
	if cc.Err() != nil || p.numWaiting.Load() > 0 {
		p.wake()
	}
}
