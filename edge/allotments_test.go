package edge

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/allotment"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/tenant"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// limitedSite returns VMs with the given names that call each other over loopback, and their
// transports. Their list also holds VMs that don't run. Their manifest limits a tenant to 2 requests a
// second.
func limitedSite(t *testing.T, lost []scatter.VM, names ...string) (engines []*Engine, transports []*peerTransport) {
	g := gomega.NewWithT(t)
	var vms []scatter.VM
	for _, name := range names {
		e := NewEngine(EngineOptions{Self: name, Zone: "z", Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
		key := make([]byte, 32)
		p, err := joinPeers(e, wire.Identity{Deployment: "d", VM: name, Incarnation: name}, "127.0.0.1:0", key, logging.Discard())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(p.close)
		e.setPeerClient(p)
		e.inForce.Offer(routing.NewManifest(routing.Document{Version: 1, Tenants: []tenant.Tenant{limitedTenant}}))
		engines, transports = append(engines, e), append(transports, p)
		vms = append(vms, scatter.VM{Name: name, Zone: "z", Power: 1, Address: p.server.Addr().String(), Key: string(key)})
	}
	for i, e := range engines {
		n := &Node{engine: e, self: vms[i], settings: &Settings{Allotment: AllotmentSettings{WindowS: 5, Excess: 0.1, Slack: 4}}}
		n.startAllotments(t.Context())
		e.setVMs(slices.Concat(vms[:i], vms[i+1:], lost))
	}
	return engines, transports
}

var (
	limitedTenant = tenant.Tenant{Name: "tenant", Limit: tenant.Limit{RatePerS: 2, Burst: 2}}
	limitedRoute  = &routing.Route{Aim: 400 * time.Millisecond}
)

// Guards against a VM that follows no accountant for up to a second after its start, since it looked
// for limits before its first manifest was in force, and turns callers away until then.
func TestLimitsAreKeptFromTheFirstManifestOn(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEngine(EngineOptions{Self: "a", Zone: "z", Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
	a := newAllotments(e, scatter.VM{Name: "a", Zone: "z", Power: 1}, allotment.Config{Window: 5 * time.Second, Slack: 4}, 1)
	e.allotments.Store(a)
	e.setVMs(nil)
	g.Expect(a.wake).To(gomega.Receive())
	a.round(t.Context(), time.Now())
	e.Offer(routing.NewManifest(routing.Document{Version: 1, Tenants: []tenant.Tenant{limitedTenant}}))
	g.Expect(a.wake).To(gomega.Receive())
	a.round(t.Context(), time.Now())
	g.Expect(a.followed[0]).To(gomega.Equal("a"))
}

// Guards against VMs that each keep a limit of their own, and a 429 that names no time.
func TestVMsKeepALimitTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	engines, _ := limitedSite(t, nil, "a", "b", "c")
	who := origin{tenant: &limitedTenant}
	var over *rejection
	admitted := 0
	g.Eventually(func() bool {
		for _, e := range engines {
			switch rejected := e.takeToken(t.Context(), time.Now(), who, limitedRoute, allotment.NoObjective); {
			case rejected == nil:
				admitted++
			case rejected.status == http.StatusTooManyRequests:
				over = rejected
			}
		}
		return over != nil
	}, "20s", "1ms").Should(gomega.BeTrue())
	g.Expect(over.retryAfter).To(gomega.BeNumerically(">", 0))
	config := (AllotmentSettings{WindowS: 5, Excess: 0.1, Slack: 4}).config()
	g.Expect(admitted).To(gomega.BeNumerically("<=", 4*config.Bound(limitedTenant.Limit)), "20 s at most are 4 windows")
}

// follows returns a VM that follows another one for the tenant, and that one's name.
func follows(t *testing.T, engines []*Engine) (follower *Engine, accountant string) {
	gomega.NewWithT(t).Eventually(func() *Engine {
		for _, e := range engines {
			a := e.allotments.Load()
			a.mu.Lock()
			name := a.member.Accountant(allotment.GroupOf(limitedTenant.Name))
			a.mu.Unlock()
			if name != "" && name != a.self.Name {
				follower, accountant = e, name
			}
		}
		return follower
	}, "10s").ShouldNot(gomega.BeNil())
	return follower, accountant
}

// Guards against VMs that go on admitting without asking when a tenant has come near its limit.
func TestFollowersHearWhoIsNearItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	engines, transports := limitedSite(t, nil, "a", "b", "c")
	follower, _ := follows(t, engines)
	large := origin{tenant: &tenant.Tenant{Name: limitedTenant.Name, Limit: tenant.Limit{RatePerS: 1e6, Burst: 1e6}}}
	asks := func() bool {
		before := follower.allotments.Load().asked.Get()
		_ = follower.takeToken(t.Context(), time.Now(), large, limitedRoute, allotment.NoObjective) // may be refused
		return follower.allotments.Load().asked.Get() > before
	}
	follower.inForce.Offer(routing.NewManifest(routing.Document{Version: 2, Tenants: []tenant.Tenant{*large.tenant}}))
	g.Eventually(asks, "10s", "10ms").Should(gomega.BeFalse(), "far from the limit")
	g.Eventually(func() bool {
		_, accountant := follows(t, []*Engine{follower}) // it may change while the machine is busy
		for i, e := range engines {
			if e.allotments.Load().self.Name == accountant {
				transports[i].notifyNear(&allotmentNotice{Group: allotment.GroupOf(limitedTenant.Name), Answer: allotment.Answer{AllNear: true}})
			}
		}
		return asks()
	}, "10s", "10ms").Should(gomega.BeTrue())
}

// stuckPeerClient is a peerClient whose accountants don't answer before the test ends.
type stuckPeerClient struct {
	noPeerClient
	ended <-chan struct{}
}

// allot waits for the end of the test.
func (c stuckPeerClient) allot(context.Context, scatter.VM, *allotment.Call, *allotment.Answer) error {
	<-c.ended
	return errNotConnected
}

// Guards against a request that waits for an accountant that does not answer.
func TestRequestDoesNotWaitForASilentAccountant(t *testing.T) {
	g := gomega.NewWithT(t)
	engines, _ := limitedSite(t, nil, "a", "b", "c")
	follower, _ := follows(t, engines)
	follower.setPeerClient(stuckPeerClient{ended: t.Context().Done()})
	late := follower.allotments.Load().late
	g.Eventually(func() uint64 {
		_ = follower.takeToken(t.Context(), time.Now(), origin{tenant: &limitedTenant}, limitedRoute, allotment.NoObjective) // may be refused
		return late.Get()
	}, "10s", "1ms").ShouldNot(gomega.BeZero())
}

// Guards against a request that waits for an accountant that is gone, or is told that it is over the
// limit.
func TestRequestIsDecidedWithoutItsAccountant(t *testing.T) {
	g := gomega.NewWithT(t)
	engines, transports := limitedSite(t, nil, "a", "b", "c")
	follower, _ := follows(t, engines)
	for i, p := range transports {
		if engines[i] != follower {
			p.close()
		}
	}
	for range 50 {
		rejected := follower.takeToken(t.Context(), time.Now(), origin{tenant: &limitedTenant}, limitedRoute, allotment.NoObjective)
		if rejected != nil {
			g.Expect(rejected.status).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(rejected.retryAfter).To(gomega.BeNumerically(">", 0))
			return
		}
	}
	g.Expect("50 requests admitted").To(gomega.BeEmpty())
}

// Guards against limits that shrink while VMs are down: those that were killed remain listed.
func TestVMsThatDoNotRunKeepNoShareOfALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	lost := scatter.VM{Name: "lost", Zone: "z", Power: 0.1, Address: "127.0.0.1:1"}
	engines, _ := limitedSite(t, []scatter.VM{lost}, "a", "b", "c")
	g.Eventually(func() (list [][2]int) {
		for _, e := range engines {
			a := e.allotments.Load()
			a.mu.Lock()
			defer a.mu.Unlock()
			for _, c := range a.accountants {
				if c != nil {
					following, members := c.Followers()
					list = append(list, [2]int{following, members})
				}
			}
		}
		return list
	}, "20s").Should(gomega.Equal([][2]int{{3, 3}, {3, 3}}), "the followers of each group's accountant, and all VMs")
}

// contextWith is a context that runs a function when it is first waited for.
type contextWith struct {
	context.Context
	waited func()
}

// Done implements context.Context.
func (c *contextWith) Done() <-chan struct{} {
	if c.waited != nil {
		c.waited()
		c.waited = nil
	}
	return c.Context.Done()
}

// Guards against refusals by a VM that has just started, and learns in the same moment which VMs there are.
func TestRequestWaitsForTheListOfVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEngine(EngineOptions{Self: "a", Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
	n := &Node{engine: e, self: scatter.VM{Name: "a", Power: 1}, settings: &Settings{Allotment: AllotmentSettings{WindowS: 5, Excess: 0.1, Slack: 8}}}
	n.startAllotments(t.Context())
	who, slow := origin{tenant: &limitedTenant}, &routing.Route{Aim: time.Minute}
	rejected := e.takeToken(t.Context(), time.Now(), who, slow, 0)
	g.Expect(rejected).NotTo(gomega.BeNil(), "a stale request does not wait")
	g.Expect(rejected.why).To(gomega.Equal("limit_unknown"))
	listed := &contextWith{Context: t.Context(), waited: func() { e.setVMs(nil) }}
	g.Expect(e.takeToken(listed, time.Now(), who, slow, allotment.NoObjective)).To(gomega.BeNil())
}

// Guards against a refusal whose log line does not say by which limit, and on whose knowledge.
func TestRefusalNamesItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	engines, _ := limitedSite(t, nil, "a")
	e := engines[0]
	var logged bytes.Buffer
	e.log, e.headerCodec = slog.New(slog.NewTextHandler(&logged, nil)), plainCodec{}
	who := origin{tenant: &limitedTenant, rank: 3, keyed: true}
	g.Eventually(func() string {
		rejected := e.takeToken(t.Context(), time.Now(), who, limitedRoute, 0)
		if rejected == nil || rejected.status != http.StatusTooManyRequests {
			return ""
		}
		e.reject(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil), rejected, 1)
		return logged.String()
	}, "20s", "1ms").Should(gomega.And(
		gomega.ContainSubstring("why=over_limit"), gomega.ContainSubstring("tenant=tenant rank=3 rate_per_s=2 burst=2 stale=true accountant=a"),
		gomega.MatchRegexp(`age_ms=\d`)))
}

// statedCodec is a HeaderCodec of callers that state their remaining time.
type statedCodec struct {
	plainCodec
	left time.Duration
}

// CallerTimeout returns the remaining time.
func (c *statedCodec) CallerTimeout(http.Header) (time.Duration, bool) { return c.left, true }

// Guards against a request that comes back late and is not told from others where tokens are given out.
func TestLateRequestAsksAsStale(t *testing.T) {
	g := gomega.NewWithT(t)
	document := manifestOf(1, "s3cret").Document
	document.Tenants[0].Limit = limitedTenant.Limit
	_, engines := newVMsInProcess(1, routing.NewManifest(document))
	e, caller := engines[0], &statedCodec{left: 3 * time.Second}
	e.currency.confirm(time.Now(), time.Now(), true)
	e.applyLeafChanges(func(_ time.Time, r *registry.Registry) []registry.Change {
		return r.Put(registry.Leaf{ID: "leaf", Service: "other"})
	})
	var logged bytes.Buffer
	e.log, e.headerCodec = slog.New(slog.NewTextHandler(&logged, nil)), caller
	n := &Node{engine: e, self: scatter.VM{Name: "vm-0"}, settings: &Settings{Allotment: AllotmentSettings{WindowS: 5, Excess: 0.1, Slack: 4}}}
	n.startAllotments(t.Context())
	for _, stale := range []string{"stale=false", "stale=true"} {
		logged.Reset()
		e.ServeHTTP(httptest.NewRecorder(), requestWith("/x", "Bearer s3cret")) // the VM knows no VMs, so it can't admit
		g.Expect(logged.String()).To(gomega.ContainSubstring(stale))
		caller.left -= time.Second // longer than the objective
	}
}

// Guards against costs and refusals where nothing is limited.
func TestRequestsWithoutALimitAreNotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	engines, _ := limitedSite(t, nil, "a")
	off := NewEngine(EngineOptions{Self: "a", Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
	for _, e := range []*Engine{engines[0], off} {
		for _, who := range []origin{{}, {tenant: &tenant.Tenant{Name: "unlimited"}}} {
			g.Expect(testing.AllocsPerRun(100, func() {
				if e.takeToken(t.Context(), time.Time{}, who, limitedRoute, allotment.NoObjective) != nil {
					t.Error("refused")
				}
				e.returnToken(time.Time{}, who)
			})).To(gomega.BeZero())
		}
	}
	g.Expect(engines[0].allotments.Load().admitted.Get()).To(gomega.BeZero())
}
