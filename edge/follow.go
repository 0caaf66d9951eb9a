package edge

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// watchShare is the part of the time within which a change has to be known that a
// watch waits. Each call is paid for, but a watch is a hint that may be silent for good:
// the store may have forgotten it, or something on the way the connection. The rest of
// the time is for noticing and for reading anew.
const watchShare = 0.6

// Times of following the store.
const (
	vmsWatchTimeout = 20 * time.Second
	// The pauses after a watch that told something let the changes that come in a
	// row be told by one call. A drain or a manifest has to be known within 3 s.
	manifestPause = 250 * time.Millisecond
	leafsPause    = 500 * time.Millisecond
	vmsPause      = 2 * time.Second
	// The pauses after a call that failed. All VMs lose the store at once, so they
	// are spread.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 1500 * time.Millisecond
	// vmsRetryPause is the pause before the list of VMs is read again after a watch of it
	// failed: it changes little, and nothing waits for it.
	vmsRetryPause = 4 * time.Second
	// deferredReadPause is the pause of a VM that leaves the store to those that read it for
	// others. Asking these costs no call of the store.
	deferredReadPause = 200 * time.Millisecond
	// firstStartPause is how long a VM of a system that starts for the first time waits until the
	// others are announced. All start within 0.3 s.
	firstStartPause = 600 * time.Millisecond
)

// follower keeps an engine up to date with the store.
type follower struct {
	e           *Engine
	store       Store
	settings    *Settings
	self        scatter.VM
	log         *slog.Logger
	leafsListed chan struct{} // receives when the leafs were listed once
	// ready reports whether this VM knows what it must to answer others. They call it
	// from the moment when it is announced.
	ready     func() bool
	announcer *announcer
	// listen opens this VM to calls of the others; a second call does nothing.
	listen func(self scatter.VM) error
	// joined is called when the other VMs are known; a second call does nothing.
	joined func()
}

// backoff waits before the next try, longer after each failure in a row.
func backoff(ctx context.Context, failures int) {
	d := min(minRetryPause<<min(failures, 4), maxRetryPause)
	sleep(ctx, d/2+rand.N(d/2))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watchTimeout returns how long a watch waits for something that has to be known within a
// bound, in milliseconds.
func (f *follower) watchTimeout(boundMS float64) time.Duration {
	return time.Duration(watchShare * boundMS * float64(time.Millisecond))
}

// resource is one thing that is followed: read whole, then watched.
type resource struct {
	name string
	read func(ctx context.Context) (Revision, error)
	// watch takes what changed after a revision, and returns where to go on and
	// whether anything did.
	watch func(ctx context.Context, since Revision) (Revision, bool, error)
	pause time.Duration // after a watch that told something
}

// follow reads and watches until ctx ends.
func (f *follower) follow(ctx context.Context, s resource) {
	failures := 0
	for ctx.Err() == nil {
		at, err := s.read(ctx)
		if errors.Is(err, errReadDeferred) {
			sleep(ctx, deferredReadPause)
			continue
		}
		f.e.stats.store(s.name, err)
		if err != nil {
			if failures == 0 {
				f.log.Warn("store lost", "reading", s.name, "error", err)
			}
			failures++
			backoff(ctx, failures)
			continue
		}
		if failures > 0 {
			f.log.Info("store regained", "reading", s.name, "failures", failures, "revision", at)
			failures = 0
		}
		began := time.Now()
		err = f.watch(ctx, s, at)
		f.log.Debug("watch ended", "reading", s.name, "error", err)
		if errors.Is(err, ErrHistoryCompacted) && time.Since(began) < s.pause {
			// What was read may be older than what the store remembers: reading and
			// watching could take turns for ever, a hundred times a second.
			sleep(ctx, s.pause)
		}
	}
}

// watch watches from a revision until a call fails. A watch that ends early and empty
// is followed by a short pause: a store in trouble may end every one at once.
func (f *follower) watch(ctx context.Context, s resource, at Revision) error {
	for ctx.Err() == nil {
		began := time.Now()
		next, changed, err := s.watch(ctx, at)
		f.e.stats.store("watch_"+s.name, err)
		if err != nil {
			return err
		}
		at = max(at, next)
		if changed || time.Since(began) < s.pause {
			sleep(ctx, s.pause)
		}
	}
	return ctx.Err()
}

// manifests follows the manifest.
func (f *follower) manifests() resource {
	take := func(m *routing.Manifest) {
		if m != nil && f.e.Offer(m) {
			f.log.Info("manifest in force", "manifest", m.Version, "routes", len(m.Routes), "services", len(m.Services))
		}
	}
	return resource{
		name: "manifest",
		read: func(ctx context.Context) (Revision, error) {
			m, at, err := f.store.Manifest(ctx)
			take(m)
			return at, err
		},
		watch: func(ctx context.Context, since Revision) (Revision, bool, error) {
			m, at, err := f.store.WatchManifest(ctx, since, f.watchTimeout(f.settings.Bounds.ManifestMS))
			take(m)
			return at, m != nil, err
		},
		pause: manifestPause,
	}
}

// leafs follows the list of leafs.
func (f *follower) leafs() resource {
	var age listAge
	return resource{
		name: "leafs",
		read: func(ctx context.Context) (Revision, error) {
			list, err := f.store.Leafs(ctx)
			if err != nil {
				age.failed = true
				return 0, err
			}
			f.logLeafChanges(f.e.applyLeafChanges(func(now time.Time, r *registry.Registry) []registry.Change {
				if hold := age.hold(now, list.AfterOutage, f.settings.Bounds.drainBound()); hold > 0 {
					time.AfterFunc(time.Until(r.StoreRecovered(now, hold)), f.expireHeldLeafs)
				}
				return r.Replace(now, list.Leafs)
			}), list.Revision)
			if list.Invalid > 0 {
				f.log.Warn("entries that name no leaf", "count", list.Invalid, "revision", list.Revision)
			}
			select {
			case f.leafsListed <- struct{}{}:
			default:
			}
			return list.Revision, nil
		},
		watch: func(ctx context.Context, since Revision) (Revision, bool, error) {
			c, err := f.store.WatchLeafs(ctx, since, f.watchTimeout(f.settings.Bounds.DrainMS))
			if err != nil {
				return 0, false, err
			}
			age.freshAt = time.Now()
			f.logLeafChanges(f.e.applyLeafChanges(func(now time.Time, r *registry.Registry) []registry.Change {
				var out []registry.Change
				for _, one := range c.Changes {
					if one.Gone {
						out = append(out, r.Remove(now, one.Leaf.ID)...)
					} else {
						out = append(out, r.Put(one.Leaf)...)
					}
				}
				return out
			}), c.Revision)
			return c.Revision, len(c.Changes) > 0, nil
		},
		pause: leafsPause,
	}
}

// listAge is what a VM knows of how old its list of leafs was when it read it anew.
type listAge struct {
	failed  bool      // a reading failed since the list was last known to be fresh
	freshAt time.Time // when that was
}

// maxHoldShare is the part of the time within which a leaf that left must get no more
// requests, after which a missing one is not held any longer.
const maxHoldShare = 0.85

// hold returns for how long leafs that are missing from a new list are held. After an
// outage of the store their entries may have lapsed. If only the VM that was followed
// failed, that may be so too; but a leaf may as well have left just after the list was
// last known to be fresh, and is held no longer than it may get requests then.
func (a *listAge) hold(now time.Time, afterOutage bool, bound time.Duration) time.Duration {
	hold := time.Duration(0)
	switch {
	case afterOutage, a.failed && a.freshAt.IsZero():
		// So too for a VM that has just started and at first found nobody to read from.
		hold = registry.OutageHold
	case a.failed:
		hold = min(registry.OutageHold, a.freshAt.Add(time.Duration(maxHoldShare*float64(bound))).Sub(now))
	}
	*a = listAge{freshAt: now}
	return max(hold, 0)
}

// maxChangeLines is how many changes of one listing are written one by one.
const maxChangeLines = 12

// logLeafChanges writes what this VM now believes of leafs: each change, or a summary where
// there are many, as at the start.
func (f *follower) logLeafChanges(changes []registry.Change, at Revision) {
	if len(changes) > maxChangeLines {
		f.log.Info("leafs changed", "count", len(changes), "leafs", f.e.Leafs(), "revision", at)
		return
	}
	for _, c := range changes {
		f.log.Info("leaf changed",
			"leaf", c.Leaf.ID, "born", c.Leaf.Born, "service", c.Leaf.Service, "address", c.Leaf.Address,
			"zone", c.Leaf.Zone, "draining", c.Leaf.Draining, "gone", c.Gone, "revision", at)
	}
}

// expireHeldLeafs drops the leafs that are still missing when the hold after an outage ends.
func (f *follower) expireHeldLeafs() {
	f.logLeafChanges(f.e.applyLeafChanges(func(now time.Time, r *registry.Registry) []registry.Change {
		return r.ExpireHeld(now)
	}), 0)
}
