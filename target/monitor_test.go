package target

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// countingReader is a reader and sink that counts.
type countingReader struct{ reads chan string }

func (c countingReader) Status(_ context.Context, name string) (Status, error) {
	c.reads <- name
	return Status{Target: name}, nil
}
func (countingReader) TargetStatus(string, Status, time.Time)       {}
func (countingReader) TargetFailed(string, error, time.Time)        {}
func (countingReader) TargetState(string, string, State, time.Time) {}

// TestReportedTargetsAreReadRarely: others tell of a target that this VM has no
// connections to, so it is not read again until something contradicts what was
// told, or this VM gets connections of its own. If it went on reading, each VM
// would read every target.
func TestReportedTargetsAreReadRarely(t *testing.T) {
	g := NewWithT(t)
	c := countingReader{make(chan string, 100)}
	m := NewMonitor(MonitorOptions{Reader: c, Sink: c})
	e := Endpoint{Name: "t", HealthInterval: 10 * time.Millisecond}
	m.Apply([]Endpoint{e})
	m.Relax("t", time.Hour)
	m.Start()
	defer m.Stop()
	m.mu.Lock()
	calm := time.Until(m.targets["t"].nextRead)
	m.mu.Unlock()
	g.Expect(calm).To(BeNumerically(">", time.Minute))

	m.Hurry("t")
	g.Eventually(c.reads).Should(Receive())
	g.Eventually(func() time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return time.Until(m.targets["t"].nextRead)
	}).Should(BeNumerically(">", time.Minute), "calm again after the read")

	e.Connections = 1
	m.Apply([]Endpoint{e})
	for range 3 {
		g.Eventually(c.reads).Should(Receive())
	}
	m.Relax("t", time.Hour) // an owner reads all the same
	for range 3 {
		g.Eventually(c.reads).Should(Receive())
	}
}
