package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// Guards against a first attempt, hedge or retry at a leaf of an evacuated zone, and against a call
// of the zone's VMs for its leafs. After the evacuation the leafs are used again.
func TestLeafsOfEvacuatedZoneGetNoRequests(t *testing.T) {
	w := newWorld(t)
	names := w.shards(10, "gone", "other")
	w.table.SetVMs(w.now, fleetOf(2, "gone", "other"))
	w.table.SetEvacuatedZones(w.now, []string{"gone"})
	for range 20 {
		spec := w.gathered(names)
		spec.MayDelegate = true
		acts := NewQuery(spec, w.table).Start(w.now)
		w.Expect(sends(acts)).To(gomega.BeEmpty())
		w.Expect(vmCalls(acts)).To(gomega.HaveLen(1))
		w.Expect(vmCalls(acts)[0].VM.Zone).To(gomega.Equal("other"))
	}
	w.table.SetEvacuatedZones(w.now, nil)
	zones := map[string]bool{}
	for range 20 {
		spec := w.gathered(names)
		spec.MayDelegate = true
		zones[vmCalls(NewQuery(spec, w.table).Start(w.now))[0].VM.Zone] = true
	}
	w.Expect(zones).To(gomega.HaveLen(2))
}

// Guards against a hedge or retry of a request in flight that goes to a zone which was evacuated
// after its first attempt.
func TestRequestInFlightIsNotRetriedInEvacuatedZone(t *testing.T) {
	w := newWorld(t)
	w.leaf("ledger", homeZone)
	w.leaf("ledger", "gone")
	q := NewQuery(w.single("ledger", true), w.table)
	first := sends(q.Start(w.now))[0]
	w.Expect(first.Leaf.ID).To(gomega.Equal("ledger@home"))
	w.table.SetEvacuatedZones(w.now, []string{"gone"})
	for w.now.Before(q.Wake(w.now)) && q.Wake(w.now).Before(q.spec.Deadline) {
		w.now = q.Wake(w.now)
		w.Expect(sends(q.Tick(w.now))).To(gomega.BeEmpty())
	}
	w.table.AttemptEnded(w.now, first.Leaf, first.SentAt, EndRefused)
	for _, s := range sends(q.Fail(w.now, first.Attempt, EndRefused)) {
		w.Expect(s.Leaf.ID).To(gomega.Equal("ledger@home"))
	}
}

// Guards against callers that wait for a time-out when the last zone of too many shards is
// evacuated, and against a report that names another cause.
func TestShardsWithLeafsInEvacuatedZoneOnlyAreMissingAtOnce(t *testing.T) {
	w := newWorld(t)
	names := w.shards(19, homeZone)
	w.leaf("lone-1", "gone")
	w.leaf("lone-2", "gone")
	w.table.SetEvacuatedZones(w.now, []string{"gone"})

	q := NewQuery(w.gathered(append(names, "lone-1")), w.table)
	first := sends(q.Start(w.now))
	w.Expect(first).To(gomega.HaveLen(19))
	var out *Outcome
	for _, s := range first {
		out = outcome(q.Reply(w.now, s.Attempt, false))
	}
	w.Expect(out).NotTo(gomega.BeNil(), "answered without a wait for the evacuated shard")
	w.Expect(out.Verdict).To(gomega.Equal(Answered))
	w.Expect(out.Gaps).To(gomega.Equal([]Gap{{Shard: 19, Cause: GapEvacuated}}))

	spec := w.gathered(append(names, "lone-1", "lone-2"))
	spec.MinShare = 0.95
	out = outcome(NewQuery(spec, w.table).Start(w.now))
	w.Expect(out).NotTo(gomega.BeNil(), "refused at once")
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))

	out = outcome(NewQuery(w.single("lone-1", true), w.table).Start(w.now))
	w.Expect(out).NotTo(gomega.BeNil(), "refused at once")
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))
}

// Guards against a called VM that sends the shards of a VM that does not know of an evacuation yet to
// leafs of the evacuated zone, or to more leafs than both VMs may use. It declines shards whose
// common leafs are evacuated; the evacuation of another zone does not matter.
func TestVMsThatDifferInEvacuationsDeclineEachOther(t *testing.T) {
	for _, evacuated := range []string{homeZone, "a"} {
		w := newWorld(t)
		spec := w.gathered(w.shards(10, "a", "b", homeZone))
		spec.Delegated, spec.RequestID = true, "request"
		spec.Views = w.viewsOf(spec)
		w.table.SetEvacuatedZones(w.now, []string{evacuated})
		q := NewQuery(spec, w.table)
		first := sends(q.Start(w.now))
		for _, s := range first {
			w.Expect(w.table.findLeaf(s.Leaf).Zone).NotTo(gomega.Equal(evacuated))
		}
		if evacuated == homeZone {
			w.Expect(first).To(gomega.BeEmpty())
			w.Expect(q.Declined()).To(gomega.HaveLen(10))
		} else {
			w.Expect(first).To(gomega.HaveLen(10))
			w.Expect(q.Declined()).To(gomega.BeEmpty())
		}
	}
}

// Guards against leafs that get requests although their zone is evacuated, whatever the order in
// which leafs appear, move and drain, and zones are evacuated and taken back.
func TestNoRequestReachesEvacuatedZoneInAnyOrderOfChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		zones := []string{homeZone, "a", "b"}
		evacuated := map[string]bool{}
		zoneOf := map[string]string{}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				id := rapid.SampledFrom([]string{"l1", "l2", "l3", "l4"}).Draw(t, "leaf")
				zoneOf[id] = zone
				w.table.Apply(w.now, registry.Change{Leaf: registry.Leaf{
					ID: id, Born: int64(rapid.IntRange(1, 2).Draw(t, "born")), Service: "ledger", Zone: zone, Slots: 2,
					Address: "127.0.0.1:1", Draining: rapid.Bool().Draw(t, "draining"),
				}})
			case 1:
				evacuated[zone] = !evacuated[zone]
				var list []string
				for _, z := range zones {
					if evacuated[z] {
						list = append(list, z)
					}
				}
				w.table.SetEvacuatedZones(w.now, list)
			case 2:
				w.wait(time.Duration(step) * time.Millisecond)
				for _, s := range sends(NewQuery(w.single("ledger", true), w.table).Start(w.now)) {
					w.Expect(evacuated[zoneOf[s.Leaf.ID]]).To(gomega.BeFalse(), s.Leaf.ID)
				}
			}
		}
	})
}
