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
	cleaners       = 2 // VMs that clear at a time
	cleanPage      = 4
	cleanPerRound  = 200
	cleanPause     = 20 * time.Millisecond // between pages
	cleanerChanges = time.Hour
)

// cleaner removes segments whose keys are all older than Keep + Margin.
type cleaner struct {
	opts  Options
	log   *slog.Logger
	count counters
	tomb  *tomb.Tomb
	life  context.Context // ends when tomb dies
}

func startCleaner(opts Options) *cleaner {
	t, life := tomb.WithContext(context.Background())
	c := &cleaner{tomb: t, life: life, opts: opts, log: opts.Log, count: newCounters(opts.Metrics)}
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
	for c.sleep(c.opts.CleanEvery/2 + rand.N(c.opts.CleanEvery)) {
		if err := c.round(); err != nil {
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

// round removes up to cleanPerRound old segments, if it is this VM's turn.
func (c *cleaner) round() error {
	vms, err := c.vms(c.life)
	if err != nil {
		return errors.Trace(err)
	}
	if !chosen(vms, c.opts.VM, c.opts.Clock().Truncate(cleanerChanges)) {
		return nil
	}
	before, err := c.raise(c.life)
	if err != nil {
		return errors.Trace(err)
	}
	for removed := 0; removed < cleanPerRound; {
		n, more, err := c.step(c.life, before)
		if err != nil {
			return errors.Trace(err)
		}
		removed += n
		if !more || !c.sleep(cleanPause) {
			return nil
		}
	}
	return nil
}

func (c *cleaner) vms(ctx context.Context) ([]objstore.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	vms, err := c.opts.Store.VMs(ctx)
	return vms, errors.Trace(err)
}

// raise records that keys older than Keep + Margin are being cleared, and
// returns the time recorded.
func (c *cleaner) raise(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	before := c.opts.Clock().Add(-c.opts.Keep - c.opts.Margin)
	return raiseCleared(ctx, c.opts.Store, c.opts.Deployment, before)
}

// step removes the segments of one page whose keys were all made before the
// time, from the oldest on. Names sort by time, so the first young one ends the
// round.
func (c *cleaner) step(ctx context.Context, before time.Time) (removed int, more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	page, err := c.opts.Store.List(ctx, Kind, prefix(c.opts.Deployment), cleanPage)
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

// chosen tells whether the VM is among the few that clear in the hour: the
// first by rendezvous hashing over the platform's list. The list lags, so that
// more or fewer may be at it; removal is conditional and does no harm twice.
func chosen(vms []objstore.VM, name string, hour time.Time) bool {
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
	return before < cleaners
}
