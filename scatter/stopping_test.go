package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// stoppingIn returns the request, at a VM that ends what it serves after d, with time for the request
// left beyond that.
func (w *world) stoppingIn(d time.Duration, spec Spec) Spec {
	spec.StopAt, spec.Deadline = w.now.Add(d), w.now.Add(time.Minute)
	return spec
}

// answerAfter starts a request to the service and answers it after each of the durations, so that the
// VM knows how long such requests take.
func (w *world) answerAfter(service string, took time.Duration, times int) {
	for range times {
		q := NewQuery(w.single(service, true), w.table)
		sent := sends(q.Start(w.now))
		w.Expect(sent).To(gomega.HaveLen(1))
		w.wait(took)
		q.Reply(w.now, sent[0].Attempt, false)
		w.table.AttemptEnded(w.now, sent[0].Leaf, sent[0].SentAt, EndAnswered)
	}
}

// Guards against a request that a stopping VM starts and cuts off, since it takes longer than the VM
// has left.
func TestRequestThatOutlastsAStoppingVMIsRefused(t *testing.T) {
	w := newWorld(t)
	w.leaf("ledger", homeZone)
	w.answerAfter("ledger", 50*time.Millisecond, 80)

	for _, idempotent := range []bool{true, false} {
		acts := NewQuery(w.stoppingIn(40*time.Millisecond, w.single("ledger", idempotent)), w.table).Start(w.now)
		w.Expect(sends(acts)).To(gomega.BeEmpty())
		out := outcome(acts)
		w.Expect(out.Verdict).To(gomega.Equal(NotRun))
		w.Expect(out.Refusal.Stopping).To(gomega.BeTrue())
		w.Expect(out.RetryAfter).To(gomega.Equal(minRetryAfter), "another VM can serve it at once")
		w.Expect(out.RefusalCause()).To(gomega.Equal(RefusedForSelf))
	}
	acts := NewQuery(w.stoppingIn(time.Second, w.single("ledger", false)), w.table).Start(w.now)
	w.Expect(sends(acts)).To(gomega.HaveLen(1), "served while there is time")
}

// Guards against a request that waits in a leaf's queue when a VM ends which took it as if the leaf
// were idle.
func TestStoppingVMCountsTheQueueOfTheLeaf(t *testing.T) {
	w := newWorld(t)
	id := w.leaf("ledger", homeZone)
	w.answerAfter("ledger", 50*time.Millisecond, 80)
	w.table.RecordLoad(w.now, id, Load{Running: 2, Waiting: 8, Slots: 2})
	w.Expect(outcome(NewQuery(w.stoppingIn(100*time.Millisecond, w.single("ledger", false)), w.table).Start(w.now))).NotTo(gomega.BeNil())
	w.Expect(sends(NewQuery(w.stoppingIn(time.Second, w.single("ledger", false)), w.table).Start(w.now))).To(gomega.HaveLen(1))
}

// Guards against an answer that is due after the VM has ended: a leaf takes longer than expected, or a
// shard of a gathered request is silent.
func TestNoRequestOutlastsAStoppingVM(t *testing.T) {
	w := newWorld(t)
	shards := w.shards(10, homeZone)
	w.leaf("ledger", homeZone)
	for _, spec := range []Spec{w.single("ledger", false), w.gathered(shards)} {
		spec = w.stoppingIn(200*time.Millisecond, spec)
		q := NewQuery(spec, w.table)
		sent := sends(q.Start(w.now))
		w.Expect(sent).NotTo(gomega.BeEmpty())
		for _, s := range sent {
			w.Expect(s.Until).NotTo(gomega.BeTemporally(">", spec.StopAt))
		}
		var out *Outcome
		for now := w.now; out == nil && !now.After(spec.StopAt); now = q.Wake(now) {
			out = outcome(q.Tick(now))
		}
		w.Expect(out).NotTo(gomega.BeNil())
	}
}

// Guards against a refusal where the caller's own time is over before the VM ends.
func TestStoppingVMTakesWhatEndsInTime(t *testing.T) {
	w := newWorld(t)
	w.leaf("ledger", homeZone)
	w.answerAfter("ledger", 50*time.Millisecond, 80)
	spec := w.stoppingIn(40*time.Millisecond, w.single("ledger", true))
	spec.Deadline = w.now.Add(30 * time.Millisecond)
	w.Expect(sends(NewQuery(spec, w.table).Start(w.now))).To(gomega.HaveLen(1))
}

// Guards against a query without an outcome when the VM ends: it was started before the VM was told
// to stop.
func TestStopEndsAQueryAsItsDeadlineDoes(t *testing.T) {
	w := newWorld(t)
	w.leaf("ledger", homeZone)
	q := NewQuery(w.single("ledger", false), w.table)
	w.Expect(sends(q.Start(w.now))).To(gomega.HaveLen(1))
	w.wait(300 * time.Millisecond)
	out := outcome(q.Stop(w.now))
	w.Expect(out.Verdict).To(gomega.Equal(TimedOut))
	w.Expect(out.Stopped).To(gomega.BeTrue())
	w.Expect(out.AtWork).To(gomega.Equal(300 * time.Millisecond))
	w.Expect(q.Stop(w.now)).To(gomega.BeEmpty())
}

// Guards against a request that was waiting for a leaf when its VM was told to stop, and is sent to one
// when too little time is left.
func TestWaitingRequestIsRefusedByAStoppingVM(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		w := newWorld(t)
		id := w.leaf("ledger", homeZone)
		w.answerAfter("ledger", 50*time.Millisecond, 80)
		spec := w.single("ledger", idempotent)
		spec.Deadline = w.now.Add(time.Minute)
		waiting, sent := NewQuery(spec, w.table), NewQuery(spec, w.table)
		w.Expect(sends(sent.Start(w.now))).To(gomega.HaveLen(1))
		first := sends(waiting.Start(w.now))
		w.Expect(first).To(gomega.HaveLen(1))
		w.table.AttemptEnded(w.now, id, first[0].SentAt, EndRefused)
		w.Expect(waiting.Fail(w.now, first[0].Attempt, EndRefused)).To(gomega.BeEmpty(), "it waits for the leaf")

		stop := w.now.Add(200 * time.Millisecond)
		w.Expect(waiting.StopsAt(w.now, stop)).To(gomega.BeEmpty(), "there is time")
		w.Expect(sent.StopsAt(w.now, stop)).To(gomega.BeEmpty())
		w.wait(170 * time.Millisecond)
		acts := waiting.Tick(w.now)
		w.Expect(sends(acts)).To(gomega.BeEmpty())
		out := outcome(acts)
		w.Expect(out).NotTo(gomega.BeNil())
		w.Expect(out.Verdict).To(gomega.Equal(NotRun))
		w.Expect(out.RetryAfter).To(gomega.Equal(minRetryAfter))
		w.Expect(out.Refusal.Stopping).To(gomega.BeTrue())
		w.Expect(outcome(sent.Tick(w.now))).To(gomega.BeNil(), "a leaf is at work on it")
		w.wait(30 * time.Millisecond)
		out = outcome(sent.Tick(w.now))
		w.Expect(out).NotTo(gomega.BeNil())
		w.Expect(out.Verdict).To(gomega.Equal(TimedOut))
		w.Expect(out.Stopped).To(gomega.BeTrue())
		w.Expect(out.AtWork).To(gomega.Equal(200 * time.Millisecond))
	}
}

// Guards against a request that waits for a leaf in vain until its VM ends: it was told to stop when too
// little time was left.
func TestRequestThatOutlastsTheVMIsRefusedWhenItIsToldToStop(t *testing.T) {
	w := newWorld(t)
	id := w.leaf("ledger", homeZone)
	w.answerAfter("ledger", 50*time.Millisecond, 80)
	spec := w.single("ledger", false)
	spec.Deadline = w.now.Add(time.Minute)
	q := NewQuery(spec, w.table)
	first := sends(q.Start(w.now))
	w.table.AttemptEnded(w.now, id, first[0].SentAt, EndRefused)
	q.Fail(w.now, first[0].Attempt, EndRefused)
	out := outcome(q.StopsAt(w.now, w.now.Add(40*time.Millisecond)))
	w.Expect(out).NotTo(gomega.BeNil())
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))
}

// Guards against a gathered request that waits until its VM ends, though its shards take longer than that.
func TestGatheredRequestThatOutlastsAStoppingVMIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(10, homeZone))
	spec.LatencyObjective, spec.AnswerBy = 800*time.Millisecond, w.now.Add(800*time.Millisecond)
	acts := NewQuery(w.stoppingIn(400*time.Millisecond, spec), w.table).Start(w.now)
	w.Expect(sends(acts)).To(gomega.BeEmpty())
	out := outcome(acts)
	w.Expect(out).NotTo(gomega.BeNil())
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))
	w.Expect(out.Refusal.Stopping).To(gomega.BeTrue())
}
