package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// ownedShards adds shards with a leaf in each of the zones, so that VMs there are called.
func (w *world) ownedShards(zones ...string) {
	for _, name := range w.shards(2, zones...) {
		w.table.SetServiceConfig(w.now, name, ServiceConfig{Shard: true})
	}
}

// A third of the VMs loses power at once. Each of those that are left finds each loss by a
// call that is not answered, and every request of some seconds lacks the shards of one or
// two calls. After the first such call all VMs that are called are asked whether they live.
func TestSilentVMTriggersLivenessRound(t *testing.T) {
	w := newWorld(t)
	w.ownedShards("other", "third")
	vms := fleetOf(8, "other", "third")
	w.table.SetVMs(w.now, vms)
	w.Expect(w.table.DueForLivenessCheck(w.now)).To(gomega.BeEmpty())
	partners := w.table.Delegates(w.now)
	silent := partners[0]
	w.table.CallEnded(w.now, silent.Name, EndSilent)
	due := w.table.DueForLivenessCheck(w.now)
	w.Expect(due).NotTo(gomega.BeEmpty())
	w.Expect(due).NotTo(gomega.ContainElement(silent), "it is under suspicion already")
	w.Expect(w.table.DueForLivenessCheck(w.now)).To(gomega.BeEmpty(), "once is enough")

	lost := due[0]
	w.table.LivenessCheckFailed(w.now, lost.Name)
	w.Expect(w.table.Delegates(w.now)).NotTo(gomega.ContainElement(lost))
	w.wait(firstProbe)
	suspects, _ := w.table.SuspectVMs(w.now)
	w.Expect(suspects).To(gomega.ContainElements(silent, lost))
}

// Calls fail by the hundred, and each had all VMs asked once more: the messages alone take
// what processor time is left.
func TestLivenessRoundsAreRateLimited(t *testing.T) {
	w := newWorld(t)
	w.ownedShards("other", "third")
	vms := fleetOf(8, "other", "third")
	w.table.SetVMs(w.now, vms)
	rounds := 0
	const seconds = 5
	for range seconds * 100 {
		w.table.CallEnded(w.now, w.table.Delegates(w.now)[0].Name, EndSilent)
		if len(w.table.DueForLivenessCheck(w.now)) > 0 {
			rounds++
		}
		for _, vm := range vms {
			w.table.RecordVMProbe(w.now, vm.Name, true)
		}
		w.wait(10 * time.Millisecond)
	}
	w.Expect(rounds).To(gomega.BeNumerically("<=", seconds+1))
}
