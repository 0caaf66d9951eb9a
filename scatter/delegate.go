package scatter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Two loads make one VM let others ask leafs for it.
//
// Bytes between zones are dear, and a gathered request moves many: the greatest
// records of 20 shards come from 20 times as many. Shards without a leaf near are
// asked for through a VM that is near their leafs and passes on only the records that
// can still be among the greatest.
//
// Where many VMs stand before many shards, a leaf has fewer connections than there are
// VMs, and asking every shard takes one small VM longer than its caller waits. The VMs
// of a zone then divide its leafs into parts, and near shards too are asked for through
// VMs that own their part. With few VMs there is one part, which all of them own.
//
// It costs two more hops within the region. A VM that is frozen, cut off or killed is overtaken
// (overtake.go).

// Parameters of delegating.
const (
	// minDelegated is the number of shards from which a message to another VM is
	// smaller than the answers that it saves.
	minDelegated = 3
	// interimShare is the part of the time until AnswerBy after which the other VM
	// tells what it has. A VM that says nothing by then is overtaken.
	interimShare = 0.5
	// answerShare is the part that it has in all at the least: what is left is for its
	// answer and for answering the caller, callSlack at the most.
	answerShare = 0.85
	// callSlack is for the way to the other VM and back.
	callSlack = 8 * time.Millisecond
	// failoverQuantile and callFactor say when a silent VM is overtaken, callLatest by
	// when at the latest, as a part of the time until AnswerBy.
	failoverQuantile    = 0.95
	failoverFactor      = 1.2
	failoverLatestShare = 0.85
)

// zonePartition is where a shard is asked for: through the VMs that own a part of a zone.
type zonePartition struct {
	zone      string
	partition int
}

// delegation is a call to make: the VM, whose part it is called for, and the shards.
type delegation struct {
	vm        *vm
	partition zonePartition
	shards    []int
}

// delegations chooses VMs for the shards that this VM does not own: near ones in this zone,
// the others in as few zones as possible.
func (q *Query) delegations(now time.Time) []delegation {
	near, far := q.splitByProximity(now)
	byPlace := make(map[zonePartition][]int)
	q.assignToPartitions(byPlace, q.table.zone, near)
	for len(far) > 0 {
		zone, shards := q.zoneWithMostShards(far)
		if len(shards) < minDelegated {
			break
		}
		for _, i := range shards {
			delete(far, i)
		}
		q.assignToPartitions(byPlace, zone, shards)
	}
	var calls []delegation
	for _, p := range slices.SortedFunc(maps.Keys(byPlace), compareZonePartitions) {
		shards := byPlace[p]
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

// assignToPartitions sorts shards of one zone by the part of it that they belong to, those of this
// VM's own part left out.
func (q *Query) assignToPartitions(byPlace map[zonePartition][]int, zone string, shards []int) {
	z := q.table.zones[zone]
	if z == nil {
		return
	}
	for _, i := range shards {
		part := z.partitionOf(q.shards[i].service)
		if !z.owns(part) {
			p := zonePartition{zone: zone, partition: part}
			byPlace[p] = append(byPlace[p], i)
		}
	}
}

// splitByProximity returns the shards that have a leaf near, and the zones of the leafs of
// those that have others only. Leafs that are not asked don't count.
func (q *Query) splitByProximity(now time.Time) (near []int, far map[int][]string) {
	far = make(map[int][]string)
	for i := range q.shards {
		var zones []string
		isNear := false
		for _, l := range q.table.usableLeafs(q.shards[i].service) {
			if !l.available(now) {
				continue
			}
			isNear = isNear || l.sameZone
			zones = append(zones, l.Zone)
		}
		switch {
		case isNear:
			near = append(near, i)
		case len(zones) > 0:
			far[i] = zones
		}
	}
	return near, far
}

// zoneWithMostShards returns the zone that has leafs of most open shards, a random one of
// several, and these shards.
func (q *Query) zoneWithMostShards(open map[int][]string) (string, []int) {
	byZone := make(map[string][]int)
	for i, zones := range open {
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

// callVM makes a call; again says that another VM was called for the same shards.
func (q *Query) callVM(now time.Time, d delegation, again bool) Action {
	id := CallID(len(q.calls) + 1)
	v, shards := d.vm, d.shards
	v.inFlight++
	views := make([]View, len(shards))
	for n, i := range shards {
		s := &q.shards[i]
		views[n] = q.table.View(s.service)
		s.call = id
		s.redelegated = s.redelegated || again
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
		vm: v.Name, partition: d.partition, redelegated: again, shards: shards, sentAt: now,
		failoverAt: due,
	}
	return CallVM{
		Call:        id,
		VM:          v.VM,
		SentAt:      now,
		Shards:      shards,
		Views:       views,
		Required:    max(len(shards)-q.omissionsLeft, 0),
		Redelegated: again,
		InterimBy:   interim,
		AnswerBy:    now.Add(max(time.Duration(answerShare*float64(left)), left-callSlack)),
	}
}

// failoverTime returns when a VM that has not answered is overtaken: once it takes longer
// than first answers mostly do, but not before it could have answered in part.
func (q *Query) failoverTime(now, interim time.Time) time.Time {
	due := interim.Add(callSlack)
	if d, known := q.table.durationsOf(q.callDurationKey()).Quantile(now, failoverQuantile); known {
		due = later(due, now.Add(time.Duration(failoverFactor*float64(d))))
	}
	last := now.Add(time.Duration(failoverLatestShare * float64(q.spec.AnswerBy.Sub(now))))
	return earlier(due, last)
}

// delegatedWeight is the part of a delegated request that counts for the budget of
// the VM that delegates; the other VM counts the rest (DelegateWeight). That one hedges;
// this one needs the budget only when it is overtaken.
const delegatedWeight = 0.15

// DelegateWeight is the Weight of a request that another VM delegated.
const DelegateWeight = 1 - delegatedWeight

func (q *Query) callDurationKey() durationKey {
	return durationKey{objective: q.spec.LatencyObjective, byVM: true, shard: q.spec.Gathered}
}

// CallAnswer is what another VM says of the shards that it was asked for. An empty one
// acknowledges the call.
type CallAnswer struct {
	Included []int // shards that its answer includes
	Declined []int // shards that it has not asked and never will
	Last     bool  // no other answer follows
	// Refused says that no leaf has run any of the shards for that VM, and none will. It
	// ends the call.
	Refused    bool
	RetryAfter time.Duration // if Refused: when the caller should come back
}

// CallReply takes an answer of another VM. Where a shard was answered directly meanwhile,
// the call's answer counts: it can't be taken apart, and either is as good.
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
	heard := len(ans.Included) > 0 || ans.Last // and not only what was declined
	if heard && !c.answered {
		q.table.durationsOf(q.callDurationKey()).Add(now, now.Sub(c.sentAt))
	}
	c.answered = c.answered || heard
	c.finished = c.finished || ans.Last
	acts := q.reclaim(now, id, ans.Declined)
	if c.resolved {
		return q.conclude(now, acts)
	}
	if !ans.Last {
		// It lives and goes on. Little is gained by asking beside it.
		if len(ans.Included) > 0 {
			c.failoverAt = q.spec.AnswerBy
		}
		return q.conclude(now, acts)
	}
	c.resolved = true
	q.table.callRefusalRate.add(now, 0)
	return q.conclude(now, append(acts, q.sendDirectly(now, id)...))
}

// callRefused takes that no leaf has run any shard of a call, nor will for that VM. Shards that
// were not asked directly meanwhile are closed: the others can't make up for them.
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
		s.arrived = true // leafs may have refused it
		if s.sends == 0 {
			s.close(GapForecast)
		}
	}
	return q.conclude(now, nil)
}

// CallFail takes that another VM gave no answer. With neverSent it got no call, so that
// its shards are this VM's alone again.
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

// reclaim asks for shards that were delegated, but that the other VM never asked: the
// first attempt is the first arrival, and costs nothing of the budget. Where this VM or a
// second one may have asked already, all stays as it is.
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
