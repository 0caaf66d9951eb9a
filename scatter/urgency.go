package scatter

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/fairshare"
)

// Urgency and fair shares.
//
// The problem: where the leafs have room for only some of the requests, who comes first decides who
// is served. A burst of requests that can wait then fills the queues in front of those that can't,
// and one tenant that sends many times its usual takes the room of all others.
//
// The VM that sends requests to the leafs therefore decides by rank and tenant, as package fairshare
// orders them, while room is short: which requests to refuse at once, which waiting shard gets the
// next leaf, and who yields hedges and the rest of the budget. A request yields before anything was
// sent for it, never after. Nothing changes while no request is refused or left short for room.

// Parameters of decisions by rank and tenant.
const (
	// shortageMemory is the time for which room counts as short after a request was refused or
	// left short for want of room.
	shortageMemory = 2 * time.Second
	// rankLimitMemory is the time after which the wait limit of a rank without requests no
	// longer bounds less urgent ones.
	rankLimitMemory = 2 * time.Second
	// rankLimitWeight is the weight of a new request in the smoothed wait limit of its rank.
	rankLimitWeight = 0.1
	// minWaitLimit is the shortest limit of an expected wait that bounds less urgent requests.
	minWaitLimit = 4 * time.Millisecond
	// entitledWaitShare is what the longest wait with which the forecast admits a request grows
	// by while room is short, as a share of the slack, for the most entitled request.
	entitledWaitShare = 0.3
	// hedgeCut is the position above which a request sends no hedges while room is short.
	hedgeCut = 0.5
	// typicalDraw is the draw of a request that stands for all of its tenant's requests.
	typicalDraw = 0.5
	// budgetReserveShare is the share of a service's budget of extra arrivals that is kept for
	// more urgent ranks, if there are any.
	budgetReserveShare = 0.25
	// minMoreUrgent is the share of the demand that has to be more urgent for that.
	minMoreUrgent = 0.02
	// firstPollInterval is the time between two checks of the shard that comes first among
	// those that wait for a leaf of a service.
	firstPollInterval = 2 * time.Millisecond
)

// urgency holds what decisions by rank and tenant are based on.
type urgency struct {
	weights  map[string]float64 // shares of tenants, see Table.SetTenants
	gathered *pool              // of gathered requests; the pools of other requests are held by their services
}

// pool is a kind of room for which requests compete: that of all gathered requests, or that of the
// other requests to one service.
type pool struct {
	shares     *fairshare.Shares // recent demand
	level      fairshare.Level   // up to which requests are served
	shortUntil time.Time         // room counts as short until then
	limits     [fairshare.Ranks]rankLimit
	yielded    recentYield // the zero value if none did lately
}

// newPool returns the pool of a kind of room that nobody has asked for.
func newPool(weights map[string]float64) *pool {
	p := &pool{shares: fairshare.New()}
	p.shares.SetWeights(weights)
	return p
}

// recentYield is the latest request that yielded. It answers for others that come just after it, need
// the same shards and are no more entitled, so that refusing thousands of them costs little.
type recentYield struct {
	at       time.Time
	first    string // service of the first shard that the VM queries itself
	shards   int    // number of these shards
	position float64
	wait     time.Duration
}

// recentYieldLifetime is the time for which a request that yielded answers for others.
const recentYieldLifetime = 5 * time.Millisecond

// rankLimit is the wait after which requests of one rank are refused by the forecast.
type rankLimit struct {
	wait time.Duration // smoothed; 0 if there was no request
	at   time.Time     // time of the latest request
}

// SetTenants switches decisions by rank and tenant on or off. weights are the tenants' shares of the
// room within a rank, for instance the rates that they may use. A tenant without a weight has the
// mean of the others.
func (t *Table) SetTenants(on bool, weights map[string]float64) {
	if !on {
		t.urgency = nil
		for _, s := range t.services {
			s.pool = nil
		}
		return
	}
	if t.urgency == nil {
		t.urgency = &urgency{gathered: newPool(weights)}
	}
	t.urgency.weights = weights
	t.urgency.gathered.shares.SetWeights(weights)
	for _, s := range t.services {
		if s.pool != nil {
			s.pool.shares.SetWeights(weights)
		}
	}
}

// pool returns the pool of the room that the query needs, nil if all requests are equal.
func (q *Query) pool() *pool {
	u := q.table.urgency
	if u == nil {
		return nil
	}
	if q.spec.Gathered {
		return u.gathered
	}
	s := q.table.service(q.startedAt, q.shards[0].service)
	if s.pool == nil {
		s.pool = newPool(u.weights)
	}
	return s.pool
}

// short reports whether room is short.
func (p *pool) short(now time.Time) bool { return now.Before(p.shortUntil) }

// recordShortage records that the request was refused or left short for want of room.
func (q *Query) recordShortage(now time.Time) {
	if p := q.pool(); p != nil {
		p.shortUntil = now.Add(shortageMemory)
	}
}

// recordLimit records the wait limit of a request.
func (p *pool) recordLimit(now time.Time, rank int, wait time.Duration) {
	l := &p.limits[min(max(rank, 0), fairshare.Ranks-1)]
	if l.wait == 0 || now.Sub(l.at) > rankLimitMemory {
		l.wait = wait
	}
	l.wait += time.Duration(rankLimitWeight * float64(wait-l.wait))
	l.at = now
}

// tightest returns the smallest of limit and the limits of the more urgent ranks. Less urgent
// requests often have more time. If they were refused only once the wait is too long for
// themselves, they would fill the queues beyond what more urgent ones can wait.
func (p *pool) tightest(now time.Time, rank int, limit time.Duration) time.Duration {
	for _, l := range p.limits[:min(max(rank, 0), fairshare.Ranks-1)] {
		if l.wait > 0 && now.Sub(l.at) <= rankLimitMemory {
			limit = min(limit, l.wait)
		}
	}
	return max(limit, minWaitLimit)
}

// waitLimit returns the longest expected wait at a shard with which the request is worth starting.
func (q *Query) waitLimit(now time.Time) time.Duration {
	if !q.spec.Gathered {
		return time.Duration(leafWaitShare * float64(q.spec.LatencyObjective))
	}
	leafTime, _ := q.leafTime(now)
	return time.Duration(maxWaitShare * float64(max(q.spec.AnswerBy.Sub(now)-leafTime, 0)))
}

// leafTime returns the leaf's part of the typical duration of the request, and that duration.
func (q *Query) leafTime(now time.Time) (leafTime, typical time.Duration) {
	typical, _ = q.table.typicalDuration(now, q.durationKey())
	leafTime, _ = q.table.forecastOf(q.durationKey()).split(now, typical)
	return leafTime, typical
}

// neededWait returns the longest expected wait at a shard that the request can't leave out, among
// those with the given indexes.
func (q *Query) neededWait(now time.Time, shards []int) time.Duration {
	leafTime, typical := q.leafTime(now)
	waits := make([]time.Duration, 0, len(shards))
	for _, i := range shards {
		waits = append(waits, q.eta(now, &q.shards[i], typical, leafTime)-leafTime)
	}
	slices.Sort(waits)
	n := len(waits) - q.omissionsAllowed(len(shards))
	if !q.spec.Gathered {
		n = len(waits)
	}
	if n <= 0 {
		return 0
	}
	return max(waits[n-1], 0)
}

// position returns the position of the request among the recent demand, from 0 to 1, the lowest
// first. draw is that of the request, or typicalDraw. There has to be a pool.
func (q *Query) position(now time.Time, draw float64) float64 {
	return q.pool().shares.Position(now, q.spec.Rank, q.spec.Tenant, draw)
}

// yield refuses the request if room is short and others come before it. It returns the actions that
// end the query, nil if the request goes on. ownShards are the indexes of the shards that this VM
// queries itself. A request that another VM may have started does not yield.
func (q *Query) yield(now time.Time, ownShards []int) []Action {
	p := q.pool()
	q.yielded.Ranked = p != nil
	if p == nil || len(ownShards) == 0 || q.spec.Redelegated {
		return nil
	}
	p.shares.Ask(now, q.spec.Rank, q.spec.Tenant, float64(len(ownShards)))
	limit := q.waitLimit(now)
	p.recordLimit(now, q.spec.Rank, limit)
	if !p.short(now) {
		return nil
	}
	limit = p.tightest(now, q.spec.Rank, limit)
	position := q.position(now, fairshare.Draw(q.spec.RequestID, now))
	first := q.shards[ownShards[0]].service
	recent := p.yielded.first == first && p.yielded.shards == len(ownShards) &&
		now.Sub(p.yielded.at) < recentYieldLifetime && position >= p.yielded.position
	wait := p.yielded.wait
	if !recent {
		wait = q.neededWait(now, ownShards)
	}
	if wait > never/2 {
		// A shard has no leaf that could be reached, which is no lack of room.
		return nil
	}
	pressure := float64(wait) / float64(limit)
	if p.level.Admits(now, pressure, position) {
		p.yielded = recentYield{}
		return nil
	}
	if !recent {
		p.yielded = recentYield{at: now, first: first, shards: len(ownShards), position: position, wait: wait}
	}
	q.yielded.Request = true
	if pressure > fairshare.TargetPressure {
		q.recordShortage(now)
	}
	q.refusal = &Refusal{Wait: wait, Limit: limit, Position: position, Level: p.level.Now()}
	q.retryAfter = q.yieldDelay(now, wait, limit)
	for i := range q.shards {
		if s := &q.shards[i]; !s.declined {
			s.close(GapForecast)
		}
	}
	return q.finish(q.failureOutcome(TooFewShards))
}

// yieldDelay returns the delay after which the caller of a refused request should retry: the time
// by which the wait exceeds the limit, plus a random share of the time left, which keeps callers
// from retrying together. Its bounds are those of other refusals.
func (q *Query) yieldDelay(now time.Time, wait, limit time.Duration) time.Duration {
	timeLeft := float64(q.spec.Deadline.Sub(now))
	share := minRetryDelayShare + (maxRetryDelayShare-minRetryDelayShare)*q.table.rng.Float64()
	delay := min(max(wait-limit, 0)+time.Duration(share*timeLeft), time.Duration(maxRetryDelayShare*timeLeft))
	return min(max(delay, minRetryAfter), maxRetryAfter)
}

// Yields are what a query left to others while room was short.
type Yields struct {
	Ranked  bool // decisions by rank and tenant were on; otherwise all fields are zero
	Request bool // the request was refused, although the forecast might have admitted it
	Hedges  int  // hedges that were due and not sent
	Retries int  // retries for which the rest of the budget was kept for more urgent requests
}

// Yields returns what the query left to others so far.
func (q *Query) Yields() Yields { return q.yielded }

// yieldsHedge reports whether the query sends no hedges, since room is short and others come before
// it.
func (q *Query) yieldsHedge(now time.Time) bool {
	p := q.pool()
	return p != nil && p.short(now) && q.position(now, typicalDraw) > hedgeCut
}

// budgetReserveShare returns the share of the budget of extra arrivals that the query leaves to more
// urgent ones.
func (q *Query) budgetReserveShare(now time.Time) float64 {
	p := q.pool()
	if p == nil || p.shares.MoreUrgent(now, q.spec.Rank) < minMoreUrgent {
		return 0
	}
	return budgetReserveShare
}

// maxWaitShare returns the longest expected wait with which the forecast admits the request, as a
// share of the slack. Less urgent requests yield before that while room is short, so that the reserve
// for other requests may be smaller.
func (q *Query) maxWaitShare(now time.Time) float64 {
	p := q.pool()
	if p == nil || !p.short(now) {
		return maxWaitShare
	}
	return maxWaitShare + entitledWaitShare*(1-q.position(now, typicalDraw))
}
