package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/tenant"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// vmsInProcess is the peerClient of VMs in one process.
type vmsInProcess struct {
	noPeerClient
	engines map[string]*Engine
	hold    chan struct{} // if not nil, answers wait until it is closed

	mu      sync.Mutex
	callees map[string]int // calls by name of the called VM
}

// errLostVM is the error of a call to a VM that is not among the engines.
var errLostVM = errors.New("lost")

// follow calls an engine in this process.
func (v *vmsInProcess) follow(ctx context.Context, vm scatter.VM, method string, call *followCall, into any) error {
	v.mu.Lock()
	v.callees[vm.Name]++
	v.mu.Unlock()
	if v.hold != nil {
		<-v.hold
	}
	e := v.engines[vm.Name]
	if e == nil {
		return errLostVM
	}
	ans, err := e.serveFollow(ctx, method, call)
	if err == nil {
		*into.(*manifestAnswer) = *ans.(*manifestAnswer)
	}
	return err
}

// calls returns the number of calls.
func (v *vmsInProcess) calls() (n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, called := range v.callees {
		n += called
	}
	return n
}

// newVMsInProcess returns n VMs in four zones, with manifest m in force, that know each other.
func newVMsInProcess(n int, m *routing.Manifest) (*vmsInProcess, []*Engine) {
	v := &vmsInProcess{engines: make(map[string]*Engine), callees: make(map[string]int)}
	var vms []scatter.VM
	var engines []*Engine
	for i := range n {
		vm := scatter.VM{Name: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", i%4)}
		e := NewEngine(EngineOptions{
			Self: vm.Name, Zone: vm.Zone, Power: 1, Seed: 1, Log: logging.Discard(),
			Budget: scatter.BudgetConfig{Window: time.Second}, Bounds: BoundSettings{ManifestMS: 5000, RevokeMS: 5000},
		})
		e.setPeerClient(v)
		e.Offer(m)
		v.engines[vm.Name] = e
		engines, vms = append(engines, e), append(vms, vm)
	}
	for i, e := range engines {
		e.setVMs(append(append([]scatter.VM{}, vms[:i]...), vms[i+1:]...))
	}
	return v, engines
}

// manifestOf returns a manifest of a version that names one tenant with these keys.
func manifestOf(version int64, keys ...string) *routing.Manifest {
	t := tenant.Tenant{Name: "acme", Priority: 3, HasPriority: true}
	for _, key := range keys {
		t.Keys = append(t.Keys, tenant.DigestOf(key))
	}
	return routing.NewManifest(routing.Document{
		Version: version, KeysRequired: true, Tenants: []tenant.Tenant{t},
		Routes: []*routing.Route{
			{Name: "keyed", Host: "h", Prefix: "/", Service: "s", Priority: 1, Aim: time.Second, Timeout: time.Second},
			{Name: "open", Host: "h", Prefix: "/open/", Service: "s", Priority: 2, Anonymous: true, Aim: time.Second, Timeout: time.Second},
		},
	})
}

// Guards against a key that was taken away and is served on by VMs that the store turns away: a third
// of the VMs loses the store, and the version has to reach each of them within the bound through
// other VMs. The number of calls must not grow with the number of VMs.
func TestVersionReachesVMsThatTheStoreTurnsAway(t *testing.T) {
	for _, n := range []int{72, 288} {
		g := gomega.NewWithT(t)
		now := time.Now()
		v, engines := newVMsInProcess(n, manifestOf(1, "old"))
		behind := make(map[*Engine]bool)
		for i, e := range engines {
			e.currency.confirm(now, now, true)
			if i%3 == 0 {
				e.currency.setSource(false)
				behind[e] = true
			} else {
				e.Offer(manifestOf(2))
			}
		}
		lost := len(behind)
		rounds := 0
		for ; len(behind) > 0 && rounds < 100; rounds++ {
			for e := range behind {
				g.Expect(e.currency.pollDue(time.Now(), true, false)).To(gomega.BeTrue())
				e.askNeighbours(t.Context())
				if e.manifestVersion() == 2 {
					delete(behind, e)
				}
			}
		}
		longestPause := manifestPollInterval * 5 / 4
		g.Expect(time.Duration(rounds)*longestPause).To(gomega.BeNumerically("<=", 5*time.Second), "%d VMs", n)
		g.Expect(v.calls()).To(gomega.BeNumerically("<=", lost*polledNeighbours*rounds))
		asking := make(map[string]int) // VMs that ask a VM, by its name
		for _, e := range engines {
			g.Expect(e.inForce.Get().Tenant("old")).To(gomega.BeNil())
			for _, vm := range e.currency.neighbours {
				asking[vm.Name]++
				g.Expect(vm.Zone).NotTo(gomega.Equal(e.self.Zone))
			}
		}
		for _, vms := range asking {
			g.Expect(vms).To(gomega.BeNumerically("<=", 3*maxNeighbours), "%d VMs", n)
		}
		g.Expect(engines[0].currency.mayBeBehind(time.Now())).To(gomega.BeFalse(), "in touch through other VMs")
	}
}

// Guards against a VM that does not learn from a call of another VM that there is a newer manifest,
// and against one fetch for each such call.
func TestHeardVersionIsFetchedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	v, engines := newVMsInProcess(3, manifestOf(1, "old"))
	engines[1].Offer(manifestOf(2))
	for range 50 {
		engines[0].hearVersion("vm-1", engines[1].toldVersion())
		engines[0].hearVersion("vm-2", engines[2].toldVersion())
	}
	g.Eventually(engines[0].manifestVersion, "10s").Should(gomega.BeEquivalentTo(2))
	engines[0].hearVersion("vm-1", 2)
	g.Expect(v.calls()).To(gomega.Equal(1))
	g.Expect(engines[0].currency.heardFrom).To(gomega.BeEmpty())
}

// Guards against versions that calls between VMs don't carry, in either direction, and against a
// manifest that does not arrive whole.
func TestVersionTravelsWithCallsBetweenVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	a, vmA := joinVM(t, "a", manifestOf(1, "old"))
	b, vmB := joinVM(t, "b", manifestOf(2, "new"))
	a.setVMs([]scatter.VM{vmB})
	b.setVMs([]scatter.VM{vmA})
	callVM(b, vmA)
	g.Eventually(a.manifestVersion, "10s").Should(gomega.BeEquivalentTo(2), "told by the call")
	g.Expect(a.inForce.Get().Tenant("new").HasPriority).To(gomega.BeTrue())
	g.Expect(a.inForce.Get().Tenant("old")).To(gomega.BeNil())
	b.Offer(manifestOf(3))
	callVM(a, vmB)
	g.Eventually(a.manifestVersion, "10s").Should(gomega.BeEquivalentTo(3), "told by the answer")
}

// Guards against a VM that has just started, whose list of VMs does not hold the VM that calls it: it
// has to fetch the newer manifest from that VM all the same.
func TestVersionOfAnUnlistedVMIsFetched(t *testing.T) {
	g := gomega.NewWithT(t)
	a, vmA := joinVM(t, "a", manifestOf(1, "old"))
	b, _ := joinVM(t, "b", manifestOf(2, "new"))
	b.setVMs([]scatter.VM{vmA})
	callVM(b, vmA)
	g.Eventually(a.manifestVersion, "10s").Should(gomega.BeEquivalentTo(2))
}

// Guards against a key that is served long after it was taken away by a VM that the store turns away before it has read
// of any other VM, while others are connected to it.
func TestVMThatKnowsNoOthersAsksThoseThatCallIt(t *testing.T) {
	g := gomega.NewWithT(t)
	a, vmA := joinVM(t, "a", manifestOf(1, "old"))
	b, _ := joinVM(t, "b", manifestOf(2, "new"))
	now := time.Now()
	b.currency.setBounds(BoundSettings{ManifestMS: 3000})
	a.currency.setBounds(BoundSettings{ManifestMS: 3000})
	b.currency.confirm(now, now, true)
	g.Expect(b.currentPeerClient().follow(t.Context(), vmA, methodNewerManifest, &followCall{Position: 2}, new(manifestAnswer))).To(gomega.Succeed())
	a.currency.setSource(false)
	g.Expect(a.currency.pollDue(now, true, false)).To(gomega.BeTrue())
	g.Expect(a.askNeighbours(t.Context())).To(gomega.BeTrue(), "the other VM is in touch")
	g.Expect(a.manifestVersion()).To(gomega.BeEquivalentTo(2))
	g.Expect(a.inForce.Get().Tenant("old")).To(gomega.BeNil())
}

// joinVM returns a VM with manifest m in force that other VMs can call, and its entry in their lists.
func joinVM(t *testing.T, name string, m *routing.Manifest) (*Engine, scatter.VM) {
	e := NewEngine(EngineOptions{Self: name, Zone: name, Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
	key := make([]byte, 32)
	p, err := joinPeers(e, wire.Identity{Deployment: "d", VM: name, Incarnation: name}, "127.0.0.1:0", key, logging.Discard())
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(p.close)
	e.setPeerClient(p)
	e.Offer(m)
	return e, scatter.VM{Name: name, Zone: name, Address: p.server.Addr().String(), Key: string(key)}
}

// callVM lets a VM call another one for a shard.
func callVM(from *Engine, to scatter.VM) {
	answerBy := time.Now().Add(time.Minute)
	r := from.newRunner(&Request{HTTP: &leafhttp.Request{}, Deadline: answerBy}, scatter.Spec{Services: []string{"s"}, Gathered: true, Deadline: answerBy})
	r.callPeer(scatter.CallVM{VM: to, Shards: []int{0}, Views: make([]scatter.View, 1), AnswerBy: answerBy, InterimBy: answerBy})
}

// Guards against an old confirmation that is taken for a new one: the ages of confirmations add up
// from VM to VM, and a confirmation of a VM whose source fails is not contact.
func TestConfirmationAgesOnItsWay(t *testing.T) {
	g := gomega.NewWithT(t)
	_, engines := newVMsInProcess(3, manifestOf(1, "key"))
	first, second, third := engines[0], engines[1], engines[2]
	now := time.Now()
	first.currency.confirm(now, now.Add(-3*time.Second), true)
	second.currency.setSource(false)
	third.currency.setSource(false)
	g.Expect(second.askVM(t.Context(), first.self)).To(gomega.BeTrue())
	g.Expect(third.askVM(t.Context(), second.self)).To(gomega.BeFalse(), "its source fails")
	age, confirmed := third.currency.age(time.Now())
	g.Expect(confirmed).To(gomega.BeTrue())
	g.Expect(age).To(gomega.BeNumerically(">=", 3*time.Second))
	g.Expect(second.currency.mayBeBehind(now)).To(gomega.BeFalse())
	g.Expect(third.currency.mayBeBehind(now)).To(gomega.BeTrue(), "no contact")
	g.Expect(second.currency.mayBeBehind(now.Add(maxUntouched+time.Second))).To(gomega.BeTrue(), "no contact since")
	g.Expect(first.currency.mayBeBehind(now.Add(3*time.Second))).To(gomega.BeTrue(), "the confirmation is older than the bound")
	first.currency.confirm(now, now.Add(-time.Hour), true)
	g.Expect(first.currency.mayBeBehind(now)).To(gomega.BeFalse(), "confirmations never go back")
}

// manifestStore is a Store whose manifest is read from a list of answers.
type manifestStore struct {
	Store
	manifest *routing.Manifest
	err      error
}

// Manifest returns the manifest and the error.
func (s *manifestStore) Manifest(context.Context) (*routing.Manifest, Revision, error) {
	return s.manifest, 7, s.err
}

// WatchManifest returns the manifest and the error.
func (s *manifestStore) WatchManifest(context.Context, Revision, time.Duration) (*routing.Manifest, Revision, error) {
	return s.manifest, 8, s.err
}

// Guards against a bad manifest that counts as a loss of the store: the VMs that follow this one
// would turn to the store, and a good version would not come in force. The version before stays in
// force, also for VMs that follow this one.
func TestBadManifestIsNotALossOfTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	_, engines := newVMsInProcess(1, manifestOf(1, "key"))
	e := engines[0]
	store := &manifestStore{err: &routing.InvalidManifestError{Version: 2, Revision: 5, Cause: errors.New("no name")}}
	r := newRelay(store, e, BoundSettings{ManifestMS: 60_000, DrainMS: 60_000, EvacuateMS: 60_000})
	f := &follower{e: e, store: r, settings: &Settings{Bounds: BoundSettings{ManifestMS: 5000}}, log: logging.Discard()}
	res := f.manifests()
	bad := e.stats.set.GetOrCreateCounter(`bramley_edge_bad_manifests_total`)
	for range 3 {
		revision, err := res.read(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(revision).To(gomega.BeEquivalentTo(7))
		r.recordApplied(followedManifest)
		_, changed, err := res.watch(t.Context(), revision, res.wait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(changed).To(gomega.BeTrue(), "the watch pauses")
	}
	g.Expect(bad.Get()).To(gomega.BeEquivalentTo(1))
	g.Expect(e.currency.sourceLost()).To(gomega.BeFalse())
	g.Expect(r.takeStoreFailed()).To(gomega.BeFalse())
	ans, err := e.serveFollowManifest(t.Context(), &followCall{List: true, MaxStalenessMS: 60000})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ans.manifest()).To(gomega.HaveField("Version", gomega.BeEquivalentTo(1)))

	store.manifest, store.err = manifestOf(3), nil
	_, _, err = res.watch(t.Context(), 8, res.wait)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e.manifestVersion()).To(gomega.BeEquivalentTo(3))

	store.err = errors.New("down")
	_, err = res.read(t.Context())
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(e.currency.sourceLost()).To(gomega.BeTrue())
}

// Guards against a VM that has just started, finds a bad manifest in the store, and never asks others
// for the version before.
func TestVMThatStartsWithABadManifestAsksOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	v, engines := newVMsInProcess(3, manifestOf(1, "key"))
	now := time.Now()
	engines[1].currency.confirm(now, now, true)
	e := NewEngine(EngineOptions{Self: "new", Zone: "zone-0", Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
	e.setPeerClient(v)
	e.setVMs([]scatter.VM{engines[1].self})
	store := &manifestStore{err: &routing.InvalidManifestError{Version: 2, Revision: 5, Cause: errors.New("no name")}}
	f := &follower{e: e, store: newRelay(store, e, BoundSettings{ManifestMS: 60_000, DrainMS: 60_000, EvacuateMS: 60_000}), settings: &Settings{}, log: logging.Discard()}
	g.Expect(e.currency.pollDue(now, false, true)).To(gomega.BeFalse(), "nothing is known of a bad manifest")
	_, err := f.manifests().read(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e.sourceFailed).To(gomega.Receive())
	g.Expect(e.currency.pollDue(now, false, true)).To(gomega.BeTrue())
	e.askNeighbours(t.Context())
	g.Expect(e.manifestVersion()).To(gomega.BeEquivalentTo(1))
}
