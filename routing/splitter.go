package routing

import (
	"slices"
	"sync"
)

// Splitter distributes the requests of split routes over their services by smooth
// weighted round robin. With n services, the number of requests that a service gets, since
// the route's state was last reset, exceeds its share by less than 1 and falls short of it
// by at most n - 1. So the shares also hold on a VM that receives few requests. A service
// that has too few leafs keeps its share: its requests are refused instead of being moved
// to another service, since a split often tries a new release on some of the callers. A
// Splitter is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex             // guards routes
	routes map[string]*splitState // by the route's name
}

// splitState is the round-robin state of one route.
type splitState struct {
	split  []WeightedService // the route's split when this state was created
	credit []float64         // by index in split: the requests that the service was due since then minus those it got, times the sum of the weights
}

// NewSplitter returns a Splitter without state of any route.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*splitState)} }

// Next returns the service for the route's next request. If the route's split has
// changed, its round-robin state is reset first.
func (s *Splitter) Next(route *Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.routes[route.Name]
	if state == nil || !slices.Equal(state.split, route.Split) {
		state = &splitState{split: route.Split, credit: make([]float64, len(route.Split))}
		s.routes[route.Name] = state
	}
	return state.next()
}

// next returns the service for the next request: the one with the highest credit after
// each service's credit has grown by its weight.
func (s *splitState) next() string {
	best, total := 0, 0.0
	for i, part := range s.split {
		s.credit[i] += part.Weight
		total += part.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.split[best].Service
}

// Prune removes the state of routes that m no longer splits.
func (s *Splitter) Prune(m *Manifest) {
	split := make(map[string]bool)
	for _, route := range m.Routes {
		if len(route.Split) > 0 {
			split[route.Name] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.routes {
		if !split[name] {
			delete(s.routes, name)
		}
	}
}
