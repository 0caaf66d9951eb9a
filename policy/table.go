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
	Target string
	Leaf   int
}

// replica is this VM's view of one leaf.
type replica struct {
	id       ReplicaID
	target   *targetState
	slots    int
	sameZone bool

	outstanding int           // calls of this VM in flight
	latency     time.Duration // smoothed latency of this VM's calls; 0 before the first
	cooldown    cooldown      // of this leaf only

	reportedLoad        float64 // load in the last status
	reportedAt          time.Time
	outstandingAtReport int // value of outstanding when the status was read

	holdings map[holdingKey]struct{}
}

type holdingKey struct {
	snapshot string
	shard    int
}

// targetState is this VM's view of one target.
type targetState struct {
	name               string
	incarnation        string
	state              target.State
	statusRead         bool // at least one status was read
	lost               bool // too many status reads failed in a row
	failedReads        int
	drainedIncarnation string // incarnation that is known to be draining
	servingSince       time.Time
	cooldown           cooldown // of all leaves, which share the target's connections
	replicas           []*replica
}

// draining reports whether the current incarnation is draining. A drain lasts
// as long as its incarnation: a late status that still says "serving" does not
// make the target usable again. Only a new incarnation does.
func (t *targetState) draining() bool {
	return t.state == target.StateDraining || (t.drainedIncarnation != "" && t.drainedIncarnation == t.incarnation)
}

func (t *targetState) usable() bool {
	return t.statusRead && !t.lost && !t.draining() && t.state == target.StateServing
}

// snapshotState is the partition map of one snapshot, with the known sizes of
// its shards.
type snapshotState struct {
	name    string
	seq     int64
	shards  int
	records map[int]int64 // by shard; no entry until a replica reports the number
	holders map[int][]*replica
}

// Table holds one VM's view of the targets of one service, and chooses snapshots
// and replicas from it.
type Table struct {
	zone         string
	rng          *rand.Rand
	suspectAfter int
	warmup       time.Duration
	targets      map[string]*targetState
	snapshots    map[string]*snapshotState
	scratch      []*replica // buffer of usableReplicas, reused by Pick
	shedShare    float64    // smoothed share of recent attempts that targets refused because no slot was free

	Latency *latency.Recorder // of attempts that were answered
	Median  MedianLatency     // median latency of the same attempts, used for admission and timeouts
	Hedges  *Budget
	Retries *Budget
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
