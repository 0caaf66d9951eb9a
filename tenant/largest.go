package tenant

import (
	"math"
	"time"
)

// Parameters of the choice of the largest tenants.
const (
	// choicePeriod is the interval between two choices, in which a request loses half of its weight.
	choicePeriod = 30 * time.Second
	// takeoverFactor and takeoverMargin say how much more weight than the smallest chosen tenant
	// another one must have to take its place, so that tenants of similar size don't alternate.
	takeoverFactor = 1.5
	takeoverMargin = 5
	// candidatesPerPlace is how many tenants are weighed for each one that is chosen.
	candidatesPerPlace = 8
	// leastWeight is the weight below which a tenant that is not chosen is forgotten.
	leastWeight = 0.25
)

// Largest chooses the tenants with the most requests. Its size depends only on the number of tenants
// to choose: of the others, those with few requests take each other's place (Space-Saving). It is not
// safe for concurrent use.
type Largest struct {
	places     int
	chosen     int
	candidates map[string]*candidate
	chosenAt   time.Time // when the latest choice was made; zero before the first request
}

// candidate is a tenant that is weighed.
type candidate struct {
	weight  float64 // at most this many recent requests
	unknown float64 // part of weight that may be other tenants' requests
	chosen  bool
}

// least returns the recent requests that are certainly the tenant's.
func (c *candidate) least() float64 { return c.weight - c.unknown }

// NewLargest returns a choice of that many tenants, at least 1.
func NewLargest(places int) *Largest {
	return &Largest{places: places, candidates: make(map[string]*candidate)}
}

// Add counts a request of the named tenant. It reports whether the tenant is chosen, and which one has
// left its place to another since the call before; there may be several.
func (l *Largest) Add(now time.Time, name string) (chosen bool, left []string) {
	left = l.choose(now)
	c := l.candidates[name]
	if c == nil {
		c = l.admit(name)
	}
	c.weight++
	if !c.chosen && l.chosen < l.places {
		c.chosen = true
		l.chosen++
	}
	return c.chosen, left
}

// admit makes a tenant a candidate, in place of the one with the least weight if there are enough.
func (l *Largest) admit(name string) *candidate {
	c := new(candidate)
	if len(l.candidates) >= l.places*candidatesPerPlace {
		smallest, weight := "", math.Inf(1)
		for other, o := range l.candidates {
			if !o.chosen && (o.weight < weight || o.weight == weight && other < smallest) {
				smallest, weight = other, o.weight
			}
		}
		delete(l.candidates, smallest)
		c.weight, c.unknown = weight, weight
	}
	l.candidates[name] = c
	return c
}

// choose makes a new choice if that is due, and returns the tenants that have left their places.
func (l *Largest) choose(now time.Time) (left []string) {
	if l.chosenAt.IsZero() {
		l.chosenAt = now
	}
	periods := math.Floor(now.Sub(l.chosenAt).Seconds() / choicePeriod.Seconds())
	if periods < 1 {
		return nil
	}
	l.chosenAt = l.chosenAt.Add(time.Duration(periods) * choicePeriod)
	for {
		out, in := l.extremes()
		if out == "" || in == "" || l.candidates[in].least() < takeoverFactor*l.candidates[out].weight+takeoverMargin {
			break
		}
		l.candidates[out].chosen, l.candidates[in].chosen = false, true
		left = append(left, out)
	}
	for name, c := range l.candidates {
		c.weight *= math.Pow(0.5, periods)
		c.unknown *= math.Pow(0.5, periods)
		if !c.chosen && c.weight < leastWeight {
			delete(l.candidates, name)
		}
	}
	return left
}

// extremes returns the smallest chosen tenant and the largest other one, empty if there is none.
func (l *Largest) extremes() (smallest, largest string) {
	for name, c := range l.candidates {
		switch {
		case c.chosen && (smallest == "" || c.weight < l.candidates[smallest].weight):
			smallest = name
		case !c.chosen && (largest == "" || c.least() > l.candidates[largest].least()):
			largest = name
		}
	}
	return smallest, largest
}
