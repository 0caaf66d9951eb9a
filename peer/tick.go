package peer

import (
	"math/rand/v2"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
)

// pausedAfterTicks is the number of intervals (Options.Interval) since the last tick
// after which the process counts as having been frozen. After a freeze all its connections
// look silent although the peers are alive.
const pausedAfterTicks = 5

// tick does the periodic work: it expires suspects and lost VMs, maintains the
// connections, and starts a digest comparison with one peer.
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

// dropLinksAfterPause closes all connections without suspecting their peers: after
// a freeze this VM is the cause of the silence. The caller must hold mu.
func (x *Exchange) dropLinksAfterPause() {
	x.opts.Log.Warn("process was paused; dialling peers again")
	for l := range x.links {
		x.dropLink(l)
	}
}

// maintainLinks dials as many random VMs as connections are missing for Fanout. It
// replaces one dialled connection every RotateInterval, so that the connections stay
// random. It sometimes dials a VM that counts as lost; see pickLost. The caller must hold
// mu.
func (x *Exchange) maintainLinks(now time.Time) {
	// Dials in progress count as connections.
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

// knownVMs returns the platform's list of VMs. On a VM that never read the list, because
// it started while the platform was down, it returns the VMs known from peers. If it
// returned none there, two halves of a partitioned fleet whose VMs all started in that
// time would know each other only as lost, and neither would dial the other. The caller
// must hold mu.
func (x *Exchange) knownVMs() []objstore.VM {
	if x.listedVMs != nil {
		return x.listedVMs
	}
	var known []objstore.VM
	for _, m := range x.table.Members() {
		if m.Address != "" {
			known = append(known, memberVM(m))
		}
	}
	return known
}

// dialSeed dials a random one of Options.Seeds that this VM isn't connected to. It is also
// called if this VM has connections but knows no further VMs: VMs that start together
// while the platform is down may connect to each other first. If they then didn't dial
// the seeds, they would stay isolated without a bundle. The caller must hold mu.
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

// unlinkedVMs returns those of the live VMs that have an address and to which this VM has
// no link. This VM itself isn't among them. The caller must hold mu.
func (x *Exchange) unlinkedVMs(live []objstore.VM) []objstore.VM {
	excluded := map[string]bool{x.opts.VM.Name: true}
	for l := range x.links {
		excluded[l.name] = true
	}
	var list []objstore.VM
	for _, vm := range live {
		if !excluded[vm.Name] && vm.Address != "" {
			list = append(list, vm)
		}
	}
	return list
}

// rotate closes the oldest dialled connection if candidates, the live VMs without a link,
// isn't empty; the next tick dials one of them. The caller must hold mu.
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

// randomLink returns a random link, or nil if there is none. The caller must hold mu.
func (x *Exchange) randomLink() *link {
	n := len(x.links)
	if n == 0 {
		return nil
	}
	skip := rand.N(n)
	for l := range x.links {
		if skip == 0 {
			return l
		}
		skip--
	}
	return nil
}

// pickRandom returns up to n VMs chosen at random. It shuffles vms.
func pickRandom(vms []objstore.VM, n int) []objstore.VM {
	if n <= 0 {
		return nil
	}
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms[:min(n, len(vms))]
}

// lostDialsPerSecond is the number of dials that all VMs of the fleet together make to
// each VM that the platform lists but that counts as lost, in one Options.Interval. That
// is one second by default.
const lostDialsPerSecond = 2

// pickLost chooses a VM to dial that counts as lost although the platform lists it,
// and reports whether there is one. After a network partition each half counts the
// other as lost. Some VMs have to dial the other half, but not all at once. So draw, a
// random number from 0 to 1, decides: the whole fleet makes about 2 dials per second
// (lostDialsPerSecond) to each such VM, whatever the fleet's size.
func pickLost(listed []objstore.VM, members []facts.Member, draw float64) (objstore.VM, bool) {
	lost := map[string]bool{}
	for _, m := range members {
		if m.State == facts.Lost {
			lost[m.Name] = true
		}
	}
	var candidates []objstore.VM
	for _, vm := range listed {
		if lost[vm.Name] && !vm.Leaving {
			candidates = append(candidates, vm)
		}
	}
	alive := max(len(listed)-len(candidates), 1)
	// This VM dials with a probability of lostDialsPerSecond times the number of lost VMs,
	// divided by the number of VMs that share the dials.
	if len(candidates) == 0 || draw*float64(alive) > lostDialsPerSecond*float64(len(candidates)) {
		return objstore.VM{}, false
	}
	return candidates[rand.N(len(candidates))], true
}
