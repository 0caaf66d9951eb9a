package targetsim

import (
	"testing"

	"pgregory.net/rapid"
)

// Each shard must have the requested number of replicas, each on a different target.
// Otherwise a test that stops one target could lose every replica of a shard.
func TestPlaceSpreadsReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 8).Draw(t, "targets")
		leaves := rapid.IntRange(1, 3).Draw(t, "leaves")
		replicas := rapid.IntRange(1, targets).Draw(t, "replicas")
		index := Index{Service: "s", Snapshot: "a", Shards: rapid.IntRange(1, 30).Draw(t, "shards")}
		targetsOf := make([]map[int]bool, index.Shards) // by shard: the targets that hold it
		for i, placement := range PlaceReplicas(index, targets, leaves, replicas) {
			for _, shards := range placement.LeafShards {
				for _, s := range shards {
					if targetsOf[s] == nil {
						targetsOf[s] = map[int]bool{}
					}
					targetsOf[s][i] = true
				}
			}
		}
		for s, holders := range targetsOf {
			if len(holders) != replicas {
				t.Fatalf("shard %d is on %d targets, want %d", s, len(holders), replicas)
			}
		}
	})
}
