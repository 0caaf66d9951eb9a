package policy

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// ApplyStatus records a status that was read from a target: its state, and the load and
// the holdings of its leaves. The target counts as reachable again. A holding is one shard
// of one snapshot whose records a leaf has.
func (t *Table) ApplyStatus(name string, st target.Status, now time.Time) {
	ts := t.targets[name]
	if ts == nil {
		return
	}
	if ts.incarnation != st.Incarnation {
		ts.startIncarnation(st.Incarnation)
	}
	if st.State == target.StateServing && !ts.usable() {
		ts.servingSince = now
	}
	ts.statusRead = true
	ts.lost = false
	ts.failedReads = 0
	ts.state = st.State
	for i := range st.Leaves {
		leaf := &st.Leaves[i]
		if leaf.Leaf < 0 || leaf.Leaf >= len(ts.replicas) {
			continue
		}
		r := ts.replicas[leaf.Leaf]
		r.reportedLoad = leaf.Load
		r.reportedAt = now
		r.outstandingAtReport = r.outstanding
		t.mergePartitionMaps(leaf.Holdings)
		t.setHoldings(r, leaf.Holdings)
	}
}

// startIncarnation records that the target runs as a new process. It drops the cooldowns
// and latencies, which belong to the previous process.
func (ts *targetState) startIncarnation(incarnation string) {
	ts.incarnation = incarnation
	ts.cooldown = cooldown{}
	for _, r := range ts.replicas {
		r.cooldown = cooldown{}
		r.latency = 0
	}
}

// setHoldings replaces a leaf's holdings, the shards of snapshots whose records it has,
// and updates the lists of holders. It changes only what differs: a status arrives from
// every target at each interval, and almost all of them repeat the last one.
func (t *Table) setHoldings(r *replica, holdings []target.Holding) {
	next := make(map[holdingKey]struct{}, len(holdings))
	for _, h := range holdings {
		key := holdingKey{h.Snapshot, h.Shard}
		s := t.snapshots[h.Snapshot]
		if s == nil || h.Shard < 0 || h.Shard >= s.shards {
			continue
		}
		next[key] = struct{}{}
		if _, had := r.holdings[key]; !had {
			s.holders[h.Shard] = append(s.holders[h.Shard], r)
		}
	}
	for key := range r.holdings {
		if _, has := next[key]; !has {
			t.removeHolder(r, key)
		}
	}
	r.holdings = next
}

// removeHolder removes a replica from the list of those that hold a shard of a snapshot.
// It deletes the snapshot if no replica holds any of its shards.
func (t *Table) removeHolder(r *replica, key holdingKey) {
	s := t.snapshots[key.snapshot]
	if s == nil {
		return
	}
	remaining := slices.DeleteFunc(s.holders[key.shard], func(o *replica) bool { return o == r })
	if len(remaining) > 0 {
		s.holders[key.shard] = remaining
		return
	}
	delete(s.holders, key.shard)
	if len(s.holders) == 0 {
		delete(t.snapshots, s.name)
	}
}

// mergePartitionMaps merges the partition maps and sizes that a leaf reports: the number
// of shards of a snapshot, and the number of records of a shard. Invalid holdings are
// ignored. The number of shards of a known snapshot never shrinks: if two leaves disagree,
// the larger map is used, which can only understate coverage.
func (t *Table) mergePartitionMaps(holdings []target.Holding) {
	for _, h := range holdings {
		if h.Shards <= 0 || h.Shard < 0 || h.Shard >= h.Shards {
			continue
		}
		s := t.snapshots[h.Snapshot]
		if s == nil {
			s = &snapshotState{
				name:    h.Snapshot,
				records: make(map[int]int64),
				holders: make(map[int][]*replica),
			}
			t.snapshots[h.Snapshot] = s
		}
		s.seq = max(s.seq, h.Seq)
		s.shards = max(s.shards, h.Shards)
		s.records[h.Shard] = max(s.records[h.Shard], h.Records)
	}
}

// StatusReadFailed records a failed read of a target's status. The target is lost
// after as many failures in a row as the service's drain.suspect_after setting.
func (t *Table) StatusReadFailed(name string) {
	ts := t.targets[name]
	if ts == nil {
		return
	}
	ts.failedReads++
	if ts.failedReads >= t.suspectAfter {
		ts.lost = true
	}
}

// MarkLost records that no VM with connections to a target can read its status. The target
// is not used until a status is read again.
func (t *Table) MarkLost(name string) {
	if ts := t.targets[name]; ts != nil {
		ts.lost = true
	}
}

// ObserveState records that an answer's headers state that a target is draining. It
// ignores other states. It returns true if this incarnation was not yet marked as
// draining; an incarnation is one process of the target.
func (t *Table) ObserveState(name, incarnation string, state target.State) bool {
	ts := t.targets[name]
	if ts == nil || incarnation == "" || state != target.StateDraining {
		return false
	}
	return t.MarkDraining(name, incarnation)
}

// MarkDraining records that an incarnation (one process) of a target is draining, as
// stated by its status, by an answer or by another VM. It returns false if the incarnation
// was already marked as draining, or if the target is unknown.
func (t *Table) MarkDraining(name, incarnation string) bool {
	ts := t.targets[name]
	if ts == nil || ts.drainedIncarnation == incarnation {
		return false
	}
	ts.drainedIncarnation = incarnation
	return true
}
