package route

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/share"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// names returns the VM names of candidates, in their order.
func names(list []candidate) (out []string) {
	for _, c := range list {
		out = append(out, c.vm.Name)
	}
	return out
}

// TestNearOwnersFirst: a wrong order of owners costs milliseconds for each call to a far
// owner, and an attempt for each call to one that refuses it or doesn't answer. Owners in
// the same zone must be tried first, then those in the same region. An owner that refused
// calls or doesn't answer must be tried after all others that aren't leaving, however near
// it is, except for those through which an earlier attempt of the search went.
func TestNearOwnersFirst(t *testing.T) {
	g := NewWithT(t)
	z := topology{local: "a", regions: map[string]string{"a": "one", "b": "one", "c": "two"}}
	g.Expect(z.distance("a")).To(Equal(sameZone))
	g.Expect(z.distance("b")).To(Equal(sameRegion))
	g.Expect(z.distance("c")).To(Equal(elsewhere))
	g.Expect(z.distance("unknown")).To(Equal(elsewhere))
	g.Expect(topology{local: "x"}.distance("y")).To(Equal(elsewhere))
	list := []candidate{
		{vm: objstore.VM{Name: "leaving", Leaving: true}, distance: sameZone, weight: 10},
		{vm: objstore.VM{Name: "near, in cooldown"}, distance: sameZone, inCooldown: true, weight: 9},
		{vm: objstore.VM{Name: "far"}, distance: elsewhere, weight: 8},
		{vm: objstore.VM{Name: "region"}, distance: sameRegion, weight: 7},
		{vm: objstore.VM{Name: "near, tried"}, distance: sameZone, tried: true, weight: 3},
		{vm: objstore.VM{Name: "near 1"}, distance: sameZone, weight: 1},
		{vm: objstore.VM{Name: "near 2"}, distance: sameZone, weight: 2},
	}
	sortCandidates(list)
	g.Expect(names(list)).To(Equal([]string{"near 2", "near 1", "region", "far", "near, in cooldown", "near, tried", "leaving"}))
}

// TestOwnerHealth: an owner is frozen and still counts as live. Until the exchange
// detects this, seconds later, each call to it would be lost or cost a hedge. After some
// unanswered calls, the other owners must be tried first, and the frozen owner must be
// tried again later.
func TestOwnerHealth(t *testing.T) {
	endedCtx, cancel := context.WithCancel(context.Background())
	cancel()
	liveCtx := context.Background()
	cancelled := &target.CallError{Kind: target.ErrorCancelled}
	shed := &target.CallError{Kind: target.ErrorRefused, Reason: target.ReasonShed, RetryAfter: 300 * time.Millisecond}
	start := time.Unix(1, 0)
	// at returns the time that is the given number of milliseconds after start.
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	// call records a call that began and ended at these times, in milliseconds after start.
	call := func(h *ownerHealth, ctx context.Context, err error, connEnded bool, from, to int) {
		h.sent(at(from))
		h.record(ctx, "t", err, connEnded, at(to).Sub(at(from)), at(to))
	}
	for name, tc := range map[string]struct {
		events     func(h *ownerHealth)
		inCooldown map[int]bool // expected results of inCooldown, by time in milliseconds after start
	}{
		"answers":             {func(h *ownerHealth) { call(h, liveCtx, nil, false, 0, 10) }, map[int]bool{11: false, 5000: false}},
		"silent for long":     {func(h *ownerHealth) { h.sent(at(0)) }, map[int]bool{19: false, 30: true, 5000: true}},
		"slow as usual":       {func(h *ownerHealth) { h.meanLatency = 100 * time.Millisecond; h.sent(at(0)) }, map[int]bool{399: false, 401: true}},
		"one cancelled hedge": {func(h *ownerHealth) { call(h, endedCtx, cancelled, false, 0, 5) }, map[int]bool{6: false}},
		"short calls unanswered": {func(h *ownerHealth) {
			for i := range maxUnanswered {
				call(h, endedCtx, cancelled, false, 10*i, 10*i+5)
			}
		}, map[int]bool{26: true, 2000: true, 2026: false}},
		"cancelled hedges among answers": {func(h *ownerHealth) {
			for i := range 5 {
				call(h, endedCtx, cancelled, false, 10*i, 10*i+1)
				call(h, liveCtx, nil, false, 10*i+1, 10*i+2)
			}
		}, map[int]bool{50: false}},
		"hedges cancelled before an answer was due": {func(h *ownerHealth) {
			h.meanLatency = 8 * time.Millisecond
			for i := range 2 * maxUnanswered {
				call(h, endedCtx, cancelled, false, 10*i, 10*i+5)
			}
		}, map[int]bool{60: false}},
		"a short pause fails the calls of a search": {func(h *ownerHealth) {
			h.meanLatency = 8 * time.Millisecond
			for range 2 * maxUnanswered {
				h.sent(at(0))
			}
			for i := range 2 * maxUnanswered {
				h.record(endedCtx, "t", cancelled, false, at(10+i).Sub(at(0)), at(10+i))
			}
		}, map[int]bool{19: false}},
		"long calls unanswered": {func(h *ownerHealth) {
			h.meanLatency = 8 * time.Millisecond
			for i := range maxUnanswered {
				call(h, endedCtx, cancelled, false, 20*i, 20*i+10)
			}
		}, map[int]bool{51: true, 2051: false}},
		"no slot": {func(h *ownerHealth) { call(h, liveCtx, shed, false, 0, 1) }, map[int]bool{2: true, 300: true, 302: false}},
		"owner without a connection to the target": {func(h *ownerHealth) {
			call(h, liveCtx, &target.CallError{Kind: target.ErrorUnreachable}, false, 0, 1)
		}, map[int]bool{2: true, 100: true, 102: false}},
		"connection to the owner broke":  {func(h *ownerHealth) { call(h, liveCtx, cancelled, true, 0, 1) }, map[int]bool{2: false}},
		"owner unreachable":              {func(h *ownerHealth) { h.markUnreachable(at(0)) }, map[int]bool{1: true, 2001: false}},
		"connection to the target broke": {func(h *ownerHealth) { call(h, liveCtx, &target.CallError{Kind: target.ErrorBroken}, false, 0, 1) }, map[int]bool{2: false}},
		"answers after silence":          {func(h *ownerHealth) { h.sent(at(0)); h.answered(0, at(100)) }, map[int]bool{101: false}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := &ownerHealth{}
			tc.events(h)
			for ms, want := range tc.inCooldown {
				g.Expect(h.inCooldown("t", at(ms))).To(Equal(want), "at %d ms", ms)
			}
			g.Expect(h.inFlight).To(BeNumerically(">=", 0))
		})
	}
	g := NewWithT(t)
	h := &ownerHealth{}
	call(h, liveCtx, shed, false, 0, 1)
	g.Expect(h.inCooldown("another target", at(2))).To(BeFalse())
}

// selectionFixture holds the VMs and the targets' owners of a fleet of 950 VMs in 5 zones
// and 2 regions with 3,250 targets, each with 8 owners.
type selectionFixture struct {
	vms     []objstore.VM
	regions map[string]string
	targets []string
	owners  [][]int // places of the owners, by index of the target
}

// newSelectionFixture returns the fleet that selectionFixture describes.
func newSelectionFixture() *selectionFixture {
	f := &selectionFixture{regions: map[string]string{"z0": "r0", "z1": "r0", "z2": "r0", "z3": "r1", "z4": "r1"}}
	for i := range 950 {
		f.vms = append(f.vms, objstore.VM{Name: fmt.Sprint("vm-", i), Zone: fmt.Sprint("z", i%5)})
	}
	plan := share.NewPlan(25, len(f.vms))
	for i := range 3250 {
		f.targets = append(f.targets, fmt.Sprint("target-", i))
		f.owners = append(f.owners, plan.OwnerPlaces(f.targets[i]))
	}
	return f
}

// firstChoice returns the owner that a VM tries first for a target, with its distance from
// the VM. Without nearFirst, the choice ignores distances.
func (f *selectionFixture) firstChoice(vm objstore.VM, targetIndex int, nearFirst bool) candidate {
	z := topology{local: vm.Zone, regions: f.regions}
	var list []candidate
	for _, place := range f.owners[targetIndex] {
		owner := f.vms[place]
		c := candidate{vm: owner, weight: rendezvousWeight(vm.Name, f.targets[targetIndex], owner.Name)}
		if nearFirst {
			c.distance = z.distance(owner.Zone)
		}
		list = append(list, c)
	}
	sortCandidates(list)
	list[0].distance = z.distance(list[0].vm.Zone)
	return list[0]
}

// BenchmarkOrder reports how evenly the load is spread over the owners if each VM calls
// each target equally often, what part of the calls stays in the zone or the region, and
// the time of one choice.
func BenchmarkOrder(b *testing.B) {
	f := newSelectionFixture()
	for _, near := range []bool{false, true} {
		b.Run(fmt.Sprint("near=", near), func(b *testing.B) {
			load := map[string]float64{}
			within := [elsewhere + 1]float64{}
			calls := 0.0
			for b.Loop() {
				vm := f.vms[int(calls)%len(f.vms)]
				for i := range f.targets {
					c := f.firstChoice(vm, i, near)
					load[c.vm.Name]++
					within[c.distance]++
				}
				calls++
			}
			var loads []float64
			for _, vm := range f.vms {
				loads = append(loads, load[vm.Name])
			}
			slices.SortFunc(loads, cmp.Compare[float64])
			total := calls * float64(len(f.targets))
			mean := total / float64(len(loads))
			b.ReportMetric(loads[len(loads)*99/100]/mean, "p99/mean")
			b.ReportMetric(loads[len(loads)-1]/mean, "max/mean")
			b.ReportMetric(within[sameZone]/total, "in-zone")
			b.ReportMetric(within[sameRegion]/total, "in-region")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/total, "ns/choice")
			b.ReportMetric(0, "ns/op")
		})
	}
}
