package scatter

import (
	"math"
	"slices"
	"time"
)

// Parameters of the time within which a VM has to acknowledge a call by any message. A VM that is
// frozen, disconnected or stopped does not, and the call fails over while there is time for
// another VM to do all of the work. AnswerBy is the time by which this VM answers its caller.
const (
	// ackWaitShare is the time within which a call has to be acknowledged, as a share of
	// the time until AnswerBy, when this VM answers its caller.
	ackWaitShare = 0.2
	// minAckWait is the shortest time within which a call has to be acknowledged.
	minAckWait = 10 * time.Millisecond
	// ackWaitFactor gives a lower bound, besides minAckWait, of the time within which a call
	// has to be acknowledged. The bound is this multiple of the longest time that VMs in the
	// called VM's zone recently took to acknowledge a call.
	ackWaitFactor = 1.5
	// ackTimeHalfLife is the time in which the recorded longest time that VMs of a zone took
	// to acknowledge a call falls to half.
	ackTimeHalfLife = 10 * time.Second
)

// CallSent records that a call was written to its connection. The time within which the called VM
// has to acknowledge the call starts now. It does not start earlier, since silence is no
// evidence against a VM to which a connection is still being opened. CallSent always returns nil.
func (q *Query) CallSent(now time.Time, id CallID) []Action {
	c := q.calls[id]
	if c == nil || q.done || c.acked {
		return nil
	}
	c.writtenAt = now
	c.ackDue = q.ackDue(now, c.partition.zone)
	return nil
}

// ackDue returns the time by which a VM in the given zone has to acknowledge a call that is
// written now. Otherwise the call fails over.
func (q *Query) ackDue(now time.Time, zone string) time.Time {
	wait := max(time.Duration(ackWaitShare*float64(q.spec.AnswerBy.Sub(now))), minAckWait)
	recent := q.table.ackTimes[zone].longest(now)
	return now.Add(max(wait, time.Duration(ackWaitFactor*float64(recent))))
}

// recordAck records that a message of the called VM on a call was received. The first message
// acknowledges the call: the VM is alive, and the call no longer fails over for lack of an
// acknowledgement. The time until this message is recorded for the VM's zone if it is the longest.
func (q *Query) recordAck(now time.Time, c *call) {
	if c.acked {
		return
	}
	c.acked = true
	// A VM that stands in for an owner may be in another zone than the partition.
	if v := q.table.vms[c.vm]; v != nil {
		q.table.zoneFound(v.Zone)
	}
	c.ackDue = time.Time{}
	if c.writtenAt.IsZero() {
		return
	}
	took := max(now.Sub(c.writtenAt), q.table.ackTimes[c.partition.zone].longest(now))
	q.table.ackTimes[c.partition.zone] = ackTime{took: took, at: now}
}

// ackTime records the longest time that VMs of a zone recently took to acknowledge a call. A
// recorded time is reduced as it gets older (see longest).
type ackTime struct {
	// took is the longer of two times: the time that the latest acknowledgement took, and
	// the time recorded before, reduced by its age at that moment.
	took time.Duration
	at   time.Time // when the latest acknowledgement was received
}

// longest returns the longest time that VMs of the zone recently took to acknowledge a call. A
// recorded time is reduced by half for each ackTimeHalfLife since it was recorded.
func (a ackTime) longest(now time.Time) time.Duration {
	return time.Duration(float64(a.took) * math.Exp2(-float64(now.Sub(a.at))/float64(ackTimeHalfLife)))
}

// Failover of calls.
//
// The problem: of hundreds of VMs, some freeze or are lost together. Each VM makes a call only
// every few seconds, and detects a lost VM only when one of its own calls gets no answer. It can
// hardly query the shards of that call itself. The owners of a shard's leafs are the VMs that
// normally send requests to them. Any other VM has no connections to the leafs, and almost none of
// the budget of extra arrivals (hedges and retries). Therefore the shards of a called VM that is
// silent or lost are queried through another owner.

// failOverOverdueCalls handles the calls whose answer or acknowledgement is overdue. If the
// called VM has sent no message, the call fails over to another VM, and a check of all VMs that this
// one calls is requested. Otherwise this VM sends the shards to leafs itself.
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
			q.table.liveness.request(now)
			acts = append(acts, q.failOver(now, id, true)...)
		}
	}
	return acts
}

// failOver calls another VM for the unanswered shards of a call. The other VM is an owner of their
// leafs too, so it has connections to them and most of the budget of extra arrivals, such as
// hedges and retries. mayHaveSent says that the first VM may have received the call, and so may
// have sent requests for the shards to leafs.
//
// If there is no other VM to call, or there are too few shards for a call, this VM has to send the
// requests to leafs itself. If a called VM may have sent some before, failOver sends them, as
// extra arrivals from the budget. Otherwise failOver returns nothing, and CallFail sends them as
// first arrivals, which are not taken from the budget.
func (q *Query) failOver(now time.Time, id CallID, mayHaveSent bool) []Action {
	c := q.calls[id]
	redelegated := mayHaveSent || c.redelegated
	open := q.unanswered(id)
	var v *vm
	if len(open) >= minDelegatedShards && q.mayCallVMs(now) {
		v = q.table.pickVM(now, c.partition, q.vmsCalledFor(c.partition))
	}
	if v != nil && !q.keepsCommonLeafs(v, open, redelegated) {
		v = nil
	}
	switch {
	case v != nil:
		return []Action{q.callVM(now, delegation{vm: v, partition: c.partition, shards: open, step: c.step}, redelegated)}
	case redelegated:
		return q.sendDirectly(now, id)
	}
	return nil
}

// keepsCommonLeafs reports whether a call to a VM for the given shards keeps to the leafs that VMs called
// for them before may have used. These depend on the zone of the called VM. A shard that another VM may
// have queried must not be queried at further leafs. redelegated says that this holds for all of them.
func (q *Query) keepsCommonLeafs(v *vm, shards []int, redelegated bool) bool {
	return !slices.ContainsFunc(shards, func(i int) bool {
		s := &q.shards[i]
		return (redelegated || s.redelegated) && s.commonZone != v.Zone
	})
}

// vmsCalledFor returns the names of the VMs that this query has called for a leaf partition.
func (q *Query) vmsCalledFor(p zonePartition) []string {
	var names []string
	for _, c := range q.calls {
		if c.partition == p {
			names = append(names, c.vm)
		}
	}
	return names
}

// unanswered returns the indexes of the shards of a call that still have to be queried. A shard
// is left out if it is answered or closed, if an attempt of this VM on it is in flight, or if a
// later call was made for it.
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

// sendDirectly sends requests for the unanswered shards of a call to leafs. The called VM may
// already have sent requests for them. So each request counts as a retry, which is taken from the
// budget.
func (q *Query) sendDirectly(now time.Time, id CallID) []Action {
	var acts []Action
	for _, i := range q.unanswered(id) {
		acts = append(acts, q.trySend(now, i, Retry)...)
	}
	return acts
}

// includeAnswer records another VM's answer, which includes the given shards, and decides
// whether the result uses it. Two VMs may have been called for one shard, and an answer can't be
// split. So the new answer and the used answers that share a shard with it exclude each other.
// The new answer replaces them only if it has more shards than they have in total.
func (q *Query) includeAnswer(shards []int) {
	q.callAnswers = append(q.callAnswers, callAnswer{shards: shards})
	if len(shards) == 0 {
		return
	}
	// dropped is the number of shards of the overlapping answers, which the new answer would
	// replace.
	overlaps, dropped := q.overlapping(shards)
	if dropped >= len(shards) {
		return
	}
	for _, n := range overlaps {
		q.setUsed(n, false)
	}
	q.setUsed(len(q.callAnswers)-1, true)
}

// overlapping returns the indexes of those answers of other VMs that are used in the result and
// include any of the given shards. total is the number of all shards of these answers.
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

// setUsed includes the other VMs' answer with index n in the result, or leaves it out. An
// included answer ends the wait of its shards for a leaf.
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
