package scatter

import (
	"math"
	"slices"
	"time"
)

// Parameters of the time within which a VM has to acknowledge a call. A VM that is frozen,
// disconnected or stopped does not, and the call fails over while there is time for another VM
// to do all of the work.
const (
	ackShare   = 0.2 // of the time until AnswerBy
	minAckWait = 10 * time.Millisecond
	// ackFactor is the accepted wait as a multiple of the longest recent acknowledgement.
	ackFactor   = 1.5
	ackHalfLife = 10 * time.Second // after which half of a long acknowledgement time is forgotten
)

// CallSent records that a call was written to its connection. Before that, silence says
// nothing about the other VM: a connection to it has to be made first.
func (q *Query) CallSent(now time.Time, id CallID) []Action {
	c := q.calls[id]
	if c == nil || q.done || c.acked {
		return nil
	}
	c.writtenAt = now
	c.ackDue = q.ackDue(now, c.partition.zone)
	return nil
}

// ackDue returns when a call to a VM in a zone fails over unless it is acknowledged.
func (q *Query) ackDue(now time.Time, zone string) time.Time {
	wait := max(time.Duration(ackShare*float64(q.spec.AnswerBy.Sub(now))), minAckWait)
	recent := q.table.ackTimes[zone].longest(now)
	return now.Add(max(wait, time.Duration(ackFactor*float64(recent))))
}

// acknowledged records the first message of a VM on a call: the VM is alive, and this VM waits
// for its answer.
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

// ackTime is the longest time that VMs of a zone recently took to acknowledge a call.
type ackTime struct {
	took time.Duration
	at   time.Time
}

// longest returns the recorded time, which decays with its age.
func (a ackTime) longest(now time.Time) time.Duration {
	return time.Duration(float64(a.took) * math.Exp2(-float64(now.Sub(a.at))/float64(ackHalfLife)))
}

// Failover of calls.
//
// The problem: of hundreds of VMs, some freeze or are lost together. Each VM makes a call only
// every few seconds, so it detects a lost VM through a request of its own. A VM that owns none
// of a shard's leafs has no connections to them and almost none of the budget. Therefore the
// shards of a VM that is silent or lost are queried through another owner.

// failOverOverdueCalls fails over the calls to VMs that are silent.
func (q *Query) failOverOverdueCalls(now time.Time) []Action {
	var acts []Action
	for id := CallID(1); int(id) <= len(q.calls); id++ {
		c := q.calls[id]
		if c.resolved || now.Before(c.overdueTime()) {
			continue
		}
		c.resolved = true
		if c.acked {
			// The VM is alive and its leafs are slow: another VM would only query
			// them a second time.
			acts = append(acts, q.sendDirectly(now, id)...)
		} else {
			acts = append(acts, q.failOver(now, id, true)...)
		}
	}
	return acts
}

// failOver sends the unanswered shards of a call to another VM that owns their leafs, and so
// has connections to them and most of the budget. If there is none, shards that the first VM
// may have queried are sent directly.
func (q *Query) failOver(now time.Time, id CallID, mayHaveSent bool) []Action {
	c := q.calls[id]
	redelegated := mayHaveSent || c.redelegated
	open := q.unanswered(id)
	var v *vm
	if len(open) >= minDelegated {
		v = q.table.pickVM(now, c.partition, q.vmsCalledFor(c.partition))
	}
	switch {
	case v != nil:
		return []Action{q.callVM(now, delegation{vm: v, partition: c.partition, shards: open}, redelegated)}
	case redelegated:
		return q.sendDirectly(now, id)
	}
	return nil
}

// vmsCalledFor returns the VMs that were called for a leaf partition.
func (q *Query) vmsCalledFor(p zonePartition) []string {
	var names []string
	for _, c := range q.calls {
		if c.partition == p {
			names = append(names, c.vm)
		}
	}
	return names
}

// unanswered returns the open shards of a call: unanswered, not closed, neither in flight to a
// leaf nor part of a later call.
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

// sendDirectly sends the unanswered shards of a call to leafs. These may be second arrivals,
// so each is paid for as a retry.
func (q *Query) sendDirectly(now time.Time, id CallID) []Action {
	var acts []Action
	for _, i := range q.unanswered(id) {
		acts = append(acts, q.trySend(now, i, Retry)...)
	}
	return acts
}

// includeAnswer records the shards of an answer. Two VMs may have been called for one shard:
// of overlapping answers, those with more shards in total are used.
func (q *Query) includeAnswer(shards []int) {
	q.callAnswers = append(q.callAnswers, callAnswer{shards: shards})
	if len(shards) == 0 {
		return
	}
	overlaps, dropped := q.overlapping(shards)
	if dropped >= len(shards) {
		return
	}
	for _, n := range overlaps {
		q.setUsed(n, false)
	}
	q.setUsed(len(q.callAnswers)-1, true)
}

// overlapping returns the indexes of the used answers that share a shard with these, and their
// total number of shards.
func (q *Query) overlapping(shards []int) (list []int, total int) {
	for _, i := range shards {
		n := q.shards[i].includedAnswer - 1
		if n < 0 || slices.Contains(list, n) {
			continue
		}
		list = append(list, n)
		total += len(q.callAnswers[n].shards)
	}
	return list, total
}

// setUsed includes an answer in the result or leaves it out.
func (q *Query) setUsed(n int, used bool) {
	q.callAnswers[n].used = used
	for _, i := range q.callAnswers[n].shards {
		s := &q.shards[i]
		s.includedAnswer = 0
		if used {
			s.includedAnswer = n + 1
			q.setPollAt(s, time.Time{})
		}
	}
}
