// Package targetsim is a stand-in for one target: a process with leaves that
// have slots, a queue and shards of snapshots, behind a listener with a limit
// of connections and a cost for each. Faults are set by tests.
package targetsim

import (
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Options describe a target. They are the JSON file of "bramley-lab target".
type Options struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Listen  string `json:"listen"`  // IP and port; empty means a free one
	Control string `json:"control"` // the same for the control endpoint

	Leaves         int     `json:"leaves"`
	Slots          int     `json:"slots"` // requests that one leaf runs at once
	MaxQueued      int     `json:"queue"` // requests that wait for a slot; beyond, the leaf sheds
	MaxConnections int     `json:"connections"`
	ConnectCostMS  float64 `json:"connect_cost_ms"` // of the target's one acceptor, per connection
	IdleMS         int     `json:"idle_ms"`         // until an unused connection is closed; 0 means never

	Seed      uint64              `json:"seed"`
	Timing    Timing              `json:"timing"`
	Snapshots []SnapshotPlacement `json:"snapshots"`
	ColdMS    int                 `json:"cold_ms"`  // after the start; see Timing.ColdFactor
	DrainMS   int                 `json:"drain_ms"` // served after SIGTERM, draining
}

// Timing is the distribution of service times.
type Timing struct {
	BaseMS          float64 `json:"base_ms"` // mean of a plain request, spread evenly by 30% either way
	StragglerProb   float64 `json:"straggler_prob"`
	StragglerFactor float64 `json:"straggler_factor"`
	ColdFactor      float64 `json:"cold_factor"` // while cold; 0 means that a cold target refuses
}

// SnapshotPlacement says which shards of a snapshot each leaf holds.
type SnapshotPlacement struct {
	Index
	LeafShards [][]int `json:"leaf_shards"` // by leaf
}

// Defaults of Options.
const (
	defaultLeaves         = 2
	defaultSlots          = 2
	defaultMaxQueued      = 8
	defaultMaxConnections = 25
	defaultBaseMS         = 5
)

func (o Options) withDefaults() Options {
	if o.Leaves == 0 {
		o.Leaves = defaultLeaves
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.Timing.BaseMS == 0 {
		o.Timing.BaseMS = defaultBaseMS
	}
	for i := range o.Snapshots {
		if o.Snapshots[i].Service == "" {
			o.Snapshots[i].Service = o.Service
		}
	}
	return o
}

func validatePlacements(holders []SnapshotPlacement, leaves int) error {
	for _, h := range holders {
		if h.Snapshot == "" || h.Shards < 1 {
			return errors.Errorf("snapshot %q with %d shards; want a name and at least 1", h.Snapshot, h.Shards)
		}
		if len(h.LeafShards) > leaves {
			return errors.Errorf("snapshot %s: shards for %d leaves, there are %d", h.Snapshot, len(h.LeafShards), leaves)
		}
		for _, shards := range h.LeafShards {
			for _, s := range shards {
				if s < 0 || s >= h.Shards {
					return errors.Errorf("snapshot %s: shard %d, want 0 to %d", h.Snapshot, s, h.Shards-1)
				}
			}
		}
	}
	return nil
}

// holdings returns what the leaf's status lists.
func holdings(holders []SnapshotPlacement, leaf int) []target.Holding {
	out := []target.Holding{}
	for _, h := range holders {
		if leaf >= len(h.LeafShards) {
			continue
		}
		shards := h.buildShards()
		for _, s := range h.LeafShards[leaf] {
			out = append(out, target.Holding{
				Snapshot: h.Snapshot, Seq: h.Seq, Shards: h.Shards, Shard: s, Records: int64(len(shards[s].keys)),
			})
		}
	}
	return out
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
