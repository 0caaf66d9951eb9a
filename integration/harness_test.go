// Package integration tests the system end to end. The daemons, the targets, the platform
// and the fault proxies between them are real processes; the tests are the callers.
//
// A test starts a cluster, which is stopped when the test ends:
//
//	c := start(t, clusterConfig{Targets: 3, Daemons: 2})
//	answer, status, err := c.Daemons[0].Search(c.ctx, findSearch, gateway.SearchBody{Query: "well"})
//	c.expectCompleteAnswer(answer, c.Index, target.KindSearch, searchBody("well"))
//
// clusterConfig has the options, and cluster what a test can use. Faults are set on
// c.Platform and c.Targets[i] and, if the configuration enables proxies, on
// c.TargetProxies[i], c.PlatformProxies[i] and c.PeerProxies[i]. The last two are
// indexed by daemon. cluster.split sets the faults of the peer proxies.
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
	"github.com/bramleybarrow/bramleybarrow/internal/knownred"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

// Names of the searches that the test bundle defines.
const (
	findSearch   = "find"       // the search of kind "search" in the test bundle
	browseSearch = "browse"     // the search of kind "browse" in the test bundle
	fileSearch   = "file"       // the search of kind "submit" in the test bundle
	plainSearch  = "find-plain" // a search of kind "search" with bundle.PolicyPlain
)

const (
	deployment = "testing" // name of the deployment of every test cluster
	service    = "desk"    // name of the service that the test targets belong to
	zone       = "zone-a"  // name of the first availability zone

	// waitTimeout bounds each wait for a condition that must become true.
	waitTimeout = 30 * time.Second
	// testTimeout bounds all calls of one test together.
	testTimeout = 3 * time.Minute
)

// binaries holds the paths of the programs that runTests builds.
var binaries struct{ daemon, lab string }

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the programs, runs the tests and returns the exit status. It is not part
// of TestMain, because os.Exit skips deferred calls.
func runTests(m *testing.M) int {
	defer gexec.CleanupBuildArtifacts()
	const cmdPath = "github.com/bramleybarrow/bramleybarrow/cmd/"
	for name, dst := range map[string]*string{"bramleyd": &binaries.daemon, "bramley-lab": &binaries.lab} {
		path, err := gexec.Build(cmdPath + name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		*dst = path
	}
	return m.Run()
}

// clusterConfig describes a cluster. A zero field means the default that the field's
// comment gives.
type clusterConfig struct {
	Targets  int // number of targets; default 3
	Leaves   int // leaves per target; default 2
	Slots    int // slots per leaf; default 2
	Shards   int // number of shards; default 4
	Replicas int // replicas per shard; default 2
	Records  int // records in all shards together; default 200
	Daemons  int // number of daemons; default 2

	ProxyTargets  bool // start a fault proxy in front of each target
	ProxyPlatform bool // start a fault proxy between each daemon and the platform
	ProxyPeers    bool // start a fault proxy in front of each daemon's listener for peers

	Zones int // number of availability zones, assigned to targets and daemons in turn; default 1

	WatchWait time.Duration // longest time that the platform holds a watch open; default 2 s
	LameDuck  time.Duration // time for which a daemon still serves after SIGTERM; default 0

	// These edit a target's options, the bundle, or a daemon's settings after all
	// other fields were applied. i is the index of the target or daemon.
	Target   func(i int, o *targetsim.Options)
	Bundle   func(b *bundle.Bundle)
	Settings func(i int, s *settings.Settings)

	// NoRollout skips the rollout, so that the daemons have no bundle in force.
	NoRollout bool
}

// zoneName returns the name of the availability zone with this index, counted from 0.
// zoneName(0) is zone.
func zoneName(i int) string { return "zone-" + string(rune('a'+i)) }

// withDefaults returns cfg with the defaults in place of zero fields.
func (cfg clusterConfig) withDefaults() clusterConfig {
	set := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	set(&cfg.Targets, 3)
	set(&cfg.Leaves, 2)
	set(&cfg.Slots, 2)
	set(&cfg.Shards, 4)
	set(&cfg.Replicas, 2)
	set(&cfg.Records, 200)
	set(&cfg.Daemons, 2)
	set(&cfg.Zones, 1)
	if cfg.WatchWait == 0 {
		cfg.WatchWait = 2 * time.Second
	}
	return cfg
}

// cluster is a running deployment.
type cluster struct {
	*fleet.Fleet
	*gomega.WithT
	ctx    context.Context // canceled when the test ends or after testTimeout
	t      *testing.T
	config clusterConfig

	Platform        *fleet.Platform
	Targets         []*fleet.Target
	Daemons         []*fleet.Daemon
	TargetProxies   []*fleet.Proxy  // by index of the target; empty unless ProxyTargets is set
	PlatformProxies []*fleet.Proxy  // by index of the daemon; empty unless ProxyPlatform is set
	PeerProxies     []*fleet.Proxy  // by index of the daemon; empty unless ProxyPeers is set
	Bundle          *bundle.Bundle  // rolled out unless NoRollout is set
	Index           targetsim.Index // the index that the targets hold when the test begins
}

// start starts a cluster and, unless NoRollout is set, waits until every daemon is ready
// and answers a search from all shards. The cluster is stopped when the test ends; if the
// test failed, the last lines of the processes' logs are printed.
func start(t *testing.T, cfg clusterConfig) *cluster {
	t.Helper()
	knownred.Skip(t)
	c := &cluster{WithT: gomega.NewWithT(t), t: t, config: cfg.withDefaults()}
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

// must returns a function for the two results of a call. That function returns the value,
// and fails the test if the error is not nil.
func must[T any](c *cluster) func(T, error) T {
	return func(value T, err error) T {
		c.t.Helper()
		c.ok(err)
		return value
	}
}

// startTargets starts the targets, which together hold c.Index, and their proxies.
func (c *cluster) startTargets() {
	cfg := c.config
	c.Index = targetsim.Index{Service: service, Snapshot: "s1", Seq: 1, Shards: cfg.Shards, Records: cfg.Records}
	for i, placement := range targetsim.PlaceReplicas(c.Index, cfg.Targets, cfg.Leaves, cfg.Replicas) {
		o := targetsim.Options{
			Name: fmt.Sprintf("target-%d", i), Service: service, Leaves: cfg.Leaves, Slots: cfg.Slots,
			Seed: uint64(i + 1), Timing: targetsim.Timing{BaseMS: 2},
			Snapshots: []targetsim.SnapshotPlacement{placement},
		}
		if cfg.Target != nil {
			cfg.Target(i, &o)
		}
		target := must[*fleet.Target](c)(c.StartTarget(o))
		c.Targets = append(c.Targets, target)
		if cfg.ProxyTargets {
			proxy := must[*fleet.Proxy](c)(c.StartProxy(o.Name+"-proxy", target.Address))
			c.TargetProxies = append(c.TargetProxies, proxy)
		}
	}
}

// startDaemon starts daemon i with its proxies and appends them to the cluster.
func (c *cluster) startDaemon(i int) {
	cfg := c.config
	o := fleet.DaemonOptions{Name: fmt.Sprintf("vm-%d", i), Zone: zoneName(i % cfg.Zones), LameDuck: cfg.LameDuck, LogLevel: "debug"}
	if cfg.ProxyPlatform {
		proxy := must[*fleet.Proxy](c)(c.StartProxy(o.Name+"-platform-proxy", c.Platform.Address))
		c.PlatformProxies = append(c.PlatformProxies, proxy)
		o.Platform = proxy.Address
	}
	if cfg.ProxyPeers {
		o.Peers = must[string](c)(fleet.FreeAddress())
		proxy := must[*fleet.Proxy](c)(c.StartPeerProxy(o.Name+"-peer-proxy", o.Peers))
		c.PeerProxies = append(c.PeerProxies, proxy)
		o.PeersAt = proxy.Address
	}
	if cfg.Settings != nil {
		o.EditSettings = func(set *settings.Settings) { cfg.Settings(i, set) }
	}
	c.Daemons = append(c.Daemons, must[*fleet.Daemon](c)(c.StartDaemon(o)))
}

// listVMs makes the platform list the current daemons as VMs.
func (c *cluster) listVMs() { c.listVMsAfter(0) }

// listVMsAfter makes the platform list the current daemons as VMs after lag.
func (c *cluster) listVMsAfter(lag time.Duration) {
	var vms []objstore.VM
	for _, d := range c.Daemons {
		vms = append(vms, d.VM())
	}
	c.ok(c.Platform.SetVMs(vms, lag))
}

// makeBundle returns a bundle with the test searches and the targets. The addresses of
// the targets are those of their proxies if ProxyTargets is set.
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

// rollOut puts a bundle in force and waits until every daemon has it in force, is ready,
// and answers a search from all shards.
func (c *cluster) rollOut(b *bundle.Bundle) {
	c.t.Helper()
	entry, err := c.RollOut(c.ctx, b)
	c.ok(err)
	for _, d := range c.Daemons {
		c.waitInForce(d, entry.Revision)
		c.waitComplete(d)
	}
}

// waitInForce waits until the daemon reports this revision or a higher one as in force,
// and is ready.
func (c *cluster) waitInForce(d *fleet.Daemon, revision uint64) {
	c.t.Helper()
	c.Eventually(func() (uint64, error) {
		status, err := d.Status(c.ctx)
		return status.Revision, err
	}, waitTimeout, "50ms").Should(gomega.BeNumerically(">=", revision), d.Name)
	c.Eventually(func() bool { return d.Ready(c.ctx) }, waitTimeout, "50ms").Should(gomega.BeTrue(), d.Name)
}

// waitComplete waits until the daemon answers a search from all shards.
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

// newKey returns a new idempotency key, which begins with the current Unix time in
// seconds and contains name.
func newKey(name string) string {
	return fmt.Sprintf("%d-%s-%d", time.Now().Unix(), name, time.Now().UnixNano())
}

// submitRuns returns how many times each submit ran at all targets together, by
// idempotency key. The counts are from the targets' own records.
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
