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

// Node is one daemon. Run may be called once; Status may be called at any time.
type Node struct {
	settings    *settings.Settings
	log         *slog.Logger
	incarnation string    // random id of this process
	started     time.Time // when this process created the Node
	metrics     *metrics.Set
	tomb        tomb.Tomb   // runs and stops the goroutines that Run starts
	leaving     atomic.Bool // set when this VM begins to shut down
	warmedUp    atomic.Bool // set when isWarmedUp first returned true

	store    objstore.Store    // the platform's objects, for all parts but follower
	follower *rollout.Follower // follows the platform and keeps the bundle in force
	client   *target.Client    // this VM's own connections to targets
	monitor  *target.Monitor   // reads the status of targets
	engine   *query.Engine     // runs queries and submissions
	claims   *once.Runner      // runs non-idempotent requests at most once
	links    *relay.Links      // connections to the VMs that commit claims for this VM
	peers    *peer.Exchange    // exchange of state with the other VMs
	router   *route.Router     // sends calls through client, or through a VM that owns the target
	health   *health.Relay     // passes the health of targets to engine and between VMs
	gateway  *gateway.Gateway  // HTTP interface for callers

	callers *listener // serves callers' requests; set by Run
	ops     *listener // serves the operators' page; set by Run
}

// listener is an HTTP server with its socket.
type listener struct {
	server *http.Server
	socket net.Listener
}

// listen opens a TCP listener at address for server, which does not serve yet.
func listen(address string, server *http.Server) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	return &listener{server: server, socket: socket}, nil
}

// New creates a daemon from settings that have been checked. The daemon serves nothing
// before Run.
func New(cfg *settings.Settings, log *slog.Logger) (*Node, error) {
	n := &Node{
		settings:    cfg,
		log:         log,
		incarnation: uuid.NewString(),
		started:     time.Now(),
		metrics:     metrics.NewSet(),
	}
	keys, err := bundle.NewKeyring(cfg.OperatorKeys...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n.store = objstore.NewClient(cfg.Platform.Address, objstore.ClientOptions{})
	n.follower = rollout.NewFollower(rollout.Options{
		Deployment: cfg.Deployment,
		Keys:       keys,
		// Reads of the follower may take longer than those of claims: a slow
		// platform must not count as unreachable.
		Store: objstore.NewClient(cfg.Platform.Address, objstore.ClientOptions{
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
		Deployment: cfg.Deployment,
		Log:        logging.Component(log, "gateway"),
		Metrics:    n.metrics,
	})
	return n, nil
}

// buildPeers creates the exchange with the other VMs.
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

// buildTargets creates the client, the router, the health relay, the engine and the
// monitor, which refer to each other. The engine calls leaves through the router, and the
// router through the client. The client reports the states of targets to the engine. The
// monitor reports them to the health relay, which reports to the engine.
func (n *Node) buildTargets() {
	clientSink := &deferredSink{}
	n.client = target.NewClient(target.Options{
		Log:            logging.Component(n.log, "target"),
		Sink:           clientSink,
		Metrics:        n.metrics,
		MayExceedShare: func(name string) bool { return n.router.Ownership(name).Leads() },
	})
	n.router = route.New(route.Options{
		Local: n.client,
		// A place is this VM's numbered position among the VMs that own the
		// connections to targets.
		Place: place.Options{
			Store:       n.store,
			Deployment:  n.settings.Deployment,
			VM:          n.settings.Name,
			Incarnation: n.incarnation,
		},
		Zone: n.settings.Zone,
		Log:  logging.Component(n.log, "route"),
	})
	healthSink := &deferredHealthSink{}
	n.health = health.New(health.Options{
		Router:  n.router,
		Sink:    healthSink,
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
			n.peers.PublishDrain(peer.Drain{Target: target, Incarnation: incarnation})
		},
	})
	clientSink.Sink = n.engine
	healthSink.Sink = n.engine
	n.monitor = target.NewMonitor(target.MonitorOptions{
		Log:    logging.Component(n.log, "monitor"),
		Reader: n.health,
		Sink:   n.health,
	})
}

// deferredSink is the Sink of the target client, which is created before the engine that the
// client reports to. The embedded Sink is set to the engine later, before the client's first
// report.
type deferredSink struct{ target.Sink }

// deferredHealthSink is the Sink of the health relay, which is created before the engine
// that the relay reports to. The embedded Sink is set to the engine later, before the
// relay's first report.
type deferredHealthSink struct{ health.Sink }
