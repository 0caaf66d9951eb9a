package hop

import (
	"context"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// maxStatusAge is how old a status may be that an owner passes on. Many VMs ask the
// few owners of a target; the target is read a few times a second all the same.
const maxStatusAge = 200 * time.Millisecond

// statusCache keeps the last status of each target for a short time and reads a
// target once for all that ask meanwhile.
type statusCache struct {
	mu      sync.Mutex // guards entries
	entries map[string]*statusEntry
}

type statusEntry struct {
	mu     sync.Mutex // held during a read, so that others wait for it
	at     time.Time
	status target.Status
}

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

func (c *statusCache) read(ctx context.Context, leaves Leaves, name string) (target.Status, error) {
	e := c.entry(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.at) < maxStatusAge {
		return e.status, nil
	}
	status, err := leaves.Status(ctx, name)
	if err != nil {
		return target.Status{}, err
	}
	e.at, e.status = time.Now(), status
	return status, nil
}
