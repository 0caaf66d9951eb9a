package target

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// countingReader is a StatusReader that sends the name of each target read to
// reads, and a Sink that ignores all calls.
type countingReader struct{ reads chan string }

// Status sends the target's name to reads, and returns a status without leaves.
func (c countingReader) Status(_ context.Context, name string) (Status, error) {
	c.reads <- name
	return Status{Target: name}, nil
}

// TargetStatus does nothing.
func (countingReader) TargetStatus(string, Status, time.Time) {}

// TargetFailed does nothing.
func (countingReader) TargetFailed(string, error, time.Time) {}

// TargetState does nothing.
func (countingReader) TargetState(string, string, State, time.Time) {}

// Guards against targets that are loaded by status reads of every VM. While other VMs
// report a target to which this VM has no connections, this VM must not read its status,
// unless ReadSoon asks for it. Once this VM has connections to the target, it must read
// the status at the health interval again.
func TestReportedTargetsAreReadRarely(t *testing.T) {
	g := NewWithT(t)
	c := countingReader{make(chan string, 100)}
	m := NewMonitor(MonitorOptions{Reader: c, Sink: c})
	e := Endpoint{Name: "t", HealthInterval: 10 * time.Millisecond}
	m.Apply([]Endpoint{e})
	m.SetReadInterval("t", time.Hour)
	m.Start()
	defer m.Stop()
	m.mu.Lock()
	wait := time.Until(m.targets["t"].nextRead)
	m.mu.Unlock()
	g.Expect(wait).To(BeNumerically(">", time.Minute))

	m.ReadSoon("t")
	g.Eventually(c.reads).Should(Receive())
	g.Eventually(func() time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return time.Until(m.targets["t"].nextRead)
	}).Should(BeNumerically(">", time.Minute), "long interval again after the read")

	e.Connections = 1
	m.Apply([]Endpoint{e})
	for range 3 {
		g.Eventually(c.reads).Should(Receive())
	}
	m.SetReadInterval("t", time.Hour) // no effect: this VM has connections to the target
	for range 3 {
		g.Eventually(c.reads).Should(Receive())
	}
}
