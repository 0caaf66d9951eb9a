package edge

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Engine carries out requests. It is safe for concurrent use.
type Engine struct {
	exchange         Exchange
	pool             *leafhttp.Pool
	inForce          routing.InForce
	rotation         *routing.Splitter
	elapsed          *elapsedTimes
	log              *slog.Logger
	stats            *stats
	feed             *feed
	livenessCheckDue wakeup // a call to another VM was not answered: others may be silent too
	suspectVMs       wakeup // a call to another VM was not answered
	suspectLeafs     wakeup // a leaf was silent or could not be reached

	mu         sync.Mutex // guards the fields below, queries in progress included
	table      *scatter.Table
	registry   *registry.Registry
	peerClient peerClient
}

// EngineOptions configure an Engine; all are required.
type EngineOptions struct {
	Exchange Exchange
	Self     string  // name of this VM
	Zone     string  // of this VM
	Power    float64 // of this VM, in cores
	Budget   scatter.BudgetConfig
	Seed     uint64 // of random choices
	Log      *slog.Logger
}

// NewEngine returns an engine that knows no leafs and no manifest.
func NewEngine(opt EngineOptions) *Engine {
	rng := rand.New(rand.NewPCG(opt.Seed, opt.Seed>>1))
	return &Engine{
		exchange:         opt.Exchange,
		pool:             leafhttp.NewPool(),
		rotation:         routing.NewSplitter(),
		elapsed:          newElapsedTimes(),
		log:              opt.Log,
		stats:            newStats(),
		feed:             newFeed(),
		livenessCheckDue: newWakeup(),
		suspectVMs:       newWakeup(),
		suspectLeafs:     newWakeup(),
		peerClient:       noPeerClient{},
		table:            scatter.NewTable(scatter.VM{Name: opt.Self, Zone: opt.Zone, Power: opt.Power}, opt.Budget, time.Now(), rng),
		registry:         registry.New(),
	}
}

// Offer puts a manifest in force if it is newer.
func (e *Engine) Offer(m *routing.Manifest) bool {
	if !e.inForce.Offer(m) {
		return false
	}
	e.rotation.Prune(m)
	e.elapsed.prune(m)
	e.feed.setManifest(m)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	shards := m.ShardServices()
	for name, svc := range m.Services {
		e.table.SetServiceConfig(now, name, scatter.ServiceConfig{MaxConnections: svc.MaxConnections, Shard: shards[name]})
	}
	e.table.SetMaxShards(now, m.MaxShards())
	return true
}

// applyLeafChanges applies changes of the list of leafs, which f makes, and forgets the
// connections to leafs that are gone.
func (e *Engine) applyLeafChanges(f func(now time.Time, r *registry.Registry) []registry.Change) []registry.Change {
	e.mu.Lock()
	now := time.Now()
	changes := f(now, e.registry)
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

// Leafs returns the number of leafs that are known.
func (e *Engine) Leafs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.Len()
}

// setVMs takes the other VMs of the system.
func (e *Engine) setVMs(others []scatter.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.SetVMs(time.Now(), others)
}

// Request is a caller's request, ready to be sent on.
type Request struct {
	ID       string
	HTTP     *leafhttp.Request
	AnswerBy time.Time // when an answer has to leave to be there within the aim
	Deadline time.Time // of the caller or of the route, whichever comes first
	Top      int       // records of the answer to a gathered request
}

// Result is what a caller is answered.
type Result struct {
	Status int
	Header http.Header
	Body   []byte

	Outcome scatter.Outcome
}

// setPeerClient takes the way to other VMs.
func (e *Engine) setPeerClient(d peerClient) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peerClient = d
}

func (e *Engine) currentPeerClient() peerClient {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerClient
}
