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

// matchOneIn sets the share of records that a query matches: on average one in matchOneIn.
const matchOneIn = 4

// Index describes one snapshot of a service's index. Its records are a pure function of its
// fields, so that a test can compute the expected answer.
type Index struct {
	Service  string `json:"service"`
	Snapshot string `json:"snapshot"`
	Seq      int64  `json:"seq"`     // orders the snapshots; the newest has the largest
	Shards   int    `json:"shards"`  // number of shards
	Records  int    `json:"records"` // number of records in all shards together
}

// RecordFields are the fields of every record. They name the snapshot that the record was read
// from, so that a test detects an answer that mixes snapshots.
type RecordFields struct {
	Snapshot string `json:"snapshot"`
}

// RecordKey returns the key of the record with number i. Keys sort in the order of their numbers.
func RecordKey(i int) string { return fmt.Sprintf("r%08d", i) }

// ShardOf returns the number of the shard that holds the record with that key.
func (index Index) ShardOf(key string) int {
	return int(xxhash.Sum64String(index.Service+"/"+key) % uint64(index.Shards))
}

// ExpectedAnswer returns the contents of a complete answer to a request: the items, whether
// further ones match, and the number of records in all shards. A limit of 0 means no limit.
func (index Index) ExpectedAnswer(kind target.Kind, query, after string, limit int) (items []target.Item, more bool, records int64) {
	shards := index.buildShards()
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

// shard holds the records of one shard of an index.
type shard struct {
	keys   []string        // of the records, sorted
	fields json.RawMessage // the same for every record
}

var (
	shardCacheMu sync.Mutex // guards shardCache
	shardCache   = map[Index][]shard{}
)

// buildShards returns the shards of the index. It computes them once and caches them.
func (index Index) buildShards() []shard {
	shardCacheMu.Lock()
	defer shardCacheMu.Unlock()
	if shards, ok := shardCache[index]; ok {
		return shards
	}
	fields, err := json.Marshal(RecordFields{Snapshot: index.Snapshot})
	if err != nil {
		panic(err) // a struct of one string can always be encoded
	}
	shards := make([]shard, index.Shards)
	for i := range shards {
		shards[i].fields = fields
	}
	for i := range index.Records {
		key := RecordKey(i)
		s := &shards[index.ShardOf(key)]
		s.keys = append(s.keys, key)
	}
	shardCache[index] = shards
	return shards
}

// matchingItems returns the items of the shard that match the query, sorted as an answer of that
// kind requires. An empty query matches every record. A browse returns only keys greater than after.
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

// scoreFromHash maps a hash to a number from 0 to 1 with 6 decimal places, which JSON represents
// without loss.
func scoreFromHash(hash uint64) float64 {
	const steps = 1 << 20 // hash>>44 has 20 bits
	v, _ := strconv.ParseFloat(strconv.FormatFloat(float64(hash>>44)/steps, 'f', 6, 64), 64)
	return v
}

// sortItems sorts the items of a search by score, highest first, and then by key. It sorts those of
// a browse by key.
func sortItems(kind target.Kind, items []target.Item) {
	sort.Slice(items, func(i, j int) bool {
		a, b := items[i], items[j]
		if kind == target.KindSearch && a.Score != b.Score {
			return a.Score > b.Score
		}
		return a.Key < b.Key
	})
}
