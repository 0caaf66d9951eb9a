package target

import (
	"context"
	"encoding/json"
	"net"
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

const patience = 20 * time.Second

// standIn is a target in this process.
type standIn struct {
	name    string
	server  *http.Server
	address string

	mu      sync.Mutex // guards what follows
	search  func(w http.ResponseWriter, r *http.Request, req LeafRequest)
	submits int // requests run
	accepts int
	open    int
	maxOpen int
}

func newStandIn(t testing.TB, name string) *standIn {
	s := &standIn{name: name, search: answerSearch}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /leaves/{leaf}/search", s.serveSearch)
	mux.HandleFunc("POST /leaves/{leaf}/submit", s.serveSubmit)
	mux.HandleFunc("GET "+PathStatus, s.serveStatus)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.server = &http.Server{Handler: mux, Protocols: protocols, ConnState: s.count}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	done := make(chan struct{})
	go func() { defer close(done); _ = s.server.Serve(listener) }()
	t.Cleanup(func() { s.server.Close(); <-done })
	return s
}

func (s *standIn) count(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.accepts++
		s.open++
		s.maxOpen = max(s.maxOpen, s.open)
	case http.StateClosed:
		s.open--
	}
}

func (s *standIn) counts() (accepts, open, maxOpen, submits int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepts, s.open, s.maxOpen, s.submits
}

func (s *standIn) onSearch(f func(http.ResponseWriter, *http.Request, LeafRequest)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.search = f
}

func writeAnswer(w http.ResponseWriter, answer any) {
	w.Header().Set(HeaderIncarnation, "one")
	w.Header().Set(HeaderState, string(StateServing))
	_ = json.NewEncoder(w).Encode(answer)
}

func answerSearch(w http.ResponseWriter, _ *http.Request, req LeafRequest) {
	writeAnswer(w, LeafAnswer{Echo: req.Echo, Records: 10, Complete: true, Items: []Item{{Key: req.Request}}})
}

func (s *standIn) serveSearch(w http.ResponseWriter, r *http.Request) {
	var req LeafRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.search
	s.mu.Unlock()
	f(w, r, req)
}

func (s *standIn) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var req SubmitRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.submits++
	s.mu.Unlock()
	writeAnswer(w, SubmitAnswer{Echo: req.Echo, Key: req.Key})
}

func (s *standIn) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeAnswer(w, Status{Target: s.name, Incarnation: "one", State: StateServing})
}

func (s *standIn) endpoint(connections int) Endpoint {
	return Endpoint{Name: s.name, Address: s.address, Connections: connections, ConnectCost: time.Millisecond,
		HealthInterval: 20 * time.Millisecond, HealthTimeout: 200 * time.Millisecond}
}

func newTestClient(t testing.TB, o Options, endpoints ...Endpoint) *Client {
	o.Metrics = metrics.NewSet()
	c := NewClient(o)
	t.Cleanup(c.Close)
	c.Apply(endpoints)
	return c
}

func request(n int) LeafRequest {
	return LeafRequest{Echo: Echo{Request: "r" + strconv.Itoa(n), Snapshot: "s1"}, Kind: KindSearch, Limit: 10}
}

func soon(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

var protocols = map[string]Protocol{"HTTP1": HTTP1, "HTTP2": HTTP2}

func TestCallsAreAnswered(t *testing.T) {
	for name, protocol := range protocols {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newStandIn(t, "a")
			c := newTestClient(t, Options{Protocol: protocol}, s.endpoint(2))
			answer, err := c.Search(soon(t), "a", 0, request(1))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.Items).To(ConsistOf(Item{Key: "r1"}))
			submitted, err := c.Submit(soon(t), "a", 1, SubmitRequest{Echo: Echo{Request: "r2"}, Key: "k"})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(submitted.Key).To(Equal("k"))
			_, err = c.Search(soon(t), "b", 0, request(3))
			g.Expect(err).To(HaveField("Kind", ErrorUnknownTarget))
		})
	}
}

// A share of two is opened ahead of the calls, and no more than that.
func TestShareIsWarmedAndNeverExceeded(t *testing.T) {
	for name, protocol := range protocols {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newStandIn(t, "a")
			hold := make(chan struct{})
			s.onSearch(func(w http.ResponseWriter, r *http.Request, req LeafRequest) {
				<-hold
				answerSearch(w, r, req)
			})
			c := newTestClient(t, Options{Protocol: protocol, MaxWait: patience}, s.endpoint(2))
			opened := func() int { _, open, _, _ := s.counts(); return open }
			g.Eventually(opened, patience).Should(Equal(2))
			var calls sync.WaitGroup
			for i := range 20 {
				calls.Go(func() {
					_, err := c.Search(soon(t), "a", 0, request(i))
					g.Expect(err).NotTo(HaveOccurred())
				})
			}
			close(hold)
			calls.Wait()
			accepts, _, maxOpen, _ := s.counts()
			g.Expect([]int{accepts, maxOpen}).To(Equal([]int{2, 2}))
		})
	}
}

// sinkRecord keeps what a Sink was told, as one word each.
type sinkRecord struct {
	mu    sync.Mutex // guards words
	words []string
}

func (s *sinkRecord) add(words ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words = append(s.words, strings.Join(words, " "))
}

func (s *sinkRecord) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.words...)
}

func (s *sinkRecord) TargetStatus(target string, status Status, _ time.Time) {
	s.add("status", target, string(status.State))
}
func (s *sinkRecord) TargetFailed(target string, _ error, _ time.Time) { s.add("failed", target) }
func (s *sinkRecord) TargetState(target, incarnation string, state State, _ time.Time) {
	s.add("state", target, incarnation, string(state))
}

func TestMonitorTellsStatusAndFailure(t *testing.T) {
	g := NewWithT(t)
	s := newStandIn(t, "a")
	sink := &sinkRecord{}
	down := Endpoint{Name: "down", Address: "127.0.0.1:1", Connections: 1, HealthInterval: 20 * time.Millisecond}
	endpoints := []Endpoint{s.endpoint(1), down}
	c := newTestClient(t, Options{Sink: sink}, endpoints...)
	m := NewMonitor(MonitorOptions{Reader: c, Sink: sink})
	m.Start()
	m.Apply(endpoints)
	g.Eventually(sink.all, patience).Should(ContainElements("status a serving", "state a one serving", "failed down"))
	g.Expect(m.Stop()).To(Succeed())
}
