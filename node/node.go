package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/once"
	"github.com/bramleybarrow/bramleybarrow/ops"
	"github.com/bramleybarrow/bramleybarrow/peer"
	"github.com/bramleybarrow/bramleybarrow/peer/place"
	"github.com/bramleybarrow/bramleybarrow/peer/route"
	"github.com/bramleybarrow/bramleybarrow/platform"
	"github.com/bramleybarrow/bramleybarrow/query"
	"github.com/bramleybarrow/bramleybarrow/rollout"
	"github.com/bramleybarrow/bramleybarrow/settings"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// Node is one daemon.
type Node struct {
	set         *settings.Settings
	log         hclog.Logger
	incarnation string
	started     time.Time
	metrics     *metrics.Set
	tomb        tomb.Tomb
	leaving     atomic.Bool

	store   platform.Store
	keeper  *rollout.Keeper
	client  *target.Client
	monitor *target.Monitor
	engine  *query.Engine
	claims  *once.Runner
	peers   *peer.Exchange
	router  *route.Router
	gateway *gateway.Gateway

	callers *listener
	ops     *listener
}

// listener is an HTTP server with its socket.
type listener struct {
	server *http.Server
	socket net.Listener
}

func listen(address string, server *http.Server) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	return &listener{server: server, socket: socket}, nil
}

// New prepares a daemon with checked settings. Nothing runs before Run.
func New(set *settings.Settings, log hclog.Logger) (*Node, error) {
	n := &Node{
		set:         set,
		log:         log,
		incarnation: uuid.NewString(),
		started:     time.Now(),
		metrics:     metrics.NewSet(),
	}
	keys, err := bundle.NewKeyring(set.OperatorKeys...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n.store = platform.NewClient(set.Platform.Address, platform.ClientOptions{})
	n.keeper = rollout.NewKeeper(rollout.Options{
		Deployment: set.Deployment,
		Keys:       keys,
		// Its reads may take longer than a claim: a slow platform must not count
		// as one that is down.
		Store: platform.NewClient(set.Platform.Address, platform.ClientOptions{
			CallTimeout: rollout.DefaultReadTimeout,
		}),
		Log:     log.Named("rollout"),
		Metrics: n.metrics,
		Watch:   true,
	})
	n.buildTargets()
	if err := n.buildPeers(); err != nil {
		return nil, errors.Trace(err)
	}
	n.claims = once.NewRunner(once.Options{
		Store:       n.store,
		VM:          set.Name,
		Incarnation: n.incarnation,
		Log:         log.Named("once"),
		Metrics:     n.metrics,
		Deployment:  set.Deployment,
	})
	n.gateway = gateway.New(gateway.Options{
		Config:     n.keeper,
		Engine:     n.engine,
		Claims:     n.claims,
		Deployment: set.Deployment,
		Log:        log.Named("gateway"),
		Metrics:    n.metrics,
	})
	return n, nil
}

func (n *Node) buildPeers() error {
	var err error
	n.peers, err = peer.New(peer.Options{
		VM: platform.VM{
			Name:    n.set.Name,
			Address: n.set.Listen.Peers,
			Ops:     n.set.Listen.Ops,
			Zone:    n.set.Zone,
		},
		Incarnation: n.incarnation,
		Deployment:  n.set.Deployment,
		FleetKeys:   n.set.FleetKeyBytes(),
		Listen:      n.set.Listen.Peers,
		Seeds:       n.set.Seeds,
		Store:       n.store,
		Heads:       n.keeper,
		Calls:       n.router.Handle,
		Log:         n.log.Named("peer"),
	})
	return errors.Trace(err)
}

// buildTargets makes the client, the router, the engine and the monitor, which refer to
// each other: the engine calls through the client and is told by both.
func (n *Node) buildTargets() {
	relay := &sinkRelay{}
	n.client = target.NewClient(target.Options{
		Log:     n.log.Named("target"),
		Sink:    relay,
		Metrics: n.metrics,
	})
	n.router = route.New(route.Options{
		Local: n.client,
		Place: place.Options{
			Store:       n.store,
			Deployment:  n.set.Deployment,
			VM:          n.set.Name,
			Incarnation: n.incarnation,
		},
		Log: n.log.Named("route"),
	})
	n.engine = query.NewEngine(query.Options{
		Leaves: n.router,
		Zone:   n.set.Zone,
		Seed:   uint64(n.started.UnixNano()),
		Log:    n.log.Named("query"),
		OnDrain: func(target, incarnation string) {
			n.peers.LearnDrain(peer.Drain{Target: target, Incarnation: incarnation})
		},
	})
	relay.engine = n.engine
	n.monitor = target.NewMonitor(target.MonitorOptions{
		Log:    n.log.Named("monitor"),
		Reader: n.router,
		Sink:   n.engine,
	})
}

// sinkRelay lets the client be made before the engine that it reports to. No
// call is made before both exist.
type sinkRelay struct{ engine *query.Engine }

func (s *sinkRelay) TargetStatus(name string, st target.Status, at time.Time) {
	s.engine.TargetStatus(name, st, at)
}

func (s *sinkRelay) TargetFailed(name string, err error, at time.Time) {
	s.engine.TargetFailed(name, err, at)
}

func (s *sinkRelay) TargetState(name, incarnation string, state target.State, at time.Time) {
	s.engine.TargetState(name, incarnation, state, at)
}

// Run serves until ctx ends, then leaves in order: readiness fails, callers are
// asked to go elsewhere for the lame-duck time while requests are still served,
// and only then the listeners close and what is in flight is waited for.
func (n *Node) Run(ctx context.Context) error {
	if err := n.open(); err != nil {
		return errors.Trace(err)
	}
	if err := n.peers.Start(); err != nil {
		return errors.Trace(err)
	}
	n.router.Start(n.peers)
	n.keeper.Start()
	n.monitor.Start()
	n.tomb.Go(n.follow)
	n.tomb.Go(n.followDrains)
	n.tomb.Go(n.followWatching)
	n.tomb.Go(n.serve(n.ops))
	n.tomb.Go(n.serve(n.callers))
	n.log.Info("serving", "callers", n.callers.socket.Addr(), "ops", n.ops.socket.Addr(), "incarnation", n.incarnation)
	select {
	case <-ctx.Done():
	case <-n.tomb.Dying():
	}
	n.leave()
	return errors.Trace(n.close())
}

func (n *Node) open() error {
	var err error
	if n.callers, err = listen(n.set.Listen.Callers, n.gateway.Server()); err != nil {
		return errors.Trace(err)
	}
	n.ops, err = listen(n.set.Listen.Ops, ops.Server(ops.Options{
		Status:  n.Status,
		Metrics: []func(io.Writer){n.metrics.WritePrometheus, n.peers.WriteMetrics, n.router.WriteMetrics},
	}))
	return errors.Trace(err)
}

func (n *Node) serve(l *listener) func() error {
	return func() error {
		err := l.server.Serve(l.socket)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Trace(err)
	}
}

// follow puts each revision that comes into force to work, and opens and closes
// connections when this VM becomes an owner of targets or ceases to be one.
func (n *Node) follow() error {
	var applied *rollout.InForce
	for {
		changed := n.keeper.Changed()
		if force := n.keeper.Current(); force != applied {
			n.apply(force)
			applied = force
		}
		shares := n.router.Changed()
		if applied != nil {
			n.client.Apply(n.endpoints(applied.Bundle))
		}
		select {
		case <-changed:
		case <-shares:
		case <-n.tomb.Dying():
			return nil
		}
	}
}

func (n *Node) apply(force *rollout.InForce) {
	n.router.Apply(force.Bundle)
	endpoints := n.endpoints(force.Bundle)
	n.engine.Apply(force.Bundle)
	n.client.Apply(endpoints)
	n.monitor.Apply(endpoints)
	n.applyDrains()
	n.claims.SetFleet(force.Bundle.Fleet.MaxVMs)
	n.log.Info("revision in force", "revision", force.Revision, "digest", force.Digest)
}

// followDrains takes drains that other VMs learned.
func (n *Node) followDrains() error {
	for {
		changed := n.peers.DrainsChanged()
		n.applyDrains()
		select {
		case <-changed:
		case <-n.tomb.Dying():
			return nil
		}
	}
}

func (n *Node) applyDrains() {
	for _, d := range n.peers.Drains() {
		n.engine.Drain(d.Target, d.Incarnation)
	}
}

// watchingInterval is how often this VM asks itself whether it is one of those
// that watch the platform.
const watchingInterval = time.Second

func (n *Node) followWatching() error {
	ticker := time.NewTicker(watchingInterval)
	defer ticker.Stop()
	for {
		n.keeper.SetWatching(n.peers.Watching())
		select {
		case <-ticker.C:
		case <-n.tomb.Dying():
			return nil
		}
	}
}

// endpoints gives this VM its share of each target's connections.
func (n *Node) endpoints(b *bundle.Bundle) []target.Endpoint {
	var list []target.Endpoint
	for i := range b.Services {
		svc := &b.Services[i]
		for j := range svc.Targets {
			t := &svc.Targets[j]
			list = append(list, target.Endpoint{
				Name:           t.Name,
				Zone:           t.Zone,
				Address:        t.Address,
				Connections:    n.router.Connections(t.Name),
				ConnectCost:    time.Duration(t.ConnectCostMS * float64(time.Millisecond)),
				HealthInterval: time.Duration(svc.Drain.HealthIntervalMS) * time.Millisecond,
				HealthTimeout:  time.Duration(svc.Drain.HealthTimeoutMS) * time.Millisecond,
			})
		}
	}
	return list
}

// leave keeps serving for the lame-duck time. The platform's list of VMs lags,
// so callers are still sent here for a while; a listener that closed at once
// would cut off requests that are already on their way.
func (n *Node) leave() {
	n.leaving.Store(true)
	n.gateway.Leave()
	n.peers.AnnounceLeaving()
	n.log.Info("leaving", "lame_duck_ms", n.set.LameDuckMS)
	time.Sleep(time.Duration(n.set.LameDuckMS) * time.Millisecond)
}

// closeTimeout bounds the wait for what is in flight. No request may take
// longer than a minute.
const closeTimeout = 70 * time.Second

func (n *Node) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := n.callers.server.Shutdown(ctx)
	n.tomb.Kill(nil)
	err = firstError(err, n.claims.Close(ctx))
	err = firstError(err, n.monitor.Stop())
	err = firstError(err, n.keeper.Stop(ctx))
	err = firstError(err, n.router.Drain(ctx))
	err = firstError(err, n.peers.Stop(ctx))
	n.engine.Close()
	n.client.Close()
	err = firstError(err, n.router.Stop())
	err = firstError(err, n.ops.server.Shutdown(ctx))
	return firstError(err, n.tomb.Wait())
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// platformSilence is how long the platform may go unread before this VM says
// that it cannot reach it.
const platformSilence = 5 * time.Second

// Status returns what the operators' page shows.
func (n *Node) Status() ops.Status {
	st := ops.Status{
		VM:              n.set.Name,
		Zone:            n.set.Zone,
		Deployment:      n.set.Deployment,
		Incarnation:     n.incarnation,
		Started:         n.started,
		Leaving:         n.leaving.Load(),
		PlatformContact: n.keeper.PlatformContact(),
		Peers:           n.peers.Peers(),
	}
	st.PlatformReachable = time.Since(st.PlatformContact) < platformSilence
	if err := n.keeper.Refusal(); err != nil {
		st.Refused = err.Error()
	}
	if force := n.keeper.Current(); force != nil {
		st.Revision = force.Revision
		st.Digest = force.Digest
		st.Since = force.Since
		st.Ready = !st.Leaving
	}
	return st
}
