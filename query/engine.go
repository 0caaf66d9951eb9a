package query

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// Leaves sends requests to the leaves of targets. A target is a back end; a leaf is one of
// its workers, known by its number. target.Client implements it. An error should be a
// *target.CallError, which states whether the leaf may have run the request.
type Leaves interface {
	// Search sends one attempt of a search or browse request.
	Search(ctx context.Context, target string, leaf int, req target.LeafRequest) (target.LeafAnswer, error)
	// Submit sends a non-idempotent request.
	Submit(ctx context.Context, target string, leaf int, req target.SubmitRequest) (target.SubmitAnswer, error)
}

// Options configure an Engine. Leaves is required.
type Options struct {
	Leaves  Leaves
	Zone    string           // availability zone of this VM
	Workers int              // maximum number of leaf calls in flight; 512 if 0
	Seed    uint64           // seed of the policy's random choices
	Log     *slog.Logger     // discards all if nil
	Metrics *metrics.Set     // a new set if nil
	Clock   func() time.Time // time.Now if nil
	// OnDrain, if not nil, is called when an answer or a status of a target states for
	// the first time that this incarnation (one process) of the target is draining, which
	// means that it is about to leave. No lock is held during the call.
	OnDrain func(target, incarnation string)
}

// defaultWorkers is the default of Options.Workers: the number of goroutines that call
// leaves, each one call at a time.
const defaultWorkers = 512

// Engine runs queries. It is safe for concurrent use.
type Engine struct {
	opts Options
	pool *Pool            // runs the calls to leaves
	now  func() time.Time // returns the current time; from Options.Clock

	mu       sync.RWMutex        // guards the two maps, not the services in them
	services map[string]*service // by service name
	byTarget map[string]*service // by the name of a target of the service
}

// service is the state that all queries of one service share.
type service struct {
	name    string
	metrics *serviceMetrics

	mu        sync.Mutex                              // guards the fields below
	table     *policy.Table                           // what is known of the service's targets, and its hedge and retry budgets
	admission *policy.Admission                       // decides which queries run, wait or are refused
	waiting   map[policy.TicketID]chan policy.Verdict // one channel for each query that waits for admission, which receives its verdict
}

// NewEngine returns an engine without services; Apply sets them. Close ends it.
func NewEngine(opts Options) *Engine {
	if opts.Workers == 0 {
		opts.Workers = defaultWorkers
	}
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	if opts.OnDrain == nil {
		opts.OnDrain = func(string, string) {}
	}
	return &Engine{
		opts:     opts,
		pool:     NewPool(opts.Workers),
		now:      opts.Clock,
		services: make(map[string]*service),
		byTarget: make(map[string]*service),
	}
}

// Close stops the workers. No query may be running.
func (e *Engine) Close() { e.pool.Stop() }

// Apply sets the services, targets and limits to those of the bundle in force.
// Services that remain keep what is known of their targets.
func (e *Engine) Apply(b *bundle.Bundle) {
	e.mu.Lock()
	defer e.mu.Unlock()
	services := make(map[string]*service, len(b.Services))
	byTarget := make(map[string]*service)
	for i := range b.Services {
		spec := &b.Services[i]
		svc := e.services[spec.Name]
		if svc == nil {
			svc = e.newService(spec.Name)
		}
		svc.apply(b, spec)
		services[spec.Name] = svc
		for j := range spec.Targets {
			byTarget[spec.Targets[j].Name] = svc
		}
	}
	e.services = services
	e.byTarget = byTarget
}

// newService returns a service without targets. Its random choices are seeded with
// Options.Seed and the length of its name, so services with names of different lengths make
// different choices.
func (e *Engine) newService(name string) *service {
	rng := rand.New(rand.NewPCG(e.opts.Seed, uint64(len(name))))
	return &service{
		name:    name,
		metrics: newServiceMetrics(e.opts.Metrics, name),
		table:   policy.NewTable(e.opts.Zone, rng),
		waiting: make(map[policy.TicketID]chan policy.Verdict),
	}
}

// apply sets the service's targets, its share of queries and its budgets to those of the
// bundle b, in which spec describes the service.
func (s *service) apply(b *bundle.Bundle, spec *bundle.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Apply(spec)
	share := fairShare(b, spec)
	if s.admission == nil {
		s.admission = policy.NewAdmission(share)
	}
	s.admission.SetShare(share)
	hedge, retry := budgets(b, spec.Name)
	s.table.Hedges.SetShare(hedge)
	s.table.Retries.SetShare(retry)
}

// fairShare returns how many queries this VM may run at once so that all VMs together just
// fill the slots of the service's targets. A query takes one slot on each shard, so slots
// divided by shards is the number for all VMs. Each VM gets an equal part of it, as if the
// fleet had its maximum size.
func fairShare(b *bundle.Bundle, spec *bundle.Service) float64 {
	slots := 0
	for i := range spec.Targets {
		slots += spec.Targets[i].Leaves * spec.Targets[i].Slots
	}
	return float64(slots) / float64(max(spec.Shards, 1)) / float64(max(b.Fleet.MaxVMs, 1))
}

// budgets returns the largest hedge and retry budgets, as shares of first attempts, that
// any search of a service allows. All searches of a service share one budget of each kind,
// because they load the same targets.
func budgets(b *bundle.Bundle, service string) (hedge, retry float64) {
	for i := range b.Searches {
		if s := &b.Searches[i]; s.Service == service {
			hedge = max(hedge, s.Hedge.Budget)
			retry = max(retry, s.Retry.Budget)
		}
	}
	return hedge, retry
}

// Readable reports whether every service has a snapshot that can be read, and there is
// at least one service.
func (e *Engine) Readable() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, svc := range e.services {
		if !svc.readable(e.now()) {
			return false
		}
	}
	return len(e.services) > 0
}

// readable reports whether the service has a snapshot that can be read at now.
func (s *service) readable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.table.ChooseSnapshot(now)
	return ok
}

// service returns the service of this name, or nil if the bundle in force has none.
func (e *Engine) service(name string) *service {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[name]
}

// serviceOf returns the service that a target belongs to, or nil if the target is unknown.
func (e *Engine) serviceOf(target string) *service {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.byTarget[target]
}

// TargetStatus records a status that was read from a target. It calls OnDrain if the status
// is the first to state that this incarnation is draining. It implements target.Sink.
func (e *Engine) TargetStatus(name string, st target.Status, at time.Time) {
	svc := e.serviceOf(name)
	if svc == nil {
		return
	}
	svc.mu.Lock()
	svc.table.ApplyStatus(name, st, at)
	isNew := st.State == target.StateDraining && svc.table.MarkDraining(name, st.Incarnation)
	svc.mu.Unlock()
	if isNew {
		e.opts.OnDrain(name, st.Incarnation)
	}
}

// TargetFailed records that a read of a target's status failed. It implements target.Sink.
func (e *Engine) TargetFailed(name string, err error, _ time.Time) {
	svc := e.serviceOf(name)
	if svc == nil {
		return
	}
	e.opts.Log.Debug("reading a target's status failed", "target", name, "error", err)
	svc.mu.Lock()
	svc.table.StatusReadFailed(name)
	svc.mu.Unlock()
}

// TargetLost records a report of other VMs: none of the VMs that have connections to the
// target can read its status.
func (e *Engine) TargetLost(name string) {
	svc := e.serviceOf(name)
	if svc == nil {
		return
	}
	svc.mu.Lock()
	svc.table.MarkLost(name)
	svc.mu.Unlock()
}

// TargetState records that the headers of an answer state that a target is draining, and
// calls OnDrain if that is new. It ignores all other states: only status reads update them.
// It implements target.Sink.
func (e *Engine) TargetState(name, incarnation string, state target.State, _ time.Time) {
	if state != target.StateDraining {
		return
	}
	svc := e.serviceOf(name)
	if svc == nil {
		return
	}
	svc.mu.Lock()
	isNew := svc.table.ObserveState(name, incarnation, state)
	svc.mu.Unlock()
	if isNew {
		e.opts.OnDrain(name, incarnation)
	}
}

// MarkDraining records a report of another VM: this incarnation (one process) of the
// target is draining, which means that it is about to leave. It does not call OnDrain.
func (e *Engine) MarkDraining(name, incarnation string) {
	svc := e.serviceOf(name)
	if svc == nil {
		return
	}
	svc.mu.Lock()
	svc.table.MarkDraining(name, incarnation)
	svc.mu.Unlock()
}
