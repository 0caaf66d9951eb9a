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

// callerPath is what is known of the way between a caller and this VM; zero for nothing.
type callerPath struct {
	way        time.Duration // in one direction
	connecting time.Duration // that a caller spent on opening the connection for this request
}

// repeatShare is the part of the aim that no caller needs to reach a VM.
const repeatShare = 0.25

// spent returns how long before its arrival a request began. Missing is how much less its caller
// states to have left than others of the route: what it spent on connecting, unless it is a
// repeat, which is late or counts from anew.
func (p callerPath) spent(missing, aim time.Duration) time.Duration {
	if missing > max(time.Duration(repeatShare*float64(aim)), p.connecting+p.way) {
		missing = 0
	}
	return max(missing, p.connecting) + p.way
}

// Parameters of the moment to answer a gathered request in part: an answer is worth
// the square of its share until the aim and a tenth afterwards, so it leaves just
// before, by the time that writing it and its way back take.
const (
	assumedWay       = 2 * time.Millisecond // to a caller, if it is not known
	writingTime      = 2 * time.Millisecond
	writingTimeShare = 0.05 // of the aim
)

// answerBy is when the answer to a request that began at a time has to leave.
func (p callerPath) answerBy(began time.Time, aim time.Duration) time.Time {
	way := p.way
	if way == 0 {
		way = assumedWay
	}
	early := way + writingTime + time.Duration(writingTimeShare*float64(aim))
	return began.Add(max(aim-early, aim/2))
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
