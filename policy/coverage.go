package policy

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Reason is why a shard has no answer.
type Reason string

// The reasons.
const (
	ReasonNoReplica    Reason = "no_replica"    // no live replica holds it
	ReasonBusy         Reason = "busy"          // all replicas busy or shedding
	ReasonTimeout      Reason = "timeout"       // no answer in time
	ReasonUnreachable  Reason = "unreachable"   // the target could not be reached
	ReasonBroken       Reason = "broken"        // the connection broke
	ReasonSnapshotGone Reason = "snapshot_gone" // the leaf holds the snapshot no more
	ReasonShed         Reason = "shed"          // refused by the target
	ReasonMismatch     Reason = "mismatch"      // the answer belonged to another request
	ReasonUnanswered   Reason = "unanswered"    // still running when the query ended
)

// EndReason is how a query came to its decision.
type EndReason int

// The ends of a query.
const (
	EndComplete     EndReason = iota // every shard answered
	EndSufficient                    // the needed coverage was reached and the grace passed
	EndInsufficient                  // no attempt is left that could reach the needed coverage
	EndDeadline                      // the time was over
	EndNoSnapshot                    // nothing could be read at all
	EndAbandoned                     // the caller went away
)

// Outcome is what a query came to.
type Outcome struct {
	End      EndReason
	Snapshot Snapshot
	Coverage Coverage
	Answers  []*target.LeafAnswer // at most one of each shard, in order of shards

	Sent     int // attempts, hedges and retries included
	Refused  int // attempts that no target started
	Shed     int // of Refused, for want of slots
	Hedges   int
	Retries  int
	Restarts int // passes begun again on another snapshot

	LastAnswer LastAnswer
}

// LastAnswer tells of the attempt whose answer came last. It is the one that a
// query answered in whole waited for.
type LastAnswer struct {
	SentAfter time.Duration // from the start of the query until the attempt was sent
	Took      time.Duration // from there to its answer
}

// NotRun reports whether it is certain that no target started any part.
func (o *Outcome) NotRun() bool { return o.Sent == o.Refused }

// ShardGap is a shard of which records are missing.
type ShardGap struct {
	Shard        int    `json:"shard"`
	Reason       Reason `json:"reason"`
	Missing      int64  `json:"missing"`       // records known to be missing
	MissingKnown bool   `json:"missing_known"` // false: how many is not known
}

// ReasonIncomplete marks a shard whose leaf said that it left records out.
const ReasonIncomplete Reason = "incomplete"

// Coverage is a true account of what an answer rests on, counted by the
// partition map of the answer's own snapshot.
type Coverage struct {
	Shards   int   // of the snapshot's partition map
	Answered int   // shards that answered in full
	Records  int64 // read

	// Missing counts records known to be missing. UnknownShards counts shards
	// of which it is not known how many are missing.
	Missing       int64
	UnknownShards int

	Gaps []ShardGap

	partial float64 // sum of the shares read of shards that answered in part
}

// Ratio is the share of shards read, from 0 to 1. A shard that answered in part
// counts by the share of its records that were read, and as nothing if that is
// not known.
func (c Coverage) Ratio() float64 {
	return ratio(c.Answered, c.partial, c.Shards)
}

func ratio(full int, partial float64, shards int) float64 {
	if shards == 0 {
		return 0
	}
	return (float64(full) + partial) / float64(shards)
}

// readShare tells what an answer adds to the coverage: one full shard, or the
// share that was read of a shard that answered in part. A leaf's statement that
// it left records out is no better than what it adds up to: a count of missing
// records that is not positive, or exceeds what the shard holds, says nothing.
func readShare(a *target.LeafAnswer) (full int, share float64) {
	if a.Complete {
		return 1, 0
	}
	if a.Missing <= 0 || a.Missing > a.Records {
		return 0, 0
	}
	return 0, float64(a.Records-a.Missing) / float64(a.Records)
}

// AllAnswered reports whether no record is missing.
func (c Coverage) AllAnswered() bool { return c.Shards > 0 && c.Answered == c.Shards }

// CoverageOf counts what a query's answers cover so far.
func CoverageOf(q *Query) Coverage {
	c := Coverage{Shards: len(q.shards)}
	for shard := range q.shards {
		s := &q.shards[shard]
		switch {
		case s.answer == nil:
			c.addUnanswered(q, shard)
		case s.answer.Complete:
			c.Answered++
			c.Records += s.answer.Records
		default:
			c.addIncomplete(shard, s.answer)
		}
	}
	return c
}

func (c *Coverage) addUnanswered(q *Query, shard int) {
	reason := q.shards[shard].reason
	if reason == "" || q.shards[shard].inFlight > 0 {
		reason = ReasonUnanswered
	}
	n, known := q.table.Records(q.snapshot.Name, shard)
	c.addGap(ShardGap{Shard: shard, Reason: reason, Missing: n, MissingKnown: known})
}

func (c *Coverage) addIncomplete(shard int, a *target.LeafAnswer) {
	gap := ShardGap{Shard: shard, Reason: ReasonIncomplete}
	if _, share := readShare(a); share > 0 || a.Missing == a.Records && a.Records > 0 {
		gap.Missing = a.Missing
		gap.MissingKnown = true
		c.Records += a.Records - a.Missing
		c.partial += share
	}
	c.addGap(gap)
}

func (c *Coverage) addGap(gap ShardGap) {
	c.Gaps = append(c.Gaps, gap)
	if gap.MissingKnown {
		c.Missing += gap.Missing
	} else {
		c.UnknownShards++
	}
}
