package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// maxConcurrentReads bounds the reads of the head under way at once. A platform that
// answers more slowly than the reads are due is still read, with delay.
const maxConcurrentReads = 4

// The pauses between watches that failed.
const (
	minWatchRetryDelay = 200 * time.Millisecond
	maxWatchRetryDelay = 2 * time.Second
)

// readLoop re-reads the head at an even pace, whatever watches say: a watch
// that lost or withholds an event looks just like a platform where nothing
// changed.
func (f *Follower) readLoop() error {
	f.startRead()
	for {
		timer := time.NewTimer(f.readDelay())
		select {
		case <-timer.C:
		case <-f.headChanged:
		case <-f.modeChanged:
		case <-f.tomb.Dying():
			timer.Stop()
			return nil
		}
		timer.Stop()
		f.startRead()
	}
}

// readDelay spreads the VMs' reads by a tenth either way.
func (f *Follower) readDelay() time.Duration {
	interval := f.opts.IdleInterval
	if f.watching.Load() {
		interval = f.opts.RereadInterval
	}
	return time.Duration(float64(interval) * (0.9 + 0.2*rand.Float64()))
}

func (f *Follower) startRead() {
	select {
	case f.readSlots <- struct{}{}:
	default:
		f.metrics.readsSkipped.Inc()
		return
	}
	f.tomb.Go(func() error {
		defer func() { <-f.readSlots }()
		f.readHead()
		return nil
	})
}

func (f *Follower) readHead() {
	ctx := f.tomb.Context(context.Background())
	obj, err := f.get(ctx, KindHead, f.opts.Deployment)
	if err == nil || errors.Is(err, objstore.ErrNotFound) {
		f.lastContact.Store(time.Now().UnixNano())
		f.metrics.reads.Inc()
	} else {
		f.metrics.readsFailed.Inc()
	}
	if err != nil {
		f.opts.Log.Debug("head not read", "error", err)
		return
	}
	if err := f.applyHead(ctx, obj.Value, f.fetchBundle); err != nil {
		f.opts.Log.Debug("head not taken", "error", err)
	}
}

// get bounds each call by itself: on a platform that takes long for each, a
// bound on head and bundle together would never let a bundle through.
func (f *Follower) get(ctx context.Context, kind, name string) (objstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.ReadTimeout)
	defer cancel()
	return f.opts.Store.Get(ctx, kind, name)
}

func (f *Follower) fetchBundle(ctx context.Context, digest string) ([]byte, error) {
	obj, err := f.get(ctx, KindBundle, digest)
	if errors.Is(err, objstore.ErrNotFound) {
		return nil, result.Wrap(result.NotFound, err, "bundle "+digest)
	}
	if err != nil {
		return nil, result.Wrap(result.PlatformDown, err, "bundle "+digest)
	}
	return obj.Value, nil
}

// watchLoop waits on the platform for hints that the head changed.
func (f *Follower) watchLoop() error {
	var since uint64
	delay := minWatchRetryDelay
	for f.tomb.Alive() {
		if !f.watching.Load() {
			if !f.sleep(f.opts.RereadInterval) {
				return nil
			}
			continue
		}
		start := time.Now()
		change, err := f.watch(since)
		// After a failure the next watch starts from the beginning, in case
		// the store was set back to an earlier revision meanwhile.
		since = change.Revision
		// A platform that answers at once without news must not be asked in a
		// tight loop.
		if err != nil || len(change.Events) == 0 && time.Since(start) < minWatchRetryDelay {
			if !f.sleep(delay) {
				return nil
			}
			delay = min(2*delay, maxWatchRetryDelay)
			continue
		}
		delay = minWatchRetryDelay
		if f.affectsHead(change) {
			wake(f.headChanged)
		}
	}
	return nil
}

func (f *Follower) watch(since uint64) (objstore.Change, error) {
	ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), f.opts.WatchTimeout)
	defer cancel()
	f.metrics.watches.Inc()
	return f.opts.Store.Watch(ctx, KindHead, since)
}

func (f *Follower) affectsHead(change objstore.Change) bool {
	for _, e := range change.Events {
		if e.Name == f.opts.Deployment {
			return true
		}
	}
	return false
}

// sleep waits for d and tells whether the keeper is still alive.
func (f *Follower) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.tomb.Dying():
		return false
	}
}
