package peer

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

const (
	// suspectAgainAfter is the least time between two suspicions of one VM by this
	// one. If only this VM can't reach it, the two would otherwise flood the fleet
	// with suspicions and refutations. It also bounds how long an isolated VM counts
	// as live if its refutation of the first suspicion was its last message that
	// arrived.
	suspectAgainAfter = 10 * time.Second
	// startupPeriod applies to a process that receives a statement of a later process
	// of its name. Within this time after its start, the process assumes that its own
	// clock is behind; afterwards, that it has been replaced.
	startupPeriod = 15 * time.Second
)

// mergeAndForward merges a fact received from a peer, or found by this VM if from
// is nil, and forwards it if it is new. The caller must hold mu.
func (x *Exchange) mergeAndForward(f facts.Fact, from *link, now time.Time) {
	if x.merge(f, from, now) {
		x.forward(f, from)
	}
}

// merge merges a fact and reports whether it is new. The caller must hold mu.
func (x *Exchange) merge(f facts.Fact, from *link, now time.Time) bool {
	if !x.table.Merge(f, now.Unix()) {
		if from != nil && x.table.Contains(f) {
			delete(from.pending, f.Key()) // the peer has it already
		}
		return false
	}
	switch {
	case f.Health != nil:
		x.signalHealth(f.Health.Target)
	case f.Drain != nil:
		x.invalidateCaches()
		x.signalDrains()
	default:
		x.invalidateCaches()
		x.handleMemberFact(*f.Member, now)
	}
	return true
}

// handleMemberFact handles a new fact about a VM: it answers one about this VM, and
// starts or ends the suspicion of another. The caller must hold mu.
func (x *Exchange) handleMemberFact(m facts.Member, now time.Time) {
	if m.Name == x.self.Name {
		x.handleSelfFact(m, now)
		return
	}
	if m.State != facts.Suspect {
		delete(x.suspectedSince, m.Name)
	} else if _, waiting := x.suspectedSince[m.Name]; !waiting {
		x.suspectedSince[m.Name] = now
	}
}

// handleSelfFact answers a statement about this VM that outranks its own. It
// refutes a suspicion with a higher counter. A statement about a later process has
// one of two causes. Within startupPeriod, this VM's clock is behind, and it states
// a later start. After that, this process has been replaced, perhaps while it was
// frozen, and must not publish anything more.
func (x *Exchange) handleSelfFact(m facts.Member, now time.Time) {
	switch {
	case m.Incarnation == x.self.Incarnation:
		x.publishSelf(m.Counter)
	case now.Sub(x.startTime) < startupPeriod:
		x.self.Started = m.Started + 1
		x.publishSelf(0)
	case !x.replaced:
		x.replaced = true
		x.opts.Log.Error("another process has this VM's name", "incarnation", m.Incarnation)
	}
}

// publishSelf publishes this VM's own state with a counter above the given one. It
// does nothing if this process was replaced. The caller must hold mu.
func (x *Exchange) publishSelf(above uint64) {
	if x.replaced {
		return
	}
	x.self.Counter = above + 1
	own := x.self
	f := facts.Fact{Member: &own}
	x.table.Merge(f, time.Now().Unix())
	x.invalidateCaches()
	x.forward(f, nil)
}

// suspect publishes that a VM could not be reached. The caller must hold mu.
func (x *Exchange) suspect(name string, now time.Time) {
	m, known := x.table.Member(name)
	if name == x.self.Name || (known && m.State >= facts.Suspect) {
		return
	}
	if last, done := x.lastSuspected[name]; done && now.Sub(last) < suspectAgainAfter {
		return
	}
	x.lastSuspected[name] = now
	if !known {
		m = x.listedMember(name)
	}
	m.State = facts.Suspect
	m.At = now.Unix()
	x.opts.Log.Debug("VM suspected", "vm", name)
	x.mergeAndForward(facts.Fact{Member: &m}, nil, now)
}

// listedMember returns the data of the platform's list on a VM that has not sent a
// statement of its own yet. The address is sent with a suspicion: a VM that
// receives the suspicion and doesn't have the list could otherwise never dial the
// suspected VM. The start time is not known, so any statement of the VM itself
// outranks this one. The caller must hold mu.
func (x *Exchange) listedMember(name string) facts.Member {
	m := facts.Member{Name: name}
	for _, vm := range x.listed {
		if vm.Name == name {
			m.Address, m.Ops, m.Zone = vm.Address, vm.Ops, vm.Zone
		}
	}
	return m
}

// expireSuspects marks suspected VMs as lost that didn't answer within
// SuspectAfter. Every VM does so by its own timer from the same fact, so the
// result isn't sent. The caller must hold mu.
func (x *Exchange) expireSuspects(now time.Time) {
	for name, since := range x.suspectedSince {
		if now.Sub(since) < x.opts.SuspectAfter {
			continue
		}
		delete(x.suspectedSince, name)
		m, _ := x.table.Member(name)
		if m.State == facts.Suspect {
			m.State = facts.Lost
			x.table.Merge(facts.Fact{Member: &m}, now.Unix())
			x.invalidateCaches()
		}
	}
	for name, last := range x.lastSuspected {
		if now.Sub(last) > suspectAgainAfter {
			delete(x.lastSuspected, name)
		}
	}
}
