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

// forProtocols runs a test over both protocols, each with a target "a" and a
// client that is allowed some connections to it, all of them open.
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

func searchWithin(limit time.Duration, c *Client, n int) (LeafAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return c.Search(ctx, "a", 0, request(n))
}

// startBlockedSearch sends a search that the target runs until finish is closed.
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

func counter(c *Client, name string) func() uint64 {
	return c.opts.Metrics.GetOrCreateCounter("bramley_target_" + name).Get
}

// A withdrawal report shows up twice in the totals. The target ran the report,
// and the connection broke before the answer; net/http took that for a
// connection closed while idle and sent the report again by itself. The
// control shows that this really happens to a request that can be rewound.
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

// A caller was told that its report was not run, and it was. The call ended
// while a goroutine of net/http was still about to write the request, which
// then went out. Sealing the body settles it: read first, or never read.
func TestBodyIsReadOrSealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := newRequestBody([]byte("report"))
		handed, sealed := false, false
		for _, seal := range rapid.SliceOfN(rapid.Bool(), 1, 6).Draw(t, "order") {
			if seal {
				notStarted := body.seal()
				if notStarted == handed {
					t.Fatalf("handed %v, sealed as not started %v", handed, notStarted)
				}
				sealed = notStarted
				continue
			}
			n, err := body.Read(make([]byte, 2))
			if sealed && (n > 0 || err == nil) {
				t.Fatal("a sealed body was read")
			}
			handed = handed || n > 0
		}
	})
}

// An inspector sees another farm's permits. A leaf's answer came late or
// crossed, and was taken for the answer to the next request. Both calls here
// get an answer made for the other; neither may see it, and the connection
// that carried it must not carry another call.
func TestMismatchedAnswersAreRejected(t *testing.T) {
	forProtocols(t, 1, Options{}, func(g *WithT, s *fakeTarget, c *Client) {
		s.setSearchHandler(func(w http.ResponseWriter, r *http.Request, req LeafRequest) {
			crossed := req
			crossed.Attempt++
			answerSearch(w, r, crossed)
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

// A target refuses other VMs' connections. This VM had closed one and opened
// another in its place, but the busy target had not yet noticed the close and
// counted both. The place is free only once the target has closed its end.
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

// The same over HTTP/1.1, where something on the way repeats an answer: the
// copy waits in the connection when the next request is sent.
func TestDuplicateAnswerIsRejected(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	c := newTestClient(t, Options{Protocol: HTTP1}, s.endpoint(1))
	waitOpen(c, 1)
	s.forEachConn(func(l *serverConn) { l.duplicateWrites.Store(true) })
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

// A target works on for callers who have left. The deadline goes out as the
// time left, and a cancelled call ends at the target; over HTTP/2 it costs no
// connection.
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

// What can't be sent fails at once and is called not started.
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

// Answers that break the protocol or a bound are errors, and their text never
// reaches a caller as an empty but whole answer.
func TestBadAnswers(t *testing.T) {
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
		"more than asked":  {200, `{` + echo + `,"items":[` + strings.Repeat(`{},`, 10) + `{}]}`, CallError{Kind: ErrorMalformed}},
		"missing too many": {200, `{` + echo + `,"records":1,"missing":2}`, CallError{Kind: ErrorMalformed}},
		"unknown status":   {404, `{}`, CallError{Kind: ErrorStatus}},
		"refused":          {503, `{"reason":"shed","not_started":true,"retry_after_ms":70}`, CallError{Kind: ErrorRefused, Reason: ReasonShed, NotStarted: true, RetryAfter: 70 * time.Millisecond}},
		"refused, started": {503, `{"reason":"draining"}`, CallError{Kind: ErrorRefused, Reason: ReasonDraining}},
		"other's refusal":  {503, `{"reason":"shed","not_started":true,"echo":{"request":"r9"}}`, CallError{Kind: ErrorMismatched}},
		"refusal unclear":  {503, `busy`, CallError{Kind: ErrorMalformed}},
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

// A bundle takes a target out, or moves it: its connections close once idle,
// and the call on one of them is answered.
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

// A target refuses connections after a recall. The bundle before had taken it
// out while calls ran there, and the recall put it back: the connections of
// those calls still count against the share of the new ones.
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

// A rolling restart of targets cuts searches off. A target that stops in good
// order asks its clients to use no connection for new calls; what runs on them
// must be left to end.
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

// Calls pile up behind a slow target until the VM runs out of memory. Only so
// many wait for a connection, and only for so long; none of them was started.
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

// After a restart of a target every VM wants its connections back at once, and
// the target spends all its time on them. Whatever happens, two connections to
// one target are at least half a pause apart, and failures only lengthen it.
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
					t.Fatal("a closed connection hastened the next")
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
