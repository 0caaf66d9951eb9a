package policy

import "time"

// Admission decides which queries a VM takes for a service, so that targets are
// kept busy but never buried. It limits the queries in flight, lets others wait
// in order, and refuses at once those that could not be served in time.
//
// The limit follows what the targets show: it falls when attempts wait in their
// queues or are turned away, and rises slowly while it is used and all is well.
//
// Invariants: running <= ceiling rounded up; minLimit <= limit <= ceiling; without
// attempts turned away the limit stays at its floor or above; a query that is told
// to wait hears Admit or Refuse at the latest when its deadline passes.
type Admission struct {
	limit             float64
	share             float64
	floor             float64
	ceiling           float64
	running           int
	queue             []*ticket
	nextID            TicketID
	endInterval       time.Duration // smoothed time between two ends while busy
	meanDuration      time.Duration // smoothed duration of a query
	durationDeviation time.Duration // smoothed distance of durations from service
	lastEnd           time.Time
	reducedAt         time.Time // of the last cut of the limit
}

// TicketID numbers the queries of one Admission.
type TicketID uint64

type ticket struct {
	id       TicketID
	deadline time.Time
}

// Decision is what becomes of a query.
type Decision int

// The decisions.
const (
	Admit  Decision = iota // run it now
	Wait                   // a later call names its ticket
	Refuse                 // final: it cannot be served in time
)

// Verdict is a decision about one query.
type Verdict struct {
	Ticket     TicketID
	Decision   Decision
	RetryAfter time.Duration // for Refuse: when to come back
}

// Parameters of the limit.
const (
	minLimit          = 1.0
	minCeiling        = 8.0
	floorPerShare     = 4.5                    // enough for every slot to find its next request waiting, most of the time
	ceilingPerShare   = 6.0                    // bursts, while attempts are quick
	maxWaitShare      = 0.6                    // of the time that a query takes, waited for admission at most
	limitDecrease     = 0.8                    // factor after a sign of overload
	limitIncrease     = 0.2                    // added by a good query, from the floor on
	lowLimitIncrease  = 0.1                    // added per limit's worth of good queries below it; a faster rise outruns the refusals
	minReduceInterval = 100 * time.Millisecond // least time between two cuts
	smoothingWeight   = 0.1                    // weight of a new sample
	maxRetryAfter     = 5 * time.Second
	minRetryAfter     = 50 * time.Millisecond
	maxQueuePerLimit  = 20 // waiting queries per unit of the limit, at most
	maxDeviations     = 2  // distances from the mean within which nearly all queries end
	defaultDuration   = 20 * time.Millisecond
)

// NewAdmission returns an admission whose limit begins at its ceiling: callers
// come in bursts, and a limit near the mean would make them wait for each other
// while slots are free.
func NewAdmission(share float64) *Admission {
	a := &Admission{meanDuration: defaultDuration}
	a.SetShare(share)
	a.limit = a.ceiling
	return a
}

// SetShare takes how many whole queries this VM may run so that all VMs together
// just fill the targets' slots. The limit's floor is what keeps the slots busy if
// all VMs are at it: slow attempts lower the limit no further. Refusals do, since
// more VMs may live, or fewer targets, than the share was worked out for.
func (a *Admission) SetShare(share float64) {
	a.share = share
	a.floor = max(share*floorPerShare, minLimit)
	a.ceiling = max(share*ceilingPerShare, minCeiling, a.floor)
	a.limit = min(a.limit, a.ceiling)
}

// OverShare reports whether this VM runs more queries than its share of the slots,
// so that attempts may be slow for want of slots.
func (a *Admission) OverShare() bool { return float64(a.running) > max(a.share, 1) }

// Arrive takes a query that must be answered by deadline.
func (a *Admission) Arrive(now, deadline time.Time) Verdict {
	a.nextID++
	id := a.nextID
	if a.hasCapacity() && len(a.queue) == 0 {
		a.running++
		return Verdict{Ticket: id, Decision: Admit}
	}
	// A wait fills the gap until the next query arrives. Longer ones keep no target
	// busier: they only make everybody late.
	wait := a.expectedWait(len(a.queue) + 1)
	if float64(wait) > maxWaitShare*float64(a.expectedDuration()) || now.Add(wait+a.expectedDuration()).After(deadline) || float64(len(a.queue)) >= a.limit*maxQueuePerLimit {
		return Verdict{Ticket: id, Decision: Refuse, RetryAfter: a.retryAfter(wait)}
	}
	a.queue = append(a.queue, &ticket{id: id, deadline: deadline})
	return Verdict{Ticket: id, Decision: Wait}
}

func (a *Admission) hasCapacity() bool { return float64(a.running) < a.limit }

// expectedWait is the time until the n-th waiting query runs.
func (a *Admission) expectedWait(n int) time.Duration {
	per := a.endInterval
	if per == 0 {
		per = time.Duration(float64(a.meanDuration) / max(a.limit, minLimit))
	}
	return time.Duration(n) * per
}

// expectedDuration is the time that nearly every query takes once it runs. A query that is
// admitted with only the mean left before its deadline is late every other time,
// and the slots that it used are wasted.
func (a *Admission) expectedDuration() time.Duration {
	return a.meanDuration + maxDeviations*a.durationDeviation
}

func (a *Admission) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// End is what an admitted query met.
type QueryEnd struct {
	Took     time.Duration
	Pressure Pressure
}

// Done takes the end of an admitted query and returns verdicts on waiting ones.
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
		a.limit = min(a.limit, a.floor) // at once: what is sent above it is wasted
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

// reduceLimit lowers the limit, to the given bound at most.
func (a *Admission) reduceLimit(now time.Time, bound float64) {
	if now.Sub(a.reducedAt) < minReduceInterval {
		return
	}
	a.limit = max(a.limit*limitDecrease, bound)
	a.reducedAt = now
}

// ProcessQueue admits waiting queries while there is room and refuses those that can
// no longer be served in time, first come first served.
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

// Abandon takes that a waiting query's caller went away. It reports whether the
// ticket was still waiting; if not, it was admitted and needs Done.
func (a *Admission) Abandon(id TicketID) bool {
	for i, t := range a.queue {
		if t.id == id {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}
