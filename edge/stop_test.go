package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Guards against work for other VMs that a VM takes and leaves unanswered when it ends: the other VM
// would lose time, and could not know whether a handed-over request has run.
func TestEndingVMTakesNoWorkOfOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newHandOverVM(t, g, "a", 0)
	offer := v.considerOffer(time.Now(), "b", &offerCall{Manifest: 1})
	g.Expect(offer.Accepted).To(gomega.BeTrue())
	g.Expect(v.peerWork.close(t.Context())).To(gomega.Succeed())

	var answers []*gatherAnswer
	v.serveGather(t.Context(), &gatherCall{Key: 7, peerRequest: peerRequest{Header: http.Header{}}, Services: []string{"s"}, Views: make([]scatter.View, 1)}, func(ans *gatherAnswer) { answers = append(answers, ans) })
	last := answers[len(answers)-1]
	g.Expect(last.Key).To(gomega.BeEquivalentTo(7))
	g.Expect(last.Last && last.Refused).To(gomega.BeTrue())
	g.Expect(last.Cause).To(gomega.Equal(scatter.RefusedForSelf), "another owner is called")

	_, err := v.runTaken(t.Context(), "b", &runCall{Offer: offer.Offer, Manifest: 1, peerRequest: peerRequest{Host: "h", Target: "/x"}})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.NotStarted))
}

// Guards against a process that ends while it works for another VM, and against one that waits for that
// without end.
func TestEndingVMWaitsForWorkOfOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	var w peerWork
	g.Expect(w.begin(0)).To(gomega.Succeed())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	g.Expect(w.close(ctx)).To(gomega.MatchError(context.DeadlineExceeded))
	g.Expect(w.begin(0)).To(gomega.MatchError(errStopping))
	w.end(0)
	g.Expect(w.close(t.Context())).To(gomega.Succeed())
}

// Guards against an answer of another VM that comes after this one has ended: the request was handed
// over, and the other VM works on it for longer.
func TestStoppingVMHandsNothingOverThatOutlastsIt(t *testing.T) {
	g := gomega.NewWithT(t)
	slow, free := newHandOverVM(t, g, "a", time.Second), newHandOverVM(t, g, "b", 0)
	slow.joinZone(g, free, false)
	free.joinZone(g, slow, true)
	req, route := slow.request()
	slow.stopping.set(time.Now(), time.Now().Add(10*time.Second))
	slow.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
	g.Expect(free.count(takenOver)).To(gomega.BeZero())

	req.Deadline = time.Now().Add(5 * time.Second)
	slow.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
	g.Expect(free.count(takenOver)).To(gomega.BeEquivalentTo(1))
}
