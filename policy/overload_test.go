package policy

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// runWithRetry runs a query of two shards, in which one attempt ends with the given
// failure and its retry is answered. It returns the outcome. ms is the start of the query.
func (f *testFleet) runWithRetry(g *WithT, ms int, failure Failure) *Outcome {
	q := NewQuery(spec(), f.table)
	first := sends(q.Start(at(ms)))
	again := sends(q.HandleFailure(at(ms+1), first[0].Attempt, failure))
	g.Expect(again).To(HaveLen(1))
	q.HandleAnswer(at(ms+2), first[1].Attempt, answer(first[1]))
	out := outcome(q.HandleAnswer(at(ms+3), again[0].Attempt, answer(again[0])))
	g.Expect(out.End).To(Equal(EndComplete))
	return out
}

// Guards against refused callers after the sudden loss of a zone. For seconds many
// attempts find no connection to its targets, and their retries are answered by
// replicas elsewhere that have free slots. If these attempts count as refused because
// no slot was free, the admission limit falls to one query at a time, and callers are
// refused long after that.
func TestUnreachableTargetsDoNotCountAsOverload(t *testing.T) {
	g := NewWithT(t)
	for failure, want := range map[Failure]Pressure{
		{Reason: ReasonUnreachable, NoConnection: true}: NoPressure,
		{Reason: ReasonBusy, NoConnection: true}:        NoPressure, // all connections are silent
		{Reason: ReasonNoReplica}:                       NoPressure,
		{Reason: ReasonTimeout}:                         NoPressure,
		{Reason: ReasonShed}:                            TargetsRefusing,
		{Reason: ReasonBusy}:                            TargetsRefusing,
	} {
		failure.Refused = true
		f := newFleet(2, 4, 1)
		f.table.Retries.SetShare(1)
		var out *Outcome
		for i := range 30 { // one per second, so that all cooldowns have ended
			out = f.runWithRetry(g, i*1000, failure)
		}
		g.Expect(f.table.Pressure(out, time.Second)).To(Equal(want), "%+v", failure)
	}
}

// Guards against single refusals that count as overload. A target that became silent
// holds its owner's slots, so the owner refuses a call to it now and then, and the
// retry is answered at once. In a search over four shards that is a fifth of the
// attempts. If it counts as overload, callers of idle targets are refused.
func TestSingleRefusalDoesNotCountAsOverload(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, 2, 1)
	out := f.runFourShards(g, 0, true)
	g.Expect(out.Shed).To(Equal(1))
	g.Expect(f.table.Pressure(out, time.Second)).To(Equal(NoPressure))
	for i := 1; i <= 200; i++ { // one query in four has a refused attempt
		out = f.runFourShards(g, i*1000, i%4 == 0)
		g.Expect(f.table.Pressure(out, time.Second)).To(Equal(NoPressure), "query %d", i)
	}
}

// runFourShards runs a query of four shards and returns its outcome. ms is the start of the
// query. If shed is set, the target of one attempt refuses it because no slot is free, and
// the retry is answered.
func (f *testFleet) runFourShards(g *WithT, ms int, shed bool) *Outcome {
	q := NewQuery(spec(), f.table)
	attempts := sends(q.Start(at(ms)))
	if shed {
		again := sends(q.HandleFailure(at(ms+1), attempts[0].Attempt, Failure{Reason: ReasonShed, Refused: true}))
		g.Expect(again).To(HaveLen(1))
		attempts[0] = again[0]
	}
	var out *Outcome
	for _, s := range attempts {
		out = outcome(q.HandleAnswer(at(ms+2), s.Attempt, answer(s)))
	}
	return out
}

// Guards against callers that are refused although slots are free. A shard has no answer
// because all of its replicas are in cooldown after failures. This counts as overload only
// if a target also refused an attempt of the query because no slot was free.
func TestReplicasInCooldownDoNotCountAsOverload(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 1, 1)
	out := Outcome{Sent: 20, Coverage: Coverage{Gaps: []ShardGap{{Reason: ReasonBusy}}}}
	g.Expect(f.table.Pressure(&out, time.Second)).To(Equal(NoPressure))
	out.Shed = 1
	g.Expect(f.table.Pressure(&out, time.Second)).To(Equal(TargetsRefusing))
}
