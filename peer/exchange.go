// Package peer is how the VMs of a deployment act together: who lives, and the
// exchange of revisions, drains and the health of targets. Each VM keeps
// connections to a few others, chosen at random, passes on what is new to it as
// soon as it hears of it, and compares digests with one of them at an interval.
// What a VM sends per second therefore depends on its number of connections and
// on how much changes, not on the size of the fleet.
//
// Nothing learned here can revert: a head is signed and its revision only
// rises, a drain belongs to one incarnation of a target, and of a VM only the
// VM itself says that it lives.
package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/internal/defaults"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// Heads is the VM's own knowledge of the head and the bundles.
type Heads interface {
	// Revision returns the revision in force, 0 before the first.
	Revision() uint64
	// Changed returns a channel that is closed when the revision next rises.
	Changed() <-chan struct{}
	// Head returns the signed head in force, or nil.
	Head() []byte
	// RawBundle returns a bundle with its sign-offs, by its digest.
	RawBundle(digest string) ([]byte, bool)
	// OfferHead checks a head that a peer holds and puts it in force if it is
	// newer. fetch gets a bundle from that peer.
	OfferHead(ctx context.Context, raw []byte, fetch func(ctx context.Context, digest string) ([]byte, error)) error
}

// Drain is one incarnation of a target that takes no new work.
type Drain struct {
	Target      string
	Incarnation string
}

// Options governs an Exchange. Zero values are replaced by the defaults.
type Options struct {
	VM          objstore.VM // this VM; an empty Address is taken from the listener
	Incarnation string
	Deployment  string
	FleetKeys   [][]byte // newest first
	Listen      string   // IP and port
	// Seeds are addresses of VMs to be asked when neither the platform nor a
	// peer names any. They let a fleet start while the platform is down.
	Seeds []string
	Store objstore.Store // for the list of VMs
	Heads Heads
	Log   *slog.Logger
	// CallHandler serves connections that other VMs open for calls to leaves; may be
	// nil.
	CallHandler wire.Handler
	// DialContext opens TCP connections; default net.Dialer's.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	Interval       time.Duration // between comparisons of digests; default 1 s
	Fanout         int           // connections that this VM opens; default 4
	MaxInbound     int           // connections of others that it keeps; default 16
	RotateInterval time.Duration // after which one connection is replaced; default 60 s
	SuspectAfter   time.Duration // a suspected VM's time to answer; default 3 s
	ListInterval   time.Duration // between reads of the VM list by watching VMs; default 5 s
	PingInterval   time.Duration // of idle connections; default 2 s
}

const (
	defaultInterval     = time.Second
	defaultFanout       = 4
	defaultMaxInbound   = 16
	defaultRotate       = time.Minute
	defaultSuspectAfter = 3 * time.Second
	defaultListInterval = 5 * time.Second
	defaultPingInterval = 2 * time.Second

	// nonWatcherListFactor is how much more seldom a VM that doesn't watch reads the
	// platform's list.
	nonWatcherListFactor = 12
)

func (o Options) withDefaults() Options {
	defaults.SetIfNotPositive(&o.Interval, defaultInterval)
	defaults.SetIfNotPositive(&o.Fanout, defaultFanout)
	defaults.SetIfNotPositive(&o.MaxInbound, defaultMaxInbound)
	defaults.SetIfNotPositive(&o.RotateInterval, defaultRotate)
	defaults.SetIfNotPositive(&o.SuspectAfter, defaultSuspectAfter)
	defaults.SetIfNotPositive(&o.ListInterval, defaultListInterval)
	defaults.SetIfNotPositive(&o.PingInterval, defaultPingInterval)
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	return o
}

// Exchange is this VM's part of the exchange. It is safe for concurrent use.
type Exchange struct {
	tomb       tomb.Tomb
	opts       Options
	count      wire.Counters
	server     *wire.Server
	metrics    *metrics.Set
	startTime  time.Time
	startNanos int64         // begun by the wall clock, in Unix nanoseconds
	pullWake   chan struct{} // wakes the loop that gets newer heads

	healthChanged chan struct{} // there is news of targets' health

	mu                sync.Mutex // guards everything below
	table             *facts.Table
	self              facts.Member
	replaced          bool // a newer process carries this VM's name
	listed            []objstore.VM
	liveCache         []objstore.VM       // nil if it has to be worked out anew
	placeCache        map[int]objstore.VM // the same
	links             map[*link]struct{}
	dialing           map[string]bool      // addresses
	suspectedSince    map[string]time.Time // VM to when this VM heard of the suspicion
	lastSuspected     map[string]time.Time // VM to when this VM last suspected it
	lastRotation      time.Time
	lastTick          time.Time
	announcedRevision uint64 // revision last passed on
	drainsChanged     chan struct{}
	lastDrainLearned  time.Time           // when a drain was last learned
	changedTargets    map[string]struct{} // targets of which something was learned
	lastHealthLearned time.Time           // when something was last learned of a target
}

// New returns an Exchange that Start sets to work.
func New(o Options) (*Exchange, error) {
	if o.VM.Name == "" || o.Incarnation == "" || o.Deployment == "" {
		return nil, errors.NotValidf("exchange without VM name, incarnation or deployment")
	}
	x := &Exchange{
		opts:           o.withDefaults(),
		startTime:      time.Now(),
		pullWake:       make(chan struct{}, 1),
		table:          facts.NewTable(),
		links:          map[*link]struct{}{},
		dialing:        map[string]bool{},
		suspectedSince: map[string]time.Time{},
		lastSuspected:  map[string]time.Time{},
		drainsChanged:  make(chan struct{}),
		changedTargets: map[string]struct{}{},
		healthChanged:  make(chan struct{}, 1),
	}
	x.startNanos = x.startTime.UnixNano()
	x.metrics = x.newMetrics()
	return x, nil
}

// Start listens for peers and begins the exchange.
func (x *Exchange) Start() error {
	server, err := wire.Listen(x.opts.Listen, x.wireOptions(), &x.count, x.handleAccepted)
	if err != nil {
		return errors.Trace(err)
	}
	x.mu.Lock()
	x.server = server
	if x.opts.VM.Address == "" {
		x.opts.VM.Address = server.Addr().String()
	}
	x.self = facts.Member{
		Name:        x.opts.VM.Name,
		Incarnation: x.opts.Incarnation,
		Started:     x.startNanos,
		Address:     x.opts.VM.Address,
		Ops:         x.opts.VM.Ops,
		Zone:        x.opts.VM.Zone,
	}
	x.table.Merge(facts.Fact{Member: &x.self}, time.Now().Unix())
	x.lastTick = time.Now()
	x.lastRotation = x.lastTick
	x.mu.Unlock()
	x.tomb.Go(x.run)
	return nil
}

func (x *Exchange) run() error {
	x.tomb.Go(x.readList)
	x.tomb.Go(x.announceRevisions)
	x.tomb.Go(x.pullHeads)
	ticker := time.NewTicker(x.opts.Interval)
	defer ticker.Stop()
	for {
		x.tick(time.Now())
		select {
		case <-x.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// Stop says that this VM leaves, ends the exchange and waits for its parts.
func (x *Exchange) Stop(ctx context.Context) error {
	x.AnnounceLeaving()
	x.flush()
	x.mu.Lock()
	x.tomb.Kill(nil) // under mu: who sees the tomb alive may still start a goroutine
	for l := range x.links {
		_ = l.conn.Notify(methodGoodbye, nil)
		l.conn.Close()
	}
	x.mu.Unlock()
	x.server.Stop()
	select {
	case <-x.tomb.Dead():
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Address returns the address that this VM listens at for peers.
func (x *Exchange) Address() string { return x.server.Addr().String() }

// LearnDrain records that an incarnation of a target takes no new work, and
// tells others. Repeating it costs nothing.
func (x *Exchange) LearnDrain(d Drain) {
	now := time.Now().Unix()
	x.mu.Lock()
	defer x.mu.Unlock()
	if f, fresh := x.table.AddDrain(d.Target, d.Incarnation, now); fresh {
		x.forward(f, nil)
		x.signalDrains()
	}
}

// Drains returns all drains known, those of one target the newest last.
func (x *Exchange) Drains() []Drain {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := x.table.Drains()
	list := make([]Drain, len(known))
	for i, d := range known {
		list[i] = Drain{Target: d.Target, Incarnation: d.Incarnation}
	}
	return list
}

// DrainsChanged returns a channel that is closed when a drain is learned after
// this call.
func (x *Exchange) DrainsChanged() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.drainsChanged
}

// signalDrains must hold mu.
func (x *Exchange) signalDrains() {
	x.lastDrainLearned = time.Now()
	close(x.drainsChanged)
	x.drainsChanged = make(chan struct{})
}

// AnnounceLeaving tells the others that this VM is stopping.
func (x *Exchange) AnnounceLeaving() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.self.State == facts.Leaving {
		return
	}
	x.self.State = facts.Leaving
	x.publishSelf(x.self.Counter)
}

// SetPlace tells the others which of the fleet's places this VM holds, counted
// from 0; a negative number means none.
func (x *Exchange) SetPlace(place int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if place = max(place, -1) + 1; x.self.Place != place {
		x.self.Place = place
		x.publishSelf(x.self.Counter)
	}
}

// Places returns the VMs that hold places and aren't lost, by place; those that
// are leaving are marked. The map must not be changed.
func (x *Exchange) Places() map[int]objstore.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.placeCache == nil {
		x.placeCache = placeHolders(x.table.Members())
	}
	return x.placeCache
}

// invalidateCaches notes that the VMs known, or the platform's list, have invalidateCaches. It must
// hold mu.
func (x *Exchange) invalidateCaches() { x.liveCache, x.placeCache = nil, nil }

// Gone tells whether a process is known to have ended or to have been replaced.
func (x *Exchange) Gone(vm, incarnation string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	m, known := x.table.Member(vm)
	return known && (m.State == facts.Lost || m.Incarnation != incarnation)
}

// Live returns the VMs that are believed to live and stay, this one included
// unless it is leaving, in the order of names: the platform's lagging list,
// corrected by what was seen.
func (x *Exchange) Live() []objstore.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.liveLocked())
}

// liveLocked must hold mu. Its result must not be changed.
func (x *Exchange) liveLocked() []objstore.VM {
	if x.liveCache == nil {
		x.liveCache = liveVMs(x.listed, x.table.Members())
	}
	return x.liveCache
}

// Watching tells whether this VM is one of those that watch the platform and
// tell the others. In a small fleet, or without any peer, it is.
func (x *Exchange) Watching() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.links) == 0 || isWatcher(x.liveLocked(), x.opts.VM.Name)
}

// Peers returns the number of VMs that this one is connected to.
func (x *Exchange) Peers() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.links)
}

// readList reads the platform's list of VMs: often on VMs that watch, seldom on
// the others, at once while no peer is known.
func (x *Exchange) readList() error {
	for {
		ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), x.opts.ListInterval)
		vms, err := x.opts.Store.VMs(ctx)
		cancel()
		if err == nil {
			x.mu.Lock()
			x.listed = vms
			x.invalidateCaches()
			x.mu.Unlock()
		} else {
			x.opts.Log.Debug("list of VMs not read", "error", err)
		}
		wait := x.opts.ListInterval
		if !x.Watching() {
			wait *= nonWatcherListFactor
		}
		wait = wait/2 + rand.N(wait)
		select {
		case <-x.tomb.Dying():
			return nil
		case <-time.After(wait):
		}
	}
}
