package policy

import "time"

// rest keeps attempts away from a replica or a target that does not answer.
type rest struct {
	failures int       // in a row
	until    time.Time // takes no attempt before
}

// Limits of a rest.
const (
	baseRest       = 50 * time.Millisecond
	maxRest        = 2 * time.Second
	maxDoublings   = 6
	failuresToRest = 2 // in a row, before the first rest
)

// fail counts a failure; each one in a row makes for a longer rest.
func (r *rest) fail(now time.Time) {
	r.failures++
	if r.failures < failuresToRest {
		return
	}
	d := baseRest << min(r.failures-failuresToRest, maxDoublings)
	r.until = later(r.until, now.Add(min(d, maxRest)))
}

// refused makes for a rest of at least d. It is not counted as a failure: who
// refuses is alive.
func (r *rest) refused(now time.Time, d time.Duration) {
	r.until = later(r.until, now.Add(max(d, baseRest)))
}

// answered ends the count of failures. A rest under way goes on: it may come
// from a later failure than the answer.
func (r *rest) answered() { r.failures = 0 }

func (r *rest) resting(now time.Time) bool { return now.Before(r.until) }
