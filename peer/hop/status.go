package hop

import (
	"context"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// maxStatusAge bounds the age of a target's status that an owner returns from its cache.
// Many VMs read a target's status through its few owners. With the cache, each owner
// queries the target only a few times a second.
const maxStatusAge = 200 * time.Millisecond

// statusCache caches the status of each target for maxStatusAge. Concurrent reads of
// one target share one query. It is safe for concurrent use.
type statusCache struct {
	mu      sync.Mutex              // guards entries
	entries map[string]*statusEntry // by name of the target
}

// statusEntry holds the last status that was read of one target.
type statusEntry struct {
	mu     sync.Mutex // held during a query, so that other reads wait for its result
	readAt time.Time  // when status was read
	status target.Status
}

// entry returns the entry of a target and creates it on first use.
func (c *statusCache) entry(name string) *statusEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[string]*statusEntry{}
	}
	e := c.entries[name]
	if e == nil {
		e = &statusEntry{}
		c.entries[name] = e
	}
	return e
}

// read returns the cached status of a target, or queries the target if the status is
// too old. Errors aren't cached.
func (c *statusCache) read(ctx context.Context, leaves Leaves, name string) (target.Status, error) {
	e := c.entry(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.readAt) < maxStatusAge {
		return e.status, nil
	}
	status, err := leaves.Status(ctx, name)
	if err != nil {
		return target.Status{}, err
	}
	e.readAt, e.status = time.Now(), status
	return status, nil
}
