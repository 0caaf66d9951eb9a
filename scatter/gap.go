package scatter

// Gap is a shard without an answer when its query ended.
type Gap struct {
	Shard int
	Cause GapCause
}

// GapCause says why a shard had no answer.
type GapCause int

// The causes, in the order in which they are written.
const (
	GapSlow       GapCause = iota // a leaf was asked and had not answered
	GapNoCapacity                 // its leafs were full, or left alone after failures
	GapBudget                     // the budget did not allow to ask again
	GapLate                       // an attempt had failed, too late for another one
	GapAttempts                   // all attempts had ended without an answer
	GapNoLeaf                     // no leaf is known that takes requests
	GapForecast                   // no leaf could have answered in time
	GapCall                       // the VM that was called had no answer to it
	GapSilent                     // the VM that was called did not answer
	GapDeclined                   // left to the VM that called
	gapCauses
)

// String returns the word used in logs and metrics.
func (c GapCause) String() string {
	return [...]string{
		"slow", "room", "budget", "late", "attempts", "no_leaf", "forecast", "call", "silent", "declined",
	}[c]
}

// GapCauses are all causes.
func GapCauses() []GapCause {
	list := make([]GapCause, gapCauses)
	for i := range list {
		list[i] = GapCause(i)
	}
	return list
}

// gaps returns the shards that have no answer.
func (q *Query) gaps() []Gap {
	var list []Gap
	for i := range q.shards {
		if s := &q.shards[i]; !s.answered() {
			list = append(list, Gap{Shard: i, Cause: q.cause(s)})
		}
	}
	return list
}

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

// close makes no further attempt on a shard.
func (s *shard) close(why GapCause) {
	if !s.closed {
		s.closed = true
		s.gap = why
	}
}
