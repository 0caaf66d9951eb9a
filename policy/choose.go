package policy

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is one version of a service's index, as chosen for a query.
type Snapshot struct {
	Name   string
	Seq    int64 // a newer snapshot has a larger number
	Shards int   // number of shards
}

// ChooseSnapshot returns the snapshot that a new query reads: the newest complete one.
// A snapshot is complete if every shard has a usable replica. During an index switch
// the newest one may have so few replicas that they would be overloaded; then an older
// complete one is returned. If none is complete, it returns the one with the largest
// share of readable shards. It returns false if no snapshot is readable.
func (t *Table) ChooseSnapshot(now time.Time) (Snapshot, bool) {
	var best *candidate
	for _, name := range sortedKeys(t.snapshots) {
		c := t.candidate(t.snapshots[name])
		if c.readable == 0 {
			continue
		}
		if best == nil || c.betterThan(best) {
			best = c
		}
	}
	if best == nil {
		return Snapshot{}, false
	}
	return best.snapshot.toSnapshot(), true
}

// FindSnapshot returns a snapshot by name, for a query that is pinned to it. It
// returns false unless at least one of the snapshot's shards has a usable replica.
func (t *Table) FindSnapshot(name string) (Snapshot, bool) {
	s := t.snapshots[name]
	if s == nil || t.candidate(s).readable == 0 {
		return Snapshot{}, false
	}
	return s.toSnapshot(), true
}

// toSnapshot returns the form of the snapshot that queries use.
func (s *snapshotState) toSnapshot() Snapshot {
	return Snapshot{Name: s.name, Seq: s.seq, Shards: s.shards}
}

// candidate is a snapshot with the values by which it is compared to others.
type candidate struct {
	snapshot    *snapshotState
	readable    int // shards with a usable replica
	minReplicas int // usable replicas of the shard that has the fewest
}

// candidate counts the usable replicas of each shard of a snapshot. It returns the snapshot
// with these counts.
func (t *Table) candidate(s *snapshotState) *candidate {
	c := &candidate{snapshot: s, minReplicas: -1}
	for shard := range s.shards {
		n := 0
		for _, r := range s.holders[shard] {
			if r.target.usable() {
				n++
			}
		}
		if n > 0 {
			c.readable++
		}
		if c.minReplicas < 0 || n < c.minReplicas {
			c.minReplicas = n
		}
	}
	return c
}

// maxReplicaRatio bounds the preference for the newer of two complete snapshots. The older
// one is chosen if it has more than this many times as many replicas. The replicas of a
// snapshot are those of its shard that has the fewest.
const maxReplicaRatio = 2

// betterThan reports whether c is a better choice than other. A complete snapshot is
// better than an incomplete one. Of two incomplete ones, the one with the larger share of
// readable shards is better, and the newer one if the shares are equal. Of two complete
// ones, the newer one is better unless the older one has more than maxReplicaRatio times
// as many replicas.
func (c *candidate) betterThan(other *candidate) bool {
	complete, otherComplete := c.complete(), other.complete()
	if complete != otherComplete {
		return complete
	}
	if !complete {
		a := float64(c.readable) / float64(c.snapshot.shards)
		b := float64(other.readable) / float64(other.snapshot.shards)
		if a != b {
			return a > b
		}
		return c.snapshot.seq > other.snapshot.seq
	}
	if c.snapshot.seq > other.snapshot.seq {
		return c.minReplicas*maxReplicaRatio >= other.minReplicas
	}
	return c.minReplicas > other.minReplicas*maxReplicaRatio
}

// complete reports whether every shard has a usable replica.
func (c *candidate) complete() bool { return c.readable == c.snapshot.shards }

// Records returns the number of records of a shard of a snapshot, and false if no
// replica has reported it.
func (t *Table) Records(snapshot string, shard int) (int64, bool) {
	s := t.snapshots[snapshot]
	if s == nil {
		return 0, false
	}
	n, ok := s.records[shard]
	return n, ok
}

// Parameters of the choice of a replica. The cost of a replica is the expected time of
// one more call on it.
const (
	defaultReplicaLatency = 5 * time.Millisecond // latency assumed for a replica on which this VM has measured none
	otherZoneCost         = time.Millisecond     // added to the expected time of a call on a replica outside this VM's zone
	maxLoadReportAge      = 2 * time.Second      // age from which a leaf's reported load is ignored
	loadReportWeight      = 0.5                  // weight of a call of another VM in a load that was reported just now, where a call of this VM has weight 1; it is lower since reports lag and may mislead
	reportedLoadCap       = 2                    // upper bound of the reported calls of other VMs, per slot of a replica, that count in its cost; applies before loadReportWeight
	maxCallsPerSlot       = 2                    // upper bound of this VM's calls in flight on a replica, per slot
)

// Pick chooses the replica for an attempt on a shard. It draws two usable replicas at
// random and returns the one with the lower expected time. The random draw keeps VMs
// that read the same report from all sending to the same leaf. Replicas in
// tried are excluded. If idleOnly is set, replicas without a free slot or in a cooldown
// are excluded too, for attempts that should not wait in a queue. It returns false if no
// replica remains.
func (t *Table) Pick(now time.Time, snapshot string, shard int, tried []ReplicaID, idleOnly bool) (ReplicaID, bool) {
	return t.pick(now, snapshot, shard, idleOnly, func(r *replica) bool { return !slices.Contains(tried, r.id) })
}

// PickAgain chooses the replica for an attempt on a shard of which all replicas have been
// tried since the given time. It prefers those whose target has answered since then: the
// others may be frozen.
func (t *Table) PickAgain(now time.Time, snapshot string, shard int, since time.Time) (ReplicaID, bool) {
	id, ok := t.pick(now, snapshot, shard, false, func(r *replica) bool { return r.target.answeredAt.After(since) })
	if ok {
		return id, true
	}
	return t.pick(now, snapshot, shard, false, func(*replica) bool { return true })
}

// pick is Pick among the replicas for which eligible returns true.
func (t *Table) pick(now time.Time, snapshot string, shard int, idleOnly bool, eligible func(*replica) bool) (ReplicaID, bool) {
	s := t.snapshots[snapshot]
	if s == nil {
		return ReplicaID{}, false
	}
	usable := t.usableReplicas(s.holders[shard], func(r *replica) bool {
		return eligible(r) && !r.inCooldown(now) && t.hasCapacity(r, now, idleOnly)
	})
	if len(usable) == 0 && !idleOnly {
		// All replicas are in cooldown after failures. Trying one is better than waiting.
		usable = t.usableReplicas(s.holders[shard], func(r *replica) bool {
			return eligible(r) && !r.refusing(now) && t.hasCapacity(r, now, idleOnly)
		})
	}
	if len(usable) == 0 {
		return ReplicaID{}, false
	}
	first := usable[t.rng.IntN(len(usable))]
	second := usable[t.rng.IntN(len(usable))]
	if t.cost(second, now) < t.cost(first, now) {
		return second.id, true
	}
	return first.id, true
}

// PickRandom chooses a random replica of a shard whose target is usable. It returns false
// if there is none. Queries with Spec.Plain use it instead of Pick.
func (t *Table) PickRandom(snapshot string, shard int) (ReplicaID, bool) {
	s := t.snapshots[snapshot]
	if s == nil {
		return ReplicaID{}, false
	}
	var usable []*replica
	for _, r := range s.holders[shard] {
		if r.target.usable() {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return ReplicaID{}, false
	}
	return usable[t.rng.IntN(len(usable))].id, true
}

// usableReplicas returns those of holders whose target is usable and for which match returns
// true. The slice is valid until the next call.
func (t *Table) usableReplicas(holders []*replica, match func(*replica) bool) []*replica {
	t.scratch = t.scratch[:0]
	for _, r := range holders {
		if r.target.usable() && match(r) {
			t.scratch = append(t.scratch, r)
		}
	}
	return t.scratch
}

// hasCapacity reports whether r has capacity for one more call of this VM. The calls of
// this VM may wait for a slot, up to maxCallsPerSlot in flight per slot. If idleOnly is set,
// the call must find a free slot; then the calls of other VMs count too.
func (t *Table) hasCapacity(r *replica, now time.Time, idleOnly bool) bool {
	if !idleOnly {
		return r.outstanding < r.slots*maxCallsPerSlot
	}
	return t.otherVMsLoad(r, now)+float64(r.outstanding) < float64(r.slots)
}

// cost returns the expected time of one more call on r. The reported load counts up
// to a cap: otherwise a leaf that wrongly reports a heavy load would stay idle and
// the other replicas of its shard would be overloaded, whatever latency this VM
// measures on them.
func (t *Table) cost(r *replica, now time.Time) time.Duration {
	base := r.latency
	if base == 0 {
		base = defaultReplicaLatency
	}
	others := min(t.otherVMsLoad(r, now), float64(r.slots)*reportedLoadCap*loadReportWeight)
	ahead := float64(r.outstanding) + others
	// The call takes the latency of one call, and waits for the calls ahead of it, which
	// run in r.slots slots.
	cost := time.Duration(float64(base) * (1 + ahead/float64(r.slots)))
	if !r.sameZone {
		cost += otherZoneCost
	}
	return cost + t.warmupCost(r, now)
}

// otherVMsLoad estimates the number of calls of other VMs on r: the reported load without
// the calls that this VM had in flight when it was reported. The weight of a report starts
// at loadReportWeight and falls linearly with its age.
func (t *Table) otherVMsLoad(r *replica, now time.Time) float64 {
	age := now.Sub(r.reportedAt)
	if age >= maxLoadReportAge {
		return 0
	}
	others := max(r.reportedLoad-float64(r.outstandingAtReport), 0)
	fresh := 1 - float64(age)/float64(maxLoadReportAge)
	return others * fresh * loadReportWeight
}

// warmupCost returns a random addition to the cost of a replica whose target has just
// begun to serve, so that its share of attempts rises gradually over the warm-up. It
// returns 0 after the warm-up.
func (t *Table) warmupCost(r *replica, now time.Time) time.Duration {
	servingFor := now.Sub(r.target.servingSince)
	if t.warmup <= 0 || servingFor >= t.warmup {
		return 0
	}
	remaining := 1 - float64(servingFor)/float64(t.warmup) // share of the warm-up
	// The upper bound of the cost falls from ten times defaultReplicaLatency to 0.
	return time.Duration(remaining * float64(t.rng.Int64N(int64(10*defaultReplicaLatency))))
}

// ReadyAgain returns when to check a shard again whose replicas are all busy or in
// cooldown: when the first of them is out of cooldown, but not before
// minRecheckInterval from now. Replicas in tried are excluded. It returns false if no
// usable replica remains.
func (t *Table) ReadyAgain(now time.Time, snapshot string, shard int, tried []ReplicaID) (time.Time, bool) {
	s := t.snapshots[snapshot]
	if s == nil {
		return time.Time{}, false
	}
	var earliest time.Time
	for _, r := range s.holders[shard] {
		if !r.target.usable() || slices.Contains(tried, r.id) {
			continue
		}
		readyAt := later(later(r.cooldown.end(), r.target.cooldown.end()), now.Add(minRecheckInterval))
		if earliest.IsZero() || readyAt.Before(earliest) {
			earliest = readyAt
		}
	}
	return earliest, !earliest.IsZero()
}

// minRecheckInterval is the least time between two checks of a shard whose replicas
// are all busy or in cooldown.
const minRecheckInterval = 2 * time.Millisecond

// sortedKeys returns a map's keys in ascending order, so that the same seed gives
// the same choices.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
