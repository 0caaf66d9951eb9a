package peer

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

const (
	// suspectAgainAfter is the least time between two suspicions of one VM that this VM
	// publishes. If only this VM can't reach the other one, the two would otherwise flood
	// the fleet with suspicions and refutations. A VM that is isolated just after it has
	// refuted a suspicion may count as live that much longer.
	suspectAgainAfter = 10 * time.Second
	// startupPeriod is how long a process counts as just started. If a process receives a
	// statement of a later process of its name in this period, it assumes that its own
	// clock is behind. Afterwards it assumes that it has been replaced. A process that has
	// just started also doesn't forward the health of targets that it gets from
	// comparisons of digests; see mergeDiff.
	startupPeriod = 15 * time.Second
)

// mergeAndForward merges a fact into the table and forwards it to the other peers if it
// is new. from is the link that it was received on, or nil if this VM found the fact
// itself. The caller must hold mu.
func (x *Exchange) mergeAndForward(f facts.Fact, from *link, now time.Time) {
	if x.merge(f, from, now) {
		x.forward(f, from)
	}
}

// merge merges a fact into the table, handles its effects on this VM and reports whether
// it is new. from is the link that it was received on, or nil if this VM found the fact
// itself. The caller must hold mu.
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

// handleMemberFact handles a new statement about a VM. It answers a statement about this
// VM; see handleSelfFact. For another VM it records when it became suspected, or deletes
// that time if it no longer is. The caller must hold mu.
func (x *Exchange) handleMemberFact(m facts.Member, now time.Time) {
	if m.Name == x.self.Name {
		x.handleSelfFact(m, now)
		return
	}
	if m.State != facts.Suspect {
		delete(x.suspectedSince, m.Name)
	} else if _, suspected := x.suspectedSince[m.Name]; !suspected {
		x.suspectedSince[m.Name] = now
	}
}

// handleSelfFact answers a statement about this VM that outranks this VM's own. If it is
// about this process, it is a suspicion, which this VM refutes with a higher counter. If
// it is about a later process of the same name, the answer depends on the time. Within
// startupPeriod after the start, this VM's clock is taken to be behind, and the VM states
// a later start time. After that, this process has been replaced, perhaps while it was
// frozen, and must not publish anything more. The caller must hold mu.
func (x *Exchange) handleSelfFact(m facts.Member, now time.Time) {
	switch {
	case m.Incarnation == x.self.Incarnation:
		x.publishSelf(m.Counter)
	case now.Sub(x.startTime) < startupPeriod:
		x.self.Started = m.Started + 1
		x.publishSelf(0)
	case !x.replaced:
		x.replaced = true
		x.opts.Log.Error("replaced by a later process with this VM's name; publishing nothing more", "incarnation", m.Incarnation)
	}
}

// publishSelf publishes this VM's statement about itself with a counter above the given
// one, so that it outranks the statements with that counter. It does nothing if this
// process was replaced. The caller must hold mu.
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

// suspect publishes that the named VM could not be reached. It does nothing for this VM
// itself, for a VM that is already suspected or lost, and within suspectAgainAfter of the
// last suspicion of that VM. The caller must hold mu.
func (x *Exchange) suspect(name string, now time.Time) {
	m, known := x.table.Member(name)
	if name == x.self.Name || (known && m.State >= facts.Suspect) {
		return
	}
	if last, ok := x.lastSuspected[name]; ok && now.Sub(last) < suspectAgainAfter {
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

// listedMember returns a statement about a VM that has not sent one of its own yet, made
// from its entry in the platform's list of VMs. The address is sent with a suspicion: a
// VM that receives the suspicion and doesn't have the list could otherwise never dial
// the suspected VM. The start time is not known, so any statement of the VM itself
// outranks this one. The caller must hold mu.
func (x *Exchange) listedMember(name string) facts.Member {
	m := facts.Member{Name: name}
	for _, vm := range x.listedVMs {
		if vm.Name == name {
			m.Address, m.Ops, m.Zone = vm.Address, vm.Ops, vm.Zone
		}
	}
	return m
}

// expireSuspects marks VMs as lost that have been suspected for SuspectAfter and haven't
// refuted it. Every VM has the suspicion and does the same by its own timer, so the
// result isn't sent. expireSuspects also removes entries of lastSuspected that are older
// than suspectAgainAfter and have no effect any more. The caller must hold mu.
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
