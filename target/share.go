package target

import "slices"

// A pool's connections count against this VM's share of the connections that the target accepts
// from all VMs together. The share is a hard limit, with one exception: see needsConn.

// needsConn reports whether a connection is to be opened. A connection that was found silent
// counts against the share until the target has closed its end, for at most SilentHold. While
// all of the share are silent, one beyond it is allowed if mayExceed is set: most targets soon
// drop their side of a silent connection, and such a target must not be left without calls.
// While the target doesn't answer on that one either, no further one is: it would not be
// answered. p.mu must be held.
func (p *pool) needsConn(mayExceed bool) bool {
	if len(p.conns) >= p.endpoint.Connections && !(mayExceed && p.silentWithoutReplacement()) {
		return false
	}
	// HTTP/1.1 connections carry one call each, so the whole share is opened. Over
	// HTTP/2, MaxOpen connections that accept calls are enough.
	return p.client.opts.Protocol == HTTP1 || p.count(p.hasCapacity) < p.client.opts.MaxOpen
}

// silentWithoutReplacement reports whether all connections are silent and none was opened beyond
// the share or still awaits its first answer. p.mu must be held.
func (p *pool) silentWithoutReplacement() bool {
	return p.count((*conn).isHeard) == 0 &&
		p.count((*conn).isOpen) <= p.endpoint.Connections &&
		!slices.ContainsFunc(p.conns, (*conn).awaitsFirstAnswer)
}

// allSilent reports whether the pool has connections and all of them were found silent.
func (p *pool) allSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0 && p.count((*conn).isHeard) == 0
}

// count returns the number of connections for which is returns true. p.mu must be held.
func (p *pool) count(is func(*conn) bool) int {
	count := 0
	for _, cn := range p.conns {
		if is(cn) {
			count++
		}
	}
	return count
}

// retireSurplus retires the connections that exceed this VM's share of the target's
// connections, and all of them if the pool is retired. A silent connection is not retired: if
// it answers again, one that was opened beside it is. p.mu must be held.
func (p *pool) retireSurplus() {
	share := p.endpoint.Connections
	if p.retired {
		share = 0
	}
	for _, cn := range p.conns {
		if cn.silent {
			continue
		}
		if share--; share < 0 {
			cn.retiring = true
		}
	}
}
