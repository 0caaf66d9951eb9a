package peer

import (
	"testing"
)

// Twenty VMs tell each other of a revision and a drain. None is lost here, so they are as
// patient with each other as daemons are: with the fleet's 200 ms between pings, VMs of a
// process that got little processor time took each other for silent and never all met.
func TestRevisionAndDrainReachAllVMs(t *testing.T) {
	f := newDefaultTimeoutFleet(t, 20)
	f.waitConnected()
	f.vms[0].heads.set(7)
	f.waitForAll(hasRevision(7))
	d := Drain{Target: "target-1", Incarnation: "a"}
	f.vms[3].LearnDrain(d)
	f.waitForAll(func(vm *testVM) bool { return len(vm.Drains()) == 1 && vm.Drains()[0] == d })
}
