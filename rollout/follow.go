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
func (k *Follower) readLoop() error {
	k.startRead()
	for {
		timer := time.NewTimer(k.readDelay())
		select {
		case <-timer.C:
		case <-k.headChanged:
		case <-k.modeChanged:
		case <-k.tomb.Dying():
			timer.Stop()
			return nil
		}
		timer.Stop()
		k.startRead()
	}
}

// readDelay spreads the VMs' reads by a tenth either way.
func (k *Follower) readDelay() time.Duration {
	every := k.opts.IdleInterval
	if k.watching.Load() {
		every = k.opts.RereadInterval
	}
	return time.Duration(float64(every) * (0.9 + 0.2*rand.Float64()))
}

func (k *Follower) startRead() {
	select {
	case k.readSlots <- struct{}{}:
	default:
		k.metrics.readsSkipped.Inc()
		return
	}
	k.tomb.Go(func() error {
		defer func() { <-k.readSlots }()
		k.readHead()
		return nil
	})
}

func (k *Follower) readHead() {
	ctx := k.tomb.Context(context.Background())
	obj, err := k.get(ctx, KindHead, k.opts.Deployment)
	if err == nil || errors.Is(err, objstore.ErrNotFound) {
		k.lastContact.Store(time.Now().UnixNano())
		k.metrics.reads.Inc()
	} else {
		k.metrics.readsFailed.Inc()
	}
	if err != nil {
		k.opts.Log.Debug("head not read", "error", err)
		return
	}
	if err := k.applyHead(ctx, obj.Value, k.fetchBundle); err != nil {
		k.opts.Log.Debug("head not taken", "error", err)
	}
}

// get bounds each call by itself: on a platform that takes long for each, a
// bound on head and bundle together would never let a bundle through.
func (k *Follower) get(ctx context.Context, kind, name string) (objstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, k.opts.ReadTimeout)
	defer cancel()
	return k.opts.Store.Get(ctx, kind, name)
}

func (k *Follower) fetchBundle(ctx context.Context, digest string) ([]byte, error) {
	obj, err := k.get(ctx, KindBundle, digest)
	if errors.Is(err, objstore.ErrNotFound) {
		return nil, result.Wrap(result.NotFound, err, "bundle "+digest)
	}
	if err != nil {
		return nil, result.Wrap(result.PlatformDown, err, "bundle "+digest)
	}
	return obj.Value, nil
}

// watchLoop waits on the platform for hints that the head changed.
func (k *Follower) watchLoop() error {
	var since uint64
	pause := minWatchRetryDelay
	for k.tomb.Alive() {
		if !k.watching.Load() {
			if !k.sleep(k.opts.RereadInterval) {
				return nil
			}
			continue
		}
		begin := time.Now()
		change, err := k.watch(since)
		// After a failure the next watch starts from the beginning, in case
		// the store was set back to an earlier revision meanwhile.
		since = change.Revision
		// A platform that answers at once without news must not be asked in a
		// tight loop.
		if err != nil || len(change.Events) == 0 && time.Since(begin) < minWatchRetryDelay {
			if !k.sleep(pause) {
				return nil
			}
			pause = min(2*pause, maxWatchRetryDelay)
			continue
		}
		pause = minWatchRetryDelay
		if k.affectsHead(change) {
			wake(k.headChanged)
		}
	}
	return nil
}

func (k *Follower) watch(since uint64) (objstore.WatchResult, error) {
	ctx, cancel := context.WithTimeout(k.tomb.Context(context.Background()), k.opts.WatchTimeout)
	defer cancel()
	k.metrics.watches.Inc()
	return k.opts.Store.Watch(ctx, KindHead, since)
}

func (k *Follower) affectsHead(change objstore.WatchResult) bool {
	for _, e := range change.Events {
		if e.Name == k.opts.Deployment {
			return true
		}
	}
	return false
}

// sleep waits for d and tells whether the keeper is still alive.
func (k *Follower) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-k.tomb.Dying():
		return false
	}
}
