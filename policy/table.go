package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// ReplicaID names a leaf of a target. It is comparable.
type ReplicaID struct {
	Target string
	Leaf   int
}

// replica is what this VM knows of one leaf.
type replica struct {
	id       ReplicaID
	target   *targetState
	slots    int
	sameZone bool

	outstanding int           // this VM's calls in flight
	latency     time.Duration // smoothed, of this VM's own calls; 0 before the first
	rest        rest          // of this leaf

	reported   float64 // load at the last status
	reportedAt time.Time
	ownAtLoad  int // outstanding when the status was read

	holdings map[holdingKey]struct{}
}

type holdingKey struct {
	snapshot string
	shard    int
}

// targetState is what this VM knows of one target.
type targetState struct {
	name        string
	incarnation string
	state       target.State
	seen        bool // a status was read at all
	lost        bool // too many status reads failed in a row
	failedReads int
	drained     string // incarnation that is known to be leaving
	servingFrom time.Time
	rest        rest // of all leaves: they share the target's connections
	replicas    []*replica
}

// draining reports whether the present incarnation is leaving. A drain sticks
// to its incarnation, so a late status that still says "serving" cannot bring
// the target back; only a new incarnation clears it.
func (t *targetState) draining() bool {
	return t.state == target.StateDraining || (t.drained != "" && t.drained == t.incarnation)
}

func (t *targetState) usable() bool {
	return t.seen && !t.lost && !t.draining() && t.state == target.StateServing
}

// snapshotState is the partition map of one snapshot and its known sizes.
type snapshotState struct {
	name    string
	seq     int64
	shards  int
	records map[int]int64 // by shard, as far as a replica has told
	holders map[int][]*replica
}

// Table is what one VM knows of the targets of one service, and the choices
// made from it.
type Table struct {
	zone      string
	rng       *rand.Rand
	suspect   int
	warmup    time.Duration
	targets   map[string]*targetState
	snapshots map[string]*snapshotState
	scratch   []*replica // reused by Pick

	Latency *Latency // of attempts that answered
	Hedges  *Budget
	Retries *Budget
}

// NewTable returns the table of a service as seen from a VM in zone.
func NewTable(zone string, rng *rand.Rand) *Table {
	return &Table{
		zone:      zone,
		rng:       rng,
		targets:   make(map[string]*targetState),
		snapshots: make(map[string]*snapshotState),
		Latency:   NewLatency(),
		Hedges:    NewBudget(0),
		Retries:   NewBudget(0),
	}
}

// Apply takes the service's description from the bundle in force. Targets that
// stay keep what is known of them.
func (t *Table) Apply(svc *bundle.Service) {
	t.suspect = max(svc.Drain.SuspectAfter, 1)
	t.warmup = time.Duration(svc.Drain.WarmupMS) * time.Millisecond
	named := make(map[string]bool, len(svc.Targets))
	for i := range svc.Targets {
		spec := &svc.Targets[i]
		named[spec.Name] = true
		known := t.targets[spec.Name]
		if known != nil && len(known.replicas) != spec.Leaves {
			t.forget(known)
			known = nil
		}
		if known == nil {
			t.targets[spec.Name] = t.newTarget(spec)
		}
		for _, r := range t.targets[spec.Name].replicas {
			r.slots = max(spec.Slots, 1)
			r.sameZone = spec.Zone == t.zone
		}
	}
	for name, ts := range t.targets {
		if !named[name] {
			t.forget(ts)
			delete(t.targets, name)
		}
	}
}

// forget takes a target's replicas out of the lists of holders.
func (t *Table) forget(ts *targetState) {
	for _, r := range ts.replicas {
		t.hold(r, nil)
	}
}

func (t *Table) newTarget(spec *bundle.Target) *targetState {
	ts := &targetState{name: spec.Name}
	for leaf := range spec.Leaves {
		ts.replicas = append(ts.replicas, &replica{
			id:     ReplicaID{Target: spec.Name, Leaf: leaf},
			target: ts,
		})
	}
	return ts
}

// Status takes a target's own account of itself.
func (t *Table) Status(name string, st target.Status, now time.Time) {
	ts := t.targets[name]
	if ts == nil {
		return
	}
	if ts.incarnation != st.Incarnation {
		ts.begin(st.Incarnation)
	}
	if st.State == target.StateServing && !ts.usable() {
		ts.servingFrom = now
	}
	ts.seen = true
	ts.lost = false
	ts.failedReads = 0
	ts.state = st.State
	for i := range st.Leaves {
		leaf := &st.Leaves[i]
		if leaf.Leaf < 0 || leaf.Leaf >= len(ts.replicas) {
			continue
		}
		r := ts.replicas[leaf.Leaf]
		r.reported = leaf.Load
		r.reportedAt = now
		r.ownAtLoad = r.outstanding
		t.learnMaps(leaf.Holdings)
		t.hold(r, leaf.Holdings)
	}
}

// begin forgets what was known of an earlier incarnation.
func (ts *targetState) begin(incarnation string) {
	ts.incarnation = incarnation
	ts.rest = rest{}
	for _, r := range ts.replicas {
		r.rest = rest{}
		r.latency = 0
	}
}

// hold replaces a leaf's holdings and keeps the lists of holders true. Only what
// changed is touched: a status comes from every target at each interval, and
// almost all of them repeat the last one.
func (t *Table) hold(r *replica, list []target.Holding) {
	next := make(map[holdingKey]struct{}, len(list))
	for _, h := range list {
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
			t.unlist(r, key)
		}
	}
	r.holdings = next
}

// unlist takes a replica out of a list of holders, and drops the snapshot if
// nobody holds any of it.
func (t *Table) unlist(r *replica, key holdingKey) {
	s := t.snapshots[key.snapshot]
	if s == nil {
		return
	}
	rest := slices.DeleteFunc(s.holders[key.shard], func(o *replica) bool { return o == r })
	if len(rest) > 0 {
		s.holders[key.shard] = rest
		return
	}
	delete(s.holders, key.shard)
	if len(s.holders) == 0 {
		delete(t.snapshots, s.name)
	}
}

// learnMaps takes the partition maps and sizes that a leaf states. The number
// of shards of a known snapshot never shrinks: if two leaves disagree, the
// larger map counts, which can only understate coverage.
func (t *Table) learnMaps(list []target.Holding) {
	for _, h := range list {
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

// StatusFailed takes that a target's status could not be read.
func (t *Table) StatusFailed(name string) {
	ts := t.targets[name]
	if ts == nil {
		return
	}
	ts.failedReads++
	if ts.failedReads >= t.suspect {
		ts.lost = true
	}
}

// Seen takes the state that a target put into an answer's headers. It reports
// whether this is the first word of a drain.
func (t *Table) Seen(name, incarnation string, state target.State) bool {
	ts := t.targets[name]
	if ts == nil || incarnation == "" || state != target.StateDraining {
		return false
	}
	return t.Drain(name, incarnation)
}

// Drain takes, from any source, that an incarnation of a target is leaving. It
// reports whether that is news.
func (t *Table) Drain(name, incarnation string) bool {
	ts := t.targets[name]
	if ts == nil || ts.drained == incarnation {
		return false
	}
	ts.drained = incarnation
	return true
}

// Begin counts an attempt handed to a replica.
func (t *Table) Begin(id ReplicaID) {
	if r := t.replica(id); r != nil {
		r.outstanding++
	}
}

// Lacks takes a leaf's word that it does not hold a shard of a snapshot, which
// comes earlier than its next status.
func (t *Table) Lacks(id ReplicaID, snapshot string, shard int) {
	r := t.replica(id)
	key := holdingKey{snapshot, shard}
	if r == nil {
		return
	}
	if _, ok := r.holdings[key]; ok {
		delete(r.holdings, key)
		t.unlist(r, key)
	}
}

// latencyWeight is the weight of a new sample in a replica's smoothed latency.
const latencyWeight = 0.2

// End counts the end of an attempt on a replica.
func (t *Table) End(id ReplicaID, end AttemptEnd, now time.Time) {
	if end.Answered {
		t.Latency.Add(now, end.Took)
	}
	r := t.replica(id)
	if r == nil {
		return
	}
	r.outstanding = max(r.outstanding-1, 0)
	switch {
	case end.Answered:
		r.answered()
		r.smooth(end.Took)
	case end.Cancelled:
		// A loser of a hedge was at least this slow.
		r.smooth(max(end.Took, r.latency))
		if t.stalled(end.Took, now) {
			r.fail(now.Add(-end.Took), now)
		}
	case end.Gone:
		r.answered()
	case end.NoConnection:
		r.target.rest.refuse(now, end.RetryAfter)
		r.target.rest.fail(now.Add(-end.Took), now)
	case end.Refused:
		r.rest.refuse(now, end.RetryAfter)
	default:
		r.fail(now.Add(-end.Took), now)
	}
}

// stallQuantile is the quantile of latencies beyond which an attempt that a hedge
// overtook counts as failed.
const stallQuantile = 0.99

// stalled reports whether an attempt without an answer took so long that its
// replica may not answer at all. Behind a connection that went silent every
// attempt ends like that: a hedge answers, the first attempt is cancelled, and
// nothing ever says that it failed. Unless these cancellations count, the replica
// goes on getting its share of attempts and uses up the budget of hedges.
func (t *Table) stalled(took time.Duration, now time.Time) bool {
	slow, ok := t.Latency.Quantile(now, stallQuantile)
	return ok && took >= slow
}

func (r *replica) smooth(d time.Duration) {
	if r.latency == 0 {
		r.latency = d
		return
	}
	r.latency += time.Duration(latencyWeight * float64(d-r.latency))
}

// fail counts a failure of a leaf and of its target.
func (r *replica) fail(sentAt, now time.Time) {
	r.rest.fail(sentAt, now)
	r.target.rest.fail(sentAt, now)
}

// answered takes that a leaf, and so its target, is alive.
func (r *replica) answered() {
	r.rest.answered()
	r.target.rest.answered()
}

func (r *replica) resting(now time.Time) bool {
	return r.rest.resting(now) || r.target.rest.resting(now)
}

func (r *replica) refusing(now time.Time) bool {
	return r.rest.refusing(now) || r.target.rest.refusing(now)
}

func (t *Table) replica(id ReplicaID) *replica {
	ts := t.targets[id.Target]
	if ts == nil || id.Leaf < 0 || id.Leaf >= len(ts.replicas) {
		return nil
	}
	return ts.replicas[id.Leaf]
}

// AttemptEnd is how an attempt ended. With none of the flags set, it failed.
type AttemptEnd struct {
	Answered  bool
	Cancelled bool // by this VM, while still running
	Refused   bool // by the target, which did not start it
	Gone      bool // refused only because the leaf lacks the snapshot
	// NoConnection: this VM had none to the target. The target rests longer each
	// time, since its other leaves cannot be reached either and each try spends
	// the budget of retries.
	NoConnection bool
	RetryAfter   time.Duration // stated with a refusal
	Took         time.Duration
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
