package rollout

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/defaults"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// InForce is the bundle in force on a VM. It is immutable; a query keeps the
// pointer until it ends and so uses one revision throughout.
type InForce struct {
	Revision uint64 // revision in force: that of the latest head that this VM applied
	Digest   string // of the bundle
	Bundle   *bundle.Bundle
	Since    time.Time // when Revision came into force on this VM

	head *Head  // the head (latest accepted change) with that revision, which names the bundle
	raw  []byte // the bundle as packaged and signed, for other VMs
}

// Options configures a Follower. Zero values take the defaults.
type Options struct {
	Deployment string
	Keys       *bundle.Keyring
	Store      objstore.Store
	Log        *slog.Logger
	Metrics    *metrics.Set // may be nil
	// Watch makes the VM watch the platform for changes of the head, the object
	// that names the bundle in force. A VM that doesn't watch relies on other VMs
	// to pass on a new head before it reads the head itself. SetWatching switches
	// watching on and off later.
	Watch          bool
	RereadInterval time.Duration // time between two reads of the head while the VM watches the platform; default 1 s
	IdleInterval   time.Duration // time between two reads of the head while the VM does not watch the platform; default 30 s
	ReadTimeout    time.Duration // time limit of one read of the head or of a bundle; default 5 s
	WatchTimeout   time.Duration // time limit of one watch of the head; default 30 s
}

// The defaults of Options.
const (
	DefaultRereadInterval = time.Second      // time between two reads of the head while the VM watches the platform
	DefaultIdleInterval   = 30 * time.Second // time between two reads of the head while the VM does not watch the platform
	DefaultReadTimeout    = 5 * time.Second  // time limit of one read of the head or of a bundle
	DefaultWatchTimeout   = 30 * time.Second // time limit of one watch of the head
)

// withDefaults returns the options with defaults for those that are not set.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	defaults.SetIfNotPositive(&o.RereadInterval, DefaultRereadInterval)
	defaults.SetIfNotPositive(&o.IdleInterval, DefaultIdleInterval)
	defaults.SetIfNotPositive(&o.ReadTimeout, DefaultReadTimeout)
	defaults.SetIfNotPositive(&o.WatchTimeout, DefaultWatchTimeout)
	return o
}

// Follower follows the head of a deployment on one VM: the object on the platform
// that names the bundle in force. It fetches, verifies and holds that bundle. All
// methods but Start may be called concurrently.
type Follower struct {
	opts    Options
	metrics *followerMetrics
	tomb    tomb.Tomb // stops readLoop, watchLoop and the reads in flight

	current     atomic.Pointer[InForce] // the bundle in force; nil before the first
	previous    atomic.Pointer[InForce] // the bundle that current replaced; most recalls fall back to it
	lastContact atomic.Int64            // Unix time in nanoseconds of the last read that the platform answered, or 0
	watching    atomic.Bool             // the VM watches the platform; else it relies on other VMs
	modeChanged chan struct{}           // wakes readLoop when SetWatching changes the field watching
	headChanged chan struct{}           // wakes readLoop when a watch reports a change of the head
	readSlots   chan struct{}           // one token per read of the head in flight

	// mu guards the fields below and orders changes of current. It is never held
	// during I/O.
	mu          sync.Mutex
	changed     chan struct{} // closed and replaced when another revision comes into force
	lastRefused refusedHead   // the last refused head; zero if none, or if a head came into force after the refusal
}

// refusedHead is the last head that this VM refused to put into force. It is kept
// so that a bad head is logged once and not at each read.
type refusedHead struct {
	hash string // of the refused head
	err  error  // why it was refused
}

// NewFollower returns a Follower that has nothing in force yet.
func NewFollower(opts Options) *Follower {
	f := &Follower{
		opts:        opts.withDefaults(),
		modeChanged: make(chan struct{}, 1),
		headChanged: make(chan struct{}, 1),
		readSlots:   make(chan struct{}, maxConcurrentReads),
		changed:     make(chan struct{}),
	}
	f.metrics = newFollowerMetrics(opts.Metrics, func() float64 { return float64(f.Revision()) })
	f.watching.Store(opts.Watch)
	return f
}

// Start starts the goroutines that read and watch the head on the platform.
func (f *Follower) Start() {
	f.tomb.Go(func() error {
		f.tomb.Go(f.readLoop)
		f.tomb.Go(f.watchLoop)
		return nil
	})
}

// Stop stops the follower and waits for its goroutines, at most until ctx ends.
func (f *Follower) Stop(ctx context.Context) error {
	f.tomb.Kill(nil)
	select {
	case <-f.tomb.Dead():
		return f.tomb.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Current returns the bundle in force on this VM, or nil before the first bundle.
func (f *Follower) Current() *InForce { return f.current.Load() }

// Revision returns the revision in force, or 0 before the first bundle.
func (f *Follower) Revision() uint64 {
	if cur := f.Current(); cur != nil {
		return cur.Revision
	}
	return 0
}

// Changed returns a channel that is closed when another revision comes into force.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// PlatformContact returns when the platform last answered a read of the head, or
// the zero time if it never did.
func (f *Follower) PlatformContact() time.Time {
	ns := f.lastContact.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// Head returns the signed head in force, the latest change that this VM applied, to
// be offered to other VMs. It returns nil before the first bundle.
func (f *Follower) Head() []byte {
	if cur := f.Current(); cur != nil {
		return cur.head.Signed.Bytes()
	}
	return nil
}

// RawBundle returns the packaged (signed and encoded) bundle with that digest, if
// it is in force on this VM or was in force just before. The receiver has to verify
// it.
func (f *Follower) RawBundle(digest string) ([]byte, bool) {
	for _, held := range []*InForce{f.current.Load(), f.previous.Load()} {
		if held != nil && held.Digest == digest {
			return held.raw, true
		}
	}
	return nil, false
}

// LastRefusal returns why this VM refused the last head that it refused, or nil if
// there is none or a head came into force after the refusal.
func (f *Follower) LastRefusal() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRefused.err
}

// SetWatching switches watching the platform on or off. While it is off, this VM
// relies on other VMs for new heads, and reads the platform each IdleInterval.
func (f *Follower) SetWatching(on bool) {
	if f.watching.Swap(on) != on {
		wake(f.modeChanged)
	}
}

// wake sends a signal on c unless one is pending already. c has a buffer of one.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// FetchFunc returns the packaged (signed and encoded) bundle with the given digest,
// from the platform or from another VM. The caller has to verify it.
type FetchFunc func(ctx context.Context, digest string) ([]byte, error)

// OfferHead applies raw, a signed head received from a peer, if its revision is higher
// than the one in force. If this VM does not hold the head's bundle, it calls fetch,
// a FetchFunc, for it. It verifies the head like one from the platform, so a peer can
// neither forge a head nor make this VM revert to an earlier one. A head with a lower
// revision is refused with StaleExchange.
func (f *Follower) OfferHead(ctx context.Context, raw []byte, fetch func(ctx context.Context, digest string) ([]byte, error)) error {
	return f.applyHead(ctx, raw, fetch)
}

// applyHead verifies raw, a signed head, and puts it into force if its revision is
// higher than the one in force. It returns nil if the same head is in force already.
// If this VM does not hold the head's bundle, it calls fetch for the bundle. A refused
// head is recorded for LastRefusal, unless the only reason is its lower revision.
func (f *Follower) applyHead(ctx context.Context, raw []byte, fetch FetchFunc) error {
	h, err := openHead(raw, f.opts.Deployment, f.opts.Keys, false)
	if err != nil {
		f.recordRefusal(bundle.Digest(raw), err)
		return err
	}
	cur := f.Current()
	switch CompareHeads(cur.headOrNil(), h) {
	case HeadSame:
		return nil
	case HeadStale:
		return result.Errorf(result.StaleExchange, "revision %d was offered, %d is in force", h.Entry.Revision, cur.Revision)
	case HeadFork:
		err := result.Errorf(result.BrokenAudit, "revision %d was offered with different content than the one in force", h.Entry.Revision)
		f.recordRefusal(h.Hash, err)
		return err
	}
	next, err := f.loadInForce(ctx, h, fetch)
	if err != nil {
		f.recordRefusal(h.Hash, err)
		return err
	}
	f.install(next)
	return nil
}

// headOrNil returns the head in force, or nil if cur is nil: no bundle was in force
// yet.
func (cur *InForce) headOrNil() *Head {
	if cur == nil {
		return nil
	}
	return cur.head
}

// loadInForce verifies the bundle that the head h puts into force. It fetches the
// bundle if this VM does not hold it.
func (f *Follower) loadInForce(ctx context.Context, h *Head, fetch FetchFunc) (*InForce, error) {
	digest := h.Entry.Digest
	raw, held := f.RawBundle(digest)
	if !held {
		var err error
		if raw, err = fetch(ctx, digest); err != nil {
			return nil, err
		}
	}
	b, err := verifyInForce(f.opts.Keys, h, raw)
	if err != nil {
		return nil, err
	}
	return &InForce{Revision: h.Entry.Revision, Digest: digest, Bundle: b, head: h, raw: raw}, nil
}

// verifyInForce decodes raw, the packaged bundle that the head h names. It checks
// everything that the bundle needs to come into force: its bytes, its author's
// signature, its content, its deployment and a sign-off by another person that no
// recall invalidates.
func verifyInForce(keys *bundle.Keyring, h *Head, raw []byte) (*bundle.Bundle, error) {
	b, err := keys.OpenBundle(raw, h.Entry.Digest)
	if err != nil {
		return nil, err
	}
	if b.Deployment != h.Entry.Deployment {
		return nil, result.Errorf(result.BadBundle, "$.deployment: found %q, allowed is %q", b.Deployment, h.Entry.Deployment)
	}
	signOff, err := keys.OpenSignOff(h.Entry.SignOff)
	if err != nil {
		return nil, err
	}
	if err := b.CheckSignOff(signOff, h.Entry.Digest); err != nil {
		return nil, err
	}
	return b, CheckRecalls(&h.Entry, signOff.After)
}

// install puts next into force unless the same or a higher revision came into
// force meanwhile: concurrent calls of applyHead may finish loading their bundles in
// any order.
func (f *Follower) install(next *InForce) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.current.Load()
	if CompareHeads(previous.headOrNil(), next.head) != HeadNewer {
		return
	}
	if previous != nil && previous.Digest != next.Digest {
		f.previous.Store(previous)
	}
	next.Since = time.Now()
	f.current.Store(next)
	f.lastRefused = refusedHead{}
	f.metrics.changes.Inc()
	close(f.changed)
	f.changed = make(chan struct{})
	f.opts.Log.Info("bundle in force", "revision", next.Revision, "digest", next.Digest, "name", next.Bundle.Name)
}

// recordRefusal counts a refused head and records it for LastRefusal. It logs the
// refusal unless the previous refusal was of the same head with the same error. hash
// identifies the head: Head.Hash, or the digest of its bytes if it is not valid.
func (f *Follower) recordRefusal(hash string, err error) {
	f.metrics.countRefused(result.CodeOf(err))
	f.mu.Lock()
	logged := f.lastRefused.hash == hash && f.lastRefused.err.Error() == err.Error()
	f.lastRefused = refusedHead{hash: hash, err: err}
	f.mu.Unlock()
	if !logged {
		f.opts.Log.Error("head refused, the bundle in force stays", "revision", f.Revision(), "error", err)
	}
}
