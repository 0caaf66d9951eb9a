package scatter

import (
	"math"
	"slices"
	"time"
)

// Admission of gathered requests.
//
// The problem: some shards have fewer slots than requests need, since a leaf is slow,
// unreachable or stopped. Once there are more such shards than an answer may leave out, no
// request is answered in time, although the slots would suffice for most requests. Each
// request waits behind parts of others that are equally late, occupies slots of all other
// shards, fails, and is retried.
//
// Therefore, before anything is sent, the VM that queries the leafs forecasts when each shard
// could answer. The forecast uses the load and slowdown that the leafs state, the VM's own
// requests in flight, and the typical duration of that kind of request. Parts that would be
// too late are not sent. A request that lacks too many parts is refused at once: it has not
// run, and its caller is told when to retry.

// admit decides whether to start the request, from the shards that this VM queries itself; a
// VM that is called decides for its own shards. Shards that can't answer in time are closed.
func (q *Query) admit(now time.Time, ownShards []int) bool {
	q.omissionsLeft = q.omissionsAllowed(len(ownShards))
	if !q.spec.Gathered || q.table.admitAll {
		return true
	}
	typical, _ := q.table.typicalDuration(now, q.durationKey())
	slack := max(q.spec.AnswerBy.Sub(now)-typical, 0)
	var waits []time.Duration
	var late []int
	for _, i := range ownShards {
		wait := q.eta(now, &q.shards[i]) - typical
		waits = append(waits, wait)
		if wait > slack {
			late = append(late, i)
		}
	}
	slices.Sort(waits)
	longest := time.Duration(maxWaitShare * float64(slack))
	if n := len(waits) - q.omissionsLeft; n > 0 && waits[n-1] > longest {
		q.refuse(now, Refusal{Wait: waits[n-1], Limit: longest})
		return false
	}
	for _, i := range late {
		q.omitShard(now, &q.shards[i])
	}
	q.omissionsLeft = max(q.omissionsLeft-len(late), 0)
	return true
}

// Parameters of holding back this VM's own shards.
const (
	holdThreshold = 0.05 // share of refused calls above which they are held back
	// holdTime is about as long as a call and its refusal take.
	holdTime = 3 * time.Millisecond
)

// holdsOwnShards reports whether the shards that this VM queries itself wait until called VMs
// have had time to refuse. Where calls are refused occasionally, leafs would otherwise work on
// the other shards without use, and the caller could not be told that its request has not run.
func (q *Query) holdsOwnShards(now time.Time, calls []delegation) bool {
	return len(calls) > 0 && q.table.callRefusalRate.current(now) > holdThreshold
}

// omissionsAllowed returns how many shards an answer may leave out. For a delegated request
// these are shards that this VM queries.
func (q *Query) omissionsAllowed(ownShards int) int {
	if !q.spec.Delegated {
		return q.maxOmissions()
	}
	return ownShards - min(q.spec.Required, ownShards)
}

// maxOmissions returns how many shards an answer may leave out.
func (q *Query) maxOmissions() int {
	n := float64(len(q.shards))
	return len(q.shards) - max(int(math.Ceil(q.spec.MinShare*n-roundingSlack)), 1)
}

// roundingSlack keeps a share that is a whole number of shards from being rounded up.
const roundingSlack = 1e-9

// omitShard closes a shard that is not queried. The request still counts for its budget.
func (q *Query) omitShard(now time.Time, s *shard) {
	s.close(GapForecast)
	if !s.budgetCounted {
		s.budgetCounted = true
		q.table.service(now, s.service).budget.countRequest(now, q.spec.BudgetWeight)
	}
}

// Bounds of the retry delay of a refused caller, as shares of the time that it has left. The
// delay is random between them, so that callers that were refused together don't return
// together. Most callers wait no longer than that, and the remaining time is enough for
// another attempt.
const (
	minReturnShare = 0.1
	maxReturnShare = 0.33
)

// Refusal is the forecast that led to refusing a request.
type Refusal struct {
	Wait  time.Duration // expected at the scarcest shard that the answer needs
	Limit time.Duration // longest wait that would have been accepted
}

// refuse closes all shards and sets the retry delay.
func (q *Query) refuse(now time.Time, refusal Refusal) {
	q.refusal = &refusal
	for i := range q.shards {
		if s := &q.shards[i]; !s.declined {
			q.omitShard(now, s)
		}
	}
	left := float64(q.spec.Deadline.Sub(now))
	random := minReturnShare + (maxReturnShare-minReturnShare)*q.table.rng.Float64()
	after := min(refusal.Wait-refusal.Limit+time.Duration(random*left), time.Duration(maxReturnShare*left))
	q.retryAfter = min(max(after, minRetryAfter), maxRetryAfter)
}

// Parameters of a forecast.
const (
	// maxWaitShare is the share of the slack that a request may have to wait at a shard
	// that it needs. The slack is the time that it has beyond its typical duration. Other
	// VMs start requests at the same time, some work takes longer than usual, and leafs
	// pause.
	maxWaitShare = 0.4
	// sendMargin is the tolerance for sending a part that is expected to be late: it is not
	// sent if its expected duration exceeds the time left by more than this factor.
	sendMargin = 2
	// drainShare is the share of a leaf's capacity by which its queue is taken to have
	// shrunk since the last report: other VMs keep sending.
	drainShare = 0.5
)

// never is the forecast for a shard without a leaf that could be queried.
const never = time.Hour

// eta returns the time until a shard would answer, at the best of its leafs, behind the
// requests that already wait for one of them.
func (q *Query) eta(now time.Time, s *shard) time.Duration {
	typical, _ := q.table.typicalDuration(now, q.durationKey())
	best := time.Duration(never)
	slots := 0.0 // in leafs of usual speed
	var work time.Duration
	for _, l := range q.candidates(s) {
		if l.suspicion.raised {
			continue
		}
		best = min(best, l.eta(now, typical))
		slots += float64(l.Slots) / l.slowdown.factor(now)
		work = max(work, l.typicalWork)
	}
	if best == never {
		return never
	}
	ahead := float64(q.table.services[s.service].waiting)
	return best + time.Duration(ahead/slots*float64(work))
}

// eta returns the time until the leaf would answer a request with the given typical duration.
func (l *leaf) eta(now time.Time, typical time.Duration) time.Duration {
	d := l.expected(now, typical) + l.backlog(now)
	if l.cooldown.active(now) {
		d += l.cooldown.until.Sub(now)
	}
	if l.stalled(now) {
		d += stallCost
	}
	return d
}

// backlog returns the time until a slot of the leaf is free.
func (l *leaf) backlog(now time.Time) time.Duration {
	ahead := float64(len(l.inFlight)) + l.queued(now) + 1 - float64(l.Slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(l.Slots) * float64(l.expected(now, l.typicalWork)))
}

// queued returns how many requests of other VMs the leaf has: those of the last report, less
// those that it has completed since.
func (l *leaf) queued(now time.Time) float64 {
	age := now.Sub(l.reportedAt)
	if age >= reportLifetime || l.othersReported == 0 {
		return 0
	}
	done := drainShare * float64(l.Slots) * float64(age) / float64(max(l.expected(now, l.typicalWork), time.Millisecond))
	return max(l.othersReported-done, 0)
}
