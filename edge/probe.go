package edge

import (
	"context"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// maxConcurrentProbes bounds the connections that are opened at once to those who did not answer.
// A dead one takes the whole time of a dial.
const maxConcurrentProbes = 64

// forEachLimited does something for all of a list, probesAtOnce at a time, and returns when all is done.
func forEachLimited[T any](list []T, do func(T)) {
	var wg sync.WaitGroup
	places := make(chan struct{}, maxConcurrentProbes)
	for _, item := range list {
		places <- struct{}{}
		wg.Go(func() {
			do(item)
			<-places
		})
	}
	wg.Wait()
}

// wakeup wakes whoever looks for suspects. Raising it never waits.
type wakeup chan struct{}

func newWakeup() wakeup { return make(wakeup, 1) }

func (a wakeup) notify() {
	select {
	case a <- struct{}{}:
	default:
	}
}

// probeLoop makes a round of probes whenever one is due. A round returns whether it made any,
// and when the next is due otherwise, zero for never. It sleeps while there is no suspect:
// a process that wakes 8 times a second for nothing used a seventh of its processor time
// for that (30.7 s of all VMs' on a calm day in place of 26.3).
func probeLoop(ctx context.Context, raised wakeup, round func(context.Context) (made bool, next time.Time)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		made, next := round(ctx)
		if made {
			continue
		}
		var due <-chan time.Time
		if !next.IsZero() {
			timer.Reset(time.Until(next))
			due = timer.C
		}
		select {
		case <-raised:
		case <-due:
		case <-ctx.Done():
		}
	}
}

// pingTimeout is for the answer of a VM that lives: several times the way there and back,
// with a pause of a small VM.
const pingTimeout = 150 * time.Millisecond

// checkVMs asks all VMs that this one calls whether they live, once one was silent.
func (n *Node) checkVMs(ctx context.Context) (made bool, next time.Time) {
	n.engine.mu.Lock()
	due := n.engine.table.DueForLivenessCheck(time.Now())
	d := n.engine.peerClient
	n.engine.mu.Unlock()
	forEachLimited(due, func(vm scatter.VM) { n.checkVM(ctx, d, vm) })
	return len(due) > 0, time.Time{}
}

// checkVM asks one VM. If it does not say that it lives, it is not called until it is reached
// on a new connection.
func (n *Node) checkVM(ctx context.Context, d peerClient, vm scatter.VM) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := d.ping(ctx, vm)
	if err == nil {
		return
	}
	n.engine.mu.Lock()
	n.engine.table.LivenessCheckFailed(time.Now(), vm.Name)
	n.engine.mu.Unlock()
	n.engine.suspectVMs.notify()
	n.log.Info("VM does not say that it lives", "vm", vm.Name, "zone", vm.Zone, "error", err)
}

// probeVMs finds out which of the VMs that did not answer live.
func (n *Node) probeVMs(ctx context.Context) (made bool, next time.Time) {
	n.engine.mu.Lock()
	suspects, next := n.engine.table.SuspectVMs(time.Now())
	d := n.engine.peerClient
	n.engine.mu.Unlock()
	forEachLimited(suspects, func(vm scatter.VM) { n.probeVM(ctx, d, vm) })
	return len(suspects) > 0, next
}

func (n *Node) probeVM(ctx context.Context, d peerClient, vm scatter.VM) {
	_, err := d.connect(ctx, vm)
	n.engine.mu.Lock()
	n.engine.table.RecordVMProbe(time.Now(), vm.Name, err == nil)
	n.engine.mu.Unlock()
	if err == nil {
		n.log.Info("VM answers again", "vm", vm.Name, "zone", vm.Zone)
	}
}

// probeLeafs finds out which of the leafs that did not answer can be reached. The connection
// is kept if later ones are.
func (n *Node) probeLeafs(ctx context.Context) (made bool, next time.Time) {
	n.engine.mu.Lock()
	suspects, next := n.engine.table.SuspectLeafs(time.Now())
	n.engine.mu.Unlock()
	forEachLimited(suspects, func(leaf registry.Leaf) { n.probeLeaf(ctx, leaf) })
	return len(suspects) > 0, next
}

func (n *Node) probeLeaf(ctx context.Context, leaf registry.Leaf) {
	id := scatter.LeafID{ID: leaf.ID, Born: leaf.Born}
	n.engine.mu.Lock()
	peer := leafhttp.Endpoint{Key: poolKey(id), Address: leaf.Address, Transient: !n.engine.table.KeepsConnection(id)}
	n.engine.mu.Unlock()
	err := n.engine.pool.Warm(ctx, peer)
	n.engine.mu.Lock()
	cleared := n.engine.table.RecordLeafProbe(time.Now(), id, err == nil)
	n.engine.mu.Unlock()
	if cleared {
		n.log.Info("leaf can be reached again", "leaf", leaf.ID, "service", leaf.Service)
	}
}
