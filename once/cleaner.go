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

// Bounds of the cleaner. Pages are short because a listing carries values.
const (
	maxCleaners        = 2 // VMs that clear at a time
	cleanPageSize      = 4
	maxCleanedPerRound = 200
	cleanPagePause     = 20 * time.Millisecond // between pages
	cleanerRotation    = time.Hour
)

// cleaner removes segments whose keys are all older than Keep + Margin.
type cleaner struct {
	opts  Options
	log   *slog.Logger
	count counters
	tomb  *tomb.Tomb
	ctx   context.Context // ends when tomb dies
}

func startCleaner(opts Options) *cleaner {
	t, life := tomb.WithContext(context.Background())
	c := &cleaner{tomb: t, ctx: life, opts: opts, log: opts.Log, count: newCounters(opts.Metrics)}
	c.tomb.Go(c.loop)
	return c
}

func (c *cleaner) stop() {
	c.tomb.Kill(nil)
	_ = c.tomb.Wait()
}

func (c *cleaner) loop() error {
	if c.opts.Deployment == "" {
		<-c.tomb.Dying()
		return nil
	}
	for c.sleep(c.opts.CleanInterval/2 + rand.N(c.opts.CleanInterval)) {
		if err := c.cleanRound(); err != nil {
			c.log.Warn("old claims stay for now", "error", err)
		}
	}
	return nil
}

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

// cleanRound removes up to cleanPerRound old segments, if it is this VM's turn.
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

func (c *cleaner) listVMs(ctx context.Context) ([]objstore.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	vms, err := c.opts.Store.VMs(ctx)
	return vms, errors.Trace(err)
}

// advanceRecord records that keys older than Keep + Margin are being cleared, and
// returns the time recorded.
func (c *cleaner) advanceRecord(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	before := c.opts.Clock().Add(-c.opts.KeyTTL - c.opts.MaxClockSkew)
	return advanceClearedRecord(ctx, c.opts.Store, c.opts.Deployment, before)
}

// removePage removes the segments of one page whose keys were all made before the
// time, from the oldest on. Names sort by time, so the first young one ends the
// round.
func (c *cleaner) removePage(ctx context.Context, before time.Time) (removed int, more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	page, err := c.opts.Store.List(ctx, Kind, prefix(c.opts.Deployment), cleanPageSize)
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
		c.count.cleared.Inc()
	}
	return removed, page.More, nil
}

// isCleaner tells whether the VM is among the few that clear in the hour: the
// first by rendezvous hashing over the platform's list. The list lags, so that
// more or fewer may be at it; removal is conditional and does no harm twice.
func isCleaner(vms []objstore.VM, name string, hour time.Time) bool {
	rank := func(vm string) uint64 {
		return xxhash.Sum64String(vm + hour.UTC().Format(time.RFC3339))
	}
	var names []string
	for _, vm := range vms {
		if !vm.Leaving && vm.Name != name {
			names = append(names, vm.Name)
		}
	}
	before := 0
	for _, other := range slices.Compact(slices.Sorted(slices.Values(names))) {
		if rank(other) < rank(name) {
			before++
		}
	}
	return before < maxCleaners
}
