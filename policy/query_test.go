package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// epoch is the time that at counts from. Its value does not matter.
var epoch = time.Unix(1_700_000_000, 0)

// at returns the time n milliseconds after epoch.
func at(n int) time.Time { return epoch.Add(time.Duration(n) * time.Millisecond) }

// testFleet is a table of targets with one leaf each. Target t-S-R holds replica R of
// shard S.
type testFleet struct {
	shards, replicas int // number of shards, and of replicas of each shard
	table            *Table
}

// newFleet returns a fleet in this VM's zone. Each target holds its shard of snapshot v1.
// seed is the seed of the table's random choices.
func newFleet(shards, replicas int, seed uint64) *testFleet {
	f := &testFleet{shards: shards, replicas: replicas, table: NewTable("a", rand.New(rand.NewPCG(seed, 1)))}
	svc := &bundle.Service{Name: "s", Shards: shards, Drain: bundle.Drain{SuspectAfter: 2}}
	f.eachTarget(func(name string, _ int) {
		svc.Targets = append(svc.Targets, bundle.Target{Name: name, Zone: "a", Leaves: 1, Slots: 2})
	})
	f.table.Apply(svc)
	f.table.Hedges.SetShare(0.05)
	f.table.Retries.SetShare(0.1)
	f.reportHoldings(0, "v1", 1, shards)
	return f
}

// eachTarget calls visit with the name of each target and the number of the shard that it
// holds.
func (f *testFleet) eachTarget(visit func(name string, shard int)) {
	for s := range f.shards {
		for r := range f.replicas {
			visit(targetName(s, r), s)
		}
	}
}

// targetName returns the name of the target with one replica of a shard.
func targetName(shard, replica int) string { return fmt.Sprintf("t-%d-%d", shard, replica) }

// reportHoldings records, ms milliseconds after epoch, a status of every target: it serves
// and holds only its shard of the named snapshot.
func (f *testFleet) reportHoldings(ms int, snapshot string, seq int64, shards int) {
	f.eachTarget(func(name string, shard int) {
		f.table.ApplyStatus(name, statusOf("i1", target.StateServing, target.Holding{
			Snapshot: snapshot, Seq: seq, Shards: shards, Shard: shard, Records: 100,
		}), at(ms))
	})
}

// recordAnswers records answers of the named targets, each after 5 ms, so that latencies are
// known and near their baseline.
func (f *testFleet) recordAnswers(targets ...string) {
	for range 200 {
		for _, name := range targets {
			f.table.EndAttempt(ReplicaID{Target: name}, AttemptEnd{Answered: true, Took: 5 * time.Millisecond}, at(0))
		}
	}
	f.table.Median.UpdateBaseline(at(0), false)
}

// statusOf returns the status of a target whose one leaf has the given holdings.
func statusOf(incarnation string, state target.State, holdings ...target.Holding) target.Status {
	return target.Status{
		Incarnation: incarnation,
		State:       state,
		Leaves:      []target.LeafStatus{{Leaf: 0, Holdings: holdings}},
	}
}

// spec returns a Spec that needs full coverage within 200 ms after epoch.
func spec() Spec {
	return Spec{Deadline: at(200), MinCoverage: 1, HedgeQuantile: 0.95, MaxAttempts: 3}
}

// sends returns the attempts that acts start.
func sends(acts []Action) []Send {
	var out []Send
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

// outcome returns the outcome that acts report, or nil if they don't finish the query.
func outcome(acts []Action) *Outcome {
	for _, a := range acts {
		if f, ok := a.(Finish); ok {
			return &f.Outcome
		}
	}
	return nil
}

// answer returns a complete answer to an attempt, from a shard of 100 records.
func answer(s Send) *target.LeafAnswer {
	return &target.LeafAnswer{
		Echo:     target.Echo{Attempt: int(s.Attempt), Shard: s.Shard, Snapshot: s.Snapshot},
		Records:  100,
		Complete: true,
	}
}

// TestQueryInvariants checks the invariants of Query over random sequences of answers,
// failures, refusals, index switches, drains and ticks.
func TestQueryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &queryDriver{
			t:        t,
			f:        newFleet(rapid.IntRange(1, 6).Draw(t, "shards"), rapid.IntRange(1, 3).Draw(t, "replicas"), rapid.Uint64().Draw(t, "seed")),
			inFlight: map[AttemptID]Send{},
			sent:     map[int]int{},
		}
		d.q = NewQuery(spec(), d.f.table)
		d.apply(d.q.Start(at(0)))
		for i := 0; i < 400 && d.out == nil; i++ {
			d.step()
		}
		if d.out == nil {
			t.Fatal("the query never finished")
		}
		d.checkOutcome()
	})
}

// queryDriver passes random events to a Query and checks the actions that it returns.
type queryDriver struct {
	t        *rapid.T
	f        *testFleet
	q        *Query
	ms       int // time of the latest event, in ms after epoch
	inFlight map[AttemptID]Send
	sent     map[int]int // by shard; attempts in the current pass

	refused  map[int]int // by shard; attempts counted in sent that a target refused
	snapshot string      // snapshot of the current pass
	out      *Outcome    // nil until the query finishes
}

// step passes one random event to the query.
func (d *queryDriver) step() {
	kinds := []string{"tick", "answer", "fail", "refuse", "switch", "drain", "lost"}
	switch rapid.SampledFrom(kinds).Draw(d.t, "event") {
	case "tick":
		d.ms += rapid.IntRange(0, 30).Draw(d.t, "ms")
		d.apply(d.q.Tick(at(d.ms)))
		if d.ms >= 200 && d.out == nil {
			d.t.Fatal("a tick at the deadline did not finish the query")
		}
	case "answer":
		d.withRandomAttempt(func(s Send) { d.apply(d.q.HandleAnswer(at(d.ms), s.Attempt, answer(s))) })
	case "fail":
		d.withRandomAttempt(func(s Send) { d.apply(d.q.HandleFailure(at(d.ms), s.Attempt, Failure{Reason: ReasonBroken})) })
	case "refuse":
		d.withRandomAttempt(func(s Send) {
			d.refused[s.Shard]++
			d.apply(d.q.HandleFailure(at(d.ms), s.Attempt, Failure{Reason: ReasonShed, Refused: true}))
		})
	case "switch":
		d.f.reportHoldings(d.ms, "v2", 2, d.f.shards)
	case "drain":
		d.f.table.MarkDraining(d.anyTarget(), "i1")
	case "lost":
		d.f.table.StatusReadFailed(d.anyTarget())
	}
}

// anyTarget returns the name of a random target.
func (d *queryDriver) anyTarget() string {
	shard := rapid.IntRange(0, d.f.shards-1).Draw(d.t, "shard")
	return targetName(shard, rapid.IntRange(0, d.f.replicas-1).Draw(d.t, "replica"))
}

// withRandomAttempt removes a random attempt from those in flight, if there is one, and
// calls handle with it.
func (d *queryDriver) withRandomAttempt(handle func(Send)) {
	if len(d.inFlight) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedKeys(d.inFlight)).Draw(d.t, "attempt")
	s := d.inFlight[id]
	delete(d.inFlight, id)
	handle(s)
}

// apply carries out the actions of the query: it updates inFlight and out. It fails the
// test if an action follows Finish.
func (d *queryDriver) apply(acts []Action) {
	for _, act := range acts {
		if d.out != nil {
			d.t.Fatal("an action follows Finish")
		}
		switch a := act.(type) {
		case Send:
			d.checkSend(a)
		case Cancel:
			delete(d.inFlight, a.Attempt)
		case Finish:
			d.out = &a.Outcome
		}
	}
}

// checkSend adds an attempt to those in flight. It fails the test if the attempt breaks an
// invariant: one snapshot per pass, the bounds of attempts per shard, and no attempt to a
// target that is draining.
func (d *queryDriver) checkSend(s Send) {
	if s.Snapshot != d.snapshot {
		for _, old := range d.inFlight {
			if old.Snapshot != s.Snapshot {
				d.t.Fatalf("attempt on %s while one on %s is in flight", s.Snapshot, old.Snapshot)
			}
		}
		d.snapshot = s.Snapshot
		d.sent = map[int]int{}
		d.refused = map[int]int{}
	}
	d.sent[s.Shard]++
	if started := d.sent[s.Shard] - d.refused[s.Shard]; started > 3 || d.sent[s.Shard] > 9 {
		d.t.Fatalf("%d attempts on shard %d, %d of which may have been started", d.sent[s.Shard], s.Shard, started)
	}
	if d.f.table.targets[s.Replica.Target].draining() {
		d.t.Fatal("an attempt was sent to a target that is draining")
	}
	d.inFlight[s.Attempt] = s
}

// checkOutcome fails the test if the outcome's coverage and snapshot don't match its
// answers, or if an attempt is still in flight or counted as outstanding.
func (d *queryDriver) checkOutcome() {
	c := d.out.Coverage
	if len(d.inFlight) != 0 {
		d.t.Fatal("attempts are in flight after Finish")
	}
	if c.Answered != len(d.out.Answers) || c.Answered+len(c.Gaps) != c.Shards {
		d.t.Fatalf("coverage %+v does not add up to %d answers", c, len(d.out.Answers))
	}
	for _, a := range d.out.Answers {
		if a.Snapshot != d.out.Snapshot.Name {
			d.t.Fatalf("an answer of %s in an outcome of %s", a.Snapshot, d.out.Snapshot.Name)
		}
	}
	for name, ts := range d.f.table.targets {
		if ts.replicas[0].outstanding != 0 {
			d.t.Fatalf("%s still has %d calls outstanding after Finish", name, ts.replicas[0].outstanding)
		}
	}
}

// Guards against incomplete answers during an index switch: the new version has
// reached only some shards, while the older one is complete.
func TestChooseSnapshotPrefersCompleteOverNewer(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, 2, 1)
	holdBoth := func(shard int) []target.Holding {
		return []target.Holding{
			{Snapshot: "v1", Seq: 1, Shards: 4, Shard: shard, Records: 100},
			{Snapshot: "v2", Seq: 2, Shards: 4, Shard: shard, Records: 100},
		}
	}
	for shard := range 3 {
		f.table.ApplyStatus(targetName(shard, 0), statusOf("i1", target.StateServing, holdBoth(shard)...), at(1))
	}
	snap, _ := f.table.ChooseSnapshot(at(2))
	g.Expect(snap.Name).To(Equal("v1"), "v2 lacks a shard")
	f.table.ApplyStatus(targetName(3, 0), statusOf("i1", target.StateServing, holdBoth(3)...), at(3))
	snap, _ = f.table.ChooseSnapshot(at(4))
	g.Expect(snap.Name).To(Equal("v2"), "v2 is complete and on half of the replicas")
}

// Guards against records of two index versions in one answer: a leaf drops the old
// version during the query, and the retry reads the new one. The whole query must be
// restarted instead.
func TestSnapshotGoneRestartsTheWholeQuery(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 1, 1)
	q := NewQuery(spec(), f.table)
	first := sends(q.Start(at(0)))
	g.Expect(first).To(HaveLen(3))
	q.HandleAnswer(at(1), first[0].Attempt, answer(first[0]))
	f.reportHoldings(2, "v2", 2, 3)
	again := sends(q.HandleFailure(at(3), first[1].Attempt, Failure{Reason: ReasonSnapshotGone, Refused: true}))
	g.Expect(again).To(HaveLen(3))
	var last []Action
	for _, s := range again {
		g.Expect(s.Snapshot).To(Equal("v2"))
		last = q.HandleAnswer(at(5), s.Attempt, answer(s))
	}
	out := outcome(last)
	g.Expect(out.Coverage.AllAnswered()).To(BeTrue())
	g.Expect(out.Snapshot.Name).To(Equal("v2"))
	g.Expect(out.Restarts).To(Equal(1))
}

// Guards against a caller that needs full coverage and waits until its time limit
// although a shard is permanently lost. The query must end at once.
func TestQueryEndsOnceCoverageIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 1, 1)
	q := NewQuery(spec(), f.table)
	s := sends(q.Start(at(0)))
	f.table.StatusReadFailed(targetName(0, 0))
	f.table.StatusReadFailed(targetName(0, 0))
	out := outcome(q.HandleFailure(at(1), s[0].Attempt, Failure{Reason: ReasonBroken}))
	g.Expect(out).NotTo(BeNil())
	g.Expect(out.End).To(Equal(EndExhausted))
	g.Expect(out.Coverage.Missing).To(Equal(int64(200)), "neither shard was read")
}

// Guards against an answer that is reported as complete although a leaf stated that it
// left records out.
func TestIncompleteLeafCountsAsMissing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 1, 1)
	q := NewQuery(spec(), f.table)
	s := sends(q.Start(at(0)))
	a := answer(s[0])
	a.Complete = false
	a.Missing = 25
	q.HandleAnswer(at(1), s[0].Attempt, a)
	out := outcome(q.HandleAnswer(at(2), s[1].Attempt, answer(s[1])))
	g.Expect(out.Coverage.AllAnswered()).To(BeFalse())
	g.Expect(out.Coverage.Missing).To(Equal(int64(25)))
	g.Expect(out.Coverage.Ratio()).To(BeNumerically("~", 0.875, 1e-9))
}

// Guards against a drained target that gets new work because a late status of the same
// incarnation still says "serving". Only a new incarnation may clear the drain.
func TestDrainLastsForItsIncarnation(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 1, 1)
	name := targetName(0, 0)
	hold := target.Holding{Snapshot: "v1", Seq: 1, Shards: 1, Records: 1}
	g.Expect(f.table.MarkDraining(name, "i1")).To(BeTrue())
	f.table.ApplyStatus(name, statusOf("i1", target.StateServing, hold), at(1))
	_, ok := f.table.Pick(at(2), "v1", 0, nil, false)
	g.Expect(ok).To(BeFalse())
	f.table.ApplyStatus(name, statusOf("i2", target.StateServing, hold), at(3))
	_, ok = f.table.Pick(at(4), "v1", 0, nil, false)
	g.Expect(ok).To(BeTrue())
}

// Guards against hedges that add load when all targets are slow. The hedge budget
// limits them to a share of first attempts in every case.
func TestHedgesStayWithinBudget(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(10, 3, 1)
	for i := range 100 {
		f.table.Latency.Add(at(i%50), time.Millisecond)
	}
	first, hedges := 0, 0
	for range 300 {
		q := NewQuery(spec(), f.table)
		s := sends(q.Start(at(0)))
		first += len(s)
		for i := range 8 {
			q.HandleAnswer(at(1), s[i].Attempt, answer(s[i]))
		}
		hedges += len(sends(q.Tick(at(40))))
		q.Abandon(at(41))
	}
	g.Expect(hedges).To(BeNumerically(">", 0))
	g.Expect(hedges).To(BeNumerically("<=", 0.05*float64(first)+budgetBurst))
}

// Guards against searches that stay slow while the connections to one target are silent.
// Each time a hedge is answered and the first attempt is cancelled. If that counts as no
// failure, the target keeps its share of attempts and the hedge budget runs out.
func TestStalledReplicaEntersCooldown(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2, 1)
	for range 100 {
		f.table.Latency.Add(at(0), 5*time.Millisecond)
	}
	id := ReplicaID{Target: targetName(0, 0)}
	stall := func(ms int) {
		f.table.BeginAttempt(id)
		f.table.EndAttempt(id, AttemptEnd{Cancelled: true, Took: 30 * time.Millisecond}, at(ms))
	}
	picked := func(ms int) bool {
		for range 50 {
			if got, _ := f.table.Pick(at(ms), "v1", 0, nil, false); got == id {
				return true
			}
		}
		return false
	}
	stall(100)
	stall(101)
	g.Expect(picked(101)).To(BeTrue(), "attempts that were in flight together count once")
	stall(140)
	g.Expect(picked(141)).To(BeFalse())
	g.Expect(picked(140+2000)).To(BeTrue(), "the replica is tried again")
	_, ok := f.table.Pick(at(141), "v1", 0, []ReplicaID{{Target: targetName(0, 1)}}, false)
	g.Expect(ok).To(BeTrue(), "at once if no other replica is left")
}

// Guards against a search over one shard that waits for a straggler although other
// replicas are idle: a rule that sends hedges only once half of the shards have answered
// would never hedge it.
func TestSingleShardIsHedged(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2, 1)
	for range 100 {
		f.table.Latency.Add(at(0), 5*time.Millisecond)
	}
	q := NewQuery(spec(), f.table)
	g.Expect(sends(q.Start(at(0)))).To(HaveLen(1))
	g.Expect(sends(q.Tick(at(20)))).To(HaveLen(1))
}

// Guards against slow searches whose cause the operator can't see: the first attempt on a
// shard failed, and the last one, which was answered, is fast. The time before the last
// attempt was sent must be reported separately.
func TestLastAnswerSeparatesSendDelayFromLatency(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 2, 1)
	q := NewQuery(spec(), f.table)
	s := sends(q.Start(at(0)))
	q.HandleAnswer(at(5), s[0].Attempt, answer(s[0]))
	again := sends(q.HandleFailure(at(30), s[1].Attempt, Failure{Reason: ReasonBroken}))
	g.Expect(again).To(HaveLen(1))
	out := outcome(q.HandleAnswer(at(38), again[0].Attempt, answer(again[0])))
	g.Expect(out.LastAnswer).To(Equal(LastAnswer{SentAfter: 30 * time.Millisecond, Took: 8 * time.Millisecond}))
}

// Guards against searches that wait in one replica's queue while another replica is
// idle, because the idle one reports a heavy load that it does not have. The latency
// that this VM measures on both must outweigh the report.
func TestMeasuredLatencyOutweighsMisreportedLoad(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2, 1)
	report := func(replica int, load float64, took time.Duration) ReplicaID {
		id := ReplicaID{Target: targetName(0, replica)}
		st := statusOf("i1", target.StateServing, target.Holding{Snapshot: "v1", Seq: 1, Shards: 1, Records: 100})
		st.Leaves[0].Load = load
		f.table.ApplyStatus(id.Target, st, at(0))
		f.table.BeginAttempt(id)
		f.table.EndAttempt(id, AttemptEnd{Answered: true, Took: took}, at(0))
		return id
	}
	idle := report(0, 20, 10*time.Millisecond)
	report(1, 0, 30*time.Millisecond)
	picked := 0
	for range 100 {
		if id, _ := f.table.Pick(at(1), "v1", 0, nil, false); id == idle {
			picked++
		}
	}
	g.Expect(picked).To(BeNumerically(">", 50), "one draw in four offers only the busy replica")
	_, ok := f.table.Pick(at(1), "v1", 0, []ReplicaID{{Target: targetName(0, 1)}}, true)
	g.Expect(ok).To(BeFalse(), "hedges still avoid a replica that reports load")
}

// Guards against an attempt, lost on a silent connection, that leaves no time for a
// retry. Latencies are uneven, so that four times their 99th percentile is nearly the
// time limit. With that timeout the attempt is given up too late for another one, and
// the caller gets half an answer.
func TestLostAttemptTimesOutInTimeForRetry(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 2, 1)
	for i := range 200 {
		took := 5 * time.Millisecond
		if i%20 == 0 {
			took = 50 * time.Millisecond
		}
		f.table.EndAttempt(ReplicaID{Target: targetName(0, 0)}, AttemptEnd{Answered: true, Took: took}, at(0))
	}
	f.table.Median.UpdateBaseline(at(0), false)
	sp := spec()
	sp.HedgeQuantile = 0
	sp.Deadline = at(200)
	q := NewQuery(sp, f.table)
	s := sends(q.Start(at(0)))
	q.HandleAnswer(at(5), s[0].Attempt, answer(s[0]))
	g.Expect(q.NextTick()).To(Equal(at(100)))
	again := sends(q.Tick(at(100)))
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Replica).NotTo(Equal(s[1].Replica))
}

// Guards against a search that fails long before its deadline although replicas are alive: all
// targets, or this VM, were slow for a moment, each attempt of a shard was cut off after its
// timeout, and the shard may get no further one. Whichever attempt is answered must count.
func TestOverdueAttemptsMayStillBeAnswered(t *testing.T) {
	for answered := range spec().MaxAttempts {
		g := NewWithT(t)
		f := newFleet(1, 2, 1)
		f.recordAnswers(targetName(0, 0))
		sp := spec()
		sp.HedgeQuantile = 0
		sp.Deadline = at(5000)
		q := NewQuery(sp, f.table)
		attempts := sends(q.Start(at(0)))
		now := 0
		for len(attempts) < sp.MaxAttempts {
			now += int(attemptTimeoutMin.Milliseconds())
			g.Expect(q.NextTick()).To(Equal(at(now)))
			attempts = append(attempts, sends(q.Tick(at(now)))...)
		}
		for _, s := range attempts {
			g.Expect(s.Timeout).To(BeNumerically(">=", sp.Deadline.Sub(at(now))))
		}
		g.Expect(q.Tick(at(4000))).To(BeEmpty(), "no further attempt, and none is cancelled")
		g.Expect(q.NextTick()).To(Equal(sp.Deadline))
		out := outcome(q.HandleAnswer(at(4500), attempts[answered].Attempt, answer(attempts[answered])))
		g.Expect(out).NotTo(BeNil())
		g.Expect(out.End).To(Equal(EndComplete))
	}
}

// Guards against a search that fails although its attempts are still in flight: they are overdue,
// and the retry budget is empty. It must wait for them, and retry once there is budget.
func TestOverdueAttemptWaitsForTheRetryBudget(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2, 1)
	f.recordAnswers(targetName(0, 0))
	for f.table.Retries.Take() {
	}
	sp := spec()
	sp.HedgeQuantile = 0
	sp.Deadline = at(5000)
	q := NewQuery(sp, f.table)
	first := sends(q.Start(at(0)))
	for ms := 50; ms < 500; ms += 10 {
		g.Expect(q.Tick(at(ms))).To(BeEmpty(), "at %d ms", ms)
	}
	f.table.Retries.RecordFirst(20)
	again := sends(q.Tick(at(500)))
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Replica).NotTo(Equal(first[0].Replica))
	g.Expect(outcome(q.HandleAnswer(at(510), first[0].Attempt, answer(first[0])))).NotTo(BeNil())
}

// Guards against a shard that is retried twice: once when its attempt is overdue, and again when
// that attempt fails after all.
func TestFailureOfAnOverdueAttemptSendsNoFurtherRetry(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2, 1)
	f.recordAnswers(targetName(0, 0))
	sp := spec()
	sp.HedgeQuantile = 0
	q := NewQuery(sp, f.table)
	first := sends(q.Start(at(0)))
	g.Expect(sends(q.Tick(at(50)))).To(HaveLen(1))
	g.Expect(q.HandleFailure(at(60), first[0].Attempt, Failure{Reason: ReasonBroken})).To(BeEmpty())
}

// Guards against a last attempt that goes to a frozen target although the other replica's target
// answers: both replicas have had an attempt that was cut off, the live one since the machine is
// busy.
func TestLastAttemptGoesToATargetThatAnswers(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		f := newFleet(1, 2, seed)
		f.recordAnswers(targetName(0, 0), targetName(0, 1))
		sp := spec()
		sp.HedgeQuantile = 0
		sp.Deadline = at(5000)
		q := NewQuery(sp, f.table)
		frozen := sends(q.Start(at(1)))[0].Replica
		live := sends(q.Tick(at(51)))[0].Replica
		g.Expect(live).NotTo(Equal(frozen))
		f.table.BeginAttempt(live)
		f.table.EndAttempt(live, AttemptEnd{Answered: true, Took: 30 * time.Millisecond}, at(90)) // of another search
		last := sends(q.Tick(at(101)))
		g.Expect(last).To(HaveLen(1))
		g.Expect(last[0].Replica).To(Equal(live), "seed %d", seed)
	}
}

// Guards against a search that waits for a lost attempt until its deadline because its VM has
// just started and knows no latencies yet. The attempt must time out while there is time for
// another one.
func TestLostAttemptTimesOutWhileLatenciesAreUnknown(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2, 1)
	sp := spec()
	sp.HedgeQuantile = 0
	sp.Deadline = at(5000)
	q := NewQuery(sp, f.table)
	first := sends(q.Start(at(0)))
	g.Expect(first).To(HaveLen(1))
	g.Expect(q.NextTick()).To(Equal(at(2500)))
	again := sends(q.Tick(at(2500)))
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Replica).NotTo(Equal(first[0].Replica))
}

// Guards against a search that sends no hedge because no latencies were known when it began,
// although other searches of its VM were answered meanwhile.
func TestHedgeIsSentOnceLatenciesAreKnown(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 2, 1)
	sp := spec()
	sp.Deadline = at(5000)
	q := NewQuery(sp, f.table)
	s := sends(q.Start(at(0)))
	q.HandleAnswer(at(5), s[0].Attempt, answer(s[0]))
	for range 200 {
		f.table.Latency.Add(at(10), 5*time.Millisecond)
	}
	var hedges []Send
	for next := q.NextTick(); len(hedges) == 0 && next.Before(at(500)); next = q.NextTick() {
		hedges = sends(q.Tick(next))
	}
	g.Expect(hedges).To(HaveLen(1))
	g.Expect(hedges[0].Hedge).To(BeTrue())
	g.Expect(hedges[0].Shard).To(Equal(s[1].Shard))
}

// Guards against giving up attempts that only wait in a target's queue. If an attempt is
// given up after half of its query's time, its slot is wasted and the next attempt waits
// as long: at a load of twice the capacity a tenth less is served. Such an attempt must
// keep its timeout.
func TestQueuedAttemptKeepsItsTimeout(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 2, 1)
	addSamples(&f.table.Median, 0, 500, 5000, 10*time.Millisecond, false)
	addSamples(&f.table.Median, 5000, 500, 500, 20*time.Millisecond, true)
	for range 200 {
		f.table.Latency.Add(at(5500), 60*time.Millisecond)
	}
	sp := spec()
	sp.HedgeQuantile = 0
	sp.Deadline = at(5700)
	q := NewQuery(sp, f.table)
	sends(q.Start(at(5500)))
	g.Expect(q.NextTick()).To(Equal(at(5700)))
}
