package peer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

// fleetWithLost returns a platform's list of n VMs, and the statements about them. By
// these statements the first lostCount VMs are lost.
func fleetWithLost(n, lostCount int) (listed []objstore.VM, members []facts.Member) {
	for i := range n {
		m := facts.Member{Name: fmt.Sprint("vm-", i)}
		if i < lostCount {
			m.State = facts.Lost
		}
		members = append(members, m)
		listed = append(listed, memberVM(m))
	}
	return listed, members
}

// names returns the names of VMs.
func names(vms []objstore.VM) (list []string) {
	for _, vm := range vms {
		list = append(list, vm.Name)
	}
	return list
}

// halves divides a fleet into two groups, and returns the number of each VM's group by
// address for network.split. The left group has the number 0, the default.
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

// TestPartitionAndMerge: the network between two regions fails. Each side gets a
// drain, and one side a new revision; the other keeps the old one. After the network
// is back, all VMs must get both drains and the new revision without an operator,
// although each VM counts the VMs of the other side as lost.
func TestPartitionAndMerge(t *testing.T) {
	f := newFleet(t, 8)
	f.waitConnected()
	f.vms[0].heads.set(1)
	f.waitForAll(hasRevision(1))
	left, right, group := f.halves()
	f.net.split(group)
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == len(left) })
	left[0].heads.set(2)
	left[0].PublishDrain(Drain{"t", "1"})
	right[0].PublishDrain(Drain{"t", "2"})
	f.waitForAll(hasRevision(2), left...)
	for _, vm := range right {
		f.g.Expect(vm.heads.Revision()).To(Equal(uint64(1)))
	}
	f.net.split(nil)
	f.waitForAll(func(vm *testVM) bool {
		return vm.heads.Revision() == 2 && len(vm.Drains()) == 2 && len(vm.Live()) == len(f.vms)
	})
}

// TestMergeAfterLostVMsAreForgotten: the network between two regions fails for so
// long that each forgets the VMs of the other. They must connect again once the
// network is back, or users of one region would keep an old bundle permanently. The
// test expires the lost VMs instead of waiting.
func TestMergeAfterLostVMsAreForgotten(t *testing.T) {
	f := newFleet(t, 8)
	f.waitConnected()
	left, _, group := f.halves()
	f.net.split(group)
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == len(left) })
	left[0].heads.set(2)
	f.waitForAll(hasRevision(2), left...)
	const expiryDelay = time.Hour // longer than lost VMs are kept in the table
	for _, vm := range f.vms {
		vm.mu.Lock()
		f.g.Expect(vm.table.Expire(time.Now().Add(expiryDelay).Unix())).To(BeTrue())
		vm.invalidateCaches()
		vm.mu.Unlock()
	}
	f.net.split(nil)
	f.waitForAll(func(vm *testVM) bool {
		return vm.heads.Revision() == 2 && len(vm.Live()) == len(f.vms)
	})
}

// TestLostVMsAreRedialledWithoutPlatformList: while the platform is down, the network
// between two VMs fails, and the only seed of both stops. Each then knows the other
// only as lost, from facts of peers. If neither dialled the other, users of one of
// them would keep an old bundle until the platform is back.
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

// TestSuspicionCarriesListedAddress: a VM knows another one only from the platform's
// list, can't reach it, and counts it as lost. Then the platform fails. A new VM gets
// the loss from the first VM, which then stops. If the new VM didn't know the address of
// the lost VM, it could never dial it, and its users would keep an old bundle until the
// platform is back. The suspicion must carry the address from the list.
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

// TestSplitCutsPendingDials: a dial begins before a split of the simulated network and
// gets its connection after it. Over that one connection all suspicions would be
// refuted, and tests such as TestPartitionAndMerge would fail because every VM still
// counts the other side as live. The split must cut such a dial too.
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

// TestFleetStartsFromSeedWithPlatformDown: the VMs of a zone start while the platform
// is down, for example after a power failure, so no VM can read the list of VMs. One VM
// has a bundle. With that VM as seed, the others must connect to it and to each other,
// and get the bundle.
func TestFleetStartsFromSeedWithPlatformDown(t *testing.T) {
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

// TestConnectedVMStillDialsSeed: VMs start together while the platform is down. Two
// connect to each other before the seed of one of them listens. The VM with that seed
// must keep dialling it. Otherwise the two would stay isolated, and their users would
// get no answers until the platform is back, although the seed has the bundle.
func TestConnectedVMStillDialsSeed(t *testing.T) {
	f := newFleet(t, 0)
	f.list.down = true
	seedAddress := reservePort(t)
	first := f.start("first", func(o *Options) { o.Seeds = []string{seedAddress} })
	f.start("second", func(o *Options) { o.Seeds = []string{first.Address()} })
	f.waitForAll(func(vm *testVM) bool { return vm.Peers() == 1 })
	seed := f.startWith("late", nil, func(x *Exchange) { x.opts.Listen = seedAddress })
	seed.heads.set(5)
	f.waitConnected()
	f.waitForAll(hasRevision(5))
}

// TestKilledVMIsNotLive: a VM is killed without a goodbye, and the platform's list
// still has it. The others must no longer count it as live after a few seconds, or
// queries would still be sent to it.
func TestKilledVMIsNotLive(t *testing.T) {
	f := newFleet(t, 6)
	f.waitConnected()
	killed := f.vms[5]
	killed.crash()
	f.waitForAll(func(vm *testVM) bool { return !slices.Contains(names(vm.Live()), "vm-005") }, f.vms[:5]...)
}

// crash stops a VM without a goodbye to its peers, like the end of its process.
func (vm *testVM) crash() {
	vm.mu.Lock()
	vm.tomb.Kill(nil)
	vm.mu.Unlock()
	vm.server.Stop()
}

// TestLeavingVMIsNotLive: a VM announces that it is leaving while it still serves. No VM
// may count it as live any more, even if the platform's list lags.
func TestLeavingVMIsNotLive(t *testing.T) {
	f := newFleet(t, 5)
	f.waitConnected()
	f.vms[0].AnnounceLeaving()
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == 4 })
	f.g.Expect(names(f.vms[0].Live())).NotTo(ContainElement("vm-000"))
}

// TestIsolatedVMRefutesItsLoss: one VM can't be reached for a while and is marked as
// lost. Meanwhile a new revision is rolled out. When the VM can be reached again, it
// must state with a higher counter that it is alive, and get the new revision. Its
// outdated facts must not affect the others.
func TestIsolatedVMRefutesItsLoss(t *testing.T) {
	f := newFleet(t, 6)
	f.waitConnected()
	f.vms[0].heads.set(3)
	f.waitForAll(hasRevision(3))
	others := f.vms[:5]
	f.net.split(map[string]int{f.vms[5].Address(): 1})
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == 5 }, others...)
	f.vms[0].heads.set(4)
	f.waitForAll(hasRevision(4), others...)
	f.net.split(nil)
	f.waitForAll(func(vm *testVM) bool { return vm.heads.Revision() == 4 && len(vm.Live()) == 6 })
}

// TestVMReplacedWhileFrozenPublishesNothing: a VM is frozen, the platform starts a new
// one of the same name, and then the old process continues. It must not claim the name
// again: it must detect the later process and publish nothing more. The test makes the
// old process older than startupPeriod instead of freezing it.
func TestVMReplacedWhileFrozenPublishesNothing(t *testing.T) {
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

// TestSuccessorWithClockBehindIsKnown: a VM is replaced by one of the same name whose
// clock is behind. By its first statement the successor started before its predecessor,
// so the others would ignore it permanently. It must detect this and state a later start.
func TestSuccessorWithClockBehindIsKnown(t *testing.T) {
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

// TestAllVMsReplaced: all VMs are replaced one after another, and the platform's list
// still has the old ones. Each new VM must get the drains and the revision, also after the
// VMs that published them have stopped.
func TestAllVMsReplaced(t *testing.T) {
	const n = 5
	f := newFleet(t, n)
	f.waitConnected()
	f.vms[0].heads.set(9)
	f.vms[1].PublishDrain(Drain{"t", "1"})
	f.waitForAll(func(vm *testVM) bool { return vm.heads.Revision() == 9 && len(vm.Drains()) == 1 })
	for i := range n {
		vm := f.start(fmt.Sprint("new-", i), nil)
		f.waitForAll(func(vm *testVM) bool { return vm.heads.Revision() == 9 && len(vm.Drains()) == 1 }, vm)
		f.vms[i].stop()
	}
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == n }, f.vms[n:]...)
}

// TestWatchersInLargeFleet: if all VMs of a large fleet watched the platform, they
// would exceed its rate limits. In a small fleet all must watch.
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

// TestLostVMDialRate: after a partition each half must dial the lost VMs of the other. If
// all did so at the same time, a VM that has stopped and is still listed would be dialled
// by 949 others at each interval.
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

// TestLostVMsHoldNoPlace: a call through a lost VM would fail, and a leaving VM should
// get no new calls while another can be called. So lost VMs must hold no place, leaving
// ones must be marked, and if two claim one place, the one that isn't leaving must have
// it, or the one that started later.
func TestLostVMsHoldNoPlace(t *testing.T) {
	g := NewWithT(t)
	places := vmsByPlace([]facts.Member{
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

// TestSuspicionBeforeFirstStatementEndsNoIncarnation guards against the takeover of a running
// VM's place: a VM that is listed but has made no statement yet is suspected, and its
// incarnation must not count as ended before the VM is lost.
func TestSuspicionBeforeFirstStatementEndsNoIncarnation(t *testing.T) {
	g := NewWithT(t)
	x, err := New(Options{VM: objstore.VM{Name: "vm-0"}, Incarnation: "a", Deployment: "d"})
	g.Expect(err).NotTo(HaveOccurred())
	now := time.Now()
	x.mu.Lock()
	x.listedVMs = []objstore.VM{{Name: "vm-1", Address: "127.0.0.1:1"}}
	x.suspect("vm-1", now)
	x.mu.Unlock()
	g.Expect(x.Ended("vm-1", "b")).To(BeFalse(), "only suspected")

	x.mu.Lock()
	x.expireSuspects(now.Add(x.opts.SuspectAfter))
	x.mu.Unlock()
	g.Expect(x.Ended("vm-1", "b")).To(BeTrue(), "lost")

	x.mu.Lock()
	x.mergeAndForward(facts.Fact{Member: &facts.Member{Name: "vm-1", Incarnation: "b", Started: 1}}, nil, now)
	x.mu.Unlock()
	g.Expect(x.Ended("vm-1", "b")).To(BeFalse(), "states that it is alive")
	g.Expect(x.Ended("vm-1", "a")).To(BeTrue(), "an earlier incarnation")
}

// Guards against a VM that doesn't find out that its place was given to another one while it
// counted as lost, and against reads of the platform for VMs that have left or are lost.
func TestPlaceContestedByAnotherVM(t *testing.T) {
	for _, c := range []struct {
		name  string
		other facts.Member
		want  bool
	}{
		{"another place", facts.Member{Place: 3}, false},
		{"the same place", facts.Member{Place: 2}, true},
		{"suspected", facts.Member{Place: 2, State: facts.Suspect}, true},
		{"leaving", facts.Member{Place: 2, State: facts.Leaving}, false},
		{"lost", facts.Member{Place: 2, State: facts.Lost}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x, err := New(Options{VM: objstore.VM{Name: "vm-0"}, Incarnation: "a", Deployment: "d"})
			g.Expect(err).NotTo(HaveOccurred())
			x.self.Name, x.self.Incarnation = "vm-0", "a"
			x.SetPlace(1)
			g.Expect(x.PlaceContested()).To(BeFalse(), "by itself")
			c.other.Name, c.other.Incarnation, c.other.Started = "vm-1", "b", 1
			x.mu.Lock()
			x.merge(facts.Fact{Member: &c.other}, nil, time.Now())
			x.mu.Unlock()
			g.Expect(x.PlaceContested()).To(Equal(c.want))
			x.SetPlace(-1)
			g.Expect(x.PlaceContested()).To(BeFalse(), "without a place")
		})
	}
}

// slowList is a store whose list of VMs takes a while to read.
type slowList struct {
	objstore.Store
	delay time.Duration
}

// VMs reads the list after the delay.
func (s slowList) VMs(ctx context.Context) ([]objstore.VM, error) {
	time.Sleep(s.delay)
	return s.Store.VMs(ctx)
}

// Guards against a VM that starts and stays unknown to the others for a whole interval, since it
// reads the platform's list of VMs just after it looked for VMs to dial.
func TestVMDialsOthersOnceTheListIsRead(t *testing.T) {
	f := newFleet(t, 0)
	never := func(o *Options) { o.Interval, o.ListInterval = 2*testTimeout, 2*testTimeout }
	f.start("vm-000", never)
	fresh := f.start("vm-001", func(o *Options) {
		never(o)
		o.Store = slowList{Store: f.list, delay: 100 * time.Millisecond}
	})
	f.waitForAll(func(vm *testVM) bool { return vm.Peers() == 1 })
	f.waitForAll(func(vm *testVM) bool { return len(vm.Live()) == 2 }, fresh)
}

// laggingList is a store whose list of VMs is empty in the first reads.
type laggingList struct {
	objstore.Store
	emptyReads atomic.Int32 // number of further reads that return an empty list
}

// VMs reads the list.
func (s *laggingList) VMs(ctx context.Context) ([]objstore.VM, error) {
	if s.emptyReads.Add(-1) >= 0 {
		return nil, nil
	}
	return s.Store.VMs(ctx)
}

// Guards against VMs that stay isolated for the interval of their reads, or for good if they are
// cut off from the platform meanwhile, since they started before the platform listed any VM.
func TestVMWithoutPeersReadsTheListAgainSoon(t *testing.T) {
	f := newFleet(t, 0)
	for i := range 2 {
		list := &laggingList{Store: f.list}
		list.emptyReads.Store(2)
		f.start(fmt.Sprintf("vm-%03d", i), func(o *Options) {
			o.Interval, o.ListInterval = 2*testTimeout, 2*testTimeout
			o.Store = list
		})
	}
	f.waitForAll(func(vm *testVM) bool { return vm.Peers() == 1 && len(vm.Live()) == 2 })
}
