package scatter

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/quarantine"
)

// content is that of the requests of these tests.
var content = quarantine.FingerprintOf("", "GET", "h", "/x", nil)

// suspectQuery is a query whose attempts a test answers or loses, and the attempts that it has sent and
// that have not ended.
type suspectQuery struct {
	*world
	*Query
	spec     Spec
	inFlight []Send
	sent     int
	out      *Outcome
}

// startProven starts a query with the tests' content, which a leaf has answered of late.
func (w *world) startProven(spec Spec) *suspectQuery {
	spec.Proven = true
	return w.startSuspect(spec)
}

// startSuspect starts a query with the tests' content.
func (w *world) startSuspect(spec Spec) *suspectQuery {
	spec.Content = content
	q := &suspectQuery{world: w, Query: NewQuery(spec, w.table), spec: spec}
	q.take(q.Start(w.now))
	return q
}

// take records the query's actions.
func (q *suspectQuery) take(acts []Action) {
	q.inFlight = append(q.inFlight, sends(acts)...)
	q.sent += len(sends(acts))
	if out := outcome(acts); out != nil {
		q.out = out
	}
}

// lose loses the connection of the attempt s, whose leaf has ended or not.
func (q *suspectQuery) lose(s Send, ended bool) {
	q.inFlight = slices.DeleteFunc(q.inFlight, func(other Send) bool { return other.Attempt == s.Attempt })
	q.world.table.AttemptEnded(q.now, s.Leaf, s.SentAt, EndBroken)
	q.world.table.RecordLost(q.now, content, s.Leaf, s.SentAt)
	q.world.table.RecordChecked(q.now, content, s.Leaf, ended)
	if !ended {
		q.world.table.RecordAlive(q.now, content, s.Leaf)
	}
	q.take(q.Fail(q.now, s.Attempt, EndBroken))
}

// answer answers the attempt s.
func (q *suspectQuery) answer(s Send) {
	q.inFlight = slices.DeleteFunc(q.inFlight, func(other Send) bool { return other.Attempt == s.Attempt })
	q.world.table.AttemptEnded(q.now, s.Leaf, s.SentAt, EndAnswered)
	q.world.table.RecordEnd(q.now, content, s.Leaf, s.SentAt, EndAnswered)
	q.take(q.Reply(q.now, s.Attempt, false))
}

// tick lets d pass, step by step.
func (q *suspectQuery) tick(d time.Duration) {
	for end := q.now.Add(d); q.now.Before(end) && q.out == nil; {
		q.wait(time.Millisecond)
		q.take(q.Tick(q.now))
	}
}

// Guards against a request that ends a leaf for each shard, then the next leaf of each, and so on at each
// attempt of the client.
func TestShardsWhoseLeafsAllEndedAreNotRetried(t *testing.T) {
	for _, shards := range []int{3, 9, 90} {
		w := newWorld(t)
		spec := w.gathered(w.shards(shards, "home", "far", "farther"))
		spec.MaxAttempts = 3
		q := w.startProven(spec)
		w.Expect(q.inFlight).To(gomega.HaveLen(shards))
		w.wait(2 * time.Millisecond)
		for _, s := range slices.Clone(q.inFlight) {
			q.lose(s, true)
		}
		q.tick(20 * time.Millisecond)
		w.Expect(q.sent).To(gomega.Equal(shards))
		w.Expect(q.out).NotTo(gomega.BeNil())
		w.Expect(q.out.Verdict).To(gomega.Equal(TooFewShards))
		w.Expect(q.out.Quarantined).To(gomega.BeTrue())

		again := w.startSuspect(spec)
		w.Expect(again.sent).To(gomega.BeZero())
		w.Expect(again.out.Verdict).To(gomega.Equal(NotRun))
		w.Expect(again.out.RetryAfter).To(gomega.BeNumerically(">", time.Second))
		w.Expect(again.out.RefusalCause()).To(gomega.Equal(RefusedForLeafs))
	}
}

// Guards against a request to one service that ends one leaf after the other.
func TestFourthLeafOfAServiceIsSpared(t *testing.T) {
	w := newWorld(t)
	for _, zone := range []string{"home", "a", "b", "c", "d", "e"} {
		w.leaf("ledger", zone)
	}
	spec := w.single("ledger", true)
	spec.MaxAttempts = 6
	q := w.startSuspect(spec)
	for q.out == nil {
		w.Expect(q.inFlight).NotTo(gomega.BeEmpty())
		w.wait(time.Millisecond)
		q.lose(q.inFlight[0], true)
	}
	w.Expect(q.sent).To(gomega.Equal(3))
	w.Expect(q.out.Verdict).To(gomega.Equal(Unknown))
}

// Guards against a request that loses shards since leafs crash under it for another reason: each is asked
// again, the first alone, and the others as soon as that one has answered.
func TestShardsOfCrashedLeafsAreRetriedOnceOneAnswers(t *testing.T) {
	w := newWorld(t)
	q := w.startProven(w.gathered(w.shards(9, "home", "far")))
	first := slices.Clone(q.inFlight)
	w.wait(2 * time.Millisecond)
	for _, s := range first[:4] {
		q.lose(s, true)
	}
	w.Expect(q.sent).To(gomega.Equal(9), "no leaf has answered yet")
	for _, s := range first[4:] {
		q.answer(s)
	}
	q.tick(3 * time.Millisecond)
	w.Expect(q.inFlight).To(gomega.HaveLen(1))
	w.wait(time.Millisecond)
	q.answer(q.inFlight[0])
	q.tick(3 * time.Millisecond)
	w.Expect(q.inFlight).To(gomega.HaveLen(3))
	for _, s := range slices.Clone(q.inFlight) {
		q.answer(s)
	}
	w.Expect(q.out).NotTo(gomega.BeNil())
	w.Expect(q.out.Verdict).To(gomega.Equal(Answered))
	w.Expect(q.out.Missing).To(gomega.BeZero())
}

// Guards against a request that ends the leafs of some shards only: of the others of these shards one more
// gets it, and the answer says what is missing.
func TestOneLeafMoreIsTriedWhereSomeShardsEnd(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(9, "home", "far"))
	spec.MinShare = 0.5
	q := w.startProven(spec)
	first := slices.Clone(q.inFlight)
	w.wait(2 * time.Millisecond)
	for _, s := range first[4:] {
		q.answer(s)
	}
	for _, s := range first[:4] {
		q.lose(s, true)
	}
	q.tick(3 * time.Millisecond)
	w.Expect(q.inFlight).To(gomega.HaveLen(1))
	q.lose(q.inFlight[0], true)
	q.tick(5 * time.Millisecond)
	w.Expect(q.sent).To(gomega.Equal(10))
	w.Expect(q.out).NotTo(gomega.BeNil())
	w.Expect(q.out.Verdict).To(gomega.Equal(Answered))
	w.Expect(q.out.Missing).To(gomega.Equal(4))
}

// Guards against retries that wait for a paused leaf, since one leaf has crashed beside it.
func TestRetryDoesNotWaitForAPausedLeaf(t *testing.T) {
	w := newWorld(t)
	q := w.startProven(w.gathered(w.shards(2, "home", "far")))
	w.wait(2 * time.Millisecond)
	q.lose(q.inFlight[0], true)
	q.tick(minAnswerWait + 5*time.Millisecond)
	w.Expect(q.sent).To(gomega.BeNumerically(">=", 2))
	w.Expect(q.inFlight).To(gomega.ContainElement(gomega.HaveField("Reason", Retry)))
}

// Guards against connections that are cut without an end of their leafs holding up retries.
func TestCutConnectionsAreRetriedAtOnce(t *testing.T) {
	w := newWorld(t)
	q := w.startProven(w.gathered(w.shards(9, "home", "far")))
	first := slices.Clone(q.inFlight)
	w.wait(2 * time.Millisecond)
	for _, s := range first[:8] {
		q.answer(s)
	}
	q.lose(first[8], false)
	w.Expect(q.inFlight).To(gomega.HaveLen(1))
	w.Expect(q.inFlight[0].Reason).To(gomega.Equal(Retry))
}

// Guards against other VMs that are called for a request which ends leafs, each with a wave of its own.
func TestSuspectRequestIsNotDelegated(t *testing.T) {
	w := newWorld(t)
	w.table.SetVMs(w.now, []VM{{Name: "vm-far", Zone: "far", Power: 1}})
	spec := w.gathered(w.shards(5, "far"))
	spec.MayDelegate = true
	w.Expect(vmCalls(NewQuery(spec, w.table).Start(w.now))).NotTo(gomega.BeEmpty())
	for _, id := range []string{"one", "two"} {
		w.table.RecordLost(w.now, content, LeafID{ID: id}, w.now)
		w.table.RecordChecked(w.now, content, LeafID{ID: id}, true)
	}
	spec.Content = content
	acts := NewQuery(spec, w.table).Start(w.now)
	w.Expect(vmCalls(acts)).To(gomega.BeEmpty())
	w.Expect(sends(acts)).To(gomega.HaveLen(1))
}
