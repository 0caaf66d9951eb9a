package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
)

// Options configure a run of the benchmark.
type Options struct {
	Daemon    string        // path of bramleyd
	Lab       string        // path of bramley-lab
	Shapes    []string      // names; all if empty
	Scenarios []string      // names; all if empty
	Window    time.Duration // length of a window, which is one measurement
	Rounds    int           // number of windows for each scenario and policy
	Seed      uint64        // seed of the random arrivals and queries
	Slowdown  int           // factor on service times and time limits; less than 1 means 1
	Out       io.Writer     // for the tables
	Progress  io.Writer     // for a line at the start of each scenario
}

// windowPause is the pause between two windows (measurements). Requests that started in
// the earlier window, such as late leaf calls, can complete during the pause.
const windowPause = 1500 * time.Millisecond

// Result holds the results of one policy in one scenario.
type Result struct {
	Scenario  string
	Policy    string
	Rows      []*Row        // by service, in the order of the shape
	DaemonCPU time.Duration // processor time of all daemons in the windows
	LoadAvg   string        // load average of the machine over one minute, read after the last window
}

// Row holds the results of one service in a Result; it is one line of the table.
type Row struct {
	Service Service
	Sample  *Sample
	P99s    []float64 // 99th percentile of each window, in milliseconds
	usage   usage
	phases  phases
}

// Run measures the selected shapes one after another and prints a table for each.
func Run(ctx context.Context, o Options) error {
	fmt.Fprintf(o.Out, "%d processors, %s; windows of %v, %d rounds for each policy in turn, seed %d, service time %d ms\n",
		runtime.NumCPU(), runtime.Version(), o.Window, o.Rounds, o.Seed, baseServiceMS*max(o.Slowdown, 1))
	for _, shape := range Shapes {
		if !selected(o.Shapes, shape.Name) {
			continue
		}
		shape = shape.slowed(max(o.Slowdown, 1))
		results, err := measureShape(ctx, o, shape)
		if err != nil {
			return errors.Annotate(err, shape.Name)
		}
		printTable(o.Out, shape, results)
	}
	return nil
}

// selected reports whether names contains name or is empty, which selects all.
func selected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

// measureShape starts the deployment of a shape, measures the selected scenarios in it and
// stops it. It returns two results per scenario, as comparePolicies does.
func measureShape(ctx context.Context, o Options, shape Shape) ([]*Result, error) {
	dir, err := os.MkdirTemp("", "bramley-bench-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	d, err := startDeployment(ctx, shape, fleet.Options{Daemon: o.Daemon, Lab: o.Lab, Dir: dir, Deployment: shape.Name})
	if err != nil {
		return nil, err
	}
	defer d.close()
	l := newLoader(d.callerAddresses(), time.Duration(shape.TimeLimitMS)*time.Millisecond, d.expected)
	defer l.client.CloseIdleConnections()
	for _, policy := range []string{adaptivePolicy, plainPolicy} { // warm-up, not counted
		l.run(ctx, d.streams(Scenarios[0]), policy, o.Window, o.Seed)
	}
	var results []*Result
	for _, s := range Scenarios {
		if !selected(o.Scenarios, s.Name) {
			continue
		}
		fmt.Fprintf(o.Progress, "%s: %s\n", shape.Name, s.Name)
		pair, err := comparePolicies(ctx, o, d, l, s)
		if err != nil {
			return nil, errors.Annotatef(err, "%s, logs:\n%s", s.Name, d.fleet.Logs(3))
		}
		results = append(results, pair...)
	}
	return results, nil
}

// comparePolicies measures both policies in a scenario. In each round the policies run one
// after the other with the same arrivals; which one runs first alternates between rounds.
// It returns the adaptive policy's result, then the plain one's.
func comparePolicies(ctx context.Context, o Options, d *deployment, l *loader, s Scenario) ([]*Result, error) {
	results := []*Result{d.newResult(s.Name, adaptivePolicy), d.newResult(s.Name, plainPolicy)}
	for round := range o.Rounds {
		for k := range results {
			r := results[(round+k)%len(results)]
			if err := measureWindow(ctx, o, d, l, s, r, round); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
	return results, nil
}

// newResult returns a Result with an empty row for each service.
func (d *deployment) newResult(scenario, policy string) *Result {
	r := &Result{Scenario: scenario, Policy: policy}
	for _, g := range d.groups {
		r.Rows = append(r.Rows, &Row{Service: g.Service, Sample: newSample(), phases: phases{}})
	}
	return r
}

// measureWindow measures one policy for one window in a scenario and adds the measurement
// to r, the result of that policy. Round counts the windows of the scenario and policy
// from 0. measureWindow returns once all daemons return complete answers again.
func measureWindow(ctx context.Context, o Options, d *deployment, l *loader, s Scenario, r *Result, round int) error {
	if s.Begin != nil {
		if err := s.Begin(d); err != nil {
			return errors.Trace(err)
		}
	}
	if s.Warmup > 0 {
		normal := s
		normal.Load = normalLoad
		l.run(ctx, d.streams(normal), r.Policy, s.Warmup, o.Seed)
	}
	before, err := d.readTotals()
	if err != nil {
		return err
	}
	streams := d.streams(s)
	if err := runLoad(ctx, o, d, l, s, streams, r.Policy, round); err != nil {
		return err
	}
	sleep(ctx, windowPause/3) // late leaf calls that end within it count in the window
	after, err := d.readTotals()
	if err != nil {
		return err
	}
	r.add(streams, before, after)
	if s.End != nil {
		if err := s.End(d); err != nil {
			return errors.Trace(err)
		}
	}
	if err := d.waitComplete(ctx); err != nil {
		return errors.Trace(err)
	}
	sleep(ctx, windowPause)
	return nil
}

// runLoad generates the load of one window while the scenario's During runs. It waits for
// both and returns the error of During.
func runLoad(ctx context.Context, o Options, d *deployment, l *loader, s Scenario, streams []stream, policy string, round int) error {
	duringErr := make(chan error, 1)
	go func() {
		if s.During == nil {
			duringErr <- nil
			return
		}
		duringErr <- s.During(ctx, d, o.Window, round)
	}()
	l.run(ctx, streams, policy, o.Window, o.Seed+uint64(round))
	return errors.Trace(<-duringErr)
}

// totals holds the counters of the targets and daemons since their start. The slices
// have one entry per service, in the order of the shape.
type totals struct {
	usage     []usage
	phases    []phases
	daemonCPU time.Duration // processor time of all daemons together
}

// readTotals reads the counters of all targets and daemons.
func (d *deployment) readTotals() (totals, error) {
	var t totals
	for _, g := range d.groups {
		t.usage = append(t.usage, g.usage())
		phases, err := d.readPhases(g.Name)
		if err != nil {
			return t, err
		}
		t.phases = append(t.phases, phases)
	}
	cpu, err := d.daemonCPU()
	t.daemonCPU = cpu
	return t, errors.Trace(err)
}

// add adds the samples of one window and the increase of the counters in the window, from
// before to after.
func (r *Result) add(streams []stream, before, after totals) {
	for i, row := range r.Rows {
		row.Sample.add(streams[i].sample)
		row.P99s = append(row.P99s, streams[i].sample.quantileMS(99))
		row.usage = row.usage.plus(after.usage[i].minus(before.usage[i]))
		row.phases.addDelta(before.phases[i], after.phases[i])
	}
	r.DaemonCPU += after.daemonCPU - before.daemonCPU
	r.LoadAvg = loadAverage()
}

// streams returns one stream per service with the scenario's load.
func (d *deployment) streams(s Scenario) []stream {
	var out []stream
	for _, g := range d.groups {
		out = append(out, stream{service: g.Service, rate: g.capacity(s.serviceTimeMS()*float64(d.shape.slowdown)) * s.Load, sample: newSample()})
	}
	return out
}
