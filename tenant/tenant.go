// Package tenant says on whose behalf a request runs. A manifest may name tenants, each with API
// keys, a priority and a limit on its requests. The package reads no clock and does no I/O.
package tenant

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/juju/errors"
)

// Digest stands for an API key. Keys themselves are not kept: a digest is useless to whoever reads
// a message between VMs, a log or a memory dump.
type Digest [sha256.Size]byte

// maxStackKey is the length of a key, in bytes, up to which DigestOf does not allocate.
const maxStackKey = 256

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	var buf [maxStackKey]byte
	return sha256.Sum256(append(buf[:0], key...))
}

// MarshalText implements encoding.TextMarshaler with base64.
func (d Digest) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return errors.Trace(err)
	}
	if len(raw) != len(d) {
		return errors.Errorf("digest of a key has %d bytes instead of %d", len(raw), len(d))
	}
	copy(d[:], raw)
	return nil
}

// Limit bounds the requests of one tenant at all VMs together: a token bucket. The zero Limit
// bounds nothing.
type Limit struct {
	RatePerS float64 // requests per second
	Burst    float64 // requests beyond the rate that may come at once
}

// Limited reports whether the limit bounds anything.
func (l Limit) Limited() bool { return l.RatePerS > 0 }

// Tenant is a group of callers that share API keys, a priority and a limit. It is immutable.
type Tenant struct {
	Name        string
	Keys        []Digest
	Priority    int  // rank of its requests, 0 is the most urgent; valid if HasPriority is set
	HasPriority bool // the tenant's priority takes precedence over that of the route
	Limit       Limit
}

// Rank returns the rank of a request of the tenant on a route with the given priority: 0 is the most
// urgent. t may be nil, for a request on whose behalf no tenant is known.
func (t *Tenant) Rank(routePriority int) int {
	if t != nil && t.HasPriority {
		return t.Priority
	}
	return routePriority
}

// Index finds tenants by key. It is immutable.
type Index struct {
	byKey map[Digest]*Tenant
}

// NewIndex returns an index of the tenants, which must not change afterwards. Of two tenants with
// the same key, the first one gets it.
func NewIndex(tenants []Tenant) *Index {
	index := &Index{byKey: make(map[Digest]*Tenant, len(tenants))}
	for i := range tenants {
		t := &tenants[i]
		for _, key := range t.Keys {
			if index.byKey[key] == nil {
				index.byKey[key] = t
			}
		}
	}
	return index
}

// Find returns the tenant that holds an API key, nil if there is none. It does not allocate.
func (x *Index) Find(key string) *Tenant { return x.byKey[DigestOf(key)] }
