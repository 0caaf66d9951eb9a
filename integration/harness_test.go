// Package integration tests the whole path with real processes: callers, the
// daemon, targets and the platform, with fault proxies in between.
//
// A test starts a cluster, which ends with the test:
//
//	c := start(t, shape{Targets: 3, Daemons: 2})
//	answer, status, err := c.Daemons[0].Search(c.ctx, findSearch, gateway.SearchBody{Query: "well"})
//	c.expectTruth(answer, c.Index, target.KindSearch, searchBody("well"))
//
// See shape for what can be chosen and cluster for what a test may reach.
// Faults are set on c.Platform, c.Targets[i], and, when the shape asks for
// proxies, c.TargetProxies[i], c.PlatformProxies[i] and c.PeerProxies[i] (the
// last two for each daemon; see cluster.split).
package integration

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

// The searches of a test bundle.
const (
	findSearch   = "find"       // kind search
	browseSearch = "browse"     // kind browse
	fileSearch   = "file"       // kind submit
	plainSearch  = "find-plain" // kind search, with the plain policy
)

const (
	deployment = "testing"
	service    = "desk"
	zone       = "zone-a"

	// waitTimeout bounds each wait for something that is bound to happen.
	waitTimeout = 30 * time.Second
	// testTimeout bounds a test's calls.
	testTimeout = 3 * time.Minute
)

var binaries struct{ daemon, lab string }

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	defer gexec.CleanupBuildArtifacts()
	const module = "github.com/bramleybarrow/bramleybarrow/cmd/"
	for path, into := range map[string]*string{"bramleyd": &binaries.daemon, "bramley-lab": &binaries.lab} {
		built, err := gexec.Build(module + path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		*into = built
	}
	return m.Run()
}

// clusterConfig describes a cluster. A zero field stands for its default.
type clusterConfig struct {
	Targets  int // 3
	Leaves   int // of each target; 2
	Slots    int // of each leaf; 2
	Shards   int // 4
	Replicas int // of each shard; 2
	Records  int // in all shards; 200
	Daemons  int // 2

	ProxyTargets  bool // a fault proxy before each target
	ProxyPlatform bool // a fault proxy between each daemon and the platform
	ProxyPeers    bool // a fault proxy before each daemon's listener for peers

	Zones int // availability zones, over which targets and daemons alternate; 1

	WatchWait time.Duration // of the platform; 2 s
	LameDuck  time.Duration // of the daemons; none

	Target   func(i int, o *targetsim.Options) // last word on a target's options
	Bundle   func(b *bundle.Bundle)            // last word on the bundle
	Settings func(i int, s *settings.Settings) // last word on a daemon's settings

	// NoRollout leaves the daemons without a bundle in force.
	NoRollout bool
}

// zoneName returns the name of an availability zone; the first is zone.
func zoneName(i int) string { return "zone-" + string(rune('a'+i)) }

func (s clusterConfig) withDefaults() clusterConfig {
	set := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	set(&s.Targets, 3)
	set(&s.Leaves, 2)
	set(&s.Slots, 2)
	set(&s.Shards, 4)
	set(&s.Replicas, 2)
	set(&s.Records, 200)
	set(&s.Daemons, 2)
	set(&s.Zones, 1)
	if s.WatchWait == 0 {
		s.WatchWait = 2 * time.Second
	}
	return s
}

// cluster is a running deployment.
type cluster struct {
	*fleet.Fleet
	*gomega.WithT
	ctx    context.Context // ends with the test or at its limit
	t      *testing.T
	config clusterConfig

	Platform        *fleet.Platform
	Targets         []*fleet.Target
	Daemons         []*fleet.Daemon
	TargetProxies   []*fleet.Proxy
	PlatformProxies []*fleet.Proxy
	PeerProxies     []*fleet.Proxy
	Bundle          *bundle.Bundle  // as rolled out, or as it would be
	Index           targetsim.Index // that the targets hold at the start
}

// start runs a cluster and waits until every daemon is ready and reads every
// shard. It ends with the test; on failure the processes' logs are printed.
func start(t *testing.T, s clusterConfig) *cluster {
	t.Helper()
	skipKnownRed(t)
	c := &cluster{WithT: gomega.NewWithT(t), t: t, config: s.withDefaults()}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.ctx = ctx
	f, err := fleet.New(fleet.Options{Daemon: binaries.daemon, Lab: binaries.lab, Dir: t.TempDir(), Deployment: deployment})
	c.ok(err)
	c.Fleet = f
	t.Cleanup(func() {
		cancel()
		if t.Failed() {
			const lines = 30
			t.Log(f.Logs(lines))
		}
		f.Close()
	})
	c.Platform, err = f.StartPlatform(c.config.WatchWait)
	c.ok(err)
	c.startTargets()
	c.Bundle = c.makeBundle()
	for i := range c.config.Daemons {
		c.startDaemon(i)
	}
	c.listVMs()
	if !c.config.NoRollout {
		c.rollOut(c.Bundle)
	}
	return c
}

// ok fails the test if err is not nil.
func (c *cluster) ok(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// must returns the value, or fails the test.
func must[T any](c *cluster) func(T, error) T {
	return func(value T, err error) T {
		c.t.Helper()
		c.ok(err)
		return value
	}
}

func (c *cluster) startTargets() {
	s := c.config
	c.Index = targetsim.Index{Service: service, Snapshot: "s1", Seq: 1, Shards: s.Shards, Records: s.Records}
	for i, holder := range targetsim.PlaceReplicas(c.Index, s.Targets, s.Leaves, s.Replicas) {
		o := targetsim.Options{
			Name: fmt.Sprintf("target-%d", i), Service: service, Leaves: s.Leaves, Slots: s.Slots,
			Seed: uint64(i + 1), Timing: targetsim.Timing{BaseMS: 2},
			Snapshots: []targetsim.SnapshotPlacement{holder},
		}
		if s.Target != nil {
			s.Target(i, &o)
		}
		target := must[*fleet.Target](c)(c.StartTarget(o))
		c.Targets = append(c.Targets, target)
		if s.ProxyTargets {
			proxy := must[*fleet.Proxy](c)(c.StartProxy(o.Name+"-proxy", target.Address))
			c.TargetProxies = append(c.TargetProxies, proxy)
		}
	}
}

func (c *cluster) startDaemon(i int) {
	s := c.config
	o := fleet.DaemonOptions{Name: fmt.Sprintf("vm-%d", i), Zone: zoneName(i % s.Zones), LameDuck: s.LameDuck, LogLevel: "debug"}
	if s.ProxyPlatform {
		proxy := must[*fleet.Proxy](c)(c.StartProxy(o.Name+"-platform-proxy", c.Platform.Address))
		c.PlatformProxies = append(c.PlatformProxies, proxy)
		o.Platform = proxy.Address
	}
	if s.ProxyPeers {
		o.Peers = must[string](c)(fleet.FreeAddress())
		proxy := must[*fleet.Proxy](c)(c.StartPeerProxy(o.Name+"-peer-proxy", o.Peers))
		c.PeerProxies = append(c.PeerProxies, proxy)
		o.PeersAt = proxy.Address
	}
	if s.Settings != nil {
		o.EditSettings = func(set *settings.Settings) { s.Settings(i, set) }
	}
	c.Daemons = append(c.Daemons, must[*fleet.Daemon](c)(c.StartDaemon(o)))
}

// listVMs makes the platform list the daemons.
func (c *cluster) listVMs() { c.listVMsAfter(0) }

// listVMsAfter does so once lag has passed.
func (c *cluster) listVMsAfter(lag time.Duration) {
	var vms []objstore.VM
	for _, d := range c.Daemons {
		vms = append(vms, d.VM())
	}
	c.ok(c.Platform.SetVMs(vms, lag))
}

// makeBundle describes the targets as the daemons reach them.
func (c *cluster) makeBundle() *bundle.Bundle {
	svc := bundle.Service{
		Name: service, Shards: c.config.Shards,
		Drain: bundle.Drain{HealthIntervalMS: 100, HealthTimeoutMS: 500, SuspectAfter: 3},
	}
	for i, t := range c.Targets {
		address := t.Address
		if c.config.ProxyTargets {
			address = c.TargetProxies[i].Address
		}
		svc.Targets = append(svc.Targets, bundle.Target{
			Name: t.Name, Zone: zoneName(i % c.config.Zones), Address: address,
			Leaves: c.config.Leaves, Slots: c.config.Slots, Connections: 25, ConnectCostMS: 1,
		})
	}
	search := func(name string, kind bundle.SearchKind) bundle.Search {
		s := bundle.Search{
			Name: name, Kind: kind, Service: service, MaxItems: 1000,
			Coverage:  bundle.Coverage{Default: 1, GraceMS: 50},
			TimeLimit: bundle.TimeLimit{DefaultMS: 5000, MinMS: 10, MaxMS: 30000},
			Hedge:     bundle.Hedge{Quantile: 0.95, MinDelayMS: 5, Budget: 0.1},
			Retry:     bundle.Retry{MaxAttempts: 3, Budget: 0.5},
		}
		if kind == bundle.KindSubmit {
			s.Hedge = bundle.Hedge{}
		}
		return s
	}
	var zones []bundle.Zone
	for i := range c.config.Zones {
		zones = append(zones, bundle.Zone{Name: zoneName(i), Region: "region"})
	}
	b := &bundle.Bundle{
		Zones:    zones,
		Fleet:    bundle.Fleet{MaxVMs: c.config.Daemons + 1},
		Services: []bundle.Service{svc},
		Searches: []bundle.Search{
			search(findSearch, bundle.KindSearch),
			search(browseSearch, bundle.KindBrowse),
			search(fileSearch, bundle.KindSubmit),
			search(plainSearch, bundle.KindSearch),
		},
	}
	b.Searches[3].Policy = bundle.PolicyPlain
	if c.config.Bundle != nil {
		c.config.Bundle(b)
	}
	return b
}

// rollOut puts a bundle into force and waits until every daemon has it, is
// ready, and reads every shard.
func (c *cluster) rollOut(b *bundle.Bundle) {
	c.t.Helper()
	entry, err := c.RollOut(c.ctx, b)
	c.ok(err)
	for _, d := range c.Daemons {
		c.waitInForce(d, entry.Revision)
		c.waitComplete(d)
	}
}

// waitInForce waits until the daemon says that it has at least that revision
// in force and is ready.
func (c *cluster) waitInForce(d *fleet.Daemon, revision uint64) {
	c.t.Helper()
	c.Eventually(func() (uint64, error) {
		status, err := d.Status(c.ctx)
		return status.Revision, err
	}, waitTimeout, "50ms").Should(gomega.BeNumerically(">=", revision), d.Name)
	c.Eventually(func() bool { return d.Ready(c.ctx) }, waitTimeout, "50ms").Should(gomega.BeTrue(), d.Name)
}

// waitComplete waits until a search by the daemon reads every shard.
func (c *cluster) waitComplete(d *fleet.Daemon) {
	c.t.Helper()
	c.Eventually(func() (float64, error) {
		a, _, err := d.Search(c.ctx, findSearch, searchBody("ready"))
		if err != nil || a.Coverage == nil {
			return 0, err
		}
		return a.Coverage.Ratio, nil
	}, waitTimeout, "50ms").Should(gomega.Equal(1.0), d.Name)
}

// newKey returns a fresh idempotency key.
func newKey(name string) string {
	return fmt.Sprintf("%d-%s-%d", time.Now().Unix(), name, time.Now().UnixNano())
}

// submitRuns returns how often each key was really run, over all targets.
func (c *cluster) submitRuns() map[string]int {
	c.t.Helper()
	runs := map[string]int{}
	for _, t := range c.Targets {
		for _, r := range must[targetsim.StartedRequests](c)(t.Ran()).Submits {
			runs[r.Key]++
		}
	}
	return runs
}
