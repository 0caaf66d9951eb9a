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
	opts MonitorOptions
	tomb tomb.Tomb
	work chan *watched
	kick chan struct{} // wakes the scheduler

	mu      sync.Mutex // guards what follows and the fields of each watched
	targets map[string]*watched
}

// watched is an endpoint whose status is read.
type watched struct {
	endpoint Endpoint
	due      time.Time
	last     time.Time     // end of the last read
	calm     time.Duration // between reads if others tell of the target; 0 if not
	reading  bool
	gone     bool // no longer in force; what is read of it is dropped
}

// NewMonitor returns a monitor without endpoints.
func NewMonitor(opts MonitorOptions) *Monitor {
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	defaults.Set(&opts.Workers, defaultMonitorWorkers)
	return &Monitor{
		opts:    opts,
		work:    make(chan *watched),
		kick:    make(chan struct{}, 1),
		targets: make(map[string]*watched),
	}
}

// Start begins to read. It is called once.
func (m *Monitor) Start() {
	m.tomb.Go(m.schedule)
	for range m.opts.Workers {
		m.tomb.Go(m.readAll)
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
	m.targets = make(map[string]*watched, len(endpoints))
	now := time.Now()
	for _, e := range endpoints {
		w := old[e.Name]
		if w == nil || w.endpoint.Address != e.Address {
			w = &watched{due: now.Add(jitter(firstRead(e)))}
		}
		w.endpoint = withHealthDefaults(e)
		if e.Connections > 0 && w.calm > 0 {
			w.calm = 0
			w.due = now.Add(jitter(firstReadSpread))
		}
		m.targets[e.Name] = w
	}
	for name, w := range old {
		w.gone = m.targets[name] != w
	}
	m.mu.Unlock()
	m.wake()
}

const (
	// firstReadSpread keeps the first reads of all targets from starting at once.
	firstReadSpread = 20 * time.Millisecond
	// firstToldSpread leaves other VMs time to tell of targets.
	firstToldSpread = 400 * time.Millisecond
)

func firstRead(e Endpoint) time.Duration {
	if e.Connections > 0 {
		return firstReadSpread
	}
	return firstToldSpread
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
	if before := w.calm; (before == 0) != (every == 0) {
		w.due = time.Now().Add(jitter(max(every, w.endpoint.HealthInterval)))
	}
	w.calm = every
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
	if soon := w.last.Add(jitter(w.endpoint.HealthInterval)); soon.Before(w.due) {
		w.due = soon
	}
	m.mu.Unlock()
	m.wake()
}

func withHealthDefaults(e Endpoint) Endpoint {
	defaults.Set(&e.HealthInterval, defaultHealthInterval)
	defaults.Set(&e.HealthTimeout, defaultHealthTimeout)
	return e
}

func (m *Monitor) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// schedule hands each target that is due to a worker.
func (m *Monitor) schedule() error {
	for {
		w, wait := m.next(time.Now())
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
		case <-m.kick:
		case <-m.tomb.Dying():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// next marks the target that has been due for longest as being read and returns
// it, or returns the time until one is due.
func (m *Monitor) next(now time.Time) (*watched, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first *watched
	for _, w := range m.targets {
		if !w.reading && (first == nil || w.due.Before(first.due)) {
			first = w
		}
	}
	if first == nil {
		return nil, idleKeeper
	}
	if wait := first.due.Sub(now); wait > 0 {
		return nil, wait
	}
	first.reading = true
	return first, 0
}

// readAll is a worker.
func (m *Monitor) readAll() error {
	for {
		select {
		case w := <-m.work:
			m.read(w)
		case <-m.tomb.Dying():
			return nil
		}
	}
}

// read reads one status, within the endpoint's timeout, and tells the sink.
func (m *Monitor) read(w *watched) {
	m.mu.Lock()
	e := w.endpoint
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), e.HealthTimeout)
	status, err := m.opts.Reader.Status(ctx, e.Name)
	cancel()
	if !m.finished(w) {
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

// finished sets the time of the next read and reports whether the result of
// this one still counts.
func (m *Monitor) finished(w *watched) bool {
	m.mu.Lock()
	w.reading = false
	w.last = time.Now()
	w.due = w.last.Add(jitter(max(w.calm, w.endpoint.HealthInterval)))
	counts := !w.gone
	m.mu.Unlock()
	m.wake()
	return counts && m.tomb.Alive()
}
