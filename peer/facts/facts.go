// Package facts is what VMs tell one another apart from the bundle in force:
// which incarnations of targets drain, which VMs live, and how the targets are
// that not every VM reads. It is pure: a table that merges facts in any order,
// any number of times, to the same state, and that can say by short digests where
// two tables differ.
package facts

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Drain says that one incarnation of a target is leaving. It never ends: only
// a new incarnation of the target takes work again.
type Drain struct {
	Target      string `json:"t"`
	Incarnation string `json:"i"`
	// Since orders the drains of one target. It starts from the clock of the VM
	// that learned it, in Unix seconds, and exceeds every earlier one that this
	// VM knows.
	Since int64 `json:"s"`
}

// State is the state of a VM.
type State int

// The states, each outranking the ones before it at an equal counter.
const (
	Alive   State = iota
	Leaving       // said by the VM itself; final for its incarnation
	Suspect       // a VM could not reach it
	Lost          // suspected for long without an answer from the VM
)

// Member is what is known of one VM. The VM alone raises the counter; others
// may suspect it at the counter that they know, and it answers with a higher.
type Member struct {
	Name        string `json:"n"`
	Incarnation string `json:"i"`
	Started     int64  `json:"b"` // Unix nanoseconds; orders incarnations
	Counter     uint64 `json:"c"`
	State       State  `json:"s"`
	At          int64  `json:"a,omitempty"` // Unix seconds of the suspicion
	Address     string `json:"p"`
	Ops         string `json:"o"`
	Zone        string `json:"z"`
	Place       int    `json:"l,omitempty"` // among the fleet's, counted from 1; 0 means none
}

// Fact is one of the three, as sent.
type Fact struct {
	Drain  *Drain  `json:"d,omitempty"`
	Member *Member `json:"m,omitempty"`
	Health *Health `json:"h,omitempty"`
}

// Key names what a fact is about. Two facts of one key are merged into one.
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

func (k Key) health() (string, bool) {
	return strings.CutPrefix(string(k), healthPrefix)
}

func (k Key) target() (string, bool) {
	rest, ok := strings.CutPrefix(string(k), drainPrefix)
	target, _, _ := strings.Cut(rest, keySeparator)
	return target, ok
}

func (k Key) member() (string, bool) {
	return strings.CutPrefix(string(k), memberPrefix)
}

func (k Key) bucket() int {
	bucket := int(xxhash.Sum64String(string(k)) % Buckets)
	if _, ok := k.health(); ok {
		return Buckets + bucket
	}
	return bucket
}

// hash covers the whole fact; tables are equal if the hashes of their facts are.
func (f Fact) hash() uint64 {
	data, _ := json.Marshal(f) // its types always marshal
	return xxhash.Sum64(data)
}

// Outranks tells whether m replaces other, another statement about the same VM.
// It is a total order, so that merging is the same in every order.
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

func (m Member) details() string {
	return strings.Join([]string{m.Address, m.Ops, m.Zone, strconv.Itoa(m.Place)}, keySeparator)
}

func (d Drain) outranks(other Drain) bool {
	if d.Since != other.Since {
		return d.Since > other.Since
	}
	return d.Incarnation > other.Incarnation
}
