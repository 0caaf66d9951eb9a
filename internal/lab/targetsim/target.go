package targetsim

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/labhttp"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// Target is a running stand-in. Create it with Start.
type Target struct {
	opts        Options
	incarnation string
	leaves      []*leaf
	ledger      ledger
	listener    *limitListener
	control     net.Listener
	tomb        tomb.Tomb

	mu       sync.Mutex // guards all below; never held while a leaf's or the ledger's is taken
	faults   Faults
	timing   Timing
	holders  []Holder
	coldTill time.Time
	draining bool
	held     chan struct{} // closed when submits are no longer held
	shown    shownStatus
	last     []*target.LeafAnswer // by leaf: the last answer to a search
}

// shownStatus is what the status reports, which lags.
type shownStatus struct {
	state   target.State // before the last change of state
	changed time.Time
	loads   []float64
	sampled time.Time
}

// Start listens and serves until Close.
func Start(opts Options) (*Target, error) {
	opts = opts.withDefaults()
	if err := checkHolders(opts.Snapshots, opts.Leaves); err != nil {
		return nil, errors.Trace(err)
	}
	listener, control, err := labhttp.Listen(opts.Listen, opts.Control)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Target{
		opts:        opts,
		incarnation: rand.Text(),
		listener: &limitListener{
			Listener: listener, limit: opts.Connections, cost: milliseconds(opts.ConnectCostMS),
		},
		control:  control,
		timing:   opts.Timing,
		holders:  opts.Snapshots,
		coldTill: time.Now().Add(time.Duration(opts.ColdMS) * time.Millisecond),
		last:     make([]*target.LeafAnswer, opts.Leaves),
	}
	for i := range opts.Leaves {
		t.leaves = append(t.leaves, newLeaf(opts.Slots, opts.Queue, opts.Seed, i))
	}
	t.tomb.Go(func() error {
		t.serve(t.listener, t.handler())
		t.serve(t.control, t.controlHandler())
		return nil
	})
	return t, nil
}

// Address returns where the target serves, as IP and port.
func (t *Target) Address() string { return t.listener.Addr().String() }

// ControlAddress returns where the control endpoint serves.
func (t *Target) ControlAddress() string { return t.control.Addr().String() }

// Incarnation returns the name of this life of the target.
func (t *Target) Incarnation() string { return t.incarnation }

// Close cuts every connection and waits for the servers to end.
func (t *Target) Close() error {
	t.tomb.Kill(nil)
	return t.tomb.Wait()
}

// Leave drains for the time given in the options and then closes.
func (t *Target) Leave() error {
	t.SetDraining(true)
	time.Sleep(time.Duration(t.opts.DrainMS) * time.Millisecond)
	return t.Close()
}

// serve serves HTTP/1.1 and HTTP/2 without TLS until the tomb dies.
func (t *Target) serve(l net.Listener, h http.Handler) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{
		Handler:     h,
		Protocols:   protocols,
		IdleTimeout: time.Duration(t.opts.IdleMS) * time.Millisecond,
		HTTP2:       &http.HTTP2Config{MaxConcurrentStreams: 1000},
		BaseContext: func(net.Listener) context.Context { return t.tomb.Context(context.Background()) },
	}
	t.tomb.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Trace(err)
		}
		return nil
	})
	t.tomb.Go(func() error {
		<-t.tomb.Dying()
		return srv.Close()
	})
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	if !f.HoldSubmits && t.held != nil {
		close(t.held)
		t.held = nil
	}
	if f.HoldSubmits && t.held == nil {
		t.held = make(chan struct{})
	}
}

// SetTiming replaces the distribution of service times.
func (t *Target) SetTiming(timing Timing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timing = timing
}

// SetSnapshots replaces what the leaves hold.
func (t *Target) SetSnapshots(holders []Holder) error {
	for i := range holders {
		if holders[i].Service == "" {
			holders[i].Service = t.opts.Service
		}
	}
	if err := checkHolders(holders, t.opts.Leaves); err != nil {
		return errors.Trace(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders = holders
	return nil
}

// SetDraining makes the target leave, or stay.
func (t *Target) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shown.state = t.stateNow(time.Now())
	t.shown.changed = time.Now()
	t.draining = draining
}

// Ran returns what was really started.
func (t *Target) Ran() Ran { return t.ledger.list() }

// Counters returns the counts since the start.
func (t *Target) Counters() Counters {
	c := t.ledger.counters()
	c.Connections = t.listener.counts()
	c.Incarnation = t.incarnation
	for _, l := range t.leaves {
		l.mu.Lock()
		c.PeakRunning = max(c.PeakRunning, l.peak)
		l.mu.Unlock()
	}
	return c
}

// Status returns what the target says of itself, lag and falsehood included.
func (t *Target) Status() target.Status {
	loads := make([]float64, len(t.leaves))
	for i, l := range t.leaves {
		loads[i] = float64(l.load())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	lag := time.Duration(t.faults.LoadLagMS) * time.Millisecond
	if t.shown.loads == nil || now.Sub(t.shown.sampled) >= lag {
		t.shown.loads, t.shown.sampled = loads, now
	}
	status := target.Status{Target: t.opts.Name, Incarnation: t.incarnation, State: t.stateNow(now)}
	if now.Sub(t.shown.changed) < time.Duration(t.faults.StateLagMS)*time.Millisecond {
		status.State = t.shown.state
	}
	for i := range t.leaves {
		load := t.shown.loads[i]
		if t.faults.LoadShown != nil {
			load = *t.faults.LoadShown
		}
		status.Leaves = append(status.Leaves, target.LeafStatus{
			Leaf: i, Load: load, Holdings: holdings(t.holders, i),
		})
	}
	return status
}

// stateNow returns the true state. The caller must hold mu.
func (t *Target) stateNow(now time.Time) target.State {
	switch {
	case t.draining:
		return target.StateDraining
	case now.Before(t.coldTill):
		return target.StateStarting
	default:
		return target.StateServing
	}
}
