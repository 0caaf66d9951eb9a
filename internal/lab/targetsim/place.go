package targetsim

// PlaceReplicas distributes replicas of each shard of an index over targets that have the same
// number of leaves. If there are at least as many targets as replicas, no target holds two
// replicas of a shard. It returns the placement on each target.
func PlaceReplicas(index Index, targets, leaves, replicas int) []SnapshotPlacement {
	placements := make([]SnapshotPlacement, targets)
	for i := range placements {
		placements[i] = SnapshotPlacement{Index: index, LeafShards: make([][]int, leaves)}
	}
	position := 0
	for shard := range index.Shards {
		for range replicas {
			placement := &placements[position%targets]
			leaf := position / targets % leaves
			placement.LeafShards[leaf] = append(placement.LeafShards[leaf], shard)
			position++
		}
	}
	return placements
}
