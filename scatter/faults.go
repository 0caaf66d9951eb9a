package scatter

import (
	"math"
	"time"
)

// failureRate follows the share of a leaf's requests that it fails, or turns away without being full,
// while others succeed. A
// cooldown after failures in a row does not find such a leaf: it answers every other request,
// and says that it is healthy. Each failure costs a retry, which has to be paid for, and
// the time until then.
type failureRate struct {
	rate      float64 // smoothed, when it was last seen
	updatedAt time.Time
}

// Parameters of the share of failed requests.
const (
	failureWeight   = 0.15            // of the latest request
	failureHalfLife = 4 * time.Second // in which half of it is forgotten, so that the leaf is tried again
	// failureCost is the part of the aim that a leaf is charged which fails every request.
	// A leaf in another zone takes its place after three failures in a row (farShare), not
	// after one.
	failureCost = 0.8
)

// current returns the current of requests that are expected to fail.
func (f *failureRate) current(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.updatedAt))/float64(failureHalfLife))
}

// add takes the end of a request: 1 for a failed one, 0 for another.
func (f *failureRate) add(now time.Time, failed float64) {
	old := f.current(now)
	f.rate = old + failureWeight*(failed-old)
	f.updatedAt = now
}
