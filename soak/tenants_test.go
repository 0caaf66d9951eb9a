package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bramleybarrow/bramleybarrow/edge"
)

// fixedTenantSeeds are the seeds with tenants that CI runs: with faults of the store, and with VMs that are
// cut off from it, with and without room. In 2019 and 2035 the store fails just after the start of all VMs.
var fixedTenantSeeds = []uint64{1, 2, 2019, 2035, 2042}

// revokeBound is the time after which a key that was taken away must not be served by VMs that reach
// a VM in touch.
const revokeBound = 3 * time.Second

// Limits of the tenant "flood", whose rate changes between the two, and their tolerances.
const (
	floodRate, floodLowRate = 10, 5 // requests per second
	floodBurst              = 5
	floodSlack              = 4
	floodExcess             = 0.1
	floodWindow             = 2 * time.Second
)

// keyPrefix starts each API key, so that one is found in whatever reaches a leaf.
const keyPrefix = "secret-"

// key is an API key that a caller sends.
type key struct {
	text       string // empty if none is sent
	tenant     string // the tenant that holds it, or held it; empty if none ever did
	generation int    // of the key of the tenant "turning"
}

// The tenants are "steady", whose key is never taken away, "turning", whose key changes, and "flood",
// which sends many times its limit.
var (
	steadyKey = key{text: keyPrefix + "steady", tenant: "steady"}
	floodKey  = key{text: keyPrefix + "flood", tenant: "flood"}
)

// turningKey returns a key of the tenant "turning".
func turningKey(generation int) key {
	return key{text: fmt.Sprint(keyPrefix, "turning-", generation), tenant: "turning", generation: generation}
}

// forgedName is the tenant that callers say they are.
const forgedName = "forged"

// run is a request that ran on a leaf.
type run struct{ sentAt, arrivedAt time.Time }

// tenants holds the tenants of a manifest, and what leafs were sent on their behalf.
type tenants struct {
	room   bool // the VMs measure their room
	cutOff bool // VMs are cut off from the store instead of faults of the store

	mu         sync.Mutex           // guards the fields below
	generation int                  // of the key that the tenant "turning" holds
	revokedAt  map[int]time.Time    // when the store had acknowledged a manifest without a key, by generation
	sent       map[string]key       // by request ID
	sentAt     map[string]time.Time // by request ID
	flood      map[string]run       // requests of the tenant "flood" that ran, by ID
	violations map[string]bool      // requests at leafs that broke a guarantee
}

// newTenants returns the tenants of a run with the seed.
func newTenants(seed uint64) *tenants {
	return &tenants{
		room: seed%4 >= 2, cutOff: seed%2 == 0, revokedAt: make(map[int]time.Time),
		sent: make(map[string]key), sentAt: make(map[string]time.Time),
		flood: make(map[string]run), violations: make(map[string]bool),
	}
}

// configure sets what VMs need for tenants.
func (n *tenants) configure(set *edge.Settings) {
	set.Bounds.RevokeMS = float64(revokeBound.Milliseconds())
	set.Allotment = edge.AllotmentSettings{WindowS: floodWindow.Seconds(), Excess: floodExcess, Slack: floodSlack}
	set.Room = edge.RoomSettings{Measure: n.room, Spill: n.room, HandOver: n.room}
}

// probeKey returns the key of requests that must always be served. n may be nil.
func (n *tenants) probeKey() string {
	if n == nil {
		return ""
	}
	return steadyKey.text
}

// changeTenants stores a manifest with a new key of the tenant "turning" in place of the one before,
// and the greater (0) or the lower (1) rate of the tenant "flood".
func (d *deployment) changeTenants(rate int) {
	n := d.tenants
	n.mu.Lock()
	n.generation++
	generation := n.generation
	n.mu.Unlock()
	d.putManifest(generation+1, fmt.Sprintf(`,"tenants":[
	{"name":"steady","api-keys":[%q],"priority":0},
	{"name":"turning","api-keys":[%q]},
	{"name":"flood","api-keys":[%q],"priority":2,"rate-per-s":%d,"burst":%d}]`,
		steadyKey.text, turningKey(generation).text, floodKey.text, [...]int{floodRate, floodLowRate}[rate], floodBurst))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.revokedAt[generation-1] = time.Now()
}

// choose returns the kind and the key of a caller's next request.
func (n *tenants) choose(caller int, rng *rand.Rand) (int, key) {
	kind := rng.IntN(3)
	n.mu.Lock()
	generation := n.generation
	n.mu.Unlock()
	switch choice := rng.IntN(10); {
	case caller >= callerCount/2:
		return 1 + kind%2, floodKey
	case choice < 5:
		return kind, steadyKey
	case choice < 7:
		return kind, turningKey(generation)
	case choice < 8:
		return kind, turningKey(rng.IntN(generation))
	case choice < 9:
		return kind, key{text: keyPrefix + "unknown"}
	default:
		return kind, key{}
	}
}

// check records a request, sends it and checks its status.
func (n *tenants) check(c *callers, v *vm, id string, k key, send func() int) {
	now := time.Now()
	calm := v.calmSince()
	n.mu.Lock()
	n.sent[id], n.sentAt[id] = k, now
	revokedAt, revoked := n.revokedAt[k.generation]
	n.mu.Unlock()
	status := send()
	switch {
	case k.tenant == "" && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable && status != noAnswer:
		c.addViolation("%s: a request without a valid key was answered %d by %s", id, status, v.set.Name)
	case k.tenant == "turning" && revoked && status == http.StatusOK && n.cutOff &&
		now.Sub(revokedAt) > revokeBound && now.Sub(calm) > revokeBound && v.calmSince() == calm:
		c.addViolation("%s: the key was taken away %v before, and %s served it", id, now.Sub(revokedAt), v.set.Name)
	case (k == steadyKey || k == floodKey) && status == http.StatusUnauthorized:
		c.addViolation("%s: the key of tenant %s was refused by %s", id, k.tenant, v.set.Name)
	}
}

// observe checks the headers of a request that has reached a leaf, and records it if it runs.
func (n *tenants) observe(header http.Header, runs bool) {
	id := header.Get("Bramleybarrow-Attempt-Id")
	n.mu.Lock()
	defer n.mu.Unlock()
	want, known := n.sent[id]
	if !known {
		want = steadyKey // of a probe
	}
	if names := header["Bramleybarrow-Tenant"]; want.tenant == "" || len(names) != 1 || names[0] != want.tenant {
		n.violations[fmt.Sprintf("%s: the request of tenant %q reached a leaf with the names %q", id, want.tenant, names)] = true
	}
	for name, values := range header {
		if text := strings.Join(values, ","); strings.Contains(text, keyPrefix) || strings.Contains(text, forgedName) {
			n.violations[fmt.Sprintf("%s: the header %s took a key or the caller's name of a tenant to a leaf", id, name)] = true
		}
	}
	if _, again := n.flood[id]; want == floodKey && runs && !again {
		n.flood[id] = run{n.sentAt[id], time.Now()}
	}
}

// checkLimit checks, after all requests have ended, what leafs were sent, and that no more requests
// of the tenant "flood" were both sent and run in any window than its greater limit allows.
func (n *tenants) checkLimit(c *callers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for violation := range n.violations {
		c.addViolation("%s", violation)
	}
	runs := make([]run, 0, len(n.flood))
	for _, r := range n.flood {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].sentAt.Before(runs[j].sentAt) })
	most := 0
	for i, first := range runs {
		count := 0
		for _, r := range runs[i:] {
			if !r.arrivedAt.After(first.sentAt.Add(floodWindow)) {
				count++
			}
		}
		most = max(most, count)
	}
	if bound := (floodRate*floodWindow.Seconds()+floodBurst)*(1+floodExcess) + floodSlack; float64(most) > bound {
		c.addViolation("%d requests of the tenant flood ran in %v, %v are allowed", most, floodWindow, bound)
	}
	c.deployment.t.Logf("%d requests of the tenant flood ran, at most %d in %v", len(runs), most, floodWindow)
}

// injectCutOff cuts off half of the VMs from the store, and ends this.
func (d *deployment) injectCutOff(rng *rand.Rand) {
	cut := rng.Perm(len(d.vms))[:len(d.vms)/2]
	for _, i := range cut {
		d.vms[i].proxy.Reject(http.StatusServiceUnavailable)
	}
	time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
	for _, i := range cut {
		d.vms[i].proxy.Reject(0)
	}
}

// checkRevocation takes a key away while half of the VMs are cut off from the store. It fails the test
// if one of the VMs serves the key after the bound, on a connection that has carried it before, or
// does not serve the new one.
func (d *deployment) checkRevocation(t *testing.T) {
	probe := &callers{deployment: d, reports: make(map[string]int)}
	client := newClient()
	send := func(v *vm, what string, k key) int {
		id := "revocation-" + what + "-" + v.set.Name
		d.tenants.mu.Lock()
		d.tenants.sent[id], d.tenants.sentAt[id] = k, time.Now()
		d.tenants.mu.Unlock()
		return probe.send(client, v, id, 1, k.text)
	}
	old := turningKey(d.tenants.generation)
	for i, v := range d.vms {
		send(v, "before", old)
		if i%vmsPerZone == 0 {
			v.proxy.Reject(http.StatusServiceUnavailable)
		}
	}
	d.changeTenants(1)
	time.Sleep(revokeBound)
	for _, v := range d.vms {
		if status := send(v, "old", old); status != http.StatusUnauthorized {
			t.Errorf("%s answers %d to a key that was taken away %v before; end of its log:\n%s", v.set.Name, status, revokeBound, v.logTail())
		}
		if status := send(v, "new", turningKey(old.generation+1)); status != http.StatusOK {
			t.Errorf("%s answers %d to a key that was added %v before; end of its log:\n%s", v.set.Name, status, revokeBound, v.logTail())
		}
		v.proxy.Reject(0)
	}
	for _, violation := range probe.violations {
		t.Error(violation)
	}
	d.waitServing(t)
}
