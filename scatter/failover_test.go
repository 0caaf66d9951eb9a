package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// newQueryWithTwoOwners returns a query whose shards have leafs in zones with two VMs each,
// and the call that it starts with.
func newQueryWithTwoOwners(w *world, shards int) (*Query, CallVM) {
	return newQueryWithOwners(w, 2, shards)
}

// newQueryWithOwners returns a query whose shards have leafs in zones with the given number of
// VMs each, and the call that it starts with.
func newQueryWithOwners(w *world, owners, shards int) (*Query, CallVM) {
	names := w.shards(shards, "other", "third", "fourth")
	w.table.SetVMs(w.now, fleetOf(owners, "other", "third", "fourth"))
	spec := w.gathered(names)
	spec.MayDelegate = true
	spec.RequestID = "request"
	q := NewQuery(spec, w.table)
	calls := vmCalls(q.Start(w.now))
	w.Expect(calls).To(gomega.HaveLen(1))
	return q, calls[0]
}

// nextFailover advances the clock until an unanswered call fails over to another VM, and
// returns the new call.
func (w *world) nextFailover(q *Query) CallVM {
	w.now = q.Wake(w.now)
	acts := q.Tick(w.now)
	w.Expect(sends(acts)).To(gomega.BeEmpty())
	calls := vmCalls(acts)
	w.Expect(calls).To(gomega.HaveLen(1))
	return calls[0]
}

// Guards against losing the shards of a silent VM. The VMs that call it don't own its leafs, so
// their share of the budget's floor is less than one extra arrival, and they can't send the shards
// to leafs themselves.
func TestSilentVMFailsOverToAnotherOwner(t *testing.T) {
	w := newWorld(t)
	q, first := newQueryWithTwoOwners(w, 10)
	w.exhaustBudgets(q)
	second := w.nextFailover(q)
	w.Expect(second.Redelegated).To(gomega.BeTrue())
	w.Expect(second.VM.Zone).To(gomega.Equal(first.VM.Zone))
	w.Expect(second.VM.Name).NotTo(gomega.Equal(first.VM.Name))
	w.Expect(second.Shards).To(gomega.Equal(first.Shards))
	out := outcome(q.CallReply(w.now, second.Call, CallAnswer{Included: allBut(10), Last: true}))
	w.Expect(out.Verdict).To(gomega.Equal(Answered))
	w.Expect(out.Missing).To(gomega.BeZero())
}

// Guards against a failed request where several VMs are lost together, two owners of the same
// leafs among them.
func TestSecondSilentVMFailsOverAsWell(t *testing.T) {
	w := newWorld(t)
	q, first := newQueryWithOwners(w, 3, 10)
	w.exhaustBudgets(q)
	second := w.nextFailover(q)
	third := w.nextFailover(q)
	w.Expect(third.Redelegated).To(gomega.BeTrue())
	w.Expect(third.Shards).To(gomega.Equal(first.Shards))
	names := map[string]bool{}
	for _, call := range []CallVM{first, second, third} {
		w.Expect(call.VM.Zone).To(gomega.Equal(first.VM.Zone))
		names[call.VM.Name] = true
	}
	w.Expect(names).To(gomega.HaveLen(3))
}

// Guards against requests to thirty leafs, each over a new connection, because the called VM is
// unreachable. Another owner of the leafs is called instead.
func TestUnreachableVMFailsOverToAnotherOwner(t *testing.T) {
	w := newWorld(t)
	q, first := newQueryWithTwoOwners(w, 10)
	w.table.CallEnded(w.now, first.VM.Name, EndUnreachable)
	acts := q.CallFail(w.now, first.Call, true)
	w.Expect(sends(acts)).To(gomega.BeEmpty())
	second := vmCalls(acts)[0]
	w.Expect(second.VM.Name).NotTo(gomega.Equal(first.VM.Name))
	w.Expect(second.Redelegated).To(gomega.BeFalse(), "no VM has sent the shards to a leaf")
}

// Guards against an answer that counts a shard twice: the first VM was slow, not lost, and
// answered after the call had failed over.
func TestAnswersOfTwoVMsCountEachShardOnce(t *testing.T) {
	for _, test := range []struct {
		name          string
		first, second []int
		included      []int
		missing       int
	}{
		{"the earlier one has as many", []int{0, 1, 2, 3, 4}, []int{4, 5, 6, 7, 8}, []int{0}, 5},
		{"the later one has more", []int{0, 1}, []int{1, 2, 3, 4, 5, 6, 7, 8}, []int{1}, 2},
		{"they share none", []int{0, 1, 2, 3, 4}, []int{5, 6, 7, 8, 9}, []int{0, 1}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			q, first := newQueryWithTwoOwners(w, 10)
			q.spec.MinShare = 0.1
			second := w.nextFailover(q)
			w.Expect(outcome(q.CallReply(w.now, second.Call, CallAnswer{Included: test.first}))).To(gomega.BeNil())
			out := outcome(q.CallReply(w.now, first.Call, CallAnswer{Included: test.second}))
			for out == nil {
				w.now = q.Wake(w.now)
				out = outcome(q.Tick(w.now))
			}
			w.Expect(out.CallAnswers).To(gomega.Equal(test.included))
			w.Expect(out.Missing).To(gomega.Equal(test.missing))
		})
	}
}

// Guards against reporting that a request has not run because the second VM refused it: leafs may
// have run it for the first VM.
func TestRefusalOfSecondVMDoesNotProveNotRun(t *testing.T) {
	w := newWorld(t)
	q, _ := newQueryWithTwoOwners(w, 10)
	second := w.nextFailover(q)
	out := outcome(q.CallReply(w.now, second.Call, CallAnswer{Last: true, Refused: true}))
	for out == nil {
		w.now = q.Wake(w.now)
		out = outcome(q.Tick(w.now))
	}
	w.Expect(out.Verdict).NotTo(gomega.Equal(NotRun))
}

// Guards against more leafs working on one request than it allows: two VMs were called for the
// same shards, and neither knows what the other did.
func TestTwoCalledVMsUseNoMoreLeafsThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		q, call := newQueryWithTwoOwners(w, 6)
		names := q.spec.Services
		ran := make(map[string]map[LeafID]bool)
		// serve runs the query of the called VM, and records the leafs to which it sends
		// requests.
		serve := func(call CallVM) {
			peer := newWorld(t)
			peer.becomeVM(call.VM.Name, call.VM.Zone, ampleBudget)
			peer.shards(6, "other", "third", "fourth")
			for _, name := range names {
				if zone := rapid.SampledFrom([]string{"", "other", "third", "fourth"}).Draw(t, "unreachable zone"); zone != "" {
					peer.table.AttemptEnded(peer.now, LeafID{ID: name + "@" + zone, Born: 1}, peer.now, EndUnreachable)
				}
			}
			spec := peer.gathered(nil)
			for _, i := range call.Shards {
				spec.Services = append(spec.Services, names[i])
			}
			spec.RequestID, spec.Delegated, spec.Views, spec.Redelegated = "request", true, call.Views, call.Redelegated
			spec.MaxAttempts = q.spec.MaxAttempts
			peerQuery := NewQuery(spec, peer.table)
			for _, acts := range [][]Action{peerQuery.Start(peer.now), peerQuery.Tick(peer.now.Add(60 * time.Millisecond))} {
				for _, s := range sends(acts) {
					name := spec.Services[s.Shard]
					if ran[name] == nil {
						ran[name] = make(map[LeafID]bool)
					}
					ran[name][s.Leaf] = true
				}
			}
		}
		serve(call)
		serve(w.nextFailover(q))
		for name, leafs := range ran {
			w.Expect(len(leafs)).To(gomega.BeNumerically("<=", 2), name)
		}
	})
}

// Guards against losing half of a request's time to a VM that is frozen or disconnected, and
// against failing over from a VM that is alive and has not answered yet.
func TestUnacknowledgedCallFailsOverEarly(t *testing.T) {
	w := newWorld(t)
	q, first := newQueryWithTwoOwners(w, 10)
	began := w.now
	q.CallSent(w.now, first.Call)
	w.nextFailover(q)
	w.Expect(w.now.Sub(began)).To(gomega.BeNumerically("<=", q.spec.AnswerBy.Sub(began)/4))

	w = newWorld(t)
	q, first = newQueryWithTwoOwners(w, 10)
	q.CallSent(w.now, first.Call)
	w.wait(2 * time.Millisecond)
	q.CallReply(w.now, first.Call, CallAnswer{})
	began = w.now
	w.now = q.Wake(w.now)
	acts := q.Tick(w.now)
	w.Expect(w.now.Sub(began)).To(gomega.BeNumerically(">", q.spec.AnswerBy.Sub(began)/2))
	w.Expect(vmCalls(acts)).To(gomega.BeEmpty(), "its leafs are slow, and another VM would query them a second time")
}

// Guards against failing over from all VMs of a distant region, whose acknowledgements always
// take long.
func TestSlowAcknowledgementsAreWaitedFor(t *testing.T) {
	w := newWorld(t)
	q, first := newQueryWithTwoOwners(w, 10)
	q.CallSent(w.now, first.Call)
	w.nextFailover(q)
	w.wait(10 * time.Millisecond)
	took := w.now.Sub(q.startedAt)
	q.CallReply(w.now, first.Call, CallAnswer{})
	var next *Query
	var call CallVM
	for call.VM.Zone != first.VM.Zone {
		next = NewQuery(q.spec, w.table)
		next.spec.AnswerBy = w.now.Add(90 * time.Millisecond)
		call = vmCalls(next.Start(w.now))[0]
	}
	next.CallSent(w.now, call.Call)
	w.Expect(next.Wake(w.now)).To(gomega.BeTemporally(">", w.now.Add(took)))
}

// Guards against calling two VMs for all shards after all VMs restarted, when connections
// between them have yet to be made.
func TestCallWaitingForConnectionDoesNotFailOverEarly(t *testing.T) {
	w := newWorld(t)
	q, first := newQueryWithTwoOwners(w, 10)
	began := w.now
	w.nextFailover(q)
	w.Expect(w.now.Sub(began)).To(gomega.BeNumerically(">", q.spec.AnswerBy.Sub(began)/2))
	q.CallReply(w.now, first.Call, CallAnswer{})
	w.Expect(w.table.ackTimes).To(gomega.BeEmpty(), "how long the acknowledgement took is not known")
}

// Guards against extra arrivals that are taken from no budget. A VM that is called in place of a
// silent one takes even its first request for a shard from the budget, since the silent VM may
// have queried the shard.
func TestSecondVMTakesEachArrivalFromBudget(t *testing.T) {
	w := newWorld(t)
	names := w.shards(5, homeZone, "other")
	spec := w.gathered(names)
	spec.Delegated, spec.Redelegated, spec.BudgetWeight, spec.RequestID = true, true, 0, "request"
	spec.Views = w.viewsOf(spec)
	w.Expect(sends(NewQuery(spec, w.table).Start(w.now))).To(gomega.HaveLen(5))
	w.exhaustBudgets(NewQuery(spec, w.table))
	w.Expect(sends(NewQuery(spec, w.table).Start(w.now))).To(gomega.BeEmpty())
}
