package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/internal/defaults"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

const (
	defaultHold            = 250 * time.Millisecond
	defaultResponseTimeout = 500 * time.Millisecond
	defaultAvoidFor        = 2 * time.Second
	defaultIdleTimeout     = 10 * time.Second

	// liveListTTL is for how long a list of live VMs is used.
	liveListTTL = 100 * time.Millisecond
	// batchDelay is how long a first operation waits for others to the same VM. It
	// is small against an update of a segment.
	batchDelay = 500 * time.Microsecond
	// maxConcurrentBatches is how many batches are under way to one VM; wire serves twice as
	// many for one connection.
	maxConcurrentBatches = 8
)

// Fleet is what the exchange tells of the other VMs. peer.Exchange implements it.
type Fleet interface {
	Live() []objstore.VM
	WireOptions() wire.Options
}

// Options configure Links. Self and Fleet are required.
type Options struct {
	Self  string // this VM's name
	Fleet Fleet
	Log   *slog.Logger

	Hold            time.Duration // within which the other VM answers, decided or not; default 250 ms
	ResponseTimeout time.Duration // after which it counts as lost; default 500 ms
	AvoidFor        time.Duration // for which a lost VM is not chosen; default 2 s
	IdleTimeout     time.Duration // after which an unused connection is closed; default 10 s
}

// Delivery is what became of an operation that was to be relayed.
type Delivery int

const (
	// Answered means that the reply is the other VM's.
	Answered Delivery = iota
	// NotAccepted means that the other VM never carries the operation out.
	NotAccepted
	// Unknown means that it may, now or at any time later.
	Unknown
)

// OpRequest is one operation with what goes along.
type OpRequest struct {
	Segment string
	Op      Op
	Credit  func() float64 // called once for each batch
}

// Links are this VM's connections to the VMs that commit for it. They are safe
// for concurrent use.
type Links struct {
	opts Options
	tomb *tomb.Tomb
	ctx  context.Context // ends with tomb

	mu       sync.Mutex // guards all below and the fields of all links and asks
	links    map[string]*link
	avoided  map[string]time.Time // until when, by VM
	live     []objstore.VM
	listedAt time.Time
}

// NewLinks returns Links without any connection.
func NewLinks(o Options) *Links {
	defaults.Positive(&o.Hold, defaultHold)
	defaults.Positive(&o.ResponseTimeout, defaultResponseTimeout)
	defaults.Positive(&o.AvoidFor, defaultAvoidFor)
	defaults.Positive(&o.IdleTimeout, defaultIdleTimeout)
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	t, life := tomb.WithContext(context.Background())
	l := &Links{opts: o, tomb: t, ctx: life, links: map[string]*link{}, avoided: map[string]time.Time{}}
	// Keeps the tomb alive between links.
	l.tomb.Go(func() error {
		<-l.tomb.Dying()
		return nil
	})
	return l
}

// Stop closes all connections. Operations under way are lost.
func (l *Links) Stop() {
	l.tomb.Kill(nil)
	_ = l.tomb.Wait()
}

// Committer returns the VM that commits the segment, and false if this VM does
// so itself.
func (l *Links) Committer(segment string) (objstore.VM, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.listedAt) > liveListTTL {
		l.live, l.listedAt = l.opts.Fleet.Live(), now
	}
	vm, ok := Choose(segment, l.live, func(name string) bool { return now.Before(l.avoided[name]) })
	return vm, ok && vm.Name != l.opts.Self
}

// Commit has one operation carried out by a VM. It returns when that VM has
// answered or counts as lost, or ctx ends.
func (l *Links) Commit(ctx context.Context, vm objstore.VM, a OpRequest) (Reply, Delivery) {
	p := &pending{req: a, done: make(chan answer, 1)}
	if !l.enqueue(vm, p) {
		return Reply{}, NotAccepted
	}
	select {
	case got := <-p.done:
		return got.reply, got.delivery
	case <-ctx.Done():
		return Reply{}, l.cancel(p)
	}
}

// enqueue returns false if the links are being stopped.
func (l *Links) enqueue(vm objstore.VM, p *pending) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.tomb.Dying():
		return false
	default:
	}
	k := l.links[vm.Address]
	if k == nil {
		k = &link{links: l, vm: vm, wake: make(chan struct{}, 1), callSlots: make(chan struct{}, maxConcurrentBatches)}
		l.links[vm.Address] = k
		l.tomb.Go(k.run)
	}
	k.queue = append(k.queue, p)
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return true
}

// cancel takes an operation back. Once it is part of a batch it can't be.
func (l *Links) cancel(p *pending) Delivery {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.sent {
		return Unknown
	}
	p.cancelled = true
	return NotAccepted
}

// avoid keeps a VM from being chosen for a while.
func (l *Links) avoid(vm objstore.VM, why error) {
	l.opts.Log.Debug("claims go elsewhere for a while", "vm", vm.Name, "error", why)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for name, until := range l.avoided {
		if now.After(until) {
			delete(l.avoided, name)
		}
	}
	l.avoided[vm.Name] = now.Add(l.opts.AvoidFor)
}
