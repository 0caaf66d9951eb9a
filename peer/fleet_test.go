package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// testKey is the fleet key of all VMs of the tests.
var testKey = bytes.Repeat([]byte("k"), 32)

// fakeHeads implements Heads. The head of a revision, its bundle and the bundle's digest
// are all the revision's number in eight bytes; see encodeRevision.
type fakeHeads struct {
	mu       sync.Mutex
	revision uint64
	changed  chan struct{}
}

// Changed returns a channel that is closed when set next raises the revision.
func (h *fakeHeads) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// encodeRevision returns the head of a revision. The bundle and its digest are the same
// bytes; see fakeHeads.
func encodeRevision(revision uint64) []byte { return binary.BigEndian.AppendUint64(nil, revision) }

func (h *fakeHeads) Revision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}

// Head returns the head of the current revision; see encodeRevision.
func (h *fakeHeads) Head() []byte { return encodeRevision(h.Revision()) }

// RawBundle returns the bundle of the current revision if digest is its digest. Both are
// the same bytes as the head.
func (h *fakeHeads) RawBundle(digest string) ([]byte, bool) {
	own := string(h.Head())
	return []byte(own), own == digest
}

// OfferHead puts the revision of raw, the head of a peer, in force if it is higher. It
// first fetches the revision's bundle from that peer and checks that the peer sent the
// right one: a head, its bundle and the bundle's digest are the same bytes.
func (h *fakeHeads) OfferHead(ctx context.Context, raw []byte, fetch func(context.Context, string) ([]byte, error)) error {
	got, err := fetch(ctx, string(raw))
	if err != nil || !bytes.Equal(got, raw) {
		return fmt.Errorf("bundle %q: %w", got, err)
	}
	h.set(binary.BigEndian.Uint64(raw))
	return nil
}

// set raises the revision to the given one. A revision that isn't higher has no effect.
func (h *fakeHeads) set(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision > h.revision {
		h.revision = revision
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// fakeList is a store that has only the platform's list of VMs. Reading it fails while
// down is set.
type fakeList struct {
	objstore.Store
	mu   sync.Mutex
	vms  []objstore.VM
	down bool
}

// VMs returns a copy of the platform's list of VMs, or an error while down is set.
func (f *fakeList) VMs(context.Context) ([]objstore.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, fmt.Errorf("platform down")
	}
	return append([]objstore.VM(nil), f.vms...), nil
}

// setDown sets whether reading the list fails.
func (f *fakeList) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// add adds a VM to the platform's list.
func (f *fakeList) add(vm objstore.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = append(f.vms, vm)
}

// testVM is the exchange of one VM, with its heads.
type testVM struct {
	*Exchange
	heads *fakeHeads
}

// testFleet holds VMs in this process that share a platform's list and a simulated network.
type testFleet struct {
	g    *WithT
	t    testing.TB
	list *fakeList
	net  *network
	vms  []*testVM
}

// newFleet starts n VMs named vm-000 and up. Their intervals and timeouts are much
// shorter than the defaults, so that lost VMs are detected soon.
func newFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{g: NewWithT(t), t: t, list: &fakeList{}, net: newNetwork()}
	for i := range n {
		f.start(fmt.Sprintf("vm-%03d", i), nil)
	}
	return f
}

// newDefaultTimeoutFleet is newFleet with the default SuspectAfter and PingInterval.
func newDefaultTimeoutFleet(t *testing.T, n int) *testFleet {
	f := newFleet(t, 0)
	for i := range n {
		f.start(fmt.Sprintf("vm-%03d", i), func(o *Options) {
			o.SuspectAfter = defaultSuspectAfter
			o.PingInterval = defaultPingInterval
		})
	}
	return f
}

// start starts a VM and adds it to the fleet and to the platform's list. change may change
// its options; it may be nil.
func (f *testFleet) start(name string, change func(*Options)) *testVM {
	return f.startWith(name, change, func(*Exchange) {})
}

// startWith is start; beforeStart may also change the Exchange itself.
func (f *testFleet) startWith(name string, change func(*Options), beforeStart func(*Exchange)) *testVM {
	var address string
	heads := &fakeHeads{changed: make(chan struct{})}
	o := Options{
		VM:           objstore.VM{Name: name, Zone: "z"},
		Incarnation:  fmt.Sprint(name, "-", time.Now().UnixNano()),
		Deployment:   "test",
		FleetKeys:    [][]byte{testKey},
		Listen:       "127.0.0.1:0",
		Store:        f.list,
		Heads:        heads,
		DialContext:  f.net.dialer(&address),
		Interval:     50 * time.Millisecond,
		ListInterval: 50 * time.Millisecond,
		SuspectAfter: 500 * time.Millisecond,
		PingInterval: 200 * time.Millisecond,
	}
	if change != nil {
		change(&o)
	}
	x, err := New(o)
	f.g.Expect(err).NotTo(HaveOccurred())
	address = reservePort(f.t)
	x.opts.Listen = address
	beforeStart(x)
	address = x.opts.Listen
	f.g.Expect(x.Start()).To(Succeed())
	vm := &testVM{x, heads}
	f.vms = append(f.vms, vm)
	f.list.add(objstore.VM{Name: name, Zone: "z", Address: x.Address()})
	f.t.Cleanup(func() { vm.stop() })
	return vm
}

// reservePort returns an address of this host whose port was free just before.
func reservePort(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	return ln.Addr().String()
}

// stop stops the VM with a goodbye to its peers.
func (vm *testVM) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_ = vm.Stop(ctx)
}

// waitForAll waits until check returns true for each of vms, or for each VM of the fleet
// if none are given. It fails the test after testTimeout.
func (f *testFleet) waitForAll(check func(*testVM) bool, vms ...*testVM) {
	f.t.Helper()
	if len(vms) == 0 {
		vms = f.vms
	}
	f.g.Eventually(func() (failing []string) {
		for _, vm := range vms {
			if !check(vm) {
				failing = append(failing, vm.opts.VM.Name)
			}
		}
		return failing
	}).WithTimeout(testTimeout).Should(BeEmpty())
}

// waitConnected waits until every VM has a connection and counts all VMs as live.
func (f *testFleet) waitConnected() {
	f.t.Helper()
	n := len(f.vms)
	f.waitForAll(func(vm *testVM) bool { return vm.Peers() > 0 && len(vm.Live()) == n })
}

// hasRevision returns a check for waitForAll that the revision r is in force on a VM.
func hasRevision(r uint64) func(*testVM) bool {
	return func(vm *testVM) bool { return vm.heads.Revision() == r }
}

// network opens connections between VMs and lets tests partition the VMs into groups.
type network struct {
	mu    sync.Mutex
	group map[string]int             // number of each VM's group, by the VM's address; 0 for addresses that aren't in the map
	open  map[*cuttableConn]struct{} // connections that split has to close if their ends are separated

	onConnect func() // called when a dial has opened its connection; may be nil
}

// cuttableConn is a connection that network.split can close.
type cuttableConn struct {
	net.Conn
	from, to string // addresses of the VMs at its ends
}

// newNetwork returns a network in which all VMs can reach each other.
func newNetwork() *network {
	return &network{group: map[string]int{}, open: map[*cuttableConn]struct{}{}}
}

// dialer returns a dial function for the VM at the address *from, a pointer because the
// address is set later. A dial to a VM of another group fails when its context ends.
func (n *network) dialer(from *string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		n.mu.Lock()
		separated := n.group[*from] != n.group[to]
		n.mu.Unlock()
		if separated {
			<-ctx.Done() // like packets that are dropped
			return nil, ctx.Err()
		}
		raw, err := new(net.Dialer).DialContext(ctx, network, to)
		if err != nil {
			return nil, err
		}
		if n.onConnect != nil {
			n.onConnect()
		}
		return n.register(&cuttableConn{raw, *from, to})
	}
}

// register adds a connection to those that the next split cuts. It fails if a split
// has separated the two ends since the dial began.
func (n *network) register(c *cuttableConn) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.group[c.from] != n.group[c.to] {
		c.Close()
		return nil, fmt.Errorf("split while dialling %s", c.to)
	}
	n.open[c] = struct{}{}
	return c, nil
}

// split puts VMs into groups, given by address, and closes all connections between
// different groups. A VM whose address isn't in the map is in group 0.
func (n *network) split(group map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group = group
	for c := range n.open {
		if group[c.from] != group[c.to] {
			c.Close()
			delete(n.open, c)
		}
	}
}
