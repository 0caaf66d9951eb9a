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
// records of 20 shards are chosen from 20 times as many records. Shards without a leaf in this
// VM's zone are queried through a VM in the zone of their leafs. That VM passes on only the
// records that can still be among the greatest.
//
// With many VMs and many shards, a leaf accepts fewer connections than there are VMs, and
// querying every shard takes one small VM longer than its caller waits. The VMs of a zone then
// divide its leafs into partitions, and shards with leafs in this zone are also queried
// through the VMs that own their partition. With few VMs there is one partition, which all of
// them own.
//
// Delegation costs two more hops within the region. Calls to a VM that is frozen, disconnected
// or stopped fail over (see failover.go).

// Parameters of calls to other VMs. AnswerBy is the time by which this VM answers its caller. A
// call fails over when its shards are sent to another VM, or to leafs directly, instead.
const (
	// minDelegatedShards is the smallest number of shards for which a VM in another zone is
	// called. It also applies to a call in place of one that failed. With fewer shards, the
	// message to the other VM is larger than the answers that it saves.
	minDelegatedShards = 3
	// interimAnswerShare is the share of the time until AnswerBy, when the calling VM
	// answers its caller, after which the called VM sends the answers that it has. If it has
	// sent nothing by then, the call may fail over.
	interimAnswerShare = 0.5
	// minDelegateTimeShare is the shortest time that the called VM is given for its answer,
	// as a share of the time until AnswerBy, when the calling VM answers its caller. The
	// remaining time, at most callRoundTrip, is for sending both answers.
	minDelegateTimeShare = 0.85
	// callRoundTrip is the time that a message to the called VM and its answer take on the
	// network.
	callRoundTrip = 8 * time.Millisecond
	// failoverDurationQuantile is a quantile of the durations of recent calls, from 0 to 1.
	// The duration of a call is the time until its first answer. A call without an answer
	// fails over after a multiple of this quantile.
	failoverDurationQuantile = 0.95
	// failoverDurationFactor is the time after which a call without an answer fails over,
	// as a multiple of the failoverDurationQuantile of the durations of recent calls.
	failoverDurationFactor = 1.2
	// latestFailoverShare is the share of the time until AnswerBy, when this VM answers its
	// caller, after which a call without an answer fails over at the latest.
	latestFailoverShare = 0.85
)

// zonePartition identifies a leaf partition: one of the groups into which the leafs of a zone
// are divided. Its shards are queried through the VMs that own it.
type zonePartition struct {
	zone      string
	partition int // number of the partition in the zone, from 0
}

// delegation is a call to another VM that has to be made.
type delegation struct {
	vm        *vm           // the VM to call
	partition zonePartition // leaf partition of the shards; the VM is one of its owners
	shards    []int         // indexes of the shards that the VM is to query
	step      refusalStep
}

// delegations returns the calls to make for shards that this VM does not query itself. For
// shards with a leaf in this zone, it calls VMs of this zone that own the shards' leaf partition.
// For the other shards it calls VMs in few other zones: the zone with leafs of the most shards is
// chosen first, then the zone with leafs of the most remaining ones, and so on.
func (q *Query) delegations(now time.Time) []delegation {
	local, remote := q.splitByProximity(now)
	local = q.spill(now, local, remote)
	byPartition := make(map[zonePartition][]int)
	q.assignToPartitions(byPartition, q.table.zone, local)
	q.assignToZones(byPartition, remote)
	var calls []delegation
	for _, p := range slices.SortedFunc(maps.Keys(byPartition), compareZonePartitions) {
		shards := byPartition[p]
		if len(shards) < minDelegatedShards && p.zone != q.table.zone {
			continue
		}
		if v := q.table.pickVM(now, p, nil); v != nil {
			calls = append(calls, delegation{vm: v, partition: p, shards: shards})
		}
	}
	return calls
}

// assignToZones adds shards to byPartition under a leaf partition of one of their zones, in few zones: the
// zone with leafs of the most shards is chosen first. remote maps each shard to its zones; the shards that
// are left in it are too few in any zone.
func (q *Query) assignToZones(byPartition map[zonePartition][]int, remote map[int][]string) {
	for len(remote) > 0 {
		zone, shards := q.zoneWithMostShards(remote)
		if len(shards) < minDelegatedShards {
			return
		}
		for _, i := range shards {
			delete(remote, i)
		}
		q.assignToPartitions(byPartition, zone, shards)
	}
}

// compareZonePartitions orders partitions by zone, then by number.
func compareZonePartitions(a, b zonePartition) int {
	return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.partition, b.partition))
}

// assignToPartitions adds the given shards, which have leafs in the zone, to byPartition under
// their leaf partition. Shards in partitions that this VM serves are left out.
func (q *Query) assignToPartitions(byPartition map[zonePartition][]int, zone string, shards []int) {
	z := q.table.zones[zone]
	if z == nil {
		return
	}
	for _, i := range shards {
		p := zonePartition{zone: zone, partition: z.partitionOf(q.shards[i].service)}
		if !q.table.serves(p) {
			byPartition[p] = append(byPartition[p], i)
		}
	}
}

// splitByProximity divides the shards by where their available leafs are. local holds the
// indexes of the shards that have such a leaf in this VM's zone. remote holds the other shards,
// by index, each with those zones of its leafs where a VM can be called for the shard. So a zone
// whose VMs are all lost is not chosen while another one can answer. Shards without an available
// leaf, or without a VM to call, are in neither.
func (q *Query) splitByProximity(now time.Time) (local []int, remote map[int][]string) {
	remote = make(map[int][]string)
	canCall := q.table.callableOwners(now)
	var zones []string // of one shard
	for i := range q.shards {
		zones = zones[:0]
		hasLocal := false
		for _, l := range q.table.usableLeafs(q.shards[i].service) {
			if !l.available(now) {
				continue
			}
			hasLocal = hasLocal || l.sameZone
			if canCall(l.Zone, q.shards[i].service) {
				zones = append(zones, l.Zone)
			}
		}
		switch {
		case hasLocal:
			local = append(local, i)
		case len(zones) > 0:
			remote[i] = slices.Clone(zones)
		}
	}
	return local, remote
}

// zoneWithMostShards returns the zone that has leafs of the most shards, and these shards. If
// several zones have as many, one of them is chosen at random. remote maps each shard to the
// zones of its leafs.
func (q *Query) zoneWithMostShards(remote map[int][]string) (string, []int) {
	byZone := make(map[string][]int)
	for i, zones := range remote {
		for _, z := range zones {
			// A shard with several leafs in a zone is listed there once.
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

// callVM records a call to another VM and returns the action that makes it. redelegated says
// that another VM was called for the same shards before and may have queried them.
func (q *Query) callVM(now time.Time, d delegation, redelegated bool) Action {
	id := CallID(len(q.calls) + 1)
	v, shards := d.vm, d.shards
	v.inFlight++
	q.table.earnDoubt()
	views := make([]View, len(shards))
	for n, i := range shards {
		s := &q.shards[i]
		s.call = id
		s.redelegated = s.redelegated || redelegated
		q.shareShard(s, v.Zone)
		views[n] = viewOf(s.commonLeafs)
		if !s.budgetCounted {
			s.budgetCounted = true
			q.table.service(now, s.service).budget.countRequest(now, q.spec.BudgetWeight*delegatedWeight)
		}
	}
	timeLeft := q.spec.AnswerBy.Sub(now)
	final := q.isFinal(now, d, redelegated)
	interimBy := now.Add(time.Duration(interimAnswerShare * float64(timeLeft)))
	failoverAt := q.failoverTime(now, interimBy)
	q.calls[id] = &call{
		vm: v.Name, partition: d.partition, redelegated: redelegated, shards: shards, sentAt: now,
		failoverAt: failoverAt, step: d.step,
	}
	// The called VM need not answer the shards that the whole answer may leave out. For its
	// answer it gets the time until AnswerBy less callRoundTrip, but no less than
	// minDelegateTimeShare of that time.
	return CallVM{
		Call:        id,
		VM:          v.VM,
		SentAt:      now,
		Shards:      shards,
		Views:       views,
		Required:    max(len(shards)-q.omissionsLeft, 0),
		Redelegated: redelegated,
		Final:       final,
		Scarce:      q.scarce(),
		InterimBy:   interimBy,
		AnswerBy:    now.Add(max(time.Duration(minDelegateTimeShare*float64(timeLeft)), timeLeft-callRoundTrip)),
	}
}

// failoverTime returns when a call that is sent now fails over if it has no answer by then. That
// is when the call has taken longer than most calls take until their first answer. The called VM
// sends an interim answer at interimBy, so the call does not fail over before that answer can have
// been received. It fails over at the latest after latestFailoverShare of the time until AnswerBy,
// by when this VM answers its caller. A call that is not acknowledged in time fails over earlier
// (see call.ackDue).
func (q *Query) failoverTime(now, interimBy time.Time) time.Time {
	due := interimBy.Add(callRoundTrip)
	if d, known := q.table.durationsOf(q.callDurationKey()).Quantile(now, failoverDurationQuantile); known {
		due = later(due, now.Add(time.Duration(failoverDurationFactor*float64(d))))
	}
	latest := now.Add(time.Duration(latestFailoverShare * float64(q.spec.AnswerBy.Sub(now))))
	return earlier(due, latest)
}

// delegatedWeight is the part of a delegated request, from 0 to 1, that is counted as a request in
// the budget of the calling VM. A budget allows hedges and retries in proportion to requests. The
// called VM counts the remainder (DelegateWeight), which is larger: the called VM sends the
// hedges, and the calling VM needs its budget only when the call fails over.
const delegatedWeight = 0.15

// DelegateWeight is the BudgetWeight of a request that another VM delegated to this one: the part,
// from 0 to 1, that this VM counts as a request in its budget. A budget allows hedges and retries
// in proportion to requests.
const DelegateWeight = 1 - delegatedWeight

// callDurationKey returns the key under which the durations of this query's calls to other VMs
// are recorded. The duration of a call is the time until its first answer.
func (q *Query) callDurationKey() durationKey {
	return durationKey{objective: q.spec.LatencyObjective, byVM: true, gathered: q.spec.Gathered}
}

// CallAnswer is another VM's answer for the shards that it was called for. An empty one
// acknowledges the call.
type CallAnswer struct {
	Included []int // indexes of the shards whose answers it includes
	Declined []int // indexes of the shards that the VM has not queried for the call and never will
	Last     bool  // no further answer to the call follows
	// Refused says that no leaf has run any of the shards for that VM, and none will. It
	// ends the call.
	Refused    bool
	RetryAfter time.Duration // if Refused: delay after which the caller should retry
	Cause      RefusalCause  // if Refused
	// LeftOut are the indexes of the shards for which the VM sends nothing by its forecast.
	LeftOut  []int
	LeafTime time.Duration // leaf time of such attempts, as the VM has measured it; 0 if not stated
}

// CallReply handles an answer of another VM and returns the actions that follow from it. For a
// shard that the answer includes, this VM may meanwhile have the answer of a leaf. The other VM's
// answer is then used: it can't be split by shard, and either answer is as good.
func (q *Query) CallReply(now time.Time, id CallID, ans CallAnswer) []Action {
	c := q.calls[id]
	if c == nil || q.done {
		return nil
	}
	q.includeAnswer(ans.Included)
	q.recordLost(time.Time{}, ans.Included)
	q.recordAck(now, c)
	q.table.forecastOf(q.durationKey()).recordTold(now, ans.LeafTime)
	if ans.Refused {
		return q.callRefused(now, c, id, ans)
	}
	answered := len(ans.Included) > 0 || ans.Last // an answer that only declines shards does not count
	if answered && !c.answered {
		q.table.durationsOf(q.callDurationKey()).Add(now, now.Sub(c.sentAt))
	}
	c.answered = c.answered || answered
	c.finished = c.finished || ans.Last
	acts := append(q.reclaim(now, id, ans.Declined), q.recordLeftOut(now, c, id, ans.LeftOut)...)
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

// CallFail handles a call that ended without its last answer, and returns the actions that
// follow. neverSent says that the called VM did not receive the call and so queries none of its
// shards. This VM then queries them alone, unless another VM was called for them too.
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

// reclaim sends attempts on shards of a call to leafs. shards are the indexes of those that the
// called VM has not queried and never will. Shards that are answered are skipped, and so are
// those that this VM or a second VM may already have queried. For the remaining shards, no request
// has reached a leaf yet. So the attempts take nothing from the budget, which bounds only extra
// arrivals, such as hedges and retries.
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
