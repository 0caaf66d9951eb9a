package scatter

import (
	"math"
	"slices"
	"time"
)

// Admission of gathered requests.
//
// A gathered request makes attempts on several shards, and its answer may leave some shards out.
// An attempt is a request to a leaf of one shard.
//
// The problem: some shards have fewer slots than requests need, since a leaf is slow,
// unreachable or stopped. Once there are more such shards than an answer may leave out, no
// request is answered in time, although the slots would suffice for most requests. Each
// request waits behind attempts of others that are equally late, occupies slots of all other
// shards, fails, and is retried.
//
// Therefore, before anything is sent, the VM that queries the leafs forecasts when each shard
// could answer. The forecast uses the load and slowdown that the leafs report, the VM's own
// requests in flight, and the typical duration of that kind of request. No attempt is made on
// shards that would be too late. A request that would lack too many shards is refused at once:
// it has not run, and its caller gets a delay after which to retry.

// admit decides whether to start the request. It returns nil if the request is admitted, and
// otherwise the forecast by which it has to be refused. ownShards are the indexes of the shards that this VM queries itself.
// Other VMs that it calls decide about theirs.
//
// AnswerBy is the time at which the request is answered with the parts received so far. The slack
// of a request is the time until AnswerBy less its leaf time. The wait at a shard is the expected
// time until its answer less the leaf time, and contains no time that passes in this VM (see
// forecast). The request is refused if the wait at a shard that it can't leave out exceeds
// maxWaitShare of the slack, or if the time that passes in this VM leaves no time for a leaf. If the
// request is admitted, shards whose wait exceeds the whole slack are closed: nothing is sent for
// them.
func (q *Query) admit(now time.Time, ownShards []int) *Refusal {
	q.omissionsLeft = q.omissionsAllowed(len(ownShards))
	if !q.spec.Gathered || q.table.admitAll {
		return nil
	}
	typical, _ := q.table.typicalDuration(now, q.durationKey())
	f := q.table.forecastOf(q.durationKey())
	leafTime, ownTime := f.split(now, typical)
	timeLeft := q.spec.AnswerBy.Sub(now)
	slack := max(timeLeft-leafTime, 0)
	var waits []time.Duration
	var late []int
	for _, i := range ownShards {
		wait := q.eta(now, &q.shards[i], typical, leafTime) - leafTime
		waits = append(waits, wait)
		if wait > slack {
			late = append(late, i)
		}
	}
	slices.Sort(waits)
	maxWait := time.Duration(q.maxWaitShare(now) * float64(slack))
	// The shards with the longest waits are left out, as many as allowed. The n others are
	// needed, and waits[n-1] is the longest wait at one of them.
	if n := len(waits) - q.omissionsLeft; n > 0 {
		refusal := Refusal{Wait: waits[n-1], Limit: maxWait}
		if ownTime+leafTime > timeLeft && q.yieldsIfLate(now, ownShards, refusal.Wait) {
			refusal.OwnTime = ownTime
		}
		// Where no leaf may be used, nothing is left to find out.
		known := refusal.Wait+leafTime >= never
		if (refusal.Wait > refusal.Limit || refusal.OwnTime > 0) && (known || !f.probes(now)) {
			return &refusal
		}
	}
	for _, i := range late {
		q.omitShard(now, &q.shards[i])
	}
	q.omissionsLeft = max(q.omissionsLeft-len(late), 0)
	return nil
}

// yieldsIfLate reports whether a request is refused where the time that passes in this VM leaves no
// time for a leaf. wait is the longest wait at a shard that the answer can't leave out. Where nobody
// else can be asked and leafs are idle, a late VM is still of use.
func (q *Query) yieldsIfLate(now time.Time, ownShards []int, wait time.Duration) bool {
	if q.spec.Delegated {
		return !q.spec.Final
	}
	return wait > 0 || q.spec.MayDelegate && len(q.delegateOwnShards(now, ownShards)) > 0
}

// A request's own shards are those that this VM queries itself, while other VMs that it calls
// query the rest. The queries of the own shards may be delayed until the called VMs have had time
// to refuse.
const (
	// refusalRateForDelay is the share of this VM's calls that other VMs refuse, from 0 to
	// 1, above which this VM delays its own shards: those that it queries itself.
	refusalRateForDelay = 0.05
	// ownShardsDelay is how long the shards that this VM queries itself are delayed: about
	// as long as a call to another VM and its refusal take.
	ownShardsDelay = 3 * time.Millisecond
)

// delaysOwnShards reports whether the shards that this VM queries itself are sent only after
// ownShardsDelay, when called VMs have had time to refuse. If the shards were sent at once and a
// called VM then refused, leafs would work on them for nothing, and this VM could no longer
// answer its caller that the request has not run. The delay is used only while more than
// refusalRateForDelay of the calls are refused.
func (q *Query) delaysOwnShards(now time.Time, calls []delegation) bool {
	return len(calls) > 0 && q.table.callRefusalRate.current(now) > refusalRateForDelay
}

// omissionsAllowed returns how many shards may be left out when the request starts. ownShards is
// the number of shards that this VM queries itself. If another VM delegated the request to this
// one, only these shards count. The field Required of the Spec is then the number of answered
// shards that the calling VM needs.
func (q *Query) omissionsAllowed(ownShards int) int {
	if !q.spec.Delegated {
		return q.maxOmissions()
	}
	return ownShards - min(q.spec.Required, ownShards)
}

// maxOmissions returns how many of all shards an answer may leave out, given the minimum share
// MinShare. At least one shard has to be answered.
func (q *Query) maxOmissions() int {
	n := float64(len(q.shards))
	return len(q.shards) - max(int(math.Ceil(q.spec.MinShare*n-roundingSlack)), 1)
}

// roundingSlack is subtracted from a number of shards before it is rounded up. A product that
// is a whole number except for floating-point error is thus not rounded up to the next one.
const roundingSlack = 1e-9

// omitShard closes a shard that is not queried, since no leaf takes requests or is expected to
// answer in time. The
// request is still counted in the service's budget, which allows hedges and retries in proportion
// to requests.
func (q *Query) omitShard(now time.Time, s *shard) {
	cause := GapForecast
	if !q.table.HasUsableLeaf(s.service) {
		cause = q.table.gapWithoutLeaf(s.service)
	}
	s.close(cause)
	if !s.budgetCounted {
		s.budgetCounted = true
		q.table.service(now, s.service).budget.countRequest(now, q.spec.BudgetWeight)
	}
}

// Bounds of the delay after which a refused caller should retry. A random part of the delay
// between the two bounds keeps callers that were refused together from retrying together. Most
// callers wait no longer than the upper bound, and the remaining time is enough for another
// attempt.
const (
	// minRetryDelayShare is the shortest random part of the delay before a refused caller
	// retries, as a share of the time until the caller's deadline.
	minRetryDelayShare = 0.1
	// maxRetryDelayShare is the longest random part of the delay before a refused caller
	// retries, and also the longest such delay, as a share of the time until the caller's
	// deadline.
	maxRetryDelayShare = 0.33
)

// Refusal is the forecast that led to refusing a request.
type Refusal struct {
	Wait  time.Duration // longest expected wait at a shard that the answer can't leave out
	Limit time.Duration // longest wait that would have been accepted
	// OwnTime is the time that passes in this VM, if it leaves no time for a leaf; 0 otherwise.
	OwnTime time.Duration
	// Stopping is true if this VM stops before the request is expected to end. Wait is then the
	// expected duration, and Limit the time until the VM stops.
	Stopping bool
	// Position and Level are set if the request yielded to others while room was short: its
	// position among the recent demand, and up to which position requests are served, from 0
	// to 1. Otherwise they are 0, and the forecast alone refused the request.
	Position, Level float64
}

// refuse closes all shards and sets the delay after which the caller should retry. The delay is
// the time by which the expected wait exceeds the limit, plus a random share of the time left
// until the deadline. It is at most maxRetryDelayShare of the time left, and always between
// minRetryAfter and maxRetryAfter.
func (q *Query) refuse(now time.Time, refusal Refusal) {
	q.refusal = &refusal
	for i := range q.shards {
		s := &q.shards[i]
		// The VM that is called next for a delegated request counts it in its budget.
		s.budgetCounted = s.budgetCounted || q.spec.Delegated
		if !s.declined {
			q.omitShard(now, s)
		}
	}
	timeLeft := float64(q.spec.Deadline.Sub(now))
	randomShare := minRetryDelayShare + (maxRetryDelayShare-minRetryDelayShare)*q.table.rng.Float64()
	delay := min(refusal.Wait-refusal.Limit+time.Duration(randomShare*timeLeft), time.Duration(maxRetryDelayShare*timeLeft))
	q.retryAfter = min(max(delay, minRetryAfter), maxRetryAfter)
}

// Parameters of a forecast.
const (
	// maxWaitShare limits the expected wait at a shard that a request can't leave out, as
	// a share of the slack. AnswerBy is when the request is answered with the parts received
	// so far, and the slack is the time until AnswerBy less the request's typical duration.
	// The remainder of the slack is a reserve, since other VMs start requests at the same
	// time, some work takes longer than usual, and leafs pause.
	maxWaitShare = 0.4
	// latenessTolerance limits the expected duration of a request to a leaf, as a multiple
	// of the time left until its answer is needed. A request that is expected to take longer
	// is not sent to the leaf.
	latenessTolerance = 2
	// queueDrainShare is the share of a leaf's slots, from 0 to 1, that are assumed to work
	// on the requests in the leaf's latest load report. The other slots are assumed to work
	// on requests that other VMs have sent since.
	queueDrainShare = 0.5
)

// never is the expected time until a shard's answer if it has no leaf that could be queried.
const never = time.Hour

// eta returns the expected time from now until a shard answers. It is the time until the answer of
// the leaf that is expected to answer first, plus the time for this VM's queries that already wait
// for a leaf of the shard. Suspect leafs and those too cold for another request don't count. If no
// other leaf may be used, the result is the constant never. The result contains only leaf time:
// leafTime is that part of the typical duration of the request.
func (q *Query) eta(now time.Time, s *shard, typical, leafTime time.Duration) time.Duration {
	leafShare := float64(leafTime) / float64(max(typical, 1))
	best := time.Duration(never)
	slots := 0.0           // of all leafs, where a slot of a leaf that is twice as slow counts half
	var work time.Duration // longest typical duration of the recent requests to one leaf
	for _, l := range q.candidates(s) {
		if l.suspicion.raised || !q.table.admitsCold(now, l) {
			continue
		}
		best = min(best, l.etaOfLeaf(now, leafTime, leafShare))
		slots += float64(l.Slots) / l.slowdown.factor(now)
		work = max(work, l.typicalWork)
	}
	if best == never {
		return never
	}
	// The queries that already wait are assumed to be served first, by all slots in parallel.
	ahead := float64(q.waitersAhead(now, s))
	return best + time.Duration(ahead/slots*leafShare*float64(work))
}

// eta returns the expected time from now until the leaf answers one more request, where
// typical is the duration of such a request at a leaf of usual speed. It includes the queue,
// the remaining cooldown, and a surcharge if the leaf is stalled.
func (l *leaf) eta(now time.Time, typical time.Duration) time.Duration {
	return l.etaOfLeaf(now, typical, 1)
}

// etaOfLeaf is eta in the leaf's time only. leafTime is the leaf's part of the duration of such a
// request, and leafShare its share of that duration, from 0 to 1.
func (l *leaf) etaOfLeaf(now time.Time, leafTime time.Duration, leafShare float64) time.Duration {
	d := l.expected(now, leafTime) + l.backlog(now, leafShare)
	if l.cooldown.active(now) {
		d += l.cooldown.until.Sub(now)
	}
	if l.stalled(now) {
		d += stalledLeafDelay
	}
	return d
}

// backlog returns the expected time until the leaf has a free slot for one more request. leafShare is
// the leaf's share of the typical duration of requests, from 0 to 1.
func (l *leaf) backlog(now time.Time, leafShare float64) time.Duration {
	work := l.expected(now, time.Duration(leafShare*float64(l.typicalWork)))
	// ahead is the number of requests that have to end first: those of this VM and of other
	// VMs, plus the new one, less those that run at the same time.
	ahead := float64(len(l.inFlight)) + l.othersRemaining(now, work) + 1 - float64(l.Slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(l.Slots) * float64(work))
}

// othersRemaining returns the estimated number of requests of other VMs at the leaf: those in its
// last load report, less those that it is assumed to have completed since. It is 0 if the report
// is older than reportedLoadLifetime. Forecasts use it; the choice between leafs uses
// othersEstimate. work is the expected time of a typical request.
func (l *leaf) othersRemaining(now time.Time, work time.Duration) float64 {
	age := now.Sub(l.reportedAt)
	if age >= reportedLoadLifetime || l.othersReported == 0 {
		return 0
	}
	// Each slot completes one request in the expected time of a typical one, at least 1 ms.
	done := queueDrainShare * float64(l.Slots) * float64(age) / float64(max(work, time.Millisecond))
	return max(l.othersReported-done, 0)
}
