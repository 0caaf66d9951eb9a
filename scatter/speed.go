package scatter

import (
	"math"
	"time"
)

// slowdown is how much longer than usual work takes at a leaf. Usual is the median of all
// leafs for one kind of request.
//
// A leaf states how its machine does; its pauses, queues and the way to it show in its
// answers only. Both are kept apart, since a pause says nothing of the next request: with
// one smoothed latency, a leaf that had paused once would be asked less for seconds.
type slowdown struct {
	stated   float64 // of the leaf's machine, smoothed: 1 as usual; 0 before the first word
	statedAt time.Time
	excess   float64 // of answers, beyond what is stated, smoothed; 0 before the first
	excessAt time.Time
	slowAt   time.Time // when the latest slow answer came
}

// Parameters of a speed.
const (
	statedWeight     = 0.5             // of a new word: machines change many times a second around a mean that lasts for seconds
	minStated        = 0.2             // a leaf that states less counts as this quick
	maxStated        = 50              // ... more, as this slow
	excessWeight     = 0.2             // of a new answer
	expiredFactor    = 2               // times the time after which a request expired, that it counts as
	expiredWeight    = 0.5             // of an expired request
	maxExcessStep    = 3               // times the smoothed excess that a new answer counts as at most
	slowThreshold    = 2               // times what is expected, from which an answer is slow
	slowdownHalfLife = 2 * time.Second // in which half of what sets a leaf apart is forgotten: one that was slow and gets no requests is tried again
)

// recordStated takes what a leaf says of its machine.
func (s *slowdown) recordStated(now time.Time, pace float64) {
	pace = min(max(pace, minStated), maxStated)
	if s.stated == 0 {
		s.stated = pace
	}
	s.stated += statedWeight * (pace - s.stated)
	s.statedAt = now
}

// recordAnswer takes an answer to a request that was sent at sentAt and usually takes the time
// given. Slow answers to requests in flight together count once: one pause makes them all.
func (s *slowdown) recordAnswer(now, sentAt time.Time, usual time.Duration) {
	s.add(now, sentAt, now.Sub(sentAt), usual, excessWeight)
}

// recordExpired takes that the leaf was still at work when the time of a request was over. How long
// it would have taken is not known. Such a leaf is too slow for its requests, and it tells so
// much more seldom than others do.
func (s *slowdown) recordExpired(now, sentAt time.Time, usual time.Duration) {
	s.add(now, sentAt, expiredFactor*now.Sub(sentAt), usual, expiredWeight)
}

func (s *slowdown) add(now, sentAt time.Time, took, usual time.Duration, weight float64) {
	ratio := float64(took) / (float64(usual) * s.statedFactor(now))
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

// factor is how many times the usual the next request is expected to take.
func (s *slowdown) factor(now time.Time) float64 { return s.statedFactor(now) * s.excessFactor(now) }

func (s *slowdown) statedFactor(now time.Time) float64 { return decayed(s.stated, now.Sub(s.statedAt)) }

func (s *slowdown) excessFactor(now time.Time) float64 { return decayed(s.excess, now.Sub(s.excessAt)) }

// decayed moves a factor towards 1 by its age; 0 stands for one that is not known.
func decayed(factor float64, age time.Duration) float64 {
	if factor == 0 {
		return 1
	}
	if age <= 0 {
		return factor
	}
	return 1 + math.Exp2(-float64(age)/float64(slowdownHalfLife))*(factor-1)
}
