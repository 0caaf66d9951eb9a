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

// Leaves reaches the leaves of targets. target.Client implements it.
type Leaves interface {
	Search(ctx context.Context, target string, leaf int, req target.LeafRequest) (target.LeafAnswer, error)
	Submit(ctx context.Context, target string, leaf int, req target.SubmitRequest) (target.SubmitAnswer, error)
}

// Options configure an Engine. Leaves is required.
type Options struct {
	Leaves  Leaves
	Zone    string // of this VM
	Workers int    // calls to leaves in flight, at most; 512 if 0
	Seed    uint64 // of random choices
	Log     *slog.Logger
	Metrics *metrics.Set     // a set of its own if nil
	Clock   func() time.Time // time.Now if nil
	// OnDrain is told of each drain learned from an answer or a status.
	OnDrain func(target, incarnation string)
}

const defaultWorkers = 512

// Engine runs queries. It is safe for concurrent use.
type Engine struct {
	opt  Options
	pool *Pool
	now  func() time.Time

	mu       sync.RWMutex // guards the two maps, not what they point to
	services map[string]*service
	byTarget map[string]*service
}

// service is the shared state of one service's targets.
type service struct {
	name    string
	metrics *serviceMetrics

	mu        sync.Mutex // guards all below
	table     *policy.Table
	admission *policy.Admission
	waiting   map[policy.TicketID]chan policy.Verdict
}

// NewEngine returns an engine that knows no service; Apply tells it of some.
func NewEngine(opt Options) *Engine {
	if opt.Workers == 0 {
		opt.Workers = defaultWorkers
	}
	if opt.Log == nil {
		opt.Log = logging.Discard()
	}
	if opt.Clock == nil {
		opt.Clock = time.Now
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewSet()
	}
	if opt.OnDrain == nil {
		opt.OnDrain = func(string, string) {}
	}
	return &Engine{
		opt:      opt,
		pool:     NewPool(opt.Workers),
		now:      opt.Clock,
		services: make(map[string]*service),
		byTarget: make(map[string]*service),
	}
}

// Close ends the workers. No query may be running.
func (e *Engine) Close() { e.pool.Stop() }

// Apply takes the targets and limits of the bundle in force. Services that stay
// keep what is known of their targets.
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

func (e *Engine) newService(name string) *service {
	rng := rand.New(rand.NewPCG(e.opt.Seed, uint64(len(name))))
	return &service{
		name:    name,
		metrics: newServiceMetrics(e.opt.Metrics, name),
		table:   policy.NewTable(e.opt.Zone, rng),
		waiting: make(map[policy.TicketID]chan policy.Verdict),
	}
}

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

// fairShare is how many whole queries this VM may run so that all VMs together
// just fill the slots of the service's targets.
func fairShare(b *bundle.Bundle, spec *bundle.Service) float64 {
	slots := 0
	for i := range spec.Targets {
		slots += spec.Targets[i].Leaves * spec.Targets[i].Slots
	}
	return float64(slots) / float64(max(spec.Shards, 1)) / float64(max(b.Fleet.MaxVMs, 1))
}

// budgets returns the largest shares that a service's searches allow. Targets
// are shared by the searches, and so is what may be added to their load.
func budgets(b *bundle.Bundle, service string) (hedge, retry float64) {
	for i := range b.Searches {
		if s := &b.Searches[i]; s.Service == service {
			hedge = max(hedge, s.Hedge.Budget)
			retry = max(retry, s.Retry.Budget)
		}
	}
	return hedge, retry
}

// Readable reports whether some snapshot of every service can be read.
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

func (s *service) readable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.table.ChooseSnapshot(now)
	return ok
}

func (e *Engine) service(name string) *service {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[name]
}

func (e *Engine) serviceOf(target string) *service {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.byTarget[target]
}

// TargetStatus implements target.Sink.
func (e *Engine) TargetStatus(name string, st target.Status, at time.Time) {
	svc := e.serviceOf(name)
	if svc == nil {
		return
	}
	svc.mu.Lock()
	svc.table.ApplyStatus(name, st, at)
	news := st.State == target.StateDraining && svc.table.MarkDraining(name, st.Incarnation)
	svc.mu.Unlock()
	if news {
		e.opt.OnDrain(name, st.Incarnation)
	}
}

// TargetFailed implements target.Sink.
func (e *Engine) TargetFailed(name string, err error, _ time.Time) {
	svc := e.serviceOf(name)
	if svc == nil {
		return
	}
	e.opt.Log.Debug("status of a target could not be read", "target", name, "error", err)
	svc.mu.Lock()
	svc.table.StatusReadFailed(name)
	svc.mu.Unlock()
}

// TargetLost takes from other VMs that no VM that has connections to a target can
// read its status.
func (e *Engine) TargetLost(name string) {
	svc := e.serviceOf(name)
	if svc == nil {
		return
	}
	svc.mu.Lock()
	svc.table.MarkLost(name)
	svc.mu.Unlock()
}

// TargetState implements target.Sink.
func (e *Engine) TargetState(name, incarnation string, state target.State, _ time.Time) {
	if state != target.StateDraining {
		return
	}
	svc := e.serviceOf(name)
	if svc == nil {
		return
	}
	svc.mu.Lock()
	news := svc.table.ObserveState(name, incarnation, state)
	svc.mu.Unlock()
	if news {
		e.opt.OnDrain(name, incarnation)
	}
}

// MarkDraining takes from another VM that an incarnation of a target is leaving.
func (e *Engine) MarkDraining(name, incarnation string) {
	svc := e.serviceOf(name)
	if svc == nil {
		return
	}
	svc.mu.Lock()
	svc.table.MarkDraining(name, incarnation)
	svc.mu.Unlock()
}
