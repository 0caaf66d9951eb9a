package targetsim

// Place spreads replicas of each shard of an index over targets with the same
// number of leaves, no two replicas of a shard on one target as long as there
// are that many targets. It returns what each target holds.
func Place(x Index, targets, leaves, replicas int) []Holder {
	holders := make([]Holder, targets)
	for i := range holders {
		holders[i] = Holder{Index: x, LeafShards: make([][]int, leaves)}
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
