package scatter

import (
	"math"
	"time"
)

// slowdown estimates by which factor work takes longer than usual at a leaf. Usual is the
// median of all leafs for one kind of request.
//
// A leaf states the slowdown of its machine. Its pauses, its queues and the network show only
// in its answers. The two are kept apart, since a pause says nothing about the next request:
// with one smoothed latency, a leaf that paused once would get fewer requests for seconds.
type slowdown struct {
	stated   float64 // factor stated for the leaf's machine, smoothed: 1 as usual; 0 before the first statement
	statedAt time.Time
	excess   float64 // factor of answers beyond what is stated, smoothed; 0 before the first
	excessAt time.Time
	slowAt   time.Time // when the latest slow answer was received
}

// Parameters of the slowdown.
const (
	// statedWeight is the weight of a new statement: machines change many times a second
	// around a mean that lasts for seconds.
	statedWeight = 0.5
	minStated    = 0.2 // lower bound of a stated factor
	maxStated    = 50  // upper bound of a stated factor
	excessWeight = 0.2 // of a new answer
	// expiredFactor is the multiple of the time after which a request expired that it
	// counts as having taken.
	expiredFactor = 2
	expiredWeight = 0.5 // of an expired request
	maxExcessStep = 3   // a new answer counts as at most this multiple of the smoothed excess
	slowThreshold = 2   // multiple of the expected time from which an answer is slow
	// slowdownHalfLife is the time in which half of a leaf's deviation is forgotten, so that
	// a leaf that was slow and gets no requests is tried again.
	slowdownHalfLife = 2 * time.Second
)

// recordStated records the slowdown that a leaf states for its machine.
func (s *slowdown) recordStated(now time.Time, factor float64) {
	factor = min(max(factor, minStated), maxStated)
	if s.stated == 0 {
		s.stated = factor
	}
	s.stated += statedWeight * (factor - s.stated)
	s.statedAt = now
}

// recordAnswer records an answer to a request that was sent at sentAt, where typical is the
// usual duration of its kind. Slow answers to requests that were in flight together count
// once, since one pause causes them all.
func (s *slowdown) recordAnswer(now, sentAt time.Time, typical time.Duration) {
	s.add(now, sentAt, now.Sub(sentAt), typical, excessWeight)
}

// recordExpired records that the leaf was still at work when the time of a request was over.
// How long the request would have taken is not known. Such a leaf is too slow for its
// requests, and shows it much less often than other leafs answer.
func (s *slowdown) recordExpired(now, sentAt time.Time, typical time.Duration) {
	s.add(now, sentAt, expiredFactor*now.Sub(sentAt), typical, expiredWeight)
}

func (s *slowdown) add(now, sentAt time.Time, took, typical time.Duration, weight float64) {
	ratio := float64(took) / (float64(typical) * s.statedFactor(now))
	if ratio > slowThreshold {
		if sentAt.Before(s.slowAt) {
			return
		}
		s.slowAt = now
	}
	excess := s.excessFactor(now)
	s.excess = excess + weight*(min(ratio, maxExcessStep*excess)-excess)
	s.excessAt = now
}

// factor returns the expected duration of the next request as a multiple of the usual
// duration.
func (s *slowdown) factor(now time.Time) float64 { return s.statedFactor(now) * s.excessFactor(now) }

func (s *slowdown) statedFactor(now time.Time) float64 { return decayed(s.stated, now.Sub(s.statedAt)) }

func (s *slowdown) excessFactor(now time.Time) float64 { return decayed(s.excess, now.Sub(s.excessAt)) }

// decayed moves a factor towards 1 with its age; 0 stands for an unknown factor.
func decayed(factor float64, age time.Duration) float64 {
	if factor == 0 {
		return 1
	}
	if age <= 0 {
		return factor
	}
	return 1 + math.Exp2(-float64(age)/float64(slowdownHalfLife))*(factor-1)
}
