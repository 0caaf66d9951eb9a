package bench

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
)

// Scenario is a state of the deployment in which the policies are compared. Its
// functions may be nil.
type Scenario struct {
	Name string
	// Load is the rate of queries as a fraction of the capacity.
	Load float64
	// ServiceTimeMS is the mean service time of a leaf in milliseconds, without the
	// slowdown of the shape; 0 means baseServiceMS.
	ServiceTimeMS float64
	// Warmup is how long the normal load runs in the scenario's state before each
	// window, without being counted. It lets the daemons measure the targets under
	// normal load before an overload begins, as they do in production.
	Warmup time.Duration
	// Begin sets up the state before a window.
	Begin func(d *deployment) error
	// During runs concurrently with the load and returns within the window. Round counts
	// the windows of the scenario and policy from 0.
	During func(ctx context.Context, d *deployment, window time.Duration, round int) error
	// End restores the healthy state after a window.
	End func(d *deployment) error
}

// Parameters of the scenarios.
const (
	stragglerProb     = 0.01            // fraction of leaf calls that take stragglerFactor times as long
	stragglerFactor   = 20              // factor on the service time of a straggler
	overloadServiceMS = 16              // mean service time of a leaf in scenarios with a high load; longer than baseServiceMS to limit the calls per second
	busyLoad          = 0.7             // rate of queries, as a fraction of the capacity, while targets misreport their load
	reportedLoad      = 20              // running and queued requests that every other target reports for each of its leaves; the true number is much lower
	overloadWarmup    = 5 * time.Second // Scenario.Warmup of the scenarios with an overload
	restartDivisor    = 4               // at most one in 4 targets of a service is restarted in a window
	extraShards       = 5               // additional shards of the new snapshot in two of every four index switches
)

// Scenarios are all scenarios in the order of the table.
var Scenarios = []Scenario{
	{Name: "healthy", Load: normalLoad},
	{
		Name: "stragglers", Load: normalLoad,
		Begin: func(d *deployment) error {
			t := d.shape.healthyTiming()
			t.StragglerProb, t.StragglerFactor = stragglerProb, stragglerFactor
			return d.setTiming(t)
		},
		End: restoreTiming,
	},
	{
		Name: "one slow target", Load: normalLoad,
		Begin: func(d *deployment) error {
			t := d.shape.healthyTiming()
			const slowFactor = 5
			t.BaseMS *= slowFactor
			return d.groups[0].targets[1].SetTiming(t)
		},
		End: restoreTiming,
	},
	{Name: "replica lost", Load: normalLoad, During: killReplica, End: restoreReplica},
	{Name: "rolling restart", Load: normalLoad, During: rollingRestart},
	{Name: "silent connections", Load: normalLoad, During: silenceConnections},
	{Name: "index switch", Load: normalLoad, During: switchIndex},
	{Name: "load misreported", Load: busyLoad, ServiceTimeMS: overloadServiceMS, Begin: misreportLoad, End: restoreLoadReports},
	{Name: "at capacity", Load: 1, ServiceTimeMS: overloadServiceMS, Warmup: overloadWarmup, Begin: slowTargets, End: restoreTiming},
	{Name: "twice the capacity", Load: 2, ServiceTimeMS: overloadServiceMS, Warmup: overloadWarmup, Begin: slowTargets, End: restoreTiming},
}

// serviceTimeMS returns ServiceTimeMS, or its default if it is 0.
func (s Scenario) serviceTimeMS() float64 {
	if s.ServiceTimeMS == 0 {
		return baseServiceMS
	}
	return s.ServiceTimeMS
}

// setTiming sets the service times of all targets.
func (d *deployment) setTiming(t targetsim.Timing) error {
	for _, g := range d.groups {
		for _, target := range g.targets {
			if err := target.SetTiming(t); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// slowTargets sets the service time of all targets to overloadServiceMS times the
// slowdown of the shape.
func slowTargets(d *deployment) error {
	t := d.shape.healthyTiming()
	t.BaseMS *= overloadServiceMS / baseServiceMS
	return d.setTiming(t)
}

// misreportLoad makes every other target report a heavy load and the others none, and
// slows all targets.
func misreportLoad(d *deployment) error {
	for _, g := range d.groups {
		for i, target := range g.targets {
			reported := float64(reportedLoad * (i % 2))
			if err := target.SetFaults(targetsim.Faults{ReportedLoad: &reported}); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return slowTargets(d)
}

// restoreLoadReports makes all targets report their true load again, and restores their
// service times.
func restoreLoadReports(d *deployment) error {
	for _, g := range d.groups {
		for _, target := range g.targets {
			if err := target.SetFaults(targetsim.Faults{}); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return restoreTiming(d)
}

// restoreTiming restores the healthy service times of all targets.
func restoreTiming(d *deployment) error { return d.setTiming(d.shape.healthyTiming()) }

// killReplica kills one target of the first service after a tenth of the window.
func killReplica(ctx context.Context, d *deployment, window time.Duration, _ int) error {
	sleep(ctx, window/10)
	g := d.groups[0]
	t := g.targets[1]
	g.saveCounters(t)
	t.Kill()
	return nil
}

// restoreReplica restarts the target that killReplica killed, without a cold start.
func restoreReplica(d *deployment) error { return d.restartTarget(d.groups[0], 1, 0) }

// rollingRestart sends SIGTERM to some of the targets of the first service, one after
// another. Each target is restarted cold, which means slow, once it has exited. The targets
// restarted in one window are in one availability zone, so that another replica of each
// shard stays available.
func rollingRestart(ctx context.Context, d *deployment, window time.Duration, round int) error {
	g := d.groups[0]
	deadline := time.Now().Add(window)
	for step := range g.Targets / restartDivisor {
		i := (round + 1 + step*len(d.shape.Zones)) % g.Targets
		if time.Now().Add(2 * drainMS * time.Millisecond).After(deadline) {
			return nil
		}
		t := g.targets[i]
		if err := t.Terminate(); err != nil {
			return errors.Trace(err)
		}
		sleep(ctx, drainMS*time.Millisecond*9/10) // the counters can't be read after the target exits
		g.saveCounters(t)
		<-t.Done()
		if err := d.restartTarget(g, i, coldMS); err != nil {
			return err
		}
	}
	return nil
}

// silenceConnections makes the open connections of the targets behind proxies silent
// after a tenth of the window.
func silenceConnections(ctx context.Context, d *deployment, window time.Duration, _ int) error {
	sleep(ctx, window/10)
	for _, g := range d.groups {
		for _, proxy := range g.proxies {
			if proxy == nil {
				continue
			}
			if err := proxy.Silence(); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// switchIndex adds a new snapshot to the targets of the first service, one target after
// another, and then removes the old snapshot in the same way. In two of every four switches
// the new snapshot has extraShards more shards than the service normally has.
func switchIndex(ctx context.Context, d *deployment, window time.Duration, _ int) error {
	g := d.groups[0]
	seq := int(g.index.Seq) + 1
	shards := g.Shards
	if seq%4 >= 2 { // so that both policies are measured under each kind of switch
		shards += extraShards
	}
	next := g.Service.index(seq, shards)
	d.expected.addIndex(next)
	before := targetsim.PlaceReplicas(g.index, g.Targets, g.Leaves, g.Replicas)
	after := targetsim.PlaceReplicas(next, g.Targets, g.Leaves, g.Replicas)
	step := window * 4 / 10 / time.Duration(g.Targets)
	for i, t := range g.targets {
		sleep(ctx, step)
		if err := t.SetSnapshots([]targetsim.SnapshotPlacement{before[i], after[i]}); err != nil {
			return errors.Trace(err)
		}
	}
	sleep(ctx, window/10)
	for i, t := range g.targets {
		sleep(ctx, step)
		if err := t.SetSnapshots([]targetsim.SnapshotPlacement{after[i]}); err != nil {
			return errors.Trace(err)
		}
	}
	g.index = next
	return nil
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
