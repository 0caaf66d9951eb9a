package edge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/intake"
	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Guards against a VM that fills the memory of those that it calls: a call with a long body is refused, before it
// is decoded, by a VM that has no memory for it. One with a short body is not.
func TestCallWithoutMemoryForItsBodyIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	caller, called := newHandOverVM(t, g, "a", 0), newHandOverVM(t, g, "b", 0)
	called.intake = newCallerIntake(intake.Limits{Bytes: 128 << 10}, logging.Discard())
	for _, body := range []int{100 << 10, 100} {
		call := &gatherCall{
			peerRequest: peerRequest{Method: "POST", Target: "/x", Host: "h", Body: make([]byte, body), HasBody: true},
			Services:    []string{"s"}, Views: make([]scatter.View, 1),
		}
		var last *gatherAnswer
		g.Expect(caller.peers.gather(t.Context(), called.vm, call, func() {}, func(ans *gatherAnswer) { last = ans })).To(gomega.Succeed())
		g.Expect(last.Refused).To(gomega.BeTrue())
		g.Expect(called.intake.refused[demandVM]).To(gomega.BeEquivalentTo(1), "only the long one")
	}
	bytes, _ := called.intake.account.Held()
	g.Expect(bytes).To(gomega.BeZero())
}

// Guards against copies of a body for other VMs that are not counted: without memory for them the VMs are not called,
// and the shards are asked from here.
func TestVMsAreNotCalledWithoutMemoryForCopies(t *testing.T) {
	g := gomega.NewWithT(t)
	caller, called := newHandOverVM(t, g, "a", 0), newHandOverVM(t, g, "b", 0)
	caller.intake = newCallerIntake(intake.Limits{Bytes: 64 << 10}, logging.Discard())
	end := time.Now().Add(5 * time.Second)
	req := &Request{ID: "q", Deadline: end, HTTP: &leafhttp.Request{Method: "POST", Target: "/x", Host: "h", Body: make([]byte, 100<<10), HasBody: true}}
	r := caller.newRunner(req, scatter.Spec{Services: []string{"s"}, Gathered: true, Deadline: end})
	defer r.cancel()
	r.callPeer(scatter.CallVM{Call: 1, VM: called.vm, Shards: []int{0}, Views: make([]scatter.View, 1), AnswerBy: end, InterimBy: end})
	ev := <-r.events
	g.Expect(ev.neverSent).To(gomega.BeTrue())
	g.Expect(caller.count(`bramley_edge_calls_not_made_total{why="memory"}`)).To(gomega.BeEquivalentTo(1))
}
