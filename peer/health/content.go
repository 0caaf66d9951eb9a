package health

import (
	"cmp"
	"slices"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// maxLeafNumber bounds the numbers of leaves, which index a list.
const maxLeafNumber = 1024

// maxContentBytes leaves room for the stamp and the owners that can't read the target.
const maxContentBytes = facts.MaxHealthBytes - 512

// encode puts what a status says, apart from the loads, into a statement without
// a stamp. What doesn't fit is said to be opaque, so that nobody goes on believing
// an earlier statement.
func encode(st target.Status) facts.Health {
	h := facts.Health{Target: st.Target}
	h.Incarnation = st.Incarnation
	switch st.State {
	case target.StateServing:
	case target.StateStarting:
		h.State = facts.Starting
	case target.StateDraining:
		h.State, h.Drained = facts.Draining, true
	default:
		h.Opaque = true
	}
	full := h
	full.Maps = partitionMaps(st.Leaves)
	for _, leaf := range st.Leaves {
		if leaf.Leaf < 0 || leaf.Leaf > maxLeafNumber {
			h.Opaque = true
			return h
		}
		for len(full.Leaves) <= leaf.Leaf {
			full.Leaves = append(full.Leaves, nil)
		}
		full.Leaves[leaf.Leaf] = holdingRuns(full.Maps, leaf.Holdings)
	}
	if h.Opaque || full.Size() > maxContentBytes {
		h.Opaque = true
		return h
	}
	return full
}

// partitionMaps lists the partition maps of all holdings in a fixed order, so that two
// readings of one status are told in the same words.
func partitionMaps(leaves []target.LeafStatus) []facts.Map {
	var list []facts.Map
	for _, leaf := range leaves {
		for _, h := range leaf.Holdings {
			if m := partitionMap(h); !slices.Contains(list, m) {
				list = append(list, m)
			}
		}
	}
	slices.SortFunc(list, func(a, b facts.Map) int {
		return cmp.Or(cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Snapshot, b.Snapshot), cmp.Compare(a.Shards, b.Shards))
	})
	return list
}

func partitionMap(h target.Holding) facts.Map {
	return facts.Map{Snapshot: h.Snapshot, Seq: h.Seq, Shards: h.Shards}
}

// holdingRuns joins neighbouring shards of a map, which saves their numbers.
func holdingRuns(maps []facts.Map, holdings []target.Holding) []facts.Holding {
	type indexed struct {
		at int
		target.Holding
	}
	sorted := make([]indexed, len(holdings))
	for i, h := range holdings {
		sorted[i] = indexed{slices.Index(maps, partitionMap(h)), h}
	}
	slices.SortFunc(sorted, func(a, b indexed) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Records, b.Records))
	})
	var list []facts.Holding
	next := -1 // the shard that would go on with the last run
	for i, h := range sorted {
		if i == 0 || h.at != sorted[i-1].at || h.Shard != next {
			list = append(list, facts.Holding{int64(h.at), int64(h.Shard)})
		}
		last := len(list) - 1
		list[last] = append(list[last], h.Records)
		next = h.Shard + 1
	}
	return list
}

// decode gives a statement the form of a status. All loads are 0.
func decode(h facts.Health) target.Status {
	st := target.Status{Target: h.Target, Incarnation: h.Incarnation}
	switch h.State {
	case facts.Starting:
		st.State = target.StateStarting
	case facts.Draining:
		st.State = target.StateDraining
	default:
		st.State = target.StateServing
	}
	for number, list := range h.Leaves {
		leaf := target.LeafStatus{Leaf: number}
		for _, run := range list {
			leaf.Holdings = append(leaf.Holdings, expandRun(h.Maps, run)...)
		}
		st.Leaves = append(st.Leaves, leaf)
	}
	return st
}

func expandRun(maps []facts.Map, run facts.Holding) []target.Holding {
	m := maps[run[facts.HoldingMap]]
	var list []target.Holding
	for i, records := range run[facts.HoldingRecords:] {
		list = append(list, target.Holding{
			Snapshot: m.Snapshot, Seq: m.Seq, Shards: m.Shards,
			Shard: int(run[facts.HoldingFirstShard]) + i, Records: records,
		})
	}
	return list
}
