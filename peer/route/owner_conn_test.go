package route

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/faultproxy"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/hop"
	"github.com/bramleybarrow/bramleybarrow/target"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// ownerBehindProxy returns a VM that isn't an owner of the target, one of the target's
// owners with the address of a fault proxy in front of it, and the proxy.
func (f *testFleet) ownerBehindProxy() (vm *testVM, owner objstore.VM, proxy *faultproxy.Proxy) {
	f.waitReachable(f.vms...)
	f.Eventually(f.owners).WithTimeout(testLimit).Should(HaveLen(2))
	for _, other := range f.vms {
		if other.router.Connections("target-0") == 0 {
			vm = other
		}
	}
	proxy, err := faultproxy.Start(faultproxy.Options{Target: f.owners()[0].peers.Address()})
	f.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { proxy.Close() })
	return vm, objstore.VM{Name: f.owners()[0].name, Address: proxy.Address()}, proxy
}

// isDialing reports whether the router is dialling the owner at an address.
func (r *Router) isDialing(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.ownerConns[address]
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialing != nil
}

// TestCancelledCallDoesNotMarkOwnerUnreachable: the first call to an owner dials it and
// is cancelled during the dial, like the slower one of two hedged calls. The cancellation
// ended the dial, and the owner counted as unreachable. Reads of the target's status then
// failed, and the target counted as lost. Callers of this VM got no answers for 0.5 s.
func TestCancelledCallDoesNotMarkOwnerUnreachable(t *testing.T) {
	f := newFleet(t, 5, 3)
	vm, owner, proxy := f.ownerBehindProxy()
	proxy.SetFaults(faultproxy.Faults{Frozen: true})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := vm.router.acquireConn(ctx, owner)
	f.Expect(err).To(HaveOccurred())
	proxy.SetFaults(faultproxy.Faults{})

	ctx, cancel = context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	_, err = vm.router.acquireConn(ctx, owner)
	f.Expect(err).NotTo(HaveOccurred())
}

// TestCallStopsWaitingForDialAtDeadline: an owner doesn't answer, and one call is still
// dialling it. A second call with little time left waited for the end of that dial before
// it checked its own deadline, so its caller was answered late. In the test the second
// call's context has already ended.
func TestCallStopsWaitingForDialAtDeadline(t *testing.T) {
	f := newFleet(t, 5, 3)
	vm, owner, proxy := f.ownerBehindProxy()
	proxy.SetFaults(faultproxy.Faults{Frozen: true})
	first := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		defer cancel()
		_, err := vm.router.acquireConn(ctx, owner)
		first <- err
	}()
	f.Eventually(func() bool { return vm.router.isDialing(owner.Address) }).WithTimeout(testLimit).Should(BeTrue())

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := vm.router.acquireConn(ctx, owner)
	f.Expect(err).To(MatchError(context.Canceled))
	f.Eventually(first).WithTimeout(testLimit).Should(Receive(HaveOccurred()))
}

// TestIdleCloseDuringCalls: idle connections to owners are closed while callers send
// requests. A call that is sent on a connection while it is closed would count as
// possibly started, and a non-idempotent request would end with an unknown outcome. Here
// every connection without a call in flight counts as idle.
func TestIdleCloseDuringCalls(t *testing.T) {
	f := newFleet(t, 5, 3)
	vm, _, _ := f.ownerBehindProxy()
	const minClosed = 10 // connections that have to be closed during the calls before the test ends
	var closed atomic.Int64
	done := make(chan struct{})
	var closer sync.WaitGroup
	closer.Go(func() {
		for {
			for _, c := range vm.router.dropIdle(time.Now(), 0) {
				c.close()
				closed.Add(1)
			}
			select {
			case <-done:
				return
			default:
			}
		}
	})
	f.Eventually(func() int64 {
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() {
				for range 10 {
					if err := vm.search(f); err != nil {
						t.Error(err)
					}
				}
			})
		}
		callers.Wait()
		return closed.Load()
	}).WithTimeout(testLimit).Should(BeNumerically(">=", minClosed))
	close(done)
	closer.Wait()
}

// TestIdleConnectionsAreClosed: in a large fleet, a VM would keep a connection to nearly
// every other VM and ping them all, though it rarely uses them. Connections must be
// closed after some time without a call, and a later call must open a new one.
func TestIdleConnectionsAreClosed(t *testing.T) {
	f := newFleet(t, 5, 3)
	vm, _, _ := f.ownerBehindProxy()
	connections := func() int {
		vm.router.mu.Lock()
		defer vm.router.mu.Unlock()
		return len(vm.router.ownerConns)
	}
	f.Expect(vm.search(f)).To(Succeed())
	f.Expect(connections()).To(BeNumerically(">", 0))
	f.Eventually(connections).WithTimeout(testLimit).Should(BeZero())
	f.Expect(vm.search(f)).To(Succeed())
}

// TestFrozenOwnerIsTriedLast: the preferred owner is frozen and still counts as live. Each
// call of this VM was sent to it and lost until the exchange detected this, seconds later.
// After the first few calls, another owner must be tried first.
func TestFrozenOwnerIsTriedLast(t *testing.T) {
	f := newFleet(t, 5, 3)
	vm, _, _ := f.ownerBehindProxy()
	owners := vm.router.otherOwners("target-0", nil)
	f.Expect(owners).To(HaveLen(2))
	preferred := owners[0].vm
	proxy, err := faultproxy.Start(faultproxy.Options{Target: preferred.Address})
	f.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	vm.router.mu.Lock()
	vm.router.ownerConns[preferred.Address] = &ownerConn{dial: func(ctx context.Context) (*hop.Caller, error) {
		o := vm.router.fleet.WireOptions()
		o.PingInterval = testLimit // pings don't detect the frozen owner; in a real fleet they need seconds
		return hop.Dial(ctx, proxy.Address(), o, &wire.Counters{})
	}}
	vm.router.mu.Unlock()
	f.Expect(vm.search(f)).To(Succeed())
	proxy.SetFaults(faultproxy.Faults{Frozen: true})
	triedLast := func() bool {
		owners := vm.router.otherOwners("target-0", nil)
		return owners[1].vm == preferred && owners[1].inCooldown
	}
	lost := 0
	f.Eventually(func() bool { // returns as soon as the owner is tried last, since its cooldown ends after a fixed time
		if vm.searchWithin(f, 200*time.Millisecond) != nil {
			lost++
		}
		return triedLast()
	}).WithTimeout(testLimit).Should(BeTrue())
	f.Expect(lost).To(BeNumerically("<=", maxUnanswered))
	f.Expect(vm.search(f)).To(Succeed())
}

// Guards against further attempts of a search that go through the same frozen owner as the
// first one: while the first is not answered yet, and after it has timed out.
func TestFurtherAttemptGoesThroughAnotherOwner(t *testing.T) {
	f := newFleet(t, 5, 3)
	vm, _, _ := f.ownerBehindProxy()
	owners := vm.router.otherOwners("target-0", nil)
	f.Expect(owners).To(HaveLen(2))
	first, second := owners[0].vm, owners[1].vm
	proxy, err := faultproxy.Start(faultproxy.Options{Target: first.Address})
	f.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	vm.router.mu.Lock()
	vm.router.ownerConns[first.Address] = &ownerConn{dial: func(ctx context.Context) (*hop.Caller, error) {
		return hop.Dial(ctx, proxy.Address(), vm.router.fleet.WireOptions(), &wire.Counters{})
	}}
	vm.router.mu.Unlock()
	f.Expect(vm.search(f)).To(Succeed())
	proxy.SetFaults(faultproxy.Faults{Frozen: true})

	trail := &target.Trail{}
	ctx, cancel := context.WithCancel(target.WithTrail(context.Background(), trail))
	ended := make(chan error, 1)
	go func() { ended <- vm.searchWith(ctx, f) }()
	f.Eventually(trail.String).WithTimeout(testLimit).Should(Equal(first.Name))
	next := vm.router.otherOwners("target-0", trail)
	f.Expect(next[0].vm).To(Equal(second), "the first attempt is not answered yet")
	cancel()
	f.Expect(<-ended).To(HaveOccurred())
	f.Expect(vm.searchWith(target.WithTrail(context.Background(), trail), f)).To(Succeed())
	f.Expect(trail.String()).To(Equal(first.Name + ", " + second.Name))
}
