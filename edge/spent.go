package edge

import (
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/routing"
)

// elapsedTimes estimates how much time a caller had spent before its request arrived. The
// latency objective counts from when the caller started. Opening a connection to a VM takes
// the caller one or two round trips, and an answer that is sent just before the objective by
// the VM's own clock arrives late.
//
// Callers state the time that they have left. Most callers of a route use the same timeout,
// so the difference between the longest stated time and a caller's own is what the caller has
// spent. elapsedTimes is safe for concurrent use.
type elapsedTimes struct {
	mu     sync.Mutex // guards routes
	routes map[string]*longestTimeout
}

// longestTimeout is the longest remaining time that callers stated in this period and in the
// one before.
type longestTimeout struct {
	periodStart       time.Time // start of this period
	current, previous time.Duration
}

// timeoutPeriod is how long a longest stated time is kept at least. It expires because
// callers change their timeouts.
const timeoutPeriod = 10 * time.Second

func newElapsedTimes() *elapsedTimes { return &elapsedTimes{routes: make(map[string]*longestTimeout)} }

// observe records the remaining time that a caller of a route states, and returns how much
// time the caller has spent.
func (t *elapsedTimes) observe(now time.Time, route string, timeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := t.routes[route]
	if longest == nil {
		longest = &longestTimeout{periodStart: now}
		t.routes[route] = longest
	}
	if now.Sub(longest.periodStart) >= timeoutPeriod {
		longest.periodStart, longest.previous, longest.current = now, longest.current, 0
	}
	longest.current = max(longest.current, timeout)
	return max(longest.current, longest.previous) - timeout
}

// callerPath is what is known about the network path between a caller and this VM. Zero
// values mean unknown.
type callerPath struct {
	oneWay      time.Duration // one-way network time
	connectTime time.Duration // time that the caller spent on opening the connection for this request
}

// maxElapsedShare is a share of the latency objective that no caller needs to reach a VM.
const maxElapsedShare = 0.25

// elapsed returns how long before its arrival a request began. shortfall is how much less
// remaining time its caller states than other callers of the route. It is the time that the
// caller spent on connecting, unless it is too long for that. Then the request is a repeat,
// which is either late already or counts from the time of the repeat, and the shortfall is
// ignored.
func (p callerPath) elapsed(shortfall, objective time.Duration) time.Duration {
	if shortfall > max(time.Duration(maxElapsedShare*float64(objective)), p.connectTime+p.oneWay) {
		shortfall = 0
	}
	return max(shortfall, p.connectTime) + p.oneWay
}

// Parameters of the time at which a gathered request is answered in part. An answer is worth
// the square of its share of the shards until the latency objective, and a tenth of that
// afterwards. So it is sent just early enough to be written and to reach the caller before
// the objective.
const (
	assumedOneWay  = 2 * time.Millisecond // one-way time to a caller, if unknown
	writeTime      = 2 * time.Millisecond
	writeTimeShare = 0.05 // share of the latency objective
)

// answerBy returns the latest time to send the answer to a request that began at start.
func (p callerPath) answerBy(start time.Time, objective time.Duration) time.Time {
	oneWay := p.oneWay
	if oneWay == 0 {
		oneWay = assumedOneWay
	}
	early := oneWay + writeTime + time.Duration(writeTimeShare*float64(objective))
	return start.Add(max(objective-early, objective/2))
}

// prune removes the routes that are not in the manifest.
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
