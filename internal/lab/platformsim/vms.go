package platformsim

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// vmList is the list of VMs as it was, until a change has aged by the lag.
type vmList struct {
	visible   []objstore.VM
	pending   []objstore.VM
	pendingAt time.Time // when next is to be shown
}

// SetVMs replaces the list of VMs, to be seen once lag has passed.
func (s *Store) SetVMs(vms []objstore.VM, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.applyPending(time.Now())
	s.vms.pending = append([]objstore.VM(nil), vms...)
	s.vms.pendingAt = time.Now().Add(lag)
}

// VMs implements objstore.Store.
func (s *Store) VMs(ctx context.Context) ([]objstore.VM, error) {
	if _, err := s.beginCall(ctx, callVMs, ""); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.applyPending(time.Now())
	return append([]objstore.VM(nil), s.vms.visible...), nil
}

func (l *vmList) applyPending(now time.Time) {
	if !l.pendingAt.IsZero() && !now.Before(l.pendingAt) {
		l.visible, l.pending, l.pendingAt = l.pending, nil, time.Time{}
	}
}
