package policy

import "time"

// Admission is the admission control of one service on one VM. It keeps targets
// busy without overloading them: it limits the queries in flight, queues others in
// order of arrival, and refuses at once those that could not be served in time.
//
// The limit of queries in flight adapts to the targets. It falls when attempts wait in
// the targets' queues or are refused. While neither happens and as many queries run as the
// limit allows, it rises slowly.
//
// Invariants: running <= ceiling rounded up; minQueryLimit <= limit <= ceiling;
// without refused attempts the limit stays at its floor or above; the query at the
// head of the queue gets Admit or Refuse in the first ProcessQueue after its deadline at the
// latest.
type Admission struct {
	limit             float64       // queries that may run at once
	share             float64       // queries that this VM may run so that all VMs together fill the targets' slots
	floor             float64       // lower bound of the limit while attempts are slow; refused attempts may lower it further
	ceiling           float64       // upper bound of the limit
	running           int           // queries that were admitted and have not ended
	queue             []*ticket     // waiting queries in order of arrival
	lastID            TicketID      // of the latest query that arrived
	endInterval       time.Duration // smoothed time between the ends of two queries while others wait; 0 if none waited at the latest end
	meanDuration      time.Duration // smoothed duration of a query
	durationDeviation time.Duration // smoothed absolute deviation from meanDuration
	lastEnd           time.Time     // when the latest query ended
	reducedAt         time.Time     // when the limit was last reduced
}

// TicketID numbers the queries of one Admission, starting at 1.
type TicketID uint64

// ticket is a query that waits for admission.
type ticket struct {
	id       TicketID
	deadline time.Time // when the query must be answered
}

// Decision is the admission decision for a query.
type Decision int

// The decisions.
const (
	Admit  Decision = iota // run the query now
	Wait                   // the query is queued; a later Verdict with the same ticket admits or refuses it
	Refuse                 // final: the query cannot be served in time
)

// Verdict is the decision for one query.
type Verdict struct {
	Ticket     TicketID
	Decision   Decision
	RetryAfter time.Duration // with Refuse: how long the caller should wait before a retry
}

// Parameters of an Admission. Numbers of queries are per VM. The VM's share is
// Admission.share.
const (
	minQueryLimit   = 1.0 // lower bound of a VM's limit of queries in flight
	minLimitCeiling = 8.0 // a VM's limit of queries in flight may always rise to this number, however small its share of the targets' slots is
	// limitFloorPerShare is the floor of a VM's limit of queries in flight, as a multiple of
	// Admission.share: the queries that the VM may run so that all VMs together fill the
	// targets' slots. With all VMs at their floors, each slot has a waiting request most of
	// the time.
	limitFloorPerShare = 4.5
	// limitCeilingPerShare is the ceiling of a VM's limit of queries in flight, as a multiple
	// of Admission.share: the queries that the VM may run so that all VMs together fill the
	// targets' slots. It allows bursts while attempts are fast.
	limitCeilingPerShare    = 6.0
	maxWaitPerQueryDuration = 0.6 // longest expected wait for admission, as a fraction of the time within which nearly every query ends once it runs (durationBound)
	limitDecreaseFactor     = 0.8 // factor by which one reduction lowers the limit of queries in flight, after a sign of overload
	// limitIncreasePerQuery is what the end of one query adds to the limit of queries in
	// flight while the limit is at its floor or above. It is added only if the query's end
	// shows no overload and as many queries ran as the limit allows.
	limitIncreasePerQuery = 0.2
	// limitIncreaseBelowFloor replaces limitIncreasePerQuery while the limit is below its
	// floor. It is divided by the limit: with a limit of n queries, the ends of n queries
	// together add 0.1. A faster rise would outweigh the reductions by refusals.
	limitIncreaseBelowFloor = 0.1
	minLimitReduceInterval  = 100 * time.Millisecond // least time between two reductions of the limit of queries in flight
	durationSampleWeight    = 0.1                    // weight, from 0 to 1, of a new sample in the smoothed durations of queries
	maxRetryAfter           = 5 * time.Second        // upper bound of Verdict.RetryAfter
	minRetryAfter           = 50 * time.Millisecond  // lower bound of Verdict.RetryAfter of a refused query
	maxQueuedPerLimit       = 20                     // upper bound of waiting queries, as a multiple of the limit of queries in flight
	maxDurationDeviations   = 2                      // nearly all queries end within the mean duration plus this many times the mean deviation from it
	defaultQueryDuration    = 20 * time.Millisecond  // assumed duration of a query before the first one ends
)

// NewAdmission returns an Admission with the given share, see SetShare. Its limit
// starts at the ceiling: callers arrive in bursts, and a limit near the mean would
// make them wait for each other while slots are free.
func NewAdmission(share float64) *Admission {
	a := &Admission{meanDuration: defaultQueryDuration}
	a.SetShare(share)
	a.limit = a.ceiling
	return a
}

// SetShare sets the share: how many whole queries this VM may run so that all VMs
// together just fill the targets' slots. The floor and the ceiling of the limit follow
// from the share. The slots stay busy if the limits of all VMs are at their floors, so
// slow attempts do not lower the limit below its floor. Refusals do lower it further,
// since there may be more VMs, or fewer targets, than the share was calculated for.
func (a *Admission) SetShare(share float64) {
	a.share = share
	a.floor = max(share*limitFloorPerShare, minQueryLimit)
	a.ceiling = max(share*limitCeilingPerShare, minLimitCeiling, a.floor)
	a.limit = min(a.limit, a.ceiling)
}

// OverShare reports whether this VM runs more queries than its share of the slots,
// so that attempts may be slow because no slot is free.
func (a *Admission) OverShare() bool { return float64(a.running) > max(a.share, 1) }

// Arrive decides on a new query that must be answered by deadline. An admitted query
// needs a call of Done when it ends.
func (a *Admission) Arrive(now, deadline time.Time) Verdict {
	a.lastID++
	id := a.lastID
	if a.hasCapacity() && len(a.queue) == 0 {
		a.running++
		return Verdict{Ticket: id, Decision: Admit}
	}
	// Refuse if the wait would be long compared with the time that a query runs, if the
	// query might end after its deadline, or if the queue is full. A short queue is enough
	// to keep the slots busy until the next query arrives; a longer one only delays all
	// callers.
	wait := a.expectedWait(len(a.queue) + 1)
	if float64(wait) > maxWaitPerQueryDuration*float64(a.durationBound()) || now.Add(wait+a.durationBound()).After(deadline) || float64(len(a.queue)) >= a.limit*maxQueuedPerLimit {
		return Verdict{Ticket: id, Decision: Refuse, RetryAfter: a.retryAfter(wait)}
	}
	a.queue = append(a.queue, &ticket{id: id, deadline: deadline})
	return Verdict{Ticket: id, Decision: Wait}
}

// hasCapacity reports whether the limit allows one more query to run.
func (a *Admission) hasCapacity() bool { return float64(a.running) < a.limit }

// expectedWait returns the expected time until the n-th waiting query runs: n times the
// interval at which queries end.
func (a *Admission) expectedWait(n int) time.Duration {
	interval := a.endInterval
	if interval == 0 {
		// No query waited when the last one ended. While as many queries run as the limit
		// allows, one of them ends in each meanDuration / limit.
		interval = time.Duration(float64(a.meanDuration) / max(a.limit, minQueryLimit))
	}
	return time.Duration(n) * interval
}

// durationBound returns the time within which nearly every query ends once it runs: the
// mean duration plus maxDurationDeviations mean deviations. A query that has to wait for
// admission is refused if it could not run this long before its deadline. With only the
// mean left, half of such queries would be late, and the slots that they used would be
// wasted.
func (a *Admission) durationBound() time.Duration {
	return a.meanDuration + maxDurationDeviations*a.durationDeviation
}

// retryAfter returns how long a refused caller should wait before a retry: the expected
// wait in the queue, within bounds.
func (a *Admission) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// QueryEnd is the duration of an admitted query and the pressure that its end showed.
type QueryEnd struct {
	Took     time.Duration
	Pressure Pressure
}

// Done records the end of an admitted query. It returns the verdicts on the waiting
// queries that leave the queue because of it.
func (a *Admission) Done(now time.Time, end QueryEnd) []Verdict {
	a.running--
	a.recordDuration(now, end)
	a.adjustLimit(now, end)
	return a.ProcessQueue(now)
}

// recordDuration updates the smoothed durations with a query that has ended. While
// queries wait, it also updates the time between two ends, from which expectedWait
// predicts the wait in the queue.
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

// smooth returns the moving average old updated with a new sample. If old is 0, the
// sample is the first one and is returned unchanged.
func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(durationSampleWeight*float64(sample-old))
}

// adjustLimit lowers the limit if the end of a query shows overload. Otherwise it raises
// the limit if as many queries ran as the limit allows. The query that has ended is no
// longer counted in a.running, but it counts as running here.
func (a *Admission) adjustLimit(now time.Time, end QueryEnd) {
	switch end.Pressure {
	case TargetsQueueing:
		// Slow attempts do not lower the limit below its floor. A limit that refusals have
		// lowered further stays as it is.
		a.reduceLimit(now, min(a.floor, a.limit))
		return
	case TargetsRefusing:
		a.limit = min(a.limit, a.floor) // at once: work sent above the floor is wasted
		a.reduceLimit(now, minQueryLimit)
		return
	}
	if float64(a.running+1) >= a.limit {
		gain := limitIncreasePerQuery
		if a.limit < a.floor {
			gain = limitIncreaseBelowFloor / a.limit
		}
		a.limit = min(a.limit+gain, a.ceiling)
	}
}

// reduceLimit lowers the limit by one step, but not below lowerBound, unless the last
// reduction was less than minLimitReduceInterval ago.
func (a *Admission) reduceLimit(now time.Time, lowerBound float64) {
	if now.Sub(a.reducedAt) < minLimitReduceInterval {
		return
	}
	a.limit = max(a.limit*limitDecreaseFactor, lowerBound)
	a.reducedAt = now
}

// ProcessQueue goes through the waiting queries in order of arrival. It admits them
// while the limit allows and refuses those that can no longer be served in time. It
// returns the verdicts; queries without one stay in the queue.
func (a *Admission) ProcessQueue(now time.Time) []Verdict {
	var out []Verdict
	for len(a.queue) > 0 {
		head := a.queue[0]
		missesDeadline := now.Add(a.durationBound()).After(head.deadline)
		if !missesDeadline && !a.hasCapacity() {
			break
		}
		a.queue = a.queue[1:]
		if missesDeadline {
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
