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

// Options of a run.
type Options struct {
	Daemon    string   // path of bramleyd
	Lab       string   // path of bramley-lab
	Shapes    []string // names; all if empty
	Scenarios []string // names; all if empty
	Window    time.Duration
	Rounds    int
	Seed      uint64
	Slowdown  int // of service times and time limits
	Out       io.Writer
	Progress  io.Writer
}

// windowPause is the pause after a window, for what it started to end.
const windowPause = 1500 * time.Millisecond

// Result is what one policy came to in one scenario.
type Result struct {
	Scenario  string
	Policy    string
	Rows      []*Row // by service
	DaemonCPU time.Duration
	LoadAvg   string // of the machine, over the last minute, after the last window
}

// Row is one line of the table.
type Row struct {
	Service Service
	Sample  *Sample
	P99s    []float64 // of each window, in milliseconds
	usage   usage
	phases  phases
}

// Run measures each shape and prints its table.
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

func selected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

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
	for _, policy := range []string{adaptivePolicy, plainPolicy} { // warm up, not counted
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

// comparePolicies runs the policies in turn, each with the same arrivals; who is first
// changes with each round.
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

func (d *deployment) newResult(scenario, policy string) *Result {
	r := &Result{Scenario: scenario, Policy: policy}
	for _, g := range d.groups {
		r.Rows = append(r.Rows, &Row{Service: g.Service, Sample: newSample(), phases: phases{}})
	}
	return r
}

// measureWindow measures one policy for one measureWindow and adds to its result.
func measureWindow(ctx context.Context, o Options, d *deployment, l *loader, s Scenario, r *Result, round int) error {
	if s.Begin != nil {
		if err := s.Begin(d); err != nil {
			return errors.Trace(err)
		}
	}
	if s.Warmup > 0 {
		usual := s
		usual.Load = normalLoad
		l.run(ctx, d.streams(usual), r.Policy, s.Warmup, o.Seed)
	}
	before, err := d.readTotals()
	if err != nil {
		return err
	}
	streams := d.streams(s)
	if err := runLoad(ctx, o, d, l, s, streams, r.Policy, round); err != nil {
		return err
	}
	sleep(ctx, windowPause/3)
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

// runLoad drives the load for one window while the scenario acts.
func runLoad(ctx context.Context, o Options, d *deployment, l *loader, s Scenario, streams []stream, policy string, round int) error {
	acted := make(chan error, 1)
	go func() {
		if s.During == nil {
			acted <- nil
			return
		}
		acted <- s.During(ctx, d, o.Window, round)
	}()
	l.run(ctx, streams, policy, o.Window, o.Seed+uint64(round))
	return errors.Trace(<-acted)
}

// totals is what has been spent so far, by service in the order of the shape.
type totals struct {
	usage     []usage
	phases    []phases
	daemonCPU time.Duration
}

func (d *deployment) readTotals() (totals, error) {
	var m totals
	for _, g := range d.groups {
		m.usage = append(m.usage, g.usage())
		spent, err := d.readPhases(g.Name)
		if err != nil {
			return m, err
		}
		m.phases = append(m.phases, spent)
	}
	cpu, err := d.daemonCPU()
	m.daemonCPU = cpu
	return m, errors.Trace(err)
}

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

func (d *deployment) streams(s Scenario) []stream {
	var out []stream
	for _, g := range d.groups {
		out = append(out, stream{service: g.Service, rate: g.capacity(s.serviceTimeMS()*float64(d.shape.slowdown)) * s.Load, sample: newSample()})
	}
	return out
}
