// Package facts defines the facts that VMs exchange apart from the bundle in force:
// which incarnations of targets drain, which VMs are alive, and the health of the
// targets that not every VM reads. Its Table does no I/O. It merges facts in any
// order and any number of times to the same state, and short digests show where two
// tables differ.
package facts

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Drain states that one incarnation of a target is leaving. It is permanent: only a
// new incarnation of the target takes work again.
type Drain struct {
	Target      string `json:"t"`
	Incarnation string `json:"i"`
	// Since orders the drains of one target. It is the time by the clock of the VM
	// that first recorded the drain, in Unix seconds, or more: it exceeds the Since
	// of every earlier drain of the target that this VM knew.
	Since int64 `json:"s"`
}

// State is the state of a VM.
type State int

// The states of a VM. At an equal counter, each outranks the ones before it.
const (
	Alive   State = iota
	Leaving       // stated by the VM itself; final for its incarnation
	Suspect       // a VM could not reach it
	Lost          // suspected, and didn't refute it in time
)

// Member is a statement about one VM. Only the VM itself raises the counter. Others
// may suspect it at the counter that they know, and the VM refutes that with a higher
// one.
type Member struct {
	Name        string `json:"n"`
	Incarnation string `json:"i"`
	Started     int64  `json:"b"` // of the process, in Unix nanoseconds; orders incarnations
	Counter     uint64 `json:"c"`
	State       State  `json:"s"`
	At          int64  `json:"a,omitempty"` // Unix seconds of the suspicion
	Address     string `json:"p"`
	Ops         string `json:"o"`
	Zone        string `json:"z"`
	Place       int    `json:"l,omitempty"` // of the fleet's places, counted from 1; 0 means none
}

// Fact is the form in which facts are sent. Exactly one field is set.
type Fact struct {
	Drain  *Drain  `json:"d,omitempty"`
	Member *Member `json:"m,omitempty"`
	Health *Health `json:"h,omitempty"`
}

// Key identifies the subject of a fact. Of two facts with one key a table keeps one.
type Key string

const (
	drainPrefix  = "d/"
	memberPrefix = "m/"
	healthPrefix = "h/"
	keySeparator = "\x00"
)

// Key returns the fact's key, or "" if it is malformed.
func (f Fact) Key() Key {
	switch {
	case f.Drain != nil && f.Member == nil && f.Health == nil && f.Drain.Target != "":
		return Key(drainPrefix + f.Drain.Target + keySeparator + f.Drain.Incarnation)
	case f.Member != nil && f.Drain == nil && f.Health == nil && f.Member.Name != "":
		return Key(memberPrefix + f.Member.Name)
	case f.Health != nil && f.Drain == nil && f.Member == nil && f.Health.Target != "":
		return healthKey(f.Health.Target)
	default:
		return ""
	}
}

func healthKey(target string) Key { return Key(healthPrefix + target) }

// health returns the target of a Health fact's key and reports whether k is one.
func (k Key) health() (string, bool) {
	return strings.CutPrefix(string(k), healthPrefix)
}

// target returns the target of a Drain's key and reports whether k is one.
func (k Key) target() (string, bool) {
	rest, ok := strings.CutPrefix(string(k), drainPrefix)
	target, _, _ := strings.Cut(rest, keySeparator)
	return target, ok
}

// member returns the VM's name of a Member's key and reports whether k is one.
func (k Key) member() (string, bool) {
	return strings.CutPrefix(string(k), memberPrefix)
}

// bucket returns the index of the key's bucket in Table.digest.
func (k Key) bucket() int {
	bucket := int(xxhash.Sum64String(string(k)) % Buckets)
	if _, ok := k.health(); ok {
		return Buckets + bucket
	}
	return bucket
}

// hash covers the whole fact. Tables with the same hashes count as equal.
func (f Fact) hash() uint64 {
	data, _ := json.Marshal(f) // its types always marshal
	return xxhash.Sum64(data)
}

// Outranks reports whether m replaces other, another statement about the same VM.
// It is a total order, so that merging gives the same result in every order.
func (m Member) Outranks(other Member) bool {
	switch {
	case m.Started != other.Started:
		return m.Started > other.Started
	case m.Incarnation != other.Incarnation:
		return m.Incarnation > other.Incarnation
	case m.Counter != other.Counter:
		return m.Counter > other.Counter
	case m.State != other.State:
		return m.State > other.State
	case m.At != other.At:
		return m.At > other.At
	default:
		return m.details() > other.details()
	}
}

// details returns the fields that don't rank otherwise, as the last tie-breaker.
func (m Member) details() string {
	return strings.Join([]string{m.Address, m.Ops, m.Zone, strconv.Itoa(m.Place)}, keySeparator)
}

// outranks reports whether d comes after other, another drain of the same target.
func (d Drain) outranks(other Drain) bool {
	if d.Since != other.Since {
		return d.Since > other.Since
	}
	return d.Incarnation > other.Incarnation
}
