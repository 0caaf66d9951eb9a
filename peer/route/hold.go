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

// holding is the place that this process has claimed.
type holding struct {
	held   *place.Held // nil if none
	unsure bool        // it may have been given to another VM
}

// holdPlace claims a place as soon as some target isn't reached by all VMs, and
// gives it back at the end.
func (r *Router) holdPlace() error {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	var h holding
	last := time.Now()
	for {
		if time.Since(last) > frozenAfter {
			h.unsure = true
		}
		h = r.look(h)
		last = time.Now()
		select {
		case <-r.tomb.Dying():
			r.release(h.held)
			return nil
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

func (r *Router) look(h holding) holding {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), placeTimeout)
	defer cancel()
	if h.held != nil && h.unsure {
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
		r.release(h.held)
		h.held = nil
	}
	if h.held == nil && needed {
		h.held = r.take(ctx, places)
	}
	if h.held != nil {
		r.setPlace(h.held.Place)
	}
	return holding{held: h.held}
}

func (r *Router) take(ctx context.Context, places int) *place.Held {
	held, err := place.Acquire(ctx, r.opts.Place, places)
	if err != nil {
		r.opts.Log.Debug("no place", "error", errors.Cause(err))
		return nil
	}
	r.opts.Log.Info("place taken", "place", held.Place)
	return held
}

func (r *Router) setPlace(own int) {
	r.fleet.SetPlace(own)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own != own {
		r.own = own
		r.shareOut()
	}
}

func (r *Router) release(held *place.Held) {
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
	defer cancel()
	if err := held.Release(ctx); err != nil {
		r.opts.Log.Warn("place not given back; it is taken over once this VM counts as lost", "error", err)
	}
}
