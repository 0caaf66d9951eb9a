package target

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/internal/defaults"
	"github.com/bramleybarrow/bramleybarrow/logging"
)

// StatusReader reads the status of a target; Client is one.
type StatusReader interface {
	Status(ctx context.Context, target string) (Status, error)
}

// MonitorOptions govern a Monitor. Reader and Sink are required.
type MonitorOptions struct {
	Log     *slog.Logger
	Reader  StatusReader
	Sink    Sink
	Workers int // status reads at once; 16
}

const defaultMonitorWorkers = 16

// Bounds of a read that an Endpoint leaves unset.
const (
	defaultHealthInterval = time.Second
	defaultHealthTimeout  = 500 * time.Millisecond
)

// Monitor reads the status of each endpoint at its interval and tells the Sink.
// A pool of workers does the reads; one target is never read twice at once.
type Monitor struct {
	opts   MonitorOptions
	tomb   tomb.Tomb
	work   chan *polledEndpoint
	wakeup chan struct{} // wakes the scheduler

	mu      sync.Mutex // guards what follows and the fields of each watched
	targets map[string]*polledEndpoint
}

// polledEndpoint is an endpoint whose status is read.
type polledEndpoint struct {
	endpoint     Endpoint
	nextRead     time.Time
	lastRead     time.Time     // end of the last read
	readInterval time.Duration // between reads if others tell of the target; 0 if not
	reading      bool
	removed      bool // no longer in force; what is read of it is dropped
}

// NewMonitor returns a monitor without endpoints.
func NewMonitor(opts MonitorOptions) *Monitor {
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	defaults.SetIfZero(&opts.Workers, defaultMonitorWorkers)
	return &Monitor{
		opts:    opts,
		work:    make(chan *polledEndpoint),
		wakeup:  make(chan struct{}, 1),
		targets: make(map[string]*polledEndpoint),
	}
}

// Start begins to read. It is called once.
func (m *Monitor) Start() {
	m.tomb.Go(m.schedule)
	for range m.opts.Workers {
		m.tomb.Go(m.runWorker)
	}
}

// Stop ends the reads and waits for them.
func (m *Monitor) Stop() error {
	m.tomb.Kill(nil)
	return errors.Trace(m.tomb.Wait())
}

// Apply puts the endpoints in force. New ones are read at once, slightly spread.
// Those without a share of connections are read too: the Reader may reach them
// by way of another VM. They come a little later, so that what others tell of
// them can make these reads unnecessary; see Relax.
func (m *Monitor) Apply(endpoints []Endpoint) {
	m.mu.Lock()
	old := m.targets
	m.targets = make(map[string]*polledEndpoint, len(endpoints))
	now := time.Now()
	for _, e := range endpoints {
		w := old[e.Name]
		if w == nil || w.endpoint.Address != e.Address {
			w = &polledEndpoint{nextRead: now.Add(jitter(firstReadDelay(e)))}
		}
		w.endpoint = withHealthDefaults(e)
		if e.Connections > 0 && w.readInterval > 0 {
			w.readInterval = 0
			w.nextRead = now.Add(jitter(firstReadSpread))
		}
		m.targets[e.Name] = w
	}
	for name, w := range old {
		w.removed = m.targets[name] != w
	}
	m.mu.Unlock()
	m.wake()
}

const (
	// firstReadSpread keeps the first reads of all targets from starting at once.
	firstReadSpread = 20 * time.Millisecond
	// firstReadSpreadNoShare leaves other VMs time to tell of targets.
	firstReadSpreadNoShare = 400 * time.Millisecond
)

func firstReadDelay(e Endpoint) time.Duration {
	if e.Connections > 0 {
		return firstReadSpread
	}
	return firstReadSpreadNoShare
}

// Relax makes a target be read only every so often, because another VM has just
// told of it; 0 means at the health interval again. It does nothing to a target
// that this VM has connections to.
func (m *Monitor) Relax(name string, every time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.targets[name]
	if w == nil || w.endpoint.Connections > 0 {
		return
	}
	if before := w.readInterval; (before == 0) != (every == 0) {
		w.nextRead = time.Now().Add(jitter(max(every, w.endpoint.HealthInterval)))
	}
	w.readInterval = every
}

// Hurry makes a target be read soon, because something contradicts what is known
// of it; but no more often than at its health interval.
func (m *Monitor) Hurry(name string) {
	m.mu.Lock()
	w := m.targets[name]
	if w == nil || w.reading {
		m.mu.Unlock()
		return
	}
	if soon := w.lastRead.Add(jitter(w.endpoint.HealthInterval)); soon.Before(w.nextRead) {
		w.nextRead = soon
	}
	m.mu.Unlock()
	m.wake()
}

func withHealthDefaults(e Endpoint) Endpoint {
	defaults.SetIfZero(&e.HealthInterval, defaultHealthInterval)
	defaults.SetIfZero(&e.HealthTimeout, defaultHealthTimeout)
	return e
}

func (m *Monitor) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// schedule hands each target that is due to a worker.
func (m *Monitor) schedule() error {
	for {
		w, wait := m.nextDue(time.Now())
		if w != nil {
			select {
			case m.work <- w:
				continue
			case <-m.tomb.Dying():
				return nil
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-m.wakeup:
		case <-m.tomb.Dying():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// nextDue marks the target that has been due for longest as being read and returns
// it, or returns the time until one is due.
func (m *Monitor) nextDue(now time.Time) (*polledEndpoint, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first *polledEndpoint
	for _, w := range m.targets {
		if !w.reading && (first == nil || w.nextRead.Before(first.nextRead)) {
			first = w
		}
	}
	if first == nil {
		return nil, idleInterval
	}
	if wait := first.nextRead.Sub(now); wait > 0 {
		return nil, wait
	}
	first.reading = true
	return first, 0
}

// runWorker is a worker.
func (m *Monitor) runWorker() error {
	for {
		select {
		case w := <-m.work:
			m.readStatus(w)
		case <-m.tomb.Dying():
			return nil
		}
	}
}

// readStatus reads one status, within the endpoint's timeout, and tells the sink.
func (m *Monitor) readStatus(w *polledEndpoint) {
	m.mu.Lock()
	e := w.endpoint
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), e.HealthTimeout)
	status, err := m.opts.Reader.Status(ctx, e.Name)
	cancel()
	if !m.finishRead(w) {
		return
	}
	now := time.Now()
	if err != nil {
		m.opts.Log.Debug("status read failed", "target", e.Name, "error", err)
		m.opts.Sink.TargetFailed(e.Name, err, now)
		return
	}
	m.opts.Sink.TargetStatus(e.Name, status, now)
}

// finishRead sets the time of the next read and reports whether the result of
// this one still counts.
func (m *Monitor) finishRead(w *polledEndpoint) bool {
	m.mu.Lock()
	w.reading = false
	w.lastRead = time.Now()
	w.nextRead = w.lastRead.Add(jitter(max(w.readInterval, w.endpoint.HealthInterval)))
	counts := !w.removed
	m.mu.Unlock()
	m.wake()
	return counts && m.tomb.Alive()
}
