// Package bench measures the query path with real processes in the shapes of
// the two deployments, under an open-loop load, for the adaptive policy and the
// plain one in turn.
package bench

import (
	"fmt"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
)

// Shape is a deployment to measure.
type Shape struct {
	Name        string
	Zones       []string
	Daemons     int
	TimeLimitMS int
	Services    []Service

	slowdown int // of service times and time limits, from the options
}

// slowed returns the shape with service times and time limits that many times
// as long. The load falls with it, and with it what a busy machine's own delays
// add; pauses and intervals of the daemons stay as they are.
func (s Shape) slowed(factor int) Shape {
	s.slowdown = factor
	s.TimeLimitMS *= factor
	return s
}

func (s Shape) healthyTiming() targetsim.Timing {
	const coldFactor = 3
	return targetsim.Timing{BaseMS: baseServiceMS * float64(s.slowdown), ColdFactor: coldFactor}
}

// Service is one service of a Shape, in the sizes of today.
type Service struct {
	Name          string
	Targets       int
	Leaves        int
	Slots         int
	Connections   int
	ConnectCostMS float64
	Shards        int
	Replicas      int
}

// Fixed choices of the bench.
const (
	recordsPerIndex = 4000 // of each index
	baseServiceMS   = 8    // mean service time of a leaf
	queueLength     = 8    // of a leaf
	proxyEvery      = 4    // one target in so many is reached through a fault proxy
	normalLoad      = 0.35 // of the capacity
	drainMS         = 1000 // a target serves on after SIGTERM
	coldMS          = 500  // a target is slow after its start
	idleMS          = 5000 // a target closes an unused connection
)

// Shapes are the deployments that can be measured. Of each, the larger of the
// services with many instances and one of the small ones are run; the others
// have the same shape.
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

// capacity is how many queries a second the service's slots can run.
func (s Service) capacity(serviceMS float64) float64 {
	slots := float64(s.Targets * s.Leaves * s.Slots)
	const second = 1000
	return slots * second / serviceMS / float64(s.Shards)
}

// index returns a version of the service's index.
func (s Service) index(seq, shards int) targetsim.Index {
	return targetsim.Index{
		Service: s.Name, Snapshot: fmt.Sprintf("s%d", seq), Seq: int64(seq), Shards: shards, Records: recordsPerIndex,
	}
}

func (s Service) targetOptions(i int, timing targetsim.Timing, holder targetsim.SnapshotPlacement) targetsim.Options {
	return targetsim.Options{
		Name: fmt.Sprintf("%s-%02d", s.Name, i+1), Service: s.Name,
		Leaves: s.Leaves, Slots: s.Slots, MaxQueued: queueLength, MaxConnections: s.Connections,
		ConnectCostMS: s.ConnectCostMS, Seed: uint64(i + 1), Timing: timing,
		Snapshots: []targetsim.SnapshotPlacement{holder}, DrainMS: drainMS, IdleMS: idleMS,
	}
}

// The policies that are compared.
const (
	adaptivePolicy = string(bundle.PolicyAdaptive)
	plainPolicy    = string(bundle.PolicyPlain)
)

// searchName is the search of a service under a policy.
func searchName(service, policy string) string { return service + "-" + policy }

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
