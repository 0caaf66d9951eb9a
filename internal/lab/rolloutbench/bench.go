// Package rolloutbench measures the time of a rollout from the write of its head, the
// signed object that names the bundle in force, until the rollout is in force on the
// last VM. It also counts the calls of VMs and operators to the platform. Daemons run as
// processes. The scenarios are a healthy platform and several faults.
package rolloutbench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/rollout"
)

const (
	deployment = "bench"  // name of the deployment
	zone       = "zone-a" // availability zone of all daemons and the target
	service    = "desk"   // name of the only service

	statusInterval = 10 * time.Millisecond // pause between two reads of a daemon's status
	idleTime       = 10 * time.Second      // time for which calls are counted while nothing changes
	rolloutTimeout = 60 * time.Second      // a rollout that takes longer fails the run
	watchWait      = 10 * time.Second      // time after which the platform answers a watch without a change
)

// Options configure a run of the benchmark.
type Options struct {
	Daemon   string    // path of the bramleyd program
	Lab      string    // path of the bramley-lab program
	Dir      string    // directory for settings and logs
	VMs      int       // number of daemons
	Rollouts int       // number of rollouts in each scenario
	Out      io.Writer // for the table
}

// bench is a running deployment with one operator.
type bench struct {
	opts     Options
	fleet    *fleet.Fleet
	platform *fleet.Platform
	proxies  []*fleet.Proxy // between each daemon and the platform
	daemons  []*fleet.Daemon
	store    *timedStore     // the operator's client of the platform; calls it without a proxy
	client   *rollout.Client // makes the operator's changes
	digests  [3]string       // digests of the bundles, rolled out in turn; VMs keep two bundles and have to fetch the third

	mu              sync.Mutex        // guards the fields below
	highestRevision map[string]uint64 // highest revision that each VM has reported, by VM
	regressions     int               // reports of a revision below the highest one of that VM
}

// timedStore is the operator's Store. It records when the last write of a head was sent.
// A head is the signed object that names the bundle in force.
type timedStore struct {
	objstore.Store
	headSentAt time.Time // needs no lock: the only operator makes one change at a time
}

// Put implements objstore.Store. If kind is that of a head, the signed object that names
// the bundle in force, Put sets headSentAt before the call.
func (s *timedStore) Put(ctx context.Context, kind, name string, expect uint64, value []byte) (uint64, error) {
	if kind == rollout.KindHead {
		s.headSentAt = time.Now()
	}
	return s.Store.Put(ctx, kind, name, expect, value)
}

// Run starts a deployment, measures all scenarios and prints a table. It returns an
// error if a rollout takes longer than rolloutTimeout.
func Run(ctx context.Context, opts Options) error {
	f, err := fleet.New(fleet.Options{Daemon: opts.Daemon, Lab: opts.Lab, Dir: opts.Dir, Deployment: deployment})
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	b := &bench{opts: opts, fleet: f, highestRevision: map[string]uint64{}}
	if err := b.start(ctx); err != nil {
		return errors.Annotate(err, f.Logs(5))
	}
	if err := b.countIdleCalls(ctx); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(opts.Out, "%d VMs, %d rollouts in each scenario; milliseconds from the write of the head to in force on the last VM\n\n", opts.VMs, opts.Rollouts)
	fmt.Fprintln(opts.Out, "| scenario | median | p99 | worst | calls per rollout | not in force within 2 s |")
	fmt.Fprintln(opts.Out, "|---|---|---|---|---|---|")
	for _, s := range scenarios {
		if err := b.measure(ctx, s); err != nil {
			return errors.Annotate(err, s.name)
		}
	}
	fmt.Fprintf(opts.Out, "\nlower revisions seen: %d\n", b.regressions)
	return errors.Trace(b.verifyAudit(ctx))
}

// verifyAudit reads the audit trail and prints its length. It returns an error if the
// trail is broken.
func (b *bench) verifyAudit(ctx context.Context) error {
	audit, err := b.client.Audit(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(b.opts.Out, "audit trail: unbroken, %d entries\n", len(audit.Entries))
	return nil
}

// start starts the processes and rolls out each of the three bundles once. It returns
// when the last bundle is in force on all VMs.
func (b *bench) start(ctx context.Context) error {
	var err error
	if b.platform, err = b.fleet.StartPlatform(watchWait); err != nil {
		return errors.Trace(err)
	}
	if err := b.startDaemons(); err != nil {
		return errors.Trace(err)
	}
	b.store = &timedStore{Store: objstore.NewClient(b.platform.Address, objstore.ClientOptions{})}
	b.client = rollout.NewClient(rollout.ClientOptions{
		Deployment: deployment, Keys: b.fleet.Keyring(), Key: b.fleet.Key(fleet.Signer), Store: b.store,
	})
	target, err := b.fleet.StartTarget(targetsim.Options{
		Name: "target-0", Service: service, Leaves: 1, Slots: 2,
		Snapshots: targetsim.PlaceReplicas(targetsim.Index{Service: service, Snapshot: "s1", Seq: 1, Shards: 1, Records: 10}, 1, 1, 1),
	})
	if err != nil {
		return errors.Trace(err)
	}
	for i := range b.digests {
		entry, err := b.fleet.RollOut(ctx, testBundle(fmt.Sprint("bench-", i), target.Address, b.opts.VMs))
		if err != nil {
			return errors.Trace(err)
		}
		b.digests[i] = entry.Digest
		if _, err := b.waitForAll(ctx, entry.Revision); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// startDaemons starts the daemons, each behind its own proxy to the platform.
func (b *bench) startDaemons() error {
	var vms []objstore.VM
	for i := range b.opts.VMs {
		name := fmt.Sprintf("vm-%d", i+1)
		proxy, err := b.fleet.StartProxy(name+"-platform", b.platform.Address)
		if err != nil {
			return errors.Trace(err)
		}
		d, err := b.fleet.StartDaemon(fleet.DaemonOptions{Name: name, Zone: zone, Platform: proxy.Address})
		if err != nil {
			return errors.Trace(err)
		}
		b.proxies = append(b.proxies, proxy)
		b.daemons = append(b.daemons, d)
		vms = append(vms, d.VM())
	}
	return errors.Trace(b.platform.SetVMs(vms, 0))
}

// testBundle returns a bundle with one search of a service whose only target has the
// given address. Vms is the number of daemons; the bundle allows one more.
func testBundle(name, address string, vms int) *bundle.Bundle {
	return &bundle.Bundle{
		Name:  name,
		Zones: []bundle.Zone{{Name: zone, Region: "region"}},
		Fleet: bundle.Fleet{MaxVMs: vms + 1},
		Services: []bundle.Service{{
			Name: service, Shards: 1,
			Drain: bundle.Drain{HealthIntervalMS: 1000, HealthTimeoutMS: 500, SuspectAfter: 3},
			Targets: []bundle.Target{{
				Name: "target-0", Zone: zone, Address: address, Leaves: 1, Slots: 2, Connections: 25, ConnectCostMS: 1,
			}},
		}},
		Searches: []bundle.Search{{
			Name: "find", Kind: bundle.KindSearch, Service: service, MaxItems: 100,
			Coverage:  bundle.Coverage{Default: 1},
			TimeLimit: bundle.TimeLimit{DefaultMS: 1000, MinMS: 10, MaxMS: 10000},
			Retry:     bundle.Retry{MaxAttempts: 2, Budget: 0.1},
		}},
	}
}

// waitForAll waits until every VM has the given revision or a higher one in force. It
// returns the time at which the last VM put its revision into force, as that VM reports
// it. After rolloutTimeout it returns an error.
func (b *bench) waitForAll(ctx context.Context, revision uint64) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	since := make([]time.Time, len(b.daemons))
	errs := make([]error, len(b.daemons))
	var wg sync.WaitGroup
	for i, d := range b.daemons {
		wg.Go(func() { since[i], errs[i] = b.waitForDaemon(ctx, d, revision) })
	}
	wg.Wait()
	var last time.Time
	for i := range b.daemons {
		if errs[i] != nil {
			return last, errors.Annotate(errs[i], b.daemons[i].Name)
		}
		if since[i].After(last) {
			last = since[i]
		}
	}
	return last, nil
}

// waitForDaemon polls a daemon's status until the daemon has the given revision or a
// higher one in force. It returns the time at which the daemon put the revision that it
// then has into force.
func (b *bench) waitForDaemon(ctx context.Context, d *fleet.Daemon, revision uint64) (time.Time, error) {
	for {
		status, err := d.Status(ctx)
		if err == nil {
			b.recordRevision(d.Name, status.Revision)
			if status.Revision >= revision {
				return status.Since, nil
			}
		}
		select {
		case <-ctx.Done():
			return time.Time{}, errors.Annotatef(ctx.Err(), "revision %d", revision)
		case <-time.After(statusInterval):
		}
	}
}

// recordRevision records the revision that a VM reports. It counts a regression if the VM
// has reported a higher revision before. The caller must not hold mu.
func (b *bench) recordRevision(vm string, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision < b.highestRevision[vm] {
		b.regressions++
	}
	b.highestRevision[vm] = max(b.highestRevision[vm], revision)
}

// countIdleCalls prints the rates of calls to the platform while nothing changes.
func (b *bench) countIdleCalls(ctx context.Context) error {
	before, err := b.platform.Counters()
	if err != nil {
		return errors.Trace(err)
	}
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-time.After(idleTime):
	}
	after, err := b.platform.Counters()
	if err != nil {
		return errors.Trace(err)
	}
	perVM := 1 / idleTime.Seconds() / float64(b.opts.VMs)
	fmt.Fprintf(b.opts.Out, "idle, per VM and second: %.2f reads of objects, %.2f watches, %.2f reads of the list of VMs, %.2f writes\n",
		float64(after.Get-before.Get+after.List-before.List)*perVM, float64(after.Watch-before.Watch)*perVM,
		float64(after.VMs-before.VMs)*perVM, float64(after.Put-before.Put)*perVM)
	return nil
}
