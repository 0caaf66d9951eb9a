package health

import (
	"cmp"
	"slices"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// maxLeafNumber is the greatest number of a leaf that a statement can describe. The
// numbers are indexes of facts.Health.Leaves, so a high number would make a long list.
const maxLeafNumber = 1024

// maxContentBytes bounds the size in bytes of an encoded statement that encode returns. The
// 512 bytes up to facts.MaxHealthBytes are for the rest of the stamp and for the list of
// the owners that can't read the target, both of which are added later.
const maxContentBytes = facts.MaxHealthBytes - 512

// encode returns the statement that describes a target's status. It leaves out the loads
// of the leaves, and of the stamp it sets only Incarnation and Drained. If the status
// doesn't fit in a statement, or has an unknown state, the statement is opaque: it doesn't
// say what the leaves hold. It replaces the earlier statement nevertheless, so that no VM
// continues to use that one.
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
	full := h // h with what the leaves hold; h itself is returned if that doesn't fit
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

// partitionMaps returns the partition maps of all holdings, each once. A partition map
// says into how many shards a snapshot is divided. The order is fixed, so that two reads
// of one status give equal statements.
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

// partitionMap returns the partition map of the snapshot that a holding is part of.
func partitionMap(h target.Holding) facts.Map {
	return facts.Map{Snapshot: h.Snapshot, Seq: h.Seq, Shards: h.Shards}
}

// holdingRuns returns the holdings of a leaf in the form of a statement. Neighbouring
// shards of one partition map become one run, which saves the bytes of the shard numbers.
// maps has the partition maps of all holdings.
func holdingRuns(maps []facts.Map, holdings []target.Holding) []facts.Holding {
	type indexed struct {
		mapIndex int // index in maps of the holding's partition map
		target.Holding
	}
	sorted := make([]indexed, len(holdings))
	for i, h := range holdings {
		sorted[i] = indexed{slices.Index(maps, partitionMap(h)), h}
	}
	slices.SortFunc(sorted, func(a, b indexed) int {
		return cmp.Or(cmp.Compare(a.mapIndex, b.mapIndex), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Records, b.Records))
	})
	var list []facts.Holding
	next := -1 // the shard that would continue the last run
	for i, h := range sorted {
		// A new run starts unless the shard follows the previous one in the same map.
		if i == 0 || h.mapIndex != sorted[i-1].mapIndex || h.Shard != next {
			list = append(list, facts.Holding{int64(h.mapIndex), int64(h.Shard)})
		}
		last := len(list) - 1
		list[last] = append(list[last], h.Records)
		next = h.Shard + 1
	}
	return list
}

// decode returns the status that a statement describes. All loads are 0.
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

// expandRun returns the holdings that a run of neighbouring shards stands for, one for
// each shard. maps holds the partition maps of the statement, to which the run refers by
// index. holdingRuns makes such runs.
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
