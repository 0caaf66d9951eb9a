package targetsim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// admission is how a request fared at the door of a leaf.
type admission int

const (
	admitted admission = iota
	queueFull
	waitCancelled // its deadline passed, or its caller left, while it waited
)

// leaf runs requests in its slots and lets some more wait, first come first
// served.
type leaf struct {
	slots chan struct{} // holds one element for each running request

	mu          sync.Mutex // guards all below
	rng         *rand.Rand
	maxWaiting  int // waiting requests, at most
	waiting     int
	peakRunning int // of running requests
}

func newLeaf(slots, queue int, seed uint64, number int) *leaf {
	return &leaf{
		slots:      make(chan struct{}, slots),
		maxWaiting: queue,
		rng:        rand.New(rand.NewPCG(seed, uint64(number))),
	}
}

// acquire waits for a slot until ctx ends. The caller must release it.
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

func (l *leaf) release() { <-l.slots }

// load returns the number of requests that run or wait.
func (l *leaf) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots) + l.waiting
}

// serviceTime draws how long the next request runs.
func (l *leaf) serviceTime(t Timing, cold bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	const spread = 0.3
	ms := t.BaseMS * (1 - spread + 2*spread*l.rng.Float64())
	if l.rng.Float64() < t.StragglerProb {
		ms *= t.StragglerFactor
	}
	if cold {
		ms *= t.ColdFactor
	}
	return milliseconds(ms)
}

// happens draws whether something with that probability happens.
func (l *leaf) happens(probability float64) bool {
	if probability <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < probability
}

func (l *leaf) enqueue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting >= l.maxWaiting {
		return false
	}
	l.waiting++
	return true
}

func (l *leaf) dequeue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
}

func (l *leaf) updatePeak() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peakRunning = max(l.peakRunning, len(l.slots))
}
