package peer

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

// SetTargets sets the names of the targets whose health is kept and forwarded: those
// of the bundle in force that not every VM has connections to. If the health of some
// of them isn't known, SetTargets starts a comparison of facts with one peer to get it.
func (x *Exchange) SetTargets(names []string) {
	x.mu.Lock()
	unknown := x.table.SetTargets(names)
	l := x.randomLink()
	ask := unknown && l != nil && x.tomb.Alive()
	if ask {
		// A VM that starts or has just received the bundle gets the known health
		// from a peer at once, and need not read all targets itself.
		x.tomb.Go(func() error { x.sync(l); return nil })
	}
	x.mu.Unlock()
}

// Health returns the last statement about a target and reports whether there is one.
func (x *Exchange) Health(target string) (facts.Health, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Health(target)
}

// PublishHealth publishes the statement next about the health of a target in place of
// the statement whose stamp is base. A stamp orders the statements about one target; base
// is the zero Stamp if there was no statement. PublishHealth does nothing if the current
// statement has another stamp, or if this VM is leaving or was replaced by a later process
// of its name. It reports whether next was published.
func (x *Exchange) PublishHealth(next facts.Health, base facts.Stamp) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	known, _ := x.table.Health(next.Target)
	if known.Stamp != base || x.replaced || x.self.State == facts.Leaving {
		return false
	}
	f := facts.Fact{Health: &next}
	if !x.table.Merge(f, time.Now().Unix()) {
		return false
	}
	x.forward(f, nil)
	x.signalHealth(next.Target)
	return true
}

// TakeHealthChanges returns the current statements about the targets whose health has
// changed since the last call, and clears the record of these changes.
func (x *Exchange) TakeHealthChanges() []facts.Health {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := make([]facts.Health, 0, len(x.changedTargets))
	for target := range x.changedTargets {
		if h, known := x.table.Health(target); known {
			list = append(list, h)
		}
	}
	clear(x.changedTargets)
	return list
}

// HealthChanged returns a channel that receives a value when TakeHealthChanges has
// something to return. It is always the same channel, for a single receiver.
func (x *Exchange) HealthChanged() <-chan struct{} { return x.healthChanged }

// signalHealth records that the health of a target has changed and signals
// HealthChanged. The caller must hold mu.
func (x *Exchange) signalHealth(target string) {
	x.changedTargets[target] = struct{}{}
	x.lastHealthTime = time.Now()
	select {
	case x.healthChanged <- struct{}{}:
	default:
	}
}
