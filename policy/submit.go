package policy

import "time"

// Submission decides where a non-idempotent request goes. It offers a further
// replica only after the last one answered that it did not start the request,
// so the request is started at most once.
type Submission struct {
	table    *Table
	snapshot Snapshot
	shard    int
	tried    []ReplicaID
	max      int
	present  ReplicaID
	sentAt   time.Time
	open     bool // handed over, and the end not yet known
	closed   bool // may have been started: never offered again
}

// NewSubmission returns the decision for a request whose key hashes to hash. It
// returns false if no snapshot can be read, and so no leaf is known.
func NewSubmission(table *Table, hash uint64, maxAttempts int, now time.Time) (*Submission, bool) {
	snap, ok := table.ChooseSnapshot(now)
	if !ok {
		return nil, false
	}
	return &Submission{
		table:    table,
		snapshot: snap,
		shard:    int(hash % uint64(snap.Shards)),
		max:      max(maxAttempts, 1),
	}, true
}

// Next returns where to hand the request over. If ok is false and wait is not
// zero, all replicas are busy or resting, and Next is to be asked again then. If
// wait is zero too, the request must not be or cannot be handed over any more.
func (s *Submission) Next(now time.Time) (send Send, wait time.Time, ok bool) {
	if s.open || s.closed || len(s.tried) >= s.max {
		return Send{}, time.Time{}, false
	}
	id, ok := s.table.Pick(now, s.snapshot.Name, s.shard, s.tried, false)
	if !ok {
		wait, _ = s.table.ReadyAgain(now, s.snapshot.Name, s.shard, s.tried)
		return Send{}, wait, false
	}
	s.tried = append(s.tried, id)
	s.present = id
	s.sentAt = now
	s.open = true
	s.table.Begin(id)
	return Send{
		Attempt:  AttemptID(len(s.tried)),
		Replica:  id,
		Shard:    s.shard,
		Snapshot: s.snapshot.Name,
	}, time.Time{}, true
}

// Ended takes how the handing over ended. Only a refusal, by which the target
// says that it did not start the request, leaves it open to be offered again.
func (s *Submission) Ended(now time.Time, end AttemptEnd) {
	if !s.open {
		return
	}
	end.Took = now.Sub(s.sentAt)
	s.table.End(s.present, end, now)
	s.open = false
	s.closed = !end.Refused
}

// Tried is the number of replicas that the request was handed to.
func (s *Submission) Tried() int { return len(s.tried) }
