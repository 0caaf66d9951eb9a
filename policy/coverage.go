package policy

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Reason is why a shard has no answer, or an incomplete one. It is part of the JSON
// form of a ShardGap.
type Reason string

// The reasons for a missing answer.
const (
	ReasonNoReplica    Reason = "no_replica"    // no usable replica holds the shard
	ReasonBusy         Reason = "busy"          // all replicas are busy or refuse attempts
	ReasonTimeout      Reason = "timeout"       // no answer in time
	ReasonUnreachable  Reason = "unreachable"   // the target could not be reached
	ReasonBroken       Reason = "broken"        // the connection broke
	ReasonSnapshotGone Reason = "snapshot_gone" // the leaf no longer holds the snapshot
	ReasonShed         Reason = "shed"          // refused by the target
	ReasonMismatch     Reason = "mismatch"      // the answer belonged to another request
	ReasonUnanswered   Reason = "unanswered"    // still running when the query ended
)

// EndReason is why a query ended.
type EndReason int

// The reasons for the end of a query.
const (
	EndComplete   EndReason = iota // every shard answered
	EndSufficient                  // MinCoverage was reached and the grace period has passed
	EndExhausted                   // some shards have not answered and none of them still can, or MinCoverage can no longer be reached
	EndDeadline                    // the deadline passed
	EndNoSnapshot                  // no snapshot was readable
	EndAbandoned                   // the caller disconnected
)

// Outcome is the result of a query.
type Outcome struct {
	End      EndReason
	Snapshot Snapshot
	Coverage Coverage
	Answers  []*target.LeafAnswer // at most one per shard, in order of shards

	Sent     int // attempts, hedges and retries included
	Refused  int // attempts that no target started
	Shed     int // those of Refused that a target refused because no slot was free
	Hedges   int // attempts sent because an earlier one on the shard was slow
	Retries  int // attempts sent because an earlier one on the shard failed
	Restarts int // how often the query was restarted on another snapshot

	LastAnswer LastAnswer
}

// LastAnswer holds the times of the attempt whose answer arrived last. If every shard has
// answered, the query ended when this answer arrived.
type LastAnswer struct {
	SentAfter time.Duration // from the start of the query until the attempt was sent
	Took      time.Duration // from the sending of the attempt to its answer
}

// NotRun reports whether it is certain that no target started any attempt.
func (o *Outcome) NotRun() bool { return o.Sent == o.Refused }

// ShardGap describes a shard with missing records.
type ShardGap struct {
	Shard        int    `json:"shard"` // number of the shard, from 0
	Reason       Reason `json:"reason"`
	Missing      int64  `json:"missing"`       // records known to be missing
	MissingKnown bool   `json:"missing_known"` // false: the number of missing records is not known
}

// ReasonIncomplete is the reason of a shard whose leaf reported that its answer leaves
// records out.
const ReasonIncomplete Reason = "incomplete"

// Coverage counts the shards and records that an answer is based on. The number of shards
// comes from the partition map of the snapshot that was read.
type Coverage struct {
	Shards   int   // number of shards in the snapshot's partition map
	Answered int   // shards with a complete answer
	Records  int64 // records read

	// Missing counts records known to be missing. UnknownShards counts the shards
	// with an unknown number of missing records.
	Missing       int64
	UnknownShards int

	Gaps []ShardGap // one for each shard without a complete answer, in order of shards

	partial float64 // sum, over the shards with an incomplete answer, of the share of records read
}

// Ratio returns the share of shards read, from 0 to 1. A shard with an incomplete
// answer counts by the share of its records that were read, and as 0 if that is not
// known.
func (c Coverage) Ratio() float64 {
	return ratio(c.Answered, c.partial, c.Shards)
}

// ratio returns the share of shards read, 0 to 1. full is the number of shards with a
// complete answer, and partial the sum of the shares read of the others.
func ratio(full int, partial float64, shards int) float64 {
	if shards == 0 {
		return 0
	}
	return (float64(full) + partial) / float64(shards)
}

// readShare returns what an answer adds to the coverage: one full shard, or the share
// that was read of a shard with an incomplete answer. A leaf's count of missing records
// is checked for consistency: if it is not positive, or exceeds the records of the
// shard, the share is unknown and counts as 0.
func readShare(a *target.LeafAnswer) (full int, share float64) {
	if a.Complete {
		return 1, 0
	}
	if a.Missing <= 0 || a.Missing > a.Records {
		return 0, 0
	}
	return 0, float64(a.Records-a.Missing) / float64(a.Records)
}

// AllAnswered reports whether every shard has a complete answer, so that no record is
// missing.
func (c Coverage) AllAnswered() bool { return c.Shards > 0 && c.Answered == c.Shards }

// CoverageOf returns the coverage of a query's answers so far.
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

// addUnanswered counts a shard without an answer. All its records are missing, if their
// number is known.
func (c *Coverage) addUnanswered(q *Query, shard int) {
	reason := q.shards[shard].reason
	if reason == "" || q.shards[shard].inFlight > 0 {
		reason = ReasonUnanswered
	}
	n, known := q.table.Records(q.snapshot.Name, shard)
	c.addGap(ShardGap{Shard: shard, Reason: reason, Missing: n, MissingKnown: known})
}

// addIncomplete counts a shard whose leaf reported an incomplete answer.
func (c *Coverage) addIncomplete(shard int, a *target.LeafAnswer) {
	gap := ShardGap{Shard: shard, Reason: ReasonIncomplete}
	// The leaf's count of missing records is used if it is consistent. readShare then
	// returns a share above 0, or 0 if all records of the shard are missing.
	if _, share := readShare(a); share > 0 || a.Missing == a.Records && a.Records > 0 {
		gap.Missing = a.Missing
		gap.MissingKnown = true
		c.Records += a.Records - a.Missing
		c.partial += share
	}
	c.addGap(gap)
}

// addGap adds a gap and the number of its missing records.
func (c *Coverage) addGap(gap ShardGap) {
	c.Gaps = append(c.Gaps, gap)
	if gap.MissingKnown {
		c.Missing += gap.Missing
	} else {
		c.UnknownShards++
	}
}
