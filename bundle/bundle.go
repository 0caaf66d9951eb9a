// Package bundle defines what operators steer the system by: a versioned,
// immutable description of which targets serve which searches, how much
// coverage callers need and how long they may wait.
package bundle

// Format is the version of the bundle's format that this code reads.
const Format = 1

// Bundle is the whole configuration of a deployment. Once written it is known
// by the digest of its bytes and never changes.
type Bundle struct {
	Format     int       `json:"format"`
	Deployment string    `json:"deployment"`
	Name       string    `json:"name"`   // the operators' own label
	Author     string    `json:"author"` // may not sign it off
	Zones      []Zone    `json:"zones"`
	Fleet      Fleet     `json:"fleet"`
	Services   []Service `json:"services"`
	Searches   []Search  `json:"searches"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Fleet bounds the VMs of the deployment.
type Fleet struct {
	// MaxVMs is the largest number of VMs alive at once, those that overlap
	// during a replacement included. Shares of connections are cut by it.
	MaxVMs int `json:"max_vms"`
}

// Service is a set of targets that hold replicas of the same shards.
type Service struct {
	Name    string   `json:"name"`
	Shards  int      `json:"shards"` // of the partition map at the time of writing
	Drain   Drain    `json:"drain"`
	Targets []Target `json:"targets"`
}

// Drain holds the times that govern targets on their way in and out.
type Drain struct {
	HealthIntervalMS int `json:"health_interval_ms"` // between reads of a target's status
	HealthTimeoutMS  int `json:"health_timeout_ms"`  // after which a read has failed
	SuspectAfter     int `json:"suspect_after"`      // failed reads until a target counts as lost
	WarmupMS         int `json:"warmup_ms"`          // a new target gets a rising share for this long
}

// Target is one back end.
type Target struct {
	Name          string  `json:"name"`
	Zone          string  `json:"zone"`
	Address       string  `json:"address"` // IP and port
	Leaves        int     `json:"leaves"`
	Slots         int     `json:"slots"`       // requests that one leaf runs at once
	Connections   int     `json:"connections"` // that the target accepts from the whole fleet
	ConnectCostMS float64 `json:"connect_cost_ms"`
}

// SearchKind tells how a search behaves.
type SearchKind string

// The kinds of searches.
const (
	KindSearch SearchKind = "search" // idempotent, best matches first
	KindBrowse SearchKind = "browse" // idempotent, pages in order of keys
	KindSubmit SearchKind = "submit" // non-idempotent, runs at most once
)

// Search is one thing that callers may ask for.
type Search struct {
	Name      string     `json:"name"`
	Kind      SearchKind `json:"kind"`
	Service   string     `json:"service"`
	Coverage  Coverage   `json:"coverage"`
	TimeLimit TimeLimit  `json:"time_limit"`
	Hedge     Hedge      `json:"hedge"`
	Retry     Retry      `json:"retry"`
	MaxItems  int        `json:"max_items"` // largest limit a caller may ask for
	Policy    Policy     `json:"policy,omitempty"`
}

// Policy names a set of decisions. The empty value means PolicyAdaptive.
type Policy string

// The policies. PolicyPlain is the baseline of comparisons: one attempt for
// each shard to a random replica, without hedge, retry or admission.
const (
	PolicyAdaptive Policy = "adaptive"
	PolicyPlain    Policy = "plain"
)

// Coverage is the share of shards, from 0 to 1, that a caller needs.
type Coverage struct {
	Default float64 `json:"default"`
	Min     float64 `json:"min"` // the least a caller may ask for
	// GraceMS is how long a query goes on waiting for the missing shards once
	// the needed coverage is reached.
	GraceMS int `json:"grace_ms"`
}

// TimeLimit bounds how long callers may wait, in milliseconds.
type TimeLimit struct {
	DefaultMS int `json:"default_ms"`
	MinMS     int `json:"min_ms"`
	MaxMS     int `json:"max_ms"`
}

// Hedge governs second attempts that run beside the first.
type Hedge struct {
	Quantile   float64 `json:"quantile"`     // of observed latencies, after which a hedge is sent
	MinDelayMS int     `json:"min_delay_ms"` // lower bound of that delay
	Budget     float64 `json:"budget"`       // hedges per first attempt, at most
}

// Retry governs attempts that follow a failed one.
type Retry struct {
	MaxAttempts int     `json:"max_attempts"` // per shard, hedges included
	Budget      float64 `json:"budget"`       // retries per first attempt, at most
}

// Search returns the search of that name.
func (b *Bundle) Search(name string) (*Search, bool) {
	for i := range b.Searches {
		if b.Searches[i].Name == name {
			return &b.Searches[i], true
		}
	}
	return nil, false
}

// Service returns the service of that name.
func (b *Bundle) Service(name string) (*Service, bool) {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i], true
		}
	}
	return nil, false
}
