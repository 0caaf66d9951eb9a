// Package route calls each target either over this VM's own connections or through
// another VM that owns connections to it. Which VMs own connections to a target follows
// from their places: a place is a number that a VM claims so that no other VM holds it.
// Where the connection limits of the targets allow every VM to own connections, all
// calls are direct, and the package adds only a map lookup to each.
package route

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/defaults"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/hop"
	"github.com/bramleybarrow/bramleybarrow/peer/place"
	"github.com/bramleybarrow/bramleybarrow/peer/share"
	"github.com/bramleybarrow/bramleybarrow/target"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// Fleet provides what the exchange knows about the other VMs. It must be safe for
// concurrent use. peer.Exchange implements it.
type Fleet interface {
	// Places returns the live VMs, including leaving ones, by the places that they
	// hold. A place is a number from 0, held by at most one VM, that decides to which
	// targets its VM owns connections. The map must not be changed.
	Places() map[int]objstore.VM
	// SetPlace publishes the place of this VM; a negative number means that it holds none.
	SetPlace(place int)
	// PlaceContested reports whether another live VM states that it holds the place of
	// this one.
	PlaceContested() bool
	// Ended reports whether an incarnation of a VM, one run of its process, is known to
	// have ended or to have been replaced.
	Ended(vm, incarnation string) bool
	// WireOptions returns the options for connections to other VMs.
	WireOptions() wire.Options
}

// Options configure a Router. All but Log and IdleAfter are required.
type Options struct {
	Local hop.Leaves    // calls targets over this VM's own connections
	Place place.Options // how this VM claims a place; Start sets Ended from the fleet
	Zone  string        // the VM's availability zone
	Log   *slog.Logger
	// IdleAfter is how long a connection to an owner stays open without a call;
	// default 5 s.
	IdleAfter time.Duration
}

// Router calls the leaves of targets, over this VM's own connections or through the VMs
// that own connections to them. Which VMs these are follows from their places: a place
// is a number that a VM claims so that no other VM holds it. Router is safe for
// concurrent use.
type Router struct {
	opts  Options
	owner *hop.Owner // serves calls of other VMs to the targets that this VM owns connections to
	fleet Fleet      // set by Start
	tomb  tomb.Tomb
	wake  chan struct{} // signals maintainPlace that the bundle changed; buffers one signal

	metrics                 *metrics.Set
	directCalls, ownerCalls *metrics.Counter                // calls over this VM's own connections, and calls through owners
	ownerCallsByDistance    [elsewhere + 1]*metrics.Counter // attempts through owners, by the owner's distance

	mu               sync.Mutex              // guards the fields below
	targets          map[string]*targetRoute // the targets of the bundle in force, by name
	ownerCache       map[ownerCacheKey][]int // places of the owners of targets, kept across bundles because hashing all places is slow
	placeCount       int                     // number of places of the fleet, from the bundle in force
	hasSharedTargets bool                    // some target has fewer owners than the fleet has places, so this VM needs a place
	topology         topology                // the distances of other VMs
	ownPlace         int                     // the place that this VM holds; noPlace if it holds none
	changed          chan struct{}           // closed and replaced when connections are reassigned; see Changed
	ownerConns       map[string]*ownerConn   // the connections to owners, by address of the owner's VM
}

// noPlace stands for the place of a VM that holds none. Such a VM owns connections only to
// the targets that accept connections of every VM.
const noPlace = -1

// targetRoute states how this VM calls one target.
type targetRoute struct {
	plan        share.Plan // how the target's connections are divided among the VMs
	slots       int        // calls that each leaf of the target runs at once
	leaves      int        // number of leaves of the target
	owners      []int      // places of the VMs that own connections to the target; nil if every VM does
	connections int        // connections to the target that this VM may hold; 0 if it isn't an owner
}

// ownerCacheKey holds everything that the places of a target's owners depend on.
type ownerCacheKey struct {
	target                 string // name of the target
	placeCount, ownerCount int    // numbers of places of the fleet and of owners of the target
}

// New returns a router without a bundle. Call Start before the first call to a target.
func New(o Options) *Router {
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	defaults.SetIfNotPositive(&o.IdleAfter, defaultIdleAfter)
	r := &Router{
		opts:       o,
		wake:       make(chan struct{}, 1),
		targets:    map[string]*targetRoute{},
		ownerCache: map[ownerCacheKey][]int{},
		ownPlace:   noPlace,
		changed:    make(chan struct{}),
		ownerConns: map[string]*ownerConn{},
	}
	r.newMetrics()
	r.owner = hop.NewOwner(hop.OwnerOptions{Leaves: o.Local, Slots: r.slots})
	return r
}

// Handle serves the calls of other VMs to targets that this VM owns connections to. It is
// a wire.Handler.
func (r *Router) Handle(ctx context.Context, conn *wire.Conn, method string, params json.RawMessage) (any, error) {
	return r.owner.Handle(ctx, conn, method, params)
}

// Start starts the background work of the router. It acquires and maintains a place for
// this VM if some target doesn't accept connections of all VMs. A place is a number that
// no other VM holds; it decides to which of these targets this VM owns connections. The
// background work also closes idle connections to owners. Start must be called once,
// before the first call to a target.
func (r *Router) Start(fleet Fleet) {
	r.fleet = fleet
	r.opts.Place.Ended = fleet.Ended
	r.tomb.Go(r.maintainPlace)
	r.tomb.Go(r.closeIdle)
}

// Drain refuses further calls of other VMs and waits until all their calls through this VM
// have been answered, or until ctx ends. In the latter case it returns the error of ctx.
func (r *Router) Drain(ctx context.Context) error { return r.owner.Drain(ctx) }

// Stop stops the router. It releases this VM's place, the number that decides to which
// targets this VM owns connections, and closes the connections to owners. This VM's
// connections to targets must already be closed: another VM may acquire the place
// immediately and open its own.
func (r *Router) Stop() error {
	r.tomb.Kill(nil)
	err := r.tomb.Wait()
	r.mu.Lock()
	conns := r.ownerConns
	r.ownerConns = map[string]*ownerConn{}
	r.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
	return err
}

// Apply puts the targets, the availability zones and the number of places of a bundle in
// force. A place is a number that decides to which targets the VM that holds it owns
// connections.
func (r *Router) Apply(b *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placeCount = b.Fleet.MaxVMs
	r.topology = topology{local: r.opts.Zone, regions: map[string]string{}}
	for _, z := range b.Zones {
		r.topology.regions[z.Name] = z.Region
	}
	r.hasSharedTargets = false
	r.targets = map[string]*targetRoute{}
	newCache := map[ownerCacheKey][]int{}
	for i := range b.Services {
		for j := range b.Services[i].Targets {
			t := &b.Services[i].Targets[j]
			plan := share.NewPlan(t.Connections, r.placeCount)
			rt := &targetRoute{plan: plan, slots: t.Slots, leaves: t.Leaves}
			if !plan.Direct() {
				r.hasSharedTargets = true
				key := ownerCacheKey{t.Name, plan.Places, plan.Owners}
				rt.owners = r.ownerPlaces(key, plan)
				newCache[key] = rt.owners
			}
			r.targets[t.Name] = rt
		}
	}
	r.ownerCache = newCache
	r.assignConnections()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// ownerPlaces returns the places of the VMs that own connections to a target, from
// ownerCache if possible. plan and key must be those of the target. The caller must hold
// mu.
func (r *Router) ownerPlaces(key ownerCacheKey, plan share.Plan) []int {
	if places, known := r.ownerCache[key]; known {
		return places
	}
	return plan.OwnerPlaces(key.target)
}

// assignConnections computes how many connections this VM may hold to each target, and
// signals the change to the receivers of Changed. This VM owns connections to a target if
// every VM does, or if its place is among those of the target's owners. The caller must
// hold mu.
func (r *Router) assignConnections() {
	for _, rt := range r.targets {
		rt.connections = 0
		if rt.plan.Direct() {
			rt.connections = rt.plan.PerOwner
			continue
		}
		for _, owner := range rt.owners {
			if owner == r.ownPlace {
				rt.connections = rt.plan.PerOwner
			}
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Connections returns how many connections to a target this VM may hold.
func (r *Router) Connections(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rt := r.targets[name]; rt != nil {
		return rt.connections
	}
	return 0
}

// Changed returns a channel that is closed when the results of Connections may next
// change. Read it before Connections, so that no change is missed.
func (r *Router) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// slots returns the number of slots of a leaf, the calls that it runs at once, and true if
// this VM owns connections to the named target and the target has that leaf. It returns
// false otherwise.
func (r *Router) slots(name string, leaf int) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt := r.targets[name]
	if rt == nil || rt.connections == 0 || leaf < 0 || leaf >= rt.leaves {
		return 0, false
	}
	return rt.slots, true
}

// Search searches one leaf. The error is a *target.CallError.
func (r *Router) Search(ctx context.Context, name string, leaf int, req target.LeafRequest) (a target.LeafAnswer, err error) {
	err = r.callTarget(ctx, name, func(l hop.Leaves) (err error) {
		a, err = l.Search(ctx, name, leaf, req)
		return err
	})
	return a, err
}

// Submit sends a non-idempotent request to one leaf, once. The error is a
// *target.CallError. Unless NotStarted is set in the error, the request may have been
// executed.
func (r *Router) Submit(ctx context.Context, name string, leaf int, req target.SubmitRequest) (a target.SubmitAnswer, err error) {
	err = r.callTarget(ctx, name, func(l hop.Leaves) (err error) {
		a, err = l.Submit(ctx, name, leaf, req)
		return err
	})
	return a, err
}

// Status reads a target's status. The error is a *target.CallError.
func (r *Router) Status(ctx context.Context, name string) (s target.Status, err error) {
	err = r.callTarget(ctx, name, func(l hop.Leaves) (err error) {
		s, err = l.Status(ctx, name)
		return err
	})
	return s, err
}

// callTarget makes a call to the named target over this VM's own connections if it has any,
// or through one of the target's owners. call makes the call with the Leaves that it is
// given. Owners are tried one after another, this VM first if it is one: after a failure,
// callTarget tries the next owner only if the target is certain not to have started the call
// and another owner may be able to make it; see tryNextOwner.
func (r *Router) callTarget(ctx context.Context, name string, call func(hop.Leaves) error) error {
	local, shared := r.local(name)
	var lastErr error = &target.CallError{Kind: target.ErrorUnreachable, Target: name, NotStarted: true}
	if local != nil {
		r.directCalls.Inc()
		lastErr = call(local)
		if !shared || !tryNextOwner(lastErr) {
			return lastErr
		}
	}
	r.ownerCalls.Inc()
	trail := target.TrailOf(ctx)
	for _, c := range r.otherOwners(name, trail) {
		conn, err := r.acquireConn(ctx, c.vm)
		if ctx.Err() != nil {
			return hop.ContextError(ctx, name, true)
		}
		if err != nil {
			r.opts.Log.Debug("connection to owner failed", "vm", c.vm.Name, "target", name, "error", err)
			continue
		}
		r.ownerCallsByDistance[c.distance].Inc()
		trail.Add(c.vm.Name)
		lastErr = conn.call(ctx, name, call)
		if !tryNextOwner(lastErr) {
			return lastErr
		}
		r.opts.Log.Debug("call through owner failed", "vm", c.vm.Name, "target", name, "error", lastErr)
	}
	return lastErr
}

// tryNextOwner reports whether a call through an owner that ended with err should be made
// again through another owner. That is so if the target has not started the call, and the
// owner could not be reached, could not reach the target, doesn't accept calls to the
// target, or the connection to the owner or from it to the target broke.
func tryNextOwner(err error) bool {
	call, ok := err.(*target.CallError)
	return ok && call.NotStarted &&
		(call.Kind == target.ErrorUnreachable || call.Kind == target.ErrorUnknownTarget || call.Kind == target.ErrorBroken)
}

// local returns the Leaves that call the named target over this VM's own connections, nil if
// it has none to that target and must call through an owner. shared says that only some VMs
// own connections to the target. For a target that the bundle in force doesn't have, local
// returns Leaves whose calls fail.
func (r *Router) local(name string) (leaves hop.Leaves, shared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt := r.targets[name]
	switch {
	case rt == nil || rt.plan.Direct():
		return r.opts.Local, false
	case rt.connections > 0:
		return r.owner.QueuedLeaves(), true // shares the slots with the calls of other VMs
	}
	return nil, true
}

// otherOwners returns the other live VMs that own connections to the named target, including
// leaving ones, in the order in which this VM tries them. trail holds the owners through
// which earlier attempts went; it may be nil.
func (r *Router) otherOwners(name string, trail *target.Trail) (owners []candidate) {
	vmByPlace := r.fleet.Places()
	now := time.Now()
	r.mu.Lock()
	if rt := r.targets[name]; rt != nil {
		for _, place := range rt.owners {
			if vm, live := vmByPlace[place]; live && place != r.ownPlace {
				owners = append(owners, r.newCandidate(name, vm, trail, now))
			}
		}
	}
	r.mu.Unlock()
	sortCandidates(owners)
	return owners
}

// newCandidate returns the VM vm, an owner of the named target, as a candidate for the
// next call. trail holds the owners through which earlier attempts went. The caller must
// hold mu.
func (r *Router) newCandidate(name string, vm objstore.VM, trail *target.Trail, now time.Time) candidate {
	conn := r.ownerConns[vm.Address]
	return candidate{
		vm:         vm,
		distance:   r.topology.distance(vm.Zone),
		tried:      trail.Contains(vm.Name),
		inCooldown: conn != nil && conn.inCooldown(name, now),
		weight:     rendezvousWeight(r.opts.Place.VM, name, vm.Name),
	}
}
