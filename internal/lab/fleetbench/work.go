package fleetbench

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer"
	"github.com/bramleybarrow/bramleybarrow/rollout"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

const (
	service = "desk" // name of the service of the target that runs as a process
	// switchPause is the pause after each of the two steps of an index switch: the addition
	// of the new index and the removal of the old one.
	switchPause = 10 * time.Second
)

// drainSettings returns the health check settings of every service.
func (r *runningFleet) drainSettings() bundle.Drain {
	return bundle.Drain{HealthIntervalMS: int(r.opts.HealthInterval.Milliseconds()), HealthTimeoutMS: 500, SuspectAfter: 3}
}

// switchIndex adds a new index to all status targets (targets that serve only their
// status) at once and removes the old one after switchPause. It returns after a second
// switchPause.
func (r *runningFleet) switchIndex(ctx context.Context) error {
	r.statusTargets.setSnapshots("index-1", "index-2")
	if err := pause(ctx, switchPause); err != nil {
		return err
	}
	r.statusTargets.setSnapshots("index-2")
	return pause(ctx, switchPause)
}

// startTarget starts the target that runs as a process. Size is the number of daemons.
func (r *runningFleet) startTarget(size int) error {
	index := targetsim.Index{Service: service, Snapshot: "s1", Seq: 1, Shards: 2, Records: 10}
	placements := targetsim.PlaceReplicas(index, 1, 2, 1)
	var err error
	r.target, err = r.fleet.StartTarget(targetsim.Options{
		Name: "target-0", Service: service, Leaves: 2, Slots: 2, MaxConnections: 4 * size,
		Snapshots: placements,
	})
	return err
}

// nextBundle returns a new bundle for the running daemons and the options. The bundles of
// two calls differ only in their name.
func (r *runningFleet) nextBundle() *bundle.Bundle {
	r.bundleVersion++
	b := &bundle.Bundle{
		Format:     bundle.Format,
		Deployment: deployment,
		Author:     fleet.Author,
		Name:       fmt.Sprint("bundle-", r.bundleVersion),
		Fleet:      bundle.Fleet{MaxVMs: max(len(r.daemons), r.opts.MaxVMs)},
		Services: []bundle.Service{{
			Name: service, Shards: 2,
			Drain: r.drainSettings(),
			Targets: []bundle.Target{{
				Name: "target-0", Zone: zoneName(0), Address: r.target.Address,
				Leaves: 2, Slots: 2, Connections: 2 * max(len(r.daemons), r.opts.MaxVMs),
			}},
		}},
	}
	for i := range zones {
		b.Zones = append(b.Zones, bundle.Zone{Name: zoneName(i), Region: fmt.Sprint("region-", i%2)})
	}
	if r.opts.AbsentTargets > 0 {
		b.Services = append(b.Services, r.absentService())
	}
	if r.opts.StatusTargets > 0 {
		b.Services = append(b.Services, r.statusTargets.service(r.drainSettings()))
	}
	for i := range max(r.opts.Searches, 1) {
		b.Searches = append(b.Searches, bundle.Search{
			Name: fmt.Sprint("search-", i), Kind: bundle.KindSearch, Service: service, MaxItems: 100,
			Coverage:  bundle.Coverage{Default: 1},
			TimeLimit: bundle.TimeLimit{DefaultMS: 1000, MinMS: 10, MaxMS: 5000},
			Hedge:     bundle.Hedge{Quantile: 0.95, MinDelayMS: 5, Budget: 0.05},
			Retry:     bundle.Retry{MaxAttempts: 3, Budget: 0.1},
		})
	}
	return b
}

// absentService returns a service whose targets have addresses without a listener. With
// it the benchmark measures the memory and processor time that a daemon needs for targets
// that no query calls.
func (r *runningFleet) absentService() bundle.Service {
	svc := bundle.Service{Name: "absent", Shards: 320, Drain: r.drainSettings()}
	for i := range r.opts.AbsentTargets {
		svc.Targets = append(svc.Targets, bundle.Target{
			Name: fmt.Sprint("absent-", i), Zone: zoneName(i % zones), Address: fmt.Sprint("127.0.0.1:", i+1),
			Leaves: 6 + i%2, Slots: 2, Connections: 25, ConnectCostMS: 6,
		})
	}
	return svc
}

// rollOut rolls out the next bundle and returns the entry that records the rollout.
// RequestedAt is the time at which the operator requested the rollout, which is before
// the platform accepted it. rollOut records the bundle's size in result unless result is
// nil.
func (r *runningFleet) rollOut(ctx context.Context, result *row) (entry rollout.Entry, requestedAt time.Time, err error) {
	data, err := json.Marshal(r.nextBundle())
	if err != nil {
		return entry, requestedAt, errors.Trace(err)
	}
	if result != nil {
		result.bundleBytes = len(data)
	}
	digest, err := r.fleet.Operator(fleet.Author).Push(ctx, data)
	if err != nil {
		return entry, requestedAt, errors.Trace(err)
	}
	signer := r.fleet.Operator(fleet.Signer)
	if _, err := signer.SignOff(ctx, digest, "bench"); err != nil {
		return entry, requestedAt, errors.Trace(err)
	}
	requestedAt = time.Now()
	entry, err = signer.Rollout(ctx, digest, rollout.Request{Reason: "bench"})
	return entry, requestedAt, errors.Trace(err)
}

// measureRollouts measures the time of each rollout from its request until it is in
// force on the last daemon, and adds it to result. The daemons report when a revision
// came into force; they use the same clock because they run on this machine.
func (r *runningFleet) measureRollouts(ctx context.Context, result *row) error {
	for range r.opts.Rollouts {
		roundStart := time.Now() // before the push and the sign-off, which precede requestedAt
		entry, requestedAt, err := r.rollOut(ctx, result)
		if err != nil {
			return err
		}
		if err := pause(ctx, propagationTime); err != nil {
			return err
		}
		if err := r.awaitRevision(ctx, entry.Revision); err != nil {
			return err
		}
		last, err := r.lastInForce(ctx)
		if err != nil {
			return err
		}
		result.revision.add(last.Sub(requestedAt).Seconds())
		r.progress("revision %d in force on all daemons after %.2f s", entry.Revision, last.Sub(requestedAt).Seconds())
		if err := pause(ctx, time.Until(roundStart.Add(r.opts.RolloutInterval))); err != nil {
			return err
		}
	}
	return nil
}

// lastInForce returns the latest time at which a daemon put its current revision
// into force.
func (r *runningFleet) lastInForce(ctx context.Context) (last time.Time, err error) {
	for _, d := range r.daemons {
		st, err := d.Status(ctx)
		if err != nil {
			return last, errors.Trace(err)
		}
		if st.Since.After(last) {
			last = st.Since
		}
	}
	return last, nil
}

// measureDrains adds one more VM, the observer, to the exchange. The observer publishes
// drains, each of which states that an incarnation of a target takes no new work.
// measureDrains returns the seconds until each drain reached the last daemon.
func (r *runningFleet) measureDrains(ctx context.Context) (samples, error) {
	var out samples
	observer, err := r.startObserver()
	if err != nil {
		return out, err
	}
	defer observer.Stop(ctx)
	if err := pause(ctx, propagationTime); err != nil {
		return out, err
	}
	for i := range r.opts.Drains {
		publishedAt := time.Now()
		observer.PublishDrain(peer.Drain{Target: "target-0", Incarnation: fmt.Sprint("bench-", i)})
		if err := pause(ctx, propagationTime); err != nil {
			return out, err
		}
		seconds, err := r.lastDrainLearned(publishedAt, i+1)
		if err != nil {
			return out, err
		}
		out.add(seconds)
	}
	r.progress("drains known to all daemons after %s s", out)
	return out, nil
}

// startObserver starts the exchange with the daemons for one more VM. The VM runs in this
// process and has no other parts of a daemon.
func (r *runningFleet) startObserver() (*peer.Exchange, error) {
	set, err := settings.Load(r.daemons[0].SettingsPath)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var keys [][]byte
	for _, text := range set.FleetKeys {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return nil, errors.Trace(err)
		}
		keys = append(keys, key)
	}
	exchange, err := peer.New(peer.Options{
		VM: objstore.VM{Name: "observer", Zone: zoneName(0)}, Incarnation: "observer-1",
		Deployment: deployment, FleetKeys: keys, Listen: "127.0.0.1:0",
		Store: objstore.NewClient(r.platform.Address, objstore.ClientOptions{}),
		Heads: emptyHeads{},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return exchange, errors.Trace(exchange.Start())
}

// emptyHeads implements peer.Heads for a VM that has no head and ignores those that peers
// send. A head is the signed object that names the bundle in force.
type emptyHeads struct{}

func (emptyHeads) Revision() uint64                { return 0 }
func (emptyHeads) Changed() <-chan struct{}        { return nil }
func (emptyHeads) Head() []byte                    { return nil }
func (emptyHeads) RawBundle(string) ([]byte, bool) { return nil, false }
func (emptyHeads) OfferHead(context.Context, []byte, func(context.Context, string) ([]byte, error)) error {
	return nil
}
