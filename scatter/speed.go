package scatter

import (
	"math"
	"time"
)

// slowdown estimates by which factor work takes longer than usual at a leaf. The usual duration
// is the median of all leafs for one kind of request.
//
// The factor is the product of two factors. The first is the slowdown of the leaf's machine, which
// the leaf reports. The second is the excess: the duration of answers as a multiple of the
// duration that is expected with the reported slowdown. Pauses, queues and the network show only
// in the excess. The two factors are kept apart, since a pause does not predict the duration of
// the next request: with one smoothed latency, a leaf that paused once would get fewer requests
// for seconds.
type slowdown struct {
	// reported is the smoothed slowdown that the leaf reports for its machine. It is 1 for a
	// machine of usual speed, and 0 before the first report.
	reported   float64
	reportedAt time.Time // when the latest report was received
	// excess is the smoothed duration of answers, as a multiple of the duration expected
	// with the reported slowdown. It is 0 before the first answer.
	excess   float64
	excessAt time.Time // when excess last changed
	slowAt   time.Time // when the latest slow request ended: its excess was above slowAnswerThreshold

	// factorNow is the result of factor at factorAt, which is zero after a change. One request
	// looks at a leaf several times at the same moment.
	factorNow float64
	factorAt  time.Time
}

// Parameters of a leaf's slowdown. The reported slowdown is the duration of work on the leaf's
// machine, as a multiple of the usual, as the leaf reports it. The excess is the duration of an
// answer, as a multiple of the duration that is expected with the reported slowdown.
//
// Both are smoothed: each new value moves the smoothed value towards itself. With a weight of 0.5,
// the smoothed value moves by half of the difference.
const (
	// reportedSlowdownWeight is the weight, from 0 to 1, of a newly reported slowdown of a
	// leaf's machine in the smoothed reported slowdown. The speed of machines changes many
	// times a second around a mean that lasts for seconds.
	reportedSlowdownWeight = 0.5
	minReportedSlowdown    = 0.2 // multiple of the usual duration of work; a smaller slowdown reported by a leaf counts as this
	maxReportedSlowdown    = 50  // multiple of the usual duration of work; a larger slowdown reported by a leaf counts as this
	// answerExcessWeight is the weight, from 0 to 1, of the excess of a new answer, its
	// duration as a multiple of the expected one, in the smoothed excess.
	answerExcessWeight = 0.2
	// expiredDurationFactor is the estimated duration of a request that expired at the leaf,
	// as a multiple of the time until it expired.
	expiredDurationFactor = 2
	// expiredExcessWeight is the weight, from 0 to 1, of the excess of an expired request,
	// its estimated duration as a multiple of the expected one, in the smoothed excess.
	expiredExcessWeight = 0.5
	// maxExcessStep bounds the excess of one answer or expired request, its duration as a
	// multiple of the expected one. The excess counts as at most maxExcessStep times the
	// smoothed excess.
	maxExcessStep = 3
	// slowAnswerThreshold is the multiple of the expected duration above which an answer or an
	// expired request is slow. Of slow requests in flight together, only one counts.
	slowAnswerThreshold = 2
	// slowdownHalfLife is the half-life with which two smoothed values of a leaf return to 1,
	// the usual, while there are no new ones. These are the reported slowdown of its machine,
	// and the excess: the duration of answers as a multiple of the duration expected with
	// that slowdown. So a leaf that was slow and gets no requests is tried again.
	slowdownHalfLife = 2 * time.Second
)

// recordReported records the slowdown that a leaf reports for its machine: the duration of work
// as a multiple of the usual.
func (s *slowdown) recordReported(now time.Time, factor float64) {
	factor = min(max(factor, minReportedSlowdown), maxReportedSlowdown)
	if s.reported == 0 {
		s.reported = factor
	}
	s.reported += reportedSlowdownWeight * (factor - s.reported)
	s.reportedAt = now
	s.factorAt = time.Time{}
}

// recordAnswer records that a request that was sent at sentAt is answered now. typical is the
// duration of such a request at a leaf of usual speed. Slow answers to requests that were in flight
// together count once, since one pause causes them all.
func (s *slowdown) recordAnswer(now, sentAt time.Time, typical time.Duration) {
	s.add(now, sentAt, now.Sub(sentAt), typical, answerExcessWeight)
}

// recordExpired records that the leaf was still at work when the time of a request was over.
// The request's duration is not known, and is estimated as expiredDurationFactor times the time
// that it was given. An expired request has a larger weight than an answer, since requests to a
// leaf that is too slow end much less often than those to other leafs.
func (s *slowdown) recordExpired(now, sentAt time.Time, typical time.Duration) {
	s.add(now, sentAt, expiredDurationFactor*now.Sub(sentAt), typical, expiredExcessWeight)
}

// add updates the smoothed excess with a request that was sent at sentAt and had the duration took.
// The excess of the request is that time, as a multiple of the duration that is expected with the
// reported slowdown. typical is the duration of such a request at a leaf of usual speed. weight is
// the weight of the request's excess in the smoothed one, from 0 to 1. A slow request is ignored
// if it was sent before the latest slow request ended.
func (s *slowdown) add(now, sentAt time.Time, took, typical time.Duration, weight float64) {
	// ratio is the excess of this request. Below, it counts as no more than maxExcessStep
	// times the smoothed excess.
	ratio := float64(took) / (float64(typical) * s.reportedFactor(now))
	if ratio > slowAnswerThreshold {
		if sentAt.Before(s.slowAt) {
			return
		}
		s.slowAt = now
	}
	excess := s.excessFactor(now)
	s.excess = excess + weight*(min(ratio, maxExcessStep*excess)-excess)
	s.excessAt = now
	s.factorAt = time.Time{}
}

// set replaces both factors by those that another VM knows.
func (s *slowdown) set(now time.Time, reported, excess float64) {
	s.reported, s.reportedAt = bounded(reported, minReportedSlowdown, maxReportedSlowdown), now
	s.excess, s.excessAt = bounded(excess, minReportedSlowdown, maxReportedSlowdown), now
	s.factorAt = time.Time{}
}

// factor returns the expected duration of the next request as a multiple of its duration at a leaf
// of usual speed. It is the product of two factors: the slowdown that the leaf reported for its
// machine, and the excess, the duration of answers as a multiple of the duration that is expected
// with that slowdown.
func (s *slowdown) factor(now time.Time) float64 {
	if s.factorAt != now {
		s.factorNow, s.factorAt = s.reportedFactor(now)*s.excessFactor(now), now
	}
	return s.factorNow
}

// reportedFactor returns the current slowdown of the leaf's machine, as the leaf reported it: the
// duration of work as a multiple of the usual. It is 1 if the leaf reported none.
func (s *slowdown) reportedFactor(now time.Time) float64 {
	return decayed(s.reported, now.Sub(s.reportedAt))
}

// excessFactor returns the current excess: the duration of answers as a multiple of the expected
// one. The expected duration already includes the slowdown that the leaf reports for its machine.
// Pauses, queues and the network raise the excess. It is 1 if there was no answer.
func (s *slowdown) excessFactor(now time.Time) float64 { return decayed(s.excess, now.Sub(s.excessAt)) }

// decayed returns the current value of a smoothed factor, which returns to 1 with a half-life of
// slowdownHalfLife. age is the time since the factor was recorded. A factor of 0 is unknown, for
// which the result is 1.
func decayed(factor float64, age time.Duration) float64 {
	if factor == 0 {
		return 1
	}
	if age <= 0 {
		return factor
	}
	return 1 + math.Exp2(-float64(age)/float64(slowdownHalfLife))*(factor-1)
}
