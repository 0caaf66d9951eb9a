// Package bench measures the query path with daemons and simulated targets as
// processes, in the shapes of the two deployments. It generates an open-loop load, in which
// an arrival does not wait for earlier answers. It compares the adaptive policy with the
// plain one, which run in turn.
package bench

import (
	"fmt"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
)

// Shape describes a deployment to measure.
type Shape struct {
	Name        string
	Zones       []string // names of the availability zones
	Daemons     int      // number of daemons, each of which is a VM of the deployment
	TimeLimitMS int      // time limit of the queries, in milliseconds
	Services    []Service

	slowdown int // factor on service times and time limits, from the options
}

// slowed returns the shape with service times and time limits multiplied by factor.
// The rate of queries falls in the same proportion. Delays that a busy machine adds
// are then a smaller share of the latencies. Times in the bundle other than the time
// limits, such as health intervals and hedge delays, stay the same.
func (s Shape) slowed(factor int) Shape {
	s.slowdown = factor
	s.TimeLimitMS *= factor
	return s
}

// healthyTiming returns the service times of a target without a fault.
func (s Shape) healthyTiming() targetsim.Timing {
	const coldFactor = 3
	return targetsim.Timing{BaseMS: baseServiceMS * float64(s.slowdown), ColdFactor: coldFactor}
}

// Service is one service of a Shape, in its current size.
type Service struct {
	Name          string
	Targets       int     // number of targets
	Leaves        int     // number of leaves of each target
	Slots         int     // requests that one leaf can run at the same time
	Connections   int     // limit of connections to each target
	ConnectCostMS float64 // time that a target needs to accept a connection, in milliseconds
	Shards        int     // number of shards of the index
	Replicas      int     // number of replicas of each shard
}

// Fixed parameters of the benchmark.
const (
	recordsPerIndex = 4000 // records of an index, all shards together
	baseServiceMS   = 8    // mean service time of a leaf, in milliseconds
	queueLength     = 8    // most requests that wait for a slot of one leaf
	proxyEvery      = 4    // one in 4 targets is behind a fault proxy
	normalLoad      = 0.35 // rate of queries, as a fraction of the capacity, in scenarios without a high load
	drainMS         = 1000 // time for which a target continues to serve after SIGTERM, in milliseconds
	coldMS          = 500  // time for which a restarted target is slow, in milliseconds
	idleMS          = 5000 // time after which a target closes an unused connection, in milliseconds
)

// Shapes are the deployments that can be measured. Each has only two services: the larger
// one of the real deployment's services with many instances, and a small one. The real
// deployment's other services resemble one of these.
var Shapes = []Shape{
	{
		Name: "vatnsleit", Daemons: 7, TimeLimitMS: 200,
		Zones: []string{"reykjanes", "hafnarfjordur", "selfoss", "borgarnes"},
		Services: []Service{
			{Name: "inspector-desk", Targets: 20, Leaves: 2, Slots: 2, Connections: 25, ConnectCostMS: 6, Shards: 20, Replicas: 2},
			{Name: "abstraction-ledger", Targets: 5, Leaves: 1, Slots: 2, Connections: 100, ConnectCostMS: 1, Shards: 2, Replicas: 5},
		},
	},
	{
		Name: "pletenica", Daemons: 7, TimeLimitMS: 300,
		Zones: []string{"zagreb-a", "split-a", "osijek-a"},
		Services: []Service{
			{Name: "reader-search", Targets: 20, Leaves: 2, Slots: 2, Connections: 25, ConnectCostMS: 6, Shards: 20, Replicas: 2},
			{Name: "work-viewer", Targets: 3, Leaves: 1, Slots: 6, Connections: 50, ConnectCostMS: 1, Shards: 2, Replicas: 3},
		},
	},
}

// capacity returns the number of queries per second that the service's slots can
// run. Each query takes one leaf call per shard, with a mean service time of serviceMS
// milliseconds.
func (s Service) capacity(serviceMS float64) float64 {
	slots := float64(s.Targets * s.Leaves * s.Slots)
	const msPerSecond = 1000
	return slots * msPerSecond / serviceMS / float64(s.Shards)
}

// index returns the service's index with the given sequence number and number of
// shards.
func (s Service) index(seq, shards int) targetsim.Index {
	return targetsim.Index{
		Service: s.Name, Snapshot: fmt.Sprintf("s%d", seq), Seq: int64(seq), Shards: shards, Records: recordsPerIndex,
	}
}

// targetOptions returns the options of the service's target i, counted from 0.
func (s Service) targetOptions(i int, timing targetsim.Timing, placement targetsim.SnapshotPlacement) targetsim.Options {
	return targetsim.Options{
		Name: fmt.Sprintf("%s-%02d", s.Name, i+1), Service: s.Name,
		Leaves: s.Leaves, Slots: s.Slots, MaxQueued: queueLength, MaxConnections: s.Connections,
		ConnectCostMS: s.ConnectCostMS, Seed: uint64(i + 1), Timing: timing,
		Snapshots: []targetsim.SnapshotPlacement{placement}, DrainMS: drainMS, IdleMS: idleMS,
	}
}

// The policies that are compared.
const (
	adaptivePolicy = string(bundle.PolicyAdaptive)
	plainPolicy    = string(bundle.PolicyPlain)
)

// searchName returns the name of the search of a service under a policy.
func searchName(service, policy string) string { return service + "-" + policy }

// searches returns the service's searches for the bundle, one per policy.
func (s Service) searches(timeLimitMS int) []bundle.Search {
	var out []bundle.Search
	for _, policy := range []string{adaptivePolicy, plainPolicy} {
		out = append(out, bundle.Search{
			Name: searchName(s.Name, policy), Kind: bundle.KindSearch, Service: s.Name, MaxItems: 100,
			Coverage:  bundle.Coverage{Default: 1, Min: 0, GraceMS: 30},
			TimeLimit: bundle.TimeLimit{DefaultMS: timeLimitMS, MinMS: 10, MaxMS: 10000},
			Hedge:     bundle.Hedge{Quantile: 0.95, MinDelayMS: 5, Budget: 0.05},
			Retry:     bundle.Retry{MaxAttempts: 3, Budget: 0.1},
			Policy:    bundle.Policy(policy),
		})
	}
	return out
}
