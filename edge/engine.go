package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleybarrow/bramleybarrow/intake"
	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/quarantine"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Engine serves callers' requests, and the calls of other VMs. It is safe for concurrent use.
type Engine struct {
	headerCodec      HeaderCodec
	answerWriteTime  time.Duration     // time for writing an answer to a caller, by nominal power
	lateAnswers      *lateAnswers      // how late answers are; nil if it is not measured; set before the first request
	pool             *leafhttp.Pool    // connections to leafs
	inForce          routing.InForce   // holds the manifest in force
	splitter         *routing.Splitter // chooses the service of each request that is not gathered
	elapsedTimes     *elapsedTimes     // estimates the time that callers spent before their requests arrived
	log              *slog.Logger
	stats            *stats                     // counters and histograms
	feed             *feed                      // read by the VMs that follow this one
	allotments       atomic.Pointer[allotments] // limits of tenants; nil if the settings have none
	livenessCheckDue wakeup                     // wakes checkVMs after a failed call to another VM
	suspectVMs       wakeup                     // wakes probeVMs after a failed call to another VM or a failed liveness check
	copies           copies                     // guarded by mu
	quarantineNews   wakeup                     // wakes tellQuarantineNews after the guard has learned what other VMs should know
	suspectLeafs     wakeup                     // wakes probeLeafs after a leaf did not answer or could not be reached
	leaving          atomic.Bool                // this VM was told to stop, and stands in for no other one
	stopping         *stopClock                 // when this VM ends what it still serves
	peerWork         peerWork                   // what this VM does for other VMs
	callerConns      *callerConns               // open connections of callers
	intake           *callerIntake              // what callers make this VM hold
	room             atomic.Pointer[ownRoom]    // room of this VM; nil if it is not measured
	taken            takenRequests              // requests that other VMs have handed over to this one
	self             scatter.VM                 // name and zone of this VM
	known            *knownTimes                // says how old the knowledge of each followed resource is
	currency         currency                   // says how current the manifest in force is
	sourceFailed     wakeup                     // wakes pollManifests after the source of the manifest failed
	manifestSource   Store                      // read for unknown keys if this VM reads the store for others; nil before the daemon has started

	slots atomic.Pointer[slotKeeping] // accounts of leafs' slots; nil if the settings have none

	quarantineTelling sync.Mutex // held while other VMs are told what the guard has learned; locked before mu

	offerMu sync.Mutex // held while a manifest is put in force; locked before mu

	mu          sync.Mutex         // guards the fields below and the query of each runner
	table       *scatter.Table     // state of leafs and other VMs, on which decisions about attempts and calls are based
	registry    *registry.Registry // list of leafs
	evacuations evacuationTracker  // zones whose leafs get no requests
	peerClient  peerClient         // calls other VMs; noPeerClient until this VM has joined them
}

// EngineOptions configures an Engine. All fields are required.
type EngineOptions struct {
	HeaderCodec HeaderCodec
	Self        string               // name of this VM
	Zone        string               // availability zone of this VM
	Power       float64              // processor capacity of this VM, in cores
	Cold        scatter.ColdConfig   // bounds the requests to cold leafs
	Budget      scatter.BudgetConfig // bounds the extra load that retries and hedges put on leafs
	Seed        uint64               // seed of random choices
	Bounds      BoundSettings        // times within which changes in the store must be known
	Intake      intake.Limits        // bounds what callers make this VM hold
	Log         *slog.Logger
}

// NewEngine returns an engine that knows no leafs and no manifest yet.
func NewEngine(opt EngineOptions) *Engine {
	rng := rand.New(rand.NewPCG(opt.Seed, opt.Seed>>1))
	table := scatter.NewTable(scatter.VM{Name: opt.Self, Zone: opt.Zone, Power: opt.Power}, opt.Budget, time.Now(), rng)
	table.SetColdConfig(opt.Cold)
	e := &Engine{
		headerCodec:      opt.HeaderCodec,
		answerWriteTime:  answerWriteTime(opt.Power),
		pool:             leafhttp.NewPool(),
		splitter:         routing.NewSplitter(),
		elapsedTimes:     newElapsedTimes(),
		log:              opt.Log,
		stats:            newStats(),
		feed:             newFeed(),
		livenessCheckDue: newWakeup(),
		suspectVMs:       newWakeup(),
		suspectLeafs:     newWakeup(),
		copies:           make(copies),
		quarantineNews:   newWakeup(),
		peerClient:       noPeerClient{},
		table:            table,
		registry:         registry.New(),
		self:             scatter.VM{Name: opt.Self, Zone: opt.Zone},
		sourceFailed:     newWakeup(),
		stopping:         newStopClock(),
		callerConns:      newCallerConns(),
		intake:           newCallerIntake(opt.Intake, opt.Log),
		known:            newKnownTimes(opt.Bounds),
	}
	e.currency.setBounds(opt.Bounds)
	context.AfterFunc(e.stopping.over, e.callerConns.interruptBodies)
	e.pool.OnSurplus(e.leafSentSurplus)
	return e
}

// Offer puts a manifest in force if it is newer than the present one, and reports whether it
// did. The manifest in force applies to all new requests.
func (e *Engine) Offer(m *routing.Manifest) bool {
	e.offerMu.Lock()
	defer e.offerMu.Unlock()
	if !e.inForce.Offer(m) {
		return false
	}
	e.splitter.Prune(m)
	e.elapsedTimes.prune(m)
	e.feed.setManifest(m)
	e.allotments.Load().manifestInForce()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	shards := m.ShardServices()
	for name, svc := range m.Services {
		e.table.SetServiceConfig(now, name, scatter.ServiceConfig{
			MaxConnections: svc.MaxConnections, ColdPerSecond: svc.ColdPerSecond, ColdFor: svc.ColdFor, Shard: shards[name],
		})
	}
	e.table.SetMaxShards(now, m.MaxShards())
	e.table.SetTenants(len(m.Tenants) > 0, tenantWeights(m.Tenants))
	return true
}

// applyLeafChanges changes the list of leafs by update, which is called with e.mu held and
// returns the changes made. It applies them to the table and the feed, closes the idle
// connections to removed leafs, and returns the changes.
func (e *Engine) applyLeafChanges(update func(now time.Time, r *registry.Registry) []registry.Change) []registry.Change {
	e.mu.Lock()
	now := time.Now()
	changes := update(now, e.registry)
	for _, c := range changes {
		e.table.Apply(now, c)
	}
	e.table.Repartition(now)
	e.mu.Unlock()
	e.feed.appendChanges(changes)
	for _, c := range changes {
		if c.Gone {
			e.pool.CloseIdle(poolKey(scatter.LeafID{ID: c.Leaf.ID, Born: c.Leaf.Born}))
		}
	}
	return changes
}

// Leafs returns the number of known leafs. It includes the leafs that are missing from the
// store's list but are kept in use for a short time after an outage of the store.
func (e *Engine) Leafs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.Len()
}

// otherVMs returns the number of other VMs that are listed now.
func (e *Engine) otherVMs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.table.VMs())
}

// setVMs replaces the list of the other VMs. Owners that have returned are told what this VM knows.
func (e *Engine) setVMs(others []scatter.VM) {
	e.currency.setVMs(e.self, others)
	e.allotments.Load().setVMs(others)
	e.mu.Lock()
	e.table.SetVMs(time.Now(), others)
	e.mu.Unlock()
	e.handBack()
}

// Request is a caller's request in the form that is sent to leafs.
type Request struct {
	ID       string // from the caller's headers
	HTTP     *leafhttp.Request
	held     *heldBody // retained by each attempt and call
	AnswerBy time.Time // latest time to send an answer that reaches the caller within the latency objective
	DueAt    time.Time // latest time to send an answer in time, without the margin of AnswerBy for writing it; zero for another VM's call
	Deadline time.Time // end of the caller's time or of the route's timeout, whichever comes first, less answerMargin for sending the answer
	Top      int       // maximum number of records in the answer to a gathered request
}

// Result is the answer to a caller, with the outcome that led to it.
type Result struct {
	Status int
	Header http.Header
	Body   []byte

	Outcome  scatter.Outcome
	Services []string               // of the shards that Outcome names, by index
	Content  quarantine.Fingerprint // of the request; zero if another VM served it
	// dueAt is when the answer was due: when the query was decided, or should have been. Zero if the
	// answer is not merged here.
	dueAt time.Time
}

// setPeerClient sets the client for calls to other VMs.
func (e *Engine) setPeerClient(client peerClient) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peerClient = client
}

// currentPeerClient returns the client for calls to other VMs.
func (e *Engine) currentPeerClient() peerClient {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.room.Load() != nil {
		return roomObserver{peerClient: e.peerClient, e: e}
	}
	return e.peerClient
}
