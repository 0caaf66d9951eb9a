// Package health distributes the status of targets, so that few VMs read a target
// and all know its status. The owners of a target read it, and the first of them
// publishes changes as statements, which are facts of the exchange. The other VMs
// use the statements. They read the target through an owner only at long intervals,
// or if something contradicts its statement. If every VM has connections to a
// target, each reads it and no statements are published.
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

// Exchange sends facts to the other VMs. peer.Exchange implements it.
type Exchange interface {
	SetTargets(names []string)
	Health(target string) (facts.Health, bool)
	PublishHealth(next facts.Health, base facts.Stamp) bool
	TakeHealthChanges() []facts.Health
	HealthChanged() <-chan struct{}
}

// Router reads the status of targets and knows their owners. route.Router
// implements it.
type Router interface {
	target.StatusReader
	Ownership(target string) route.Ownership
}

// Sink receives the health of targets. query.Engine implements it.
type Sink interface {
	target.Sink
	// TargetLost is called when no live owner can read a target any more.
	TargetLost(target string)
}

// Monitor reads targets at intervals. target.Monitor implements it.
type Monitor interface {
	SetReadInterval(target string, interval time.Duration)
	ReadSoon(target string)
}

// Options configures a Relay. All fields are required.
type Options struct {
	Router  Router
	Sink    Sink
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Relay connects the Monitor, the Exchange and the Sink. The Monitor reads targets
// through it and reports to it as its sink. The Relay publishes what this VM reads
// as an owner, and passes to the Sink what this VM read or received from other VMs.
// It is safe for concurrent use.
type Relay struct {
	opts     Options
	exchange Exchange
	monitor  Monitor
	tomb     tomb.Tomb

	reads, published, appliedCount, contradictions *metrics.Counter

	mu               sync.Mutex // guards the fields below; held during calls of the Sink, the Exchange and the Monitor, which never call back
	reporter         *reporter
	timings          map[string]timing      // by target of the bundle in force
	rereadInterval   time.Duration          // between reads of a target for which there are statements
	readBase         map[string]facts.Stamp // stamp of the known statement when the current or last read began
	appliedStamps    map[string]facts.Stamp // statement that the Sink last received, or that was known when it received a read
	partlyUnreadable map[string]bool        // targets that some owner can't read; true if the Sink was notified that it is lost
}

// New returns a Relay that isn't started.
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

// Start sets the Exchange and the Monitor, and starts to process the statements of
// other VMs.
func (r *Relay) Start(x Exchange, m Monitor) {
	r.exchange, r.monitor = x, m
	r.tomb.Go(r.follow)
}

// Stop stops the processing of statements and waits for its end.
func (r *Relay) Stop() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

const (
	// minRereadInterval is the least time between reads of a target for which there
	// are statements.
	minRereadInterval = 20 * time.Second
	// maxRereadsPerSecond bounds these reads of all targets. An answer takes about
	// 450 bytes, so with thousands of targets unbounded reads would cost more than
	// everything else that a VM sends.
	maxRereadsPerSecond = 2
)

// Apply sets the targets to those of the bundle in force. It must be called before
// the Monitor gets them.
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
			if r.opts.Router.Ownership(name).Shared {
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

// Reapply applies all known statements again. It is called after the Monitor has got
// new endpoints: a target that this VM has just ceased to own is no longer read over
// its own connections.
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

// sweepInterval is the time between checks of whether the owners that could still
// read a target have been lost.
const sweepInterval = time.Second

// follow applies statements as they arrive, and checks partlyUnreadable targets at
// sweepInterval, until the Relay stops.
func (r *Relay) follow() error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-r.exchange.HealthChanged():
			for _, h := range r.exchange.TakeHealthChanges() {
				r.apply(h)
			}
		case <-sweep.C:
			r.sweep()
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// apply passes a statement to the Sink, unless this VM reads the target over its own
// connections or has read it since. An owner may answer the statement instead.
func (r *Relay) apply(h facts.Health) {
	pos := r.opts.Router.Ownership(h.Target)
	if !pos.Shared {
		return
	}
	if pos.Owner {
		r.answerStatement(h, pos)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.timings[h.Target]; !known {
		return
	}
	if r.appliedStamps[h.Target] != h.Stamp {
		r.appliedCount.Inc()
		r.notifySink(h, pos)
	}
	r.adjustReadInterval(h)
}

// adjustReadInterval sets the Monitor's read interval of a target with a statement:
// the long one, or the health interval if the statement is opaque and the target
// isn't lost. The caller must hold mu.
func (r *Relay) adjustReadInterval(h facts.Health) {
	if h.Opaque && !lost(h, r.opts.Router.Ownership(h.Target).LiveOwners) {
		r.monitor.SetReadInterval(h.Target, 0)
		return
	}
	r.monitor.SetReadInterval(h.Target, r.rereadInterval)
}

// notifySink passes a statement to the Sink. The caller must hold mu.
func (r *Relay) notifySink(h facts.Health, pos route.Ownership) {
	r.appliedStamps[h.Target] = h.Stamp
	isLost := lost(h, pos.LiveOwners)
	switch {
	case isLost:
		r.opts.Sink.TargetLost(h.Target)
	case !h.Opaque:
		r.opts.Sink.TargetStatus(h.Target, decode(h), time.Now())
	}
	delete(r.partlyUnreadable, h.Target)
	if len(h.UnreadableBy) > 0 {
		r.partlyUnreadable[h.Target] = isLost
	}
}

// sweep notifies the Sink of targets that became lost because an owner was lost, or
// that aren't lost any more because an owner was added.
func (r *Relay) sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, wasLost := range r.partlyUnreadable {
		pos := r.opts.Router.Ownership(name)
		if h, known := r.exchange.Health(name); known && !pos.Owner && lost(h, pos.LiveOwners) != wasLost {
			r.notifySink(h, pos)
		}
	}
}

// answerStatement lets this VM, as an owner, answer the statement of another one.
func (r *Relay) answerStatement(h facts.Health, pos route.Ownership) {
	r.mu.Lock()
	next, publish := r.reporter.handleStatement(h, standingOf(pos), r.timings[h.Target], time.Now())
	r.mu.Unlock()
	if publish {
		r.publish(next, h.Stamp)
	}
}

func standingOf(pos route.Ownership) standing {
	return standing{place: pos.Place, owners: pos.LiveOwners}
}

// Status reads a target for the Monitor, and publishes what has changed if this VM
// is an owner.
func (r *Relay) Status(ctx context.Context, name string) (target.Status, error) {
	base, _ := r.exchange.Health(name)
	began := time.Now()
	r.mu.Lock()
	r.readBase[name] = base.Stamp
	r.mu.Unlock()
	r.reads.Inc()
	status, err := r.opts.Router.Status(ctx, name)
	if pos := r.opts.Router.Ownership(name); pos.Owner && pos.Shared {
		read := readResult{base: base, began: began}
		if err == nil {
			read.status = &status
		}
		r.handleOwnRead(name, read, pos)
	}
	return status, err
}

// handleOwnRead lets this VM, as an owner, publish the result of its read if that is
// due.
func (r *Relay) handleOwnRead(name string, read readResult, pos route.Ownership) {
	r.mu.Lock()
	next, publish := r.reporter.handleRead(name, read, standingOf(pos), r.timings[name], time.Now())
	r.mu.Unlock()
	if publish {
		r.publish(next, read.base.Stamp)
	}
}

// publish publishes the statement next, unless the one with the stamp base has been
// replaced since.
func (r *Relay) publish(next facts.Health, base facts.Stamp) {
	if r.exchange.PublishHealth(next, base) {
		r.published.Inc()
		r.opts.Log.Debug("published health of a target", "target", next.Target, "epoch", next.Epoch, "seq", next.Seq, "unread", next.UnreadableBy)
	}
}

// TargetStatus implements target.Sink for the Monitor. A status that was read through
// an owner is dropped if a newer statement arrived during the read.
func (r *Relay) TargetStatus(name string, status target.Status, at time.Time) {
	direct := r.readsDirectly(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if direct {
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

// TargetFailed implements target.Sink for the Monitor. A failed read through an owner
// is ignored as long as some live owner can read the target: the owner that was used
// may be frozen, or the network path to it cut.
func (r *Relay) TargetFailed(name string, err error, at time.Time) {
	if !r.readsDirectly(name) {
		h, known := r.exchange.Health(name)
		live := r.opts.Router.Ownership(name).LiveOwners
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

// readsDirectly reports whether this VM reads a target over its own connections.
func (r *Relay) readsDirectly(name string) bool {
	pos := r.opts.Router.Ownership(name)
	return !pos.Shared || pos.Owner
}
