package edge

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Timeouts and pauses for following the store: reading it and then watching it for changes.
const (
	// vmsWatchTimeout is how long a watch of the list of VMs waits for a change.
	vmsWatchTimeout = 20 * time.Second
	// Pauses after a watch that returned changes, so that the next call returns all changes
	// that follow shortly after. A drain or a manifest must be known within 3 s.
	manifestChangePause = 250 * time.Millisecond // pause between a watch that returned a new manifest and the next watch
	leafsChangePause    = 500 * time.Millisecond // pause between a watch that returned changes of the list of leafs and the next watch
	vmsChangePause      = 2 * time.Second        // pause between a watch that returned changes of the list of VMs and the next watch
	// baseRetryPause is the upper bound of the pause before the next try of a store call if no
	// try has failed. The bound doubles with each failure in a row, up to maxRetryPause. The
	// pause is random, between half and all of the bound, because all VMs lose the store at the
	// same time.
	baseRetryPause = 100 * time.Millisecond
	// maxRetryPause is the longest pause before the next try of a store call, after any number
	// of failures.
	maxRetryPause = 1500 * time.Millisecond
	// vmsRetryPause is the longest pause before the list of VMs is read again after a watch
	// of it failed. The pause is random, at least half as long. The list rarely changes, and
	// nothing waits for it.
	vmsRetryPause = 4 * time.Second
	// deferredReadPause is the pause between a read of the store that was deferred
	// (errReadDeferred) and the next try. It is short, because the next try first calls the
	// VMs that read the store for others, which costs no store call.
	deferredReadPause = 200 * time.Millisecond
	// firstStartPause is how long a VM waits for the others to announce themselves when the
	// whole system starts for the first time. All VMs start within 0.3 s.
	firstStartPause = 600 * time.Millisecond
)

// follower keeps an engine up to date with the store.
type follower struct {
	e           *Engine
	store       Store
	settings    *Settings
	self        scatter.VM // this VM
	log         *slog.Logger
	leafsListed chan struct{} // receives a value when the leafs have been listed
	// ready reports whether this VM knows enough to answer calls of other VMs. Other VMs call
	// this one once it is announced.
	ready     func() bool
	announcer *announcer // writes this VM's entry in the list of VMs
	// listen starts accepting calls of other VMs. It does nothing after the first success.
	listen func(self scatter.VM) error
	// followResources starts following the leafs, the manifest and evacuations. It is called
	// when the list of VMs has been read, or when listen fails. It does nothing after the
	// first call.
	followResources func()

	settleOnce sync.Once
	settled    chan struct{} // closed when the list of VMs is known to hold all that started with this one
}

// backoff waits before the next try of a store call, or until ctx ends. failures is the number
// of failures in a row. The wait is random, between half and all of an upper bound. The bound
// is minRetryPause without a failure and doubles with each one, up to maxRetryPause.
func backoff(ctx context.Context, failures int) {
	d := min(baseRetryPause<<min(failures, 4), maxRetryPause)
	sleep(ctx, d/2+rand.N(d/2))
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// resource is something in the store that is followed: it is read as a whole, and then
// watched for changes.
type resource struct {
	name string // name of the resource in log lines and metrics
	// read reads the resource and applies it to the engine. It returns the revision of the
	// store from which to watch.
	read func(ctx context.Context) (Revision, error)
	// watch waits for changes after a revision, at most for the time wait, and applies them to the
	// engine. It returns the revision to continue from and whether anything changed.
	watch func(ctx context.Context, since Revision, wait time.Duration) (Revision, bool, error)
	// wait is the longest time from one answer to a watch to the next one, pauses included.
	wait time.Duration
	// pause is the time between two watches if the first one returned changes, or if it took
	// less than pause and returned none.
	pause time.Duration
}

// follow reads and watches a resource until ctx ends.
func (f *follower) follow(ctx context.Context, res resource) {
	failures := 0
	for ctx.Err() == nil {
		revision, err := res.read(ctx)
		if errors.Is(err, errReadDeferred) {
			sleep(ctx, deferredReadPause)
			continue
		}
		f.e.stats.store(res.name, err)
		if err != nil {
			if failures == 0 {
				f.log.Warn("store lost", "reading", res.name, "error", err)
			}
			failures++
			backoff(ctx, failures)
			continue
		}
		if failures > 0 {
			f.log.Info("store regained", "reading", res.name, "failures", failures, "revision", revision)
			failures = 0
		}
		if r, ok := f.store.(*relay); ok {
			r.recordApplied(res.name)
		}
		began := time.Now()
		err = f.watch(ctx, res, revision)
		f.log.Debug("watch ended", "reading", res.name, "error", err)
		if errors.Is(err, ErrHistoryCompacted) && time.Since(began) < res.pause {
			// The revision that was read may be older than the history that the store keeps.
			// Without a pause, reading and watching could alternate endlessly, a hundred
			// times a second.
			sleep(ctx, f.pauseBeforeRead(res))
		}
	}
}

// pauseBeforeRead returns the pause between a watch that ended at once and the next read of a resource.
// If the resource is read from another VM, the pause ends before this VM's knowledge is too old to wait.
func (f *follower) pauseBeforeRead(res resource) time.Duration {
	if r, ok := f.store.(*relay); ok && r.followsVM(res.name) {
		return min(res.pause, r.timeLeft(res.name))
	}
	return res.pause
}

// watch watches a resource from a revision until a call fails. It pauses after a call that
// returned changes. It also pauses after a call that ended early without changes, because a
// store that is failing may end every watch at once. A watch after a pause waits for less, so that the
// next answer does not come later: other VMs follow this one only while its latest one is recent.
func (f *follower) watch(ctx context.Context, res resource, revision Revision) error {
	wait := res.wait
	for ctx.Err() == nil {
		began := time.Now()
		next, changed, err := res.watch(ctx, revision, wait)
		f.e.stats.store("watch_"+res.name, err)
		if err != nil {
			return err
		}
		revision = max(revision, next)
		wait = res.wait
		if pause := f.pauseAfter(res); changed || time.Since(began) < pause {
			sleep(ctx, pause)
			wait = waitAfterPause(wait, pause)
		}
	}
	return ctx.Err()
}

// followedPause is the pause between two watches of a resource that this VM reads from another VM.
// That VM pauses between its own watches of the store, so changes arrive in batches anyway. VMs that
// know different leafs decline each other's shards, so the lag has to be short.
const followedPause = 50 * time.Millisecond

// pauseAfter returns the pause between two watches of a resource.
func (f *follower) pauseAfter(res resource) time.Duration {
	if r, ok := f.store.(*relay); ok && r.followsVM(res.name) {
		return min(followedPause, res.pause)
	}
	return res.pause
}

// manifests returns the resource of the manifest.
func (f *follower) manifests() resource {
	var reported Revision // of the latest invalid manifest that was reported
	// apply puts a manifest in force if it is newer than the present one; m may be nil. err is the
	// error of the call that returned it. An invalid manifest is only reported: the store has
	// answered, and the manifest before stays in force. apply returns all other errors.
	apply := func(m *routing.Manifest, err error) error {
		if m != nil && f.e.Offer(m) {
			f.log.Info("manifest in force", "manifest", m.Version, "routes", len(m.Routes), "services", len(m.Services))
		}
		invalid := routing.AsInvalid(err)
		if (invalid != nil || m != nil) && f.e.currency.setSourceValid(invalid == nil) {
			f.e.sourceFailed.notify()
		}
		if invalid != nil && Revision(invalid.Revision) != reported {
			reported = Revision(invalid.Revision)
			f.e.stats.count(`bramley_edge_bad_manifests_total`)
			f.log.Error("bad manifest ignored", "manifest", invalid.Version, "in_force", f.e.manifestVersion(), "revision", invalid.Revision, "error", invalid.Cause)
		}
		err = storeFailure(err)
		if r, ok := f.store.(*relay); ok && err == nil {
			f.e.currency.confirm(time.Now(), r.confirmedAt, true)
		}
		return err
	}
	return resource{
		name: followedManifest,
		read: func(ctx context.Context) (Revision, error) {
			m, revision, err := f.store.Manifest(ctx)
			err = apply(m, err)
			// A failed watch does not count: the read that follows at once shows whether the
			// source is lost.
			if f.e.currency.setSource(err == nil) {
				f.e.sourceFailed.notify()
			}
			return revision, err
		},
		wait: f.settings.Bounds.followBound(followedManifest).wait,
		watch: func(ctx context.Context, since Revision, wait time.Duration) (Revision, bool, error) {
			m, revision, err := f.store.WatchManifest(ctx, since, wait)
			changed := m != nil || routing.AsInvalid(err) != nil
			return revision, changed, apply(m, err)
		},
		pause: manifestChangePause,
	}
}

// leafs returns the resource of the list of leafs. After an outage of the store, healthy leafs
// may be missing from the list. Missing leafs are then held, that is, kept in use for a short
// time.
func (f *follower) leafs() resource {
	var age listAge
	return resource{
		name: followedLeafs,
		read: func(ctx context.Context) (Revision, error) {
			list, err := f.store.Leafs(ctx)
			if err != nil {
				age.failed = true
				return 0, err
			}
			f.logLeafChanges(f.e.applyLeafChanges(func(now time.Time, r *registry.Registry) []registry.Change {
				if hold := age.missingLeafHold(now, list.AfterOutage, f.settings.Bounds.drainBound()); hold > 0 {
					// StoreRecovered returns when the hold ends.
					time.AfterFunc(time.Until(r.StoreRecovered(now, hold)), f.expireHeldLeafs)
				}
				return r.Replace(now, list.Leafs)
			}), list.Revision)
			age.freshAt = f.knownAt(followedLeafs)
			if list.Invalid > 0 {
				f.log.Warn("invalid leaf entries ignored", "count", list.Invalid, "revision", list.Revision)
			}
			select {
			case f.leafsListed <- struct{}{}:
			default:
			}
			return list.Revision, nil
		},
		wait: f.settings.Bounds.followBound(followedLeafs).wait,
		watch: func(ctx context.Context, since Revision, wait time.Duration) (Revision, bool, error) {
			c, err := f.store.WatchLeafs(ctx, since, wait)
			if err != nil {
				return 0, false, err
			}
			age.freshAt = f.knownAt(followedLeafs)
			f.logLeafChanges(f.e.applyLeafChanges(func(now time.Time, r *registry.Registry) []registry.Change {
				var out []registry.Change
				for _, change := range c.Changes {
					if change.Gone {
						out = append(out, r.Remove(now, change.Leaf.ID)...)
					} else {
						out = append(out, r.Put(change.Leaf)...)
					}
				}
				return out
			}), c.Revision)
			return c.Revision, len(c.Changes) > 0, nil
		},
		pause: leafsChangePause,
	}
}

// knownAt returns the time of which this VM knows a resource that it has just read, or has been told of.
func (f *follower) knownAt(resource string) time.Time {
	if _, ok := f.store.(*relay); ok {
		return f.e.known.time(resource)
	}
	return time.Now()
}

// listAge records how old this VM's list of leafs is. The age determines how long leafs that
// are missing from the next list are held after a failed read, that is, kept in use.
type listAge struct {
	failed  bool      // a read of the list failed since freshAt
	freshAt time.Time // the latest time of which the list is known to be up to date; zero if never
}

// maxHoldShare bounds how long a leaf that is missing from the list of leafs is held, that is,
// kept in use, if no outage of the store is known. The bound counts from when the list was last
// known to be up to date. It is a share of the time within which a leaf that left must get no
// more requests.
const maxHoldShare = 0.85

// missingLeafHold returns for how long leafs that are missing from a list just read are held,
// that is, kept in use, and marks the list as fresh. It returns 0 if nothing failed since the
// previous list. afterOutage says that the store may have been unavailable since then. bound is
// the time within which a leaf that left must get no more requests.
//
// After an outage of the store, the entries of healthy leafs may have expired, so missing
// leafs are held for registry.OutageHold. If reads failed but no outage of the store is known,
// as when the followed VM failed, the entries may have expired too, and missing leafs are held
// as well. But such a leaf may instead have left, possibly just after the list was last known
// to be fresh. So in this case the hold ends before bound has passed since that time.
func (a *listAge) missingLeafHold(now time.Time, afterOutage bool, bound time.Duration) time.Duration {
	hold := time.Duration(0)
	switch {
	case afterOutage, a.failed && a.freshAt.IsZero():
		// This includes a VM that has just started and at first found no VM to read from.
		hold = registry.OutageHold
	case a.failed:
		hold = min(registry.OutageHold, a.freshAt.Add(time.Duration(maxHoldShare*float64(bound))).Sub(now))
	}
	*a = listAge{freshAt: now}
	return max(hold, 0)
}

// maxChangeLines is the number of changes of the list of leafs up to which each change gets a
// log line of its own.
const maxChangeLines = 12

// logLeafChanges logs each change of the list of leafs, or a summary if there are more than
// maxChangeLines, as at the start. revision is the one that was returned with the changes, 0 for
// the changes of expireHeldLeafs.
func (f *follower) logLeafChanges(changes []registry.Change, revision Revision) {
	if len(changes) > maxChangeLines {
		f.log.Info("leafs changed", "count", len(changes), "leafs", f.e.Leafs(), "revision", revision)
		return
	}
	for _, c := range changes {
		f.log.Info("leaf changed",
			"leaf", c.Leaf.ID, "born", c.Leaf.Born, "service", c.Leaf.Service, "address", c.Leaf.Address,
			"zone", c.Leaf.Zone, "draining", c.Leaf.Draining, "gone", c.Gone, "revision", revision)
	}
}

// expireHeldLeafs removes the leafs that were held, that is, kept in use although missing from
// the list, and are still missing. It is called when the hold ends.
func (f *follower) expireHeldLeafs() {
	f.logLeafChanges(f.e.applyLeafChanges(func(now time.Time, r *registry.Registry) []registry.Change {
		return r.ExpireHeld(now)
	}), 0)
}
