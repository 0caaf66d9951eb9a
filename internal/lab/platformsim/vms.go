package platformsim

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/platform"
)

// vmList is the list of VMs as it was, until a change has aged by the lag.
type vmList struct {
	shown []platform.VM
	next  []platform.VM
	due   time.Time // when next is to be shown
}

// SetVMs replaces the list of VMs, to be seen once lag has passed.
func (s *Store) SetVMs(vms []platform.VM, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.settle(time.Now())
	s.vms.next = append([]platform.VM(nil), vms...)
	s.vms.due = time.Now().Add(lag)
}

// VMs implements platform.Store.
func (s *Store) VMs(ctx context.Context) ([]platform.VM, error) {
	if _, err := s.begin(ctx, callVMs, ""); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.settle(time.Now())
	return append([]platform.VM(nil), s.vms.shown...), nil
}

func (l *vmList) settle(now time.Time) {
	if !l.due.IsZero() && !now.Before(l.due) {
		l.shown, l.next, l.due = l.next, nil, time.Time{}
	}
}
