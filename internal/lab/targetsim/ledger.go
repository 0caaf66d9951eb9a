package targetsim

import (
	"encoding/json"
	"sync"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// maxRecordedSearches bounds the searches that are kept one by one.
const maxRecordedSearches = 50000

// StartedRequest is one request that a leaf really started.
type StartedRequest struct {
	target.Echo
	Leaf    int             `json:"leaf"`
	Key     string          `json:"key,omitempty"` // of a submit
	Payload json.RawMessage `json:"payload,omitempty"`
}

// StartedRequests lists what was started, in order.
type StartedRequests struct {
	Submits  []StartedRequest `json:"submits"`
	Searches []StartedRequest `json:"searches"` // the first 50000
}

// Counters count what a target did since its start.
type Counters struct {
	Searches    int                   `json:"searches"`  // started
	Cancelled   int                   `json:"cancelled"` // searches given up after their start
	Submits     int                   `json:"submits"`   // started
	Refused     map[target.Reason]int `json:"refused"`
	Connections ConnectionCounts      `json:"connections"`
	PeakRunning int                   `json:"peak_running"` // on one leaf
	Incarnation string                `json:"incarnation"`
}

// requestRecorder records what was run.
type requestRecorder struct {
	mu        sync.Mutex // guards all below
	started   StartedRequests
	searches  int
	cancelled int
	refused   map[target.Reason]int
}

func (l *requestRecorder) recordSearch(r StartedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.searches++
	if len(l.started.Searches) < maxRecordedSearches {
		l.started.Searches = append(l.started.Searches, r)
	}
}

func (l *requestRecorder) recordSubmit(r StartedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started.Submits = append(l.started.Submits, r)
}

func (l *requestRecorder) recordCancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelled++
}

func (l *requestRecorder) recordRefusal(reason target.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refused == nil {
		l.refused = make(map[target.Reason]int)
	}
	l.refused[reason]++
}

func (l *requestRecorder) startedRequests() StartedRequests {
	l.mu.Lock()
	defer l.mu.Unlock()
	return StartedRequests{
		Submits:  append([]StartedRequest{}, l.started.Submits...),
		Searches: append([]StartedRequest{}, l.started.Searches...),
	}
}

func (l *requestRecorder) counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := make(map[target.Reason]int, len(l.refused))
	for reason, n := range l.refused {
		refused[reason] = n
	}
	return Counters{
		Searches: l.searches, Cancelled: l.cancelled, Submits: len(l.started.Submits), Refused: refused,
	}
}
