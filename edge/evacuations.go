package edge

import (
	"context"
	"slices"
	"time"
)

// Evacuations is the set of zones whose leafs must get no requests, as the store lists it.
type Evacuations struct {
	Zones    []string // sorted
	Invalid  []string // names of invalid entries, which are not in Zones; sorted
	Revision Revision // revision of the store at which the set was read
}

// evacuationTracker holds the newest known set of evacuated zones. A set replaces another one only
// if it was read at a later revision of the store. So a VM that turns from one source to another
// one that lags behind does not go back to an older set.
type evacuationTracker struct {
	known   bool // a set was received
	current Evacuations
}

// offer adopts a set if it is newer, and returns the zones that it adds and removes. adopted says
// whether it was newer.
func (t *evacuationTracker) offer(next Evacuations) (begun, ended []string, adopted bool) {
	if t.known && next.Revision <= t.current.Revision {
		return nil, nil, false
	}
	begun = without(next.Zones, t.current.Zones)
	ended = without(t.current.Zones, next.Zones)
	t.known, t.current = true, next
	return begun, ended, true
}

// without returns the elements of list that are not in exclude.
func without(list, exclude []string) []string {
	var out []string
	for _, s := range list {
		if !slices.Contains(exclude, s) {
			out = append(out, s)
		}
	}
	return out
}

// offerEvacuations puts a set of evacuated zones in force if it is newer than the present one, and
// returns the zones that it adds and removes.
func (e *Engine) offerEvacuations(next Evacuations) (begun, ended []string) {
	e.mu.Lock()
	begun, ended, adopted := e.evacuations.offer(next)
	if len(begun)+len(ended) > 0 {
		e.table.SetEvacuatedZones(time.Now(), next.Zones)
	}
	e.mu.Unlock()
	if adopted {
		e.feed.setEvacuations(next)
	}
	return begun, ended
}

// evacuationRevision returns the revision of the store at which the set of evacuated zones in
// force was read, 0 if none is known.
func (e *Engine) evacuationRevision() Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evacuations.current.Revision
}

// evacuatedZones returns the number of evacuated zones, and whether this VM has learned them.
func (e *Engine) evacuatedZones() (n int, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.evacuations.current.Zones), e.evacuations.known
}

// evacuationChangePause is the pause between a watch that returned a new set of evacuated zones
// and the next watch.
const evacuationChangePause = 250 * time.Millisecond

// evacuationsResource returns the resource of the set of evacuated zones.
func (f *follower) evacuationsResource() resource {
	var invalid []string  // names of the invalid entries at the last read
	var freshAt time.Time // when the set was last known to be up to date; zero if never
	// apply puts a set in force if it is newer than the present one; next may be nil.
	apply := func(next *Evacuations) {
		now := time.Now()
		stale := time.Duration(0)
		if !freshAt.IsZero() {
			stale = now.Sub(freshAt)
		}
		freshAt = now
		if next == nil {
			return
		}
		if len(next.Invalid) > 0 && !slices.Equal(next.Invalid, invalid) {
			f.log.Warn("invalid evacuation entries ignored", "entries", next.Invalid, "revision", next.Revision)
		}
		invalid = next.Invalid
		begun, ended := f.e.offerEvacuations(*next)
		for _, zone := range begun {
			f.log.Info("zone evacuated", "zone", zone, "revision", next.Revision, "max_age_ms", stale.Milliseconds(), "leafs", f.e.leafsIn(zone))
		}
		for _, zone := range ended {
			f.log.Info("evacuation of a zone ended", "zone", zone, "revision", next.Revision, "max_age_ms", stale.Milliseconds())
		}
	}
	return resource{
		name: followedEvacuations,
		read: func(ctx context.Context) (Revision, error) {
			set, err := f.store.Evacuations(ctx)
			if err != nil {
				return 0, err
			}
			apply(&set)
			return set.Revision, nil
		},
		wait: f.settings.Bounds.followBound(followedEvacuations).wait,
		watch: func(ctx context.Context, since Revision, wait time.Duration) (Revision, bool, error) {
			set, revision, err := f.store.WatchEvacuations(ctx, since, wait)
			if err != nil {
				return 0, false, err
			}
			apply(set)
			return revision, set != nil, nil
		},
		pause: evacuationChangePause,
	}
}

// leafsIn returns the number of known leafs in a zone. An evacuation of a zone without leafs may
// be a misspelt name.
func (e *Engine) leafsIn(zone string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.CountIn(zone)
}
