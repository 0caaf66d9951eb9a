package target

import (
	"context"
	"time"
)

// probeSuspects starts a probe, a status read, on each connection that may be silent. It
// sets watching to false, which ends the checks for suspect connections, if no connection
// has a call in progress or awaits data. An HTTP/1.1 connection can't carry a probe beside
// a call; it is closed when the call is cancelled or times out.
func (p *pool) probeSuspects(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watching = false
	p.updateSuspicionTime(now)
	for _, cn := range p.conns {
		if cn.calls > 0 || cn.awaitsData() {
			p.watching = true
		}
		if !p.needsProbe(cn, now) || (p.client.opts.Protocol == HTTP1 && cn.calls > 0) {
			continue
		}
		cn.probing = true
		cn.calls++
		p.client.tomb.Go(func() error {
			p.probe(cn)
			return nil
		})
	}
}

// updateSuspicionTime sets suspicionTime to the latest time at which a suspect connection
// began to wait for data, unless it is already later. All connections of the pool that have
// received nothing since suspicionTime are probed. Otherwise calls would find the silent
// connections of a target one after another, and each time wait for SuspectAfter and lose
// all calls on that connection. p.mu must be held.
func (p *pool) updateSuspicionTime(now time.Time) {
	for _, cn := range p.conns {
		if cn.isSuspect(now, p.client.opts.SuspectAfter) && cn.waitingSince.After(p.suspicionTime) {
			p.suspicionTime = cn.waitingSince
		}
	}
}

// needsProbe reports whether a connection needs a probe: because it is suspect, or
// because another connection to the same target is suspect or was found silent and
// this one has received nothing since. Connections mostly go silent together. p.mu
// must be held.
func (p *pool) needsProbe(cn *conn, now time.Time) bool {
	if cn.probing || cn.silent || cn.retiring {
		return false
	}
	return cn.isSuspect(now, p.client.opts.SuspectAfter) || cn.wire.lastRead().Before(p.suspicionTime)
}

// probe reads the target's status on a connection and releases the connection.
func (p *pool) probe(cn *conn) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(p.client.tomb.Context(context.Background()), p.client.opts.ProbeTimeout)
	defer cancel()
	var status Status
	err := p.client.roundTrip(ctx, cn, statusCall(p.name, &status))
	if err != nil && err.Kind == ErrorDeadline {
		p.probeTimedOut(cn, start)
	}
	p.mu.Lock()
	cn.probing = false
	p.mu.Unlock()
	p.release(cn)
}

// probeTimedOut handles the timeout of a status read that began at start. If the connection
// has received nothing at all since then, it is silent. It is closed even if calls still
// wait on it, because none of them would ever be answered.
func (p *pool) probeTimedOut(cn *conn, start time.Time) {
	if cn.wire.lastRead().After(start) {
		return
	}
	now := time.Now()
	p.mu.Lock()
	first := !cn.silent
	if first {
		cn.silent = true
		p.suspicionTime = now
	}
	p.mu.Unlock()
	if first {
		p.client.metrics.silent.Inc()
		p.client.opts.Log.Warn("silent connection found", "target", p.name)
	}
	p.wake()
}
