package policy

import (
	"math/rand/v2"
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/latency"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// ReplicaID identifies a leaf of a target. It is comparable.
type ReplicaID struct {
	Target string // name of the target
	Leaf   int    // number of the leaf within its target, from 0
}

// replica is what this VM knows of one leaf of a target.
type replica struct {
	id       ReplicaID
	target   *targetState
	slots    int  // requests that the leaf runs at once
	sameZone bool // the target is in this VM's zone

	outstanding int           // calls of this VM in flight
	latency     time.Duration // smoothed latency of this VM's calls; 0 before the first
	cooldown    cooldown      // after failures and refusals of this leaf only

	reportedLoad        float64   // calls of all VMs on the leaf, from the last status
	reportedAt          time.Time // when that status was read
	outstandingAtReport int       // value of outstanding when the status was read

	holdings map[holdingKey]struct{} // shards of snapshots whose records the leaf has
}

// holdingKey identifies one shard of one snapshot.
type holdingKey struct {
	snapshot string
	shard    int
}

// targetState is what this VM knows of one target.
type targetState struct {
	name               string
	incarnation        string       // of the target's process, from its last status
	state              target.State // in the last status
	statusRead         bool         // at least one status was read
	lost               bool         // too many status reads failed in a row, or MarkLost was called
	failedReads        int          // status reads that failed in a row
	drainedIncarnation string       // incarnation that is known to be draining
	servingSince       time.Time    // when it last began to serve; its warm-up counts from here
	answeredAt         time.Time    // when one of its leaves last answered an attempt of this VM
	cooldown           cooldown     // of all leaves together, since they share the target's connections
	replicas           []*replica
}

// draining reports whether the current incarnation is draining. A drain lasts
// as long as its incarnation: a late status that still says "serving" does not
// make the target usable again. Only a new incarnation does.
func (t *targetState) draining() bool {
	return t.state == target.StateDraining || (t.drainedIncarnation != "" && t.drainedIncarnation == t.incarnation)
}

// usable reports whether the target may get attempts.
func (t *targetState) usable() bool {
	return t.statusRead && !t.lost && !t.draining() && t.state == target.StateServing
}

// snapshotState is the partition map of one snapshot: its number of shards and the
// replicas that hold each of them. It also has the known sizes of the shards.
type snapshotState struct {
	name    string
	seq     int64              // a newer snapshot has a larger number
	shards  int                // number of shards
	records map[int]int64      // by shard; no entry until a replica reports the number
	holders map[int][]*replica // by shard; the replicas that hold it
}

// Table holds one VM's view of the targets of one service, and chooses snapshots
// and replicas from it.
type Table struct {
	zone         string        // availability zone of this VM
	rng          *rand.Rand    // source of random choices
	suspectAfter int           // status reads of a target that fail in a row until it counts as lost
	warmup       time.Duration // time over which the share of attempts of a target rises after it began to serve
	targets      map[string]*targetState
	snapshots    map[string]*snapshotState
	scratch      []*replica // buffer of usableReplicas, reused by Pick
	shedShare    float64    // smoothed share of recent attempts that targets refused because no slot was free

	Latency *latency.Recorder // latencies of attempts that were answered
	Median  MedianLatency     // median latency of attempts that were answered, used for admission and timeouts
	Hedges  *Budget           // bounds hedges to a share of first attempts
	Retries *Budget           // bounds retries to a share of first attempts
}

// NewTable returns an empty table of a service for a VM in zone.
func NewTable(zone string, rng *rand.Rand) *Table {
	return &Table{
		zone:      zone,
		rng:       rng,
		targets:   make(map[string]*targetState),
		snapshots: make(map[string]*snapshotState),
		Latency:   latency.New(),
		Hedges:    NewBudget(0),
		Retries:   NewBudget(0),
	}
}

// Apply updates the table to the service's description in the bundle in force.
// Targets that remain keep their state, unless their number of leaves changes.
func (t *Table) Apply(svc *bundle.Service) {
	t.suspectAfter = max(svc.Drain.SuspectAfter, 1)
	t.warmup = time.Duration(svc.Drain.WarmupMS) * time.Millisecond
	named := make(map[string]bool, len(svc.Targets))
	for i := range svc.Targets {
		spec := &svc.Targets[i]
		named[spec.Name] = true
		known := t.targets[spec.Name]
		if known != nil && len(known.replicas) != spec.Leaves {
			t.removeReplicas(known)
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
			t.removeReplicas(ts)
			delete(t.targets, name)
		}
	}
}

// removeReplicas removes a target's replicas from the lists of holders.
func (t *Table) removeReplicas(ts *targetState) {
	for _, r := range ts.replicas {
		t.setHoldings(r, nil)
	}
}

// newTarget returns a target with all its leaves, of which no status was read yet.
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

// later returns the later of two times. A zero time is earlier than any other.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
