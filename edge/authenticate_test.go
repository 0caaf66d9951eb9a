package edge

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/tenant"
)

// plainCodec is a HeaderCodec that reads no headers.
type plainCodec struct{ HeaderCodec }

// RequestID returns no id.
func (plainCodec) RequestID(http.Header) string { return "" }

// CallerTimeout returns none.
func (plainCodec) CallerTimeout(http.Header) (time.Duration, bool) { return 0, false }

// ReplacedHeaders returns none.
func (plainCodec) ReplacedHeaders() []string { return nil }

// requestWith returns a request with these values of the Authorization header.
func requestWith(path string, values ...string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "h"
	r.Header[headerAuthorization] = values
	return r
}

// Guards against a request that runs without its tenant's key, or is refused with it.
func TestRequestIsJudgedByItsKey(t *testing.T) {
	g := gomega.NewWithT(t)
	_, engines := newVMsInProcess(1, manifestOf(1, "s3cret"))
	e := engines[0]
	e.currency.confirm(time.Now(), time.Now(), true)
	m := e.inForce.Get()
	for _, c := range []struct {
		values []string
		why    string
	}{
		{[]string{"Bearer s3cret"}, ""},
		{[]string{"bEARER  s3cret "}, ""},
		{nil, "key_missing"},
		{[]string{""}, "key_malformed"},
		{[]string{"Bearer"}, "key_malformed"},
		{[]string{"Bearer "}, "key_malformed"},
		{[]string{"s3cret"}, "key_malformed"},
		{[]string{"Basic s3cret"}, "key_malformed"},
		{[]string{"Bearer s3cret", "Bearer s3cret"}, "key_malformed"},
		{[]string{"Bearer s3cret, Bearer s3cret"}, "key_malformed"},
		{[]string{"Bearer S3cret"}, "key_unknown"},
		{[]string{"Bearer s3cre"}, "key_unknown"},
	} {
		who, rejected := e.authenticate(requestWith("/x", c.values...), m, m.Match("h", "/x"))
		if c.why == "" {
			g.Expect(rejected).To(gomega.BeNil())
			g.Expect(who.name()).To(gomega.Equal("acme"))
			g.Expect(who.rank).To(gomega.Equal(3), "the tenant's priority")
			continue
		}
		g.Expect(rejected).NotTo(gomega.BeNil(), "%q", c.values)
		g.Expect(rejected.why).To(gomega.Equal(c.why), "%q", c.values)
		g.Expect(rejected.status).To(gomega.Equal(http.StatusUnauthorized))
		g.Expect(rejected.header.Get("WWW-Authenticate")).To(gomega.Equal("Bearer"))
		g.Expect(who.name()).To(gomega.BeEmpty())

		who, rejected = e.authenticate(requestWith("/open/x", c.values...), m, m.Match("h", "/open/x"))
		g.Expect(rejected).To(gomega.BeNil(), "the route is anonymous")
		g.Expect(who.name()).To(gomega.BeEmpty())
		g.Expect(who.rank).To(gomega.Equal(2), "the route's priority")
	}
	free := routing.NewManifest(routing.Document{Version: 2, Routes: m.Routes})
	who, rejected := e.authenticate(requestWith("/x", "Bearer other"), free, free.Match("h", "/x"))
	g.Expect(rejected).To(gomega.BeNil(), "the manifest names no tenants")
	g.Expect(who.logFields()).To(gomega.BeEmpty())
}

// Guards against a key in a log line, a metric or an answer, and against a key that was just added and
// is refused for good by a VM that lags: a VM that reads the newer manifest meanwhile judges by it.
func TestUnknownKeyIsJudgedByTheNewestManifest(t *testing.T) {
	g := gomega.NewWithT(t)
	v, engines := newVMsInProcess(3, manifestOf(1, "s3cret"))
	e := engines[0]
	var logged bytes.Buffer
	e.log = slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
	e.headerCodec = plainCodec{}
	e.applyLeafChanges(func(_ time.Time, r *registry.Registry) []registry.Change {
		return r.Put(registry.Leaf{ID: "leaf", Service: "other"})
	})
	ask := func(key string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, requestWith("/x", "Bearer "+key))
		return w
	}
	for _, other := range engines[1:] {
		other.currency.confirm(time.Now(), time.Now(), true)
		other.Offer(manifestOf(2, "s3cret", "n3wkey"))
	}
	g.Expect(ask("n3wkey").Code).To(gomega.Equal(http.StatusServiceUnavailable), "the key is good; no leaf serves the route")
	g.Expect(e.manifestVersion()).To(gomega.BeEquivalentTo(2))
	g.Expect(ask("wr0ng").Code).To(gomega.Equal(http.StatusUnauthorized), "the manifest is the newest")
	called := v.calls()
	for range 100 {
		ask("wr0ng")
	}
	g.Expect(v.calls()).To(gomega.Equal(called), "unknown keys are asked for at a bounded rate")

	var metrics bytes.Buffer
	e.writeMetrics(&metrics)
	g.Expect(metrics.String()).To(gomega.ContainSubstring(`bramley_edge_key_checks_total{outcome="key_unknown"} 1`))
	g.Expect(logged.String()).To(gomega.ContainSubstring("key_unknown"))
	for _, key := range []string{"s3cret", "n3wkey", "wr0ng"} {
		g.Expect(logged.String() + metrics.String()).NotTo(gomega.ContainSubstring(key))
	}
}

// Guards against 401, which ends the caller's tries, by a VM that can't know whether the key was added:
// one cut off from the store and all VMs. Also guards against one question for each caller, and
// against callers that all return at the same time.
func TestVMThatMayBeBehindLeadsTheCallerOn(t *testing.T) {
	g := gomega.NewWithT(t)
	v, engines := newVMsInProcess(3, manifestOf(1, "key"))
	v.engines = nil // all VMs are lost
	v.hold = make(chan struct{})
	e := engines[0]
	m := e.inForce.Get()
	now := time.Now()
	e.currency.confirm(now.Add(-4*time.Second), now.Add(-4*time.Second), true)
	e.currency.setSource(false)
	route := *m.Match("h", "/x")
	route.Aim = time.Nanosecond // nobody waits
	var wg sync.WaitGroup
	delays := make(chan time.Duration, 50)
	for range cap(delays) {
		wg.Go(func() {
			if _, rejected := e.authenticate(requestWith("/x", "Bearer other"), m, &route); rejected.status == http.StatusServiceUnavailable {
				delays <- rejected.retryAfter
			}
		})
	}
	wg.Wait()
	g.Expect(delays).To(gomega.HaveLen(cap(delays)))
	distinct := make(map[time.Duration]bool)
	for range cap(delays) {
		d := <-delays
		distinct[d] = true
		g.Expect(d).To(gomega.And(gomega.BeNumerically(">=", retryAfterBehind), gomega.BeNumerically("<", retryAfterBehind+retryAfterBehindSpread)))
	}
	g.Expect(len(distinct)).To(gomega.BeNumerically(">", 10))
	g.Eventually(v.calls).Should(gomega.Equal(1), "asked once, the answer is awaited")
	close(v.hold)
	g.Eventually(func() bool { e.currency.mu.Lock(); defer e.currency.mu.Unlock(); return e.currency.flight == nil }).Should(gomega.BeTrue())
	_, rejected := e.authenticate(requestWith("/x", "Bearer other"), m, &route)
	g.Expect(rejected.why).To(gomega.Equal("key_behind"), "the VMs that were asked are lost")
	who, rejected := e.authenticate(requestWith("/x", "Bearer key"), m, &route)
	g.Expect(rejected).To(gomega.BeNil(), "keys that are known are served")
	g.Expect(who.name()).To(gomega.Equal("acme"))
}

// Guards against strict revocation that a VM without contact does not keep, and against one that is
// kept by a VM in touch or for routes without keys.
func TestStrictRevocationEndsKeysWithoutContact(t *testing.T) {
	g := gomega.NewWithT(t)
	_, engines := newVMsInProcess(1, manifestOf(1, "key"))
	e := engines[0]
	m := e.inForce.Get()
	for _, strict := range []bool{false, true} {
		e.currency = currency{}
		bounds := BoundSettings{ManifestMS: 5000, RevokeMS: 4000, StrictRevoke: strict}
		e.currency.setBounds(bounds)
		e.currency.confirm(time.Now(), time.Now().Add(-3*time.Second), true)
		_, rejected := e.authenticate(requestWith("/x", "Bearer key"), m, m.Match("h", "/x"))
		g.Expect(rejected).To(gomega.BeNil(), "confirmed in time")
		e.currency = currency{}
		e.currency.setBounds(bounds)
		e.currency.confirm(time.Now(), time.Now().Add(-5*time.Second), true)
		_, rejected = e.authenticate(requestWith("/open/x"), m, m.Match("h", "/open/x"))
		g.Expect(rejected).To(gomega.BeNil(), "no key is needed")
		_, rejected = e.authenticate(requestWith("/x", "Bearer key"), m, m.Match("h", "/x"))
		if !strict {
			g.Expect(rejected).To(gomega.BeNil())
			continue
		}
		g.Expect(rejected.status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(rejected.retryAfter).To(gomega.BeNumerically(">", 0))
		g.Expect(rejected.header.Get("Connection")).To(gomega.Equal("close"))
		e.currency.setBounds(BoundSettings{ManifestMS: 5000, RevokeMS: 8000, StrictRevoke: true})
		_, rejected = e.authenticate(requestWith("/x", "Bearer key"), m, m.Match("h", "/x"))
		g.Expect(rejected).To(gomega.BeNil(), "confirmed within the longer bound of keys")
		watch := 2 * watchWaitShare * bounds.manifestWatchMS()
		g.Expect(watch).To(gomega.BeNumerically("<", bounds.RevokeMS), "two watches fit in the bound")
	}
}

// Guards against a tenant that a caller claims, and a key that reaches a leaf.
func TestCallersDoNotSetWhatTheSystemSets(t *testing.T) {
	g := gomega.NewWithT(t)
	h := http.Header{"X-Tenant": {"a"}, "X_tenant": {"b"}, "Authorization": {"Bearer k"}, "X-Other": {"c"}, "X_other": {"d"}}
	g.Expect(forwardedHeaders(h, []string{"X-Tenant", headerAuthorization})).To(gomega.Equal(http.Header{"X-Other": {"c"}, "X_other": {"d"}}))
	g.Expect(forwardedHeaders(h, nil)).To(gomega.Equal(h))
}

// BenchmarkAuthenticate judges a request by a key that one of 10,000 tenants holds.
func BenchmarkAuthenticate(b *testing.B) {
	tenants := make([]tenant.Tenant, 10000)
	for i := range tenants {
		name := fmt.Sprint("tenant-", i)
		tenants[i] = tenant.Tenant{Name: name, Keys: []tenant.Digest{tenant.DigestOf("key-of-" + name)}}
	}
	e := NewEngine(EngineOptions{Self: "vm", Zone: "z", Power: 1, Log: logging.Discard(), Budget: scatter.BudgetConfig{Window: time.Second}})
	m := routing.NewManifest(routing.Document{Version: 1, KeysRequired: true, Tenants: tenants})
	route := &routing.Route{Priority: 1}
	r := requestWith("/x", "Bearer key-of-tenant-9999")
	b.ReportAllocs()
	for b.Loop() {
		if _, rejected := e.authenticate(r, m, route); rejected != nil {
			b.Fatal(rejected.why)
		}
	}
}
