package edge

import (
	"encoding/json"
	"net/http"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/quarantine"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// drawRequest draws a request to leafs. It fails the test if leafhttp.Request has a field that it does
// not set.
func drawRequest(t *rapid.T) *leafhttp.Request {
	text := rapid.StringMatching(`[!-~]{1,20}`)
	r := &leafhttp.Request{
		Method:  rapid.SampledFrom([]string{"GET", "HEAD", "POST", "PUT", "DELETE", "QUERY"}).Draw(t, "method"),
		Target:  "/" + text.Draw(t, "target"),
		Host:    text.Draw(t, "host"),
		Header:  http.Header(rapid.MapOf(rapid.StringMatching(`X-[A-Z][a-z]{1,5}`), rapid.SliceOfN(text, 1, 3)).Draw(t, "header")),
		HasBody: rapid.Bool().Draw(t, "has body"),
	}
	if r.HasBody {
		r.Body = rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "body")
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[leafhttp.Request]()) {
		if value := reflect.ValueOf(r).Elem().FieldByIndex(field.Index); field.IsExported() && r.HasBody && len(r.Body) > 0 && len(r.Header) > 0 && value.IsZero() {
			t.Fatalf("field %s is not set", field.Name)
		}
	}
	return r
}

// expectSame fails the test unless two requests to leafs are the same. No body and an empty one differ
// by HasBody.
func expectSame(g *gomega.WithT, got, want *leafhttp.Request) {
	g.Expect([]string{got.Method, got.Target, got.Host}).To(gomega.Equal([]string{want.Method, want.Target, want.Host}))
	g.Expect(got.Header).To(gomega.Equal(want.Header))
	g.Expect(got.HasBody).To(gomega.Equal(want.HasBody))
	g.Expect(string(got.Body)).To(gomega.Equal(string(want.Body)))
}

// Guards against a part of a caller's request that is lost on its way to another VM, and then to leafs.
func TestRequestIsWholeInMessagesBetweenVMs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		want := drawRequest(rt)
		body, err := cbor.Marshal(&gatherCall{Key: 1, peerRequest: newPeerRequest(want)})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var gather gatherCall
		g.Expect(decodeBody(body, &gather)).To(gomega.Succeed())
		expectSame(g, gather.leafRequest(), want)

		data, err := json.Marshal(newRunCall(&Request{HTTP: want}, origin{}, 1, 1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var run runCall
		g.Expect(decodeParams(data, &run)).To(gomega.Succeed())
		expectSame(g, run.leafRequest(), want)
	})
}

// formerGatherCall are the fields of the request in the call of a former release.
type formerGatherCall struct {
	Method string      `cbor:"3,keyasint"`
	Target string      `cbor:"4,keyasint"`
	Host   string      `cbor:"5,keyasint"`
	Header http.Header `cbor:"6,keyasint"`
	Tenant string      `cbor:"18,keyasint,omitempty"`
	// Content is that of the whole request, with the body that the call lacks.
	Content []byte `cbor:"25,keyasint,omitempty"`
}

// Guards against messages that VMs of two releases read differently, and against a VM that asks leafs
// without the body which a VM of a former release has left out.
func TestCallOfFormerReleaseWithoutTheBodyIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newHandOverVM(t, g, "a", 0)
	for _, body := range []string{"", "search"} {
		content := quarantine.FingerprintOf("t", "POST", "h", "/x", []byte(body))
		data, err := cbor.Marshal(&formerGatherCall{"POST", "/x", "h", http.Header{"X-A": {"1"}}, "t", content[:]})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var call gatherCall
		g.Expect(decodeBody(data, &call)).To(gomega.Succeed())
		expectSame(g, call.leafRequest(), &leafhttp.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{"X-A": {"1"}}})
		call.Services, call.Views = []string{"s"}, make([]scatter.View, 1)
		var answers []*gatherAnswer
		v.serveGather(t.Context(), &call, func(ans *gatherAnswer) { answers = append(answers, ans) })
		last := answers[len(answers)-1]
		g.Expect(last.Refused).To(gomega.BeTrue(), "the service has no leafs")
		g.Expect(v.count(`bramley_edge_refusals_total{why="incomplete"}`)).To(gomega.BeEquivalentTo(min(len(body), 1)))
	}
}

// Guards against a VM of an earlier release that is called for a request with a body, which it would
// not pass on.
func TestEarlierReleaseIsNotCalledForARequestWithABody(t *testing.T) {
	g := gomega.NewWithT(t)
	caller := newHandOverVM(t, g, "a", 0)
	key := string(make([]byte, 32))
	opts := caller.peers.opts
	opts.Self, opts.MaxVersion = wire.Identity{Deployment: "d", VM: "b", Incarnation: "b"}, wire.VersionCBOR
	server, err := wire.Listen("127.0.0.1:0", opts, new(wire.Counters), func(c *wire.Conn) { c.Serve() })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(server.Stop)
	earlier := scatter.VM{Name: "b", Zone: "z", Address: server.Addr().String(), Key: key}
	sent := 0
	call := &gatherCall{peerRequest: peerRequest{Method: "POST", HasBody: true}}
	err = caller.peers.gather(t.Context(), earlier, call, func() { sent++ }, func(*gatherAnswer) {})
	g.Expect(err).To(gomega.MatchError(errEarlierRelease))
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&neverSentError{}))
	g.Expect(sent).To(gomega.BeZero())
	g.Expect(caller.peers.connected(earlier)).To(gomega.BeTrue(), "requests without a body go there")
}

// Guards against the bodies of other VMs' requests filling this VM's memory.
func TestBodiesOfOtherVMsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEngine(EngineOptions{HeaderCodec: receiptCodec{}, Self: "a", Zone: "z", Power: 1, Log: logging.Discard()})
	calls := 0
	for e.peerWork.begin(maxDelegatedBody) == nil {
		calls++
	}
	g.Expect(calls).To(gomega.Equal(maxPeerBodies / maxDelegatedBody))
	g.Expect(e.peerWork.begin(0)).To(gomega.Succeed())
	e.peerWork.end(maxDelegatedBody)
	g.Expect(e.peerWork.begin(maxDelegatedBody)).To(gomega.Succeed())
	g.Expect(e.peerWork.begin(1)).To(gomega.MatchError(errBodiesFull))
}
