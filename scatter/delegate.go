package scatter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Delegation: this VM lets other VMs query leafs for it, for two reasons.
//
// Traffic between zones is expensive, and a gathered request causes much of it: the greatest
// records of 20 shards are chosen from 20 times as many. Shards without a leaf in this VM's
// zone are queried through a VM in the zone of their leafs. That VM passes on only the records
// that can still be among the greatest.
//
// With many VMs and many shards, a leaf accepts fewer connections than there are VMs, and
// querying every shard takes one small VM longer than its caller waits. The VMs of a zone then
// divide its leafs into partitions, and shards with leafs in this zone are also queried
// through the VMs that own their partition. With few VMs there is one partition, which all of
// them own.
//
// Delegation costs two more hops within the region. Calls to a VM that is frozen, disconnected
// or stopped fail over (see overtake.go).

// Parameters of delegation.
const (
	// minDelegated is the number of shards from which a message to another VM is smaller
	// than the answers that it saves.
	minDelegated = 3
	// interimShare is the share of the time until AnswerBy after which the other VM sends
	// what it has. If it has sent nothing by then, the call fails over.
	interimShare = 0.5
	// answerShare is the minimum share of the time until AnswerBy that the other VM has.
	// The remaining time, callSlack at the most, is for sending its answer and for
	// answering the caller.
	answerShare = 0.85
	// callSlack is the time for the way to the other VM and back.
	callSlack = 8 * time.Millisecond
	// failoverQuantile and failoverFactor determine when a call to a silent VM fails over;
	// failoverLatestShare is the latest time, as a share of the time until AnswerBy.
	failoverQuantile    = 0.95
	failoverFactor      = 1.2
	failoverLatestShare = 0.85
)

// zonePartition identifies a leaf partition of a zone. Its shards are queried through the VMs
// that own it.
type zonePartition struct {
	zone      string
	partition int
}

// delegation is a call to make: the VM, the partition, and the indexes of the shards.
type delegation struct {
	vm        *vm
	partition zonePartition
	shards    []int
}

// delegations chooses VMs for the shards that this VM does not own: VMs in this zone for
// shards with a leaf here, and VMs in as few other zones as possible for the others.
func (q *Query) delegations(now time.Time) []delegation {
	local, remote := q.splitByProximity(now)
	byPartition := make(map[zonePartition][]int)
	q.assignToPartitions(byPartition, q.table.zone, local)
	for len(remote) > 0 {
		zone, shards := q.zoneWithMostShards(remote)
		if len(shards) < minDelegated {
			break
		}
		for _, i := range shards {
			delete(remote, i)
		}
		q.assignToPartitions(byPartition, zone, shards)
	}
	var calls []delegation
	for _, p := range slices.SortedFunc(maps.Keys(byPartition), compareZonePartitions) {
		shards := byPartition[p]
		if len(shards) < minDelegated && p.zone != q.table.zone {
			continue
		}
		if v := q.table.pickVM(now, p, nil); v != nil {
			calls = append(calls, delegation{vm: v, partition: p, shards: shards})
		}
	}
	return calls
}

func compareZonePartitions(a, b zonePartition) int {
	return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.partition, b.partition))
}

// assignToPartitions groups shards of one zone by leaf partition, leaving out those in
// partitions that this VM owns.
func (q *Query) assignToPartitions(byPartition map[zonePartition][]int, zone string, shards []int) {
	z := q.table.zones[zone]
	if z == nil {
		return
	}
	for _, i := range shards {
		partition := z.partitionOf(q.shards[i].service)
		if !z.owns(partition) {
			p := zonePartition{zone: zone, partition: partition}
			byPartition[p] = append(byPartition[p], i)
		}
	}
}

// splitByProximity returns the shards that have a leaf in this VM's zone, and for the other
// shards the zones of their leafs. Leafs that are not available don't count.
func (q *Query) splitByProximity(now time.Time) (local []int, remote map[int][]string) {
	remote = make(map[int][]string)
	for i := range q.shards {
		var zones []string
		hasLocal := false
		for _, l := range q.table.usableLeafs(q.shards[i].service) {
			if !l.available(now) {
				continue
			}
			hasLocal = hasLocal || l.sameZone
			zones = append(zones, l.Zone)
		}
		switch {
		case hasLocal:
			local = append(local, i)
		case len(zones) > 0:
			remote[i] = zones
		}
	}
	return local, remote
}

// zoneWithMostShards returns the zone that has leafs of the most open shards, a random one of
// several, and these shards.
func (q *Query) zoneWithMostShards(remote map[int][]string) (string, []int) {
	byZone := make(map[string][]int)
	for i, zones := range remote {
		for _, z := range zones {
			if list := byZone[z]; len(list) == 0 || list[len(list)-1] != i {
				byZone[z] = append(list, i)
			}
		}
	}
	names := slices.Sorted(maps.Keys(byZone))
	q.table.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	best := slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(len(byZone[a]), len(byZone[b])) })
	shards := byZone[best]
	slices.Sort(shards)
	return best, shards
}

// callVM makes a call; redelegated says that another VM was called for the same shards before.
func (q *Query) callVM(now time.Time, d delegation, redelegated bool) Action {
	id := CallID(len(q.calls) + 1)
	v, shards := d.vm, d.shards
	v.inFlight++
	views := make([]View, len(shards))
	for n, i := range shards {
		s := &q.shards[i]
		views[n] = q.table.View(s.service)
		s.call = id
		s.redelegated = s.redelegated || redelegated
		q.shareShard(s, v.Zone)
		if !s.budgetCounted {
			s.budgetCounted = true
			q.table.service(now, s.service).budget.countRequest(now, q.spec.BudgetWeight*delegatedWeight)
		}
	}
	left := q.spec.AnswerBy.Sub(now)
	interim := now.Add(time.Duration(interimShare * float64(left)))
	due := q.failoverTime(now, interim)
	q.calls[id] = &call{
		vm: v.Name, partition: d.partition, redelegated: redelegated, shards: shards, sentAt: now,
		failoverAt: due,
	}
	return CallVM{
		Call:        id,
		VM:          v.VM,
		SentAt:      now,
		Shards:      shards,
		Views:       views,
		Required:    max(len(shards)-q.omissionsLeft, 0),
		Redelegated: redelegated,
		InterimBy:   interim,
		AnswerBy:    now.Add(max(time.Duration(answerShare*float64(left)), left-callSlack)),
	}
}

// failoverTime returns when a call that has no answer yet fails over: once it takes longer
// than most first answers do, but not before the VM could have sent an interim answer.
func (q *Query) failoverTime(now, interim time.Time) time.Time {
	due := interim.Add(callSlack)
	if d, known := q.table.durationsOf(q.callDurationKey()).Quantile(now, failoverQuantile); known {
		due = later(due, now.Add(time.Duration(failoverFactor*float64(d))))
	}
	last := now.Add(time.Duration(failoverLatestShare * float64(q.spec.AnswerBy.Sub(now))))
	return earlier(due, last)
}

// delegatedWeight is the part of a delegated request that counts for the budget of the
// delegating VM; the other VM counts the remainder (DelegateWeight). The other VM sends the
// hedges; the delegating VM needs the budget only when the call fails over.
const delegatedWeight = 0.15

// DelegateWeight is the BudgetWeight of a request that another VM delegated.
const DelegateWeight = 1 - delegatedWeight

func (q *Query) callDurationKey() durationKey {
	return durationKey{objective: q.spec.LatencyObjective, byVM: true, shard: q.spec.Gathered}
}

// CallAnswer is another VM's answer for the shards that it was called for. An empty one
// acknowledges the call.
type CallAnswer struct {
	Included []int // shards that the answer includes
	Declined []int // shards that it has not queried and never will
	Last     bool  // no other answer follows
	// Refused says that no leaf has run any of the shards for that VM, and none will. It
	// ends the call.
	Refused    bool
	RetryAfter time.Duration // if Refused: when the caller should retry
}

// CallReply handles an answer of another VM. Where a shard was meanwhile answered directly,
// the call's answer counts: it can't be split, and either answer is as good.
func (q *Query) CallReply(now time.Time, id CallID, ans CallAnswer) []Action {
	c := q.calls[id]
	if c == nil || q.done {
		return nil
	}
	q.includeAnswer(ans.Included)
	q.acknowledged(now, c)
	if ans.Refused {
		return q.callRefused(now, c, id, ans.RetryAfter)
	}
	answered := len(ans.Included) > 0 || ans.Last // an answer that only declines shards does not count
	if answered && !c.answered {
		q.table.durationsOf(q.callDurationKey()).Add(now, now.Sub(c.sentAt))
	}
	c.answered = c.answered || answered
	c.finished = c.finished || ans.Last
	acts := q.reclaim(now, id, ans.Declined)
	if c.resolved {
		return q.conclude(now, acts)
	}
	if !ans.Last {
		// The VM is alive and still at work. Querying leafs in parallel would gain
		// little.
		if len(ans.Included) > 0 {
			c.failoverAt = q.spec.AnswerBy
		}
		return q.conclude(now, acts)
	}
	c.resolved = true
	q.table.callRefusalRate.add(now, 0)
	return q.conclude(now, append(acts, q.sendDirectly(now, id)...))
}

// callRefused handles a reply that no leaf has run any shard of a call, nor will for that VM.
// Shards that were not meanwhile sent directly are closed: the others can't make up for them.
func (q *Query) callRefused(now time.Time, c *call, id CallID, retryAfter time.Duration) []Action {
	c.finished, c.resolved = true, true
	q.table.callRefusalRate.add(now, 1)
	q.retryAfter = max(q.retryAfter, retryAfter)
	for _, i := range c.shards {
		s := &q.shards[i]
		if s.call != id {
			continue
		}
		s.call = 0
		s.arrived = true // leafs may have received and refused it
		if s.sends == 0 {
			s.close(GapForecast)
		}
	}
	return q.conclude(now, nil)
}

// CallFail handles a call that ended without an answer. With neverSent the other VM did not
// get the call, so its shards are this VM's alone again.
func (q *Query) CallFail(now time.Time, id CallID, neverSent bool) []Action {
	c := q.calls[id]
	if c == nil || q.done || c.finished {
		return nil
	}
	c.finished = true
	if c.resolved {
		var acts []Action
		if neverSent {
			acts = q.reclaim(now, id, c.shards)
		}
		return q.conclude(now, acts)
	}
	c.resolved = true
	acts := q.failOver(now, id, !neverSent)
	if neverSent {
		acts = append(acts, q.reclaim(now, id, c.shards)...)
	}
	return q.conclude(now, acts)
}

// reclaim sends shards that were delegated but that the other VM never queried. The first
// attempt is the first arrival, and costs nothing of the budget. Shards that this VM or a
// second VM may already have queried are left as they are.
func (q *Query) reclaim(now time.Time, id CallID, shards []int) []Action {
	var acts []Action
	for _, i := range shards {
		s := &q.shards[i]
		if s.call != id || s.redelegated || s.sends > 0 || s.answered() {
			continue
		}
		s.call = 0
		s.shared = false
		q.table.service(now, s.service).budget.countRequest(now, q.spec.BudgetWeight*(1-delegatedWeight))
		acts = append(acts, q.trySend(now, i, FirstAttempt)...)
	}
	return acts
}
