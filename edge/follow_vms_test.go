package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/allotment"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// listStore is a store whose readings of the list of VMs give the results of lists in turn, the last one
// for ever. A nil one is an error.
type listStore struct {
	Store
	lists [][]scatter.VM
}

// VMs implements Store.
func (s *listStore) VMs(context.Context) ([]scatter.VM, Revision, error) {
	list := s.lists[0]
	s.lists = s.lists[min(1, len(s.lists)-1):]
	if list == nil {
		return nil, 0, errors.New("store lost")
	}
	return list, 1, nil
}

// newLimitedFollower returns the follower of the store at the VM "a", which keeps the limits of tenants.
func newLimitedFollower(store Store) *follower {
	e := NewEngine(EngineOptions{Self: "a", Zone: "z", Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
	self := scatter.VM{Name: "a", Zone: "z", Power: 1}
	e.allotments.Store(newAllotments(e, self, allotment.Config{Window: 5 * time.Second, Slack: 4}, 1))
	e.allotments.Load().setSettled(false)
	return &follower{
		e: e, store: store, self: self, log: logging.Discard(), settled: make(chan struct{}),
		announcer: newAnnouncer(store, self, logging.Discard()),
	}
}

// knowsFleet reports whether the limits of tenants rest on a settled list of VMs, and of how many.
func (f *follower) knowsFleet() (settled bool, vms int) {
	a := f.e.allotments.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member.Settled(), a.member.Members(time.Now())
}

// Guards against a VM that takes a list for the fleet which it read before VMs that started with it were in it.
func TestFleetIsKnownOnceTheListHoldsThisVM(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b, c := scatter.VM{Name: "a"}, scatter.VM{Name: "b"}, scatter.VM{Name: "c"}
	f := newLimitedFollower(&listStore{lists: [][]scatter.VM{nil, {b}, nil, {a, b, c}}})
	f.e.setVMs([]scatter.VM{b})
	done := make(chan struct{})
	go func() {
		f.awaitSettled(t.Context())
		close(done)
	}()
	settled, _ := f.knowsFleet()
	g.Expect(settled).To(gomega.BeFalse())
	close(f.announcer.announced)
	g.Eventually(done, "20s").Should(gomega.BeClosed())
	settled, vms := f.knowsFleet()
	g.Expect(settled).To(gomega.BeTrue())
	g.Expect(vms).To(gomega.Equal(3))
}

// Guards against a VM that is restarted and counts as new, so that it keeps no limits for seconds.
func TestFleetIsKnownAtOnceAfterARestart(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newLimitedFollower(&listStore{lists: [][]scatter.VM{{{Name: "a", Key: "0123456789abcdef0123456789abcdef"}, {Name: "b"}}}})
	f.listen = func(scatter.VM) error { return nil }
	f.followResources = func() {}
	f.ready = func() bool { return false }
	f.settings = &Settings{}
	_, err := f.vms().read(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	settled, vms := f.knowsFleet()
	g.Expect(settled).To(gomega.BeTrue())
	g.Expect(vms).To(gomega.Equal(2))
	f.awaitSettled(t.Context())
}

// Guards against an accountant that does not know the fleet, and gives tokens by a share that is too large.
func TestUnsettledVMServesNoAllotmentCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newLimitedFollower(&listStore{})
	call := &allotment.Call{From: "b", Serial: 1}
	_, err := f.e.allotments.Load().serve(call)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(failureOf(err)).To(gomega.Equal(allotment.NoAnswer))
	f.e.settleVMs([]scatter.VM{{Name: "b"}})
	_, err = f.e.allotments.Load().serve(call)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
