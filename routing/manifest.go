// Package routing holds the routing rules of a manifest: which requests are served, by
// which services, and how long callers may wait. It reads no clock and does no I/O.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/bramleybarrow/bramleybarrow/tenant"
)

// Kind says whether a request may run more than once.
type Kind int

// The kinds. Their numbers are encoded, so their order must not change.
const (
	Idempotent    Kind = iota // may run more than once
	NonIdempotent             // must run at most once
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	if k == NonIdempotent {
		return "non_idempotent"
	}
	return "idempotent"
}

// WeightedService is one service of a split and its weight.
type WeightedService struct {
	Service string
	Weight  float64 // share of the requests, relative to the sum of all weights
}

// Route says which services serve the requests to one host below one path. Exactly one
// of Service, Split and Gather is set.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // time limit of a request; a caller may state a shorter one
	Aim         time.Duration // latency objective: an answer within it is worth most
	MaxAttempts int           // upper bound of the leafs that may run a request, for each service
	Priority    int           // 0 is the most urgent
	Anonymous   bool          // requests need no API key

	Service string            // service that serves all requests
	Split   []WeightedService // services that share the requests by weight

	Gather   []string // services that hold one shard each; all get each request
	Top      int      // maximum number of records in the answer to a gathered request
	MinShare float64  // least share of the shards that a successful answer needs, 0 to 1
}

// Gathered reports whether requests are sent to all shards and their answers merged.
func (r *Route) Gathered() bool { return len(r.Gather) > 0 }

// Services returns every service that the route may send a request to.
func (r *Route) Services() []string {
	switch {
	case r.Gathered():
		return r.Gather
	case len(r.Split) > 0:
		names := make([]string, len(r.Split))
		for i, part := range r.Split {
			names[i] = part.Service
		}
		return names
	default:
		return []string{r.Service}
	}
}

// Service holds the settings of a group of interchangeable leafs.
type Service struct {
	Name           string
	MaxConnections int           // connections that one leaf accepts from all VMs together; 0: no limit
	ColdPerSecond  float64       // requests per second that a cold leaf tolerates from all VMs together; 0: no limit
	ColdFor        time.Duration // how long a leaf is cold after a start or an evacuation
}

// Limits bound the requests and connections of callers. For one that is 0, the daemon's
// own limit applies.
type Limits struct {
	HeaderBytes   int           // largest size of a request line and its headers, in bytes
	BodyBytes     int64         // largest size of a request's body, in bytes
	HeaderTimeout time.Duration // longest time for reading a request's header
	IdleTimeout   time.Duration // how long a caller's connection may wait for the next request
}

// Document is one version of the routing rules, as it is encoded and sent between VMs.
type Document struct {
	Version  int64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	// KeysRequired says that the manifest names tenants, so that a request needs an API key
	// unless its route is anonymous. It may be set without any tenant.
	KeysRequired bool            `json:",omitempty"`
	Tenants      []tenant.Tenant `json:",omitempty"`
}

// Manifest is a Document indexed for matching. It is immutable.
type Manifest struct {
	Document
	byHost  map[string][]*Route // by host in lower case; longest prefix first
	tenants *tenant.Index       // finds Tenants by key
}

// NewManifest indexes a document, which must not change afterwards.
func NewManifest(doc Document) *Manifest {
	m := &Manifest{Document: doc, byHost: make(map[string][]*Route), tenants: tenant.NewIndex(doc.Tenants)}
	for _, r := range doc.Routes {
		host := strings.ToLower(r.Host)
		m.byHost[host] = append(m.byHost[host], r)
	}
	for _, list := range m.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return m
}

// ShardServices returns the services that gathered routes use and no other route uses. The
// value of each is true.
func (m *Manifest) ShardServices() map[string]bool {
	shards := make(map[string]bool)
	for _, r := range m.Routes {
		for _, name := range r.Gather {
			shards[name] = true
		}
	}
	for _, r := range m.Routes {
		if r.Gathered() {
			continue
		}
		for _, name := range r.Services() {
			delete(shards, name)
		}
	}
	return shards
}

// MaxShards returns the largest number of shards of a gathered route, or 0 if there is
// no such route.
func (m *Manifest) MaxShards() int {
	n := 0
	for _, r := range m.Routes {
		n = max(n, len(r.Gather))
	}
	return n
}

// Match returns the route of a request: among the routes for the host, the one with the
// longest prefix that the path begins with. It returns nil if there is none. The host may
// include a port.
func (m *Manifest) Match(host, path string) *Route {
	for _, r := range m.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Tenant returns the tenant that holds an API key, nil if there is none.
func (m *Manifest) Tenant(key string) *tenant.Tenant { return m.tenants.Find(key) }

// hostName returns a host in lower case, without its port.
func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
