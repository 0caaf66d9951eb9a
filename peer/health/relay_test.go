package health

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/peer/route"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// fakes are all that a Relay has around it. read is called while a target is read.
type fakes struct {
	known        facts.Health
	changes      []facts.Health
	publications int
	standing     route.Ownership
	status       target.Status
	err          error
	read         func()

	statuses     []target.Status // to the sink
	failed       int
	lost         int
	readInterval time.Duration // as the monitor was last told
	readSoon     int
}

func (f *fakes) SetTargets([]string)                 {}
func (f *fakes) Health(string) (facts.Health, bool)  { return f.known, f.known.Target != "" }
func (f *fakes) TakeHealth() []facts.Health          { return f.changes }
func (f *fakes) HealthChanged() <-chan struct{}      { return nil }
func (f *fakes) Standing(string) route.Ownership     { return f.standing }
func (f *fakes) Relax(_ string, every time.Duration) { f.readInterval = every }
func (f *fakes) Hurry(string)                        { f.readSoon++ }

func (f *fakes) TellHealth(next facts.Health, base facts.Stamp) bool {
	if f.known.Stamp != base {
		return false
	}
	f.known = next
	f.publications++
	return true
}

func (f *fakes) Status(context.Context, string) (target.Status, error) {
	if f.read != nil {
		f.read()
	}
	return f.status, f.err
}

func (f *fakes) Search(context.Context, string, int, target.LeafRequest) (target.LeafAnswer, error) {
	return target.LeafAnswer{}, f.err
}

func (f *fakes) Submit(context.Context, string, int, target.SubmitRequest) (target.SubmitAnswer, error) {
	return target.SubmitAnswer{}, f.err
}

func (f *fakes) TargetStatus(_ string, st target.Status, _ time.Time) {
	f.statuses = append(f.statuses, st)
}
func (f *fakes) TargetFailed(string, error, time.Time)               { f.failed++ }
func (f *fakes) TargetState(string, string, target.State, time.Time) {}
func (f *fakes) TargetLost(string)                                   { f.lost++ }

func statement(epoch uint64, unread ...int) facts.Health {
	return facts.Health{Target: testTarget, Stamp: facts.Stamp{Epoch: epoch, Incarnation: "i"}, UnreadableBy: unread}
}

// newRelay returns a relay of a VM that owns nothing, with two owners that live.
func newRelay() (*Relay, *fakes) {
	f := &fakes{
		standing: route.Ownership{Shared: true, Place: -1, LiveOwners: []int{3, 5}},
		status:   target.Status{Target: testTarget, Incarnation: "read", State: target.StateServing},
	}
	r := New(Options{Router: f, Sink: f, Log: logging.Discard(), Metrics: metrics.NewSet()})
	r.exchange, r.monitor = f, f
	r.Apply(&bundle.Bundle{Services: []bundle.Service{{
		Drain:   bundle.Drain{HealthIntervalMS: 1000, SuspectAfter: 3},
		Targets: []bundle.Target{{Name: testTarget}},
	}}})
	return r, f
}

// read does what the monitor does.
func (r *Relay) readOnce() {
	st, err := r.Status(context.Background(), testTarget)
	if err != nil {
		r.TargetFailed(testTarget, err, time.Now())
		return
	}
	r.TargetStatus(testTarget, st, time.Now())
}

func TestPublishedHealthReachesSink(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	r.apply(statement(1))
	r.apply(statement(1))
	g.Expect(f.statuses).To(HaveLen(1))
	g.Expect(f.readInterval).To(Equal(minRereadInterval))
	opaque := statement(2)
	opaque.Opaque = true
	r.apply(opaque)
	g.Expect(f.statuses).To(HaveLen(1))
	g.Expect(f.readInterval).To(BeZero(), "what can't be told must be read")
	f.standing.Owner = true
	r.apply(statement(3))
	g.Expect(f.statuses).To(HaveLen(1), "an owner goes by what it reads")
}

// TestSlowReadDoesNotReplaceNewerHealth: a VM reads a target through an owner, and is told of
// a restart while the answer is under way. The answer is older; taken, it would
// bring back the incarnation that is gone.
func TestSlowReadDoesNotReplaceNewerHealth(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	f.known = statement(1)
	r.apply(f.known)
	f.read = func() {
		f.known = statement(2)
		r.apply(f.known)
	}
	r.readOnce()
	g.Expect(f.statuses).To(HaveLen(2), "only what was told")
	f.read = nil
	r.readOnce()
	g.Expect(f.statuses).To(HaveLen(3))
	g.Expect(f.statuses[2].Incarnation).To(Equal("read"))
	r.apply(f.known)
	g.Expect(f.statuses).To(HaveLen(3), "a statement that was known before the read is older than it")
}

// TestFailedReadThroughOwner: the owner through which a VM reads is frozen. The
// target is well, as its owners say; the VM must not take it for lost. Without a
// statement, or without a live owner, its own failures are all it has.
func TestFailedReadThroughOwner(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	f.err = &target.CallError{Kind: target.ErrorDeadline}
	r.readOnce()
	g.Expect(f.failed).To(Equal(1))
	f.known = statement(1, 3)
	r.readOnce()
	g.Expect(f.failed).To(Equal(1))
	f.standing.LiveOwners = nil
	r.readOnce()
	g.Expect(f.failed).To(Equal(2))
}

// TestTargetLostWithLastReader: one of two owners can't read a target, and the other dies.
// Nobody states anything any more; the target must count as lost all the same, and
// come back with an owner that has not said that it can't read it.
func TestTargetLostWithLastReader(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	f.known = statement(1, 3)
	r.apply(f.known)
	r.sweep()
	g.Expect(f.lost).To(BeZero())
	f.standing.LiveOwners = []int{3}
	r.sweep()
	r.sweep()
	g.Expect(f.lost).To(Equal(1))
	f.standing.LiveOwners = []int{3, 4}
	r.sweep()
	g.Expect(f.statuses).To(HaveLen(2))
}

// TestContradictingCallsTriggerRead: what was told of a target is not so any more, and the
// statement of that was lost. Calls find it out first; the VM must read the target
// then and not 20 s later. Load says nothing against what was told.
func TestContradictingCallsTriggerRead(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	calls := r.CheckCalls(f)
	call := func(e *target.CallError) int {
		before := f.readSoon
		f.err = e
		_, _ = calls.Search(context.Background(), testTarget, 0, target.LeafRequest{})
		_, _ = calls.Submit(context.Background(), testTarget, 0, target.SubmitRequest{})
		return f.readSoon - before
	}
	g.Expect(call(&target.CallError{Kind: target.ErrorRefused, Reason: target.ReasonNoSnapshot})).To(Equal(2))
	g.Expect(call(&target.CallError{Kind: target.ErrorUnreachable})).To(Equal(2))
	g.Expect(call(&target.CallError{Kind: target.ErrorRefused, Reason: target.ReasonShed})).To(BeZero())
	g.Expect(call(&target.CallError{Kind: target.ErrorDeadline})).To(BeZero())
	f.standing.Owner = true
	g.Expect(call(&target.CallError{Kind: target.ErrorUnreachable})).To(BeZero())
}

// TestOwnerPublishesItsReads: an owner states what it reads, and takes nothing else for true.
func TestOwnerPublishesItsReads(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	f.standing.Owner, f.standing.Place = true, 3
	r.readOnce()
	r.readOnce()
	g.Expect(f.publications).To(Equal(1))
	g.Expect(f.known.Incarnation).To(Equal("read"))
	g.Expect(f.statuses).To(HaveLen(2))
}
