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
	// Status reads the status of the target with the given name.
	Status(ctx context.Context, target string) (Status, error)
}

// MonitorOptions configure a Monitor. Reader and Sink are required.
type MonitorOptions struct {
	Log     *slog.Logger // discards all if nil
	Reader  StatusReader
	Sink    Sink
	Workers int // limit of concurrent status reads; 0 means 16
}

// defaultMonitorWorkers is the default of MonitorOptions.Workers, the number of concurrent
// status reads.
const defaultMonitorWorkers = 16

// Defaults of the fields that an Endpoint leaves unset.
const (
	defaultHealthInterval = time.Second            // time between status reads of one endpoint
	defaultHealthTimeout  = 500 * time.Millisecond // time after which one status read fails
)

// Monitor regularly reads the status of each endpoint, at the interval that the Endpoint
// states, and passes the results to the Sink. A pool of workers does the reads; reads of one
// endpoint never overlap. Apply, SetReadInterval and ReadSoon are safe for concurrent use.
type Monitor struct {
	opts   MonitorOptions
	tomb   tomb.Tomb
	work   chan *polledEndpoint // endpoints that are due, for the workers
	wakeup chan struct{}        // wakes the scheduler

	mu      sync.Mutex                 // guards the fields below and those of each polledEndpoint
	targets map[string]*polledEndpoint // the endpoints in force, by target name
}

// polledEndpoint is an endpoint whose status is read.
type polledEndpoint struct {
	endpoint     Endpoint
	nextRead     time.Time     // when the next read is due
	lastRead     time.Time     // end of the last read
	readInterval time.Duration // least interval between reads while other VMs report the target; 0 if they don't
	reading      bool          // a worker is reading it, or is about to
	removed      bool          // no longer in force; the result of a read in progress is dropped
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

// Start begins to read the status of each endpoint in force. It must be called at most once.
func (m *Monitor) Start() {
	m.tomb.Go(m.schedule)
	for range m.opts.Workers {
		m.tomb.Go(m.runWorker)
	}
}

// Stop cancels the reads and waits until they have ended.
func (m *Monitor) Stop() error {
	m.tomb.Kill(nil)
	return errors.Trace(m.tomb.Wait())
}

// Apply puts the endpoints in force. New ones are read after a short random delay.
// Endpoints of whose connections this VM has no share are read too, because the Reader
// may reach them through another VM. Their first reads are delayed longer, so that
// reports from other VMs can make these reads unnecessary; see SetReadInterval.
func (m *Monitor) Apply(endpoints []Endpoint) {
	m.mu.Lock()
	old := m.targets
	m.targets = make(map[string]*polledEndpoint, len(endpoints))
	now := time.Now()
	for _, e := range endpoints {
		p := old[e.Name]
		if p == nil || p.endpoint.Address != e.Address {
			p = &polledEndpoint{nextRead: now.Add(jitter(firstReadDelay(e)))}
		}
		p.endpoint = withHealthDefaults(e)
		// This VM has gained a share of connections and no longer relies on reports.
		if e.Connections > 0 && p.readInterval > 0 {
			p.readInterval = 0
			p.nextRead = now.Add(jitter(meanFirstReadDelay))
		}
		m.targets[e.Name] = p
	}
	for name, p := range old {
		// True if the endpoint is no longer in force, or has a new address.
		p.removed = m.targets[name] != p
	}
	m.mu.Unlock()
	m.wake()
}

const (
	// meanFirstReadDelay is the mean delay of the first read of an endpoint. The jitter
	// around it keeps the first reads of all endpoints from starting at the same time.
	meanFirstReadDelay = 20 * time.Millisecond
	// meanFirstReadDelayNoShare is the mean delay of the first read of an endpoint of
	// whose connections this VM has no share. It leaves other VMs time to report the
	// target's state.
	meanFirstReadDelayNoShare = 400 * time.Millisecond
)

// firstReadDelay returns the mean delay of the first read of an endpoint.
func firstReadDelay(e Endpoint) time.Duration {
	if e.Connections > 0 {
		return meanFirstReadDelay
	}
	return meanFirstReadDelayNoShare
}

// SetReadInterval sets a longer interval between reads of a target, because another
// VM has just reported the target's state. An interval of 0 means the health
// interval again. SetReadInterval has no effect on a target that this VM has
// connections to.
func (m *Monitor) SetReadInterval(name string, interval time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.targets[name]
	if p == nil || p.endpoint.Connections > 0 {
		return
	}
	// Reports of other VMs have begun or ended, so the next read is scheduled again.
	if previous := p.readInterval; (previous == 0) != (interval == 0) {
		p.nextRead = time.Now().Add(jitter(max(interval, p.endpoint.HealthInterval)))
	}
	p.readInterval = interval
}

// ReadSoon schedules the next read of a target one health interval, with jitter, after the
// end of the last one, unless it is due earlier. It is for a target whose known state may
// be out of date, because the error of a call to the target contradicts that state.
// ReadSoon has no effect while a read of the target is in progress.
func (m *Monitor) ReadSoon(name string) {
	m.mu.Lock()
	p := m.targets[name]
	if p == nil || p.reading {
		m.mu.Unlock()
		return
	}
	if earliest := p.lastRead.Add(jitter(p.endpoint.HealthInterval)); earliest.Before(p.nextRead) {
		p.nextRead = earliest
	}
	m.mu.Unlock()
	m.wake()
}

// withHealthDefaults returns e with the defaults of its health interval and timeout, if unset.
func withHealthDefaults(e Endpoint) Endpoint {
	defaults.SetIfZero(&e.HealthInterval, defaultHealthInterval)
	defaults.SetIfZero(&e.HealthTimeout, defaultHealthTimeout)
	return e
}

// wake makes the scheduler look again for endpoints that are due. It never blocks.
func (m *Monitor) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// schedule passes each endpoint that is due to a worker.
func (m *Monitor) schedule() error {
	for {
		p, wait := m.nextDue(time.Now())
		if p != nil {
			select {
			case m.work <- p:
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

// nextDue marks the endpoint that has been due for longest as being read and returns
// it. If none is due, it returns nil and the time until one is.
func (m *Monitor) nextDue(now time.Time) (*polledEndpoint, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first *polledEndpoint
	for _, p := range m.targets {
		if !p.reading && (first == nil || p.nextRead.Before(first.nextRead)) {
			first = p
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

// runWorker reads the endpoints that schedule passes on, until the Monitor stops.
func (m *Monitor) runWorker() error {
	for {
		select {
		case p := <-m.work:
			m.readStatus(p)
		case <-m.tomb.Dying():
			return nil
		}
	}
}

// readStatus reads one status, within the endpoint's timeout, and passes the result
// to the Sink.
func (m *Monitor) readStatus(p *polledEndpoint) {
	m.mu.Lock()
	e := p.endpoint
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), e.HealthTimeout)
	status, err := m.opts.Reader.Status(ctx, e.Name)
	cancel()
	if !m.finishRead(p) {
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

// finishRead records the end of a read and sets the time of the next one. It returns false
// if the result must be dropped, because the endpoint is no longer in force or the Monitor
// is stopping.
func (m *Monitor) finishRead(p *polledEndpoint) bool {
	m.mu.Lock()
	p.reading = false
	p.lastRead = time.Now()
	p.nextRead = p.lastRead.Add(jitter(max(p.readInterval, p.endpoint.HealthInterval)))
	valid := !p.removed
	m.mu.Unlock()
	m.wake()
	return valid && m.tomb.Alive()
}
