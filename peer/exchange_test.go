package peer

import (
	"testing"
)

func TestRevisionAndDrainReachAllVMs(t *testing.T) {
	f := newFleet(t, 20)
	f.connected()
	f.vms[0].heads.set(7)
	f.everywhere(hasRevision(7))
	d := Drain{Target: "target-1", Incarnation: "a"}
	f.vms[3].LearnDrain(d)
	f.everywhere(func(vm *testVM) bool { return len(vm.Drains()) == 1 && vm.Drains()[0] == d })
}
