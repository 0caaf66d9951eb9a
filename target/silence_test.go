package target

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// All searches that touch one target come back short, for good. A firewall
// between forgot the open connections: what is sent on them is lost, without
// FIN or RST, while new connections work. Found are they only by what they do
// not deliver; closed and replaced, within the share, calls work again.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	forProtocols(t, 3, Options{ProbeTimeout: 100 * time.Millisecond}, func(g *WithT, s *fakeTarget, c *Client) {
		s.forEachConn(silence)
		for n := range 3 {
			g.Eventually(func() error { _, err := searchWithin(200*time.Millisecond, c, n); return err }, testTimeout).Should(Succeed())
		}
	})
}

// A target refuses this VM's new connections. It still counts the ones that
// went silent, of whose end it never hears. One found silent has the others
// asked too, and their places in the share stay taken while they are replaced.
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

// The reader of the status goes blind: its one connection went silent while
// idle, and the target's drain is not noticed. A read that times out closes
// the connection, so that the next one has a fresh connection.
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

// One call on a silent connection would take the others along. While a call
// waits without a byte, later calls go to the other connections.
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

// Searches of one target are slow for a multiple of SuspectAfter. All of its
// connections went silent together, and calls found them one after another:
// what was learned of the first was not held against the others. The first
// suspicion has all of them asked, and calls go to those that answer.
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
