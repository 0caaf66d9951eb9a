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

// settle is the pause after a window, for what it started to end.
const settle = 1500 * time.Millisecond

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
		runtime.NumCPU(), runtime.Version(), o.Window, o.Rounds, o.Seed, baseMS*max(o.Slowdown, 1))
	for _, shape := range Shapes {
		if !wanted(o.Shapes, shape.Name) {
			continue
		}
		shape = shape.slowed(max(o.Slowdown, 1))
		results, err := measure(ctx, o, shape)
		if err != nil {
			return errors.Annotate(err, shape.Name)
		}
		printTable(o.Out, shape, results)
	}
	return nil
}

func wanted(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

func measure(ctx context.Context, o Options, shape Shape) ([]*Result, error) {
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
	l := newLoader(d.callers(), time.Duration(shape.TimeLimitMS)*time.Millisecond, d.truths)
	defer l.client.CloseIdleConnections()
	for _, policy := range []string{adaptive, plain} { // warm up, not counted
		l.run(ctx, d.streams(Scenarios[0]), policy, o.Window, o.Seed)
	}
	var results []*Result
	for _, s := range Scenarios {
		if !wanted(o.Scenarios, s.Name) {
			continue
		}
		fmt.Fprintf(o.Progress, "%s: %s\n", shape.Name, s.Name)
		pair, err := compare(ctx, o, d, l, s)
		if err != nil {
			return nil, errors.Annotatef(err, "%s, logs:\n%s", s.Name, d.fleet.Logs(3))
		}
		results = append(results, pair...)
	}
	return results, nil
}

// compare runs the policies in turn, each with the same arrivals; who is first
// changes with each round.
func compare(ctx context.Context, o Options, d *deployment, l *loader, s Scenario) ([]*Result, error) {
	results := []*Result{d.newResult(s.Name, adaptive), d.newResult(s.Name, plain)}
	for round := range o.Rounds {
		for k := range results {
			r := results[(round+k)%len(results)]
			if err := window(ctx, o, d, l, s, r, round); err != nil {
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

// window measures one policy for one window and adds to its result.
func window(ctx context.Context, o Options, d *deployment, l *loader, s Scenario, r *Result, round int) error {
	if s.Begin != nil {
		if err := s.Begin(d); err != nil {
			return errors.Trace(err)
		}
	}
	if s.LeadIn > 0 {
		usual := s
		usual.Load = normalLoad
		l.run(ctx, d.streams(usual), r.Policy, s.LeadIn, o.Seed)
	}
	before, err := d.meter()
	if err != nil {
		return err
	}
	streams := d.streams(s)
	if err := loadWhile(ctx, o, d, l, s, streams, r.Policy, round); err != nil {
		return err
	}
	pause(ctx, settle/3)
	after, err := d.meter()
	if err != nil {
		return err
	}
	r.add(streams, before, after)
	if s.End != nil {
		if err := s.End(d); err != nil {
			return errors.Trace(err)
		}
	}
	if err := d.waitWhole(ctx); err != nil {
		return errors.Trace(err)
	}
	pause(ctx, settle)
	return nil
}

// loadWhile drives the load for one window while the scenario acts.
func loadWhile(ctx context.Context, o Options, d *deployment, l *loader, s Scenario, streams []stream, policy string, round int) error {
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

// reading is what has been spent so far, by service in the order of the shape.
type reading struct {
	usage     []usage
	phases    []phases
	daemonCPU time.Duration
}

func (d *deployment) meter() (reading, error) {
	var m reading
	for _, g := range d.groups {
		m.usage = append(m.usage, g.usage())
		spent, err := d.phases(g.Name)
		if err != nil {
			return m, err
		}
		m.phases = append(m.phases, spent)
	}
	cpu, err := d.daemonCPU()
	m.daemonCPU = cpu
	return m, errors.Trace(err)
}

func (r *Result) add(streams []stream, before, after reading) {
	for i, row := range r.Rows {
		row.Sample.add(streams[i].sample)
		row.P99s = append(row.P99s, streams[i].sample.milliseconds(99))
		row.usage = row.usage.plus(after.usage[i].minus(before.usage[i]))
		row.phases.add(before.phases[i], after.phases[i])
	}
	r.DaemonCPU += after.daemonCPU - before.daemonCPU
	r.LoadAvg = loadAverage()
}

func (d *deployment) streams(s Scenario) []stream {
	var out []stream
	for _, g := range d.groups {
		out = append(out, stream{service: g.Service, rate: g.capacity(s.serviceMS()*float64(d.shape.slowdown)) * s.Load, sample: newSample()})
	}
	return out
}
