package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/slotbook"
)

// newSlotVM returns a VM that asks keepers of slots, and whose manifest has one service and a leaf of
// one slot at the given address.
func newSlotVM(t *testing.T, g *gomega.WithT, name, leafAddress string, aim time.Duration) *handOverVM {
	v := newHandOverVM(t, g, name, 0)
	v.Offer(routing.NewManifest(routing.Document{Version: 2, Routes: []*routing.Route{{
		Name: "r", Host: "h", Prefix: "/", Service: "s", Kind: routing.NonIdempotent, MaxAttempts: 1, Aim: aim, Timeout: 2 * time.Second,
	}}}))
	v.applyLeafChanges(func(_ time.Time, r *registry.Registry) []registry.Change {
		return r.Put(registry.Leaf{ID: "l", Born: 1, Service: "s", Zone: "z", Slots: 1, Address: leafAddress})
	})
	v.useSlots()
	return v
}

// slotCount returns how often a VM got an answer from a keeper.
func (v *handOverVM) slotCount(end string) uint64 {
	return v.count(`bramley_edge_slot_requests_total{end="` + end + `"}`)
}

// ask serves a request to the service.
func (v *handOverVM) ask(ctx context.Context) *Result {
	req, route := v.request()
	return v.serve(newCallerRequest(ctx), req, route, origin{})
}

// Guards against VMs that each choose by themselves, a full service at which callers wait in vain, and
// a slot that is never told to be free.
func TestKeeperNamesLeafsAndRefusesWhenFull(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Receipt", "r") }))
	t.Cleanup(leaf.Close)
	address := leaf.Listener.Addr().String()
	vms := []*handOverVM{newSlotVM(t, g, "a", address, 20*time.Second), newSlotVM(t, g, "b", address, 20*time.Second)}
	for i, v := range vms {
		v.setVMs([]scatter.VM{vms[1-i].vm})
	}
	for _, v := range vms {
		for _, vm := range v.slots.Load().refresh(time.Now()) {
			v.slots.Load().reach(t.Context(), vm)
		}
	}
	keeper := vms[0]
	if vms[0].slots.Load().keepers["s"] == "b" {
		keeper = vms[1]
	}
	other := slotbook.ID{VM: "c", Number: 1}
	held := keeper.slots.Load().name(time.Now(), "s", slotbook.Request{ID: other, Zone: "z", Work: time.Minute})
	g.Expect(held.Leaf).To(gomega.Equal("l"))
	for _, v := range vms {
		res := v.ask(t.Context())
		g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.NotRun))
		g.Expect(res.Outcome.Sent).To(gomega.BeZero())
		g.Expect(res.Outcome.Refusal.Wait).To(gomega.BeNumerically(">", res.Outcome.Refusal.Limit), "the log says why")
		g.Expect(res.Status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(res.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		g.Expect(v.slotCount("full")).To(gomega.BeEquivalentTo(1))
	}
	keeper.slots.Load().recordEnd(time.Now(), "c", &slotEnd{Service: "s", Number: 1, Unused: true})
	for _, v := range vms {
		for range 3 { // the keeper learns of each end
			g.Eventually(func() scatter.Verdict { return v.ask(t.Context()).Outcome.Verdict }, "10s").Should(gomega.Equal(scatter.Answered))
		}
		g.Expect(v.slotCount("named")).To(gomega.BeNumerically(">=", 1))
	}
	for _, end := range []string{"no_answer", "waited_in_vain"} {
		g.Expect(vms[0].slotCount(end) + vms[1].slotCount(end)).To(gomega.BeZero())
	}
}

// frozenKeeper is a peerClient whose VMs receive what is sent to them and answer nothing.
type frozenKeeper struct {
	noPeerClient
	asked []string // names of the VMs
	ended []uint64 // numbers of the requests
	wait  bool     // it lets the request wait, and then answers nothing
}

func (f *frozenKeeper) reserveSlot(ctx context.Context, vm scatter.VM, _ *slotCall, into *slotAnswer) error {
	f.asked = append(f.asked, vm.Name)
	if f.wait {
		into.Wait = true
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (f *frozenKeeper) awaitSlot(ctx context.Context, _ scatter.VM, _ *slotWait, _ *slotAnswer) error {
	<-ctx.Done()
	return ctx.Err()
}

func (f *frozenKeeper) endSlot(_ scatter.VM, end *slotEnd) { f.ended = append(f.ended, end.Number) }

// Guards against requests that fail, run twice, run for a caller that has left, or wait time and
// again because a keeper is frozen: the VM sends each by itself, once, and asks the next VM.
func TestFrozenKeeperCostsOneShortWait(t *testing.T) {
	for _, wait := range []bool{false, true} {
		g := gomega.NewWithT(t)
		ran := make(chan struct{}, 9)
		leaf := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			ran <- struct{}{}
			w.Header().Set("Receipt", "r")
		}))
		t.Cleanup(leaf.Close)
		v := newSlotVM(t, g, "a", leaf.Listener.Addr().String(), 10*time.Millisecond)
		client := &frozenKeeper{wait: wait}
		v.setPeerClient(client)
		v.setVMs([]scatter.VM{{Name: "b", Zone: "z", Power: 9}, {Name: "c", Zone: "z", Power: 9}})
		v.slots.Load().refresh(time.Now())
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		g.Expect(v.ask(gone).Outcome.Verdict).To(gomega.Equal(scatter.Abandoned))
		g.Expect(ran).To(gomega.BeEmpty(), "the caller has disconnected")
		client.asked, client.ended = nil, nil
		for i := range 3 {
			g.Expect(v.ask(t.Context()).Outcome.Verdict).To(gomega.Equal(scatter.Answered))
			g.Expect(ran).To(gomega.HaveLen(i + 1))
		}
		if wait {
			g.Expect(v.slotCount("waited_in_vain")).To(gomega.BeEquivalentTo(4))
			g.Expect(client.ended).To(gomega.HaveLen(3))
			continue
		}
		g.Expect(client.asked).To(gomega.ConsistOf("b", "c"))
		g.Expect(client.ended).To(gomega.HaveLen(2))
		g.Expect(v.slotCount("no_keeper")).To(gomega.BeEquivalentTo(1))
	}
}
