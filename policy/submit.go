package policy

import "time"

// Submission chooses the replicas for a non-idempotent request. It returns another
// replica only if it is certain that the target of the last one did not start the
// request, so the request is started at most once.
type Submission struct {
	table       *Table
	snapshot    Snapshot
	shard       int         // chosen by the hash of the request's key
	tried       []ReplicaID // replicas for which Next returned an attempt
	maxAttempts int         // upper bound of the number of attempts
	current     ReplicaID   // replica of the latest attempt
	sentAt      time.Time   // when the latest attempt was sent
	inFlight    bool        // the end of the latest attempt is not known yet
	closed      bool        // a target may have started the request, so it must not be sent again
}

// NewSubmission returns a Submission for a request whose key hashes to hash. It
// returns false if no snapshot is readable, and so no leaf is known.
func NewSubmission(table *Table, hash uint64, maxAttempts int, now time.Time) (*Submission, bool) {
	snap, ok := table.ChooseSnapshot(now)
	if !ok {
		return nil, false
	}
	return &Submission{
		table:       table,
		snapshot:    snap,
		shard:       int(hash % uint64(snap.Shards)),
		maxAttempts: max(maxAttempts, 1),
	}, true
}

// Next returns the attempt to send next. If ok is false and retryAt is not zero, all
// replicas are busy or in cooldown, and Next must be called again at retryAt. If retryAt
// is zero too, the request cannot or must not be sent again.
func (s *Submission) Next(now time.Time) (send Send, retryAt time.Time, ok bool) {
	if s.inFlight || s.closed || len(s.tried) >= s.maxAttempts {
		return Send{}, time.Time{}, false
	}
	id, ok := s.table.Pick(now, s.snapshot.Name, s.shard, s.tried, false)
	if !ok {
		retryAt, _ = s.table.ReadyAgain(now, s.snapshot.Name, s.shard, s.tried)
		return Send{}, retryAt, false
	}
	s.tried = append(s.tried, id)
	s.current = id
	s.sentAt = now
	s.inFlight = true
	s.table.BeginAttempt(id)
	return Send{
		Attempt:  AttemptID(len(s.tried)),
		Replica:  id,
		Shard:    s.shard,
		Snapshot: s.snapshot.Name,
	}, time.Time{}, true
}

// HandleEnd records how the attempt in flight ended. Next may return another attempt only
// if end.Refused says that the target did not start the request.
func (s *Submission) HandleEnd(now time.Time, end AttemptEnd) {
	if !s.inFlight {
		return
	}
	end.Took = now.Sub(s.sentAt)
	s.table.EndAttempt(s.current, end, now)
	s.inFlight = false
	s.closed = !end.Refused
}

// Tried returns the number of replicas for which Next returned an attempt.
func (s *Submission) Tried() int { return len(s.tried) }
