package peer

import (
	"math/rand/v2"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

// pausedAfterTicks is how many intervals late a tick is when the process must have
// been frozen. All its connections then look silent though the others live.
const pausedAfterTicks = 5

// tick does what is due: judges suspects, keeps the number of connections, and
// compares digests with one peer.
func (x *Exchange) tick(now time.Time) {
	x.mu.Lock()
	if now.Sub(x.lastTick) > pausedAfterTicks*x.opts.Interval {
		x.dropLinksAfterPause()
	}
	x.lastTick = now
	if x.table.Expire(now.Unix()) {
		x.invalidateCaches()
	}
	x.expireSuspects(now)
	x.maintainLinks(now)
	l := x.randomLink()
	x.mu.Unlock()
	if l != nil {
		x.tomb.Go(func() error { x.sync(l); return nil })
	}
}

// dropLinksAfterPause drops all connections without suspecting anybody: after a freeze the
// silence was this VM's own. It must hold mu.
func (x *Exchange) dropLinksAfterPause() {
	x.opts.Log.Warn("process was paused; peers are dialled anew")
	for l := range x.links {
		x.dropLink(l)
	}
}

// maintainLinks opens connections up to the fanout, replaces one now and then so
// that the VMs mix, and looks for VMs that were lost. It must hold mu.
func (x *Exchange) maintainLinks(now time.Time) {
	if missing := x.opts.Fanout - x.outbound() - len(x.dialing); missing > 0 {
		candidates := x.unlinkedVMs(x.liveLocked())
		if len(candidates) == 0 {
			x.dialSeed()
		}
		for _, vm := range pickRandom(candidates, missing) {
			x.dial(vm.Name, vm.Address)
		}
	}
	if now.Sub(x.lastRotation) > x.opts.RotateInterval {
		x.lastRotation = now
		x.rotate(x.unlinkedVMs(x.liveLocked()))
	}
	if x.table.LostCount() > 0 {
		if vm, ok := pickLost(x.knownVMs(), x.table.Members(), rand.Float64()); ok {
			x.dial(vm.Name, vm.Address)
		}
	}
}

// knownVMs returns the platform's list of VMs. A VM that never got one, since
// it started while the platform was down, has to go by what peers told: else two
// halves of a fleet whose VMs were all replaced in that time would know each
// other only as lost, and neither would look for the other. It must hold mu.
func (x *Exchange) knownVMs() []objstore.VM {
	if x.listed != nil {
		return x.listed
	}
	var known []objstore.VM
	for _, m := range x.table.Members() {
		if m.Address != "" {
			known = append(known, memberVM(m))
		}
	}
	return known
}

// dialSeed dials one of the seeds that this VM isn't connected to. It must hold
// mu. It is done also on a VM that has connections but knows nobody else: VMs
// that start together while the platform is down may find one another first,
// and would stay an island without a bundle if their connections kept them from
// asking the seeds.
func (x *Exchange) dialSeed() {
	linked := map[string]bool{}
	for l := range x.links {
		if m, known := x.table.Member(l.name); known {
			linked[m.Address] = true
		}
	}
	var seeds []string
	for _, address := range x.opts.Seeds {
		if !linked[address] {
			seeds = append(seeds, address)
		}
	}
	if len(seeds) > 0 {
		x.dial("", seeds[rand.N(len(seeds))])
	}
}

func (x *Exchange) unlinkedVMs(live []objstore.VM) []objstore.VM {
	taken := map[string]bool{x.opts.VM.Name: true}
	for l := range x.links {
		taken[l.name] = true
	}
	var list []objstore.VM
	for _, vm := range live {
		if !taken[vm.Name] && vm.Address != "" {
			list = append(list, vm)
		}
	}
	return list
}

// rotate closes the oldest own connection if there is another VM to turn to;
// the next tick dials it. It must hold mu.
func (x *Exchange) rotate(candidates []objstore.VM) {
	if len(candidates) == 0 {
		return
	}
	var oldest *link
	for l := range x.links {
		if l.conn.Dialed() && (oldest == nil || l.openedAt.Before(oldest.openedAt)) {
			oldest = l
		}
	}
	if oldest != nil {
		x.dropLink(oldest)
	}
}

func (x *Exchange) randomLink() *link {
	n := len(x.links)
	if n == 0 {
		return nil
	}
	at := rand.N(n)
	for l := range x.links {
		if at == 0 {
			return l
		}
		at--
	}
	return nil
}

// pickRandom returns up to n VMs chosen at random.
func pickRandom(vms []objstore.VM, n int) []objstore.VM {
	if n <= 0 {
		return nil
	}
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms[:min(n, len(vms))]
}

// lostDialsPerSecond is how often, by the whole fleet, a VM is dialled that is
// listed by the platform but counts as lost.
const lostDialsPerSecond = 2

// pickLost chooses a VM that counts as lost though the platform lists it.
// After a split each half counts the other as lost; somebody has to try, but not
// all VMs at once: chance, from 0 to 1, decides, so that the whole fleet makes
// about two dials a second to each such VM, whatever its size.
func pickLost(listed []objstore.VM, members []facts.Member, chance float64) (objstore.VM, bool) {
	lost := map[string]bool{}
	for _, m := range members {
		if m.State == facts.Lost {
			lost[m.Name] = true
		}
	}
	var list []objstore.VM
	for _, vm := range listed {
		if lost[vm.Name] && !vm.Leaving {
			list = append(list, vm)
		}
	}
	alive := max(len(listed)-len(list), 1)
	if len(list) == 0 || chance*float64(alive) > lostDialsPerSecond*float64(len(list)) {
		return objstore.VM{}, false
	}
	return list[rand.N(len(list))], true
}
