package facts

import (
	"encoding/binary"
	"slices"
	"time"
)

// Buckets is the number of buckets of each Section of a Table. A fact belongs to the
// bucket that a hash of its key selects. VMs compare the digests of buckets, and then
// exchange only the facts of the buckets that differ.
const Buckets = 64

// Section is one of the parts of a Table whose digests are compared separately.
type Section int

// The sections. The health of targets is kept only for targets of the bundle in force,
// so two VMs can compare it only while they have the same bundle.
const (
	General      Section = iota // the facts about VMs and drains
	Targets                     // the facts about the health of targets
	sectionCount                // number of sections
)

const (
	// maxDrainsPerTarget is the greatest number of drains of one target that are kept.
	// Older ones are dropped.
	maxDrainsPerTarget = 4
	// forgetAfter is how long the statement about a lost VM is kept after the VM was
	// suspected. It is bounded so that the table doesn't grow with every VM that was
	// ever replaced. It is far longer than a message about that VM can be delayed, so no
	// late message adds the VM again.
	forgetAfter = 10 * time.Minute
)

// Table holds the facts that a VM knows: drains, statements about VMs, and statements
// about the health of targets. It is not safe for concurrent use.
type Table struct {
	drains  map[string][]Drain                  // by target, the newest first
	members map[string]Member                   // the statement about each VM, by its name
	health  map[string]healthEntry              // the statement about each target, by its name
	targets map[string]struct{}                 // names of the targets whose health is kept; see SetTargets
	lost    int                                 // number of members in state Lost
	digest  [Buckets * int(sectionCount)]uint64 // XOR of the hashes of the facts in each bucket
}

// Entry is the key and hash of one fact. Two VMs compare entries to find the facts in
// which they differ.
type Entry struct {
	Key  Key    `json:"k"`
	Hash uint64 `json:"h"`
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{drains: map[string][]Drain{}, members: map[string]Member{}, health: map[string]healthEntry{}}
}

// Merge adds a fact and reports whether it changed the table. Malformed facts are
// ignored. now is in Unix seconds.
func (t *Table) Merge(f Fact, now int64) bool {
	switch {
	case f.Key() == "":
		return false
	case f.Member != nil:
		return t.mergeMember(*f.Member, now)
	case f.Health != nil:
		return t.mergeHealth(*f.Health)
	default:
		return t.mergeDrain(*f.Drain)
	}
}

// mergeMember adds a statement about a VM and reports whether it changed the table. now
// is in Unix seconds.
func (t *Table) mergeMember(m Member, now int64) bool {
	if forgotten(m, now) {
		return false
	}
	old, known := t.members[m.Name]
	if known && !m.Outranks(old) {
		return false
	}
	if known {
		t.removeMember(old)
	}
	t.members[m.Name] = m
	t.toggle(Fact{Member: &m})
	if m.State == Lost {
		t.lost++
	}
	return true
}

// mergeDrain adds a drain and reports whether that changed the table. Of each target it
// keeps only the newest maxDrainsPerTarget drains.
func (t *Table) mergeDrain(d Drain) bool {
	list := t.drains[d.Target]
	index := slices.IndexFunc(list, func(o Drain) bool { return o.Incarnation == d.Incarnation })
	if index >= 0 && !d.outranks(list[index]) {
		return false
	}
	// The list is full, and the new drain isn't newer than the oldest one that it has.
	if index < 0 && len(list) == maxDrainsPerTarget && !d.outranks(list[len(list)-1]) {
		return false
	}
	for i := range list {
		t.toggle(Fact{Drain: &list[i]})
	}
	if index >= 0 {
		list = slices.Delete(list, index, index+1)
	}
	list = append(list, d)
	slices.SortFunc(list, func(a, b Drain) int {
		if a.outranks(b) {
			return -1
		}
		return 1
	})
	list = list[:min(len(list), maxDrainsPerTarget)]
	for i := range list {
		t.toggle(Fact{Drain: &list[i]})
	}
	t.drains[d.Target] = list
	return true
}

// AddDrain records a drain that this VM found itself. If it is new, AddDrain returns
// the fact to send to other VMs, and true. The drain's Since exceeds all known ones of the
// target. Otherwise the drains that a VM with a fast clock recorded would count as newer
// than all later ones. now is in Unix seconds.
func (t *Table) AddDrain(target, incarnation string, now int64) (Fact, bool) {
	d := Drain{Target: target, Incarnation: incarnation, Since: now}
	for _, old := range t.drains[target] {
		if old.Incarnation == incarnation {
			return Fact{}, false
		}
		d.Since = max(d.Since, old.Since+1)
	}
	f := Fact{Drain: &d}
	return f, t.Merge(f, now)
}

// removeMember removes m, which must be the table's statement about a VM.
func (t *Table) removeMember(m Member) {
	t.toggle(Fact{Member: &m})
	delete(t.members, m.Name)
	if m.State == Lost {
		t.lost--
	}
}

// LostCount returns the number of VMs that are lost and not yet forgotten.
func (t *Table) LostCount() int { return t.lost }

// Expire removes the statements about lost VMs that were suspected more than forgetAfter
// ago, and reports whether there were any. now is in Unix seconds.
func (t *Table) Expire(now int64) bool {
	if t.lost == 0 {
		return false
	}
	before := t.lost
	for _, m := range t.members {
		if forgotten(m, now) {
			t.removeMember(m)
		}
	}
	return t.lost != before
}

// forgotten reports whether a VM is lost and was suspected more than forgetAfter ago.
// now is in Unix seconds.
func forgotten(m Member, now int64) bool {
	return m.State == Lost && now-m.At > int64(forgetAfter.Seconds())
}

// toggle adds a fact to the digest of its bucket. If the digest already includes the
// fact, toggle removes it: a digest is the XOR of the hashes of its facts.
func (t *Table) toggle(f Fact) {
	t.digest[f.Key().bucket()] ^= f.hash()
}

// Member returns the statement about a VM and reports whether there is one.
func (t *Table) Member(name string) (Member, bool) {
	m, ok := t.members[name]
	return m, ok
}

// Members returns the statements about all known VMs, in no particular order.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m)
	}
	return list
}

// Drains returns all known drains. Those of one target are ordered from the oldest to
// the newest, so that a caller that keeps only the last of a target keeps the newest.
func (t *Table) Drains() []Drain {
	var list []Drain
	for _, drains := range t.drains {
		for _, d := range slices.Backward(drains) {
			list = append(list, d)
		}
	}
	return list
}

// Root returns one digest over the digests of all buckets of a section.
func (t *Table) Root(section Section) uint64 {
	var root uint64
	for i, d := range t.buckets(section) {
		// A factor and a summand for each bucket make the root depend on their order.
		root ^= d*uint64(2*i+1) + uint64(i)
	}
	return root
}

// buckets returns the digests of a section's buckets. The caller must not change them.
func (t *Table) buckets(section Section) []uint64 {
	first := int(section) * Buckets
	return t.digest[first : first+Buckets]
}

// Digest returns the digests of a section's buckets, eight bytes each, little-endian.
func (t *Table) Digest(section Section) []byte {
	buf := make([]byte, 0, 8*Buckets)
	for _, d := range t.buckets(section) {
		buf = binary.LittleEndian.AppendUint64(buf, d)
	}
	return buf
}

// Differing returns the indexes in Table.digest of those buckets of a section whose
// digests differ from another table's. digest is the result of Digest for that table.
// Differing returns nil if digest doesn't have the right length.
func (t *Table) Differing(section Section, digest []byte) []int {
	if len(digest) != 8*Buckets {
		return nil
	}
	var list []int
	for i, d := range t.buckets(section) {
		if binary.LittleEndian.Uint64(digest[8*i:]) != d {
			list = append(list, int(section)*Buckets+i)
		}
	}
	return list
}

// Entries returns the keys and hashes of the facts in the buckets with the given indexes
// in Table.digest.
func (t *Table) Entries(buckets []int) []Entry {
	var list []Entry
	t.eachFact(buckets, func(f Fact, hash uint64) { list = append(list, Entry{f.Key(), hash}) })
	return list
}

// Compare compares another table's entries of the given buckets with this table. give
// holds this table's facts that are absent or different in the other table. want holds
// the keys of the other table's facts that are absent or different in this one.
func (t *Table) Compare(buckets []int, entries []Entry) (give []Fact, want []Key) {
	theirs := make(map[Key]uint64, len(entries))
	for _, e := range entries {
		theirs[e.Key] = e.Hash
	}
	t.eachFact(buckets, func(f Fact, ownHash uint64) {
		theirHash, known := theirs[f.Key()]
		if !known || theirHash != ownHash {
			give = append(give, f)
		}
		if known && theirHash == ownHash {
			delete(theirs, f.Key())
		}
	})
	for key := range theirs {
		want = append(want, key)
	}
	return give, want
}

// Facts returns the facts with the given keys; absent ones are left out.
func (t *Table) Facts(keys []Key) []Fact {
	var list []Fact
	for _, key := range keys {
		if name, ok := key.member(); ok {
			if m, known := t.members[name]; known {
				list = append(list, Fact{Member: &m})
			}
			continue
		}
		if target, ok := key.health(); ok {
			if e, known := t.health[target]; known {
				list = append(list, Fact{Health: &e.Health})
			}
			continue
		}
		target, _ := key.target()
		for _, d := range t.drains[target] {
			if f := (Fact{Drain: &d}); f.Key() == key {
				list = append(list, f)
			}
		}
	}
	return list
}

// eachFact calls f with each fact in the buckets with the given indexes in Table.digest,
// and with the hash of the fact. Indexes that don't exist are ignored.
func (t *Table) eachFact(buckets []int, f func(Fact, uint64)) {
	var wanted [Buckets * int(sectionCount)]bool
	for _, b := range buckets {
		if b >= 0 && b < len(wanted) {
			wanted[b] = true
		}
	}
	for _, m := range t.members {
		if fact := (Fact{Member: &m}); wanted[fact.Key().bucket()] {
			f(fact, fact.hash())
		}
	}
	for _, drains := range t.drains {
		for _, d := range drains {
			if fact := (Fact{Drain: &d}); wanted[fact.Key().bucket()] {
				f(fact, fact.hash())
			}
		}
	}
	if !slices.Contains(wanted[int(Targets)*Buckets:], true) {
		return
	}
	for _, e := range t.health {
		if fact := (Fact{Health: &e.Health}); wanted[fact.Key().bucket()] {
			f(fact, e.hash)
		}
	}
}
