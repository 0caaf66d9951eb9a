package targetsim

import (
	"encoding/json"
	"sync"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// maxRecordedSearches bounds the searches that are recorded individually. Further ones are only
// counted.
const maxRecordedSearches = 50000

// StartedRequest is a request that a leaf started to run.
type StartedRequest struct {
	target.Echo
	Leaf    int             `json:"leaf"`
	Key     string          `json:"key,omitempty"`     // empty for a search
	Payload json.RawMessage `json:"payload,omitempty"` // empty for a search
}

// StartedRequests lists the requests that the leaves of a target started, in the order of their
// starts.
type StartedRequests struct {
	Submits  []StartedRequest `json:"submits"`
	Searches []StartedRequest `json:"searches"` // the first 50000; further ones are not listed
}

// Counters are a target's counts since its start.
type Counters struct {
	Searches    int                   `json:"searches"`  // searches that were started
	Cancelled   int                   `json:"cancelled"` // searches whose deadline passed or whose caller disconnected while they ran
	Submits     int                   `json:"submits"`   // submits that were started
	Refused     map[target.Reason]int `json:"refused"`   // refusals of searches and submits
	Connections ConnectionCounts      `json:"connections"`
	PeakRunning int                   `json:"peak_running"` // most requests that one leaf ran at once
	Incarnation string                `json:"incarnation"`
}

// requestRecorder records the requests that were started, and counts cancelled searches and
// refusals. It is safe for concurrent use.
type requestRecorder struct {
	mu        sync.Mutex // guards the fields below
	started   StartedRequests
	searches  int // all that were started; started lists only the first ones
	cancelled int // searches that were cancelled while they ran
	refused   map[target.Reason]int
}

// recordSearch counts a search that a leaf started, and records it if it is one of the first
// maxRecordedSearches.
func (r *requestRecorder) recordSearch(req StartedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.searches++
	if len(r.started.Searches) < maxRecordedSearches {
		r.started.Searches = append(r.started.Searches, req)
	}
}

func (r *requestRecorder) recordSubmit(req StartedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started.Submits = append(r.started.Submits, req)
}

// recordCancel counts a search that was cancelled while it ran.
func (r *requestRecorder) recordCancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled++
}

func (r *requestRecorder) recordRefusal(reason target.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused == nil {
		r.refused = make(map[target.Reason]int)
	}
	r.refused[reason]++
}

// startedRequests returns a copy of the recorded requests.
func (r *requestRecorder) startedRequests() StartedRequests {
	r.mu.Lock()
	defer r.mu.Unlock()
	return StartedRequests{
		Submits:  append([]StartedRequest{}, r.started.Submits...),
		Searches: append([]StartedRequest{}, r.started.Searches...),
	}
}

// counters returns the counts of requests. The other fields of the result are not set.
func (r *requestRecorder) counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused := make(map[target.Reason]int, len(r.refused))
	for reason, n := range r.refused {
		refused[reason] = n
	}
	return Counters{
		Searches: r.searches, Cancelled: r.cancelled, Submits: len(r.started.Submits), Refused: refused,
	}
}
