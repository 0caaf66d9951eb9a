// Package health distributes the status of targets, so that few VMs read a target
// and all know its status. The owners of a target read it, and the first of them
// publishes changes as statements, which are facts of the exchange. The other VMs
// use the statements. They read the target through an owner only at long intervals,
// or if something contradicts its statement. If every VM has connections to a
// target, each reads it and no statements are published.
//
// See docs/design/health.md for the reasons.
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

// Exchange exchanges statements about the health of targets with the other VMs.
// peer.Exchange implements it.
type Exchange interface {
	// SetTargets sets the targets about which statements are kept.
	SetTargets(names []string)
	// Health returns the current statement about a target and reports whether there is one.
	Health(target string) (facts.Health, bool)
	// PublishHealth publishes next if the current statement still has the stamp base, and
	// reports whether it did.
	PublishHealth(next facts.Health, base facts.Stamp) bool
	// TakeHealthChanges returns the current statements about the targets whose health has
	// changed since its last call.
	TakeHealthChanges() []facts.Health
	// HealthChanged receives a value when TakeHealthChanges has something to return.
	HealthChanged() <-chan struct{}
}

// Router reads the status of targets and states who owns connections to them.
// route.Router implements it.
type Router interface {
	target.StatusReader
	// Ownership returns which VMs own connections to a target.
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
	// SetReadInterval sets the time between reads of a target to which this VM has no
	// connections. 0 means the health interval of the target's service.
	SetReadInterval(target string, interval time.Duration)
	// ReadSoon moves the next read of a target to an earlier time.
	ReadSoon(target string)
}

// Options configures a Relay. All fields are required.
type Options struct {
	Router  Router // reads targets and states their owners
	Sink    Sink   // receives what this VM reads and what other VMs state
	Log     *slog.Logger
	Metrics *metrics.Set // the counters of the Relay are added to it
}

// Relay connects the Monitor, the Exchange and the Sink. The Monitor reads targets
// through it and reports to it as its sink. The Relay publishes through the Exchange
// what this VM reads as an owner, and passes to the Sink what this VM read or received
// from other VMs. It is safe for concurrent use.
type Relay struct {
	opts     Options
	exchange Exchange
	monitor  Monitor
	tomb     tomb.Tomb

	// Counters: reads of targets by this VM, directly or through an owner; statements that
	// this VM published; statements that it applied to targets of which it isn't an owner;
	// failed calls that contradicted the known health of their target.
	reads, published, appliedCount, contradictions *metrics.Counter

	mu               sync.Mutex             // guards the fields below; held during calls of the Sink, the Exchange and the Monitor, which never call back
	reporter         *reporter              // decides what this VM, as an owner, publishes
	timings          map[string]timing      // by target of the bundle in force: when it is read and when a failed read is published
	rereadInterval   time.Duration          // at which this VM reads a target through one of its owners while there is a statement about it; see adjustReadInterval
	readBase         map[string]facts.Stamp // by target: stamp of the known statement when the current or last read began
	appliedStamps    map[string]facts.Stamp // by target: stamp of the statement that the Sink last received, or that was current when the Sink received a status that this VM read
	partlyUnreadable map[string]bool        // by target that some owner can't read: whether the Sink was last notified that the target is lost
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
	r.tomb.Go(r.run)
}

// Stop stops the processing of statements and waits for its end.
func (r *Relay) Stop() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

const (
	// minRereadInterval is the least time between two reads of one target through an
	// owner by a VM that already has its health from a statement.
	minRereadInterval = 20 * time.Second
	// maxRereadsPerSecond bounds how many reads through owners one VM makes per second,
	// of all targets together whose health it already has from statements. An answer takes
	// about 450 bytes. With thousands of targets, unbounded reads would take more bytes
	// than everything else that a VM sends.
	maxRereadsPerSecond = 2
)

// Apply sets the targets to those of b, the bundle in force. It makes the Exchange keep
// statements about the targets that some VMs call through owners. It must be called
// before the Monitor gets the targets of b.
func (r *Relay) Apply(b *bundle.Bundle) {
	known := map[string]timing{}
	var shared []string // targets that some VMs call through owners
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
// new endpoints. If this VM has just ceased to own connections to a target, it no longer
// reads the target over its own connections and needs the statement about it.
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

// recheckInterval is the time between two calls of recheckLost.
const recheckInterval = time.Second

// run applies statements as they arrive, and calls recheckLost at recheckInterval, until
// the Relay stops.
func (r *Relay) run() error {
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-r.exchange.HealthChanged():
			for _, h := range r.exchange.TakeHealthChanges() {
				r.apply(h)
			}
		case <-recheck.C:
			r.recheckLost()
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// apply handles a statement about a target. It does nothing if every VM has connections
// to the target. If this VM is one of the target's owners, it doesn't use the statement
// but may answer it with one of its own; see answerStatement. Otherwise it passes the
// statement to the Sink, unless the Sink already has it or something newer: the result of
// a read that began when the statement was already known.
func (r *Relay) apply(h facts.Health) {
	ownership := r.opts.Router.Ownership(h.Target)
	if !ownership.Shared {
		return
	}
	if ownership.Owner {
		r.answerStatement(h, ownership)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.timings[h.Target]; !known {
		return
	}
	if r.appliedStamps[h.Target] != h.Stamp {
		r.appliedCount.Inc()
		r.notifySink(h, ownership)
	}
	r.adjustReadInterval(h)
}

// adjustReadInterval sets the interval at which the Monitor reads a target about which
// there is a statement. That is rereadInterval, or the health interval of the target's
// service if the statement is opaque and the target isn't lost. The caller must hold mu.
func (r *Relay) adjustReadInterval(h facts.Health) {
	// An opaque statement doesn't say what the leaves hold, so this VM reads the target
	// often, unless no live owner can read it.
	if h.Opaque && !lost(h, r.opts.Router.Ownership(h.Target).LiveOwners) {
		r.monitor.SetReadInterval(h.Target, 0)
		return
	}
	r.monitor.SetReadInterval(h.Target, r.rereadInterval)
}

// notifySink passes a statement to the Sink: that the target is lost, or its status. It
// passes nothing if the target isn't lost and the statement is opaque. The caller must
// hold mu.
func (r *Relay) notifySink(h facts.Health, ownership route.Ownership) {
	r.appliedStamps[h.Target] = h.Stamp
	isLost := lost(h, ownership.LiveOwners)
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

// recheckLost checks the targets that some owner can't read. It notifies the Sink of those
// that have become lost because the last owner that could read them was lost, and of those
// that are no longer lost because an owner was added. No new statement announces either.
func (r *Relay) recheckLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, wasLost := range r.partlyUnreadable {
		ownership := r.opts.Router.Ownership(name)
		// An owner uses its own reads instead of statements.
		if h, known := r.exchange.Health(name); known && !ownership.Owner && lost(h, ownership.LiveOwners) != wasLost {
			r.notifySink(h, ownership)
		}
	}
}

// answerStatement lets this VM, as an owner of the target, answer the statement of another
// owner: it may publish that it can't read the target either.
func (r *Relay) answerStatement(h facts.Health, ownership route.Ownership) {
	r.mu.Lock()
	next, publish := r.reporter.handleStatement(h, ownerOrderOf(ownership), r.timings[h.Target], time.Now())
	r.mu.Unlock()
	if publish {
		r.publish(next, h.Stamp)
	}
}

// ownerOrderOf returns the order of a target's live owners, with this VM's own place.
func ownerOrderOf(ownership route.Ownership) ownerOrder {
	return ownerOrder{place: ownership.Place, owners: ownership.LiveOwners}
}

// Status reads a target's status for the Monitor. If this VM is one of the target's
// owners, and other VMs have no connections to the target, it publishes what has changed.
func (r *Relay) Status(ctx context.Context, name string) (target.Status, error) {
	base, _ := r.exchange.Health(name)
	began := time.Now()
	r.mu.Lock()
	r.readBase[name] = base.Stamp
	r.mu.Unlock()
	r.reads.Inc()
	status, err := r.opts.Router.Status(ctx, name)
	if ownership := r.opts.Router.Ownership(name); ownership.Owner && ownership.Shared {
		read := readResult{base: base, began: began}
		if err == nil {
			read.status = &status
		}
		r.handleOwnRead(name, read, ownership)
	}
	return status, err
}

// handleOwnRead lets this VM, as an owner of the named target, publish the result of its
// read if the result is new and it is this owner's turn.
func (r *Relay) handleOwnRead(name string, read readResult, ownership route.Ownership) {
	r.mu.Lock()
	next, publish := r.reporter.handleRead(name, read, ownerOrderOf(ownership), r.timings[name], time.Now())
	r.mu.Unlock()
	if publish {
		r.publish(next, read.base.Stamp)
	}
}

// publish publishes the statement next in place of the one with the stamp base, unless
// that one has already been replaced.
func (r *Relay) publish(next facts.Health, base facts.Stamp) {
	if r.exchange.PublishHealth(next, base) {
		r.published.Inc()
		r.opts.Log.Debug("published health of a target", "target", next.Target, "epoch", next.Epoch, "seq", next.Seq, "unread", next.UnreadableBy)
	}
}

// TargetStatus implements target.Sink for the Monitor. It passes a status that the Monitor
// has read to the Sink, with the time of the read. A status that was read through an owner
// is dropped if a newer statement arrived during the read.
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

// TargetFailed implements target.Sink for the Monitor. It passes the error and the time of
// a failed read to the Sink. A failed read through an owner is ignored if a statement
// describes the target and some live owner can read the target: the owner that was used
// may be frozen, or the network path to that owner cut.
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

// TargetState implements target.Sink for the Monitor. It passes to the Sink the
// incarnation and the state of a target that the headers of an answer contain, with the
// time of the answer.
func (r *Relay) TargetState(name, incarnation string, state target.State, at time.Time) {
	r.opts.Sink.TargetState(name, incarnation, state, at)
}

// readsDirectly reports whether this VM reads a target over its own connections: either
// every VM has connections to it, or this VM is one of its owners.
func (r *Relay) readsDirectly(name string) bool {
	ownership := r.opts.Router.Ownership(name)
	return !ownership.Shared || ownership.Owner
}
