// Package bundle defines the operators' configuration of a deployment: a
// versioned, immutable description of which targets serve which searches, how much
// coverage callers need and how long they may wait. It also signs and verifies
// bundles and sign-offs.
package bundle

// Format is the version of the bundle format; this code reads no other.
const Format = 1

// Bundle is the whole configuration of a deployment. A bundle is immutable once its
// author has written it, and is identified by the digest of its bytes, see Digest.
type Bundle struct {
	Format     int       `json:"format"`     // version of the bundle format; must be Format
	Deployment string    `json:"deployment"` // name of the deployment that the bundle is for
	Name       string    `json:"name"`       // label of this version, chosen by the operators
	Author     string    `json:"author"`     // person who wrote the bundle and so may not sign it off
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

// Fleet bounds the number of VMs of the deployment.
type Fleet struct {
	// MaxVMs is the largest number of VMs that run at once, including those that
	// overlap during a replacement. Each VM's share of a target's connections
	// depends on it.
	MaxVMs int `json:"max_vms"`
}

// Service is a set of targets that hold replicas of the same shards.
type Service struct {
	Name    string   `json:"name"`
	Shards  int      `json:"shards"` // number of shards in the partition map when the bundle was written
	Drain   Drain    `json:"drain"`  // how VMs detect that the targets start, fail or leave
	Targets []Target `json:"targets"`
}

// Drain holds the times and limits by which VMs detect that the targets of a service
// start, fail or leave, and shift load to and from them.
type Drain struct {
	HealthIntervalMS int `json:"health_interval_ms"` // milliseconds between two reads of a target's status
	HealthTimeoutMS  int `json:"health_timeout_ms"`  // milliseconds; a read of a target's status that takes longer has failed
	SuspectAfter     int `json:"suspect_after"`      // number of reads that fail in a row until a target counts as lost
	WarmupMS         int `json:"warmup_ms"`          // milliseconds over which a new target's share of the load increases
}

// Target is one back end of a service. Its leaves (workers) hold the shards.
type Target struct {
	Name          string  `json:"name"`
	Zone          string  `json:"zone"`            // name of a zone of the bundle
	Address       string  `json:"address"`         // IP and port
	Leaves        int     `json:"leaves"`          // number of leaves, the target's workers
	Slots         int     `json:"slots"`           // requests that one leaf runs at once
	Connections   int     `json:"connections"`     // connections that the target accepts from all VMs together
	ConnectCostMS float64 `json:"connect_cost_ms"` // milliseconds that the target needs to accept one connection
}

// SearchKind is the kind of a search: whether it is idempotent and how its results
// are ordered.
type SearchKind string

// The kinds of searches.
const (
	KindSearch SearchKind = "search" // idempotent, best matches first
	KindBrowse SearchKind = "browse" // idempotent, pages in key order
	KindSubmit SearchKind = "submit" // non-idempotent, runs at most once
)

// Search is a named operation that callers may request.
type Search struct {
	Name      string     `json:"name"`
	Kind      SearchKind `json:"kind"`
	Service   string     `json:"service"`          // name of the service that runs the search
	Coverage  Coverage   `json:"coverage"`         // share of the service's shards that an answer needs
	TimeLimit TimeLimit  `json:"time_limit"`       // how long callers may wait
	Hedge     Hedge      `json:"hedge"`            // second attempts that run concurrently with the first
	Retry     Retry      `json:"retry"`            // attempts after a failed one
	MaxItems  int        `json:"max_items"`        // largest number of result items that a caller may request
	Policy    Policy     `json:"policy,omitempty"` // how attempts are sent; empty means PolicyAdaptive
}

// Policy selects how the attempts of a search are sent to targets. The empty value
// means PolicyAdaptive.
type Policy string

// The policies.
const (
	// PolicyAdaptive sends attempts with hedge, retry and admission control.
	PolicyAdaptive Policy = "adaptive"
	// PolicyPlain sends one attempt per shard to a random replica, without hedge, retry
	// or admission control. It is a baseline for comparisons only.
	PolicyPlain Policy = "plain"
)

// Coverage is the share of a service's shards, from 0 to 1, of which a caller needs
// the results.
type Coverage struct {
	Default float64 `json:"default"` // applies if a caller requests no coverage
	Min     float64 `json:"min"`     // the lowest coverage that a caller may request
	// GraceMS is how long a query continues to wait for missing shards once the
	// needed coverage is reached, in milliseconds.
	GraceMS int `json:"grace_ms"`
}

// TimeLimit bounds how long callers may wait for the answer to a request, in
// milliseconds.
type TimeLimit struct {
	DefaultMS int `json:"default_ms"` // applies if a caller requests no time limit
	MinMS     int `json:"min_ms"`     // shortest time limit that a caller may request
	MaxMS     int `json:"max_ms"`     // longest time limit that a caller may request
}

// Hedge configures second attempts that run concurrently with the first.
type Hedge struct {
	Quantile   float64 `json:"quantile"`     // from 0 to 1; a hedge is sent after this quantile of the observed latencies
	MinDelayMS int     `json:"min_delay_ms"` // shortest delay after which a hedge is sent, in milliseconds
	Budget     float64 `json:"budget"`       // maximum ratio of hedges to first attempts, from 0 to 1
}

// Retry configures attempts that follow a failed one.
type Retry struct {
	MaxAttempts int     `json:"max_attempts"` // maximum number of attempts per shard, hedges included
	Budget      float64 `json:"budget"`       // maximum ratio of retries to first attempts, from 0 to 1
}

// Search returns the search with that name.
func (b *Bundle) Search(name string) (*Search, bool) {
	for i := range b.Searches {
		if b.Searches[i].Name == name {
			return &b.Searches[i], true
		}
	}
	return nil, false
}

// Service returns the service with that name.
func (b *Bundle) Service(name string) (*Service, bool) {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i], true
		}
	}
	return nil, false
}
