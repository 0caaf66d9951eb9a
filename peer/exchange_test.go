package peer

import (
	"testing"
)

// TestRevisionAndDrainReachAllVMs: a revision and a drain, each known to one of 20 VMs,
// must reach all of them. No VM is lost here, so the VMs have the default timeouts: with
// newFleet's 200 ms between pings, VMs in a process with little processor time closed
// connections as silent, and were never all connected.
func TestRevisionAndDrainReachAllVMs(t *testing.T) {
	f := newDefaultTimeoutFleet(t, 20)
	f.waitConnected()
	f.vms[0].heads.set(7)
	f.waitForAll(hasRevision(7))
	d := Drain{Target: "target-1", Incarnation: "a"}
	f.vms[3].PublishDrain(d)
	f.waitForAll(func(vm *testVM) bool { return len(vm.Drains()) == 1 && vm.Drains()[0] == d })
}
