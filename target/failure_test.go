package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// forProtocols runs a test over both protocols, each with a target "a" and a client
// that has all connections of its share open.
func forProtocols(t *testing.T, connections int, o Options, test func(g *WithT, s *fakeTarget, c *Client)) {
	for name, protocol := range protocols {
		t.Run(name, func(t *testing.T) {
			s := newFakeTarget(t, "a", 0)
			o.Protocol = protocol
			c := newTestClient(t, o, s.endpoint(connections))
			waitOpen(c, connections)
			test(NewWithT(t), s, c)
		})
	}
}

// searchWithin sends search n to target "a" with a time limit.
func searchWithin(limit time.Duration, c *Client, n int) (LeafAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return c.Search(ctx, "a", 0, request(n))
}

// startBlockedSearch sends a search and returns when the target has begun to run it. The
// target runs the search until the caller closes finish; the search's error, or nil, is
// then sent to done. Later searches are answered at once.
func (s *fakeTarget) startBlockedSearch(g *WithT, c *Client) (done chan error, finish chan struct{}) {
	began := make(chan struct{}, 1)
	done, finish = make(chan error, 1), make(chan struct{})
	s.setSearchHandler(func(w http.ResponseWriter, r *http.Request, req LeafRequest) {
		began <- struct{}{}
		<-finish
		answerSearch(w, r, req)
	})
	go func() { _, err := searchWithin(testTimeout, c, 1); done <- err }()
	g.Eventually(began, testTimeout).Should(Receive())
	s.setSearchHandler(answerSearch)
	return done, finish
}

// counter returns a function that reads the client's counter bramley_target_<name>.
func counter(c *Client, name string) func() uint64 {
	return c.opts.Metrics.GetOrCreateCounter("bramley_target_" + name).Get
}

// Guards against a submit that runs twice. The target runs the submit, and the
// connection breaks before the answer. net/http mistakes this for a connection that
// was closed while idle, and resends the request by itself. The control shows that
// net/http resends a request whose body can be rewound.
func TestSubmitIsNeverReplayed(t *testing.T) {
	forProtocols(t, 2, Options{}, func(g *WithT, s *fakeTarget, c *Client) {
		s.setAfterSubmit(func() { s.forEachConn(breakConn) })
		_, err := c.Submit(testContext(t), "a", 0, SubmitRequest{Key: "k"})
		g.Expect(err).To(And(HaveField("Kind", ErrorBroken), HaveField("NotStarted", false)))
		g.Eventually(func() error { _, err := c.Status(testContext(t), "a"); return err }, testTimeout).Should(Succeed())
		_, _, _, submits := s.counts()
		g.Expect(submits).To(Equal(1))
	})
	t.Run("control", func(t *testing.T) {
		g := NewWithT(t)
		s := newFakeTarget(t, "a", 0)
		plain := &http.Transport{}
		defer plain.CloseIdleConnections()
		send := func() {
			req, err := http.NewRequestWithContext(testContext(t), http.MethodPost, "http://"+s.address+leafPath(0, "submit"), bytes.NewReader([]byte("{}")))
			g.Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Idempotency-Key", "k")
			if resp, err := plain.RoundTrip(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
		send()
		s.setAfterSubmit(func() { s.forEachConn(breakConn) })
		send()
		_, _, _, submits := s.counts()
		g.Expect(submits).To(BeNumerically(">", 2))
	})
}

// Guards against a call that fails as not started although the target runs it: the call
// ends while a goroutine of net/http is about to write the request, and the request is
// still sent. A body that was read must not be sealed, and a sealed one must not be read.
func TestBodyIsReadOrSealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := newRequestBody([]byte("report"))
		read, sealed := false, false
		for _, seal := range rapid.SliceOfN(rapid.Bool(), 1, 6).Draw(t, "order") {
			if seal {
				notStarted := body.seal()
				if notStarted == read {
					t.Fatalf("read %v, sealed as not started %v", read, notStarted)
				}
				sealed = notStarted
				continue
			}
			n, err := body.Read(make([]byte, 2))
			if sealed && (n > 0 || err == nil) {
				t.Fatal("a sealed body was read")
			}
			read = read || n > 0
		}
	})
}

// Guards against a caller that gets another request's result, because a leaf's answer was
// swapped with another one or came late. The first call in this test gets an answer to
// another attempt. The call must fail, and the connection that delivered the answer must
// not carry another call.
func TestMismatchedAnswersAreRejected(t *testing.T) {
	forProtocols(t, 1, Options{}, func(g *WithT, s *fakeTarget, c *Client) {
		s.setSearchHandler(func(w http.ResponseWriter, r *http.Request, req LeafRequest) {
			other := req
			other.Attempt++
			answerSearch(w, r, other)
		})
		_, err := c.Search(testContext(t), "a", 0, request(1))
		g.Expect(err).To(HaveField("Kind", ErrorMismatched))
		g.Expect(counter(c, "mismatched_answers_total")()).To(BeEquivalentTo(1))
		s.setSearchHandler(answerSearch)
		g.Eventually(func() error { _, err := c.Search(testContext(t), "a", 0, request(2)); return err }, testTimeout).Should(Succeed())
		accepts, _, maxOpen, _ := s.counts()
		g.Expect([]int{accepts, maxOpen}).To(Equal([]int{2, 1}))
	})
}

// Guards against a target that refuses connections of other VMs. This VM closes a
// connection and opens a replacement, but the busy target has not yet noticed the
// close and counts both. The replacement must wait until the target has closed its
// end.
func TestReplacementWaitsForTargetClose(t *testing.T) {
	for name, protocol := range protocols {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakeTarget(t, "a", 0)
			s.closeDelay = 30 * time.Millisecond
			c := newTestClient(t, Options{Protocol: protocol}, s.endpoint(1))
			waitOpen(c, 1)
			for n := range 3 {
				s.setSearchHandler(func(w http.ResponseWriter, r *http.Request, _ LeafRequest) { answerSearch(w, r, LeafRequest{}) })
				_, err := c.Search(testContext(t), "a", 0, request(n))
				g.Expect(err).To(HaveField("Kind", ErrorMismatched))
				s.setSearchHandler(answerSearch)
				g.Eventually(func() error { _, err := c.Search(testContext(t), "a", 0, request(n)); return err }, testTimeout).Should(Succeed())
			}
			accepts, _, maxOpen, _ := s.counts()
			g.Expect([]int{accepts, maxOpen}).To(Equal([]int{4, 1}))
		})
	}
}

// Guards against a duplicated answer over HTTP/1.1 that is mistaken for the answer to
// the next request. The copy has already arrived when the next request is sent.
func TestDuplicateAnswerIsRejected(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	c := newTestClient(t, Options{Protocol: HTTP1}, s.endpoint(1))
	waitOpen(c, 1)
	s.forEachConn(func(sc *serverConn) { sc.duplicateWrites.Store(true) })
	for n := range 5 {
		g.Eventually(func() error {
			answer, err := c.Search(testContext(t), "a", 0, request(n))
			if err == nil {
				g.Expect(answer.Echo).To(Equal(request(n).Echo))
			}
			return err
		}, testTimeout).Should(Succeed())
	}
}

// Guards against a target that works for callers that are no longer waiting. The
// deadline is sent as the time left, and cancelling a call also cancels it at the
// target. Over HTTP/2 the connection stays open.
func TestDeadlineAndCancellationReachTheTarget(t *testing.T) {
	forProtocols(t, 1, Options{}, func(g *WithT, s *fakeTarget, c *Client) {
		limits, ended := make(chan int64, 1), make(chan struct{})
		s.setSearchHandler(func(_ http.ResponseWriter, r *http.Request, req LeafRequest) {
			limits <- req.DeadlineMS
			<-r.Context().Done()
			close(ended)
		})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		failed := make(chan error, 1)
		go func() { _, err := c.Search(ctx, "a", 0, request(1)); failed <- err }()
		g.Expect(<-limits).To(BeNumerically("~", testTimeout.Milliseconds(), 5000))
		cancel()
		g.Eventually(ended, testTimeout).Should(BeClosed())
		g.Expect(<-failed).To(And(HaveField("Kind", ErrorCancelled), HaveField("NotStarted", false)))
		if c.opts.Protocol == HTTP2 {
			g.Expect(counter(c, "connections_opened_total")()).To(BeEquivalentTo(1))
		}
	})
}

// Guards against a submit whose outcome counts as unknown although it was never sent. A
// call that can't be sent must fail at once, as not started.
func TestCallsWithoutConnectionAreNotStarted(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	down := Endpoint{Name: "down", Address: listener.Addr().String(), Connections: 1}
	g.Expect(listener.Close()).To(Succeed())
	c := newTestClient(t, Options{}, down, Endpoint{Name: "none", Address: down.Address})
	for target, kind := range map[string]ErrorKind{"down": ErrorUnreachable, "none": ErrorBusy, "gone": ErrorUnknownTarget} {
		_, err := c.Submit(testContext(t), target, 0, SubmitRequest{Key: "k"})
		g.Expect(err).To(And(HaveField("Kind", kind), HaveField("NotStarted", true)), target)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Submit(ctx, "down", 0, SubmitRequest{Key: "k"})
	g.Expect(err).To(HaveField("NotStarted", true))
}

// Guards against an invalid answer that reaches a caller as an empty but complete one.
// Answers that violate the protocol or a limit must be errors.
func TestInvalidAnswersAreErrors(t *testing.T) {
	echo := `"request":"r1","snapshot":"s1"`
	cases := map[string]struct {
		status int
		body   string
		want   CallError
	}{
		"not JSON":         {200, `<html>`, CallError{Kind: ErrorMalformed}},
		"cut off":          {200, `{` + echo, CallError{Kind: ErrorMalformed}},
		"too large":        {200, `{` + echo + strings.Repeat(" ", 2000) + `}`, CallError{Kind: ErrorMalformed}},
		"empty":            {200, `{}`, CallError{Kind: ErrorMismatched}},
		"more than limit":  {200, `{` + echo + `,"items":[` + strings.Repeat(`{},`, 10) + `{}]}`, CallError{Kind: ErrorMalformed}},
		"missing too many": {200, `{` + echo + `,"records":1,"missing":2}`, CallError{Kind: ErrorMalformed}},
		"unknown status":   {404, `{}`, CallError{Kind: ErrorStatus}},
		"refused":          {503, `{"reason":"shed","not_started":true,"retry_after_ms":70}`, CallError{Kind: ErrorRefused, Reason: ReasonShed, NotStarted: true, RetryAfter: 70 * time.Millisecond}},
		"refused, started": {503, `{"reason":"draining"}`, CallError{Kind: ErrorRefused, Reason: ReasonDraining}},
		"other's refusal":  {503, `{"reason":"shed","not_started":true,"echo":{"request":"r9"}}`, CallError{Kind: ErrorMismatched}},
		"refusal not JSON": {503, `busy`, CallError{Kind: ErrorMalformed}},
	}
	forProtocols(t, 1, Options{MaxAnswerBytes: 1000, MaxWait: testTimeout}, func(g *WithT, s *fakeTarget, c *Client) {
		for name, k := range cases {
			s.setSearchHandler(func(w http.ResponseWriter, _ *http.Request, _ LeafRequest) {
				w.Header().Set(HeaderIncarnation, "one")
				w.WriteHeader(k.status)
				_, _ = io.WriteString(w, k.body)
			})
			_, err := c.Search(testContext(t), "a", 0, request(1))
			got, ok := err.(*CallError)
			g.Expect(ok).To(BeTrue(), name)
			want := k.want
			want.Target, want.Incarnation, want.cause = "a", "one", got.cause
			g.Expect(*got).To(Equal(want), name)
		}
	})
}

// Guards against calls that fail when a bundle removes a target or changes its address.
// The target's connections must close only once they are idle.
func TestRemovedEndpointFinishesItsCalls(t *testing.T) {
	forProtocols(t, 2, Options{}, func(g *WithT, s *fakeTarget, c *Client) {
		done, finish := s.startBlockedSearch(g, c)
		c.Apply(nil)
		open := func() int { _, open, _, _ := s.counts(); return open }
		g.Eventually(open, testTimeout).Should(Equal(1))
		close(finish)
		g.Expect(<-done).NotTo(HaveOccurred())
		g.Eventually(open, testTimeout).Should(BeZero())
	})
}

// Guards against a target that refuses connections after a recall. A bundle removes
// the target while calls run on it, and the recall adds it again. The connections
// of those calls must still count against this VM's share of the target's connections.
func TestReaddedEndpointKeepsItsShare(t *testing.T) {
	forProtocols(t, 1, Options{MaxWait: testTimeout}, func(g *WithT, s *fakeTarget, c *Client) {
		done, finish := s.startBlockedSearch(g, c)
		c.Apply(nil)
		c.Apply([]Endpoint{s.endpoint(1)})
		again := make(chan error, 1)
		go func() { _, err := c.Search(testContext(t), "a", 0, request(2)); again <- err }()
		g.Consistently(func() int { _, open, _, _ := s.counts(); return open }, "50ms").Should(Equal(1))
		close(finish)
		g.Expect(<-done).NotTo(HaveOccurred())
		g.Expect(<-again).NotTo(HaveOccurred())
		_, _, maxOpen, _ := s.counts()
		g.Expect(maxOpen).To(Equal(1))
	})
}

// Guards against searches that fail during a rolling restart of targets. A target
// that shuts down gracefully signals to its clients not to start new calls on its
// connections. Calls in progress on them must be allowed to finish.
func TestGracefulTargetShutdownFinishesCalls(t *testing.T) {
	forProtocols(t, 1, Options{}, func(g *WithT, s *fakeTarget, c *Client) {
		done, finish := s.startBlockedSearch(g, c)
		stopped := make(chan error, 1)
		go func() { stopped <- s.server.Shutdown(testContext(t)) }()
		if c.opts.Protocol == HTTP2 {
			g.Eventually(c.pool("a").conns[0].http.Available, testTimeout).Should(BeZero())
		}
		c.pool("a").sweep()
		close(finish)
		g.Expect(<-done).NotTo(HaveOccurred())
		g.Expect(<-stopped).NotTo(HaveOccurred())
	})
}

// Guards against calls that accumulate behind a slow target until the VM runs out of
// memory. The number of calls that wait for a connection and the time of the wait
// are bounded. Calls that exceed a bound fail as not started.
func TestWaitForConnectionIsBounded(t *testing.T) {
	busy := And(HaveField("Kind", ErrorBusy), HaveField("NotStarted", true))
	for name, o := range map[string]Options{
		"time":   {Protocol: HTTP1, MaxWait: time.Millisecond},
		"number": {Protocol: HTTP1, MaxWait: testTimeout, MaxWaiters: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakeTarget(t, "a", 0)
			c := newTestClient(t, o, s.endpoint(1))
			waitOpen(c, 1)
			done, finish := s.startBlockedSearch(g, c)
			if o.MaxWaiters > 0 {
				go func() { _, _ = searchWithin(testTimeout, c, 2) }()
				g.Eventually(c.pool("a").numWaiting.Load, testTimeout).Should(BeEquivalentTo(1))
			}
			_, err := c.Search(testContext(t), "a", 0, request(3))
			g.Expect(err).To(busy)
			close(finish)
			g.Expect(<-done).NotTo(HaveOccurred())
		})
	}
}

// Guards against a restarted target that spends all its time on new connections,
// because every VM opens its connections at the same time. In every sequence of
// events, new connections to one target are at least half of the pacer's mean pause
// apart, and failures only lengthen the pause.
func TestNewConnectionsArePaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p pacer
		o := Options{}.withDefaults()
		cost := time.Duration(rapid.IntRange(0, 50).Draw(t, "cost")) * time.Millisecond
		p.setLimits(cost, &o)
		now := time.Unix(1000, 0)
		for _, event := range rapid.SliceOf(rapid.SampledFrom([]string{"opened", "closed", "failed"})).Draw(t, "events") {
			before := p.notBefore
			switch event {
			case "opened":
				p.opened(now)
			case "closed":
				p.closed(now)
				if p.notBefore.Before(before) {
					t.Fatal("a closed connection moved the time of the next one forward")
				}
			case "failed":
				p.failed(now)
			}
			wait := p.notBefore.Sub(now)
			if wait < max(cost, o.MinPace/2) || wait > 2*max(o.MaxBackoff, p.pause) {
				t.Fatalf("pause of %s after %s", wait, event)
			}
			now = p.notBefore
		}
	})
}
