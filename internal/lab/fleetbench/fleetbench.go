// Package fleetbench measures the exchange between the daemons of a deployment: how
// long a revision and a drain take to reach the last daemon, and the cost of the
// exchange for each daemon while idle and during rollouts. A drain states that one
// incarnation of a target takes no new work.
package fleetbench

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// Options configure a run of the benchmark.
type Options struct {
	Daemon, Lab     string        // paths of the programs bramleyd and bramley-lab
	Sizes           []int         // numbers of daemons to measure
	Searches        int           // number of searches in the bundle; sets the bundle's size
	AbsentTargets   int           // number of additional targets without a server, each with 6 or 7 leaves
	MaxVMs          int           // the bundle's limit of VMs, if larger than the number of daemons
	StatusTargets   int           // number of status targets: additional targets that serve only their status
	HealthInterval  time.Duration // interval between reads of a target's status
	IdleTime        time.Duration // length of the measurement without changes
	Rollouts        int           // number of rollouts for each size
	RolloutInterval time.Duration // from the start of one rollout to the start of the next
	Drains          int           // number of drains for each size
	Out             io.Writer     // for the table
	Progress        io.Writer     // for messages during the run
}

const (
	deployment = "fleetbench" // name of the deployment
	zones      = 5            // number of availability zones over which the daemons are spread
	// stabilizeTime is the pause between the time at which the first bundle is in force on
	// all daemons and the start of the measurements.
	stabilizeTime = 15 * time.Second
	// propagationTime is long enough for a drain or a new VM to reach every daemon.
	propagationTime     = 3 * time.Second
	daemonStartInterval = 20 * time.Millisecond  // pause after the start of each daemon
	revisionTimeout     = 3 * time.Minute        // bounds the wait until all daemons have a revision in force
	pollInterval        = 250 * time.Millisecond // pause between two reads of a daemon's status
)

// Run measures a new fleet of each size in turn and prints a table.
func Run(ctx context.Context, o Options) error {
	var rows []row
	for _, size := range o.Sizes {
		r, err := measureSize(ctx, o, size)
		if err != nil {
			return errors.Annotatef(err, "%d daemons", size)
		}
		rows = append(rows, r)
	}
	printTable(o.Out, o, rows)
	return nil
}

// row holds the results of one size of fleet.
type row struct {
	daemons     int     // number of daemons in the fleet
	bundleBytes int     // size of the bundle rolled out last
	revision    samples // seconds from the request of a rollout until its revision is in force on all daemons; one value per rollout
	drain       samples // seconds from the publication of a drain until all daemons have received it; one value per drain
	idle        cost    // while nothing changes
	rollouts    cost    // while new revisions are rolled out
	indexSwitch cost    // while the status targets, which serve only their status, switch their index
	memory      samples // resident memory in MiB at the end; one value per daemon
}

// runningFleet is a fleet of one size that is being measured.
type runningFleet struct {
	opts          Options
	fleet         *fleet.Fleet
	platform      *fleet.Platform
	target        *fleet.Target  // the only target that runs as a process
	statusTargets *statusTargets // targets in this process that serve only their status
	daemons       []*fleet.Daemon
	bundleVersion int // number in the name of the latest bundle
}

// measureSize starts a fleet of size daemons, measures it and stops it.
func measureSize(ctx context.Context, o Options, size int) (row, error) {
	out := row{daemons: size}
	dir, err := os.MkdirTemp("", "fleetbench")
	if err != nil {
		return out, errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	f, err := fleet.New(fleet.Options{Daemon: o.Daemon, Lab: o.Lab, Dir: dir, Deployment: deployment})
	if err != nil {
		return out, errors.Trace(err)
	}
	defer f.Close()
	r := &runningFleet{opts: o, fleet: f}
	if r.statusTargets, err = startStatusTargets(o.StatusTargets); err != nil {
		return out, err
	}
	defer r.statusTargets.close()
	if err := r.start(ctx, size); err != nil {
		return out, err
	}
	if out.idle, err = r.measureCost(func() error { return pause(ctx, o.IdleTime) }); err != nil {
		return out, err
	}
	if o.StatusTargets > 0 {
		if out.indexSwitch, err = r.measureCost(func() error { return r.switchIndex(ctx) }); err != nil {
			return out, err
		}
	}
	out.rollouts, err = r.measureCost(func() error { return r.measureRollouts(ctx, &out) })
	if err != nil {
		return out, err
	}
	if out.drain, err = r.measureDrains(ctx); err != nil {
		return out, err
	}
	out.memory, err = r.memoryUse()
	return out, err
}

// progress prints a line about the run to Options.Progress.
func (r *runningFleet) progress(format string, args ...any) {
	fmt.Fprintf(r.opts.Progress, "%s %d daemons: %s\n", time.Now().Format(time.TimeOnly), len(r.daemons), fmt.Sprintf(format, args...))
}

// start starts the platform, the target and size daemons, and rolls out the first bundle.
// It waits until the bundle is in force on all daemons, and then for stabilizeTime.
func (r *runningFleet) start(ctx context.Context, size int) error {
	var err error
	if r.platform, err = r.fleet.StartPlatform(10 * time.Second); err != nil {
		return errors.Trace(err)
	}
	if err := r.startTarget(size); err != nil {
		return errors.Trace(err)
	}
	var vms []objstore.VM
	for i := range size {
		d, err := r.fleet.StartDaemon(fleet.DaemonOptions{
			Name: fmt.Sprintf("vm-%04d", i), Zone: zoneName(i % zones), LogLevel: "warn",
		})
		if err != nil {
			return errors.Trace(err)
		}
		r.daemons = append(r.daemons, d)
		vms = append(vms, d.VM())
		if err := pause(ctx, daemonStartInterval); err != nil {
			return err
		}
	}
	if err := r.platform.SetVMs(vms, 0); err != nil {
		return errors.Trace(err)
	}
	entry, _, err := r.rollOut(ctx, nil)
	if err != nil {
		return err
	}
	if err := r.awaitRevision(ctx, entry.Revision); err != nil {
		return err
	}
	r.progress("first bundle in force on all daemons")
	return pause(ctx, stabilizeTime)
}

// awaitRevision waits until all daemons have the revision or a higher one in force. It
// returns an error after revisionTimeout.
func (r *runningFleet) awaitRevision(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	for _, d := range r.daemons {
		for {
			st, err := d.Status(ctx)
			if err == nil && st.Revision >= revision {
				break
			}
			if err := pause(ctx, pollInterval); err != nil {
				return errors.Annotatef(err, "%s has revision %d, want %d", d.Name, st.Revision, revision)
			}
		}
	}
	return nil
}

// pause waits for d. If ctx ends first, pause returns the error of ctx.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// zoneName returns the name of availability zone i, counted from 0.
func zoneName(i int) string { return fmt.Sprint("zone-", i) }

// countReads returns the number of calls to the platform that read, watches included.
func countReads(c platformsim.Counters) int { return c.Get + c.List + c.Watch + c.VMs }
