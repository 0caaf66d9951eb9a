package targetsim

// PlaceReplicas spreads replicas of each shard of an index over targets with the same
// number of leaves, no two replicas of a shard on one target as long as there
// are that many targets. It returns what each target holds.
func PlaceReplicas(x Index, targets, leaves, replicas int) []SnapshotPlacement {
	holders := make([]SnapshotPlacement, targets)
	for i := range holders {
		holders[i] = SnapshotPlacement{Index: x, LeafShards: make([][]int, leaves)}
	}
	place := 0
	for shard := range x.Shards {
		for range replicas {
			h := &holders[place%targets]
			leaf := place / targets % leaves
			h.LeafShards[leaf] = append(h.LeafShards[leaf], shard)
			place++
		}
	}
	return holders
}
