package scatter

import (
	"maps"
	"slices"
	"time"
)

// Refused calls.
//
// A VM that refuses a call by its forecast has sent nothing to a leaf, and never will. Another VM can
// then be called for the shards as if there had been no call. It may know the leafs better, have more
// power, or be nearer to other leafs.

// refusalStep is how far the calls for some shards have come, as VMs refuse them. Each step is taken
// at most once, so there is no circle.
type refusalStep int

const (
	firstOwner   refusalStep = iota // no VM has refused the shards
	anotherOwner                    // a second owner of the same leaf partition was called
	anotherZone                     // owners in another zone were called; nobody is left
)

// RefusalCause says why a VM refused a call.
type RefusalCause int

// The causes of a refusal.
const (
	RefusedBySome   RefusalCause = iota // leafs may have received requests; also the cause that a VM of an earlier release states
	RefusedForLeafs                     // leafs would answer too late; nothing was sent to them
	RefusedForSelf                      // the VM itself would be too late; nothing was sent to a leaf
)

// RefusalCause returns why a delegated request was refused; the outcome has the verdict NotRun.
func (out Outcome) RefusalCause() RefusalCause {
	switch {
	case out.Sent > 0:
		return RefusedBySome
	case out.Refusal != nil && out.Refusal.Stopping:
		return RefusedForSelf
	case out.Quarantined, out.Refusal != nil && out.Refusal.OwnTime == 0:
		return RefusedForLeafs
	}
	// A VM that has just started may know no leafs.
	return RefusedForSelf
}

// A refusal for the leafs holds for other VMs too, unless the VM that refused is wrong: they query the
// same leafs, or others that are as short of slots. If every such refusal were doubted, leafs that are
// short of slots would work for requests that fail at other shards. So a VM doubts some of them only.
const (
	// doubtsPerCall is how many refusals for the leafs are doubted for each call, on average.
	doubtsPerCall = 1.0 / 16
	// maxDoubts bounds the doubts that are saved up.
	maxDoubts = 1
)

// earnDoubt counts a call to another VM.
func (t *Table) earnDoubt() { t.doubts = min(t.doubts+doubtsPerCall, maxDoubts) }

// doubtsRefusal reports whether other VMs are called for shards that one has refused for the given cause.
func (t *Table) doubtsRefusal(cause RefusalCause) bool {
	switch {
	case cause == RefusedForSelf:
		return true
	case cause != RefusedForLeafs || t.doubts < 1:
		return false
	}
	t.doubts--
	return true
}

// minReaskTime returns the shortest time until AnswerBy with which another VM is called for shards
// that one has refused: enough for the call and for a leaf.
func (q *Query) minReaskTime(now time.Time) time.Duration {
	typical, _ := q.table.typicalDuration(now, q.durationKey())
	leafTime, _ := q.table.forecastOf(q.durationKey()).split(now, typical)
	return callRoundTrip + leafTime
}

// mayAskElsewhere reports whether other VMs may be called for shards that one has refused: they are enough
// for a call, and there is time.
func (q *Query) mayAskElsewhere(now time.Time, shards []int) bool {
	return len(shards) >= minDelegatedShards && q.mayCallVMs(now) && q.spec.AnswerBy.Sub(now) >= q.minReaskTime(now)
}

// askElsewhere calls other VMs for shards that the VM of call c does not query, and returns these
// calls. It calls another owner of the leaf partition, or else owners in other zones. Shards for which
// nobody is left, or no time, stay without a call, and so do those that a VM called before may have queried:
// VMs of another zone would use other leafs.
func (q *Query) askElsewhere(now time.Time, c *call, shards []int) []Action {
	if c.step == firstOwner {
		v := q.table.pickVM(now, c.partition, q.vmsCalledFor(c.partition))
		if v != nil && q.keepsCommonLeafs(v, shards, c.redelegated) {
			return []Action{q.callVM(now, delegation{vm: v, partition: c.partition, shards: shards, step: anotherOwner}, c.redelegated)}
		}
	}
	if c.step == anotherZone || c.redelegated {
		return nil
	}
	shards = slices.DeleteFunc(slices.Clone(shards), func(i int) bool { return q.shards[i].redelegated })
	var acts []Action
	for _, d := range q.delegationsElsewhere(now, c.partition.zone, shards) {
		acts = append(acts, q.callVM(now, d, false))
	}
	return acts
}

// delegationsElsewhere returns the calls to owners in zones other than the given one and this VM's
// own. VMs that were called before for the same partition are left out.
func (q *Query) delegationsElsewhere(now time.Time, except string, shards []int) []delegation {
	remote := make(map[int][]string)
	canCall := q.table.callableOwners(now)
	for _, i := range shards {
		if zones := q.otherZones(now, i, except, canCall); len(zones) > 0 {
			remote[i] = zones
		}
	}
	byPartition := make(map[zonePartition][]int)
	q.assignToZones(byPartition, remote)
	var calls []delegation
	for _, p := range slices.SortedFunc(maps.Keys(byPartition), compareZonePartitions) {
		list := byPartition[p]
		if len(list) < minDelegatedShards {
			continue
		}
		if v := q.table.pickVM(now, p, q.vmsCalledFor(p)); v != nil {
			calls = append(calls, delegation{vm: v, partition: p, shards: list, step: anotherZone})
		}
	}
	return calls
}

// otherZones returns the zones with available leafs of a shard where a VM can be called for it,
// without this VM's zone and the given one.
func (q *Query) otherZones(now time.Time, i int, except string, canCall func(zone, service string) bool) []string {
	var zones []string
	for _, l := range q.table.usableLeafs(q.shards[i].service) {
		if l.available(now) && !l.sameZone && l.Zone != except && canCall(l.Zone, l.Service) {
			zones = append(zones, l.Zone)
		}
	}
	return zones
}

// isFinal reports whether nobody else could be called for the shards of a call if its VM refused.
// redelegated says that another VM may have queried them.
func (q *Query) isFinal(now time.Time, d delegation, redelegated bool) bool {
	if d.step == anotherZone {
		return true
	}
	called := append(q.vmsCalledFor(d.partition), d.vm.Name)
	if d.step == firstOwner && len(q.table.delegates(now, d.partition, called)) > 0 {
		return false
	}
	if redelegated {
		return true
	}
	canCall := q.table.callableOwners(now)
	return !slices.ContainsFunc(d.shards, func(i int) bool {
		return len(q.otherZones(now, i, d.partition.zone, canCall)) > 0
	})
}

// delegateOwnShards returns calls to other owners of the leaf partitions that this VM owns, for those
// of its own shards that it can't query in time itself. Only VMs with at least the power of this one
// are called.
func (q *Query) delegateOwnShards(now time.Time, ownShards []int) []delegation {
	z := q.table.zones[q.table.zone]
	byPartition := make(map[zonePartition][]int)
	for _, i := range ownShards {
		p := zonePartition{zone: q.table.zone, partition: z.partitionOf(q.shards[i].service)}
		byPartition[p] = append(byPartition[p], i)
	}
	var calls []delegation
	for _, p := range slices.SortedFunc(maps.Keys(byPartition), compareZonePartitions) {
		list := byPartition[p]
		if len(list) < minDelegatedShards || !z.owns(p.partition) {
			continue
		}
		if v := q.table.pickVM(now, p, nil); v != nil && v.Power >= q.table.power {
			calls = append(calls, delegation{vm: v, partition: p, shards: list, step: anotherOwner})
		}
	}
	return calls
}

// callRefused handles the refusal of call c, which has the given id: no leaf has run any of its
// shards for the called VM, and none will. Other VMs are called for the shards if the refusing one
// was itself too late, or may be wrong about the leafs. If nobody is left, the shards are closed. Shards that this VM has meanwhile sent to
// a leaf itself stay open.
func (q *Query) callRefused(now time.Time, c *call, id CallID, ans CallAnswer) []Action {
	c.finished, c.resolved = true, true
	q.table.callRefusalRate.add(now, 1)
	q.retryAfter = max(q.retryAfter, ans.RetryAfter)
	open := q.release(id, c.shards, ans.Cause == RefusedBySome)
	var acts []Action
	if q.mayAskElsewhere(now, open) && q.table.doubtsRefusal(ans.Cause) {
		acts = q.askElsewhere(now, c, open)
	}
	q.closeUncalled(open)
	return q.conclude(now, acts)
}

// recordLeftOut handles those shards of a call that the called VM leaves out by its forecast. It has
// sent nothing for them, and never will. Other VMs may be called for them only if the answer would not
// suffice without them: an answer may leave out some shards. Otherwise they are closed. So a request
// whose calls together leave out too many shards ends at once.
func (q *Query) recordLeftOut(now time.Time, c *call, id CallID, shards []int) []Action {
	if len(shards) == 0 {
		return nil
	}
	// Another VM that was called for a shard before may still answer it.
	shards = slices.DeleteFunc(slices.Clone(shards), func(i int) bool { return q.shards[i].redelegated })
	q.recordLost(now, shards)
	open := q.release(id, shards, false)
	missing := 0
	for i := range q.shards {
		if s := &q.shards[i]; !s.answered() && (s.closed || slices.Contains(open, i)) {
			missing++
		}
	}
	var acts []Action
	if !q.enough(len(q.shards)-missing) && q.mayAskElsewhere(now, open) && q.table.doubtsRefusal(RefusedForLeafs) {
		acts = q.askElsewhere(now, c, open)
	}
	q.closeUncalled(open)
	return acts
}

// release takes the given shards from a call, and returns those that have no answer and that this VM
// has not sent to a leaf itself. arrived says that leafs may have received and refused them.
func (q *Query) release(id CallID, shards []int, arrived bool) []int {
	var open []int
	for _, i := range shards {
		s := &q.shards[i]
		if s.call != id {
			continue
		}
		s.call = 0
		s.arrived = s.arrived || arrived
		if s.sends == 0 && !s.answered() {
			open = append(open, i)
		}
	}
	return open
}

// closeUncalled closes those of the given shards for which no VM is called.
func (q *Query) closeUncalled(shards []int) {
	for _, i := range shards {
		if s := &q.shards[i]; s.call == 0 {
			s.close(GapForecast)
		}
	}
}

// LeftOut returns the indexes of the shards of a delegated query for which this VM sends nothing
// by its forecast.
func (q *Query) LeftOut() []int {
	var list []int
	for i := range q.shards {
		if s := &q.shards[i]; s.closed && s.gap == GapForecast && s.sends == 0 {
			list = append(list, i)
		}
	}
	return list
}

// extraAttemptDecides reports whether a hedge or a second attempt can still matter. It can't at a
// VM whose calling VM needs more shards than can still be answered. The calling VM may answer those
// that this VM declines, and those for which only this VM's budget is used up.
func (q *Query) extraAttemptDecides() bool {
	possible := 0
	for i := range q.shards {
		s := &q.shards[i]
		elsewhere := q.spec.Delegated && (s.gap == GapDeclined || s.gap == GapBudget)
		if s.answered() || !s.closed || s.inFlight > 0 || elsewhere {
			possible++
		}
	}
	if q.spec.Delegated {
		return possible >= min(q.spec.Required, len(q.shards))
	}
	return q.enough(possible)
}
