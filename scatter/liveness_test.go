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
	w.Expect(w.table.DueForLivenessCheck(w.now)).To(gomega.BeEmpty())
	delegates := w.table.Delegates(w.now)
	silent := delegates[0]
	w.table.CallEnded(w.now, silent.Name, EndSilent)
	due := w.table.DueForLivenessCheck(w.now)
	w.Expect(due).NotTo(gomega.BeEmpty())
	w.Expect(due).NotTo(gomega.ContainElement(silent), "it is already suspect")
	w.Expect(w.table.DueForLivenessCheck(w.now)).To(gomega.BeEmpty(), "one round is enough")

	lost := due[0]
	w.table.LivenessCheckFailed(w.now, lost.Name)
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
