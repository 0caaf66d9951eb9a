package scatter

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// newDelegatedQuery returns a query whose shards have leafs in two other zones only, and the
// call that it starts with.
func newDelegatedQuery(w *world, shards int) (*Query, CallVM) {
	names := w.shards(shards, "other", "third")
	w.table.SetVMs(w.now, []VM{{Name: "vm-other", Zone: "other", Power: 1}, {Name: "vm-third", Zone: "third", Power: 1}})
	spec := w.gathered(names)
	spec.MayDelegate = true
	q := NewQuery(spec, w.table)
	acts := q.Start(w.now)
	w.Expect(sends(acts)).To(gomega.BeEmpty())
	calls := vmCalls(acts)
	w.Expect(calls).To(gomega.HaveLen(1))
	w.Expect(calls[0].Shards).To(gomega.HaveLen(shards))
	return q, calls[0]
}

// allBut returns the indexes from 0 to n-1 without the given ones.
func allBut(n int, except ...int) []int {
	var list []int
	for i := range n {
		skip := false
		for _, x := range except {
			skip = skip || x == i
		}
		if !skip {
			list = append(list, i)
		}
	}
	return list
}

// Guards against three leafs working on one shard of a request that allows two. The called VM sends
// the shard to two leafs and then freezes, and this VM sends it to a third one directly. Both VMs
// together must use at most two leafs, whichever leafs the called VM can't reach.
func TestTwoVMsUseNoMoreLeafsThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := rapid.StringMatching("[0-9a-f]{16}").Draw(t, "request")
		w := newWorld(t)
		names := w.shards(10, "other", "third", "fourth")
		w.table.SetVMs(w.now, []VM{
			{Name: "vm-other", Zone: "other", Power: 1},
			{Name: "vm-third", Zone: "third", Power: 1},
			{Name: "vm-fourth", Zone: "fourth", Power: 1},
		})
		spec := w.gathered(names)
		spec.MayDelegate = true
		spec.RequestID = request
		q := NewQuery(spec, w.table)
		calls := vmCalls(q.Start(w.now))
		w.Expect(calls).To(gomega.HaveLen(1))
		ran := make(map[int]map[LeafID]bool)
		// record adds the leafs to which requests are sent to ran. shard returns the calling
		// VM's index of a shard.
		record := func(list []Send, shard func(int) int) {
			for _, s := range list {
				i := shard(s.Shard)
				if ran[i] == nil {
					ran[i] = map[LeafID]bool{}
				}
				ran[i][s.Leaf] = true
			}
		}

		// The other VM sends each shard to a leaf, and hedges each.
		peer := newWorld(t)
		peer.becomeVM(calls[0].VM.Name, calls[0].VM.Zone, ampleBudget)
		peer.shards(10, "other", "third", "fourth")
		for _, service := range names {
			if zone := rapid.SampledFrom([]string{"", "other", "third", "fourth"}).Draw(t, "unreachable zone"); zone != "" {
				peer.table.AttemptEnded(peer.now, LeafID{ID: service + "@" + zone, Born: 1}, peer.now, EndUnreachable)
			}
		}
		peerSpec := peer.gathered(nil)
		for _, i := range calls[0].Shards {
			peerSpec.Services = append(peerSpec.Services, names[i])
		}
		peerSpec.RequestID, peerSpec.Delegated, peerSpec.Views = request, true, calls[0].Views
		callerShard := func(i int) int { return calls[0].Shards[i] }
		peerQuery := NewQuery(peerSpec, peer.table)
		record(sends(peerQuery.Start(peer.now)), callerShard)
		peer.wait(40 * time.Millisecond)
		record(sends(peerQuery.Tick(peer.now)), callerShard)

		w.now = q.Wake(w.now)
		record(sends(q.Tick(w.now)), func(i int) int { return i })
		w.wait(30 * time.Millisecond)
		record(sends(q.Tick(w.now)), func(i int) int { return i })
		for _, leafs := range ran {
			w.Expect(len(leafs)).To(gomega.BeNumerically("<=", 2))
		}
	})
}

// Guards against three leafs working on one shard of a request that allows two, while leafs are
// replaced. The called VM can't reach the store and still knows removed leafs. It would use one of
// these, and the calling VM two others. The called VM declines shards for which its view, a hash of
// the leafs that it knows, differs. Both together then use no more leafs than the request allows.
func TestVMsWithDifferentViewsUseNoMoreLeafsThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shards = 6
		request := rapid.StringMatching("[0-9a-f]{16}").Draw(t, "request")
		w := newWorld(t)
		w.becomeVM("vm-home", homeZone, ampleBudget)
		names := w.shards(shards, "other", "third", "fourth")
		w.table.SetVMs(w.now, []VM{{Name: "vm-other", Zone: "other", Power: 1}})
		peer := newWorld(t)
		peer.becomeVM("vm-other", "other", ampleBudget)
		peer.shards(shards, "other", "third", "fourth")
		for _, service := range names {
			switch rapid.IntRange(0, 3).Draw(t, "change that only the caller knows") {
			case 1: // a leaf was removed
				w.table.Apply(w.now, registry.Change{Leaf: registry.Leaf{ID: service + "@other", Born: 1, Service: service}, Gone: true})
			case 2: // a leaf was added
				w.leaf(service, "fifth")
			case 3: // a leaf drains
				w.table.Apply(w.now, registry.Change{Leaf: registry.Leaf{
					ID: service + "@third", Born: 1, Service: service, Zone: "third", Slots: 2, Address: "127.0.0.1:1", Draining: true,
				}})
			}
		}
		spec := w.gathered(names)
		spec.MayDelegate, spec.RequestID = true, request
		q := NewQuery(spec, w.table)
		acts := q.Start(w.now)
		ran := make([]map[LeafID]bool, shards)
		// record adds the leafs to which the actions send requests to ran. shard returns the
		// calling VM's index of a shard.
		record := func(acts []Action, shard func(int) int) {
			for _, s := range sends(acts) {
				i := shard(s.Shard)
				if ran[i] == nil {
					ran[i] = map[LeafID]bool{}
				}
				ran[i][s.Leaf] = true
			}
		}
		direct := func(i int) int { return i }
		record(acts, direct)
		if calls := vmCalls(acts); len(calls) > 0 {
			call := calls[0]
			callerShard := func(i int) int { return call.Shards[i] }
			peerSpec := peer.gathered(nil)
			for _, i := range call.Shards {
				peerSpec.Services = append(peerSpec.Services, names[i])
			}
			peerSpec.RequestID, peerSpec.Delegated, peerSpec.Views = request, true, call.Views
			peerQuery := NewQuery(peerSpec, peer.table)
			record(peerQuery.Start(peer.now), callerShard)
			var declined []int
			for _, i := range peerQuery.Declined() {
				declined = append(declined, callerShard(i))
			}
			peer.wait(60 * time.Millisecond)
			record(peerQuery.Tick(peer.now), callerShard)
			record(q.CallReply(w.now, call.Call, CallAnswer{Declined: declined}), direct)
		}
		for range 3 {
			w.wait(30 * time.Millisecond)
			record(q.Tick(w.now), direct)
		}
		for i, leafs := range ran {
			w.Expect(len(leafs)).To(gomega.BeNumerically("<=", 2), names[i])
			w.Expect(leafs).NotTo(gomega.BeEmpty(), names[i])
		}
	})
}

// exhaustBudgets spends the budgets of all services of a query.
func (w *world) exhaustBudgets(q *Query) {
	for i := range q.shards {
		b := w.table.budget(w.now, q.shards[i].service)
		for b.spend(w.now, 0) {
			continue
		}
	}
}

// Guards against losing a shard that the called VM declines, since it does not yet know a new leaf
// that this VM knows. The shard is sent at once and takes nothing from the budget, since it was
// sent to no leaf before.
func TestDeclinedShardIsSentAtOnce(t *testing.T) {
	w := newWorld(t)
	q, call := newDelegatedQuery(w, 10)
	w.exhaustBudgets(q)
	acts := q.CallReply(w.now, call.Call, CallAnswer{Declined: []int{3, 4}})
	w.Expect(sends(acts)).To(gomega.HaveLen(2))
	w.Expect(sends(acts)[0].Shard).To(gomega.Equal(3))
	out := outcome(q.CallReply(w.now, call.Call, CallAnswer{Included: allBut(10, 3, 4), Last: true}))
	w.Expect(out).To(gomega.BeNil())
	w.Expect(outcome(q.Reply(w.now, sends(acts)[0].Attempt, false))).To(gomega.BeNil())
	out = outcome(q.Reply(w.now, sends(acts)[1].Attempt, false))
	w.Expect(out.Missing).To(gomega.Equal(0))
}

// ampleBudget is a budget whose floor of 1000 extra arrivals per window allows every hedge of a
// test.
var ampleBudget = BudgetConfig{Ratio: 0.2, Floor: 1000, Window: 10 * time.Second}

// Guards against losing the shards of a called VM that freezes. Each is sent directly to one leaf
// only, since the VM may have sent it to another. If the VM's answer still arrives, it replaces
// the answers of these leafs.
func TestSilentVMFailsOverToLeafs(t *testing.T) {
	w := newWorld(t)
	q, call := newDelegatedQuery(w, 10)
	w.now = q.Wake(w.now)
	w.Expect(w.now).To(gomega.BeTemporally("<", q.spec.AnswerBy))
	direct := sends(q.Tick(w.now))
	w.Expect(direct).To(gomega.HaveLen(10))
	for _, s := range direct[:9] {
		w.Expect(outcome(q.Reply(w.now, s.Attempt, false))).To(gomega.BeNil())
	}
	out := outcome(q.CallReply(w.now, call.Call, CallAnswer{Included: allBut(10, 0), Last: true}))
	w.Expect(out.Missing).To(gomega.Equal(0))
	w.Expect(out.CallAnswers).To(gomega.Equal([]int{0}))
	w.Expect(out.Parts).To(gomega.Equal([]AttemptID{direct[0].Attempt}))
}

// Guards against waiting for a VM whose address refuses connections. Nothing was sent, so the
// shards are sent directly at once, and the VM gets no calls for a while.
func TestUnreachableVMCostsNoTime(t *testing.T) {
	w := newWorld(t)
	q, call := newDelegatedQuery(w, 10)
	w.table.CallEnded(w.now, call.VM.Name, EndUnreachable)
	w.Expect(sends(q.CallFail(w.now, call.Call, true))).To(gomega.HaveLen(10))
	w.Expect(w.table.pickVM(w.now, zonePartition{zone: call.VM.Zone}, nil)).To(gomega.BeNil())
}

// Guards against delegating shards that have a leaf in this VM's zone. Only the other shards are
// delegated, all to one VM.
func TestNearShardsAreNotDelegated(t *testing.T) {
	w := newWorld(t)
	names := w.shards(8, "other", "third")
	for _, name := range names[:4] {
		w.leaf(name, homeZone)
	}
	w.table.SetVMs(w.now, []VM{{Name: "vm-other", Zone: "other", Power: 1}})
	spec := w.gathered(names)
	spec.MayDelegate = true
	acts := NewQuery(spec, w.table).Start(w.now)
	for _, s := range sends(acts) {
		w.Expect(s.OtherZone).To(gomega.Equal(s.Shard >= 4))
	}
	for _, a := range vmCalls(acts) {
		w.Expect(a.Shards).To(gomega.Equal([]int{4, 5, 6, 7}))
	}
}

// Guards against one VM querying all 60 shards of a zone with twelve VMs: it would be late,
// and a leaf accepts too few connections for all VMs. The VMs divide the leafs. Each queries
// its own partition and calls one owner for each of the others, and all VMs compute the same
// partitions.
func TestManyVMsDivideTheLeafsOfTheirZone(t *testing.T) {
	w := newWorld(t)
	names := w.shards(60, homeZone)
	var others []VM
	for i := range 11 {
		others = append(others, VM{Name: fmt.Sprintf("vm-%02d", i), Zone: homeZone, Power: 1})
	}
	w.table.SetVMs(w.now, others)
	w.table.SetMaxShards(w.now, len(names))
	spec := w.gathered(names)
	spec.MayDelegate = true
	acts := NewQuery(spec, w.table).Start(w.now)
	calls := vmCalls(acts)
	w.Expect(calls).To(gomega.HaveLen(2))
	w.Expect(len(sends(acts)) + len(calls[0].Shards) + len(calls[1].Shards)).To(gomega.Equal(60))

	// The VM that is called for a partition owns it according to its own table.
	peer := newWorld(t)
	peer.becomeVM(calls[0].VM.Name, homeZone, BudgetConfig{})
	list := []VM{{Name: "vm-home", Zone: homeZone, Power: 1}}
	for _, vm := range others {
		if vm.Name != calls[0].VM.Name {
			list = append(list, vm)
		}
	}
	peer.table.SetVMs(peer.now, list)
	peer.table.SetMaxShards(peer.now, len(names))
	z := peer.table.zones[homeZone]
	for _, i := range calls[0].Shards {
		w.Expect(z.owns(z.partitionOf(names[i]))).To(gomega.BeTrue())
	}
}

// Guards against a restart of one VM that changes the partitions of all others. They would all
// open connections to leafs that they did not use before, while callers wait.
func TestVMRestartDoesNotChangePartitions(t *testing.T) {
	w := newWorld(t)
	var others []VM
	for i := range 15 {
		others = append(others, VM{Name: fmt.Sprintf("vm-%02d", i), Zone: homeZone, Power: 1})
	}
	w.table.SetMaxShards(w.now, 60)
	w.table.SetVMs(w.now, others)
	before := w.table.zones[homeZone]
	w.wait(time.Second)
	w.table.SetVMs(w.now, others[1:])
	after := w.table.zones[homeZone]
	w.Expect(after.self).To(gomega.Equal(before.self))
	w.Expect(after.partitions).To(gomega.Equal(before.partitions))
	for partition := range after.partitions {
		for _, v := range w.table.delegates(w.now, zonePartition{zone: homeZone, partition: partition}, nil) {
			w.Expect(v.Name).NotTo(gomega.Equal("vm-00"))
		}
	}
	w.wait(2 * memberRetention)
	w.table.SetVMs(w.now, others[1:])
	w.Expect(w.table.zones[homeZone].ranked).NotTo(gomega.ContainElement(zoneMember{name: "vm-00", power: 1}))
}

// Guards against a failed request although its parts will still arrive. The called VM is slightly
// late, and the budget allows no direct requests to leafs. The shards must not be counted as
// lost.
func TestAnswerAfterFailoverStillCounts(t *testing.T) {
	w := newWorld(t)
	q, call := newDelegatedQuery(w, 10)
	w.exhaustBudgets(q)
	w.now = q.Wake(w.now)
	acts := q.Tick(w.now)
	w.Expect(sends(acts)).To(gomega.BeEmpty())
	w.Expect(outcome(acts)).To(gomega.BeNil())
	w.wait(5 * time.Millisecond)
	out := outcome(q.CallReply(w.now, call.Call, CallAnswer{Included: allBut(10), Last: true}))
	w.Expect(out.Verdict).To(gomega.Equal(Answered))
	w.Expect(out.Missing).To(gomega.Equal(0))
}

// Guards against repeated calls to silent VMs. A third of the VMs is disconnected for seconds.
// Requests of one VM are seconds apart, and each would call the same silent VMs, lose half of
// its time and lack their shards. After one silent call, a VM is called again only once a
// connection to it was made.
func TestSilentVMIsCalledAgainOnlyAfterSuccessfulProbe(t *testing.T) {
	w := newWorld(t)
	_, call := newDelegatedQuery(w, 10)
	name, zone := call.VM.Name, call.VM.Zone
	w.table.CallEnded(w.now, name, EndSilent)
	for range 20 {
		w.wait(time.Second)
		w.Expect(w.table.pickVM(w.now, zonePartition{zone: zone}, nil)).To(gomega.BeNil())
		suspects, _ := w.table.SuspectVMs(w.now)
		for _, vm := range suspects {
			w.table.RecordVMProbe(w.now, vm.Name, false)
		}
	}
	w.wait(maxVMProbePause)
	suspects, _ := w.table.SuspectVMs(w.now)
	w.Expect(suspects).To(gomega.HaveLen(1))
	w.table.RecordVMProbe(w.now, name, true)
	w.Expect(w.table.pickVM(w.now, zonePartition{zone: zone}, nil).Name).To(gomega.Equal(name))
	suspects, next := w.table.SuspectVMs(w.now)
	w.Expect(suspects).To(gomega.BeEmpty())
	w.Expect(next).To(gomega.BeZero())
}

// Guards against repeated requests to a leaf whose machine lost power: each is lost until it
// is hedged. After the first request without any answer the leaf gets no others until a
// connection to it was made.
func TestSilentLeafIsAvoidedAtOnce(t *testing.T) {
	w := newWorld(t)
	silent := w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	q := NewQuery(w.single("ledger", true), w.table)
	first := sends(q.Start(w.now))[0]
	w.Expect(first.Leaf).To(gomega.Equal(silent))
	w.wait(460 * time.Millisecond)
	w.table.AttemptEnded(w.now, silent, first.SentAt, EndSilent)
	w.wait(200 * time.Millisecond)
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf).NotTo(gomega.Equal(silent))
	w.wait(100 * time.Millisecond)
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf).NotTo(gomega.Equal(silent))
	w.Expect(w.table.RecordLeafProbe(w.now, silent, true)).To(gomega.BeTrue())
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf).To(gomega.Equal(silent))
}

// Guards against a called VM that stops waiting for shards long before AnswerBy, because the time
// reserved for sending its answer back grows with the time until AnswerBy.
func TestTimeReservedForCallAnswerIsBounded(t *testing.T) {
	w := newWorld(t)
	names := w.shards(10, "other")
	w.table.SetVMs(w.now, []VM{{Name: "vm-other", Zone: "other", Power: 1}})
	spec := w.gathered(names)
	spec.MayDelegate = true
	for _, left := range []time.Duration{40 * time.Millisecond, 200 * time.Millisecond} {
		spec.AnswerBy = w.now.Add(left)
		call := vmCalls(NewQuery(spec, w.table).Start(w.now))[0]
		w.Expect(spec.AnswerBy.Sub(call.AnswerBy)).To(gomega.BeNumerically("<=", callRoundTrip))
		w.Expect(spec.AnswerBy.Sub(call.AnswerBy)).To(gomega.BeNumerically(">=", callRoundTrip/2))
	}
}

// Guards against reporting that a request may have run although nothing ran. The call fails over,
// the calling VM reaches no leaf itself, and only then does the called VM refuse, since it reaches
// no leaf either. The verdict is NotRun.
func TestRefusalAfterFailoverProvesNotRun(t *testing.T) {
	w := newWorld(t)
	q, call := newDelegatedQuery(w, 10)
	var out *Outcome
	// unreachable lets each attempt of the actions find its leaf unreachable, and each attempt
	// that follows. It sets out if the query ends.
	unreachable := func(acts []Action) {
		for len(acts) > 0 && out == nil {
			out = outcome(acts)
			var next []Action
			for _, s := range sends(acts) {
				next = append(next, q.Fail(w.now, s.Attempt, EndUnreachable)...)
			}
			acts = next
		}
	}
	w.now = q.Wake(w.now)
	failedOver := q.Tick(w.now)
	w.Expect(sends(failedOver)).NotTo(gomega.BeEmpty())
	unreachable(failedOver)
	refused := CallAnswer{Last: true, Refused: true, RetryAfter: 250 * time.Millisecond}
	unreachable(q.CallReply(w.now, call.Call, refused))
	for out == nil {
		w.now = q.Wake(w.now)
		unreachable(q.Tick(w.now))
	}
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))
	w.Expect(out.RetryAfter).To(gomega.Equal(refused.RetryAfter))
}

// Guards against direct requests to a quarter of the shards, each over a new connection, while a
// zone is lost: its VMs are known to be silent, its leafs are still listed, and another zone could
// be asked.
func TestZoneWithoutCallableVMIsNotChosen(t *testing.T) {
	w := newWorld(t)
	names := w.shards(20, "lost", "other")
	vms := fleetOf(3, "lost", "other")
	w.table.SetVMs(w.now, vms)
	for _, v := range vms {
		if v.Zone == "lost" {
			w.table.RecordLivenessCheck(w.now, v.Name, false)
		}
	}
	for range 10 {
		spec := w.gathered(names)
		spec.MayDelegate = true
		acts := NewQuery(spec, w.table).Start(w.now)
		w.Expect(sends(acts)).To(gomega.BeEmpty())
		w.Expect(vmCalls(acts)).To(gomega.HaveLen(1))
		w.Expect(vmCalls(acts)[0].VM.Zone).To(gomega.Equal("other"))
	}
}
