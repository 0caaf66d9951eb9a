package bench

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
)

// Scenario is a state of the deployment under which the policies are compared.
type Scenario struct {
	Name string
	// Load is the rate of queries as a part of the capacity.
	Load float64
	// ServiceMS is the mean service time if not baseMS.
	ServiceMS float64
	// LeadIn is how long the usual load runs in the state before each window,
	// uncounted: in life, too, targets are seen at ease before they are overrun.
	LeadIn time.Duration
	// Begin brings the state about before a window.
	Begin func(d *deployment) error
	// During acts while the load runs, and ends within the window.
	During func(ctx context.Context, d *deployment, window time.Duration, round int) error
	// End undoes it all after a window.
	End func(d *deployment) error
}

// Stragglers: one leaf call in a hundred takes twenty times as long.
const (
	stragglerProb   = 0.01
	stragglerFactor = 20
	overloadMS      = 16 // service time at and above the capacity, which bounds the calls a second
	busyLoad        = 0.7
	shownLoad       = 20 // reported by every other target, which runs far less
	overloadLeadIn  = 5 * time.Second
	rollingShare    = 4 // one target in so many is restarted in a window
	repartitionBy   = 5 // shards more, in every other index switch
)

// Scenarios lists them in the order of the table.
var Scenarios = []Scenario{
	{Name: "healthy", Load: normalLoad},
	{
		Name: "stragglers", Load: normalLoad,
		Begin: func(d *deployment) error {
			t := d.shape.healthyTiming()
			t.StragglerProb, t.StragglerFactor = stragglerProb, stragglerFactor
			return d.setTiming(t)
		},
		End: speedUp,
	},
	{
		Name: "one slow target", Load: normalLoad,
		Begin: func(d *deployment) error {
			t := d.shape.healthyTiming()
			const slower = 5
			t.BaseMS *= slower
			return d.groups[0].targets[1].SetTiming(t)
		},
		End: speedUp,
	},
	{Name: "replica lost", Load: normalLoad, During: loseReplica, End: restoreReplica},
	{Name: "rolling restart", Load: normalLoad, During: rollingRestart},
	{Name: "silent connections", Load: normalLoad, During: silence},
	{Name: "index switch", Load: normalLoad, During: switchIndex},
	{Name: "load misreported", Load: busyLoad, ServiceMS: overloadMS, Begin: misreport, End: reportTruly},
	{Name: "at capacity", Load: 1, ServiceMS: overloadMS, LeadIn: overloadLeadIn, Begin: slowDown, End: speedUp},
	{Name: "twice the capacity", Load: 2, ServiceMS: overloadMS, LeadIn: overloadLeadIn, Begin: slowDown, End: speedUp},
}

func (s Scenario) serviceMS() float64 {
	if s.ServiceMS == 0 {
		return baseMS
	}
	return s.ServiceMS
}

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

func slowDown(d *deployment) error {
	t := d.shape.healthyTiming()
	t.BaseMS *= overloadMS / baseMS
	return d.setTiming(t)
}

// misreport makes every other target show a heavy load and the others none.
func misreport(d *deployment) error {
	for _, g := range d.groups {
		for i, target := range g.targets {
			shown := float64(shownLoad * (i % 2))
			if err := target.SetFaults(targetsim.Faults{LoadShown: &shown}); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return slowDown(d)
}

func reportTruly(d *deployment) error {
	for _, g := range d.groups {
		for _, target := range g.targets {
			if err := target.SetFaults(targetsim.Faults{}); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return speedUp(d)
}

func speedUp(d *deployment) error { return d.setTiming(d.shape.healthyTiming()) }

// loseReplica kills one target a tenth into the window.
func loseReplica(ctx context.Context, d *deployment, window time.Duration, _ int) error {
	pause(ctx, window/10)
	g := d.groups[0]
	t := g.targets[1]
	g.remember(t)
	t.Kill()
	return nil
}

func restoreReplica(d *deployment) error { return d.restart(d.groups[0], 1, 0) }

// rollingRestart asks a part of the targets, one after another, to leave, and
// starts each again, cold, when it has ended. It goes through the targets of
// one availability zone, so that another replica of each shard stays.
func rollingRestart(ctx context.Context, d *deployment, window time.Duration, round int) error {
	g := d.groups[0]
	deadline := time.Now().Add(window)
	for n := range g.Targets / rollingShare {
		i := (round + 1 + n*len(d.shape.Zones)) % g.Targets
		if time.Now().Add(2 * drainMS * time.Millisecond).After(deadline) {
			return nil
		}
		t := g.targets[i]
		if err := t.Terminate(); err != nil {
			return errors.Trace(err)
		}
		pause(ctx, drainMS*time.Millisecond*9/10)
		g.remember(t)
		<-t.Done()
		if err := d.restart(g, i, coldMS); err != nil {
			return err
		}
	}
	return nil
}

// silence makes the open connections of the targets behind proxies silent, a
// tenth into the window.
func silence(ctx context.Context, d *deployment, window time.Duration, _ int) error {
	pause(ctx, window/10)
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

// switchIndex gives the targets of the first service a new snapshot, one after
// another, and then takes the old one away in the same way. Every other time
// the new one has another number of shards.
func switchIndex(ctx context.Context, d *deployment, window time.Duration, _ int) error {
	g := d.groups[0]
	seq := int(g.index.Seq) + 1
	shards := g.Shards
	if seq%4 >= 2 { // both policies meet each kind of switch
		shards += repartitionBy
	}
	next := g.Service.index(seq, shards)
	d.truths.learn(next)
	before := targetsim.Place(g.index, g.Targets, g.Leaves, g.Replicas)
	after := targetsim.Place(next, g.Targets, g.Leaves, g.Replicas)
	step := window * 4 / 10 / time.Duration(g.Targets)
	for i, t := range g.targets {
		pause(ctx, step)
		if err := t.SetSnapshots([]targetsim.Holder{before[i], after[i]}); err != nil {
			return errors.Trace(err)
		}
	}
	pause(ctx, window/10)
	for i, t := range g.targets {
		pause(ctx, step)
		if err := t.SetSnapshots([]targetsim.Holder{after[i]}); err != nil {
			return errors.Trace(err)
		}
	}
	g.index = next
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
