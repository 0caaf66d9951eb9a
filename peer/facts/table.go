package facts

import (
	"encoding/binary"
	"slices"
	"time"
)

// Buckets is the number of buckets of each Part, whose digests are compared.
const Buckets = 64

// Section is a part of a table that is compared on its own.
type Section int

// The sectionCount. What is known of targets depends on the bundle in force, so that
// two VMs can compare it only while they have the same one.
const (
	General Section = iota // VMs and drains
	Targets                // health of targets
	sectionCount
)

const (
	// maxDrainsPerTarget bounds what is kept of one target: its newest drains.
	maxDrainsPerTarget = 4
	// forgetAfter is for how long a lost VM is remembered, so that the table
	// doesn't grow with every VM that was ever replaced. It is far longer than
	// a late message about that VM can be under way.
	forgetAfter = 10 * time.Minute
)

// Table holds facts. It is not safe for concurrent use.
type Table struct {
	drains  map[string][]Drain // by target, the newest first
	members map[string]Member
	health  map[string]healthEntry              // by target
	targets map[string]struct{}                 // of the bundle in force
	lost    int                                 // members that are lost
	digest  [Buckets * int(sectionCount)]uint64 // XOR of the hashes of the facts in each bucket
}

// Entry is the digest of one fact.
type Entry struct {
	Key  Key    `json:"k"`
	Hash uint64 `json:"h"`
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{drains: map[string][]Drain{}, members: map[string]Member{}, health: map[string]healthEntry{}}
}

// Merge adds a fact and tells whether it said anything new. now is in Unix
// seconds.
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

func (t *Table) mergeDrain(d Drain) bool {
	list := t.drains[d.Target]
	at := slices.IndexFunc(list, func(o Drain) bool { return o.Incarnation == d.Incarnation })
	if at >= 0 && !d.outranks(list[at]) {
		return false
	}
	if at < 0 && len(list) == maxDrainsPerTarget && !d.outranks(list[len(list)-1]) {
		return false
	}
	for i := range list {
		t.toggle(Fact{Drain: &list[i]})
	}
	if at >= 0 {
		list = slices.Delete(list, at, at+1)
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

// AddDrain records a drain learned by this VM itself and returns the fact to
// tell, if it is new. Its Since exceeds all earlier ones of the target, so that
// a VM with a fast clock can't keep later drains out.
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

func (t *Table) removeMember(m Member) {
	t.toggle(Fact{Member: &m})
	delete(t.members, m.Name)
	if m.State == Lost {
		t.lost--
	}
}

// LostCount returns the number of VMs that are lost and not yet forgotten.
func (t *Table) LostCount() int { return t.lost }

// Expire forgets VMs that were lost long ago, and tells whether there were any.
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

func forgotten(m Member, now int64) bool {
	return m.State == Lost && now-m.At > int64(forgetAfter.Seconds())
}

func (t *Table) toggle(f Fact) {
	t.digest[f.Key().bucket()] ^= f.hash()
}

// Member returns what is known of a VM.
func (t *Table) Member(name string) (Member, bool) {
	m, ok := t.members[name]
	return m, ok
}

// Members returns all VMs known, in no order.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m)
	}
	return list
}

// Drains returns all drains known, those of one target in the order in which they
// were learned: whoever keeps only the last of a target keeps the newest.
func (t *Table) Drains() []Drain {
	var list []Drain
	for _, drains := range t.drains {
		for _, d := range slices.Backward(drains) {
			list = append(list, d)
		}
	}
	return list
}

// Root is the digest of a whole part.
func (t *Table) Root(part Section) uint64 {
	var root uint64
	for i, d := range t.buckets(part) {
		root ^= d*uint64(2*i+1) + uint64(i)
	}
	return root
}

func (t *Table) buckets(part Section) []uint64 {
	first := int(part) * Buckets
	return t.digest[first : first+Buckets]
}

// Digest returns the digests of a part's buckets, eight bytes each.
func (t *Table) Digest(part Section) []byte {
	buf := make([]byte, 0, 8*Buckets)
	for _, d := range t.buckets(part) {
		buf = binary.LittleEndian.AppendUint64(buf, d)
	}
	return buf
}

// Differing returns a part's buckets whose digests differ from the other's.
func (t *Table) Differing(part Section, digest []byte) []int {
	if len(digest) != 8*Buckets {
		return nil
	}
	var list []int
	for i, d := range t.buckets(part) {
		if binary.LittleEndian.Uint64(digest[8*i:]) != d {
			list = append(list, int(part)*Buckets+i)
		}
	}
	return list
}

// Entries returns the digests of the facts in some buckets.
func (t *Table) Entries(buckets []int) []Entry {
	var list []Entry
	t.eachFact(buckets, func(f Fact, hash uint64) { list = append(list, Entry{f.Key(), hash}) })
	return list
}

// Compare holds the other table's entries of some buckets against this one. It
// returns the facts that the other lacks or has otherwise, and the keys that
// this table lacks or has otherwise.
func (t *Table) Compare(buckets []int, entries []Entry) (give []Fact, want []Key) {
	theirs := make(map[Key]uint64, len(entries))
	for _, e := range entries {
		theirs[e.Key] = e.Hash
	}
	t.eachFact(buckets, func(f Fact, own uint64) {
		hash, known := theirs[f.Key()]
		if !known || hash != own {
			give = append(give, f)
		}
		if known && hash == own {
			delete(theirs, f.Key())
		}
	})
	for key := range theirs {
		want = append(want, key)
	}
	return give, want
}

// Facts returns the facts of some keys; absent ones are left out.
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

// eachFact calls f with the facts of some buckets and their hashes.
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
