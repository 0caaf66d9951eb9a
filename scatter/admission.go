package scatter

import (
	"math"
	"slices"
	"time"
)

// Admission of gathered requests.
//
// The load it answers: some shards have fewer slots than requests need, since a leaf is slow,
// dark or gone. Once these are more than an answer may leave out, no request is answered in
// time, although most of the slots would do: each one waits behind parts of others that are
// as late, keeps the slots of all other shards busy, fails, and comes back.
//
// So before anything is sent, the VM that asks the leafs forecasts when each shard could
// answer, from the leafs' stated load and pace, its own requests in flight, and how long
// requests of that kind usually take. Parts that would come too late are not sent, and a
// request that lacks too many of them is refused at once: it has not run, and its caller is
// told when to come back.

// admit decides whether the request is worth beginning, by the shards that this VM asks itself;
// a VM that is called decides by its own. Those that can't answer in time are closed.
func (q *Query) admit(now time.Time, own []int) bool {
	q.omissionsLeft = q.omissionsAllowed(len(own))
	if !q.spec.Gathered || q.table.admitAll {
		return true
	}
	usual, _ := q.table.typicalDuration(now, q.durationKey())
	slack := max(q.spec.AnswerBy.Sub(now)-usual, 0)
	var waits []time.Duration
	var late []int
	for _, i := range own {
		wait := q.eta(now, &q.shards[i]) - usual
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

// Parameters of holding back own shards.
const (
	holdThreshold = 0.05 // share of refused calls from which they are held
	// holdTime is about what a call and its refusal take.
	holdTime = 3 * time.Millisecond
)

// holdsOwnShards reports whether the shards that this VM asks itself wait until called VMs had the
// time to refuse. Where calls are refused now and then, leafs would work on the other shards
// for nobody, and the caller could not be told that its request has not run.
func (q *Query) holdsOwnShards(now time.Time, calls []delegation) bool {
	return len(calls) > 0 && q.table.callRefusalRate.current(now) > holdThreshold
}

// omissionsAllowed is how many shards an answer can do without, of a delegated request how many of those
// that this VM asks.
func (q *Query) omissionsAllowed(own int) int {
	if !q.spec.Delegated {
		return q.maxOmissions()
	}
	return own - min(q.spec.Required, own)
}

// maxOmissions is how many shards an answer can do without.
func (q *Query) maxOmissions() int {
	n := float64(len(q.shards))
	return len(q.shards) - max(int(math.Ceil(q.spec.MinShare*n-roundingSlack)), 1)
}

// roundingSlack keeps a share that is a whole number of shards from being rounded up.
const roundingSlack = 1e-9

// omitShard closes a shard that is not asked. The request counts for its budget all the same.
func (q *Query) omitShard(now time.Time, s *shard) {
	s.close(GapForecast)
	if !s.budgetCounted {
		s.budgetCounted = true
		q.table.service(now, s.service).budget.countRequest(now, q.spec.BudgetWeight)
	}
}

// Parameters of the time that a refused caller is told, as parts of the time that it has left:
// random between these, so that those who were refused together don't come back together. Most
// callers don't wait for longer, and what remains does for another attempt.
const (
	minReturnShare = 0.1
	maxReturnShare = 0.33
)

// Refusal is the forecast for which a request was refused.
type Refusal struct {
	Wait  time.Duration // at the scarcest shard that the answer needs
	Limit time.Duration // that would have been borne
}

// refuse closes all shards.
func (q *Query) refuse(now time.Time, why Refusal) {
	q.refusal = &why
	for i := range q.shards {
		if s := &q.shards[i]; !s.declined {
			q.omitShard(now, s)
		}
	}
	left := float64(q.spec.Deadline.Sub(now))
	random := minReturnShare + (maxReturnShare-minReturnShare)*q.table.rng.Float64()
	after := min(why.Wait-why.Limit+time.Duration(random*left), time.Duration(maxReturnShare*left))
	q.retryAfter = min(max(after, minRetryAfter), maxRetryAfter)
}

// Parameters of a forecast.
const (
	// maxWaitShare is the part of the slack, which is what a request has beyond its usual
	// time, that it may have to wait at a shard that it needs. Other VMs begin requests at
	// the same time, some work takes longer than usual, and leafs pause.
	maxWaitShare = 0.4
	// sendMargin is how many times too late a part must be expected for not being sent.
	sendMargin = 2
	// drainShare is the part of what a leaf can run that its queue has become shorter by since
	// the last report: other VMs go on sending.
	drainShare = 0.5
)

// never is the forecast of a shard without a leaf that could be asked.
const never = time.Hour

// eta is the time until a shard would answer, at the best of its leafs, behind the requests
// that wait for one of them already.
func (q *Query) eta(now time.Time, s *shard) time.Duration {
	usual, _ := q.table.typicalDuration(now, q.durationKey())
	best := time.Duration(never)
	slots := 0.0 // of leafs as quick as usual
	var work time.Duration
	for _, l := range q.candidates(s) {
		if l.suspicion.active {
			continue
		}
		best = min(best, l.eta(now, usual))
		slots += float64(l.Slots) / l.slowdown.factor(now)
		work = max(work, l.typicalWork)
	}
	if best == never {
		return never
	}
	ahead := float64(q.table.services[s.service].waiting)
	return best + time.Duration(ahead/slots*float64(work))
}

// eta is the time until the leaf would answer a request that usually takes the time given.
func (l *leaf) eta(now time.Time, usual time.Duration) time.Duration {
	d := l.expected(now, usual) + l.backlog(now)
	if l.cooldown.active(now) {
		d += l.cooldown.until.Sub(now)
	}
	if l.stalled(now) {
		d += stallCost
	}
	return d
}

// backlog is the time until a slot of the leaf is free.
func (l *leaf) backlog(now time.Time) time.Duration {
	ahead := float64(len(l.inFlight)) + l.queued(now) + 1 - float64(l.Slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(l.Slots) * float64(l.expected(now, l.typicalWork)))
}

// queued is how many requests of other VMs the leaf has: those of the last report, less what
// it has worked off since.
func (l *leaf) queued(now time.Time) float64 {
	age := now.Sub(l.reportedAt)
	if age >= reportLifetime || l.othersReported == 0 {
		return 0
	}
	done := drainShare * float64(l.Slots) * float64(age) / float64(max(l.expected(now, l.typicalWork), time.Millisecond))
	return max(l.othersReported-done, 0)
}
