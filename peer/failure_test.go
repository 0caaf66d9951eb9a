package peer

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

// fleetWithLost returns a list of n VMs of which some count as lost.
func fleetWithLost(n, lost int) (listed []objstore.VM, members []facts.Member) {
	for i := range n {
		m := facts.Member{Name: fmt.Sprint("vm-", i)}
		if i < lost {
			m.State = facts.Lost
		}
		members = append(members, m)
		listed = append(listed, memberVM(m))
	}
	return listed, members
}

func names(vms []objstore.VM) (list []string) {
	for _, vm := range vms {
		list = append(list, vm.Name)
	}
	return list
}

// halves splits a fleet in two by address.
func (f *testFleet) halves() (left, right []*testVM, group map[string]int) {
	group = map[string]int{}
	for i, vm := range f.vms {
		if i%2 == 0 {
			left = append(left, vm)
			continue
		}
		right = append(right, vm)
		group[vm.Address()] = 1
	}
	return left, right, group
}

// TestPartitionAndMerge: two regions lose each other. An operator rolls out a bundle
// and a target drains on one side; users of the other side are still served by
// the old bundle. When the regions join, the other side has to take both without
// anybody's help, though each VM there counts the first side's VMs as lost.
func TestPartitionAndMerge(t *testing.T) {
	f := newFleet(t, 8)
	f.waitConnected()
	f.vms[0].heads.set(1)
	f.waitForAll(hasRevision(1))
	left, right, group := f.halves()
	f.net.split(group)
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == len(left) })
	left[0].heads.set(2)
	left[0].LearnDrain(Drain{"t", "1"})
	right[0].LearnDrain(Drain{"t", "2"})
	f.waitForAll(hasRevision(2), left...)
	for _, vm := range right {
		f.g.Expect(vm.heads.Revision()).To(Equal(uint64(1)))
	}
	f.net.split(nil)
	f.waitForAll(func(vm *testVM) bool {
		return vm.heads.Revision() == 2 && len(vm.Drains()) == 2 && len(vm.Live()) == len(f.vms)
	})
}

// TestMergeAfterLostVMsAreForgotten: two regions lose each other for so long that
// each forgets the other's VMs. They must still find each other once they can,
// or users of one of them would stay with an old bundle for good. Each side is
// made to forget; the time itself is not waited for.
func TestMergeAfterLostVMsAreForgotten(t *testing.T) {
	f := newFleet(t, 8)
	f.waitConnected()
	left, _, group := f.halves()
	f.net.split(group)
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == len(left) })
	left[0].heads.set(2)
	f.waitForAll(hasRevision(2), left...)
	const longer = time.Hour
	for _, vm := range f.vms {
		vm.mu.Lock()
		f.g.Expect(vm.table.Expire(time.Now().Add(longer).Unix())).To(BeTrue())
		vm.invalidateCaches()
		vm.mu.Unlock()
	}
	f.net.split(nil)
	f.waitForAll(func(vm *testVM) bool {
		return vm.heads.Revision() == 2 && len(vm.Live()) == len(f.vms)
	})
}

// TestLostVMsAreRedialledWithoutPlatformList: while the platform is down two VMs lose
// each other, and the only VM that either was given as a seed is replaced. Both
// then know the other only as lost, from what peers told. Users of one of them
// would stay with an old bundle until the platform is back.
func TestLostVMsAreRedialledWithoutPlatformList(t *testing.T) {
	f := newFleet(t, 0)
	f.list.down = true
	seed := f.start("seed", nil)
	withSeed := func(o *Options) { o.Seeds = []string{seed.Address()} }
	here, there := f.start("here", withSeed), f.start("there", withSeed)
	f.waitConnected()
	f.net.split(map[string]int{there.Address(): 1})
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == 1 }, there)
	seed.crash()
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == 1 }, here)
	here.heads.set(2)
	f.net.split(nil)
	f.waitForAll(func(vm *testVM) bool { return vm.heads.Revision() == 2 && len(vm.Live()) == 2 }, here, there)
}

// TestSuspicionCarriesListedAddress: two VMs know each other from the platform's
// list alone when they lose each other and the platform. One of them tells a new VM
// that the other is lost and then dies. Users of the new VM stayed with an old
// bundle until the platform was back: it knew the lost VM's name, but no address.
func TestSuspicionCarriesListedAddress(t *testing.T) {
	f := newFleet(t, 0)
	there := f.start("there", nil)
	f.net.split(map[string]int{there.Address(): 1})
	here := f.start("here", nil)
	knowsLost := func(vm *testVM) bool { return vm.lostCount() == 1 }
	f.waitForAll(knowsLost, here)
	f.list.setDown(true)
	fresh := f.start("fresh", func(o *Options) { o.Seeds = []string{here.Address()} })
	f.waitForAll(knowsLost, fresh)
	here.crash()
	there.heads.set(2)
	f.net.split(nil)
	f.waitForAll(hasRevision(2), fresh)
}

// TestSplitCutsPendingDials: TestSplitAndJoin failed now and then, with every VM
// still counting the other side as live: a dial that began before the split got
// its connection after it. All suspicions were answered over that one link. The
// tests' network must cut such a dial too.
func TestSplitCutsPendingDials(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	n := newNetwork()
	from, to := "here", ln.Addr().String()
	n.onConnect = func() { n.split(map[string]int{to: 1}) }
	conn, err := n.dialer(&from)(t.Context(), "tcp", to)
	if err == nil {
		conn.Close()
	}
	g.Expect(err).To(HaveOccurred())
	g.Expect(n.open).To(BeEmpty())
}

// TestStartWithPlatformDown: power returns to a zone while the platform is still
// down, so no VM can read the list of VMs. One VM holds a bundle. With a seed the
// others find it and each other, and take the bundle over.
func TestStartWithPlatformDown(t *testing.T) {
	f := newFleet(t, 0)
	f.list.down = true
	seed := f.start("seed", nil)
	seed.heads.set(5)
	for i := range 5 {
		f.start(fmt.Sprint("vm-", i), func(o *Options) { o.Seeds = []string{seed.Address()} })
	}
	f.waitConnected()
	f.waitForAll(hasRevision(5))
}

// TestConnectedVMStillDialsSeed: VMs start together while the platform is down. Two find
// each other before the VM that one of them was given listens. They must go on
// asking for it: users of an island would get no answer until the platform is
// back, though another VM has the bundle.
func TestConnectedVMStillDialsSeed(t *testing.T) {
	f := newFleet(t, 0)
	f.list.down = true
	late := reservePort(t)
	first := f.start("first", func(o *Options) { o.Seeds = []string{late} })
	f.start("second", func(o *Options) { o.Seeds = []string{first.Address()} })
	f.waitForAll(func(vm *testVM) bool { return vm.Peers() == 1 })
	seed := f.startWith("late", nil, func(x *Exchange) { x.opts.Listen = late })
	seed.heads.set(5)
	f.waitConnected()
	f.waitForAll(hasRevision(5))
}

// TestKilledVM: a VM dies without a word while the platform's list goes on
// naming it. The others must count it out within seconds, or queries go there.
func TestKilledVM(t *testing.T) {
	f := newFleet(t, 6)
	f.waitConnected()
	dead := f.vms[5]
	dead.crash()
	f.waitForAll(func(vm *testVM) bool { return !slices.Contains(names(vm.Live()), "vm-005") }, f.vms[:5]...)
}

// crash ends a VM without a goodbye.
func (vm *testVM) crash() {
	vm.mu.Lock()
	vm.tomb.Kill(nil)
	vm.mu.Unlock()
	vm.server.Stop()
}

// TestLeavingVM: a VM that stops says so while it still serves; the others must
// not count it as live any more, also if the platform's list lags, and must not
// take it for lost.
func TestLeavingVM(t *testing.T) {
	f := newFleet(t, 5)
	f.waitConnected()
	f.vms[0].AnnounceLeaving()
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == 4 })
	f.g.Expect(names(f.vms[0].Live())).NotTo(ContainElement("vm-000"))
}

// TestIsolatedVMReturns: one VM can't be reached for a while and is counted as
// lost; a rollout happens. When it comes back it says that it lives, by a higher
// counter, and takes the new revision; what it still believes harms nobody.
func TestIsolatedVMReturns(t *testing.T) {
	f := newFleet(t, 6)
	f.waitConnected()
	f.vms[0].heads.set(3)
	f.waitForAll(hasRevision(3))
	rest := f.vms[:5]
	f.net.split(map[string]int{f.vms[5].Address(): 1})
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == 5 }, rest...)
	f.vms[0].heads.set(4)
	f.waitForAll(hasRevision(4), rest...)
	f.net.split(nil)
	f.waitForAll(func(vm *testVM) bool { return vm.heads.Revision() == 4 && len(vm.Live()) == 6 })
}

// TestReplacedWhileFrozen: a VM is frozen, the platform replaces it by a new one
// of the same name, and then the old process runs on. It must not take the name
// back: it finds the later process and says no more.
func TestReplacedWhileFrozen(t *testing.T) {
	f := newFleet(t, 5)
	f.waitConnected()
	old := f.vms[4]
	old.mu.Lock()
	old.startTime = old.startTime.Add(-2 * startupPeriod)
	old.mu.Unlock()
	successor := f.start("vm-004", nil)
	f.waitForAll(func(vm *testVM) bool {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		m, _ := vm.table.Member("vm-004")
		return m.Incarnation == successor.opts.Incarnation
	})
	f.g.Eventually(func() bool {
		old.mu.Lock()
		defer old.mu.Unlock()
		return old.replaced
	}).WithTimeout(testTimeout).Should(BeTrue())
}

// TestClockBehindPredecessor: a VM is replaced by one of the same name whose
// clock is behind. Its first word is older than its predecessor's last, so the
// others would ignore it for good; it notices and states a later start.
func TestClockBehindPredecessor(t *testing.T) {
	f := newFleet(t, 4)
	f.waitConnected()
	old := f.vms[3]
	old.crash()
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == 3 }, f.vms[:3]...)
	successor := f.startWith("vm-003", nil, func(x *Exchange) { x.startNanos = 1 })
	f.waitForAll(func(vm *testVM) bool {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		m, _ := vm.table.Member("vm-003")
		return m.Incarnation == successor.opts.Incarnation
	}, f.vms[0], f.vms[1], f.vms[2], successor)
}

// TestAllVMsReplaced: every VM is replaced one after another while the
// platform's list goes on naming the old ones. Drains and the revision must
// survive though no VM that learned them first is left.
func TestAllVMsReplaced(t *testing.T) {
	const n = 5
	f := newFleet(t, n)
	f.waitConnected()
	f.vms[0].heads.set(9)
	f.vms[1].LearnDrain(Drain{"t", "1"})
	f.waitForAll(func(vm *testVM) bool { return vm.heads.Revision() == 9 && len(vm.Drains()) == 1 })
	for i := range n {
		vm := f.start(fmt.Sprint("new-", i), nil)
		f.waitForAll(func(vm *testVM) bool { return vm.heads.Revision() == 9 && len(vm.Drains()) == 1 }, vm)
		f.vms[i].stop()
	}
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == n }, f.vms[n:]...)
}

func TestWatchersInLargeFleet(t *testing.T) {
	g := NewWithT(t)
	var vms []objstore.VM
	for i := range 950 {
		vms = append(vms, objstore.VM{Name: fmt.Sprint("vm-", i), Zone: fmt.Sprint("z", i%5)})
	}
	count := func(live []objstore.VM) (n int) {
		for _, vm := range live {
			if isWatcher(live, vm.Name) {
				n++
			}
		}
		return n
	}
	g.Expect(count(vms)).To(Equal(5 * watchersPerZone))
	g.Expect(count(vms[:maxAllWatchVMs])).To(Equal(maxAllWatchVMs))
	g.Expect(isWatcher(vms, "stranger")).To(BeFalse())
}

// TestLostVMDialRate: after a split each half looks for the other, but
// a VM that is really dead and still listed must not be dialled by 949 others at
// once.
func TestLostVMDialRate(t *testing.T) {
	g := NewWithT(t)
	listed, members := fleetWithLost(950, 1)
	dials := 0
	for i := range 950 {
		if _, ok := pickLost(listed, members, float64(i)/950); ok {
			dials++
		}
	}
	g.Expect(dials).To(BeNumerically("~", lostDialsPerSecond, 1))
	listed, members = fleetWithLost(6, 3)
	_, ok := pickLost(listed, members, 0.99)
	g.Expect(ok).To(BeTrue())
}

// TestPlaceHolders: a call through a VM that is lost would fail, and one
// that is leaving should get nothing new while another can be called. Lost VMs
// hold no place, leaving ones are marked, and of two that claim one place the one
// that stays has it, or the later.
func TestPlaceHolders(t *testing.T) {
	g := NewWithT(t)
	places := placeHolders([]facts.Member{
		{Name: "stays", Place: 1},
		{Name: "suspected", Place: 2, State: facts.Suspect},
		{Name: "leaves", Place: 3, State: facts.Leaving},
		{Name: "lost", Place: 4, State: facts.Lost},
		{Name: "none"},
		{Name: "later", Place: 6, Started: 2},
		{Name: "earlier", Place: 6, Started: 1},
		{Name: "left", Place: 7, Started: 2, State: facts.Leaving},
		{Name: "successor", Place: 7, Started: 1},
	})
	g.Expect(places).To(HaveLen(5))
	g.Expect(places[2]).To(Equal(objstore.VM{Name: "leaves", Leaving: true}))
	g.Expect(places[6]).To(Equal(objstore.VM{Name: "successor"}))
	g.Expect(places[0].Name).To(Equal("stays"))
	g.Expect(places[1].Name).To(Equal("suspected"))
	g.Expect(places[5].Name).To(Equal("later"))
}
