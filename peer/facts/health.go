package facts

import (
	"encoding/json"
	"slices"
)

// Bounds of the statements about the health of targets.
const (
	MaxHealthBytes   = 4 << 10 // size in bytes of one encoded statement about a target
	MaxHealthTargets = 8192    // number of targets with a statement in one Table
)

// HealthState is the state of a target.
type HealthState int

// The states of a target.
const (
	Serving  HealthState = iota // takes requests
	Starting                    // cold: answers slowly or refuses requests
	Draining                    // accepts no new requests; final for its incarnation
)

// Health is a statement about the health of a target. It is made by the owners of the
// target, the VMs that have connections to it. A table keeps one statement about each
// target, and a later statement replaces it as a whole.
type Health struct {
	Target string `json:"t"`
	Stamp
	State HealthState `json:"s,omitempty"`
	// Opaque is true if the statement doesn't describe what the target's leaves hold:
	// because the status doesn't fit in a statement or, in epoch 0, because no owner has
	// read the status yet. Each VM then has to read the target itself.
	Opaque bool `json:"o,omitempty"`
	// UnreadableBy holds the places of the owners that can't read the target. A place is
	// the number, counted from 0, of a VM among those that own connections to targets.
	// Each owner adds only itself; it removes only itself and owners that are no longer
	// live. The first statement about a new incarnation has none. A target that has live
	// owners, none of which can read it, is lost.
	UnreadableBy []int       `json:"u,omitempty"`
	Maps         []Map       `json:"m,omitempty"` // the partition maps of all holdings, each once
	Leaves       [][]Holding `json:"l,omitempty"` // what each leaf holds, indexed by the number of the leaf
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
//   - Seq counts the statements about one incarnation. At decides between two
//     statements with the same Seq.
//
// Times are by the clock of the VM that first published them.
type Stamp struct {
	Epoch       uint64 `json:"e"`           // counts the incarnations of the target that its owners have found
	FirstRead   int64  `json:"b"`           // when an owner first read this incarnation, in Unix milliseconds
	Incarnation string `json:"i"`           // of the target's process; "" if no owner has read it yet
	Drained     bool   `json:"d,omitempty"` // the incarnation takes no new work
	Seq         uint64 `json:"n,omitempty"` // counts the statements about the incarnation
	At          int64  `json:"a"`           // when the read began, or when an owner stated that it can't read the target, in Unix milliseconds
}

// Map is the partition map of a snapshot that some leaf of the target holds. It says into
// how many shards the snapshot is divided.
type Map struct {
	Snapshot string `json:"n"`
	Seq      int64  `json:"q"` // sequence number of the snapshot; a newer snapshot has a higher one
	Shards   int    `json:"s"` // number of shards of the snapshot
}

// Holding states that a leaf holds a run of shards with consecutive numbers of one
// snapshot. Its numbers are, in this order:
//
//   - the index in Health.Maps of the snapshot's partition map,
//   - the number of the first shard of the run,
//   - for each shard of the run, the number of its records.
//
// For example, {0, 4, 100, 120} stands for the shards 4, with 100 records, and 5, with 120
// records, of the snapshot of Maps[0].
type Holding []int64

// The positions of the numbers in a Holding.
const (
	HoldingMap        = iota // position in a Holding of the index of the partition map in Health.Maps
	HoldingFirstShard        // position in a Holding of the number of the first shard
	HoldingRecords           // position in a Holding of the number of records of the first shard; those of the other shards follow
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

// encoded returns the statement as JSON.
func (h Health) encoded() string {
	data, _ := json.Marshal(h) // its types always marshal
	return string(data)
}

// SameContent reports whether two statements have the same incarnation, State and
// Opaque, and list the same partition maps and holdings. They may differ in the owners
// that can't read the target and in the rest of the stamp.
func (h Health) SameContent(other Health) bool {
	return h.Incarnation == other.Incarnation && h.State == other.State && h.Opaque == other.Opaque && slices.Equal(h.Maps, other.Maps) &&
		slices.EqualFunc(h.Leaves, other.Leaves, func(a, b []Holding) bool {
			return slices.EqualFunc(a, b, func(a, b Holding) bool { return slices.Equal(a, b) })
		})
}

// valid reports whether a statement can be merged: it names its target, it is within
// MaxHealthBytes, its holdings refer to its maps, and Drained is set if and only if State
// is Draining. It names an incarnation if and only if an owner has read the target.
func (h Health) valid() bool {
	neverRead := h.Epoch == 0 && h.Opaque
	if h.Target == "" || (h.Incarnation == "") != neverRead || (h.State == Draining) != h.Drained {
		return false
	}
	for _, leaf := range h.Leaves {
		for _, run := range leaf {
			// Invalid: the run of shards is empty, or its partition map isn't in the statement.
			if len(run) <= HoldingRecords || run[HoldingMap] < 0 || run[HoldingMap] >= int64(len(h.Maps)) {
				return false
			}
		}
	}
	return h.Size() <= MaxHealthBytes
}

// healthEntry holds a statement about a target, and the hash of the Fact that carries the
// statement. The hash isn't recomputed because there are thousands of statements.
type healthEntry struct {
	Health
	hash uint64
}

// SetTargets sets the targets whose health is kept, which are targets of the bundle in
// force, and removes the statements about all others. Merge then ignores statements about
// others: a VM that still has an earlier bundle could otherwise bring back what was
// removed. SetTargets reports whether some of the named targets have no statement yet.
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

// mergeHealth adds a statement about a target and reports whether it changed the table. It
// ignores targets that SetTargets didn't name.
func (t *Table) mergeHealth(h Health) bool {
	if _, kept := t.targets[h.Target]; !kept {
		return false
	}
	old, known := t.health[h.Target]
	// Ignored: a statement that doesn't outrank the known one; one about a further target
	// if the table is full; a malformed one.
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

// toggleHealth adds a statement to the digest of its bucket, the part of the table that a
// hash of its key selects. If the digest already includes the statement, toggleHealth
// removes it: a digest is the XOR of the hashes of the facts in a bucket.
func (t *Table) toggleHealth(e healthEntry) { t.digest[healthKey(e.Target).bucket()] ^= e.hash }

// Health returns the statement about the health of a target and reports whether there is
// one.
func (t *Table) Health(target string) (Health, bool) {
	e, known := t.health[target]
	return e.Health, known
}

// HealthCount returns the number of targets with a statement about their health.
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
