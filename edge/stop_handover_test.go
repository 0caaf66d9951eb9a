package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// toldTaker is a client that calls onRun before it hands a request over.
type toldTaker struct {
	requestTaker
	onRun func()
}

// runRequest implements requestTaker.
func (c *toldTaker) runRequest(ctx context.Context, vm scatter.VM, call *runCall) (*runAnswer, error) {
	c.onRun()
	return c.requestTaker.runRequest(ctx, vm, call)
}

// Guards against a request that is refused though its VM goes on: the VM that took it over was told to stop
// meanwhile, and says that it has not run.
func TestRequestIsServedIfTheVMThatTookItOverStops(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Receipt", "r") }))
	t.Cleanup(leaf.Close)
	slow, free := newHandOverVM(t, g, "a", time.Second), newHandOverVM(t, g, "b", 0)
	slow.joinZone(g, free, false)
	free.joinZone(g, slow, true)
	for _, v := range []*handOverVM{slow, free} {
		v.applyLeafChanges(func(_ time.Time, r *registry.Registry) []registry.Change {
			return r.Put(registry.Leaf{ID: "l", Born: 1, Service: "s", Zone: "z", Slots: 2, Address: leaf.Listener.Addr().String()})
		})
	}
	slow.setPeerClient(&toldTaker{requestTaker: slow.peers, onRun: func() { free.stopIn(500 * time.Millisecond) }})
	req, route := slow.request()
	res := slow.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
	g.Expect(free.count(takenOver)).To(gomega.BeNumerically("<=", 1))
	g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.Answered), "status %d, Retry-After %q", res.Status, res.Header.Get("Retry-After"))
}
