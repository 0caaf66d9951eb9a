package target

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against searches that permanently miss the shards of one target. A firewall
// on the path has lost the state of the open connections: data sent on them is
// dropped without FIN or RST, while new connections work. Such connections can only
// be detected because nothing arrives on them. They must be closed and replaced
// within this VM's share of the target's connections, so that calls work again.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	forProtocols(t, 3, Options{ProbeTimeout: 100 * time.Millisecond}, func(g *WithT, s *fakeTarget, c *Client) {
		s.forEachConn(silence)
		for n := range 3 {
			g.Eventually(func() error { _, err := searchWithin(200*time.Millisecond, c, n); return err }, testTimeout).Should(Succeed())
		}
	})
}

// Guards against a target that refuses this VM's new connections, because it still
// counts the silent ones, whose close it never sees. When one connection is found
// silent, the others must be probed too. Silent connections must count against this
// VM's share of the target's connections while they are replaced.
func TestSilentConnectionsCountAgainstShare(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	c := newTestClient(t, Options{SuspectAfter: testTimeout, ProbeTimeout: 100 * time.Millisecond}, s.endpoint(5))
	waitOpen(c, 3)
	s.forEachConn(silence)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Status(ctx, "a")
	g.Expect(err).To(HaveField("Kind", ErrorDeadline))
	g.Eventually(counter(c, "silent_connections_total"), testTimeout).Should(BeEquivalentTo(3))
	g.Eventually(counter(c, "connections_opened_total"), testTimeout).Should(BeEquivalentTo(5))
	_, err = c.Search(testContext(t), "a", 0, request(1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Consistently(func() int { _, _, maxOpen, _ := s.counts(); return maxOpen }, "200ms").Should(Equal(5))
}

// newClientWithOneConn returns a client with a share of one connection to the target, which is open. It
// finds silence within 70 ms.
func newClientWithOneConn(t *testing.T, s *fakeTarget, o Options) *Client {
	o.SuspectAfter, o.ProbeTimeout = 20*time.Millisecond, 50*time.Millisecond
	c := newTestClient(t, o, s.endpoint(1))
	waitOpen(c, 1)
	return c
}

// never is an Options.MayExceedShare.
func never(string) bool { return false }

// A target's process is paused, so that this VM's only connection to it goes silent, and then
// resumes. While the target may count the silent connection, this VM must open none unless it
// may exceed its share, and calls must fail at once, so that they are made through another
// owner. When the target has closed its end, calls must work again.
func TestSilentConnectionHoldsShareUntilTargetClosesIt(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	c := newClientWithOneConn(t, s, Options{MaxWait: testTimeout, MayExceedShare: never})
	s.forEachConn(silence)
	_, err := searchWithin(200*time.Millisecond, c, 0)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(func() error { _, err := c.Search(testContext(t), "a", 0, request(1)); return err }, testTimeout).
		Should(And(HaveField("Kind", ErrorUnreachable), HaveField("NotStarted", true)))
	g.Consistently(s.accepted, "300ms").Should(Equal(1))
	s.forEachConn(breakConn)
	g.Eventually(func() error { _, err := c.Search(testContext(t), "a", 0, request(2)); return err }, testTimeout).Should(Succeed())
}

// All VMs that own connections to a target have lost them to silence at the same time. The
// one that may exceed its share must replace its connection although the target may still
// count the old one, also if it may do so only later.
func TestSilentConnectionIsReplacedBeyondShare(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	var mayExceed atomic.Bool
	c := newClientWithOneConn(t, s, Options{MayExceedShare: func(string) bool { return mayExceed.Load() }})
	s.forEachConn(silence)
	search := func() error { _, err := searchWithin(200*time.Millisecond, c, 0); return err }
	g.Expect(search()).To(HaveOccurred())
	g.Eventually(search, testTimeout).Should(HaveField("Kind", ErrorUnreachable))
	mayExceed.Store(true)
	g.Eventually(search, testTimeout).Should(Succeed())
	_, _, maxOpen, _ := s.counts()
	g.Expect(maxOpen).To(Equal(2))
}

// A target's process is paused for longer than it takes to find a connection silent. The call
// on that connection must be answered when the process resumes, and later calls must work,
// all over the same connection.
func TestCallIsAnsweredAfterPauseOfTarget(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	c := newClientWithOneConn(t, s, Options{MayExceedShare: never})
	resume := s.pause()
	defer resume()
	answered := make(chan error, 1)
	go func() { _, err := c.Search(testContext(t), "a", 0, request(1)); answered <- err }()
	g.Eventually(counter(c, "silent_connections_total"), testTimeout).Should(BeEquivalentTo(1))
	_, err := c.Search(testContext(t), "a", 0, request(2))
	g.Expect(err).To(And(HaveField("Kind", ErrorUnreachable), HaveField("NotStarted", true)))
	g.Consistently(answered, "300ms").ShouldNot(Receive())
	resume()
	g.Eventually(answered, testTimeout).Should(Receive(BeNil()))
	g.Eventually(func() error { _, err := c.Search(testContext(t), "a", 0, request(3)); return err }, testTimeout).Should(Succeed())
	g.Expect(s.accepted()).To(Equal(1))
}

// A target's process is paused while a VM opens a connection beyond its share, which the
// target counts as soon as it resumes. The VM must not open one after another.
func TestUnansweredConnectionIsNotReplaced(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	c := newClientWithOneConn(t, s, Options{DialTimeout: 50 * time.Millisecond})
	resume := s.pause()
	defer resume()
	_, err := searchWithin(200*time.Millisecond, c, 0)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(s.accepted, testTimeout).Should(Equal(2))
	g.Consistently(s.accepted, "500ms").Should(Equal(2))
	resume()
	g.Eventually(func() error { _, err := searchWithin(200*time.Millisecond, c, 0); return err }, testTimeout).Should(Succeed())
	g.Eventually(func() int { _, open, _, _ := s.counts(); return open }, testTimeout).Should(Equal(1))
}

// While a target doesn't answer, it closes its end of the connection that was found silent. The
// connection that was opened beyond the share then takes its place, although the target has not
// answered on it yet. The VM must not open another one beside it.
func TestUnansweredConnectionTakesPlaceOfClosedOne(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	c := newClientWithOneConn(t, s, Options{DialTimeout: 50 * time.Millisecond})
	resume := s.pause()
	defer resume()
	_, err := searchWithin(200*time.Millisecond, c, 0)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(counter(c, "dial_errors_total"), testTimeout).Should(BeEquivalentTo(1))
	s.mu.Lock()
	breakConn(s.conns[0])
	s.mu.Unlock()
	g.Eventually(counter(c, "connections_closed_total"), testTimeout).Should(BeEquivalentTo(1))
	g.Consistently(s.accepted, "500ms").Should(Equal(2))
	resume()
	g.Eventually(func() error { _, err := searchWithin(200*time.Millisecond, c, 0); return err }, testTimeout).Should(Succeed())
	g.Expect(s.accepted()).To(Equal(2))
}

// A VM loses its place, and with it its share of a target's connections, while its connection to
// that target is silent. It must close it at once: its successor opens another one.
func TestSilentConnectionIsClosedWithoutShare(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	c := newClientWithOneConn(t, s, Options{SilentWait: time.Hour, MayExceedShare: never})
	p := c.pool("a")
	s.forEachConn(silence)
	_, err := searchWithin(200*time.Millisecond, c, 0)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(p.allSilent, testTimeout).Should(BeTrue())
	c.Apply([]Endpoint{s.endpoint(0)})
	closing := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.conns[0].closing
	}
	g.Eventually(closing, testTimeout).Should(BeTrue())
}

// Guards against a Monitor that no longer gets a target's status, so that the
// target's drain is not noticed. Its only connection has gone silent while idle. A
// read that times out must take the connection out of use, so that the next read
// uses a new one.
func TestMonitorRecoversFromSilentConnection(t *testing.T) {
	forProtocols(t, 1, Options{}, func(g *WithT, s *fakeTarget, c *Client) {
		s.forEachConn(silence)
		sink := &recordingSink{}
		m := NewMonitor(MonitorOptions{Reader: c, Sink: sink})
		m.Start()
		m.Apply([]Endpoint{s.endpoint(1)})
		g.Eventually(sink.recorded, testTimeout).Should(ContainElement("status a serving"))
		g.Expect(m.Stop()).To(Succeed())
	})
}

// Guards against calls that fail because they are sent on a silent connection, although
// an earlier call already waits on it for data. While a call waits and nothing is
// received, later calls must use the other connections.
func TestSuspectConnectionIsAvoided(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	c := newTestClient(t, Options{SuspectAfter: time.Millisecond, ProbeTimeout: testTimeout}, s.endpoint(2))
	waitOpen(c, 2)
	s.mu.Lock()
	s.conns[0].silent.Store(true)
	s.mu.Unlock()
	g.Eventually(func() error { _, err := searchWithin(100*time.Millisecond, c, 0); return err }, testTimeout).ShouldNot(Succeed())
	for n := range 50 {
		_, err := c.Search(testContext(t), "a", 0, request(n))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(counter(c, "silent_connections_total")()).To(BeZero())
}

// Guards against searches of one target that are slow for a multiple of
// SuspectAfter. All connections of the target have gone silent together, and calls
// find them one after another. When the first connection becomes suspect, all must
// be probed, so that calls use those that answer.
func TestSuspectConnectionTriggersProbeOfAll(t *testing.T) {
	g := NewWithT(t)
	s := newFakeTarget(t, "a", 0)
	c := newTestClient(t, Options{SuspectAfter: 50 * time.Millisecond, ProbeTimeout: time.Minute}, s.endpoint(3))
	waitOpen(c, 3)
	calls := counter(c, "calls_total")
	before := calls()
	s.forEachConn(silence)
	_, err := searchWithin(100*time.Millisecond, c, 0)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(calls, testTimeout).Should(BeEquivalentTo(before+1+3), "one search and three probes")
}
