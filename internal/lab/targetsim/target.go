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

// Target is a running simulated target. Create it with Start. Its methods are safe for concurrent
// use.
type Target struct {
	opts        Options
	incarnation string
	leaves      []*leaf
	recorder    requestRecorder
	listener    *limitListener
	control     net.Listener // of the control endpoint
	tomb        tomb.Tomb

	mu          sync.Mutex // guards the fields below; never held together with a leaf's or the recorder's mutex
	faults      Faults
	timing      Timing
	placements  []SnapshotPlacement
	coldUntil   time.Time // when StateStarting ends
	draining    bool
	submitHold  chan struct{} // closed when held answers to submits may be sent; nil if answers are not held
	reported    reportedStatus
	lastAnswers []*target.LeafAnswer // by leaf: the last answer to a search, as it was before MismatchedAnswers replaced it
}

// reportedStatus is what Status reports in place of the current state and loads during
// Faults.StateLagMS and Faults.LoadLagMS.
type reportedStatus struct {
	state        target.State // before the last call of SetDraining
	stateChanged time.Time    // when SetDraining was last called
	loads        []float64    // by leaf
	loadsSampled time.Time    // when loads was set
}

// Start opens the listeners and returns a target that serves until Close.
func Start(opts Options) (*Target, error) {
	opts = opts.withDefaults()
	if err := validatePlacements(opts.Snapshots, opts.Leaves); err != nil {
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
			Listener: listener, maxConns: opts.MaxConnections, acceptDelay: milliseconds(opts.ConnectCostMS),
		},
		control:     control,
		timing:      opts.Timing,
		placements:  opts.Snapshots,
		coldUntil:   time.Now().Add(time.Duration(opts.ColdMS) * time.Millisecond),
		lastAnswers: make([]*target.LeafAnswer, opts.Leaves),
	}
	for i := range opts.Leaves {
		t.leaves = append(t.leaves, newLeaf(opts.Slots, opts.MaxQueued, opts.Seed, i))
	}
	t.tomb.Go(func() error {
		t.serve(t.listener, t.handler())
		t.serve(t.control, t.controlHandler())
		return nil
	})
	return t, nil
}

// Address returns the IP and port where the target serves.
func (t *Target) Address() string { return t.listener.Addr().String() }

// ControlAddress returns the IP and port of the control endpoint.
func (t *Target) ControlAddress() string { return t.control.Addr().String() }

// Incarnation returns a random name that is new at each start of the target.
func (t *Target) Incarnation() string { return t.incarnation }

// Close closes every connection and waits for the servers to stop.
func (t *Target) Close() error {
	t.tomb.Kill(nil)
	return t.tomb.Wait()
}

// DrainAndClose drains for Options.DrainMS and then calls Close.
func (t *Target) DrainAndClose() error {
	t.SetDraining(true)
	time.Sleep(time.Duration(t.opts.DrainMS) * time.Millisecond)
	return t.Close()
}

// serve starts an HTTP/1.1 and HTTP/2 server without TLS that runs until Close.
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

// SetFaults replaces the faults. If f.HoldSubmits is false, the held answers to submits are sent.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	if !f.HoldSubmits && t.submitHold != nil {
		close(t.submitHold)
		t.submitHold = nil
	}
	if f.HoldSubmits && t.submitHold == nil {
		t.submitHold = make(chan struct{})
	}
}

// SetTiming replaces the distribution of service times.
func (t *Target) SetTiming(timing Timing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timing = timing
}

// SetSnapshots replaces the shards that the leaves hold. It returns an error if a placement is
// invalid, and fills in an empty Service of placements from Options.Service.
func (t *Target) SetSnapshots(placements []SnapshotPlacement) error {
	for i := range placements {
		if placements[i].Service == "" {
			placements[i].Service = t.opts.Service
		}
	}
	if err := validatePlacements(placements, t.opts.Leaves); err != nil {
		return errors.Trace(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.placements = placements
	return nil
}

// SetDraining makes the target drain, which means that it refuses new requests, or ends its drain.
func (t *Target) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported.state = t.currentState(time.Now())
	t.reported.stateChanged = time.Now()
	t.draining = draining
}

// Ran returns the requests that the leaves started to run.
func (t *Target) Ran() StartedRequests { return t.recorder.startedRequests() }

// Counters returns the counts since the start of the target.
func (t *Target) Counters() Counters {
	c := t.recorder.counters()
	c.Connections = t.listener.counts()
	c.Incarnation = t.incarnation
	for _, l := range t.leaves {
		l.mu.Lock()
		c.PeakRunning = max(c.PeakRunning, l.peakRunning)
		l.mu.Unlock()
	}
	return c
}

// Status returns the status that the target reports. It can be out of date or state a wrong load, as
// the faults require.
func (t *Target) Status() target.Status {
	loads := make([]float64, len(t.leaves))
	for i, l := range t.leaves {
		loads[i] = float64(l.load())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	lag := time.Duration(t.faults.LoadLagMS) * time.Millisecond
	if t.reported.loads == nil || now.Sub(t.reported.loadsSampled) >= lag {
		t.reported.loads, t.reported.loadsSampled = loads, now
	}
	status := target.Status{Target: t.opts.Name, Incarnation: t.incarnation, State: t.currentState(now)}
	if now.Sub(t.reported.stateChanged) < time.Duration(t.faults.StateLagMS)*time.Millisecond {
		status.State = t.reported.state
	}
	for i := range t.leaves {
		load := t.reported.loads[i]
		if t.faults.ReportedLoad != nil {
			load = *t.faults.ReportedLoad
		}
		status.Leaves = append(status.Leaves, target.LeafStatus{
			Leaf: i, Load: load, Holdings: holdings(t.placements, i),
		})
	}
	return status
}

// currentState returns the true state, whatever the faults are. The caller must hold mu.
func (t *Target) currentState(now time.Time) target.State {
	switch {
	case t.draining:
		return target.StateDraining
	case now.Before(t.coldUntil):
		return target.StateStarting
	default:
		return target.StateServing
	}
}
