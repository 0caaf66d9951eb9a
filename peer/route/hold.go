package route

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/peer/place"
)

const (
	// placeTimeout bounds all requests to the platform in one check of the place.
	placeTimeout = 5 * time.Second
	// placeInterval is the interval at which maintainPlace checks whether a place is
	// needed and tries to acquire one.
	placeInterval = time.Second
	// frozenAfter is the time since the last check after which the process is assumed
	// to have been frozen. Another VM may have acquired its place in the meantime.
	frozenAfter = 5 * time.Second
)

// heldPlace is the place that this process has claimed.
type heldPlace struct {
	held       *place.Held // nil if none
	unverified bool        // another VM may have acquired the place
}

// maintainPlace acquires a place as soon as some target doesn't accept connections of
// all VMs, and releases it when the router stops.
func (r *Router) maintainPlace() error {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	var h heldPlace
	last := time.Now()
	for {
		if time.Since(last) > frozenAfter {
			h.unverified = true
		}
		h = r.updatePlace(h)
		last = time.Now()
		select {
		case <-r.tomb.Dying():
			r.releasePlace(h.held)
			return nil
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

// updatePlace verifies, releases or acquires the place as needed. It returns the new
// state.
func (r *Router) updatePlace(h heldPlace) heldPlace {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), placeTimeout)
	defer cancel()
	if h.held != nil && h.unverified {
		// Connections to shared targets are closed until the platform has answered.
		r.setPlace(noPlace)
		lost, err := h.held.Lost(ctx)
		if err != nil {
			return h
		}
		if lost {
			h.held = nil
		}
	}
	r.mu.Lock()
	places, needed := r.places, r.shared
	r.mu.Unlock()
	if h.held != nil && h.held.Place >= places {
		r.setPlace(noPlace)
		r.releasePlace(h.held)
		h.held = nil
	}
	if h.held == nil && needed {
		h.held = r.acquirePlace(ctx, places)
	}
	if h.held != nil {
		r.setPlace(h.held.Place)
	}
	return heldPlace{held: h.held}
}

// acquirePlace claims a place. It returns nil if none can be acquired now.
func (r *Router) acquirePlace(ctx context.Context, places int) *place.Held {
	held, err := place.Acquire(ctx, r.opts.Place, places)
	if err != nil {
		r.opts.Log.Debug("no place acquired", "error", errors.Cause(err))
		return nil
	}
	r.opts.Log.Info("place acquired", "place", held.Place)
	return held
}

// setPlace publishes this VM's place and recomputes its connections. The place is
// noPlace if it has none.
func (r *Router) setPlace(newPlace int) {
	r.fleet.SetPlace(newPlace)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.place != newPlace {
		r.place = newPlace
		r.assignConnections()
	}
}

// releasePlace releases a place if held isn't nil. It doesn't use the context of the
// tomb, which has ended when the router stops.
func (r *Router) releasePlace(held *place.Held) {
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
	defer cancel()
	if err := held.Release(ctx); err != nil {
		r.opts.Log.Warn("place not released; another VM can acquire it once this VM counts as lost", "error", err)
	}
}
