package policy

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is one version of a service's index, as chosen for a query.
type Snapshot struct {
	Name   string
	Seq    int64
	Shards int
}

// ChooseSnapshot returns the snapshot that a new query reads: the newest one
// of which every shard has usable replicas, unless it is so thinly spread (in
// the middle of an index switch) that its few replicas would be overrun; then an
// older one that is complete too. If none is complete, the one of which most
// shards can be read. It returns false if nothing can be read at all.
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
	return best.snapshot.snapshot(), true
}

// FindSnapshot returns a snapshot by name, for a query that is pinned to it, if
// at least one of its shards has a usable replica.
func (t *Table) FindSnapshot(name string) (Snapshot, bool) {
	s := t.snapshots[name]
	if s == nil || t.candidate(s).readable == 0 {
		return Snapshot{}, false
	}
	return s.snapshot(), true
}

func (s *snapshotState) snapshot() Snapshot {
	return Snapshot{Name: s.name, Seq: s.seq, Shards: s.shards}
}

// candidate is a snapshot with what makes it a good or a bad choice.
type candidate struct {
	snapshot    *snapshotState
	readable    int // shards with a usable replica
	minReplicas int // usable replicas of the shard that has fewest
}

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

// maxReplicaRatio is how many times fewer replicas a newer complete snapshot may
// have than an older complete one and still be preferred.
const maxReplicaRatio = 2

func (c *candidate) betterThan(o *candidate) bool {
	whole, otherWhole := c.complete(), o.complete()
	if whole != otherWhole {
		return whole
	}
	if !whole {
		a := float64(c.readable) / float64(c.snapshot.shards)
		b := float64(o.readable) / float64(o.snapshot.shards)
		if a != b {
			return a > b
		}
		return c.snapshot.seq > o.snapshot.seq
	}
	if c.snapshot.seq > o.snapshot.seq {
		return c.minReplicas*maxReplicaRatio >= o.minReplicas
	}
	return c.minReplicas > o.minReplicas*maxReplicaRatio
}

func (c *candidate) complete() bool { return c.readable == c.snapshot.shards }

// Records returns how many records a shard of a snapshot holds, and false if
// no replica has ever told.
func (t *Table) Records(snapshot string, shard int) (int64, bool) {
	s := t.snapshots[snapshot]
	if s == nil {
		return 0, false
	}
	n, ok := s.records[shard]
	return n, ok
}

// Costs of a replica, used to compare two of them.
const (
	defaultLatency  = 5 * time.Millisecond // of a replica not yet tried
	otherZoneCost   = time.Millisecond     // added outside the VM's zone
	maxReportAge    = 2 * time.Second      // after which reported load counts nothing
	reportWeight    = 0.5                  // of a fresh report, since it lags and may mislead
	reportedLoadCap = 2                    // calls of others per slot, at most, in a comparison
	maxCallsPerSlot = 2                    // own calls in flight per slot, at most
)

// Pick chooses the replica for an attempt on a shard: of two random usable
// replicas, the one with the lower expected time. Two random choices keep VMs
// that read the same report from all going to the same leaf. Replicas in tried
// are left out. If idle is set, only replicas with a free slot count, for
// attempts that are not worth a queue. It returns false if none is left.
func (t *Table) Pick(now time.Time, snapshot string, shard int, tried []ReplicaID, idle bool) (ReplicaID, bool) {
	s := t.snapshots[snapshot]
	if s == nil {
		return ReplicaID{}, false
	}
	usable := t.usableReplicas(s.holders[shard], tried, func(r *replica) bool {
		return !r.inCooldown(now) && t.hasCapacity(r, now, idle)
	})
	if len(usable) == 0 && !idle {
		// All rest after failures. To try one is better than to wait.
		usable = t.usableReplicas(s.holders[shard], tried, func(r *replica) bool {
			return !r.refusing(now) && t.hasCapacity(r, now, idle)
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

// PickRandom chooses any replica that is not lost or leaving, as the plain
// policy does.
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

// usableReplicas returns the usable replicas that match and were not tried. The list is
// good until the next call.
func (t *Table) usableReplicas(holders []*replica, tried []ReplicaID, match func(*replica) bool) []*replica {
	t.scratch = t.scratch[:0]
	for _, r := range holders {
		if r.target.usable() && match(r) && !slices.Contains(tried, r.id) {
			t.scratch = append(t.scratch, r)
		}
	}
	return t.scratch
}

// hasCapacity reports whether r takes one more call of this VM: into its queue, or
// if idle is set into a free slot.
func (t *Table) hasCapacity(r *replica, now time.Time, idle bool) bool {
	if !idle {
		return r.outstanding < r.slots*maxCallsPerSlot
	}
	return t.otherVMsLoad(r, now)+float64(r.outstanding) < float64(r.slots)
}

// cost is the expected time of one more call on r. What is reported counts up to
// a cap: a leaf that shows a heavy load without having it would be left idle, and
// its shard's other replicas be overrun, whatever own calls show of both.
func (t *Table) cost(r *replica, now time.Time) time.Duration {
	base := r.latency
	if base == 0 {
		base = defaultLatency
	}
	others := min(t.otherVMsLoad(r, now), float64(r.slots)*reportedLoadCap*reportWeight)
	ahead := float64(r.outstanding) + others
	cost := time.Duration(float64(base) * (1 + ahead/float64(r.slots)))
	if !r.sameZone {
		cost += otherZoneCost
	}
	return cost + t.warmupCost(r, now)
}

// otherVMsLoad estimates the calls of other VMs on r from the reported load. The
// report counts less the older it is.
func (t *Table) otherVMsLoad(r *replica, now time.Time) float64 {
	age := now.Sub(r.reportedAt)
	if age >= maxReportAge {
		return 0
	}
	others := max(r.reportedLoad-float64(r.outstandingAtReport), 0)
	fresh := 1 - float64(age)/float64(maxReportAge)
	return others * fresh * reportWeight
}

// warmupCost makes a target that has just begun to serve look slow at first, so
// that its share of attempts rises over the warm-up.
func (t *Table) warmupCost(r *replica, now time.Time) time.Duration {
	served := now.Sub(r.target.servingSince)
	if t.warmup <= 0 || served >= t.warmup {
		return 0
	}
	left := 1 - float64(served)/float64(t.warmup)
	return time.Duration(left * float64(t.rng.Int64N(int64(10*defaultLatency))))
}

// ReadyAgain returns when the first resting replica of a shard takes attempts
// again, and false if no replica of it is merely resting or busy. Replicas in
// tried are left out.
func (t *Table) ReadyAgain(now time.Time, snapshot string, shard int, tried []ReplicaID) (time.Time, bool) {
	s := t.snapshots[snapshot]
	if s == nil {
		return time.Time{}, false
	}
	var first time.Time
	for _, r := range s.holders[shard] {
		if !r.target.usable() || slices.Contains(tried, r.id) {
			continue
		}
		at := later(later(r.cooldown.end(), r.target.cooldown.end()), now.Add(minRecheckInterval))
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// minRecheckInterval is the least time between two looks for a replica of a shard all
// of whose replicas are busy or resting.
const minRecheckInterval = 2 * time.Millisecond

// sortedKeys returns a map's keys in order, so that choices repeat under a seed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
