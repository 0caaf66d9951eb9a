package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// Node is a daemon on the users' platform.
type Node struct {
	settings    *Settings
	store       Store
	readyPath   string // path of the readiness check
	log         *slog.Logger
	engine      *Engine
	self        scatter.VM                    // this VM, without a key
	announcer   *announcer                    // writes and removes this VM's entry in the list of VMs
	tomb        tomb.Tomb                     // runs the servers and the background loops
	leaving     atomic.Bool                   // Leave was called
	leafsListed atomic.Bool                   // the leafs have been listed at least once
	warmed      atomic.Bool                   // the other VMs may call this one (see warmBeforeAnnouncing)
	transport   atomic.Pointer[peerTransport] // nil until this VM has joined the other VMs

	callerServer *http.Server
	callerSocket net.Listener       // of callerServer
	auxServers   []*http.Server     // serve readiness checks of the load balancer and metrics for operators
	stop         context.CancelFunc // ends the background loops
}

// Options configures a Node. All fields are required.
type Options struct {
	Settings    *Settings
	Store       Store
	HeaderCodec HeaderCodec
	ReadyPath   string // path of the readiness check at the address Listen.Ready
	Log         *slog.Logger
}

// Parameters of the Go runtime.
const (
	gcPercent        = 300 // GOGC in percent; memory is cheaper here than CPU time
	memoryLimitShare = 0.6 // memory limit of the Go runtime, as a share of the process's limit; the rest is for received data that is not yet read
)

// NewNode returns a daemon that is not yet running, and sets the Go runtime's parameters for
// the process.
func NewNode(opt Options) *Node {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(opt.Settings.MemoryMB * memoryLimitShare * (1 << 20)))
	n := &Node{
		settings:  opt.Settings,
		store:     opt.Store,
		readyPath: opt.ReadyPath,
		log:       opt.Log,
		self: scatter.VM{
			Name:    opt.Settings.Name,
			Zone:    opt.Settings.Zone,
			Address: opt.Settings.Listen.VMs,
			Power:   opt.Settings.Power,
		},
		engine: NewEngine(EngineOptions{
			HeaderCodec: opt.HeaderCodec,
			Self:        opt.Settings.Name,
			Zone:        opt.Settings.Zone,
			Power:       opt.Settings.Power,
			Cold:        opt.Settings.Cold.config(),
			Budget:      opt.Settings.Budget.config(),
			Seed:        uint64(time.Now().UnixNano()),
			Bounds:      opt.Settings.Bounds,
			Intake:      callerLimits(opt.Settings.MemoryMB, descriptorLimit(opt.Settings.MaxFDs)),
			Log:         opt.Log,
		}),
	}
	n.engine.pool.LimitLongBodies(int64(longAnswerShare * opt.Settings.MemoryMB * (1 << 20)))
	n.announcer = newAnnouncer(n.store, n.self, n.log)
	if opt.Settings.AnswerEarly {
		n.engine.lateAnswers = new(lateAnswers)
	}
	return n
}

// Run serves until ctx ends, then leaves as Leave does. The grace time counts from the end of ctx. Run
// returns at once if ctx has ended already. It catches no signals: ctx has to end at the process's first
// SIGTERM or SIGINT.
func (n *Node) Run(ctx context.Context) error {
	if ctx.Err() != nil {
		n.log.Info("stopped before the start", "cause", context.Cause(ctx).Error())
		return nil
	}
	told := make(chan time.Time, 1) // receives the time at which ctx ended
	defer context.AfterFunc(ctx, func() { told <- time.Now() })()
	if err := n.Start(); err != nil {
		return errors.Trace(err)
	}
	at := <-told
	n.log.Info("stopping", "cause", context.Cause(ctx).Error())
	n.leave(at)
	return nil
}

// Start opens the listeners and begins to follow the store. It doesn't wait until the daemon
// is ready.
func (n *Node) Start() error {
	ln, err := listen(n.settings.Listen.Callers)
	if err != nil {
		return errors.Trace(err)
	}
	n.callerServer, n.callerSocket = n.newCallerServer(), ln
	n.serve(&callerListener{Listener: ln, limits: n.engine.callerLimits, intake: n.engine.intake, over: n.engine.stopping.over}, n.callerServer)
	for address, server := range map[string]*http.Server{
		n.settings.Listen.Ready:   n.newReadyServer(),
		n.settings.Listen.Metrics: n.newMetricsServer(),
	} {
		ln, err := listen(address)
		if err != nil {
			return errors.Trace(err)
		}
		n.serve(ln, server)
		n.auxServers = append(n.auxServers, server)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.startLoops(ctx)
	n.log.Info("started", "vm", n.settings.Name, "zone", n.settings.Zone, "callers", n.settings.Listen.Callers, "store", n.settings.Store)
	return nil
}

// listen opens a listener at an address of the form "IP:port".
func listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	return ln, errors.Annotatef(err, "listen on %s", address)
}

// serve runs a server on a listener in the background.
func (n *Node) serve(ln net.Listener, server *http.Server) {
	n.tomb.Go(func() error {
		if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.log.Error("serving a listener failed", "address", ln.Addr().String(), "error", err)
		}
		return nil
	})
}

// newCallerServer returns the server for callers' requests. Once Leave was called, and while this VM
// is cut off from all other zones, it closes each connection after the next answer, so that callers
// connect to other VMs.
func (n *Node) newCallerServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n.leaving.Load() || n.engine.isolated() {
				w.Header().Set("Connection", "close")
			}
			n.engine.ServeHTTP(w, r)
		}),
		// net/http would answer OPTIONS * by itself, a request that this VM doesn't know of.
		DisableGeneralOptionsHandler: true,

		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         n.engine.callerConns.track,
		ConnContext:       withCallerConn,
		ErrorLog:          logging.StdLogger(n.log),
	}
}

// isReady reports whether callers should send requests to this VM.
func (n *Node) isReady() bool {
	return !n.leaving.Load() && n.leafsListed.Load() && n.engine.inForce.Get() != nil && n.knowsEvacuations() && !n.engine.isolated()
}

// knowsEvacuations reports whether this VM knows which zones are evacuated, if zones may be.
func (n *Node) knowsEvacuations() bool {
	_, known := n.engine.evacuatedZones()
	return known || n.settings.Bounds.EvacuateMS == 0
}

// newReadyServer returns the server for the load balancer's readiness checks: status 200 if
// isReady, else 503.
func (n *Node) newReadyServer() *http.Server {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(n.readyPath), func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// newMetricsServer returns the server that operators read metrics from.
func (n *Node) newMetricsServer() *http.Server {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/metrics"), func(w http.ResponseWriter, _ *http.Request) {
		n.engine.writeMetrics(w)
	})
	n.engine.handleQuarantine(mux)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// startLoops starts the background loops: following the store, announcing this VM,
// maintaining connections, and probing.
func (n *Node) startLoops(ctx context.Context) {
	n.startAllotments(ctx)
	r := newRelay(n.store, n.engine, n.settings.Bounds)
	n.engine.manifestSource = n.store
	f := &follower{
		e:           n.engine,
		store:       r,
		settings:    n.settings,
		self:        n.self,
		log:         n.log,
		leafsListed: make(chan struct{}, 1),
		ready:       func() bool { return n.isReady() && n.warmed.Load() },
		settled:     make(chan struct{}),
		announcer:   n.announcer,
	}
	n.tomb.Go(func() error {
		n.followStore(ctx, f, r)
		return nil
	})
	n.tomb.Go(func() error {
		select {
		case <-f.leafsListed:
			n.leafsListed.Store(true)
			n.warmBeforeAnnouncing(ctx)
			f.announce(ctx)
		case <-ctx.Done():
		}
		return nil
	})
	if a := n.engine.allotments.Load(); a != nil {
		a.setSettled(false)
		n.tomb.Go(func() error { f.awaitSettled(ctx); return nil })
	}
	n.tomb.Go(func() error { n.engine.pollManifests(ctx); return nil })
	n.tomb.Go(func() error { n.sweepIdleConns(ctx); return nil })
	n.tomb.Go(func() error { n.warmConns(ctx); return nil })
	n.tomb.Go(func() error { n.measureRoom(ctx); return nil })
	n.tomb.Go(func() error { n.keepSlots(ctx); return nil })
	n.tomb.Go(func() error { probeLoop(ctx, n.engine.livenessCheckDue, n.checkVMs); return nil })
	n.tomb.Go(func() error { probeLoop(ctx, n.engine.suspectVMs, n.probeVMs); return nil })
	n.tomb.Go(func() error { probeLoop(ctx, n.engine.suspectLeafs, n.probeLeafs); return nil })
	n.tomb.Go(func() error { n.engine.tellQuarantineNews(ctx); return nil })
}

// followStore follows the list of VMs. This list determines which VMs read the store for
// others. So the other resources are followed only once the list has been read, or
// listening for other VMs has failed.
func (n *Node) followStore(ctx context.Context, f *follower, r *relay) {
	f.followResources = sync.OnceFunc(func() {
		r.delayFirstRead()
		n.tomb.Go(func() error { f.follow(ctx, f.manifests()); return nil })
		n.tomb.Go(func() error { f.follow(ctx, f.leafs()); return nil })
		if n.settings.Bounds.EvacuateMS > 0 {
			n.tomb.Go(func() error { f.follow(ctx, f.evacuationsResource()); return nil })
		}
	})
	f.listen = n.listenForVMs
	f.follow(ctx, f.vms())
}

// listenForVMs starts accepting calls of other VMs, unless this VM has joined them already.
func (n *Node) listenForVMs(self scatter.VM) error {
	if n.transport.Load() != nil {
		return nil
	}
	identity := wire.Identity{Deployment: "platform", VM: self.Name, Incarnation: uuid.NewString()}
	p, err := joinPeers(n.engine, identity, n.settings.Listen.VMs, []byte(self.Key), logging.Component(n.log, "vms"))
	if err != nil {
		return errors.Annotate(err, "listen for other VMs")
	}
	n.transport.Store(p)
	n.engine.setPeerClient(p)
	n.log.Info("joined", "address", self.Address)
	return nil
}

// idleConnSweepPeriod is the interval at which expired idle connections to leafs are closed.
const idleConnSweepPeriod = time.Second

// sweepIdleConns closes expired idle connections to leafs until ctx ends.
func (n *Node) sweepIdleConns(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, idleConnSweepPeriod)
		n.engine.pool.CloseExpired(time.Now())
	}
}
