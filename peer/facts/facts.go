// Package facts defines the facts that VMs exchange apart from the bundle in force:
// which incarnations of targets drain, which VMs are alive, and the health of the
// targets that not every VM reads. A Table merges facts: their order and repetitions
// don't affect the result. Short digests show where two tables differ. The package does
// no I/O.
package facts

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Drain states that one incarnation (one run of the process) of a target is leaving. It
// is permanent: only a new incarnation of the target takes work again.
type Drain struct {
	Target      string `json:"t"`
	Incarnation string `json:"i"`
	// Since orders the drains of one target. It is the time by the clock of the VM that
	// first recorded the drain, in Unix seconds. If that VM knew a drain of the target
	// with the same or a higher Since, it is one more than the highest of these.
	Since int64 `json:"s"`
}

// State is the state of a VM in a Member.
type State int

// The states of a VM. Of two statements about one incarnation of a VM with the same
// counter, the one with the later of these states replaces the other; see
// Member.Outranks.
const (
	Alive   State = iota // the VM runs and isn't leaving; stated by the VM itself
	Leaving              // stated by the VM itself; the same incarnation doesn't state Alive again
	Suspect              // another VM could not reach this one
	Lost                 // the VM was suspected and didn't refute the suspicion in time
)

// Member is a statement about one VM. Only the VM itself raises Counter. Another VM that
// can't reach it states a suspicion, with the Counter of the statement that it knows. The
// suspected VM refutes the suspicion with a higher Counter.
type Member struct {
	Name        string `json:"n"`
	Incarnation string `json:"i"` // of the VM's process
	Started     int64  `json:"b"` // start time of the process in Unix nanoseconds; orders incarnations
	Counter     uint64 `json:"c"` // orders the statements about one incarnation, before State does
	State       State  `json:"s"`
	At          int64  `json:"a,omitempty"` // time of the suspicion in Unix seconds, if State is Suspect or Lost
	Address     string `json:"p"`           // of the protocol between VMs, IP and port
	Ops         string `json:"o"`           // of the operators' page, IP and port
	Zone        string `json:"z"`           // availability zone
	Place       int    `json:"l,omitempty"` // the place that the VM holds, counted from 1; 0 means none; it decides to which targets the VM owns connections
}

// Fact is one of the facts that VMs send to each other: a drain, a statement about a VM,
// or a statement about the health of a target. Exactly one field is set.
type Fact struct {
	Drain  *Drain  `json:"d,omitempty"`
	Member *Member `json:"m,omitempty"`
	Health *Health `json:"h,omitempty"`
}

// Key identifies the subject of a fact. For a Drain that is a target together with one of
// its incarnations (runs of its process), for a Member a VM, and for a Health a target. Of
// two facts with the same key, a table keeps one.
type Key string

const (
	drainPrefix  = "d/"   // of the key of a Drain
	memberPrefix = "m/"   // of the key of a Member
	healthPrefix = "h/"   // of the key of a Health
	keySeparator = "\x00" // between a target and its incarnation in a key; also between the fields in Member.details
)

// Key returns the fact's key. It returns "" if the fact is malformed: if not exactly one
// field is set, or the name of the target or VM is empty.
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

// healthKey returns the key of the fact about the health of a target.
func healthKey(target string) Key { return Key(healthPrefix + target) }

// health returns the name of the target if k is the key of a Health, and reports whether
// it is.
func (k Key) health() (string, bool) {
	return strings.CutPrefix(string(k), healthPrefix)
}

// target returns the name of the target if k is the key of a Drain, and reports whether
// it is.
func (k Key) target() (string, bool) {
	rest, ok := strings.CutPrefix(string(k), drainPrefix)
	target, _, _ := strings.Cut(rest, keySeparator)
	return target, ok
}

// member returns the name of the VM if k is the key of a Member, and reports whether it
// is.
func (k Key) member() (string, bool) {
	return strings.CutPrefix(string(k), memberPrefix)
}

// bucket returns the index of the key's bucket in Table.digest. The first Buckets indexes
// are those of the section General, the next those of Targets.
func (k Key) bucket() int {
	bucket := int(xxhash.Sum64String(string(k)) % Buckets)
	if _, ok := k.health(); ok {
		return Buckets + bucket
	}
	return bucket
}

// hash returns a hash over the whole fact. Two facts with the same key and hash count as
// equal.
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

// details returns the fields that Outranks compares last, joined to one string.
func (m Member) details() string {
	return strings.Join([]string{m.Address, m.Ops, m.Zone, strconv.Itoa(m.Place)}, keySeparator)
}

// outranks reports whether d is newer than other, another drain of the same target. Of
// two with the same Since, the one with the greater incarnation counts as newer.
func (d Drain) outranks(other Drain) bool {
	if d.Since != other.Since {
		return d.Since > other.Since
	}
	return d.Incarnation > other.Incarnation
}
