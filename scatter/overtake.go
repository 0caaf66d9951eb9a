package scatter

import (
	"math"
	"slices"
	"time"
)

// Parameters of the time within which a VM acknowledges a call. One that is frozen, cut off or
// gone does not, and is overtaken while there is time for another one to do all of the work.
const (
	ackShare   = 0.2 // of the time until AnswerBy
	minAckWait = 10 * time.Millisecond
	// ackFactor is how many times longer than lately an acknowledgement may take.
	ackFactor   = 1.5
	ackHalfLife = 10 * time.Second // in which half of a long one is forgotten
)

// CallSent takes that a call was written to its connection. Until then the other VM may be well:
// a connection to it has to be made.
func (q *Query) CallSent(now time.Time, id CallID) []Action {
	c := q.calls[id]
	if c == nil || q.done || c.acked {
		return nil
	}
	c.writtenAt = now
	c.ackDue = q.ackDue(now, c.partition.zone)
	return nil
}

// ackDue returns when a VM in a zone that has not acknowledged a call is overtaken.
func (q *Query) ackDue(now time.Time, zone string) time.Time {
	wait := max(time.Duration(ackShare*float64(q.spec.AnswerBy.Sub(now))), minAckWait)
	lately := q.table.ackTimes[zone].longest(now)
	return now.Add(max(wait, time.Duration(ackFactor*float64(lately))))
}

// acknowledged takes the first word of a VM on a call: it lives, and its answer is awaited.
func (q *Query) acknowledged(now time.Time, c *call) {
	if c.acked {
		return
	}
	c.acked = true
	c.ackDue = time.Time{}
	if c.writtenAt.IsZero() {
		return
	}
	took := max(now.Sub(c.writtenAt), q.table.ackTimes[c.partition.zone].longest(now))
	q.table.ackTimes[c.partition.zone] = ackTime{took: took, at: now}
}

// ackTime is the longest time that VMs of a zone took lately to acknowledge a call.
type ackTime struct {
	took time.Duration
	at   time.Time
}

func (a ackTime) longest(now time.Time) time.Duration {
	return time.Duration(float64(a.took) * math.Exp2(-float64(now.Sub(a.at))/float64(ackHalfLife)))
}

// Overtaking.
//
// The load it answers: hundreds of VMs, of which some freeze or are lost together. Each VM makes
// a call every few seconds, so that it learns of a lost one by a request of its own. A VM that
// owns none of a shard's leafs has no connections to them and next to nothing of the budget; so
// the shards of a VM that is silent or gone are asked for through another owner.

// failOverOverdueCalls asks elsewhere for the shards of VMs that are silent.
func (q *Query) failOverOverdueCalls(now time.Time) []Action {
	var acts []Action
	for id := CallID(1); int(id) <= len(q.calls); id++ {
		c := q.calls[id]
		if c.resolved || now.Before(c.overdueTime()) {
			continue
		}
		c.resolved = true
		if c.acked {
			// It lives, and its leafs are slow: another VM would only ask them once more.
			acts = append(acts, q.sendDirectly(now, id)...)
		} else {
			acts = append(acts, q.failOver(now, id, true)...)
		}
	}
	return acts
}

// failOver asks for what a VM has not answered: through another VM that owns these leafs, and
// so has connections to them and most of the budget. If there is none, what the first one may
// have asked is asked for directly.
func (q *Query) failOver(now time.Time, id CallID, mayHaveAsked bool) []Action {
	c := q.calls[id]
	again := mayHaveAsked || c.redelegated
	open := q.unanswered(id)
	var v *vm
	if len(open) >= minDelegated {
		v = q.table.pickVM(now, c.partition, q.vmsCalledFor(c.partition))
	}
	switch {
	case v != nil:
		return []Action{q.callVM(now, delegation{vm: v, partition: c.partition, shards: open}, again)}
	case again:
		return q.sendDirectly(now, id)
	}
	return nil
}

// vmsCalledFor returns the VMs that were called for a part of a zone.
func (q *Query) vmsCalledFor(p zonePartition) []string {
	var names []string
	for _, c := range q.calls {
		if c.partition == p {
			names = append(names, c.vm)
		}
	}
	return names
}

// unanswered returns the shards of a call that nobody else was asked for.
func (q *Query) unanswered(id CallID) []int {
	var list []int
	for _, i := range q.calls[id].shards {
		s := &q.shards[i]
		if s.call == id && !s.answered() && s.inFlight == 0 && !s.closed {
			list = append(list, i)
		}
	}
	return list
}

// sendDirectly sends what a call has not answered. These may be second arrivals, so
// each is paid for as a retry.
func (q *Query) sendDirectly(now time.Time, id CallID) []Action {
	var acts []Action
	for _, i := range q.unanswered(id) {
		acts = append(acts, q.trySend(now, i, Retry)...)
	}
	return acts
}

// includeAnswer takes the shards of an answer. Two VMs may have been called for one shard: of answers
// that share one, those with more shards count.
func (q *Query) includeAnswer(shards []int) {
	q.callAnswers = append(q.callAnswers, callAnswer{shards: shards})
	if len(shards) == 0 {
		return
	}
	rivals, lost := q.overlapping(shards)
	if lost >= len(shards) {
		return
	}
	for _, n := range rivals {
		q.setUsed(n, false)
	}
	q.setUsed(len(q.callAnswers)-1, true)
}

// overlapping returns the included answers that share a shard with these, and how many shards they
// have.
func (q *Query) overlapping(shards []int) (list []int, have int) {
	for _, i := range shards {
		n := q.shards[i].includedAnswer - 1
		if n < 0 || slices.Contains(list, n) {
			continue
		}
		list = append(list, n)
		have += len(q.callAnswers[n].shards)
	}
	return list, have
}

// setUsed includes an answer or leaves it out.
func (q *Query) setUsed(n int, used bool) {
	q.callAnswers[n].used = used
	for _, i := range q.callAnswers[n].shards {
		s := &q.shards[i]
		s.includedAnswer = 0
		if used {
			s.includedAnswer = n + 1
			q.schedulePoll(s, time.Time{})
		}
	}
}
