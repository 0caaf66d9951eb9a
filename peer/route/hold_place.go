package route

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/peer/place"
)

const (
	// placeTimeout bounds the time that one call of updatePlace or releasePlace spends on
	// requests to the platform, which stores the claims to places.
	placeTimeout = 5 * time.Second
	// placeCheckInterval is the interval at which maintainPlace calls updatePlace, which
	// verifies, releases or acquires this VM's place.
	placeCheckInterval = time.Second
	// frozenAfter is the time since the end of the last updatePlace after which the process
	// is assumed to have been frozen. Another VM may have acquired this VM's place in the
	// meantime.
	frozenAfter = 5 * time.Second
	// contestInterval is the minimum time between two reads of the platform that verify a
	// place which another VM states to hold too.
	contestInterval = 5 * time.Second
)

// heldPlace is this VM's place, if it has one, as maintainPlace knows it. A place is a number
// that no other VM holds; it decides to which targets this VM owns connections.
type heldPlace struct {
	held        *place.Held // the claim; nil if this process has no place
	unverified  bool        // another VM may have acquired the place; the platform has to be asked before the place is used
	contestedAt time.Time   // when the platform was last asked because the place was contested; zero if it never was
}

// maintainPlace acquires a place for this VM once some target doesn't accept connections
// of all VMs. After a time in which the process seems to have been frozen, the place is
// verified before this VM uses it again. It is also verified while another VM states that it
// holds the place: this VM may have counted as lost without being frozen. maintainPlace
// releases the place when the router stops.
func (r *Router) maintainPlace() error {
	ticker := time.NewTicker(placeCheckInterval)
	defer ticker.Stop()
	var h heldPlace
	lastCheck := time.Now()
	for {
		if time.Since(lastCheck) > frozenAfter {
			h.unverified = true
		}
		h = r.updatePlace(h)
		lastCheck = time.Now()
		select {
		case <-r.tomb.Dying():
			r.releasePlace(h.held)
			return nil
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

// updatePlace verifies, releases or acquires this VM's place, as needed, and returns the new
// state. It asks the platform whether this VM still holds an unverified or contested place.
// It releases a place that the fleet no longer has under the bundle in force. It acquires a
// place if this VM needs one and holds none.
func (r *Router) updatePlace(h heldPlace) heldPlace {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), placeTimeout)
	defer cancel()
	if h.held != nil && h.unverified {
		// Until the platform has answered, this VM closes its connections to targets that
		// don't accept connections of all VMs.
		r.setPlace(noPlace)
		lost, err := h.held.Lost(ctx)
		if err != nil {
			return h
		}
		if lost {
			h.held = nil
		}
	}
	if h.held != nil && r.fleet.PlaceContested() && time.Since(h.contestedAt) >= contestInterval {
		h = r.verifyContested(ctx, h)
	}
	r.mu.Lock()
	placeCount, needed := r.placeCount, r.hasSharedTargets
	r.mu.Unlock()
	if h.held != nil && h.held.Place >= placeCount {
		r.setPlace(noPlace)
		r.releasePlace(h.held)
		h.held = nil
	}
	if h.held == nil && needed {
		h.held = r.acquirePlace(ctx, placeCount)
	}
	if h.held != nil {
		r.setPlace(h.held.Place)
	}
	return heldPlace{held: h.held, contestedAt: h.contestedAt}
}

// verifyContested asks the platform whether this VM still holds a place that another VM
// states to hold too, and returns the new state. Until the platform has answered, this VM
// keeps its connections: one of the two VMs is the holder, and each target has a connection
// reserved for the other one.
func (r *Router) verifyContested(ctx context.Context, h heldPlace) heldPlace {
	lost, err := h.held.Lost(ctx)
	h.contestedAt = time.Now()
	switch {
	case err != nil:
		r.opts.Log.Debug("contested place not verified", "place", h.held.Place, "error", errors.Cause(err))
	case lost:
		r.opts.Log.Warn("place lost to another VM", "place", h.held.Place)
		r.setPlace(noPlace)
		h.held = nil
	}
	return h
}

// acquirePlace claims one of the places 0 to placeCount-1 for this VM. It returns nil if
// no place is free or the claims can't be read or written; updatePlace tries again later.
func (r *Router) acquirePlace(ctx context.Context, placeCount int) *place.Held {
	held, err := place.Acquire(ctx, r.opts.Place, placeCount)
	if err != nil {
		r.opts.Log.Debug("no place acquired", "error", errors.Cause(err))
		return nil
	}
	r.opts.Log.Info("place acquired", "place", held.Place)
	return held
}

// setPlace publishes this VM's place to the other VMs, and recomputes how many connections
// this VM may hold to each target. newPlace is noPlace if this VM holds no place.
func (r *Router) setPlace(newPlace int) {
	r.fleet.SetPlace(newPlace)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownPlace != newPlace {
		r.ownPlace = newPlace
		r.assignConnections()
	}
}

// releasePlace deletes this VM's claim to its place from the platform, so that another VM
// can acquire the place. It does nothing if held is nil. It doesn't use the context of
// r.tomb, because that context is cancelled when the router stops.
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
