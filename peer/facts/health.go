package facts

import (
	"encoding/json"
	"slices"
)

// Bounds of the health that is kept and sent.
const (
	MaxHealthBytes   = 4 << 10 // of one encoded statement
	MaxHealthTargets = 8192
)

// HealthState is the state of a target.
type HealthState int

// The states of a target.
const (
	Serving HealthState = iota
	Starting
	Draining
)

// Health is a statement of the owners of a target about it. There is one statement
// for each target, and a later one replaces it as a whole.
type Health struct {
	Target string `json:"t"`
	Stamp
	State HealthState `json:"s,omitempty"`
	// Opaque is true if the target's status doesn't fit in a statement, or, in epoch
	// 0, if no owner has read it yet. Each VM then has to read the target itself.
	Opaque bool `json:"o,omitempty"`
	// UnreadableBy holds the places of the owners that can't read the target. Each
	// owner adds and removes only itself. A target that no live owner can read is lost.
	UnreadableBy []int       `json:"u,omitempty"`
	Maps         []Map       `json:"m,omitempty"`
	Leaves       [][]Holding `json:"l,omitempty"` // indexed by the number of the leaf
}

// Stamp orders the statements about one target. An owner bases a statement on a read
// of the target, and on the statement that it knew when the read began and that the
// new one replaces. So:
//
//   - Epoch is one more than that of the replaced statement if the read found another
//     incarnation. An owner that was frozen or isolated knows a lower epoch than the
//     others, so its statement about an earlier incarnation loses.
//   - FirstRead distinguishes incarnations that two owners put into one epoch: the one
//     that was first read later wins. It is the same in all statements about an
//     incarnation. Otherwise the order would not be transitive.
//   - Drained is final for an incarnation, whatever a later read returns.
//   - Seq counts the statements about one incarnation. At, the time of the read,
//     decides between two with the same number.
//
// Times are in Unix milliseconds, by the clock of the VM that first published them.
type Stamp struct {
	Epoch       uint64 `json:"e"`
	FirstRead   int64  `json:"b"`
	Incarnation string `json:"i"`
	Drained     bool   `json:"d,omitempty"`
	Seq         uint64 `json:"n,omitempty"`
	At          int64  `json:"a"`
}

// Map is the partition map of a snapshot that some leaf of the target holds.
type Map struct {
	Snapshot string `json:"n"`
	Seq      int64  `json:"q"`
	Shards   int    `json:"s"`
}

// Holding is a run of neighbouring shards on a leaf: the index of their map in
// Health.Maps, the number of the first shard, and the number of records of each shard
// of the run.
type Holding []int64

// The indexes of a Holding. HoldingRecords is that of the first shard's records.
const (
	HoldingMap = iota
	HoldingFirstShard
	HoldingRecords
)

// Outranks reports whether h replaces other, another statement about the same
// target. It is a total order, so that merging gives the same result in every order.
func (h Health) Outranks(other Health) bool {
	switch {
	case h.Epoch != other.Epoch:
		return h.Epoch > other.Epoch
	case h.FirstRead != other.FirstRead:
		return h.FirstRead > other.FirstRead
	case h.Incarnation != other.Incarnation:
		return h.Incarnation > other.Incarnation
	case h.Drained != other.Drained:
		return h.Drained
	case h.Seq != other.Seq:
		return h.Seq > other.Seq
	case h.At != other.At:
		return h.At > other.At
	default:
		return h.encoded() > other.encoded()
	}
}

// Size returns the size of an encoded statement in bytes.
func (h Health) Size() int { return len(h.encoded()) }

func (h Health) encoded() string {
	data, _ := json.Marshal(h) // its types always marshal
	return string(data)
}

// SameContent reports whether two statements have the same incarnation, state,
// opacity and holdings. They may differ in the owners that can't read the target.
func (h Health) SameContent(other Health) bool {
	return h.Incarnation == other.Incarnation && h.State == other.State && h.Opaque == other.Opaque && slices.Equal(h.Maps, other.Maps) &&
		slices.EqualFunc(h.Leaves, other.Leaves, func(a, b []Holding) bool {
			return slices.EqualFunc(a, b, func(a, b Holding) bool { return slices.Equal(a, b) })
		})
}

// valid reports whether a statement can be merged: it names its target and, unless no
// owner has read the target yet, its incarnation; it is within MaxHealthBytes; and its
// holdings refer to its maps.
func (h Health) valid() bool {
	neverRead := h.Epoch == 0 && h.Opaque
	if h.Target == "" || (h.Incarnation == "") != neverRead || (h.State == Draining) != h.Drained {
		return false
	}
	for _, leaf := range h.Leaves {
		for _, run := range leaf {
			if len(run) <= HoldingRecords || run[HoldingMap] < 0 || run[HoldingMap] >= int64(len(h.Maps)) {
				return false
			}
		}
	}
	return h.Size() <= MaxHealthBytes
}

// healthEntry holds a statement with its hash, which isn't recomputed because there
// are thousands of statements.
type healthEntry struct {
	Health
	hash uint64
}

// SetTargets sets the targets of the bundle in force and forgets the health of all
// others. Statements about others aren't merged: a VM that still had the earlier
// bundle could otherwise bring back what was forgotten. It reports whether there are
// targets without a statement.
func (t *Table) SetTargets(names []string) (unknown bool) {
	named := make(map[string]struct{}, len(names))
	for _, name := range names {
		named[name] = struct{}{}
		if _, known := t.health[name]; !known {
			unknown = true
		}
	}
	for name, e := range t.health {
		if _, has := named[name]; !has {
			t.toggleHealth(e)
			delete(t.health, name)
		}
	}
	t.targets = named
	return unknown
}

func (t *Table) mergeHealth(h Health) bool {
	if _, named := t.targets[h.Target]; !named {
		return false
	}
	old, known := t.health[h.Target]
	if known && !h.Outranks(old.Health) || !known && len(t.health) >= MaxHealthTargets || !h.valid() {
		return false
	}
	if known {
		t.toggleHealth(old)
	}
	e := healthEntry{h, Fact{Health: &h}.hash()}
	t.toggleHealth(e)
	t.health[h.Target] = e
	return true
}

// toggleHealth adds a statement to its bucket's digest, or removes it.
func (t *Table) toggleHealth(e healthEntry) { t.digest[healthKey(e.Target).bucket()] ^= e.hash }

// Health returns the statement about a target and reports whether there is one.
func (t *Table) Health(target string) (Health, bool) {
	e, known := t.health[target]
	return e.Health, known
}

// HealthCount returns the number of targets with a statement.
func (t *Table) HealthCount() int { return len(t.health) }

// Contains reports whether the table has exactly this fact.
func (t *Table) Contains(f Fact) bool {
	if f.Health != nil {
		e, known := t.health[f.Health.Target]
		return known && e.Stamp == f.Health.Stamp && e.hash == f.hash()
	}
	list := t.Facts([]Key{f.Key()})
	return len(list) == 1 && list[0].hash() == f.hash()
}
