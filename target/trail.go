package target

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Trail records the VMs through which the attempts of one request on one shard were made. A
// further attempt can then be made through another VM: the one that an attempt waits for, or
// that has not answered it, may be frozen. It is safe for concurrent use. A nil Trail records
// nothing.
type Trail struct {
	mu  sync.Mutex
	vms []string // in the order of the attempts
}

// Add records an attempt through the named VM.
func (t *Trail) Add(vm string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms = append(t.vms, vm)
}

// Contains reports whether an attempt was made through the named VM.
func (t *Trail) Contains(vm string) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.vms, vm)
}

// String returns the names of the VMs, in the order of the attempts.
func (t *Trail) String() string {
	if t == nil {
		return ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.vms, ", ")
}

// trailKey is the key of a Trail in a context.
type trailKey struct{}

// WithTrail returns a context for an attempt that belongs to the trail.
func WithTrail(ctx context.Context, t *Trail) context.Context {
	return context.WithValue(ctx, trailKey{}, t)
}

// TrailOf returns the trail of an attempt, nil if it has none.
func TrailOf(ctx context.Context) *Trail {
	t, _ := ctx.Value(trailKey{}).(*Trail)
	return t
}
