package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// gatheredShards adds two services that only gathered requests use, with a leaf in each of the
// zones, so that VMs of these zones are called.
func (w *world) gatheredShards(zones ...string) {
	for _, name := range w.shards(2, zones...) {
		w.table.SetServiceConfig(w.now, name, ServiceConfig{Shard: true})
	}
}

// Guards against detecting each of many lost VMs by a separate call. A third of the VMs loses power
// at once, and for some seconds every request lacks the shards of one or two calls. After the first
// call without an answer, the liveness of all VMs that this one calls is checked.
func TestSilentVMTriggersLivenessRound(t *testing.T) {
	w := newWorld(t)
	w.gatheredShards("other", "third")
	vms := fleetOf(8, "other", "third")
	w.table.SetVMs(w.now, vms)
	w.Expect(w.table.StartLivenessRound(w.now)).To(gomega.BeEmpty())
	delegates := w.table.Delegates(w.now)
	silent := delegates[0]
	w.table.CallEnded(w.now, silent.Name, EndSilent)
	due := w.table.StartLivenessRound(w.now)
	w.Expect(due).NotTo(gomega.BeEmpty())
	w.Expect(due).NotTo(gomega.ContainElement(silent), "it is already suspect")
	w.Expect(w.table.StartLivenessRound(w.now)).To(gomega.BeEmpty(), "one round is enough")

	lost := due[0]
	w.table.RecordLivenessCheck(w.now, lost.Name, false)
	w.Expect(w.table.Delegates(w.now)).NotTo(gomega.ContainElement(lost))
	w.wait(firstProbePause)
	suspects, _ := w.table.SuspectVMs(w.now)
	w.Expect(suspects).To(gomega.ContainElements(silent, lost))
}

// Guards against a round of liveness checks after each of hundreds of failed calls: the
// messages alone would use up the remaining processor time.
func TestLivenessRoundsAreRateLimited(t *testing.T) {
	w := newWorld(t)
	w.gatheredShards("other", "third")
	vms := fleetOf(8, "other", "third")
	w.table.SetVMs(w.now, vms)
	rounds := 0
	const seconds = 5
	for range seconds * 100 {
		w.table.CallEnded(w.now, w.table.Delegates(w.now)[0].Name, EndSilent)
		if len(w.table.StartLivenessRound(w.now)) > 0 {
			rounds++
		}
		for _, vm := range vms {
			w.table.RecordVMProbe(w.now, vm.Name, true)
		}
		w.wait(10 * time.Millisecond)
	}
	w.Expect(rounds).To(gomega.BeNumerically("<=", seconds+1))
}

// Guards against a zone that is never called again: all of its VMs that this one calls were silent,
// and then one of them was reached, or all of them were replaced.
func TestLostZoneIsCalledAgain(t *testing.T) {
	lose := func() (*world, []VM) {
		w := newWorld(t)
		w.gatheredShards("other", "third")
		vms := fleetOf(8, "other", "third")
		w.table.SetVMs(w.now, vms)
		w.table.liveness.request(w.now)
		for _, v := range w.table.StartLivenessRound(w.now) {
			w.table.RecordLivenessCheck(w.now, v.Name, v.Zone != "other")
		}
		found := w.table.EndLivenessRound(w.now)
		w.Expect(found.Report).To(gomega.BeTrue(), "others are told")
		w.Expect(found.LostZones).To(gomega.Equal([]string{"other"}))
		w.Expect(w.table.EndLivenessRound(w.now).Report).To(gomega.BeFalse(), "others are told once")
		for _, v := range w.table.Delegates(w.now) {
			w.Expect(v.Zone).To(gomega.Equal("third"), "other owners of the zone are not called either")
		}
		return w, vms
	}
	zones := func(w *world) map[string]bool {
		list := map[string]bool{}
		for _, v := range w.table.Delegates(w.now) {
			list[v.Zone] = true
		}
		return list
	}
	w, _ := lose()
	w.wait(firstProbePause)
	suspects, _ := w.table.SuspectVMs(w.now)
	w.Expect(suspects).NotTo(gomega.BeEmpty())
	w.table.RecordVMProbe(w.now, suspects[0].Name, true)
	w.Expect(zones(w)).To(gomega.HaveLen(2))

	w, vms := lose()
	for i := range vms {
		vms[i].Address = "new"
	}
	w.table.SetVMs(w.now, vms)
	w.Expect(zones(w)).To(gomega.HaveLen(2))
}

// Guards against callers that stay with a VM, or with all VMs of a zone, that is cut off from the
// other zones and lacks most shards. A loss of power that ends soon, and one of all zones but one,
// must not turn callers away.
func TestVMThatIsCutOffCountsAsIsolated(t *testing.T) {
	for _, others := range [][]string{{"other"}, {"other", "third"}} {
		cutOff := len(others) == 2 // with one other zone, either may be the one that is lost
		w := newWorld(t)
		w.gatheredShards(append(others, homeZone)...)
		w.table.SetVMs(w.now, fleetOf(8, append(others, homeZone)...))
		round := func(alive func(VM) bool) {
			w.wait(livenessPause)
			w.table.liveness.request(w.now)
			for _, v := range w.table.StartLivenessRound(w.now) {
				w.table.RecordLivenessCheck(w.now, v.Name, alive(v))
			}
			w.table.EndLivenessRound(w.now)
		}
		round(func(v VM) bool { return v.Zone == homeZone })
		w.Expect(w.table.Isolated(w.now)).To(gomega.BeFalse(), "only just")
		w.wait(isolationPeriod)
		w.Expect(w.table.Isolated(w.now)).To(gomega.Equal(cutOff))
		suspects, _ := w.table.SuspectVMs(w.now)
		w.table.RecordVMProbe(w.now, suspects[0].Name, true)
		w.Expect(w.table.Isolated(w.now)).To(gomega.BeFalse(), "reaches a VM of another zone")
	}
}

// Guards against zones whose loss stays unknown in a small fleet, where each VM calls a single VM of
// the zone: the other VMs of the zone must be checked too, and the loss must be told. While one of
// them is alive, the zone must not count as lost.
func TestSmallZoneIsCheckedWhole(t *testing.T) {
	for _, alive := range []string{"", "weak-other-2"} {
		w := newWorld(t)
		w.gatheredShards("other", "third")
		var vms []VM
		for _, zone := range []string{"other", "third"} {
			vms = append(vms, VM{Name: "strong-" + zone, Zone: zone, Power: 1},
				VM{Name: "weak-" + zone + "-1", Zone: zone, Power: 0.1}, VM{Name: "weak-" + zone + "-2", Zone: zone, Power: 0.1})
		}
		w.table.SetVMs(w.now, vms)
		w.table.liveness.request(w.now)
		called := w.table.StartLivenessRound(w.now)
		w.Expect(called).To(gomega.ConsistOf(vms[0], vms[3]))
		witnesses := w.table.LivenessWitnesses(called)
		w.Expect(witnesses).To(gomega.ConsistOf(vms[1], vms[2], vms[4], vms[5]))
		for _, v := range append(called, witnesses...) {
			w.table.RecordLivenessCheck(w.now, v.Name, v.Zone == "third" || v.Name == alive)
		}
		found := w.table.EndLivenessRound(w.now)
		w.Expect(found.Report).To(gomega.BeTrue())
		if alive == "" {
			w.Expect(found.LostZones).To(gomega.Equal([]string{"other"}))
		} else {
			w.Expect(found.LostZones).To(gomega.BeEmpty())
		}
	}
}

// Guards against liveness rounds that open connections to more and more VMs as the fleet grows: where
// this VM calls several VMs of a zone, these are enough.
func TestLargeZonesNeedNoWitnesses(t *testing.T) {
	w := newWorld(t)
	w.gatheredShards("other", "third")
	w.table.SetVMs(w.now, fleetOf(8, "other", "third"))
	w.table.liveness.request(w.now)
	w.Expect(w.table.LivenessWitnesses(w.table.StartLivenessRound(w.now))).To(gomega.BeEmpty())
}
