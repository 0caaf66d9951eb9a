package policy

import (
	"math/rand/v2"
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/latency"
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
	cooldown    cooldown      // of this leaf

	reportedLoad        float64 // load at the last status
	reportedAt          time.Time
	outstandingAtReport int // outstanding when the status was read

	holdings map[holdingKey]struct{}
}

type holdingKey struct {
	snapshot string
	shard    int
}

// targetState is what this VM knows of one target.
type targetState struct {
	name               string
	incarnation        string
	state              target.State
	statusRead         bool // a status was read at all
	lost               bool // too many status reads failed in a row
	failedReads        int
	drainedIncarnation string // incarnation that is known to be leaving
	servingSince       time.Time
	cooldown           cooldown // of all leaves: they share the target's connections
	replicas           []*replica
}

// draining reports whether the present incarnation is leaving. A drain sticks
// to its incarnation, so a late status that still says "serving" cannot bring
// the target back; only a new incarnation clears it.
func (t *targetState) draining() bool {
	return t.state == target.StateDraining || (t.drainedIncarnation != "" && t.drainedIncarnation == t.incarnation)
}

func (t *targetState) usable() bool {
	return t.statusRead && !t.lost && !t.draining() && t.state == target.StateServing
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
	zone         string
	rng          *rand.Rand
	suspectAfter int
	warmup       time.Duration
	targets      map[string]*targetState
	snapshots    map[string]*snapshotState
	scratch      []*replica // reused by Pick
	shedShare    float64    // share of the latest attempts that were turned away for want of slots

	Latency *latency.Recorder // of attempts that answered
	Median  MedianLatency     // the same, for admission
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
		Latency:   latency.New(),
		Hedges:    NewBudget(0),
		Retries:   NewBudget(0),
	}
}

// Apply takes the service's description from the bundle in force. Targets that
// stay keep what is known of them.
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

// removeReplicas takes a target's replicas out of the lists of holders.
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
