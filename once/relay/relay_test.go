package relay

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/faultproxy"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// testTimeout bounds each wait for an event that must happen.
const testTimeout = 20 * time.Second

// TestMain fixes the seed of the property tests and checks that no goroutine is left
// at the end.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// avoidNone is an argument for Choose that avoids no VM.
func avoidNone(string) bool { return false }

// TestChooseProperties guards against VMs that choose different committers for one
// segment. VMs with the same list must choose the same VM, in any order of the list.
// An avoided VM must be treated like one that is not in the list. If a VM leaves the
// list, only the segments that it committed may move to other VMs.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`vm-[0-9]{1,3}`), 1, 20, rapid.ID).Draw(t, "vms")
		var vms, reversed, without []objstore.VM
		for _, name := range names {
			vms = append(vms, objstore.VM{Name: name})
			reversed = append([]objstore.VM{{Name: name}}, reversed...)
			if name != names[0] {
				without = append(without, objstore.VM{Name: name})
			}
		}
		for second := range 20 {
			segment := fmt.Sprintf("d.%010d", 1700000000+second)
			chosen, ok := Choose(segment, vms, avoidNone)
			g.Expect(ok).To(BeTrue())
			same, _ := Choose(segment, reversed, avoidNone)
			g.Expect(same).To(Equal(chosen))
			whenAvoided, found := Choose(segment, vms, func(vm string) bool { return vm == names[0] })
			whenAbsent, foundAbsent := Choose(segment, without, avoidNone)
			g.Expect(whenAvoided).To(Equal(whenAbsent))
			g.Expect(found).To(Equal(foundAbsent))
			if chosen.Name != names[0] {
				g.Expect(whenAbsent).To(Equal(chosen))
			}
		}
	})
}

// Guards against one VM that commits many more segments than the others. Each of 10
// VMs must be chosen for 50 to 150 of 1000 segments.
func TestSegmentsAreEvenlyDistributed(t *testing.T) {
	g := NewWithT(t)
	var vms []objstore.VM
	for i := range 10 {
		vms = append(vms, objstore.VM{Name: fmt.Sprint("vm-", i)})
	}
	count := map[string]int{}
	for second := range 1000 {
		vm, _ := Choose(fmt.Sprintf("d.%010d", 1700000000+second), vms, avoidNone)
		count[vm.Name]++
	}
	for _, vm := range vms {
		g.Expect(count[vm.Name]).To(BeNumerically("~", 100, 50), vm.Name)
	}
}

// committerFunc is a Committer whose Commit calls the function.
type committerFunc func(ctx context.Context, b Batch) ([]Reply, error)

func (f committerFunc) Commit(ctx context.Context, b Batch) ([]Reply, error) { return f(ctx, b) }

// fakeFleet is a Fleet with a fixed list of VMs that are all alive.
type fakeFleet struct {
	vms     []objstore.VM // returned by Live
	options wire.Options  // of connections to other VMs, returned by WireOptions
}

func (f *fakeFleet) Live() []objstore.VM       { return f.vms }
func (f *fakeFleet) WireOptions() wire.Options { return f.options }

// newTestLinks starts a VM "b" with the committer c, behind a fault proxy. It returns
// the Links of a VM "a", the proxy, and "b" with the proxy's address.
func newTestLinks(t *testing.T, c Committer) (*Links, *faultproxy.Proxy, objstore.VM) {
	return newTestLinksWithTimeout(t, c, 0)
}

// newTestLinksWithTimeout starts a VM "b" with the committer c and returns the same as
// newTestLinks. The links have the given ResponseTimeout; 0 selects the default.
func newTestLinksWithTimeout(t *testing.T, c Committer, responseTimeout time.Duration) (*Links, *faultproxy.Proxy, objstore.VM) {
	g := NewWithT(t)
	options := func(vm string) wire.Options {
		return wire.Options{
			Self: wire.Identity{Deployment: "d", VM: vm, Incarnation: "1"},
			Keys: [][]byte{make([]byte, wire.MinKeyBytes)},
		}
	}
	serving := options("b")
	serving.Handler = func(ctx context.Context, _ *wire.Conn, method string, params json.RawMessage) (any, error) {
		return Handle(ctx, c, method, params)
	}
	server, err := wire.Listen("127.0.0.1:0", serving, &wire.Counters{}, func(c *wire.Conn) { c.Serve() })
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Stop)
	proxy, err := faultproxy.Start(faultproxy.Options{Target: server.Addr().String()})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = proxy.Close() })
	b := objstore.VM{Name: "b", Address: proxy.Address()}
	links := NewLinks(Options{
		Self: "a", ResponseTimeout: responseTimeout,
		Fleet: &fakeFleet{vms: []objstore.VM{{Name: "a"}, b}, options: options("a")},
	})
	t.Cleanup(links.Stop)
	return links, proxy, b
}

// opRequest returns a request to claim the key with the given id, without credit.
func opRequest(id string) OpRequest {
	return OpRequest{Segment: "d.1700000000", Op: Op{Kind: Claim, ID: id, Entry: Entry{Op: id}}, Credit: func() float64 { return 0 }}
}

// Guards against an operation that is lost because the previous one was not answered
// in time, so that the connection is closed. The next operation, which a caller sends
// at this moment, must not be sent on the closed connection. It must be sent on a new
// one or be reported as not accepted.
func TestOperationAfterTimeoutIsNotLost(t *testing.T) {
	g := NewWithT(t)
	testEnd := make(chan struct{})
	links, _, b := newTestLinksWithTimeout(t, committerFunc(func(ctx context.Context, batch Batch) ([]Reply, error) {
		if batch.Ops[0].ID == "held" {
			select {
			case <-testEnd:
			case <-ctx.Done():
			}
		}
		return make([]Reply, len(batch.Ops)), nil
	}), 250*time.Millisecond)
	defer close(testEnd)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range 20 {
		_, delivery := links.Commit(ctx, b, opRequest("held"))
		g.Expect(delivery).To(Equal(Unknown))
		_, delivery = links.Commit(ctx, b, opRequest("next"))
		g.Expect(delivery).NotTo(Equal(Unknown))
	}
}

// Guards against a key that stays blocked. If a claim is wrongly reported as not
// accepted, the VM that sent it answers "not run" without removing the claim, and the
// committer adds it a moment later. NotAccepted may be reported only if the committer
// answered so or the message was never sent.
func TestNotAcceptedOnlyWhenCertain(t *testing.T) {
	g := NewWithT(t)
	accepted := make(chan struct{}, 1)
	block := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(block) })
	defer unblock()
	var refuse atomic.Bool
	links, proxy, b := newTestLinks(t, committerFunc(func(_ context.Context, batch Batch) ([]Reply, error) {
		if refuse.Load() {
			return nil, errors.New("stopping")
		}
		if batch.Ops[0].ID == "held" {
			accepted <- struct{}{}
			<-block
		}
		replies := make([]Reply, len(batch.Ops))
		for i := range replies {
			replies[i].Verdict = Done
		}
		return replies, nil
	}))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()

	rep, delivery := links.Commit(ctx, b, opRequest("plain"))
	g.Expect(delivery).To(Equal(Answered))
	g.Expect(rep.Verdict).To(Equal(Done))

	// The VM is frozen: it has the operation and does not answer.
	_, delivery = links.Commit(ctx, b, opRequest("held"))
	g.Expect(delivery).To(Equal(Unknown))
	<-accepted
	unblock()
	for second := range 20 {
		_, remote := links.Committer(fmt.Sprint("d.", second))
		g.Expect(remote).To(BeFalse(), "a lost VM must not be chosen for a while")
	}

	// The VM refuses the operation.
	refuse.Store(true)
	_, delivery = links.Commit(ctx, b, opRequest("refused"))
	g.Expect(delivery).To(Equal(NotAccepted))
	refuse.Store(false)

	// The connection becomes silent.
	_, delivery = links.Commit(ctx, b, opRequest("again"))
	g.Expect(delivery).To(Equal(Answered))
	proxy.Silence()
	_, delivery = links.Commit(ctx, b, opRequest("silent"))
	g.Expect(delivery).To(Equal(Unknown))

	// The address closes new connections at once, and the open one is cut.
	proxy.SetFaults(faultproxy.Faults{Refuse: true})
	proxy.Cut()
	g.Eventually(func() Delivery {
		_, delivery := links.Commit(ctx, b, opRequest("unreached"))
		return delivery
	}, testTimeout).Should(Equal(NotAccepted))
}

// Guards against batches that the other VM refuses because they are too large, or
// applies to the wrong segment, and against more batches than needed. Each batch must
// have at most MaxOps operations, all on one segment.
func TestOperationsAreBatchedPerSegment(t *testing.T) {
	g := NewWithT(t)
	var queue []*pending
	for i := range 3 * MaxOps {
		req := opRequest(fmt.Sprint(i))
		req.Segment = fmt.Sprint(i % 2)
		queue = append(queue, &pending{req: req})
	}
	seen := map[string]bool{}
	list := splitBatches(queue)
	g.Expect(list).To(HaveLen(4))
	for _, batch := range list {
		g.Expect(len(batch)).To(BeNumerically("<=", MaxOps))
		for _, p := range batch {
			g.Expect(p.req.Segment).To(Equal(batch[0].req.Segment))
			g.Expect(seen[p.req.Op.ID]).To(BeFalse())
			seen[p.req.Op.ID] = true
		}
	}
	g.Expect(seen).To(HaveLen(3 * MaxOps))
}
