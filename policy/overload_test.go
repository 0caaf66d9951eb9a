package policy

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A zone is lost without a word. For seconds many attempts find no connection to
// its targets, and are answered by replicas elsewhere that have slots to spare.
// The attempts counted as refused for want of slots, the limit of admission fell
// to one query at a time, and callers were refused for long after.
func TestUnreachableTargetsAreNoSignOfLoad(t *testing.T) {
	g := NewWithT(t)
	for failure, want := range map[Failure]Pressure{
		{Reason: ReasonUnreachable, NoConnection: true}: NoPressure,
		{Reason: ReasonBusy, NoConnection: true}:        NoPressure, // all connections are silent
		{Reason: ReasonNoReplica}:                       NoPressure,
		{Reason: ReasonTimeout}:                         NoPressure,
		{Reason: ReasonShed}:                            Refusing,
		{Reason: ReasonBusy}:                            Refusing,
	} {
		failure.Refused = true
		f := newFleet(2, 2, 1)
		q := NewQuery(spec(), f.table)
		first := sends(q.Start(at(0)))
		again := sends(q.Failed(at(1), first[0].Attempt, failure))
		g.Expect(again).To(HaveLen(1), "%+v", failure)
		q.Answered(at(2), first[1].Attempt, answer(first[1]))
		out := outcome(q.Answered(at(3), again[0].Attempt, answer(again[0])))
		g.Expect(out.End).To(Equal(EndAnswered))
		g.Expect(f.table.Pressure(out, time.Second)).To(Equal(want), "%+v", failure)
	}
}

// A shard has no answer since all of its replicas rest after failures. That is no
// want of slots, unless some attempt was turned away for one.
func TestRestingReplicasAreNoSignOfLoad(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 1, 1)
	out := Outcome{Sent: 20, Coverage: Coverage{Gaps: []ShardGap{{Reason: ReasonBusy}}}}
	g.Expect(f.table.Pressure(&out, time.Second)).To(Equal(NoPressure))
	out.Shed = 1
	g.Expect(f.table.Pressure(&out, time.Second)).To(Equal(Refusing))
}
