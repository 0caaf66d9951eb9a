package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/room"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// handOverVM is a VM of zone z with an open connection to the others of a handOverSite.
type handOverVM struct {
	*Engine
	peers *peerTransport
	vm    scatter.VM
}

// newHandOverVM returns a VM that hands requests over, with the given lateness of its timers. Its
// manifest has one route to a service without leafs.
func newHandOverVM(t *testing.T, g *gomega.WithT, name string, late time.Duration) *handOverVM {
	e := NewEngine(EngineOptions{HeaderCodec: receiptCodec{}, Self: name, Zone: "z", Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
	key := string(make([]byte, 32))
	p, err := joinPeers(e, wire.Identity{Deployment: "d", VM: name, Incarnation: name}, "127.0.0.1:0", []byte(key), logging.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(p.close)
	e.setPeerClient(p)
	e.Offer(routing.NewManifest(routing.Document{Version: 1, Routes: []*routing.Route{{
		Name: "r", Host: "h", Prefix: "/", Service: "s", Kind: routing.NonIdempotent, MaxAttempts: 1, Aim: time.Second, Timeout: 2 * time.Second,
	}}}))
	e.useRoom(1, RoomSettings{Measure: true, HandOver: true}, func() bool { return true })
	e.room.Load().add(room.Sample{At: time.Now().Add(-time.Minute)})
	e.room.Load().add(room.Sample{At: time.Now(), Late: late})
	return &handOverVM{Engine: e, peers: p, vm: scatter.VM{Name: name, Zone: "z", Power: 1, Address: p.server.Addr().String(), Key: key}}
}

// request returns a request and its route.
func (v *handOverVM) request() (*Request, *routing.Route) {
	now := time.Now()
	return &Request{
		ID: "q", AnswerBy: now.Add(10 * time.Second), DueAt: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second),
		HTTP: &leafhttp.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}},
	}, v.inForce.Get().Match("h", "/x")
}

// count returns the value of a counter.
func (v *handOverVM) count(name string) uint64 { return v.stats.set.GetOrCreateCounter(name).Get() }

const (
	takenOver = `bramley_edge_requests_taken_over_total{verdict="not_run"}`
	answered  = `bramley_edge_request_handovers_total{end="answered"}`
	refused   = `bramley_edge_request_handovers_total{end="not_accepted"}`
)

// Guards against a VM without room that serves all requests itself, against a request that goes
// round among VMs without room, and against one that is handed over where the settings don't say so.
func TestVMWithoutRoomHandsRequestOver(t *testing.T) {
	g := gomega.NewWithT(t)
	slow, free := newHandOverVM(t, g, "a", time.Second), newHandOverVM(t, g, "b", 0)
	slow.joinZone(g, free, false)
	free.joinZone(g, slow, true)
	req, route := slow.request()
	res := slow.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
	g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.NotRun), "the service has no leafs")
	g.Expect(slow.count(answered)).To(gomega.BeEquivalentTo(1))
	g.Expect(free.count(takenOver)).To(gomega.BeEquivalentTo(1))

	// With no room at either, neither hands over to the other.
	free.room.Load().add(room.Sample{At: time.Now().Add(time.Minute), Late: time.Second})
	for _, v := range []*handOverVM{slow, free} {
		req, route := v.request()
		v.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
	}
	g.Expect(slow.count(takenOver) + free.count(takenOver)).To(gomega.BeEquivalentTo(1))
	g.Expect(slow.count(refused)).To(gomega.BeEquivalentTo(1))
	offers := slow.count(refused) + free.count(refused)

	// Nor does a VM that has lost its room since it accepted an offer hand the request on.
	offer, accepted := free.taken.accept(time.Now(), "a")
	g.Expect(accepted).To(gomega.BeTrue())
	req, _ = free.request()
	_, err := free.runTaken(t.Context(), "a", newRunCall(req, origin{}, 1, offer))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(free.count(takenOver)).To(gomega.BeEquivalentTo(2))
	g.Expect(slow.count(refused) + free.count(refused)).To(gomega.BeEquivalentTo(offers))

	slow.useRoom(1, RoomSettings{Measure: true}, nil)
	slow.room.Load().add(room.Sample{At: time.Now().Add(-time.Minute)})
	slow.room.Load().add(room.Sample{At: time.Now(), Late: time.Second})
	slow.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
	g.Expect(slow.count(refused)).To(gomega.BeEquivalentTo(1))
}

// Guards against a request whose outcome is unknown because it is too long for a message to another VM.
func TestLongRequestIsNotHandedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	slow, free := newHandOverVM(t, g, "a", time.Second), newHandOverVM(t, g, "b", 0)
	slow.joinZone(g, free, false)
	req, route := slow.request()
	req.HTTP.Body = make([]byte, 2<<20)
	res := slow.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
	g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.NotRun), "the service has no leafs")
	g.Expect(free.taken.offers).To(gomega.BeEmpty())
}

// Guards against a request that runs although its caller has disconnected while another VM considered it.
func TestRequestOfCallerThatLeftDoesNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	slow, free := newHandOverVM(t, g, "a", time.Second), newHandOverVM(t, g, "b", 0)
	slow.joinZone(g, free, false)
	slow.applyLeafChanges(func(_ time.Time, r *registry.Registry) []registry.Change {
		return r.Put(registry.Leaf{ID: "l", Born: 1, Service: "s", Zone: "z", Slots: 2, Address: "127.0.0.1:1"})
	})
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	req, route := slow.request()
	res := slow.serveOrHandOver(newCallerRequest(gone), req, route, origin{}, 1)
	g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.Abandoned))
	g.Expect(res.Outcome.Sent).To(gomega.BeZero())
}

// joinZone makes other a VM that v knows and may offer requests to. Owners of the zone's partitions
// are not called by each other, so v is made one that owns none unless owner is set.
func (v *handOverVM) joinZone(g *gomega.WithT, other *handOverVM, owner bool) {
	strong := []scatter.VM{other.vm}
	if !owner {
		// With eight VMs, the weakest ones own no partition.
		for i := range 7 {
			strong = append(strong, scatter.VM{Name: string(rune('p' + i)), Zone: "z", Power: 0.9, Address: "127.0.0.1:1", Key: other.vm.Key})
		}
		v.table = scatter.NewTable(scatter.VM{Name: v.vm.Name, Zone: "z", Power: 0.1}, scatter.BudgetConfig{Window: time.Second}, time.Now(), rand.New(rand.NewPCG(1, 2)))
		v.table.UseRoom()
	}
	v.setVMs(strong)
	g.Eventually(func() error {
		_, err := v.peers.connect(context.Background(), other.vm)
		return err
	}, "10s").Should(gomega.Succeed())
}

// newCallerRequest returns a caller's request with the given context.
func newCallerRequest(ctx context.Context) *http.Request { return new(http.Request).WithContext(ctx) }

// Guards against a request that runs at two VMs: after the other VM has accepted and then dies, is
// frozen or is cut off, this VM doesn't run the request, and never says that it has not run.
func TestLostTakerLeavesTheOutcomeUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newHandOverVM(t, g, "a", time.Second)
	req, _ := v.request()
	broken := result.Errorf(result.ExchangeFailed, "connection closed")
	res := v.handedOver(t.Context(), req, scatter.VM{Name: "b"}, nil, broken)
	g.Expect(res.Status).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.Unknown))
	late := *req
	late.Deadline = time.Now().Add(-time.Second)
	res = v.handedOver(t.Context(), &late, scatter.VM{Name: "b"}, nil, result.Errorf(result.PeerSilent, "frozen"))
	g.Expect(res.Status).To(gomega.Equal(http.StatusGatewayTimeout))
	for _, code := range []result.Code{result.NotStarted, result.PeerBusy} {
		g.Expect(v.handedOver(t.Context(), req, scatter.VM{Name: "b"}, nil, result.Errorf(code, "refused"))).To(gomega.BeNil(), "this VM runs it")
	}
}

// Guards against a VM that fails on an answer it doesn't understand, as one of a later release may send.
func TestUnknownAnswerOfTakerLeavesTheOutcomeUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newHandOverVM(t, g, "a", time.Second)
	req, route := v.request()
	for _, ans := range []*runAnswer{{Status: 200, Verdict: 99}, {Status: 200, Verdict: -1}, {Verdict: 0}, {Status: 1000}} {
		res := v.handedOver(t.Context(), req, scatter.VM{Name: "b"}, ans, nil)
		g.Expect(res.Status).To(gomega.Equal(http.StatusBadGateway))
		g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.Unknown))
		v.logRequest(req, route, 1, origin{}, res, connOpen, time.Second)
		writeResult(httptest.NewRecorder(), res)
	}
}

// Guards against a VM that takes over what it can't serve: it has no room, is about to stop, has
// another manifest in force, or has taken too many.
func TestOffersAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	v := newHandOverVM(t, g, "b", 0)
	g.Expect(v.considerOffer(now, "a", &offerCall{Manifest: 2}).Accepted).To(gomega.BeFalse())
	for range maxTakenRequests {
		g.Expect(v.considerOffer(now, "a", &offerCall{Manifest: 1}).Accepted).To(gomega.BeTrue())
	}
	g.Expect(v.considerOffer(now, "a", &offerCall{Manifest: 1}).Accepted).To(gomega.BeFalse())
	g.Expect(v.considerOffer(now.Add(2*offerValidity), "a", &offerCall{Manifest: 1}).Accepted).To(gomega.BeTrue(), "unused offers end")
	v.room.Load().ready = func() bool { return false }
	g.Expect(v.considerOffer(now.Add(2*offerValidity), "a", &offerCall{Manifest: 1}).Accepted).To(gomega.BeFalse())
	g.Expect(newHandOverVM(t, g, "c", 100*time.Millisecond).considerOffer(now, "a", &offerCall{Manifest: 1}).Accepted).To(gomega.BeFalse())
}

// Guards against a request that runs twice or late: the message is repeated, comes from another VM,
// or is read after the VM was frozen.
func TestAcceptedOfferRunsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var taken takenRequests
	now := time.Now()
	ended := 0
	end := func() { ended++ }
	offer, accepted := taken.accept(now, "a")
	g.Expect(accepted).To(gomega.BeTrue())
	g.Expect(taken.begin(now, "other", offer, end)).To(gomega.BeFalse())
	g.Expect(taken.begin(now, "a", offer, end)).To(gomega.BeTrue())
	g.Expect(taken.begin(now, "a", offer, end)).To(gomega.BeFalse())
	taken.drop("other", offer)
	g.Expect(ended).To(gomega.BeZero())
	taken.drop("a", offer)
	g.Expect(ended).To(gomega.Equal(1))
	taken.end(offer)
	g.Expect(taken.begin(now, "a", offer, end)).To(gomega.BeFalse())
	offer, _ = taken.accept(now, "a")
	g.Expect(taken.begin(now.Add(2*offerValidity), "a", offer, end)).To(gomega.BeFalse())
}

// receiptCodec is a HeaderCodec for requests to one leaf: an answer proves itself by a header.
type receiptCodec struct{ HeaderCodec }

// AttemptHeaders implements HeaderCodec.
func (receiptCodec) AttemptHeaders(scatter.LeafID, time.Duration, string) http.Header { return nil }

// ParseLeafHeaders implements HeaderCodec.
func (receiptCodec) ParseLeafHeaders(_ int, h http.Header) LeafMetadata {
	return LeafMetadata{Receipt: h.Get("Receipt")}
}

// Guards against a request that runs twice, or is answered wrongly, when the VM that has taken it
// over dies while the leaf is at work, and against one whose answer is changed on the way.
func TestRequestOfLostTakerRunsOnce(t *testing.T) {
	for _, dies := range []bool{false, true} {
		g := gomega.NewWithT(t)
		began, finish := make(chan struct{}, 2), make(chan struct{})
		leaf := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			began <- struct{}{}
			<-finish
			w.Header().Set("Receipt", "r")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte("body"))
		}))
		t.Cleanup(leaf.Close)
		release := sync.OnceFunc(func() { close(finish) })
		t.Cleanup(release) // before the leaf is closed
		slow, free := newHandOverVM(t, g, "a", time.Second), newHandOverVM(t, g, "b", 0)
		slow.joinZone(g, free, false)
		for _, v := range []*handOverVM{slow, free} {
			v.applyLeafChanges(func(_ time.Time, r *registry.Registry) []registry.Change {
				return r.Put(registry.Leaf{ID: "l", Born: 1, Service: "s", Zone: "z", Slots: 2, Address: leaf.Listener.Addr().String()})
			})
		}
		results := make(chan *Result, 1)
		go func() {
			req, route := slow.request()
			results <- slow.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
		}()
		g.Eventually(began, "10s").Should(gomega.Receive())
		if dies {
			go free.peers.close()
		} else {
			release()
		}
		var res *Result
		g.Eventually(results, "10s").Should(gomega.Receive(&res))
		if dies {
			g.Expect(res.Status).To(gomega.Equal(http.StatusBadGateway))
			g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.Unknown))
			release()
		} else {
			g.Expect(res.Status).To(gomega.Equal(http.StatusCreated))
			g.Expect(string(res.Body)).To(gomega.Equal("body"))
			g.Expect(res.Header.Get("Receipt")).To(gomega.Equal("r"))
		}
		g.Consistently(began, "200ms").ShouldNot(gomega.Receive(), "run by one VM, once")
	}
}
