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

// Defaults of Options, and constants of the links.
const (
	defaultHold            = 250 * time.Millisecond // time after which the VM that got a batch answers it, even without verdicts
	defaultResponseTimeout = 500 * time.Millisecond // time without an answer to a batch after which the VM that got it counts as lost
	defaultAvoidFor        = 2 * time.Second        // time for which a lost VM, or one that refused a batch, is not chosen to commit segments
	defaultIdleTimeout     = 10 * time.Second       // time after which an unused connection to another VM is closed

	// liveListTTL is how long a list of live VMs is reused before it is read from
	// Fleet again.
	liveListTTL = 100 * time.Millisecond
	// batchDelay is how long the first queued operation for a VM waits for further
	// ones, which are sent in the same batch. It is short compared with an update of
	// a segment.
	batchDelay = 500 * time.Microsecond
	// maxConcurrentBatches limits the batches in flight to one VM. Package wire at
	// the other end serves twice as many calls of one connection at once.
	maxConcurrentBatches = 8
)

// Fleet is the information about the other VMs. peer.Exchange implements it. It must
// be safe for concurrent use.
type Fleet interface {
	Live() []objstore.VM       // the VMs that are alive, including this one
	WireOptions() wire.Options // the options of connections to other VMs
}

// Options configures Links. Self and Fleet are required.
type Options struct {
	Self  string // this VM's name
	Fleet Fleet
	Log   *slog.Logger

	// Hold is the time after which the other VM answers a batch of operations even
	// if some have no verdict yet; default 250 ms. It must be shorter than
	// ResponseTimeout.
	Hold time.Duration
	// ResponseTimeout is the time without an answer after which the other VM counts
	// as lost; default 500 ms.
	ResponseTimeout time.Duration
	// AvoidFor is how long a VM that is lost or refused a batch is not chosen to
	// commit segments; default 2 s.
	AvoidFor time.Duration
	// IdleTimeout is the time after which an unused connection is closed; default
	// 10 s.
	IdleTimeout time.Duration
}

// Delivery says whether a relayed operation reached the other VM.
type Delivery int

// The values of Delivery.
const (
	// Answered means that the other VM replied to the operation.
	Answered Delivery = iota
	// NotAccepted means that the other VM will never apply the operation.
	NotAccepted
	// Unknown means that the other VM may have applied the operation, or may apply
	// it at any later time.
	Unknown
)

// OpRequest is one operation to relay.
type OpRequest struct {
	Segment string // name of the segment (the stored object of one second's claims) that Op changes
	Op      Op
	// Credit returns the number of writes to the platform, at most 1, that this VM
	// transfers from its budget to the other VM. It is called once per batch, for
	// the batch's first operation.
	Credit func() float64
}

// Links holds this VM's connections to the VMs that commit segments, which means
// that they update them for all VMs. It is safe for concurrent use.
type Links struct {
	opts Options
	tomb *tomb.Tomb      // stops the goroutines of the links
	ctx  context.Context // canceled when the tomb is killed

	mu       sync.Mutex           // guards the fields below, link.queue, pending.sent and pending.cancelled
	links    map[string]*link     // by address of the VM
	avoided  map[string]time.Time // time until which a VM is not chosen, by name of the VM
	live     []objstore.VM        // the VMs that are alive, as last read from Options.Fleet
	listedAt time.Time            // when live was read
}

// NewLinks returns Links without any connection. Call Stop to end it.
func NewLinks(o Options) *Links {
	defaults.SetIfNotPositive(&o.Hold, defaultHold)
	defaults.SetIfNotPositive(&o.ResponseTimeout, defaultResponseTimeout)
	defaults.SetIfNotPositive(&o.AvoidFor, defaultAvoidFor)
	defaults.SetIfNotPositive(&o.IdleTimeout, defaultIdleTimeout)
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	t, ctx := tomb.WithContext(context.Background())
	l := &Links{opts: o, tomb: t, ctx: ctx, links: map[string]*link{}, avoided: map[string]time.Time{}}
	// Keeps the tomb alive while there is no link.
	l.tomb.Go(func() error {
		<-l.tomb.Dying()
		return nil
	})
	return l
}

// Stop closes all connections and waits for their goroutines. Operations in flight
// get the Delivery Unknown.
func (l *Links) Stop() {
	l.tomb.Kill(nil)
	_ = l.tomb.Wait()
}

// Committer returns the VM that commits the segment with the given name, which
// means that it updates the segment for all VMs. It returns false if that is this
// VM, or if there is none because all live VMs are excluded, see avoid.
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

// Commit sends one operation to a VM, possibly in a batch with others. It returns
// when the VM has answered or counts as lost, or when ctx ends. The Reply is set only
// if the Delivery is Answered.
func (l *Links) Commit(ctx context.Context, vm objstore.VM, req OpRequest) (Reply, Delivery) {
	p := &pending{req: req, done: make(chan answer, 1)}
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

// enqueue queues an operation for a VM, and creates the link to it if there is
// none. It returns false if the links are being stopped.
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
		k = &link{parent: l, vm: vm, wake: make(chan struct{}, 1), callSlots: make(chan struct{}, maxConcurrentBatches)}
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

// cancel marks a queued operation as cancelled, so that it is not sent, and returns
// NotAccepted. If the operation is part of a batch already, cancel has no effect and
// returns Unknown.
func (l *Links) cancel(p *pending) Delivery {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.sent {
		return Unknown
	}
	p.cancelled = true
	return NotAccepted
}

// avoid excludes a VM for AvoidFor from being chosen to commit segments, and logs
// the cause.
func (l *Links) avoid(vm objstore.VM, cause error) {
	l.opts.Log.Debug("VM is not chosen as committer for a while", "vm", vm.Name, "error", cause)
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
