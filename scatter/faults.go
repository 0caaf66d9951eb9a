package scatter

import (
	"math"
	"time"
)

// failureRate tracks the share of a leaf's requests that it fails, or refuses without being
// full, while others succeed. A cooldown after consecutive failures does not detect such a
// leaf: it answers every other request, and says that it is healthy. Each failure costs time
// and a retry, which the budget has to pay for.
//
// It also tracks the share of calls that other VMs refuse.
type failureRate struct {
	rate      float64   // smoothed share of failed requests, from 0 to 1, at updatedAt
	updatedAt time.Time // when the latest request ended
}

// Parameters of the failure rate.
const (
	failureRateWeight = 0.15 // weight of the latest request in the smoothed failure rate, from 0 to 1
	// failureRateHalfLife is the time without requests in which the failure rate falls to
	// half, so that the leaf is tried again.
	failureRateHalfLife = 4 * time.Second
	// failureRateSurcharge is the surcharge on the expected duration at a leaf that fails
	// every request, as a share of the latency objective; with a lower failure rate it is
	// proportionally lower. Requests go to the leaf with the lowest sum. A leaf in another
	// zone takes the failing leaf's place after three consecutive failures (see
	// crossZoneSurcharge), not after one.
	failureRateSurcharge = 0.8
)

// current returns the share of requests that are expected to fail now, from 0 to 1.
func (f *failureRate) current(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.updatedAt))/float64(failureRateHalfLife))
}

// add records the end of a request: 1 for a failed one, 0 for any other.
func (f *failureRate) add(now time.Time, failed float64) {
	old := f.current(now)
	f.rate = old + failureRateWeight*(failed-old)
	f.updatedAt = now
}
