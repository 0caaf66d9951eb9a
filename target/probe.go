package target

import (
	"context"
	"slices"
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
	if err := p.readStatus(cn); err != nil && err.Kind == ErrorDeadline {
		p.probeTimedOut(cn, start)
	}
	p.mu.Lock()
	cn.probing = false
	p.mu.Unlock()
	p.release(cn)
}

// readStatus reads the target's status on a connection, within ProbeTimeout.
func (p *pool) readStatus(cn *conn) *CallError {
	ctx, cancel := context.WithTimeout(p.client.tomb.Context(context.Background()), p.client.opts.ProbeTimeout)
	defer cancel()
	var status Status
	return p.client.roundTrip(ctx, cn, statusCall(p.name, &status))
}

// probeTimedOut handles the timeout of a status read that began at start. If the connection
// has received nothing at all since then, it is silent.
func (p *pool) probeTimedOut(cn *conn, start time.Time) {
	if cn.wire.lastRead().After(start) {
		return
	}
	p.mu.Lock()
	first := !cn.silent
	if first {
		p.markSilent(cn, time.Now())
	}
	p.mu.Unlock()
	if first {
		p.client.metrics.silent.Inc()
		p.client.opts.Log.Warn("silent connection found", "target", p.name)
	}
	p.wake()
}

// markSilent records that a connection was found silent. Over HTTP/1.1 it is lost, because
// its only call has ended. p.mu must be held.
func (p *pool) markSilent(cn *conn, now time.Time) {
	cn.silent = true
	cn.lost = p.client.opts.Protocol == HTTP1
	p.suspicionTime = now
}

// awaitAnswer reads the target's status on a silent connection again and again, until
// anything is received on it, or until it is lost: after SilentWait, or after two reads in a
// row during which the target answered on another connection. A target that is paused answers
// the calls on its connections when it resumes, not all at the same instant; a silent path
// never does.
func (p *pool) awaitAnswer(cn *conn) {
	limit := time.Now().Add(p.client.opts.SilentWait)
	answersElsewhere := false
	for {
		start := time.Now()
		_ = p.readStatus(cn) // what has been received tells the outcome
		before := answersElsewhere
		answersElsewhere = p.heardSince(start)
		if p.endAwait(cn, start, time.Now().After(limit) || before && answersElsewhere) {
			break
		}
		// A read that failed early is not repeated at once.
		timer := time.NewTimer(time.Until(start.Add(p.client.opts.ProbeTimeout)))
		select {
		case <-timer.C:
		case <-p.client.tomb.Dying():
		}
		timer.Stop()
	}
	p.release(cn)
	p.wake()
}

// endAwait ends the wait for an answer and returns true if anything was received since start,
// if the connection has failed, or if giveUp is set. In the latter two cases it is lost.
func (p *pool) endAwait(cn *conn, start time.Time, giveUp bool) bool {
	heard := cn.wire.lastRead().After(start)
	if !heard && !giveUp && cn.http.Err() == nil && p.client.tomb.Alive() {
		return false
	}
	p.mu.Lock()
	cn.awaited = false
	if heard {
		cn.silent, cn.unanswered = false, false
	} else {
		cn.lost = true
	}
	p.mu.Unlock()
	if heard {
		p.client.opts.Log.Info("silent connection answers", "target", p.name)
	}
	return true
}

// heardSince reports whether a connection that is not silent has received data since then.
func (p *pool) heardSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.conns, func(cn *conn) bool {
		return !cn.silent && cn.wire.lastRead().After(since)
	})
}
