package bench

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// readyTimeout bounds the wait until all daemons read every shard.
const readyTimeout = 60 * time.Second

// deployment is a running Shape.
type deployment struct {
	shape    Shape
	fleet    *fleet.Fleet
	daemons  []*fleet.Daemon
	groups   []*serviceTargets
	expected *expectedAnswers
}

// serviceTargets is the targets of one service.
type serviceTargets struct {
	Service
	index           targetsim.Index
	targets         []*fleet.Target
	proxies         []*fleet.Proxy                // nil where there is none
	stoppedCounters map[string]targetsim.Counters // of ended processes, by incarnation
}

// startDeployment starts all processes and waits until they serve.
func startDeployment(ctx context.Context, shape Shape, opts fleet.Options) (*deployment, error) {
	f, err := fleet.New(opts)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &deployment{shape: shape, fleet: f, expected: newExpectedAnswers()}
	if err := d.startAll(ctx); err != nil {
		err = errors.Annotatef(err, "logs:\n%s", f.Logs(5))
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) close() { d.fleet.Close() }

func (d *deployment) startAll(ctx context.Context) error {
	if _, err := d.fleet.StartPlatform(10 * time.Second); err != nil {
		return errors.Trace(err)
	}
	b := &bundle.Bundle{Fleet: bundle.Fleet{MaxVMs: d.shape.Daemons + 1}}
	for _, zone := range d.shape.Zones {
		b.Zones = append(b.Zones, bundle.Zone{Name: zone, Region: "region"})
	}
	for _, svc := range d.shape.Services {
		g, err := d.startTargets(svc)
		if err != nil {
			return err
		}
		d.groups = append(d.groups, g)
		b.Services = append(b.Services, d.bundleService(g))
		b.Searches = append(b.Searches, svc.searches(d.shape.TimeLimitMS)...)
	}
	if err := d.startDaemons(); err != nil {
		return err
	}
	if _, err := d.fleet.RollOut(ctx, b); err != nil {
		return errors.Trace(err)
	}
	return d.waitComplete(ctx)
}

func (d *deployment) startTargets(svc Service) (*serviceTargets, error) {
	g := &serviceTargets{Service: svc, index: svc.index(1, svc.Shards), stoppedCounters: map[string]targetsim.Counters{}}
	d.expected.addIndex(g.index)
	for i, holder := range targetsim.PlaceReplicas(g.index, svc.Targets, svc.Leaves, svc.Replicas) {
		t, err := d.fleet.StartTarget(svc.targetOptions(i, d.shape.healthyTiming(), holder))
		if err != nil {
			return nil, errors.Trace(err)
		}
		var proxy *fleet.Proxy
		if i%proxyEvery == 0 {
			if proxy, err = d.fleet.StartProxy(t.Name+"-proxy", t.Address); err != nil {
				return nil, errors.Trace(err)
			}
		}
		g.targets = append(g.targets, t)
		g.proxies = append(g.proxies, proxy)
	}
	return g, nil
}

func (d *deployment) bundleService(g *serviceTargets) bundle.Service {
	svc := bundle.Service{
		Name: g.Name, Shards: g.Shards,
		Drain: bundle.Drain{HealthIntervalMS: 500, HealthTimeoutMS: 300, SuspectAfter: 3, WarmupMS: 1000},
	}
	for i, t := range g.targets {
		address := t.Address
		if g.proxies[i] != nil {
			address = g.proxies[i].Address
		}
		svc.Targets = append(svc.Targets, bundle.Target{
			Name: t.Name, Zone: d.shape.Zones[i%len(d.shape.Zones)], Address: address,
			Leaves: g.Leaves, Slots: g.Slots, Connections: g.Connections, ConnectCostMS: g.ConnectCostMS,
		})
	}
	return svc
}

func (d *deployment) startDaemons() error {
	var vms []objstore.VM
	for i := range d.shape.Daemons {
		daemon, err := d.fleet.StartDaemon(fleet.DaemonOptions{
			Name: fmt.Sprintf("vm-%d", i+1), Zone: d.shape.Zones[i%len(d.shape.Zones)], LogLevel: "warn",
		})
		if err != nil {
			return errors.Trace(err)
		}
		d.daemons = append(d.daemons, daemon)
		vms = append(vms, daemon.VM())
	}
	return errors.Trace(d.fleet.Platform().SetVMs(vms, 0))
}

// callerAddresses returns the addresses that serve callerAddresses.
func (d *deployment) callerAddresses() []string {
	var out []string
	for _, daemon := range d.daemons {
		out = append(out, daemon.Callers)
	}
	return out
}

// waitComplete waits until each daemon reads every shard of every service twice in
// a row.
func (d *deployment) waitComplete(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	l := newLoader(d.callerAddresses(), 0, d.expected)
	defer l.client.CloseIdleConnections()
	for _, daemon := range d.daemons {
		for _, g := range d.groups {
			for whole := 0; whole < 2; {
				sample := d.probe(ctx, l, daemon.Callers, g.Service)
				if sample.Complete == 1 {
					whole++
					continue
				}
				whole = 0
				if ctx.Err() != nil {
					return errors.Errorf("%s does not read all of %s: codes %v", daemon.Name, g.Name, sample.Codes)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

func (d *deployment) probe(ctx context.Context, l *loader, daemon string, svc Service) *Sample {
	s := stream{service: svc, sample: newSample()}
	l.sendQuery(ctx, s, adaptivePolicy, daemon, 0, time.Now())
	return s.sample
}

// restartTarget starts an ended target again at its address.
func (d *deployment) restartTarget(g *serviceTargets, i int, cold int) error {
	o := g.targets[i].Options
	o.Listen = g.targets[i].Address
	o.ColdMS = cold
	for _, h := range targetsim.PlaceReplicas(g.index, g.Targets, g.Leaves, g.Replicas)[i : i+1] {
		o.Snapshots = []targetsim.SnapshotPlacement{h}
	}
	t, err := d.fleet.StartTarget(o)
	if err != nil {
		return errors.Trace(err)
	}
	g.targets[i] = t
	return nil
}

// usage is what the targets of one service have spent so far.
type usage struct {
	searches           int
	connections        int
	refusedConnections int // connections that targets closed at once
	peakConnections    int // connections at one target
}

// minus returns what was spent since before; peaks stay.
func (u usage) minus(before usage) usage {
	return usage{
		searches: u.searches - before.searches, connections: u.connections - before.connections,
		refusedConnections: u.refusedConnections - before.refusedConnections, peakConnections: u.peakConnections,
	}
}

func (u usage) plus(o usage) usage {
	return usage{
		searches: u.searches + o.searches, connections: u.connections + o.connections,
		refusedConnections: u.refusedConnections + o.refusedConnections, peakConnections: max(u.peakConnections, o.peakConnections),
	}
}

// usage adds up counters. Those of a target about to be killed are kept by
// remember, so that the sum never falls.
func (g *serviceTargets) usage() usage {
	var u usage
	for _, c := range g.stoppedCounters {
		u.addCounters(c)
	}
	for _, t := range g.targets {
		if c, err := t.Counters(); err == nil { // if it is down, remember kept what it had
			u.addCounters(c)
		}
	}
	return u
}

func (u *usage) addCounters(c targetsim.Counters) {
	u.searches += c.Searches
	u.connections += c.Connections.Total
	u.refusedConnections += c.Connections.Refused
	u.peakConnections = max(u.peakConnections, c.Connections.Peak)
}

// saveCounters keeps the counters of a target that is about to end.
func (g *serviceTargets) saveCounters(t *fleet.Target) {
	if c, err := t.Counters(); err == nil {
		g.stoppedCounters[c.Incarnation] = c
	}
}

// daemonCPU is the processor time that the daemons have used.
func (d *deployment) daemonCPU() (time.Duration, error) {
	var sum time.Duration
	for _, daemon := range d.daemons {
		cpu, err := cpuTime(daemon.Pid())
		if err != nil {
			return 0, err
		}
		sum += cpu
	}
	return sum, nil
}

// loadAverage returns the machine's load of the last minute. Other work on the
// machine shows in every latency.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// cpuTime reads the processor time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	const (
		afterName  = ") "
		userField  = 11 // counted after the name
		ticksASec  = 100
		fieldCount = 13
	)
	_, rest, _ := strings.Cut(string(data), afterName)
	fields := strings.Fields(rest)
	if len(fields) < fieldCount {
		return 0, errors.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var ticks int64
	for _, f := range fields[userField:fieldCount] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, errors.Trace(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksASec, nil
}
