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

// fakes implements all interfaces that a Relay uses, for one target.
type fakes struct {
	known        facts.Health // the current statement
	changes      []facts.Health
	publications int // number of published statements
	ownership    route.Ownership
	status       target.Status // the result of each read
	err          error         // the error of each read and call
	onRead       func()        // called during each read of the target; may be nil

	statuses     []target.Status // received by the sink
	failed       int             // calls of TargetFailed
	lost         int             // calls of TargetLost
	readInterval time.Duration   // last set on the monitor
	readSoon     int             // calls of ReadSoon
}

func (f *fakes) SetTargets([]string)                              {}
func (f *fakes) Health(string) (facts.Health, bool)               { return f.known, f.known.Target != "" }
func (f *fakes) TakeHealthChanges() []facts.Health                { return f.changes }
func (f *fakes) HealthChanged() <-chan struct{}                   { return nil }
func (f *fakes) Ownership(string) route.Ownership                 { return f.ownership }
func (f *fakes) SetReadInterval(_ string, interval time.Duration) { f.readInterval = interval }
func (f *fakes) ReadSoon(string)                                  { f.readSoon++ }

// PublishHealth makes next the current statement if the current one has the stamp base.
func (f *fakes) PublishHealth(next facts.Health, base facts.Stamp) bool {
	if f.known.Stamp != base {
		return false
	}
	f.known = next
	f.publications++
	return true
}

// Status implements Router: it reads the target, after a call of onRead if that is set.
func (f *fakes) Status(context.Context, string) (target.Status, error) {
	if f.onRead != nil {
		f.onRead()
	}
	return f.status, f.err
}

// Search implements Leaves. It returns an empty answer and the error err.
func (f *fakes) Search(context.Context, string, int, target.LeafRequest) (target.LeafAnswer, error) {
	return target.LeafAnswer{}, f.err
}

// Submit implements Leaves. It returns an empty answer and the error err.
func (f *fakes) Submit(context.Context, string, int, target.SubmitRequest) (target.SubmitAnswer, error) {
	return target.SubmitAnswer{}, f.err
}

// TargetStatus implements Sink and records the status.
func (f *fakes) TargetStatus(_ string, st target.Status, _ time.Time) {
	f.statuses = append(f.statuses, st)
}
func (f *fakes) TargetFailed(string, error, time.Time)               { f.failed++ }
func (f *fakes) TargetState(string, string, target.State, time.Time) {}
func (f *fakes) TargetLost(string)                                   { f.lost++ }

// statement returns a statement of the given epoch that the target serves, and that the
// owners at the places unreadableBy can't read it.
func statement(epoch uint64, unreadableBy ...int) facts.Health {
	return facts.Health{Target: testTarget, Stamp: facts.Stamp{Epoch: epoch, Incarnation: "i"}, UnreadableBy: unreadableBy}
}

// newRelay returns the relay of a VM that owns no connections to the target, and the fakes
// that it uses. The target has two live owners, at the places 3 and 5.
func newRelay() (*Relay, *fakes) {
	f := &fakes{
		ownership: route.Ownership{Shared: true, Place: -1, LiveOwners: []int{3, 5}},
		status:    target.Status{Target: testTarget, Incarnation: "read", State: target.StateServing},
	}
	r := New(Options{Router: f, Sink: f, Log: logging.Discard(), Metrics: metrics.NewSet()})
	r.exchange, r.monitor = f, f
	r.Apply(&bundle.Bundle{Services: []bundle.Service{{
		Drain:   bundle.Drain{HealthIntervalMS: 1000, SuspectAfter: 3},
		Targets: []bundle.Target{{Name: testTarget}},
	}}})
	return r, f
}

// readOnce reads the target as the monitor does.
func (r *Relay) readOnce() {
	st, err := r.Status(context.Background(), testTarget)
	if err != nil {
		r.TargetFailed(testTarget, err, time.Now())
		return
	}
	r.TargetStatus(testTarget, st, time.Now())
}

// TestPublishedHealthReachesSink: a statement that doesn't reach the sink leaves calls with
// an outdated status, and without longer intervals every VM would read every target. A
// statement must reach the sink once and set the long interval. An opaque one must make
// this VM read the target itself. An owner must ignore statements, since it reads the
// target itself.
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
	g.Expect(f.readInterval).To(BeZero(), "an opaque target must be read")
	f.ownership.Owner = true
	r.apply(statement(3))
	g.Expect(f.statuses).To(HaveLen(1), "an owner uses what it reads itself")
}

// TestSlowReadDoesNotReplaceNewerHealth: a VM reads a target through an owner, and the
// statement of a restart arrives before the answer. The answer is older than the
// statement. If it were applied, the ended incarnation would replace the new one.
func TestSlowReadDoesNotReplaceNewerHealth(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	f.known = statement(1)
	r.apply(f.known)
	f.onRead = func() {
		f.known = statement(2)
		r.apply(f.known)
	}
	r.readOnce()
	g.Expect(f.statuses).To(HaveLen(2), "only the statements")
	f.onRead = nil
	r.readOnce()
	g.Expect(f.statuses).To(HaveLen(3))
	g.Expect(f.statuses[2].Incarnation).To(Equal("read"))
	r.apply(f.known)
	g.Expect(f.statuses).To(HaveLen(3), "a statement that was known before the read is older than it")
}

// TestFailedReadThroughOwner: the owner through which a VM reads is frozen, and the
// target is healthy by the statements of its owners. The VM must not count it as
// failed. Without a statement or without a live owner, it must count its own failures.
func TestFailedReadThroughOwner(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	f.err = &target.CallError{Kind: target.ErrorDeadline}
	r.readOnce()
	g.Expect(f.failed).To(Equal(1))
	f.known = statement(1, 3)
	r.readOnce()
	g.Expect(f.failed).To(Equal(1))
	f.ownership.LiveOwners = nil
	r.readOnce()
	g.Expect(f.failed).To(Equal(2))
}

// TestTargetLostWithLastReader: one of two owners can't read a target, and the other
// owner is lost, so no further statement follows. If VMs waited for one, they would
// continue to call the target. The target must count as lost without it. It must be
// available again once a new owner hasn't stated that it can't read the target.
func TestTargetLostWithLastReader(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	f.known = statement(1, 3)
	r.apply(f.known)
	r.recheckLost()
	g.Expect(f.lost).To(BeZero())
	f.ownership.LiveOwners = []int{3}
	r.recheckLost()
	r.recheckLost()
	g.Expect(f.lost).To(Equal(1))
	f.ownership.LiveOwners = []int{3, 4}
	r.recheckLost()
	g.Expect(f.statuses).To(HaveLen(2))
}

// TestContradictingCallsTriggerRead: the statement about a target is outdated, and the
// newer one hasn't arrived. Failed calls are the first sign, and the VM must read the
// target then, not 20 s later. Shedding and deadlines don't contradict a statement.
func TestContradictingCallsTriggerRead(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	calls := r.CheckCalls(f)
	// call makes two calls that fail with e and returns the number of reads that they trigger.
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
	f.ownership.Owner = true
	g.Expect(call(&target.CallError{Kind: target.ErrorUnreachable})).To(BeZero())
}

// TestOwnerPublishesItsReads: without the statements of its owners, the other VMs would
// not have a target's status. An owner must publish a new status that it reads, once, and
// must pass each read to its own sink.
func TestOwnerPublishesItsReads(t *testing.T) {
	g := NewWithT(t)
	r, f := newRelay()
	f.ownership.Owner, f.ownership.Place = true, 3
	r.readOnce()
	r.readOnce()
	g.Expect(f.publications).To(Equal(1))
	g.Expect(f.known.Incarnation).To(Equal("read"))
	g.Expect(f.statuses).To(HaveLen(2))
}
