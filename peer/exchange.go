// Package peer implements the gossip protocol between the VMs of a deployment:
// membership, and the exchange of revisions, drains and the health of targets.
// Each VM keeps connections to a few others, chosen at random. It forwards each
// new fact (package facts) as soon as it receives it, and at an interval compares
// digests of all its facts with one peer. What a VM sends per second therefore
// depends on its number of connections and on the rate of changes, not on the size
// of the fleet.
//
// Merged state never reverts: a head (the record of the revision in force) is signed
// and its revision only rises, a drain belongs to one incarnation of a target, and
// only a VM itself can state that it is alive.
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

// Heads holds this VM's head and bundles. The head is the signed record that names the
// revision in force and the digest of its bundle. The bundle is the configuration of the
// deployment.
type Heads interface {
	// Revision returns the revision in force, or 0 if there is none yet.
	Revision() uint64
	// Changed returns a channel that is closed when the revision next rises.
	Changed() <-chan struct{}
	// Head returns the signed head in force, or nil.
	Head() []byte
	// RawBundle returns the bundle with this digest, including its sign-offs, and
	// reports whether this VM has it.
	RawBundle(digest string) ([]byte, bool)
	// OfferHead verifies raw, a head received from a peer, and puts it in force if its
	// revision is higher. fetch gets a bundle from that peer by the bundle's digest.
	OfferHead(ctx context.Context, raw []byte, fetch func(ctx context.Context, digest string) ([]byte, error)) error
}

// Drain names one incarnation (one run of the process) of a target that takes no new
// work.
type Drain struct {
	Target      string
	Incarnation string
}

// Options configures an Exchange. Zero durations and counts are replaced by the
// defaults.
type Options struct {
	VM          objstore.VM // this VM; an empty Address is taken from the listener
	Incarnation string      // of this VM's process; unique for each start
	Deployment  string      // name of the deployment that all VMs of the exchange belong to
	FleetKeys   [][]byte    // keys that authenticate connections between VMs, newest first
	Listen      string      // IP and port on which other VMs connect
	// Seeds are addresses of VMs to dial when this VM knows no others from the
	// platform or from peers. They let a fleet start while the platform is down.
	Seeds []string
	Store objstore.Store // of the platform; only its list of VMs is read
	Heads Heads          // this VM's head and bundles, which are exchanged with other VMs
	Log   *slog.Logger
	// CallHandler serves the connections that other VMs open for calls to leaves.
	// It may be nil.
	CallHandler wire.Handler
	// DialContext opens TCP connections; the default is that of net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	Interval       time.Duration // time between two comparisons of all facts by digests, each with a random peer; default 1 s
	Fanout         int           // number of connections for the exchange that this VM dials; default 4
	MaxInbound     int           // greatest number of accepted connections for the exchange; default 16
	RotateInterval time.Duration // time between replacements of the oldest dialled connection; default 60 s
	SuspectAfter   time.Duration // time that a suspected VM has to refute the suspicion; default 3 s
	ListInterval   time.Duration // mean time between reads of the platform's list of VMs while Watching returns true; default 5 s
	PingInterval   time.Duration // time between pings on an idle connection; default 2 s
}

// Defaults of the Options.
const (
	defaultInterval       = time.Second     // default of Options.Interval
	defaultFanout         = 4               // default of Options.Fanout
	defaultMaxInbound     = 16              // default of Options.MaxInbound
	defaultRotateInterval = time.Minute     // default of Options.RotateInterval
	defaultSuspectAfter   = 3 * time.Second // default of Options.SuspectAfter
	defaultListInterval   = 5 * time.Second // default of Options.ListInterval
	defaultPingInterval   = 2 * time.Second // default of Options.PingInterval

	// nonWatcherListFactor multiplies Options.ListInterval on the VMs that don't watch
	// the platform.
	nonWatcherListFactor = 12
)

// withDefaults returns o with the defaults in place of zero or negative durations and
// counts, and with a logger that discards everything if there is none.
func (o Options) withDefaults() Options {
	defaults.SetIfNotPositive(&o.Interval, defaultInterval)
	defaults.SetIfNotPositive(&o.Fanout, defaultFanout)
	defaults.SetIfNotPositive(&o.MaxInbound, defaultMaxInbound)
	defaults.SetIfNotPositive(&o.RotateInterval, defaultRotateInterval)
	defaults.SetIfNotPositive(&o.SuspectAfter, defaultSuspectAfter)
	defaults.SetIfNotPositive(&o.ListInterval, defaultListInterval)
	defaults.SetIfNotPositive(&o.PingInterval, defaultPingInterval)
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	return o
}

// Exchange is this VM's participant in the gossip protocol. It is safe for
// concurrent use.
type Exchange struct {
	tomb         tomb.Tomb
	opts         Options
	wireCounters wire.Counters // traffic of the connections to other VMs
	server       *wire.Server  // accepts connections from other VMs; nil until Start
	metrics      *metrics.Set
	startTime    time.Time     // when New was called; taken as the start of this process
	startNanos   int64         // startTime by the wall clock, in Unix nanoseconds; orders incarnations
	pullWake     chan struct{} // wakes pullHeads; buffers one signal
	listRead     chan struct{} // signals run that an isolated VM has read the platform's list of VMs; buffers one signal

	healthChanged chan struct{} // signals that changedTargets isn't empty; buffers one signal

	mu                sync.Mutex           // guards everything below
	table             *facts.Table         // all known facts: drains, states of VMs, health of targets
	self              facts.Member         // this VM's statement about itself
	replaced          bool                 // a later process has this VM's name
	listedVMs         []objstore.VM        // the platform's list of VMs, as last read; nil before the first read
	liveCache         []objstore.VM        // result of Live; nil if it has to be recomputed
	placeCache        map[int]objstore.VM  // result of Places; nil if it has to be recomputed
	placeContested    bool                 // result of PlaceContested; valid if placeCache isn't nil
	links             map[*link]struct{}   // connections to other VMs for the exchange
	dialing           map[string]bool      // addresses of VMs to which a dial is in progress
	suspectedSince    map[string]time.Time // by VM name: when the suspicion was first merged here
	lastSuspected     map[string]time.Time // by VM name: when this VM itself last suspected it
	lastRotation      time.Time            // when a dialled connection was last replaced
	lastTick          time.Time            // start of the last call of tick
	announcedRevision uint64               // last revision announced to peers
	drainsChanged     chan struct{}        // closed and replaced when a drain is added; see DrainsChanged
	lastDrainTime     time.Time            // when a drain was last added; zero if none was
	changedTargets    map[string]struct{}  // targets whose health has changed since the last call of TakeHealthChanges
	lastHealthTime    time.Time            // when the health of a target last changed; zero if none did
}

// New returns an Exchange that isn't started. It returns an error if the VM's
// name, the incarnation or the deployment isn't set.
func New(o Options) (*Exchange, error) {
	if o.VM.Name == "" || o.Incarnation == "" || o.Deployment == "" {
		return nil, errors.NotValidf("exchange without VM name, incarnation or deployment")
	}
	x := &Exchange{
		opts:           o.withDefaults(),
		startTime:      time.Now(),
		pullWake:       make(chan struct{}, 1),
		listRead:       make(chan struct{}, 1),
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

// Start listens for peers and starts the exchange.
func (x *Exchange) Start() error {
	server, err := wire.Listen(x.opts.Listen, x.wireOptions(), &x.wireCounters, x.handleAccepted)
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

// run starts the goroutines of the exchange and calls tick at Options.Interval until
// the exchange stops. It also calls tick when this VM has read the list of VMs and has no
// peer: a VM that started would otherwise not dial others for an interval, in which they
// don't know it.
func (x *Exchange) run() error {
	x.tomb.Go(x.readVMList)
	x.tomb.Go(x.announceRevisions)
	x.tomb.Go(x.pullHeads)
	ticker := time.NewTicker(x.opts.Interval)
	defer ticker.Stop()
	for {
		x.tick(time.Now())
		select {
		case <-x.tomb.Dying():
			return nil
		case <-x.listRead:
		case <-ticker.C:
		}
	}
}

// Stop announces that this VM is leaving, stops the exchange and waits for its
// goroutines, at most until ctx ends.
func (x *Exchange) Stop(ctx context.Context) error {
	x.AnnounceLeaving()
	x.flush()
	x.mu.Lock()
	x.tomb.Kill(nil) // under mu, since code that holds mu and sees the tomb alive may start a goroutine
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

// Address returns the address at which this VM listens for peers.
func (x *Exchange) Address() string { return x.server.Addr().String() }

// PublishDrain records that an incarnation of a target takes no new work, and sends
// that to the other VMs. It does nothing if the drain is already known.
func (x *Exchange) PublishDrain(d Drain) {
	now := time.Now().Unix()
	x.mu.Lock()
	defer x.mu.Unlock()
	if f, added := x.table.AddDrain(d.Target, d.Incarnation, now); added {
		x.forward(f, nil)
		x.signalDrains()
	}
}

// Drains returns all known drains. Those of one target are ordered from the oldest to
// the newest.
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

// DrainsChanged returns a channel that is closed when a drain is next added. Once a
// channel is closed, DrainsChanged returns a new one.
func (x *Exchange) DrainsChanged() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.drainsChanged
}

// signalDrains records the time of a new drain, and closes and replaces the channel of
// DrainsChanged. The caller must hold mu.
func (x *Exchange) signalDrains() {
	x.lastDrainTime = time.Now()
	close(x.drainsChanged)
	x.drainsChanged = make(chan struct{})
}

// AnnounceLeaving announces to the other VMs that this VM is leaving, so that they send
// it no new work. It does nothing if that was announced already.
func (x *Exchange) AnnounceLeaving() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.self.State == facts.Leaving {
		return
	}
	x.self.State = facts.Leaving
	x.publishSelf(x.self.Counter)
}

// SetPlace announces to the other VMs which place this VM holds. Places are numbered
// from 0; they decide which VMs own the connections to which targets. A negative number
// means that this VM holds none. facts.Member.Place counts from 1 instead; there, 0 means
// none.
func (x *Exchange) SetPlace(place int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if place = max(place, -1) + 1; x.self.Place != place {
		x.self.Place = place
		x.publishSelf(x.self.Counter)
	}
}

// Places returns the VMs that hold places and aren't lost. The key is the place: a
// number from 0 that decides to which targets its VM owns connections. VMs that are
// leaving have Leaving set. The caller must not change the map.
func (x *Exchange) Places() map[int]objstore.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fillPlaceCache()
	return x.placeCache
}

// PlaceContested reports whether another VM states that it holds the place of this VM. VMs
// that are lost or leaving don't count: a leaving VM closes its connections to targets
// before it releases its place.
//
// It happens after this VM counted as lost, so that its place was given away, although it
// was running: for example, while it was cut off from the other VMs.
func (x *Exchange) PlaceContested() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fillPlaceCache()
	return x.placeContested
}

// fillPlaceCache recomputes placeCache and placeContested if necessary. The caller must hold
// mu.
func (x *Exchange) fillPlaceCache() {
	if x.placeCache != nil {
		return
	}
	members := x.table.Members()
	x.placeCache = vmsByPlace(members)
	x.placeContested = contested(x.self, members)
}

// invalidateCaches discards what was computed from the known members and the
// platform's list, after either has changed. The caller must hold mu.
func (x *Exchange) invalidateCaches() { x.liveCache, x.placeCache = nil, nil }

// Ended reports whether an incarnation of the named VM counts as ended: the VM is lost, or
// the known statement about the VM is about another incarnation. A suspicion of a VM that has
// made no statement yet names no incarnation, and ends none unless the VM becomes lost.
func (x *Exchange) Ended(vm, incarnation string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	m, known := x.table.Member(vm)
	if !known {
		return false
	}
	replaced := m.Incarnation != "" && m.Incarnation != incarnation
	return m.State == facts.Lost || replaced
}

// Live returns the VMs that count as alive and aren't leaving, sorted by name. It
// includes this VM unless this VM is leaving. The platform's list of VMs lags, so the
// statements of VMs about themselves and each other override it.
func (x *Exchange) Live() []objstore.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.liveLocked())
}

// liveLocked is Live for callers that hold mu. The result must not be changed.
func (x *Exchange) liveLocked() []objstore.VM {
	if x.liveCache == nil {
		x.liveCache = liveVMs(x.listedVMs, x.table.Members())
	}
	return x.liveCache
}

// Watching reports whether this VM has to watch the platform for changes and pass them
// on to the others. That holds on every VM of a small fleet, on some VMs of a large one
// (see isWatcher), and on a VM without any connection to another one.
func (x *Exchange) Watching() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.links) == 0 || isWatcher(x.liveLocked(), x.opts.VM.Name)
}

// Peers returns the number of connections to other VMs for the exchange.
func (x *Exchange) Peers() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.links)
}

// isolatedListInterval is the mean time until a VM without a peer reads the platform's list of
// VMs for the second time. It doubles with each further read.
const isolatedListInterval = 500 * time.Millisecond

// readVMList reads the platform's list of VMs at intervals until the exchange stops. The
// mean interval is ListInterval on VMs that watch the platform, and nonWatcherListFactor
// times as long on the others. On a VM without a peer it begins with isolatedListInterval:
// the list lags, so that a VM which has just started may not find others in it. Each wait is
// drawn at random between half the mean interval and one and a half of it.
func (x *Exchange) readVMList() error {
	isolatedWait := isolatedListInterval
	for {
		ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), x.opts.ListInterval)
		vms, err := x.opts.Store.VMs(ctx)
		cancel()
		if err == nil {
			x.mu.Lock()
			x.listedVMs = vms
			x.invalidateCaches()
			x.mu.Unlock()
		} else {
			x.opts.Log.Debug("could not read the platform's list of VMs", "error", err)
		}
		wait := x.opts.ListInterval
		switch {
		case x.Peers() == 0:
			select {
			case x.listRead <- struct{}{}:
			default:
			}
			wait = min(wait, isolatedWait)
			isolatedWait = min(2*isolatedWait, x.opts.ListInterval)
		case x.Watching():
			isolatedWait = isolatedListInterval
		default:
			isolatedWait = isolatedListInterval
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
