package node

import (
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/once"
	"github.com/bramleybarrow/bramleybarrow/once/relay"
	"github.com/bramleybarrow/bramleybarrow/peer"
	"github.com/bramleybarrow/bramleybarrow/peer/health"
	"github.com/bramleybarrow/bramleybarrow/peer/place"
	"github.com/bramleybarrow/bramleybarrow/peer/route"
	"github.com/bramleybarrow/bramleybarrow/query"
	"github.com/bramleybarrow/bramleybarrow/rollout"
	"github.com/bramleybarrow/bramleybarrow/settings"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// Node is one daemon.
type Node struct {
	settings    *settings.Settings
	log         *slog.Logger
	incarnation string
	started     time.Time
	metrics     *metrics.Set
	tomb        tomb.Tomb
	leaving     atomic.Bool
	warmedUp    atomic.Bool // targets were known once

	store    objstore.Store
	follower *rollout.Follower
	client   *target.Client
	monitor  *target.Monitor
	engine   *query.Engine
	claims   *once.Runner
	links    *relay.Links
	peers    *peer.Exchange
	router   *route.Router
	health   *health.Relay
	gateway  *gateway.Gateway

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
func New(set *settings.Settings, log *slog.Logger) (*Node, error) {
	n := &Node{
		settings:    set,
		log:         log,
		incarnation: uuid.NewString(),
		started:     time.Now(),
		metrics:     metrics.NewSet(),
	}
	keys, err := bundle.NewKeyring(set.OperatorKeys...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n.store = objstore.NewClient(set.Platform.Address, objstore.ClientOptions{})
	n.follower = rollout.NewFollower(rollout.Options{
		Deployment: set.Deployment,
		Keys:       keys,
		// Its reads may take longer than a claim: a slow platform must not count
		// as one that is down.
		Store: objstore.NewClient(set.Platform.Address, objstore.ClientOptions{
			CallTimeout: rollout.DefaultReadTimeout,
		}),
		Log:     logging.Component(log, "rollout"),
		Metrics: n.metrics,
		Watch:   true,
	})
	n.buildTargets()
	if err := n.buildPeers(); err != nil {
		return nil, errors.Trace(err)
	}
	n.buildClaims()
	n.gateway = gateway.New(gateway.Options{
		Config:     n.follower,
		Engine:     n.engine,
		Claims:     n.claims,
		Deployment: set.Deployment,
		Log:        logging.Component(log, "gateway"),
		Metrics:    n.metrics,
	})
	return n, nil
}

func (n *Node) buildPeers() error {
	var err error
	n.peers, err = peer.New(peer.Options{
		VM: objstore.VM{
			Name:    n.settings.Name,
			Address: n.settings.Listen.PeersAddress(),
			Ops:     n.settings.Listen.Ops,
			Zone:    n.settings.Zone,
		},
		Incarnation: n.incarnation,
		Deployment:  n.settings.Deployment,
		FleetKeys:   n.settings.FleetKeyBytes(),
		Listen:      n.settings.Listen.Peers,
		Seeds:       n.settings.Seeds,
		Store:       n.store,
		Heads:       n.follower,
		CallHandler: n.handlePeerCall,
		Log:         logging.Component(n.log, "peer"),
	})
	return errors.Trace(err)
}

// buildTargets makes the client, the router, the engine and the monitor, which
// refer to each other: the engine calls through the router, the router through
// the client, the client tells the engine, and so does the monitor by way of the
// relay of targets' health.
func (n *Node) buildTargets() {
	relay := &deferredSink{}
	n.client = target.NewClient(target.Options{
		Log:     logging.Component(n.log, "target"),
		Sink:    relay,
		Metrics: n.metrics,
	})
	n.router = route.New(route.Options{
		Local: n.client,
		Place: place.Options{
			Store:       n.store,
			Deployment:  n.settings.Deployment,
			VM:          n.settings.Name,
			Incarnation: n.incarnation,
		},
		Zone: n.settings.Zone,
		Log:  logging.Component(n.log, "route"),
	})
	engine := &deferredHealthSink{}
	n.health = health.New(health.Options{
		Router:  n.router,
		Sink:    engine,
		Log:     logging.Component(n.log, "health"),
		Metrics: n.metrics,
	})
	n.engine = query.NewEngine(query.Options{
		Leaves:  n.health.CheckCalls(n.router),
		Zone:    n.settings.Zone,
		Seed:    uint64(n.started.UnixNano()),
		Log:     logging.Component(n.log, "query"),
		Metrics: n.metrics,
		OnDrain: func(target, incarnation string) {
			n.peers.LearnDrain(peer.Drain{Target: target, Incarnation: incarnation})
		},
	})
	relay.Sink = n.engine
	engine.Sink = n.engine
	n.monitor = target.NewMonitor(target.MonitorOptions{
		Log:    logging.Component(n.log, "monitor"),
		Reader: n.health,
		Sink:   n.health,
	})
}

// deferredSink lets the client be made before the engine that it reports to. No
// call is made before both exist.
type deferredSink struct{ target.Sink }

// deferredHealthSink is the same for the relay of targets' health.
type deferredHealthSink struct{ health.Sink }
