package scatter

// Gap is a shard without an answer when its query ended.
type Gap struct {
	Shard int // index of the shard in the query
	Cause GapCause
}

// GapCause is the reason why a shard had no answer.
type GapCause int

// The reasons why a shard had no answer when its query ended, in the order in which they are
// written out. An attempt is one request to a leaf.
const (
	GapSlow        GapCause = iota // an attempt on the shard was still in flight
	GapNoCapacity                  // no leaf could take an attempt: each was full, in cooldown, suspect or too slow
	GapBudget                      // the budget, which bounds hedges and retries, did not allow another attempt
	GapLate                        // it was too late for another attempt
	GapAttempts                    // all allowed attempts ended without an answer
	GapNoLeaf                      // no known leaf takes requests
	GapForecast                    // by the forecast, no leaf could have answered in time
	GapCall                        // the called VM answered, but not for this shard
	GapSilent                      // the called VM did not answer
	GapDeclined                    // the called VM left the shard to the calling VM, since the two know different leafs
	GapEvacuated                   // all leafs that would take requests are in evacuated zones
	GapQuarantined                 // the request ended leafs, or may have, so that no other leaf got it
	gapCauses                      // number of the causes above, not a cause itself
)

// String returns the word for the cause that is used in logs and metrics.
func (c GapCause) String() string {
	return [...]string{
		"slow", "room", "budget", "late", "attempts", "no_leaf", "forecast", "call", "silent", "declined", "evacuated", "quarantined",
	}[c]
}

// GapCauses returns all reasons why a shard may have no answer, in the order in which they are
// written out.
func GapCauses() []GapCause {
	list := make([]GapCause, gapCauses)
	for i := range list {
		list[i] = GapCause(i)
	}
	return list
}

// gaps returns the shards of the query that have no answer, each with the reason for that.
func (q *Query) gaps() []Gap {
	var list []Gap
	for i := range q.shards {
		if s := &q.shards[i]; !s.answered() {
			list = append(list, Gap{Shard: i, Cause: q.cause(s)})
		}
	}
	return list
}

// cause returns the reason why a shard has no answer. It is called when the query ends.
func (q *Query) cause(s *shard) GapCause {
	switch {
	case s.inFlight > 0:
		return GapSlow
	case !s.pollAt.IsZero():
		return GapNoCapacity
	case s.closed:
		return s.gap
	case s.call != 0 && q.calls[s.call].answered:
		return GapCall
	case s.call != 0:
		return GapSilent
	default:
		return GapAttempts
	}
}

// close prevents further attempts on a shard. cause is recorded as the reason why the shard has
// no answer, unless the shard is closed already.
func (s *shard) close(cause GapCause) {
	if !s.closed {
		s.closed = true
		s.gap = cause
	}
}
