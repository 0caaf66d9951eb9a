package peer

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

const (
	// accuseAgain is the least time between two suspicions of one VM by this
	// one: where only this VM can't reach it, the two would otherwise flood the
	// fleet with suspicion and answer. It also bounds how long a VM that is cut
	// off counts as live if its answer to the first suspicion was the last thing
	// that came through.
	accuseAgain = 10 * time.Second
	// youth is how long after its start a process may find that its clock is
	// behind that of an earlier process of its name.
	youth = 15 * time.Second
)

// learn merges a fact heard from a peer, or found out here if from is nil, and
// passes on what is new. It must hold mu.
func (x *Exchange) learn(f facts.Fact, from *link, now time.Time) {
	if x.take(f, from, now) {
		x.spread(f, from)
	}
}

// take merges a fact and tells whether it is new. It must hold mu.
func (x *Exchange) take(f facts.Fact, from *link, now time.Time) bool {
	if !x.table.Merge(f, now.Unix()) {
		if from != nil && x.table.Holds(f) {
			delete(from.pending, f.Key()) // the peer has it already
		}
		return false
	}
	switch {
	case f.Health != nil:
		x.signalHealth(f.Health.Target)
	case f.Drain != nil:
		x.changed()
		x.signalDrains()
	default:
		x.changed()
		x.heardOfMember(*f.Member, now)
	}
	return true
}

// heardOfMember must hold mu.
func (x *Exchange) heardOfMember(m facts.Member, now time.Time) {
	if m.Name == x.self.Name {
		x.heardOfSelf(m, now)
		return
	}
	if m.State != facts.Suspect {
		delete(x.suspects, m.Name)
	} else if _, waiting := x.suspects[m.Name]; !waiting {
		x.suspects[m.Name] = now
	}
}

// heardOfSelf answers a statement about this VM that outranks its own. A
// suspicion is answered with a higher counter. A statement about a later
// process means either that this one has been replaced, while it was frozen
// perhaps, and must say no more; or, if this one is young, that its clock is
// behind.
func (x *Exchange) heardOfSelf(m facts.Member, now time.Time) {
	switch {
	case m.Incarnation == x.self.Incarnation:
		x.sayOwn(m.Counter)
	case now.Sub(x.begun) < youth:
		x.self.Started = m.Started + 1
		x.sayOwn(0)
	case !x.replaced:
		x.replaced = true
		x.opts.Log.Error("another process carries this VM's name", "incarnation", m.Incarnation)
	}
}

// sayOwn states this VM's own state with a counter above the given one. It must
// hold mu.
func (x *Exchange) sayOwn(above uint64) {
	if x.replaced {
		return
	}
	x.self.Counter = above + 1
	own := x.self
	f := facts.Fact{Member: &own}
	x.table.Merge(f, time.Now().Unix())
	x.changed()
	x.spread(f, nil)
}

// suspect states that a VM could not be reached. It must hold mu.
func (x *Exchange) suspect(name string, now time.Time) {
	m, known := x.table.Member(name)
	if name == x.self.Name || (known && m.State >= facts.Suspect) {
		return
	}
	if last, done := x.accused[name]; done && now.Sub(last) < accuseAgain {
		return
	}
	x.accused[name] = now
	if !known {
		m = x.memberListed(name)
	}
	m.State = facts.Suspect
	m.At = now.Unix()
	x.opts.Log.Debug("VM suspected", "vm", name)
	x.learn(facts.Fact{Member: &m}, nil, now)
}

// memberListed is what the platform's list says of a VM that has not spoken for
// itself yet. Its address goes along with a suspicion: a VM without the list that
// is told of it could otherwise never look for the suspected one. Its start is not
// known, so whatever the VM says of itself outranks it. It must hold mu.
func (x *Exchange) memberListed(name string) facts.Member {
	m := facts.Member{Name: name}
	for _, vm := range x.listed {
		if vm.Name == name {
			m.Address, m.Ops, m.Zone = vm.Address, vm.Ops, vm.Zone
		}
	}
	return m
}

// judgeSuspects declares those lost that didn't answer in time. Every VM does so
// by its own timer from the same fact, so there is nothing to pass on. It must
// hold mu.
func (x *Exchange) judgeSuspects(now time.Time) {
	for name, since := range x.suspects {
		if now.Sub(since) < x.opts.SuspectAfter {
			continue
		}
		delete(x.suspects, name)
		m, _ := x.table.Member(name)
		if m.State == facts.Suspect {
			m.State = facts.Lost
			x.table.Merge(facts.Fact{Member: &m}, now.Unix())
			x.changed()
		}
	}
	for name, last := range x.accused {
		if now.Sub(last) > accuseAgain {
			delete(x.accused, name)
		}
	}
}
