// Package routing holds what a manifest puts in force: which requests are served,
// by which services, and how long callers may wait. It is pure: it reads no clock
// and does no I/O.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind int

// The kinds.
const (
	Idempotent    Kind = iota // may run more than once
	NonIdempotent             // runs at most once for each request of a caller
)

// String returns the word used in logs.
func (k Kind) String() string {
	if k == NonIdempotent {
		return "non_idempotent"
	}
	return "idempotent"
}

// WeightedService is one part of a split.
type WeightedService struct {
	Service string
	Weight  float64 // share of the requests, relative to the sum of all parts
}

// Route says who serves the requests of one host below one path. Exactly one of
// Service, Split and Gather is set.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a caller is kept waiting
	Aim         time.Duration // time within which an answer is worth most
	MaxAttempts int           // leafs that may run one request, for each service
	Priority    int           // 0 is the most urgent

	Service string
	Split   []WeightedService

	Gather   []string // the services that hold one shard each
	Top      int      // records of an answer to a gathered request, at most
	MinShare float64  // of the shards, without which an answer is a failure
}

// Gathered reports whether requests fan out over shards.
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

// Service is what a manifest says of a group of leafs.
type Service struct {
	Name           string
	MaxConnections int // that one leaf accepts from all VMs together
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // of a caller's connection without a request
}

// Document is one version of everything that is in force, as it is written down and
// told between VMs.
type Document struct {
	Version  int64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
}

// Manifest is a Document made ready for matching. It is immutable.
type Manifest struct {
	Document
	byHost map[string][]*Route // longest prefix first
}

// NewManifest makes a document ready. The document must not change afterwards.
func NewManifest(doc Document) *Manifest {
	m := &Manifest{Document: doc, byHost: make(map[string][]*Route)}
	for _, r := range doc.Routes {
		host := strings.ToLower(r.Host)
		m.byHost[host] = append(m.byHost[host], r)
	}
	for _, list := range m.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return m
}

// ShardServices returns the services that only gathered routes name.
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

// MaxShards returns the number of shards of the gathered route that has most, 0 without one.
func (m *Manifest) MaxShards() int {
	n := 0
	for _, r := range m.Routes {
		n = max(n, len(r.Gather))
	}
	return n
}

// Match returns the route of a request, or nil: of the host's routes, the one with
// the longest prefix that begins the path. The host may bear a port.
func (m *Manifest) Match(host, path string) *Route {
	for _, r := range m.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
