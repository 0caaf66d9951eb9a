package scatter

import (
	"math"
	"time"
)

// failureRate tracks the share of requests to a leaf that fail. A refusal by a leaf that has free
// slots counts as a failure. The rate detects a leaf that fails some requests and answers others.
// A cooldown does not detect it, since it starts only after consecutive failures, and the leaf
// itself reports that it is healthy. Each failure costs time and a retry, and a budget limits how
// many retries there are.
//
// The type is also used for the share of calls that other VMs refuse.
type failureRate struct {
	rate      float64   // smoothed share of failed requests, from 0 to 1, at updatedAt
	updatedAt time.Time // when the latest counted request ended
}

// Parameters of the failure rate.
const (
	failureRateWeight = 0.15 // weight of the latest request in the smoothed failure rate, from 0 to 1
	// failureRateHalfLife is the time in which the failure rate of a leaf without requests
	// falls to half, so that the leaf is tried again.
	failureRateHalfLife = 4 * time.Second
	// failureRateSurcharge is what is added to the expected duration at a leaf that fails
	// every request, as a share of the latency objective. With a lower failure rate the
	// surcharge is proportionally lower. Requests go to the leaf with the lowest sum of
	// expected duration and surcharges. A leaf in another zone has a surcharge too
	// (crossZoneSurcharge). So requests move there after three consecutive failures of a
	// leaf in this zone, not after one.
	failureRateSurcharge = 0.8
)

// current returns the share of requests that are expected to fail now, from 0 to 1: the recorded
// share, which halves with each failureRateHalfLife since the latest request.
func (f *failureRate) current(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.updatedAt))/float64(failureRateHalfLife))
}

// add records the end of a request; failed is 1 if the request failed and 0 otherwise.
func (f *failureRate) add(now time.Time, failed float64) {
	old := f.current(now)
	f.rate = old + failureRateWeight*(failed-old)
	f.updatedAt = now
}
