package targetsim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// admission is the result of a request's attempt to get a slot.
type admission int

const (
	admitted      admission = iota // the request has a slot
	queueFull                      // no slot is free, and no further request may wait for one
	waitCancelled                  // the request's deadline passed, or its caller disconnected, while it waited
)

// leaf runs a request in each of its slots and lets a limited number of others wait, in order
// of arrival.
type leaf struct {
	slots chan struct{} // holds one element for each running request

	mu          sync.Mutex // guards the fields below
	rng         *rand.Rand // for service times and for requests that are shed at random
	maxQueued   int        // upper bound of queued
	queued      int        // requests that wait for a slot
	peakRunning int        // highest number of requests that ran at once
}

// newLeaf returns a leaf with all slots free. Its sequence of random numbers depends only on seed
// and leafNumber.
func newLeaf(slots, maxQueued int, seed uint64, leafNumber int) *leaf {
	return &leaf{
		slots:     make(chan struct{}, slots),
		maxQueued: maxQueued,
		rng:       rand.New(rand.NewPCG(seed, uint64(leafNumber))),
	}
}

// acquire waits for a slot until ctx ends, or returns queueFull at once. If it returns admitted,
// the caller must call release.
func (l *leaf) acquire(ctx context.Context) admission {
	select {
	case l.slots <- struct{}{}:
		l.updatePeak()
		return admitted
	default:
	}
	if !l.enqueue() {
		return queueFull
	}
	defer l.dequeue()
	select {
	case l.slots <- struct{}{}:
		l.updatePeak()
		return admitted
	case <-ctx.Done():
		return waitCancelled
	}
}

// release frees a slot.
func (l *leaf) release() { <-l.slots }

// load returns the number of running and waiting requests.
func (l *leaf) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots) + l.queued
}

// serviceTime returns a random service time for the next request. cold says that the target is
// still cold after its start.
func (l *leaf) serviceTime(t Timing, cold bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	const spread = 0.3 // largest deviation from BaseMS, as a fraction of it
	ms := t.BaseMS * (1 - spread + 2*spread*l.rng.Float64())
	if l.rng.Float64() < t.StragglerProb {
		ms *= t.StragglerFactor
	}
	if cold {
		ms *= t.ColdFactor
	}
	return milliseconds(ms)
}

// happens returns true with the given probability.
func (l *leaf) happens(probability float64) bool {
	if probability <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < probability
}

// enqueue counts a request as queued. It returns false if the queue is full.
func (l *leaf) enqueue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queued >= l.maxQueued {
		return false
	}
	l.queued++
	return true
}

// dequeue counts a request as no longer queued.
func (l *leaf) dequeue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued--
}

// updatePeak raises peakRunning to the number of running requests, if that is higher.
func (l *leaf) updatePeak() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peakRunning = max(l.peakRunning, len(l.slots))
}
