package scatter

import (
	"math"
	"time"
)

// faults follows the share of a leaf's requests that it fails, or turns away without being full,
// while others succeed. A
// cooldown after failures in a row does not find such a leaf: it answers every other request,
// and says that it is healthy. Each failure costs a retry, which has to be paid for, and
// the time until then.
type faults struct {
	part float64 // smoothed, when it was last seen
	at   time.Time
}

// Parameters of the share of failed requests.
const (
	faultWeight = 0.15            // of the latest request
	faultLife   = 4 * time.Second // in which half of it is forgotten, so that the leaf is tried again
	// faultCost is the part of the aim that a leaf is charged which fails every request.
	// A leaf in another zone takes its place after three failures in a row (farShare), not
	// after one.
	faultCost = 0.8
)

// share returns the share of requests that are expected to fail.
func (f *faults) share(now time.Time) float64 {
	if f.part == 0 {
		return 0
	}
	return f.part * math.Exp2(-float64(now.Sub(f.at))/float64(faultLife))
}

// add takes the end of a request: 1 for a failed one, 0 for another.
func (f *faults) add(now time.Time, failed float64) {
	old := f.share(now)
	f.part = old + faultWeight*(failed-old)
	f.at = now
}
