package once

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// Limits of the cleaner, which removes expired claims from the platform.
const (
	maxCleaners        = 2                     // number of VMs that remove expired claims at the same time
	cleanPageSize      = 4                     // segments in one page of the cleaner's listing; few, because a listing contains the values
	maxCleanedPerRound = 200                   // number of removed segments after which a cleaning round ends
	cleanPagePause     = 20 * time.Millisecond // pause between two pages of a cleaning round
	cleanerRotation    = time.Hour             // time after which other VMs are chosen as cleaners
)

// cleaner removes expired claims from the platform. It removes a whole segment (an
// object that holds the claims of one second) once all its keys are older than
// KeyTTL + MaxClockSkew.
type cleaner struct {
	opts     Options
	log      *slog.Logger
	counters counters
	tomb     *tomb.Tomb      // stops the cleaner's goroutine
	ctx      context.Context // canceled when the tomb is killed
}

// startCleaner starts the cleaner's goroutine, which stop ends.
func startCleaner(opts Options) *cleaner {
	t, ctx := tomb.WithContext(context.Background())
	c := &cleaner{tomb: t, ctx: ctx, opts: opts, log: opts.Log, counters: newCounters(opts.Metrics)}
	c.tomb.Go(c.loop)
	return c
}

// stop ends the cleaner's goroutine and waits for it.
func (c *cleaner) stop() {
	c.tomb.Kill(nil)
	_ = c.tomb.Wait()
}

// loop runs a cleaning round every CleanInterval on average, at random times, until
// the cleaner is stopped. If Deployment is empty, it removes nothing.
func (c *cleaner) loop() error {
	if c.opts.Deployment == "" {
		<-c.tomb.Dying()
		return nil
	}
	for c.sleep(c.opts.CleanInterval/2 + rand.N(c.opts.CleanInterval)) {
		if err := c.cleanRound(); err != nil {
			c.log.Warn("old claims were not removed; the cleaner tries again later", "error", err)
		}
	}
	return nil
}

// sleep waits for d. It returns false if the cleaner is stopped first.
func (c *cleaner) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.tomb.Dying():
		return false
	}
}

// cleanRound removes expired segments page by page, if this VM is one of the
// maxCleaners VMs that are chosen for the current hour. It ends when no expired
// segments are left, or after the page with which the number of removed segments
// reaches maxCleanedPerRound.
func (c *cleaner) cleanRound() error {
	vms, err := c.listVMs(c.ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if !isCleaner(vms, c.opts.VM, c.opts.Clock().Truncate(cleanerRotation)) {
		return nil
	}
	before, err := c.advanceRecord(c.ctx)
	if err != nil {
		return errors.Trace(err)
	}
	for removed := 0; removed < maxCleanedPerRound; {
		n, more, err := c.removePage(c.ctx, before)
		if err != nil {
			return errors.Trace(err)
		}
		removed += n
		if !more || !c.sleep(cleanPagePause) {
			return nil
		}
	}
	return nil
}

// listVMs returns the platform's list of VMs.
func (c *cleaner) listVMs(ctx context.Context) ([]objstore.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	vms, err := c.opts.Store.VMs(ctx)
	return vms, errors.Trace(err)
}

// advanceRecord records on the platform that claims of keys older than
// KeyTTL + MaxClockSkew are being removed. It returns the recorded time: claims of
// keys that were created before this time may be removed.
func (c *cleaner) advanceRecord(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	before := c.opts.Clock().Add(-c.opts.KeyTTL - c.opts.MaxClockSkew)
	return advanceClearedRecord(ctx, c.opts.Store, c.opts.Deployment, before)
}

// removePage lists one page of the oldest segments and removes those whose keys
// were all created before the given time. Names sort by time, so it stops at the
// first newer segment. It returns the number of removed segments, including those
// that another VM removed or changed since the listing. more reports whether
// further expired segments may exist.
func (c *cleaner) removePage(ctx context.Context, before time.Time) (removed int, more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	page, err := c.opts.Store.List(ctx, Kind, deploymentPrefix(c.opts.Deployment), cleanPageSize)
	if err != nil {
		return 0, false, errors.Trace(err)
	}
	for _, object := range page.Objects {
		end, ok := windowEnd(c.opts.Deployment, object.Name)
		if !ok || end.After(before) {
			return removed, false, nil
		}
		err := c.opts.Store.Delete(ctx, Kind, object.Name, object.Version)
		if err != nil && !errors.Is(err, objstore.ErrNotFound) && !errors.Is(err, objstore.ErrConflict) {
			return removed, false, errors.Trace(err)
		}
		removed++
		c.counters.cleared.Inc()
	}
	return removed, page.More, nil
}

// isCleaner reports whether the VM named self is one of the maxCleaners VMs that
// remove claims in the hour that begins at the given time. These VMs are chosen by
// rendezvous hashing over vms, the platform's list. The list may be outdated, so more
// or fewer VMs may remove claims. Several at once do no harm, because a segment is
// removed only if it still has the version that was listed.
func isCleaner(vms []objstore.VM, self string, hour time.Time) bool {
	rank := func(vm string) uint64 {
		return xxhash.Sum64String(vm + hour.UTC().Format(time.RFC3339))
	}
	var names []string
	for _, vm := range vms {
		if !vm.Leaving && vm.Name != self {
			names = append(names, vm.Name)
		}
	}
	lowerRanked := 0
	for _, other := range slices.Compact(slices.Sorted(slices.Values(names))) {
		if rank(other) < rank(self) {
			lowerRanked++
		}
	}
	return lowerRanked < maxCleaners
}
