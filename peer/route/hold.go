package route

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/peer/place"
)

const (
	placeTimeout = 5 * time.Second
	// placeInterval is the time between looks at whether a place is needed, and
	// between attempts to get one.
	placeInterval = time.Second
	// frozenAfter is how late a look is when the process must have been frozen.
	// Its place may have been given to another VM meanwhile.
	frozenAfter = 5 * time.Second
)

// heldPlace is the place that this process has claimed.
type heldPlace struct {
	held       *place.Held // nil if none
	unverified bool        // it may have been given to another VM
}

// maintainPlace claims a place as soon as some target isn't reached by all VMs, and
// gives it back at the end.
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

func (r *Router) updatePlace(h heldPlace) heldPlace {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), placeTimeout)
	defer cancel()
	if h.held != nil && h.unverified {
		// Connections are given up until the platform has answered.
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

func (r *Router) acquirePlace(ctx context.Context, places int) *place.Held {
	held, err := place.Acquire(ctx, r.opts.Place, places)
	if err != nil {
		r.opts.Log.Debug("no place", "error", errors.Cause(err))
		return nil
	}
	r.opts.Log.Info("place taken", "place", held.Place)
	return held
}

func (r *Router) setPlace(newPlace int) {
	r.fleet.SetPlace(newPlace)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.place != newPlace {
		r.place = newPlace
		r.assignConnections()
	}
}

func (r *Router) releasePlace(held *place.Held) {
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
	defer cancel()
	if err := held.Release(ctx); err != nil {
		r.opts.Log.Warn("place not given back; it is taken over once this VM counts as lost", "error", err)
	}
}
