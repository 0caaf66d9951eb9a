// Package health lets few VMs read the status of a target and all VMs know it.
// The owners of a target read it, and the first of them states what changed as a
// fact of the exchange; the others take it from there and read the target, through
// an owner, only now and then or if something contradicts what they were told.
// Where every VM has connections to a target, each reads it and nothing is told.
//
// docs/design/health.md has the reasons.
package health

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/peer/route"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// Exchange tells facts to the other VMs. peer.Exchange implements it.
type Exchange interface {
	SetTargets(names []string)
	Health(target string) (facts.Health, bool)
	TellHealth(next facts.Health, base facts.Stamp) bool
	TakeHealth() []facts.Health
	HealthChanged() <-chan struct{}
}

// Router reaches targets and knows who owns them. route.Router implements it.
type Router interface {
	target.StatusReader
	Standing(target string) route.Ownership
}

// Sink is told what is known of targets. query.Engine implements it.
type Sink interface {
	target.Sink
	// TargetLost is called when a target was lost to all its owners.
	TargetLost(target string)
}

// Monitor reads targets. target.Monitor implements it.
type Monitor interface {
	Relax(target string, every time.Duration)
	Hurry(target string)
}

// Options configure a Relay. All are required.
type Options struct {
	Router  Router
	Sink    Sink
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Relay stands between the Monitor and the Sink: it is the reader and the sink of
// the one and tells the other. It is safe for concurrent use.
type Relay struct {
	opts     Options
	exchange Exchange
	monitor  Monitor
	tomb     tomb.Tomb

	reads, published, appliedCount, contradictions *metrics.Counter

	mu               sync.Mutex // guards what follows; held while the Sink, the Exchange and the Monitor are called, which never call back
	reporter         *reporter
	timings          map[string]timing      // by target of the bundle in force
	rereadInterval   time.Duration          // between reads of a target that others tell of
	readBase         map[string]facts.Stamp // what was known when the read under way began
	appliedStamps    map[string]facts.Stamp // what the Sink was last told, or read later than
	partlyUnreadable map[string]bool        // targets that some owner can't read: whether lost
}

// New returns a Relay that is not yet at work.
func New(o Options) *Relay {
	return &Relay{
		opts:             o,
		reads:            o.Metrics.NewCounter(`bramley_health_reads_total`),
		published:        o.Metrics.NewCounter(`bramley_health_told_total`),
		appliedCount:     o.Metrics.NewCounter(`bramley_health_taken_total`),
		contradictions:   o.Metrics.NewCounter(`bramley_health_doubts_total`),
		reporter:         newReporter(),
		timings:          map[string]timing{},
		readBase:         map[string]facts.Stamp{},
		appliedStamps:    map[string]facts.Stamp{},
		partlyUnreadable: map[string]bool{},
	}
}

// Start begins to take what other VMs tell.
func (r *Relay) Start(x Exchange, m Monitor) {
	r.exchange, r.monitor = x, m
	r.tomb.Go(r.follow)
}

// Stop ends it.
func (r *Relay) Stop() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

const (
	// minRereadInterval is the time between reads of a target that others tell of, and
	// maxRereads bounds these reads of all targets, per second. Their answers take
	// some 450 bytes each, so that with thousands of targets they would cost more
	// than all else that a VM sends.
	minRereadInterval   = 20 * time.Second
	maxRereadsPerSecond = 2
)

// Apply takes the targets of the bundle in force, before the Monitor does.
func (r *Relay) Apply(b *bundle.Bundle) {
	known := map[string]timing{}
	var shared []string
	for i := range b.Services {
		svc := &b.Services[i]
		for j := range svc.Targets {
			name := svc.Targets[j].Name
			known[name] = timing{
				interval:     time.Duration(svc.Drain.HealthIntervalMS) * time.Millisecond,
				suspectAfter: max(svc.Drain.SuspectAfter, 1),
			}
			if r.opts.Router.Standing(name).Shared {
				shared = append(shared, name)
			}
		}
	}
	r.mu.Lock()
	r.timings = known
	r.rereadInterval = max(minRereadInterval, time.Duration(len(shared))*time.Second/maxRereadsPerSecond)
	for name := range r.appliedStamps {
		if _, has := known[name]; !has {
			delete(r.appliedStamps, name)
			delete(r.partlyUnreadable, name)
			delete(r.reporter.targets, name)
		}
	}
	r.mu.Unlock()
	r.exchange.SetTargets(shared)
}

// Reapply tells the Sink again what others told, after the Monitor has got new
// endpoints: a target that this VM has just ceased to own is no more read by it.
func (r *Relay) Reapply() {
	r.mu.Lock()
	names := make([]string, 0, len(r.timings))
	for name := range r.timings {
		names = append(names, name)
	}
	r.mu.Unlock()
	for _, name := range names {
		if h, known := r.exchange.Health(name); known {
			r.apply(h)
		}
	}
}

// sweepInterval is the time between looks at whether the owners that could still
// read a target are gone.
const sweepInterval = time.Second

func (r *Relay) follow() error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-r.exchange.HealthChanged():
			for _, h := range r.exchange.TakeHealth() {
				r.apply(h)
			}
		case <-sweep.C:
			r.sweep()
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// apply tells the Sink what others told of a target, unless this VM reads it for
// itself or has read it since.
func (r *Relay) apply(h facts.Health) {
	at := r.opts.Router.Standing(h.Target)
	if !at.Shared {
		return
	}
	if at.Owner {
		r.answerStatement(h, at)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.timings[h.Target]; !known {
		return
	}
	if r.appliedStamps[h.Target] != h.Stamp {
		r.appliedCount.Inc()
		r.notifySink(h, at)
	}
	r.adjustReadInterval(h)
}

// adjustReadInterval lets the Monitor read a target seldom if others tell of it. It must hold
// mu.
func (r *Relay) adjustReadInterval(h facts.Health) {
	if h.Opaque && !lost(h, r.opts.Router.Standing(h.Target).LiveOwners) {
		r.monitor.Relax(h.Target, 0)
		return
	}
	r.monitor.Relax(h.Target, r.rereadInterval)
}

// notifySink tells the Sink of a target. It must hold mu.
func (r *Relay) notifySink(h facts.Health, at route.Ownership) {
	r.appliedStamps[h.Target] = h.Stamp
	gone := lost(h, at.LiveOwners)
	switch {
	case gone:
		r.opts.Sink.TargetLost(h.Target)
	case !h.Opaque:
		r.opts.Sink.TargetStatus(h.Target, decode(h), time.Now())
	}
	delete(r.partlyUnreadable, h.Target)
	if len(h.UnreadableBy) > 0 {
		r.partlyUnreadable[h.Target] = gone
	}
}

// sweep looks for targets that were lost, or are lost no more, because an owner
// is gone or has come.
func (r *Relay) sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, gone := range r.partlyUnreadable {
		at := r.opts.Router.Standing(name)
		if h, known := r.exchange.Health(name); known && !at.Owner && lost(h, at.LiveOwners) != gone {
			r.notifySink(h, at)
		}
	}
}

// answerStatement lets this VM, as an owner, answer what another one stated.
func (r *Relay) answerStatement(h facts.Health, at route.Ownership) {
	r.mu.Lock()
	next, say := r.reporter.handleStatement(h, standingOf(at), r.timings[h.Target], time.Now())
	r.mu.Unlock()
	if say {
		r.publish(next, h.Stamp)
	}
}

func standingOf(at route.Ownership) standing { return standing{place: at.Place, owners: at.LiveOwners} }

// Status reads a target for the Monitor, and states what is new if this VM is an
// owner.
func (r *Relay) Status(ctx context.Context, name string) (target.Status, error) {
	base, _ := r.exchange.Health(name)
	began := time.Now()
	r.mu.Lock()
	r.readBase[name] = base.Stamp
	r.mu.Unlock()
	r.reads.Inc()
	status, err := r.opts.Router.Status(ctx, name)
	if at := r.opts.Router.Standing(name); at.Owner && at.Shared {
		reading := readResult{base: base, began: began}
		if err == nil {
			reading.status = &status
		}
		r.handleOwnRead(name, reading, at)
	}
	return status, err
}

func (r *Relay) handleOwnRead(name string, read readResult, at route.Ownership) {
	r.mu.Lock()
	next, say := r.reporter.handleRead(name, read, standingOf(at), r.timings[name], time.Now())
	r.mu.Unlock()
	if say {
		r.publish(next, read.base.Stamp)
	}
}

func (r *Relay) publish(next facts.Health, base facts.Stamp) {
	if r.exchange.TellHealth(next, base) {
		r.published.Inc()
		r.opts.Log.Debug("health of a target stated", "target", next.Target, "epoch", next.Epoch, "seq", next.Seq, "unread", next.UnreadableBy)
	}
}

// TargetStatus implements target.Sink for the Monitor. What was read through an
// owner is dropped if something newer was learned while it was read.
func (r *Relay) TargetStatus(name string, status target.Status, at time.Time) {
	own := r.readsDirectly(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if own {
		delete(r.appliedStamps, name)
		r.opts.Sink.TargetStatus(name, status, at)
		return
	}
	h, known := r.exchange.Health(name)
	if h.Stamp == r.readBase[name] {
		r.appliedStamps[name] = h.Stamp
		r.opts.Sink.TargetStatus(name, status, at)
	}
	if known {
		r.adjustReadInterval(h)
	}
}

// TargetFailed implements target.Sink for the Monitor. That this VM could not read
// a target through an owner says little of the target as long as its owners say
// that they can: the owner may be frozen, or the way to it cut.
func (r *Relay) TargetFailed(name string, err error, at time.Time) {
	if !r.readsDirectly(name) {
		h, known := r.exchange.Health(name)
		live := r.opts.Router.Standing(name).LiveOwners
		if known && !h.Opaque && len(live) > 0 && !lost(h, live) {
			return
		}
	}
	r.opts.Sink.TargetFailed(name, err, at)
}

// TargetState implements target.Sink for the Monitor.
func (r *Relay) TargetState(name, incarnation string, state target.State, at time.Time) {
	r.opts.Sink.TargetState(name, incarnation, state, at)
}

// readsDirectly tells whether this VM reads a target over its own connections.
func (r *Relay) readsDirectly(name string) bool {
	at := r.opts.Router.Standing(name)
	return !at.Shared || at.Owner
}
