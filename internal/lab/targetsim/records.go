package targetsim

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// matchOneIn is the share of records, one in so many, that a query matches.
const matchOneIn = 4

// Index describes one snapshot of a service's index. Its records are a pure
// function of its fields, so that a test can work out the true answer.
type Index struct {
	Service  string `json:"service"`
	Snapshot string `json:"snapshot"`
	Seq      int64  `json:"seq"`
	Shards   int    `json:"shards"`
	Records  int    `json:"records"` // in all shards
}

// RecordFields are the fields of every record. They name the snapshot that the
// record was read from, so that a mix of snapshots shows.
type RecordFields struct {
	Snapshot string `json:"snapshot"`
}

// RecordKey returns the key of record i. Keys are ordered as their numbers.
func RecordKey(i int) string { return fmt.Sprintf("r%08d", i) }

// ShardOf returns the shard that holds the record of that key.
func (x Index) ShardOf(key string) int {
	return int(xxhash.Sum64String(x.Service+"/"+key) % uint64(x.Shards))
}

// ExpectedAnswer returns what a complete answer to the request holds: the items, whether
// more match, and the number of records that all shards hold together.
func (x Index) ExpectedAnswer(kind target.Kind, query, after string, limit int) (items []target.Item, more bool, records int64) {
	shards := x.buildShards()
	var all []target.Item
	for _, s := range shards {
		all = append(all, s.matchingItems(kind, query, after)...)
		records += int64(len(s.keys))
	}
	sortItems(kind, all)
	if limit > 0 && len(all) > limit {
		return all[:limit], true, records
	}
	return all, false, records
}

// shard is the part of an index that one leaf reads.
type shard struct {
	keys   []string
	fields json.RawMessage
}

var (
	shardCacheMu sync.Mutex // guards built
	shardCache   = map[Index][]shard{}
)

// buildShards returns the shards of x, kept for the next use.
func (x Index) buildShards() []shard {
	shardCacheMu.Lock()
	defer shardCacheMu.Unlock()
	if shards, ok := shardCache[x]; ok {
		return shards
	}
	fields, err := json.Marshal(RecordFields{Snapshot: x.Snapshot})
	if err != nil {
		panic(err) // a string always encodes
	}
	shards := make([]shard, x.Shards)
	for i := range shards {
		shards[i].fields = fields
	}
	for i := range x.Records {
		key := RecordKey(i)
		s := &shards[x.ShardOf(key)]
		s.keys = append(s.keys, key)
	}
	shardCache[x] = shards
	return shards
}

// matchingItems returns the items of the shard that match, in the order of the kind.
func (s shard) matchingItems(kind target.Kind, query, after string) []target.Item {
	items := []target.Item{}
	for _, key := range s.keys {
		if kind == target.KindBrowse && key <= after {
			continue
		}
		hash := xxhash.Sum64String(query + "\x00" + key)
		if query != "" && hash%matchOneIn != 0 {
			continue
		}
		items = append(items, target.Item{Key: key, Score: scoreFromHash(hash), Fields: s.fields})
	}
	sortItems(kind, items)
	return items
}

// scoreFromHash turns a hash into a number from 0 to 1 with few digits, which JSON
// carries without loss.
func scoreFromHash(hash uint64) float64 {
	const steps = 1 << 20
	v, _ := strconv.ParseFloat(strconv.FormatFloat(float64(hash>>44)/steps, 'f', 6, 64), 64)
	return v
}

func sortItems(kind target.Kind, items []target.Item) {
	sort.Slice(items, func(i, j int) bool {
		a, b := items[i], items[j]
		if kind == target.KindSearch && a.Score != b.Score {
			return a.Score > b.Score
		}
		return a.Key < b.Key
	})
}
