package targetsim

import (
	"testing"

	"pgregory.net/rapid"
)

// Every shard has its replicas, on as many targets as there are.
func TestPlaceSpreadsReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 8).Draw(t, "targets")
		leaves := rapid.IntRange(1, 3).Draw(t, "leaves")
		replicas := rapid.IntRange(1, targets).Draw(t, "replicas")
		x := Index{Service: "s", Snapshot: "a", Shards: rapid.IntRange(1, 30).Draw(t, "shards")}
		held := make([]map[int]bool, x.Shards) // by shard: the targets
		for i, h := range PlaceReplicas(x, targets, leaves, replicas) {
			for _, shards := range h.LeafShards {
				for _, s := range shards {
					if held[s] == nil {
						held[s] = map[int]bool{}
					}
					held[s][i] = true
				}
			}
		}
		for s, on := range held {
			if len(on) != replicas {
				t.Fatalf("shard %d is on %d targets, want %d", s, len(on), replicas)
			}
		}
	})
}
