package once

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// testTimeout bounds each wait for an event that must happen.
const testTimeout = 20 * time.Second

// clock is an Options.Clock that runs ahead of the real time by an offset that the test
// increases.
type clock struct{ offset atomic.Int64 } // in nanoseconds

func (c *clock) now() time.Time          { return time.Now().Add(time.Duration(c.offset.Load())) }
func (c *clock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// configure makes the Runner that gets the options use this clock.
func (c *clock) configure(o *Options) { o.Clock = c.now }

// shortWaits makes a Runner wait at most 50 ms for a claim or for the storing of an
// outcome, and at most 20 ms for one store call.
func shortWaits(o *Options) {
	o.ClaimWait, o.OutcomeWait, o.CallTimeout = 50*time.Millisecond, 50*time.Millisecond, 20*time.Millisecond
}

// Guards against a second run of a request whose claim was removed. VM a checks the
// age of a key and is paused. VM b runs the request, and a day later its claim is
// removed. Then VM a continues, finds no claim and claims the key. Only a check after
// the claim detects that the key has expired.
func TestVMPausedDuringCleanupDoesNotRun(t *testing.T) {
	g := NewWithT(t)
	var c clock
	store := newFaultStore(1)
	a, b := startRunner(t, store, "a", c.configure), startRunner(t, store, "b", c.configure)
	req, w := request("d"), acceptedWork()
	var paused atomic.Bool
	store.beforePut = func(string) error {
		if !paused.CompareAndSwap(false, true) {
			return nil
		}
		g.Expect(b.Run(t.Context(), req, w.run).Code).To(Equal(result.Accepted))
		c.advance(b.opts.KeyTTL + b.opts.MaxClockSkew + 2*segmentWindow)
		g.Expect(cleanerWithDeployment(b).cleanRound()).To(Succeed())
		g.Expect(store.names("vatnsleit.")).To(BeEmpty())
		return nil
	}
	g.Expect(a.Run(t.Context(), req, w.run).Code).To(Equal(result.KeyExpired))
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
}

// cleanerWithDeployment returns a copy of r's cleaner that cleans the test's
// deployment. It has no goroutine; the test runs its rounds.
func cleanerWithDeployment(r *Runner) *cleaner {
	c := *r.cleaner
	c.opts.Deployment = "vatnsleit"
	return &c
}

// Guards against a second run of a request of the previous day. Its claim was
// removed, and a VM whose clock is one hour slow still accepts the key. The record
// of removed claims rejects it. While the record cannot be read, nothing is run.
func TestVMWithASlowClockDoesNotRunClearedKeys(t *testing.T) {
	g := NewWithT(t)
	var right, slow clock
	store := newFaultStore(1)
	a, b := startRunner(t, store, "a", right.configure), startRunner(t, store, "b", slow.configure)
	req, w := request("d"), acceptedWork()
	g.Expect(a.Run(t.Context(), req, w.run).Code).To(Equal(result.Accepted))
	day := a.opts.KeyTTL + a.opts.MaxClockSkew + 2*segmentWindow
	right.advance(day)
	slow.advance(day - time.Hour)
	g.Expect(cleanerWithDeployment(a).cleanRound()).To(Succeed())
	g.Expect(store.names("vatnsleit.")).To(BeEmpty())
	g.Expect(b.Run(t.Context(), req, w.run).Code).To(Equal(result.KeyExpired))
	store.failClearedReads.Store(true)
	g.Expect(b.Run(t.Context(), req, w.run).Code).To(Equal(result.ClaimsDown))
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
}

// Guards against a key that stays blocked although its request never ran. The
// platform stores the claim but its answer is lost, and the platform stays down until
// the VM has given up and answered "not run". The claim must be removed when the
// platform is back.
func TestClaimWithLostAnswerIsReleased(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	a, b := startRunner(t, store, "a", shortWaits), startRunner(t, store, "b")
	req, w := request("d"), acceptedWork()
	store.afterPut = func(string, error) error {
		if !store.recovered.Load() && store.failAll.CompareAndSwap(false, true) {
			return errLost
		}
		return nil
	}
	out := a.Run(t.Context(), req, w.run)
	g.Expect(out.Code).To(Equal(result.ClaimsDown))
	g.Expect(out.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(w.ran.Load()).To(BeZero())
	store.failAll.Store(false)
	store.recovered.Store(true)
	g.Eventually(func() result.Code { return b.Run(t.Context(), req, w.run).Code }, testTimeout).Should(Equal(result.Accepted))
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
}

// Guards against a key that stays blocked although its request never ran. The write
// of the claim gets no answer and the VM answers "not run". The VM then finds no claim
// to remove, and only after that the platform applies the write. This late write must
// fail with a version conflict.
func TestDelayedClaimWriteIsFencedOff(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	a, b := startRunner(t, store, "a", shortWaits), startRunner(t, store, "b")
	req, w := request("d"), acceptedWork()
	late := make(chan func() error, 1)
	store.delayPut = func(apply func() error) bool {
		if store.recovered.Load() || !store.failAll.CompareAndSwap(false, true) {
			return false
		}
		late <- apply
		return true
	}
	g.Expect(a.Run(t.Context(), req, w.run).Code).To(Equal(result.ClaimsDown))
	store.failAll.Store(false)
	store.recovered.Store(true)
	g.Eventually(a.committer.numWaiting, testTimeout).Should(BeZero())
	g.Expect((<-late)()).To(MatchError(objstore.ErrConflict))
	g.Expect(b.Run(t.Context(), req, w.run).Code).To(Equal(result.Accepted))
}

// Guards against requests that wait for their whole time limit while the platform
// is down. After a few failed calls the answer must be immediate, mean "not run"
// and say when to retry.
func TestPlatformOutageFailsFast(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	a := startRunner(t, store, "a", func(o *Options) { o.ClaimWait = time.Hour })
	w := acceptedWork()
	store.failAll.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan Outcome, 1)
	go func() { first <- a.Run(ctx, request("d"), w.run) }()
	g.Eventually(a.committer.isDown, testTimeout).Should(BeTrue())
	cancel()
	g.Expect((<-first).Code).To(Equal(result.ClaimsDown))
	a.committer.mu.Lock()
	a.committer.lastProbe = time.Now().Add(time.Hour)
	a.committer.mu.Unlock()
	out := a.Run(t.Context(), request("d"), w.run)
	g.Expect(out.Code).To(Equal(result.ClaimsDown))
	g.Expect(out.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(w.ran.Load()).To(BeZero())
}

// Guards against a second run after a lost outcome. The target ran the request, the
// platform goes down before the outcome is stored, and the caller retries at
// another VM. That VM must answer "in progress" and, once the platform is back and
// the first VM has stored the outcome, return the outcome.
func TestOutcomeIsStoredAfterOutage(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	a, b := startRunner(t, store, "a", shortWaits), startRunner(t, store, "b")
	req, w := request("d"), acceptedWork()
	out := a.Run(t.Context(), req, func(ctx context.Context) Outcome {
		store.failPuts.Store(true)
		return w.run(ctx)
	})
	g.Expect(out.Code).To(Equal(result.Accepted))
	g.Expect(b.Run(t.Context(), req, w.run).Code).To(Equal(result.InProgress))
	store.failPuts.Store(false)
	g.Eventually(func() bool { return b.Run(t.Context(), req, w.run).Replayed }, testTimeout).Should(BeTrue())
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
}

// Guards against a second run of a request whose VM is lost between claim and answer.
// It is unknown whether the target ran the request, so another VM must not run it. It
// answers "in progress" until the request's time has passed, and "unknown" after that.
func TestRequestOfLostVMIsNeverRunAgain(t *testing.T) {
	g := NewWithT(t)
	var c clock
	store := newFaultStore(1)
	a, b := startRunner(t, store, "a", shortWaits), startRunner(t, store, "b", c.configure)
	req, w := request("d"), acceptedWork()
	a.Run(t.Context(), req, func(ctx context.Context) Outcome {
		store.failPuts.Store(true)
		return w.run(ctx)
	})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(a.Close(ended)).To(HaveOccurred())
	store.failPuts.Store(false)
	g.Expect(b.Run(t.Context(), req, w.run).Code).To(Equal(result.InProgress))
	c.advance(time.Minute)
	g.Expect(b.Run(t.Context(), req, w.run).Code).To(Equal(result.OutcomeUnknown))
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
}

// Guards against a key that stays blocked after every target has refused its
// request. The outcome "not run" must release the key, for this VM and for others.
func TestNotRunReleasesKey(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	a, b := startRunner(t, store, "a"), startRunner(t, store, "b")
	req, w := request("d"), acceptedWork()
	refused := func(context.Context) Outcome { return Outcome{Code: result.NotStarted} }
	g.Expect(a.Run(t.Context(), req, refused).Code).To(Equal(result.NotStarted))
	g.Expect(b.Run(t.Context(), req, refused).Code).To(Equal(result.NotStarted))
	g.Expect(a.Run(t.Context(), req, w.run).Code).To(Equal(result.Accepted))
	g.Expect(b.Run(t.Context(), req, w.run).Replayed).To(BeTrue())
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
}

// Guards against the loss of an outcome that waits for its write when the VM stops.
// Later requests with the key would get the answer "unknown" forever. Close must wait
// until the outcome is stored.
func TestCloseWaitsForOutcomes(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	a, b := startRunner(t, store, "a", shortWaits), startRunner(t, store, "b")
	req, w := request("d"), acceptedWork()
	a.Run(t.Context(), req, func(ctx context.Context) Outcome {
		store.failPuts.Store(true)
		return w.run(ctx)
	})
	closed := make(chan error, 1)
	go func() { closed <- a.Close(t.Context()) }()
	g.Eventually(a.committer.isClosed, testTimeout).Should(BeTrue())
	g.Expect(a.Run(t.Context(), request("d"), w.run).Code).To(Equal(result.ClaimsDown))
	store.failPuts.Store(false)
	g.Eventually(closed, testTimeout).Should(Receive(BeNil()))
	g.Expect(b.Run(t.Context(), req, w.run).Replayed).To(BeTrue())
}
