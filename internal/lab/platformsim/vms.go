package platformsim

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// vmList is a list of VMs whose changes become visible after a lag.
type vmList struct {
	visible   []objstore.VM
	pending   []objstore.VM // replaces visible at pendingAt
	pendingAt time.Time     // zero if there is no pending change
}

// SetVMs replaces the list of VMs. VMs returns the new list after lag. An earlier change that is
// still pending is discarded.
func (s *Store) SetVMs(vms []objstore.VM, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.applyPending(time.Now())
	s.vms.pending = append([]objstore.VM(nil), vms...)
	s.vms.pendingAt = time.Now().Add(lag)
}

// VMs implements objstore.Store. It returns the visible list; a list that was passed to SetVMs
// becomes visible when the lag of that call has passed.
func (s *Store) VMs(ctx context.Context) ([]objstore.VM, error) {
	if _, err := s.beginCall(ctx, callVMs, ""); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.applyPending(time.Now())
	return append([]objstore.VM(nil), s.vms.visible...), nil
}

// applyPending makes the pending change visible if pendingAt has passed. The caller must hold
// Store.mu.
func (l *vmList) applyPending(now time.Time) {
	if !l.pendingAt.IsZero() && !now.Before(l.pendingAt) {
		l.visible, l.pending, l.pendingAt = l.pending, nil, time.Time{}
	}
}
