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

// Fields are the fields of every record. They name the snapshot that the
// record was read from, so that a mix of snapshots shows.
type Fields struct {
	Snapshot string `json:"snapshot"`
}

// Key returns the key of record i. Keys are ordered as their numbers.
func Key(i int) string { return fmt.Sprintf("r%08d", i) }

// ShardOf returns the shard that holds the record of that key.
func (x Index) ShardOf(key string) int {
	return int(xxhash.Sum64String(x.Service+"/"+key) % uint64(x.Shards))
}

// Truth returns what a complete answer to the request holds: the items, whether
// more match, and the number of records that all shards hold together.
func (x Index) Truth(kind target.Kind, query, after string, limit int) (items []target.Item, more bool, records int64) {
	shards := x.build()
	var all []target.Item
	for _, s := range shards {
		all = append(all, s.matches(kind, query, after)...)
		records += int64(len(s.keys))
	}
	order(kind, all)
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
	builtMu sync.Mutex // guards built
	built   = map[Index][]shard{}
)

// build returns the shards of x, kept for the next use.
func (x Index) build() []shard {
	builtMu.Lock()
	defer builtMu.Unlock()
	if shards, ok := built[x]; ok {
		return shards
	}
	fields, err := json.Marshal(Fields{Snapshot: x.Snapshot})
	if err != nil {
		panic(err) // a string always encodes
	}
	shards := make([]shard, x.Shards)
	for i := range shards {
		shards[i].fields = fields
	}
	for i := range x.Records {
		key := Key(i)
		s := &shards[x.ShardOf(key)]
		s.keys = append(s.keys, key)
	}
	built[x] = shards
	return shards
}

// matches returns the items of the shard that match, in the order of the kind.
func (s shard) matches(kind target.Kind, query, after string) []target.Item {
	items := []target.Item{}
	for _, key := range s.keys {
		if kind == target.KindBrowse && key <= after {
			continue
		}
		hash := xxhash.Sum64String(query + "\x00" + key)
		if query != "" && hash%matchOneIn != 0 {
			continue
		}
		items = append(items, target.Item{Key: key, Score: score(hash), Fields: s.fields})
	}
	order(kind, items)
	return items
}

// score turns a hash into a number from 0 to 1 with few digits, which JSON
// carries without loss.
func score(hash uint64) float64 {
	const steps = 1 << 20
	v, _ := strconv.ParseFloat(strconv.FormatFloat(float64(hash>>44)/steps, 'f', 6, 64), 64)
	return v
}

func order(kind target.Kind, items []target.Item) {
	sort.Slice(items, func(i, j int) bool {
		a, b := items[i], items[j]
		if kind == target.KindSearch && a.Score != b.Score {
			return a.Score > b.Score
		}
		return a.Key < b.Key
	})
}
