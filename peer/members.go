package peer

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

const (
	// suspectAgainAfter is the least time between two suspicions of one VM by this
	// one: where only this VM can't reach it, the two would otherwise flood the
	// fleet with suspicion and answer. It also bounds how long a VM that is cut
	// off counts as live if its answer to the first suspicion was the last thing
	// that came through.
	suspectAgainAfter = 10 * time.Second
	// startupPeriod is how long after its start a process may find that its clock is
	// behind that of an earlier process of its name.
	startupPeriod = 15 * time.Second
)

// mergeAndForward merges a fact heard from a peer, or found out here if from is nil, and
// passes on what is new. It must hold mu.
func (x *Exchange) mergeAndForward(f facts.Fact, from *link, now time.Time) {
	if x.merge(f, from, now) {
		x.forward(f, from)
	}
}

// merge merges a fact and tells whether it is new. It must hold mu.
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

// handleMemberFact must hold mu.
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

// handleSelfFact answers a statement about this VM that outranks its own. A
// suspicion is answered with a higher counter. A statement about a later
// process means either that this one has been replaced, while it was frozen
// perhaps, and must say no more; or, if this one is young, that its clock is
// behind.
func (x *Exchange) handleSelfFact(m facts.Member, now time.Time) {
	switch {
	case m.Incarnation == x.self.Incarnation:
		x.publishSelf(m.Counter)
	case now.Sub(x.startTime) < startupPeriod:
		x.self.Started = m.Started + 1
		x.publishSelf(0)
	case !x.replaced:
		x.replaced = true
		x.opts.Log.Error("another process carries this VM's name", "incarnation", m.Incarnation)
	}
}

// publishSelf states this VM's own state with a counter above the given one. It must
// hold mu.
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

// suspect states that a VM could not be reached. It must hold mu.
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

// listedMember is what the platform's list says of a VM that has not spoken for
// itself yet. Its address goes along with a suspicion: a VM without the list that
// is told of it could otherwise never look for the suspected one. Its start is not
// known, so whatever the VM says of itself outranks it. It must hold mu.
func (x *Exchange) listedMember(name string) facts.Member {
	m := facts.Member{Name: name}
	for _, vm := range x.listed {
		if vm.Name == name {
			m.Address, m.Ops, m.Zone = vm.Address, vm.Ops, vm.Zone
		}
	}
	return m
}

// expireSuspects declares those lost that didn't answer in time. Every VM does so
// by its own timer from the same fact, so there is nothing to pass on. It must
// hold mu.
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
