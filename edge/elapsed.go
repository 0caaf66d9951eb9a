package edge

import (
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/allotment"
	"github.com/bramleybarrow/bramleybarrow/routing"
)

// elapsedTimes estimates how much time a caller had spent before its request arrived. The
// latency objective counts from when the caller started, and opening a connection to a VM takes
// the caller one or two round trips. An answer that this VM sends just before the objective,
// counted from the request's arrival, would reach the caller late.
//
// Callers state the time that they have left. Most callers of a route use the same timeout,
// so the difference between the longest stated time and a caller's own is what the caller has
// spent. elapsedTimes is safe for concurrent use.
type elapsedTimes struct {
	mu     sync.Mutex                 // guards routes
	routes map[string]*longestTimeout // by name of the route
}

// longestTimeout is the longest remaining time that callers of a route stated, in the present
// period and in the one before. A period takes timeoutPeriod or longer.
type longestTimeout struct {
	periodStart       time.Time     // start of the present period
	current, previous time.Duration // longest time stated in the present period and in the one before
}

// timeoutPeriod is the minimum length of a period. For each period, the longest remaining time
// stated by callers of a route is tracked. A period ends with the first request of the route
// after timeoutPeriod has passed. The longest time of a period is kept until the end of the next
// one, and then expires because callers change their timeouts.
const timeoutPeriod = 10 * time.Second

func newElapsedTimes() *elapsedTimes { return &elapsedTimes{routes: make(map[string]*longestTimeout)} }

// observe records timeout, the remaining time that a caller of a route states. It returns how
// much less this is than the longest time that callers of the route stated recently: the time
// that the caller has spent.
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

// maxElapsedShare is the longest time that a caller is assumed to need for connecting to a VM,
// as a share of the latency objective. If a longer time was measured on the caller's
// connection, for opening it and for the network time to this VM, that time is the bound.
const maxElapsedShare = 0.25

// elapsed returns how long before its arrival a request began: the time that its caller spent on
// connecting, and the network time to this VM. shortfall is how much less remaining time the caller
// states than other callers of the route. objective is the route's latency objective. A shortfall
// that is no longer than connecting can take is taken as the time spent on connecting. A longer one
// means that the request is a repeat after a failure. A repeat is either late already or counts from
// the time at which it was sent, so its shortfall is ignored.
func (p callerPath) elapsed(shortfall, objective time.Duration) time.Duration {
	if shortfall > max(time.Duration(maxElapsedShare*float64(objective)), p.connectTime+p.oneWay) {
		shortfall = 0
	}
	return max(shortfall, p.connectTime) + p.oneWay
}

// minAnswerShare is the part of the latency objective that answering a request takes at least.
const minAnswerShare = 0.5

// freshFor returns how long after its arrival a request can still be begun so that its answer meets the
// latency objective; it is 0 or negative if it is too late. Other than elapsed it counts from when the
// caller first sent the request, so shortfall is taken as it is.
func (p callerPath) freshFor(shortfall, objective time.Duration) time.Duration {
	if objective <= 0 {
		return allotment.NoObjective
	}
	return time.Duration((1-minAnswerShare)*float64(objective)) - max(shortfall, p.connectTime) - p.oneWay
}

// Parameters of the time at which a gathered request is answered although shards are missing.
// Until the latency objective, an answer is worth the square of its share of the shards;
// afterwards it is worth a tenth of that. So it is sent just early enough to be written and to
// reach the caller before the objective.
const (
	assumedOneWay        = 2 * time.Millisecond // one-way network time to a caller, if it is unknown
	answerWriteTimeShare = 0.05                 // further time for writing the answer, as a share of the latency objective
	// answerWork is the processor time, on a whole core, for merging and writing an answer and
	// for what else is due at that moment. A VM with a part of a core takes longer.
	answerWork = time.Millisecond
)

// answerWriteTime returns how long a VM of the given power, in cores, takes to write an answer,
// without the part that grows with the latency objective.
func answerWriteTime(power float64) time.Duration {
	return time.Duration(float64(answerWork) / power)
}

// answerBy returns the latest time to send the answer to a request that began at start, if writing
// the answer takes writeTime. This is early enough for the answer to reach the caller within the
// latency objective, but not before half of the objective has passed.
func (p callerPath) answerBy(start time.Time, objective, writeTime time.Duration) time.Time {
	oneWay := p.oneWay
	if oneWay == 0 {
		oneWay = assumedOneWay
	}
	early := oneWay + writeTime + time.Duration(answerWriteTimeShare*float64(objective))
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
