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

// readyTimeout bounds each wait until all daemons return complete answers.
const readyTimeout = 60 * time.Second

// deployment holds the running processes of a Shape: the platform, the targets, the fault
// proxies and the daemons.
type deployment struct {
	shape    Shape
	fleet    *fleet.Fleet
	daemons  []*fleet.Daemon
	groups   []*serviceTargets // by service, in the order of the shape
	expected *expectedAnswers  // content of the correct answers to the queries
}

// serviceTargets holds the targets of one service and the index that they serve.
type serviceTargets struct {
	Service
	index           targetsim.Index // index whose shards the targets hold; replaced at the end of an index switch
	targets         []*fleet.Target
	proxies         []*fleet.Proxy                // by target; nil for a target without a proxy
	stoppedCounters map[string]targetsim.Counters // final counters of stopped processes, by incarnation
}

// startDeployment starts all processes, rolls out a bundle and waits until every
// daemon returns complete answers. On an error it stops all processes.
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

// close kills all processes.
func (d *deployment) close() { d.fleet.Close() }

// startAll starts all processes, rolls out a bundle and waits until every daemon returns
// complete answers. On an error it leaves the processes running.
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

// startTargets starts the targets of a service, and a fault proxy in front of one in
// proxyEvery of them.
func (d *deployment) startTargets(svc Service) (*serviceTargets, error) {
	g := &serviceTargets{Service: svc, index: svc.index(1, svc.Shards), stoppedCounters: map[string]targetsim.Counters{}}
	d.expected.addIndex(g.index)
	for i, placement := range targetsim.PlaceReplicas(g.index, svc.Targets, svc.Leaves, svc.Replicas) {
		t, err := d.fleet.StartTarget(svc.targetOptions(i, d.shape.healthyTiming(), placement))
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

// bundleService returns the service of g as the bundle lists it. A target behind a fault
// proxy has the proxy's address there.
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

// startDaemons starts the daemons, spread over the availability zones, and puts them on the
// platform's list of VMs.
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

// callerAddresses returns the daemons' addresses for callers.
func (d *deployment) callerAddresses() []string {
	var out []string
	for _, daemon := range d.daemons {
		out = append(out, daemon.Callers)
	}
	return out
}

// waitComplete waits until each daemon has returned two complete answers in a row
// for every service. It returns an error if that takes longer than readyTimeout.
func (d *deployment) waitComplete(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	l := newLoader(d.callerAddresses(), 0, d.expected)
	defer l.client.CloseIdleConnections()
	for _, daemon := range d.daemons {
		for _, g := range d.groups {
			for consecutive := 0; consecutive < 2; {
				sample := d.probe(ctx, l, daemon.Callers, g.Service)
				if sample.Complete == 1 {
					consecutive++
					continue
				}
				consecutive = 0
				if ctx.Err() != nil {
					return errors.Errorf("%s returns no complete answer for service %s: result codes %v", daemon.Name, g.Name, sample.Codes)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

// probe sends one query under the adaptive policy to a daemon, given by its address for
// callers. It returns a Sample of just that query.
func (d *deployment) probe(ctx context.Context, l *loader, daemon string, svc Service) *Sample {
	s := stream{service: svc, sample: newSample()}
	l.sendQuery(ctx, s, adaptivePolicy, daemon, 0, time.Now())
	return s.sample
}

// restartTarget starts target i of a service again after it has stopped. The target gets
// its old address and its part of the current index. It is cold, which means slow, for
// coldMS milliseconds.
func (d *deployment) restartTarget(g *serviceTargets, i int, coldMS int) error {
	opts := g.targets[i].Options
	opts.Listen = g.targets[i].Address
	opts.ColdMS = coldMS
	// PlaceReplicas returns one placement per target. The slice keeps only that of
	// target i, so the loop runs once.
	for _, placement := range targetsim.PlaceReplicas(g.index, g.Targets, g.Leaves, g.Replicas)[i : i+1] {
		opts.Snapshots = []targetsim.SnapshotPlacement{placement}
	}
	t, err := d.fleet.StartTarget(opts)
	if err != nil {
		return errors.Trace(err)
	}
	g.targets[i] = t
	return nil
}

// usage adds up the counters of one service's targets since their start.
type usage struct {
	searches           int // leaf calls started
	connections        int // connections accepted
	refusedConnections int // connections closed immediately because of the target's limit
	peakConnections    int // highest number of connections that one target had open at the same time
}

// minus returns the usage since the time at which before was read. Its peakConnections is
// still that since the targets' start.
func (u usage) minus(before usage) usage {
	return usage{
		searches: u.searches - before.searches, connections: u.connections - before.connections,
		refusedConnections: u.refusedConnections - before.refusedConnections, peakConnections: u.peakConnections,
	}
}

// plus returns the usage of two windows together. Its peakConnections is the higher of the
// two.
func (u usage) plus(other usage) usage {
	return usage{
		searches: u.searches + other.searches, connections: u.connections + other.connections,
		refusedConnections: u.refusedConnections + other.refusedConnections, peakConnections: max(u.peakConnections, other.peakConnections),
	}
}

// usage adds up the counters of the service's targets since their start. It includes the
// processes that have stopped, whose counters saveCounters kept. Otherwise the sum would
// decrease when a target is restarted.
func (g *serviceTargets) usage() usage {
	var u usage
	for _, c := range g.stoppedCounters {
		u.addCounters(c)
	}
	for _, t := range g.targets {
		if c, err := t.Counters(); err == nil { // a stopped target's counters are in stoppedCounters
			u.addCounters(c)
		}
	}
	return u
}

// addCounters adds the counters of one target.
func (u *usage) addCounters(c targetsim.Counters) {
	u.searches += c.Searches
	u.connections += c.Connections.Total
	u.refusedConnections += c.Connections.Refused
	u.peakConnections = max(u.peakConnections, c.Connections.Peak)
}

// saveCounters keeps the counters of a target that is about to stop in stoppedCounters,
// since they can't be read afterwards.
func (g *serviceTargets) saveCounters(t *fleet.Target) {
	if c, err := t.Counters(); err == nil {
		g.stoppedCounters[c.Incarnation] = c
	}
}

// daemonCPU returns the processor time that all daemons together have used since their
// start.
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

// loadAverage returns the machine's load average of the last minute, or "unknown" if it
// can't be read. The benchmark reports it because other work on the machine raises every
// latency.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// cpuTime returns the processor time, user and system, that a process has used since its
// start.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	const (
		nameEnd             = ") " // ends the name, which is in parentheses and may contain spaces
		userTimeField       = 11   // index of the user time among the fields after the name
		clockTicksPerSecond = 100  // the file gives times in units of 1/100 s
		fieldCount          = 13   // fields up to the system time, which follows the user time
	)
	_, afterComm, _ := strings.Cut(string(data), nameEnd)
	fields := strings.Fields(afterComm)
	if len(fields) < fieldCount {
		return 0, errors.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var ticks int64
	for _, f := range fields[userTimeField:fieldCount] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, errors.Trace(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}
