package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// maxConcurrentReads bounds how many reads of the head one VM has in flight. If the
// platform takes longer for a read than the interval between reads, several are in
// flight at once, and each can still complete.
const maxConcurrentReads = 4

// Bounds of the delay after a watch of the head that failed.
const (
	minWatchRetryDelay = 200 * time.Millisecond // delay after the first failed watch of the head; it doubles with each further one
	maxWatchRetryDelay = 2 * time.Second        // longest delay after any failed watch of the head
)

// readLoop reads the head at the start and then periodically until the follower
// stops. It also reads while a watch is active, because a watch that loses or
// withholds an event looks the same as a platform where nothing changed. It reads at
// once when a watch reports a change of the head, or when SetWatching switches
// watching on or off.
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

// readDelay returns the delay until the next read of the head: RereadInterval while
// the VM watches the platform, else IdleInterval, varied at random by up to 10 % in
// both directions. So the reads of many VMs are spread over time.
func (f *Follower) readDelay() time.Duration {
	interval := f.opts.IdleInterval
	if f.watching.Load() {
		interval = f.opts.RereadInterval
	}
	return time.Duration(float64(interval) * (0.9 + 0.2*rand.Float64()))
}

// startRead starts a read of the head in the background. It skips the read if
// maxConcurrentReads are in flight.
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

// readHead reads the head from the platform and applies it.
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
		f.opts.Log.Debug("reading the head failed", "error", err)
		return
	}
	if err := f.applyHead(ctx, obj.Value, f.fetchBundle); err != nil {
		f.opts.Log.Debug("head not applied", "error", err)
	}
}

// get reads one object, within ReadTimeout. The reads of the head and of its bundle
// have a timeout each: on a slow platform, a common timeout could expire each time
// before the bundle is read.
func (f *Follower) get(ctx context.Context, kind, name string) (objstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.ReadTimeout)
	defer cancel()
	return f.opts.Store.Get(ctx, kind, name)
}

// fetchBundle reads the packaged bundle with that digest from the platform. It is a
// FetchFunc.
func (f *Follower) fetchBundle(ctx context.Context, digest string) ([]byte, error) {
	obj, err := f.get(ctx, KindBundle, digest)
	if errors.Is(err, objstore.ErrNotFound) {
		return nil, result.Wrap(result.NotFound, err, "reading bundle "+digest)
	}
	if err != nil {
		return nil, result.Wrap(result.PlatformDown, err, "reading bundle "+digest)
	}
	return obj.Value, nil
}

// watchLoop watches the platform until the follower stops, and triggers a read when
// the head changed. While watching is switched off, it only waits.
func (f *Follower) watchLoop() error {
	var since uint64            // revision of the store up to which watches reported changes
	delay := minWatchRetryDelay // after the next watch that fails
	for f.tomb.Alive() {
		if !f.watching.Load() {
			if !f.sleep(f.opts.RereadInterval) {
				return nil
			}
			continue
		}
		start := time.Now()
		change, err := f.watch(since)
		// After a failure change.Revision is 0, so the next watch starts from the
		// beginning: the store may have been reverted to an earlier revision.
		since = change.Revision
		// A watch that failed, or that returned at once without events, is followed
		// by a delay, so that the loop does not call the platform continuously.
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

// watch waits, at most WatchTimeout, until the platform reports changes of heads, of
// any deployment, after the store's revision since.
func (f *Follower) watch(since uint64) (objstore.WatchResult, error) {
	ctx, cancel := context.WithTimeout(f.tomb.Context(context.Background()), f.opts.WatchTimeout)
	defer cancel()
	f.metrics.watches.Inc()
	return f.opts.Store.Watch(ctx, KindHead, since)
}

// affectsHead reports whether the changes include one of this deployment's head.
func (f *Follower) affectsHead(change objstore.WatchResult) bool {
	for _, e := range change.Events {
		if e.Name == f.opts.Deployment {
			return true
		}
	}
	return false
}

// sleep waits for d. It returns false if the follower is stopped first.
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
