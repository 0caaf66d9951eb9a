package facts

import (
	"encoding/json"
	"slices"
)

// Bounds of what is kept and passed on of targets.
const (
	MaxHealthBytes   = 4 << 10 // of one target, encoded
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

// Health is what the owners of a target say of it: one statement for each
// target, which a later one replaces whole.
type Health struct {
	Target string `json:"t"`
	Stamp
	State HealthState `json:"s,omitempty"`
	// Opaque is true if what the target says doesn't fit a statement, or, in epoch
	// 0, if nobody has read it yet. Each VM has to read it for itself.
	Opaque bool `json:"o,omitempty"`
	// UnreadableBy are the places of the owners that can't read the target. Each owner
	// adds and removes itself only. A target that no live owner can read is lost.
	UnreadableBy []int       `json:"u,omitempty"`
	Maps         []Map       `json:"m,omitempty"`
	Leaves       [][]Holding `json:"l,omitempty"` // by number of the leaf
}

// Stamp orders the statements about one target. An owner makes a statement from
// a reading that began when it knew the statement that it replaces, so:
//
//   - Epoch is one more than that statement's if the target was found in another
//     incarnation. An owner that was frozen or cut off knows a lower epoch than
//     the others, and what it says of an earlier incarnation loses.
//   - Born tells apart incarnations that two owners put into one epoch: the one
//     that was first read later wins. It stays the same for all of an incarnation's
//     statements, without which the order would not be transitive.
//   - Drained is final for an incarnation, whatever a later reading says.
//   - Seq counts the statements about one incarnation; At, the time of the
//     reading, decides between two with one number.
//
// Times are in Unix milliseconds, by the clock of the VM that first stated them.
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

// Holding is a run of neighbouring shards on a leaf: the index of the map, the
// first shard, and the number of records of each shard from there on.
type Holding []int64

// The parts of a Holding.
const (
	HoldingMap = iota
	HoldingFirstShard
	HoldingRecords
)

// Outranks tells whether h replaces other, another statement about the same
// target. It is a total order, so that merging is the same in every order.
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

// Size returns the bytes of a statement as it is sent.
func (h Health) Size() int { return len(h.encoded()) }

func (h Health) encoded() string {
	data, _ := json.Marshal(h) // its types always marshal
	return string(data)
}

// SameContent tells whether two statements say the same of a target, apart from
// which owners can't read it.
func (h Health) SameContent(other Health) bool {
	return h.Incarnation == other.Incarnation && h.State == other.State && h.Opaque == other.Opaque && slices.Equal(h.Maps, other.Maps) &&
		slices.EqualFunc(h.Leaves, other.Leaves, func(a, b []Holding) bool {
			return slices.EqualFunc(a, b, func(a, b Holding) bool { return slices.Equal(a, b) })
		})
}

// valid tells whether a statement can be taken: it names its target and, unless
// nobody has read it yet, its incarnation, fits the bound, and its holdings fit its
// maps.
func (h Health) valid() bool {
	unseen := h.Epoch == 0 && h.Opaque
	if h.Target == "" || (h.Incarnation == "") != unseen || (h.State == Draining) != h.Drained {
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

// healthEntry keeps a statement with its hash, since there are thousands.
type healthEntry struct {
	Health
	hash uint64
}

// SetTargets names the targets of the bundle in force and forgets what is known
// of all others. Statements about others are not taken: a VM that still had the
// earlier bundle would otherwise bring back what was forgotten. It tells whether
// there are targets of which nothing is known.
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

func (t *Table) toggleHealth(e healthEntry) { t.digest[healthKey(e.Target).bucket()] ^= e.hash }

// Health returns what is known of a target.
func (t *Table) Health(target string) (Health, bool) {
	e, known := t.health[target]
	return e.Health, known
}

// HealthCount returns the number of targets of which something is known.
func (t *Table) HealthCount() int { return len(t.health) }

// Contains tells whether the table has exactly this fact.
func (t *Table) Contains(f Fact) bool {
	if f.Health != nil {
		e, known := t.health[f.Health.Target]
		return known && e.Stamp == f.Health.Stamp && e.hash == f.hash()
	}
	list := t.Facts([]Key{f.Key()})
	return len(list) == 1 && list[0].hash() == f.hash()
}
