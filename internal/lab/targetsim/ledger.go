package targetsim

import (
	"encoding/json"
	"sync"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// maxSearches bounds the searches that are kept one by one.
const maxSearches = 50000

// Run is one request that a leaf really started.
type Run struct {
	target.Echo
	Leaf    int             `json:"leaf"`
	Key     string          `json:"key,omitempty"` // of a submit
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Ran lists what was started, in order.
type Ran struct {
	Submits  []Run `json:"submits"`
	Searches []Run `json:"searches"` // the first 50000
}

// Counters count what a target did since its start.
type Counters struct {
	Searches    int                   `json:"searches"`  // started
	Cancelled   int                   `json:"cancelled"` // searches given up after their start
	Submits     int                   `json:"submits"`   // started
	Refused     map[target.Reason]int `json:"refused"`
	Connections Connections           `json:"connections"`
	PeakRunning int                   `json:"peak_running"` // on one leaf
	Incarnation string                `json:"incarnation"`
}

// ledger records what was run.
type ledger struct {
	mu        sync.Mutex // guards all below
	ran       Ran
	searches  int
	cancelled int
	refused   map[target.Reason]int
}

func (l *ledger) search(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.searches++
	if len(l.ran.Searches) < maxSearches {
		l.ran.Searches = append(l.ran.Searches, r)
	}
}

func (l *ledger) submit(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran.Submits = append(l.ran.Submits, r)
}

func (l *ledger) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelled++
}

func (l *ledger) refuse(reason target.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refused == nil {
		l.refused = make(map[target.Reason]int)
	}
	l.refused[reason]++
}

func (l *ledger) list() Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Ran{
		Submits:  append([]Run{}, l.ran.Submits...),
		Searches: append([]Run{}, l.ran.Searches...),
	}
}

func (l *ledger) counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := make(map[target.Reason]int, len(l.refused))
	for reason, n := range l.refused {
		refused[reason] = n
	}
	return Counters{
		Searches: l.searches, Cancelled: l.cancelled, Submits: len(l.ran.Submits), Refused: refused,
	}
}
