package policy

import "time"

// Admission is the admission control of one service on one VM. It keeps targets
// busy without overloading them: it limits the queries in flight, queues others in
// order of arrival, and refuses at once those that could not be served in time.
//
// The limit adapts to the targets: it falls when attempts wait in the targets'
// queues or are refused, and rises slowly while it is reached and neither happens.
//
// Invariants: running <= ceiling rounded up; minLimit <= limit <= ceiling; without
// refused attempts the limit stays at its floor or above; a query that was told to
// wait gets Admit or Refuse at the latest when its deadline passes.
type Admission struct {
	limit             float64 // queries that may run at once
	share             float64 // as passed to SetShare
	floor             float64 // slow attempts lower the limit no further
	ceiling           float64 // upper bound of the limit
	running           int     // queries that were admitted and have not ended
	queue             []*ticket
	nextID            TicketID
	endInterval       time.Duration // smoothed time between the ends of two queries while others wait
	meanDuration      time.Duration // smoothed duration of a query
	durationDeviation time.Duration // smoothed absolute deviation from meanDuration
	lastEnd           time.Time
	reducedAt         time.Time // when the limit was last reduced
}

// TicketID numbers the queries of one Admission, starting at 1.
type TicketID uint64

type ticket struct {
	id       TicketID
	deadline time.Time
}

// Decision is the admission decision for a query.
type Decision int

// The decisions.
const (
	Admit  Decision = iota // run it now
	Wait                   // queued; a later verdict names its ticket
	Refuse                 // final: the query cannot be served in time
)

// Verdict is the decision for one query.
type Verdict struct {
	Ticket     TicketID
	Decision   Decision
	RetryAfter time.Duration // with Refuse: how long to wait before a retry
}

// Parameters of the limit and the queue. A limit is a number of queries.
const (
	minLimit          = 1.0
	minCeiling        = 8.0
	floorPerShare     = 4.5                    // times the share; enough that most of the time a request waits for each slot
	ceilingPerShare   = 6.0                    // times the share; allows bursts while attempts are fast
	maxWaitShare      = 0.6                    // longest wait for admission, as a share of a query's expected duration
	limitDecrease     = 0.8                    // factor applied after a sign of overload
	limitIncrease     = 0.2                    // added per query that ends without pressure, from the floor upwards
	lowLimitIncrease  = 0.1                    // below the floor, added per as many such queries as the limit; a faster rise would outweigh the reductions by refusals
	minReduceInterval = 100 * time.Millisecond // least time between two reductions
	smoothingWeight   = 0.1                    // weight of a new sample in the smoothed durations
	maxRetryAfter     = 5 * time.Second
	minRetryAfter     = 50 * time.Millisecond
	maxQueuePerLimit  = 20                    // upper bound of waiting queries per unit of the limit
	maxDeviations     = 2                     // deviations from the mean duration within which nearly all queries end
	defaultDuration   = 20 * time.Millisecond // assumed duration of a query before the first one ends
)

// NewAdmission returns an Admission with the given share, see SetShare. Its limit
// starts at the ceiling: callers arrive in bursts, and a limit near the mean would
// make them wait for each other while slots are free.
func NewAdmission(share float64) *Admission {
	a := &Admission{meanDuration: defaultDuration}
	a.SetShare(share)
	a.limit = a.ceiling
	return a
}

// SetShare sets how many whole queries this VM may run so that all VMs together
// just fill the targets' slots. The limit's floor follows from it: the slots stay
// busy if all VMs are at their floors, so slow attempts do not lower the limit below
// it. Refusals do, since there may be more VMs, or fewer targets, than the share was
// calculated for.
func (a *Admission) SetShare(share float64) {
	a.share = share
	a.floor = max(share*floorPerShare, minLimit)
	a.ceiling = max(share*ceilingPerShare, minCeiling, a.floor)
	a.limit = min(a.limit, a.ceiling)
}

// OverShare reports whether this VM runs more queries than its share of the slots,
// so that attempts may be slow because no slot is free.
func (a *Admission) OverShare() bool { return float64(a.running) > max(a.share, 1) }

// Arrive decides on a new query that must be answered by deadline. An admitted query
// needs a call of Done when it ends.
func (a *Admission) Arrive(now, deadline time.Time) Verdict {
	a.nextID++
	id := a.nextID
	if a.hasCapacity() && len(a.queue) == 0 {
		a.running++
		return Verdict{Ticket: id, Decision: Admit}
	}
	// Waiting queries keep the slots busy until the next query arrives. A longer queue
	// uses no more of the slots: it only delays all callers.
	wait := a.expectedWait(len(a.queue) + 1)
	if float64(wait) > maxWaitShare*float64(a.expectedDuration()) || now.Add(wait+a.expectedDuration()).After(deadline) || float64(len(a.queue)) >= a.limit*maxQueuePerLimit {
		return Verdict{Ticket: id, Decision: Refuse, RetryAfter: a.retryAfter(wait)}
	}
	a.queue = append(a.queue, &ticket{id: id, deadline: deadline})
	return Verdict{Ticket: id, Decision: Wait}
}

func (a *Admission) hasCapacity() bool { return float64(a.running) < a.limit }

// expectedWait returns the expected time until the n-th waiting query runs.
func (a *Admission) expectedWait(n int) time.Duration {
	per := a.endInterval
	if per == 0 {
		per = time.Duration(float64(a.meanDuration) / max(a.limit, minLimit))
	}
	return time.Duration(n) * per
}

// expectedDuration returns the time within which nearly every query ends once it
// runs. With only the mean left before its deadline, every second query would be
// late, and the slots that it used would be wasted.
func (a *Admission) expectedDuration() time.Duration {
	return a.meanDuration + maxDeviations*a.durationDeviation
}

func (a *Admission) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// QueryEnd is the duration of an admitted query and the pressure that its end showed.
type QueryEnd struct {
	Took     time.Duration
	Pressure Pressure
}

// Done records the end of an admitted query and returns verdicts on waiting ones.
func (a *Admission) Done(now time.Time, end QueryEnd) []Verdict {
	a.running--
	a.recordDuration(now, end)
	a.adjustLimit(now, end)
	return a.ProcessQueue(now)
}

func (a *Admission) recordDuration(now time.Time, end QueryEnd) {
	a.durationDeviation = smooth(a.durationDeviation, (end.Took - a.meanDuration).Abs())
	a.meanDuration = smooth(a.meanDuration, end.Took)
	busy := len(a.queue) > 0
	if busy && !a.lastEnd.IsZero() {
		a.endInterval = smooth(a.endInterval, now.Sub(a.lastEnd))
	}
	if !busy {
		a.endInterval = 0
	}
	a.lastEnd = now
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothingWeight*float64(sample-old))
}

func (a *Admission) adjustLimit(now time.Time, end QueryEnd) {
	switch end.Pressure {
	case TargetsQueueing:
		a.reduceLimit(now, min(a.floor, a.limit))
		return
	case TargetsRefusing:
		a.limit = min(a.limit, a.floor) // at once: work sent above the floor is wasted
		a.reduceLimit(now, minLimit)
		return
	}
	if float64(a.running+1) >= a.limit {
		gain := limitIncrease
		if a.limit < a.floor {
			gain = lowLimitIncrease / a.limit
		}
		a.limit = min(a.limit+gain, a.ceiling)
	}
}

// reduceLimit lowers the limit by one step, but not below bound, unless the last
// reduction was less than minReduceInterval ago.
func (a *Admission) reduceLimit(now time.Time, bound float64) {
	if now.Sub(a.reducedAt) < minReduceInterval {
		return
	}
	a.limit = max(a.limit*limitDecrease, bound)
	a.reducedAt = now
}

// ProcessQueue goes through the waiting queries in order of arrival. It admits them
// while the limit allows and refuses those that can no longer be served in time.
func (a *Admission) ProcessQueue(now time.Time) []Verdict {
	var out []Verdict
	for len(a.queue) > 0 {
		head := a.queue[0]
		late := now.Add(a.expectedDuration()).After(head.deadline)
		if !late && !a.hasCapacity() {
			break
		}
		a.queue = a.queue[1:]
		if late {
			out = append(out, Verdict{
				Ticket:     head.id,
				Decision:   Refuse,
				RetryAfter: a.retryAfter(a.expectedWait(len(a.queue) + 1)),
			})
			continue
		}
		a.running++
		out = append(out, Verdict{Ticket: head.id, Decision: Admit})
	}
	return out
}

// Abandon removes a waiting query whose caller disconnected. It reports whether the
// ticket was still waiting; if not, the query was admitted and needs a call of Done.
func (a *Admission) Abandon(id TicketID) bool {
	for i, t := range a.queue {
		if t.id == id {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}
