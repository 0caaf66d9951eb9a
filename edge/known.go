package edge

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// knownTimes tells how old this VM's knowledge of each followed resource is. It is safe for concurrent
// use.
type knownTimes struct {
	bounds map[string]time.Duration // by resource: within which time a change must be known; absent without a bound

	mu   sync.Mutex           // guards the fields below
	at   map[string]time.Time // by resource: the time of which this VM knows it
	late map[string]int       // by resource: how often the knowledge was older than its bound when it was renewed
}

// newKnownTimes returns the times of a VM that knows nothing yet.
func newKnownTimes(b BoundSettings) *knownTimes {
	bounds := make(map[string]time.Duration)
	for _, f := range b.followBounds() {
		if f.bound > 0 {
			bounds[f.resource] = f.bound
		}
	}
	return &knownTimes{bounds: bounds, at: make(map[string]time.Time), late: make(map[string]int)}
}

// record records that this VM now knows a resource as it was at a time.
func (k *knownTimes) record(now time.Time, resource string, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, known := k.at[resource]
	if bound, bounded := k.bounds[resource]; known && bounded && now.Sub(before) > bound {
		k.late[resource]++
	}
	if at.After(before) {
		k.at[resource] = at
	}
}

// time returns the time of which this VM knows a resource, zero if it doesn't know it yet.
func (k *knownTimes) time(resource string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.at[resource]
}

// writeMetrics writes the age of each resource and how often it exceeded its bound.
func (k *knownTimes) writeMetrics(w io.Writer, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, resource := range slices.Sorted(maps.Keys(k.at)) {
		fmt.Fprintf(w, "bramley_edge_known_age_seconds{resource=%q} %.3f\n", resource, now.Sub(k.at[resource]).Seconds())
		fmt.Fprintf(w, "bramley_edge_known_too_old_total{resource=%q} %d\n", resource, k.late[resource])
	}
}
