package edge

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/knownred"
	"github.com/bramleybarrow/bramleybarrow/registry"
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

// Guards against a VM that is killed while it writes the answers of the requests that it ends: the time for
// that was a share of a short grace time. A long grace time must not be left unused.
func TestTimeToWriteAnswersDoesNotShrinkWithTheGraceTime(t *testing.T) {
	g := gomega.NewWithT(t)
	told := time.Unix(1_000_000, 0)
	for grace, margin := range map[time.Duration]time.Duration{
		time.Minute:     300 * time.Millisecond,
		6 * time.Second: 300 * time.Millisecond,
		2 * time.Second: 300 * time.Millisecond,
		time.Second:     200 * time.Millisecond,
	} {
		times := stopTimesOf(told, grace)
		g.Expect(times.lastWrite.Sub(times.answer)).To(gomega.Equal(margin), grace.String())
		g.Expect(times.lastWrite).To(gomega.Equal(told.Add(grace)))
		g.Expect(times.lameDuck).To(gomega.BeTemporally("<", times.answer))
		g.Expect(times.report).To(gomega.BeTemporally(">", times.answer))
		g.Expect(times.report).To(gomega.BeTemporally("<", times.lastWrite))
	}
}

// heldTaker is a client whose hand-overs end with their contexts, unless answers are set.
type heldTaker struct {
	requestTaker
	offered *offerAnswer // nil: offers get no answer
	onOffer func()
	runs    int
}

// offerRequest implements requestTaker.
func (c *heldTaker) offerRequest(ctx context.Context, _ scatter.VM, _ *offerCall) (*offerAnswer, error) {
	c.onOffer()
	if c.offered != nil {
		return c.offered, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// runRequest implements requestTaker.
func (c *heldTaker) runRequest(ctx context.Context, _ scatter.VM, _ *runCall) (*runAnswer, error) {
	c.runs++
	<-ctx.Done()
	return nil, ctx.Err()
}

// newVMThatHandsOver returns a VM without room that hands requests over to client.
func newVMThatHandsOver(t *testing.T, g *gomega.WithT, client *heldTaker) *handOverVM {
	v, free := newHandOverVM(t, g, "a", time.Second), newHandOverVM(t, g, "b", 0)
	v.joinZone(g, free, false)
	client.requestTaker = v.peers
	v.setPeerClient(client)
	return v
}

// stopIn lets the VM end what it serves after d.
func (v *handOverVM) stopIn(d time.Duration) {
	v.stopping.set(time.Now(), time.Now().Add(d))
}

// Guards against a request without an answer when its VM ends: it was offered to another VM, which says
// nothing.
func TestOfferEndsWithTheVM(t *testing.T) {
	g := gomega.NewWithT(t)
	client := &heldTaker{}
	v := newVMThatHandsOver(t, g, client)
	client.onOffer = func() { v.stopIn(50 * time.Millisecond) }
	req, route := v.request()
	start := time.Now()
	res := v.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
	g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.NotRun))
	g.Expect(res.Status).To(gomega.Equal(http.StatusServiceUnavailable))
}

// Guards against a request whose answer another VM can't deliver: this VM was told to stop while it
// offered the request.
func TestRequestIsNotHandedOverByAVMToldToStopMeanwhile(t *testing.T) {
	g := gomega.NewWithT(t)
	client := &heldTaker{offered: &offerAnswer{Accepted: true, Offer: 1}}
	v := newVMThatHandsOver(t, g, client)
	client.onOffer = func() { v.stopIn(time.Second) }
	req, route := v.request()
	res := v.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
	g.Expect(client.runs).To(gomega.BeZero())
	g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.NotRun))
}

// Guards against an end by the stop of a VM that is told as a fault of the other VM, which still works on
// the request.
func TestRequestOfAnotherVMEndsWithThisOneAsAtItsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	client := &heldTaker{offered: &offerAnswer{Accepted: true, Offer: 1}, onOffer: func() {}}
	v := newVMThatHandsOver(t, g, client)
	time.AfterFunc(50*time.Millisecond, func() { v.stopIn(50 * time.Millisecond) })
	req, route := v.request()
	res := v.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1)
	g.Expect(res.Status).To(gomega.Equal(http.StatusGatewayTimeout))
	g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.TimedOut))
	g.Expect(res.Outcome.Stopped).To(gomega.BeTrue())
	g.Expect(res.Outcome.AtWork).To(gomega.BeNumerically(">=", 50*time.Millisecond))
}

// Guards against a request without an answer when its VM ends: it waits for a slot that a keeper promised.
func TestWaitForASlotEndsWithTheVM(t *testing.T) {
	for _, waits := range []bool{false, true} {
		g := gomega.NewWithT(t)
		v := newSlotVM(t, g, "a", "127.0.0.1:1", 20*time.Second)
		v.setPeerClient(&frozenKeeper{wait: waits})
		v.setVMs([]scatter.VM{{Name: "b", Zone: "z", Power: 9}, {Name: "c", Zone: "z", Power: 9}})
		v.slots.Load().refresh(time.Now())
		time.AfterFunc(20*time.Millisecond, func() { v.stopIn(30 * time.Millisecond) })
		start := time.Now()
		res := v.ask(t.Context())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 300*time.Millisecond))
		g.Expect(res.Outcome.Verdict).To(gomega.Equal(scatter.NotRun))
		g.Expect(res.Outcome.Sent).To(gomega.BeZero())
	}
}

// Guards against a request without an answer when its VM ends: it waits for a newer manifest that may hold
// its key.
func TestWaitForAKeyEndsWithTheVM(t *testing.T) {
	g := gomega.NewWithT(t)
	m := manifestOf(1, "s3cret")
	m.Routes[0].Aim = time.Minute
	vms, engines := newVMsInProcess(2, m)
	vms.hold = make(chan struct{})
	defer close(vms.hold)
	e := engines[0]
	e.headerCodec = plainCodec{}
	e.applyLeafChanges(func(_ time.Time, r *registry.Registry) []registry.Change {
		return r.Put(registry.Leaf{ID: "l", Born: 1, Service: "s", Zone: "z", Slots: 1, Address: "127.0.0.1:1"})
	})
	e.currency.confirm(time.Now(), time.Now(), true)
	time.AfterFunc(20*time.Millisecond, func() { e.stopping.set(time.Now(), time.Now().Add(30*time.Millisecond)) })
	start := time.Now()
	w := httptest.NewRecorder()
	e.ServeHTTP(w, requestWith("/x", "Bearer other"))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 300*time.Millisecond))
	g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
}

// Guards against the answer to a request of another VM that is lost since this VM ends in the moment after
// it has run.
func TestAnswerToAnotherVMIsSentBeforeThisOneEnds(t *testing.T) {
	knownred.Skip(t)
	const rounds = 40
	lost := 0
	for range rounds {
		g := gomega.NewWithT(t)
		slow, free := newHandOverVM(t, g, "a", time.Second), newHandOverVM(t, g, "b", 0)
		slow.joinZone(g, free, false)
		free.joinZone(g, slow, true)
		leaf := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(5 * time.Millisecond)
			w.Header().Set("Receipt", "r")
		}))
		free.applyLeafChanges(func(_ time.Time, r *registry.Registry) []registry.Change {
			return r.Put(registry.Leaf{ID: "l", Born: 1, Service: "s", Zone: "z", Slots: 1, Address: leaf.Listener.Addr().String()})
		})
		done := make(chan *Result)
		req, route := slow.request()
		go func() { done <- slow.serveOrHandOver(newCallerRequest(t.Context()), req, route, origin{}, 1) }()
		g.Eventually(free.peerWork.number, "5s", "100us").Should(gomega.Equal(1))
		g.Expect(free.peerWork.close(t.Context())).To(gomega.Succeed())
		free.peers.close()
		if (<-done).Outcome.Verdict != scatter.Answered {
			lost++
		}
		leaf.Close()
	}
	gomega.NewWithT(t).Expect(lost).To(gomega.BeZero())
}

// Guards against resets of connections that a VM short of processor time has not accepted when it closes
// its listener.
func TestWaitingConnectionsAreAcceptedBeforeTheListenerCloses(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const waiting = 3
	for range waiting {
		c, err := net.Dial("tcp", ln.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer c.Close()
	}
	accepted := make(chan net.Conn, waiting)
	go func() {
		time.Sleep(acceptTime / 5)
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			accepted <- c
		}
		close(accepted)
	}()
	g.Expect(closeAccepted(ln)).To(gomega.Succeed())
	n := 0
	for c := range accepted {
		n++
		_ = c.Close()
	}
	g.Expect(n).To(gomega.Equal(waiting))
}

// Guards against a stop that waits for connections which nothing accepts.
func TestListenerClosesAlsoIfNothingAccepts(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	g.Expect(closeAccepted(ln)).To(gomega.Succeed())
	_, err = ln.Accept()
	g.Expect(err).To(gomega.MatchError(net.ErrClosed))
}
