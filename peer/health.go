package peer

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

// SetTargets names the targets of the bundle in force. Only their health is kept
// and passed on.
func (x *Exchange) SetTargets(names []string) {
	x.mu.Lock()
	unknown := x.table.SetTargets(names)
	l := x.randomLink()
	ask := unknown && l != nil && x.tomb.Alive()
	if ask {
		// A VM that starts, or has just got the bundle, takes what the others know
		// at once and need not read all targets for itself.
		x.tomb.Go(func() error { x.sync(l); return nil })
	}
	x.mu.Unlock()
}

// Health returns what is known of a target.
func (x *Exchange) Health(target string) (facts.Health, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Health(target)
}

// TellHealth states next in place of base, which is the zero Stamp if nothing was
// known. It does nothing if something else is known by now, or if this VM may not
// speak any more, and reports whether the statement was made.
func (x *Exchange) TellHealth(next facts.Health, base facts.Stamp) bool {
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

// TakeHealth returns what was learned of targets since the last call.
func (x *Exchange) TakeHealth() []facts.Health {
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

// HealthChanged returns a channel on which something can be received once there
// is news for TakeHealth. It has one user.
func (x *Exchange) HealthChanged() <-chan struct{} { return x.healthChanged }

// signalHealth must hold mu.
func (x *Exchange) signalHealth(target string) {
	x.changedTargets[target] = struct{}{}
	x.lastHealthLearned = time.Now()
	select {
	case x.healthChanged <- struct{}{}:
	default:
	}
}
