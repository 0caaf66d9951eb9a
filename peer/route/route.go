// Package route decides for each target whether this VM calls it over its own
// connections or through a VM that owns some, and does so. Where the targets'
// limits let every VM own connections, all calls go direct and the package costs
// a look into a table.
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

// Fleet is what the exchange tells of the other VMs. peer.Exchange implements it.
type Fleet interface {
	Places() map[int]objstore.VM
	SetPlace(place int)
	Gone(vm, incarnation string) bool
	WireOptions() wire.Options
}

// Options configure a Router. All but Log and IdleAfter are required.
type Options struct {
	Local hop.Leaves    // over own connections
	Place place.Options // Gone is taken from the fleet
	Zone  string        // the VM's availability zone
	Log   *slog.Logger
	// IdleAfter is for how long a connection to an owner stays open without a
	// call; default 5 s.
	IdleAfter time.Duration
}

// Router reaches the leaves of targets. It is safe for concurrent use.
type Router struct {
	opts  Options
	owner *hop.Owner
	fleet Fleet
	tomb  tomb.Tomb
	wake  chan struct{} // the bundle changed

	metrics          *metrics.Set
	direct, viaOwner *metrics.Counter
	byDistance       [elsewhere + 1]*metrics.Counter

	mu         sync.Mutex // guards what follows
	targets    map[string]*targetRoute
	ownerCache map[ownerCacheKey][]int // kept from bundle to bundle: hashing all places is slow
	places     int                     // of the fleet, as the bundle has it
	shared     bool                    // some target has fewer owners than the fleet has places
	zones      zones
	place      int // own place; noPlace if none
	changed    chan struct{}
	ownerConns map[string]*ownerConn
}

const noPlace = -1

// targetRoute is how one target is reached.
type targetRoute struct {
	plan        share.Plan
	slots       int
	leaves      int
	owners      []int // places; nil if direct
	connections int   // connections of this VM's own
}

type ownerCacheKey struct {
	target         string
	places, owners int
}

// New returns a router without a bundle.
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
		place:      noPlace,
		changed:    make(chan struct{}),
		ownerConns: map[string]*ownerConn{},
	}
	r.newMetrics()
	r.owner = hop.NewOwner(hop.OwnerOptions{Leaves: o.Local, Slots: r.slots})
	return r
}

// Handle serves the calls of other VMs; it is a wire.Handler.
func (r *Router) Handle(ctx context.Context, conn *wire.Conn, method string, params json.RawMessage) (any, error) {
	return r.owner.Handle(ctx, conn, method, params)
}

// Start begins to hold a place where one is needed.
func (r *Router) Start(fleet Fleet) {
	r.fleet = fleet
	r.opts.Place.Ended = fleet.Gone
	r.tomb.Go(r.maintainPlace)
	r.tomb.Go(r.closeIdle)
}

// Drain waits until no call of another VM is under way through this one, or ctx
// ends.
func (r *Router) Drain(ctx context.Context) error { return r.owner.Drain(ctx) }

// Stop gives the place back and closes the connections to owners. The
// connections to targets must be closed by then: another VM may take the place
// at once.
func (r *Router) Stop() error {
	r.tomb.Kill(nil)
	err := r.tomb.Wait()
	r.mu.Lock()
	peers := r.ownerConns
	r.ownerConns = map[string]*ownerConn{}
	r.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
	return err
}

// Apply puts a bundle's targets in force.
func (r *Router) Apply(b *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.places = b.Fleet.MaxVMs
	r.zones = zones{own: r.opts.Zone, regions: map[string]string{}}
	for _, z := range b.Zones {
		r.zones.regions[z.Name] = z.Region
	}
	r.shared = false
	r.targets = map[string]*targetRoute{}
	kept := map[ownerCacheKey][]int{}
	for i := range b.Services {
		for j := range b.Services[i].Targets {
			t := &b.Services[i].Targets[j]
			plan := share.NewPlan(t.Connections, r.places)
			rt := &targetRoute{plan: plan, slots: t.Slots, leaves: t.Leaves}
			if !plan.Direct() {
				r.shared = true
				key := ownerCacheKey{t.Name, plan.Places, plan.Owners}
				rt.owners = r.ownerPlaces(key, plan)
				kept[key] = rt.owners
			}
			r.targets[t.Name] = rt
		}
	}
	r.ownerCache = kept
	r.assignConnections()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Router) ownerPlaces(key ownerCacheKey, plan share.Plan) []int {
	if places, known := r.ownerCache[key]; known {
		return places
	}
	return plan.OwnerPlaces(key.target)
}

// assignConnections works out this VM's own connections. It must hold mu.
func (r *Router) assignConnections() {
	for _, rt := range r.targets {
		rt.connections = 0
		if rt.plan.Direct() {
			rt.connections = rt.plan.PerOwner
			continue
		}
		for _, owner := range rt.owners {
			if owner == r.place {
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

// Changed returns a channel that is closed when Connections next changes.
func (r *Router) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// slots is what this VM, as an owner, lets peers use of a leaf.
func (r *Router) slots(name string, leaf int) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt := r.targets[name]
	if rt == nil || rt.connections == 0 || leaf < 0 || leaf >= rt.leaves {
		return 0, false
	}
	return rt.slots, true
}

// Search asks one leaf. The error is a *target.CallError.
func (r *Router) Search(ctx context.Context, name string, leaf int, req target.LeafRequest) (a target.LeafAnswer, err error) {
	err = r.callTarget(ctx, name, func(l hop.Leaves) (err error) {
		a, err = l.Search(ctx, name, leaf, req)
		return err
	})
	return a, err
}

// Submit hands a non-idempotent request to one leaf, once. The error is a
// *target.CallError; unless it says NotStarted, the request may have been run.
func (r *Router) Submit(ctx context.Context, name string, leaf int, req target.SubmitRequest) (a target.SubmitAnswer, err error) {
	err = r.callTarget(ctx, name, func(l hop.Leaves) (err error) {
		a, err = l.Submit(ctx, name, leaf, req)
		return err
	})
	return a, err
}

// Status reads what a target says of itself. The error is a *target.CallError.
func (r *Router) Status(ctx context.Context, name string) (s target.Status, err error) {
	err = r.callTarget(ctx, name, func(l hop.Leaves) (err error) {
		s, err = l.Status(ctx, name)
		return err
	})
	return s, err
}

// callTarget makes a call over own connections or callTarget the target's owners, one
// after another. Another owner is tried only after a failure that is certain to
// have started nothing and that speaks of the owner, not of the target: a call
// that may have been started is not repeated here.
func (r *Router) callTarget(ctx context.Context, name string, call func(hop.Leaves) error) error {
	owners, local := r.resolve(name)
	if local != nil {
		r.direct.Inc()
		return call(local)
	}
	r.viaOwner.Inc()
	var last error = &target.CallError{Kind: target.ErrorUnreachable, Target: name, NotStarted: true}
	for _, c := range owners {
		owner, err := r.acquireConn(ctx, c.vm)
		if ctx.Err() != nil {
			return hop.ContextError(ctx, name, true)
		}
		if err != nil {
			r.opts.Log.Debug("owner not reached", "vm", c.vm.Name, "target", name, "error", err)
			continue
		}
		r.byDistance[c.distance].Inc()
		last = owner.call(ctx, name, call)
		if !tryNextOwner(last) {
			return last
		}
	}
	return last
}

func tryNextOwner(err error) bool {
	call, ok := err.(*target.CallError)
	return ok && call.NotStarted &&
		(call.Kind == target.ErrorUnreachable || call.Kind == target.ErrorUnknownTarget || call.Kind == target.ErrorBroken)
}

// resolve returns the live owners of a target in the order in which this VM tries
// them, or the way over own connections.
func (r *Router) resolve(name string) (owners []candidate, local hop.Leaves) {
	r.mu.Lock()
	rt := r.targets[name]
	owns := rt != nil && rt.connections > 0
	r.mu.Unlock()
	switch {
	case rt == nil || rt.plan.Direct():
		return nil, r.opts.Local
	case owns:
		return nil, r.owner.QueuedLeaves() // shares the slots with the peers' calls
	}
	holders := r.fleet.Places()
	now := time.Now()
	r.mu.Lock()
	for _, place := range rt.owners {
		if vm, live := holders[place]; live {
			owners = append(owners, r.newCandidate(name, vm, now))
		}
	}
	r.mu.Unlock()
	sortCandidates(owners)
	return owners, nil
}

// newCandidate must hold mu.
func (r *Router) newCandidate(name string, vm objstore.VM, now time.Time) candidate {
	conn := r.ownerConns[vm.Address]
	return candidate{
		vm:         vm,
		distance:   r.zones.distance(vm.Zone),
		inCooldown: conn != nil && conn.inCooldown(name, now),
		weight:     rendezvousWeight(r.opts.Place.VM, name, vm.Name),
	}
}
