package edge

import (
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/routing"
)

// elapsedTimes tells how much of its time a caller had spent before its request arrived. An aim
// counts from when the caller began; a new connection to a VM costs it a round trip or two,
// and an answer that leaves just before the aim by the VM's own clock is late there.
//
// Callers state the time that they have left. Most of a route have as much in all, so that
// what one states less than the others is what it has spent. It is safe for concurrent use.
type elapsedTimes struct {
	mu     sync.Mutex // guards routes
	routes map[string]*longestTimeout
}

// longestTimeout is the longest wait that was stated, of this period and the one before.
type longestTimeout struct {
	periodStart       time.Time // of this period
	current, previous time.Duration
}

// timeoutPeriod is how long a longest wait is remembered at least; callers change their limits.
const timeoutPeriod = 10 * time.Second

func newElapsedTimes() *elapsedTimes { return &elapsedTimes{routes: make(map[string]*longestTimeout)} }

// observe takes the wait that a caller observe a route states, and returns what it has spent.
func (t *elapsedTimes) observe(now time.Time, route string, timeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.routes[route]
	if w == nil {
		w = &longestTimeout{periodStart: now}
		t.routes[route] = w
	}
	if now.Sub(w.periodStart) >= timeoutPeriod {
		w.periodStart, w.previous, w.current = now, w.current, 0
	}
	w.current = max(w.current, timeout)
	return max(w.current, w.previous) - timeout
}

// callerPath is what is known of the way between a caller and this VM; zero for nothing.
type callerPath struct {
	oneWay      time.Duration // in one direction
	connectTime time.Duration // that a caller spent on opening the connection for this request
}

// maxElapsedShare is the part of the aim that no caller needs to reach a VM.
const maxElapsedShare = 0.25

// elapsed returns how long before its arrival a request began. Missing is how much less its caller
// states to have left than others of the route: what it elapsed on connecting, unless it is a
// repeat, which is late or counts from anew.
func (p callerPath) elapsed(shortfall, objective time.Duration) time.Duration {
	if shortfall > max(time.Duration(maxElapsedShare*float64(objective)), p.connectTime+p.oneWay) {
		shortfall = 0
	}
	return max(shortfall, p.connectTime) + p.oneWay
}

// Parameters of the moment to answer a gathered request in part: an answer is worth
// the square of its share until the aim and a tenth afterwards, so it leaves just
// before, by the time that writing it and its way back take.
const (
	assumedOneWay  = 2 * time.Millisecond // to a caller, if it is not known
	writeTime      = 2 * time.Millisecond
	writeTimeShare = 0.05 // of the aim
)

// answerBy is when the answer to a request that began at a time has to leave.
func (p callerPath) answerBy(start time.Time, objective time.Duration) time.Time {
	oneWay := p.oneWay
	if oneWay == 0 {
		oneWay = assumedOneWay
	}
	early := oneWay + writeTime + time.Duration(writeTimeShare*float64(objective))
	return start.Add(max(objective-early, objective/2))
}

// prune forgets the routes that a manifest does not name.
func (t *elapsedTimes) prune(m *routing.Manifest) {
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
