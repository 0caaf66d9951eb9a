// Package targetsim simulates one target: a process whose leaves have slots, a queue and shards
// of snapshots, behind a listener that limits the connections and takes some time to accept
// each. Tests can inject faults.
package targetsim

import (
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Options configures a target. The command "bramley-lab target" reads it from a JSON file. In
// Leaves, Slots, MaxQueued, MaxConnections and Timing.BaseMS, 0 means a default value.
type Options struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Listen  string `json:"listen"`  // IP and port; empty for a free port on the loopback
	Control string `json:"control"` // IP and port of the control endpoint; empty for a free port on the loopback

	Leaves         int     `json:"leaves"`          // number of leaves
	Slots          int     `json:"slots"`           // requests that each leaf runs at once
	MaxQueued      int     `json:"queue"`           // requests that may wait for a slot at each leaf; the leaf sheds further ones
	MaxConnections int     `json:"connections"`     // connections that may be open at once; further ones are closed
	ConnectCostMS  float64 `json:"connect_cost_ms"` // time that the target's single acceptor spends on each connection
	IdleMS         int     `json:"idle_ms"`         // time after which an idle connection is closed; 0 means never

	Seed      uint64              `json:"seed"` // of the random numbers for service times and Faults.ShedShare
	Timing    Timing              `json:"timing"`
	Snapshots []SnapshotPlacement `json:"snapshots"`
	ColdMS    int                 `json:"cold_ms"`  // how long after its start the target is slow or refuses requests; see Timing.ColdFactor
	DrainMS   int                 `json:"drain_ms"` // how long the target drains after SIGTERM before it exits
}

// Timing is the distribution of service times: how long a request occupies its slot.
type Timing struct {
	BaseMS          float64 `json:"base_ms"`          // mean time of requests that are not stragglers; their times are uniform within ±30 % of it
	StragglerProb   float64 `json:"straggler_prob"`   // share of requests that are stragglers, from 0 to 1
	StragglerFactor float64 `json:"straggler_factor"` // how many times longer a straggler runs
	ColdFactor      float64 `json:"cold_factor"`      // how many times longer a request runs on a cold target; 0 means that a cold target refuses requests
}

// SnapshotPlacement describes which shards of a snapshot each leaf of a target holds.
type SnapshotPlacement struct {
	Index
	LeafShards [][]int `json:"leaf_shards"` // shard numbers, by leaf
}

const (
	defaultLeaves         = 2  // value of Options.Leaves if it is 0
	defaultSlots          = 2  // value of Options.Slots if it is 0
	defaultMaxQueued      = 8  // value of Options.MaxQueued if it is 0
	defaultMaxConnections = 25 // value of Options.MaxConnections if it is 0
	defaultBaseMS         = 5  // value of Options.Timing.BaseMS if it is 0
)

// withDefaults returns o with the default values in place of zeros. It also fills in an empty
// Service of snapshots from o.Service; that changes the elements of the caller's o.Snapshots.
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

// validatePlacements returns an error if a snapshot has no name or no shards, or if it is placed
// on more leaves than the target has or with a shard number that is out of range.
func validatePlacements(placements []SnapshotPlacement, leaves int) error {
	for _, p := range placements {
		if p.Snapshot == "" || p.Shards < 1 {
			return errors.Errorf("snapshot %q with %d shards: needs a name and at least 1 shard", p.Snapshot, p.Shards)
		}
		if len(p.LeafShards) > leaves {
			return errors.Errorf("snapshot %s: shards for %d leaves, but the target has %d", p.Snapshot, len(p.LeafShards), leaves)
		}
		for _, shards := range p.LeafShards {
			for _, s := range shards {
				if s < 0 || s >= p.Shards {
					return errors.Errorf("snapshot %s: shard %d is not in the range 0 to %d", p.Snapshot, s, p.Shards-1)
				}
			}
		}
	}
	return nil
}

// holdings returns the shards that the leaf with that number holds, as its status lists them.
func holdings(placements []SnapshotPlacement, leaf int) []target.Holding {
	out := []target.Holding{}
	for _, p := range placements {
		if leaf >= len(p.LeafShards) {
			continue
		}
		shards := p.buildShards()
		for _, s := range p.LeafShards[leaf] {
			out = append(out, target.Holding{
				Snapshot: p.Snapshot, Seq: p.Seq, Shards: p.Shards, Shard: s, Records: int64(len(shards[s].keys)),
			})
		}
	}
	return out
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
