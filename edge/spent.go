package edge

import (
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/routing"
)

// spentTimes tells how much of its time a caller had spent before its request arrived. An aim
// counts from when the caller began; a new connection to a VM costs it a round trip or two,
// and an answer that leaves just before the aim by the VM's own clock is late there.
//
// Callers state the time that they have left. Most of a route have as much in all, so that
// what one states less than the others is what it has spent. It is safe for concurrent use.
type spentTimes struct {
	mu     sync.Mutex // guards routes
	routes map[string]*longestWait
}

// longestWait is the longest wait that was stated, of this period and the one before.
type longestWait struct {
	began        time.Time // of this period
	this, before time.Duration
}

// waitPeriod is how long a longest wait is remembered at least; callers change their limits.
const waitPeriod = 10 * time.Second

func newSpentTimes() *spentTimes { return &spentTimes{routes: make(map[string]*longestWait)} }

// of takes the wait that a caller of a route states, and returns what it has spent.
func (t *spentTimes) of(now time.Time, route string, stated time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.routes[route]
	if w == nil {
		w = &longestWait{began: now}
		t.routes[route] = w
	}
	if now.Sub(w.began) >= waitPeriod {
		w.began, w.before, w.this = now, w.this, 0
	}
	w.this = max(w.this, stated)
	return max(w.this, w.before) - stated
}

// keep forgets the routes that a manifest does not name.
func (t *spentTimes) keep(m *routing.Manifest) {
	names := make(map[string]bool, len(m.Routes))
	for _, route := range m.Routes {
		names[route.Name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.routes {
		if !names[name] {
			delete(t.routes, name)
		}
	}
}
