package target

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait for an event that must happen.
const testTimeout = 20 * time.Second

// newTestClient returns a client with its own metrics and the endpoints in force.
// It is closed at the end of the test.
func newTestClient(t testing.TB, o Options, endpoints ...Endpoint) *Client {
	o.Metrics = metrics.NewSet()
	c := NewClient(o)
	t.Cleanup(c.Close)
	c.Apply(endpoints)
	return c
}

// request returns the search request r<n>.
func request(n int) LeafRequest {
	return LeafRequest{Echo: Echo{Request: "r" + strconv.Itoa(n), Snapshot: "s1"}, Kind: KindSearch, Limit: 10}
}

// testContext returns a context that ends after testTimeout.
func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// protocols holds the protocols that a Client can use, by the name of their subtests.
var protocols = map[string]Protocol{"HTTP1": HTTP1, "HTTP2": HTTP2}

// Guards against a client that can't exchange searches and submits with a target over
// one of the protocols, or that calls a target that is not in force.
func TestCallsAreAnswered(t *testing.T) {
	for name, protocol := range protocols {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakeTarget(t, "a", 0)
			c := newTestClient(t, Options{Protocol: protocol}, s.endpoint(2))
			answer, err := c.Search(testContext(t), "a", 0, request(1))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.Items).To(ConsistOf(Item{Key: "r1"}))
			submitted, err := c.Submit(testContext(t), "a", 1, SubmitRequest{Echo: Echo{Request: "r2"}, Key: "k"})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(submitted.Key).To(Equal("k"))
			_, err = c.Search(testContext(t), "b", 0, request(3))
			g.Expect(err).To(HaveField("Kind", ErrorUnknownTarget))
		})
	}
}

// Guards against calls that wait for a new connection, and against more connections
// than this VM may hold to the target. This share of two must be open before the first
// call, and 20 concurrent calls must open no more.
func TestShareIsOpenedAheadAndNeverExceeded(t *testing.T) {
	for name, protocol := range protocols {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFakeTarget(t, "a", 0)
			finish := make(chan struct{})
			s.setSearchHandler(func(w http.ResponseWriter, r *http.Request, req LeafRequest) {
				<-finish
				answerSearch(w, r, req)
			})
			c := newTestClient(t, Options{Protocol: protocol, MaxWait: testTimeout}, s.endpoint(2))
			opened := func() int { _, open, _, _ := s.counts(); return open }
			g.Eventually(opened, testTimeout).Should(Equal(2))
			var calls sync.WaitGroup
			for i := range 20 {
				calls.Go(func() {
					_, err := c.Search(testContext(t), "a", 0, request(i))
					g.Expect(err).NotTo(HaveOccurred())
				})
			}
			close(finish)
			calls.Wait()
			accepted := func() int { accepts, _, _, _ := s.counts(); return accepts }
			g.Consistently(accepted, "100ms").Should(Equal(2))
		})
	}
}

// recordingSink is a Sink that records each call as one string.
type recordingSink struct {
	mu      sync.Mutex // guards entries
	entries []string
}

// record adds an entry: parts, joined by spaces.
func (s *recordingSink) record(parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, strings.Join(parts, " "))
}

// recorded returns a copy of the entries so far.
func (s *recordingSink) recorded() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.entries...)
}

// TargetStatus records the word "status", the target's name and its state.
func (s *recordingSink) TargetStatus(target string, status Status, _ time.Time) {
	s.record("status", target, string(status.State))
}

// TargetFailed records the word "failed" and the target's name.
func (s *recordingSink) TargetFailed(target string, _ error, _ time.Time) { s.record("failed", target) }

// TargetState records the word "state", the target's name, its incarnation and its state.
func (s *recordingSink) TargetState(target, incarnation string, state State, _ time.Time) {
	s.record("state", target, incarnation, string(state))
}

// Guards against a VM that does not notice that a target drains or fails. The Sink must
// receive the results of status reads, failed ones included, and the state in the headers
// of an answer.
func TestMonitorReportsStatusAndFailure(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	sink := &recordingSink{}
	down := Endpoint{Name: "down", Address: "127.0.0.1:1", Connections: 1, HealthInterval: 20 * time.Millisecond}
	endpoints := []Endpoint{s.endpoint(1), down}
	c := newTestClient(t, Options{Sink: sink}, endpoints...)
	m := NewMonitor(MonitorOptions{Reader: c, Sink: sink})
	m.Start()
	m.Apply(endpoints)
	g.Eventually(sink.recorded, testTimeout).Should(ContainElements("status a serving", "state a one serving", "failed down"))
	g.Expect(m.Stop()).To(Succeed())
}
