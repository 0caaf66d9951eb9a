package scatter

import "time"

// sendsPerAttempt is how many times MaxAttempts a shard may be sent where leafs
// refuse or can't be reached, neither of which runs anything.
const sendsPerAttempt = 3

// Pauses before a shard without a leaf to send to is looked at again.
const (
	lookPause = 8 * time.Millisecond
	// queueShare is the part of the aim that a request to one service waits for a
	// leaf to have room. A caller that is refused by then can still come back in
	// time; one that waits longer mostly gets a late answer.
	queueShare = 0.2
)

// try sends an attempt on a shard, or notes why none can be sent.
func (q *Query) try(now time.Time, i int, why Why) []Action {
	s := &q.shards[i]
	leafs := q.candidates(s)
	c := choice{tried: s.tried, idle: why == Hedge}
	if q.spec.Gathered {
		c.by = q.usefulUntil(now)
		late := c.by.After(q.spec.AnswerBy)
		if late && q.enough(q.answered()) {
			if s.flying == 0 {
				s.close(GapLate)
			}
			return nil
		}
		c.idle = c.idle || late
	}
	l := q.table.pick(now, q.key(), leafs, c)
	if l == nil && why != Hedge && s.flying == 0 {
		// All cool down after failures, or each was tried. One of them is better than
		// none: a leaf that refused or was out of reach may be well again.
		l = q.table.pickCoolingDown(now, leafs, s.tried)
		if l == nil && (s.maybeRan == 0 || s.shared) {
			c.tried = nil
			l = q.table.pick(now, q.key(), leafs, c)
		}
	}
	if l == nil {
		q.wait(now, s, why)
		return nil
	}
	if !q.pay(now, s, why) {
		if why != Hedge && s.flying == 0 {
			s.close(GapBudget)
		}
		return nil
	}
	return []Action{q.send(now, i, l, why)}
}

// pay counts the arrival that an attempt is going to cause.
func (q *Query) pay(now time.Time, s *shard, why Why) bool {
	b := q.table.budget(now, s.service)
	if !s.counted {
		s.counted = true
		b.first(now, q.spec.Weight)
	}
	if !s.arrived && s.flying == 0 && s.call == 0 && !q.spec.Again {
		return true
	}
	spare := 0.0
	if why == Hedge {
		spare = hedgeSpare
	}
	return b.take(now, spare)
}

func (q *Query) send(now time.Time, i int, l *leaf, why Why) Action {
	s := &q.shards[i]
	q.last++
	q.sent++
	switch why {
	case Hedge:
		q.hedges++
		s.hedged = true
	case Retry:
		q.retries++
	}
	s.tried = append(s.tried, l.id)
	s.choose(l.id)
	s.sends++
	s.flying++
	s.maybeRan++
	s.hedgeAt = now.Add(q.hedgeDelay(now, l))
	q.look(s, time.Time{})
	usual, known := q.table.usual(now, q.key())
	l.sent(flight{sentAt: now, usual: usual, known: known})
	q.attempts[q.last] = &attempt{shard: i, leaf: l.id, sentAt: now}
	return Send{
		Attempt: q.last,
		Shard:   i,
		Leaf:    l.id,
		Address: l.Address,
		SentAt:  now,
		Until:   q.usefulUntil(now),
		Far:     !l.near,
		Keep:    q.table.Keeps(l.id),
		Why:     why,
	}
}

// lateShare is the part of the aim that a leaf is given for a part that can't come before
// AnswerBy any more. The answer is late then, but it is one. Only leafs with a free slot are
// asked for it.
const lateShare = 0.5

// usefulUntil returns when an attempt that is sent now ends being of use. Parts of a gathered
// answer are of none once it was given: with the caller's whole time, which may be many times
// the aim, leafs that are short of slots spend them on parts that nobody waits for.
func (q *Query) usefulUntil(now time.Time) time.Time {
	if !q.spec.Gathered {
		return q.spec.Deadline
	}
	usual, _ := q.table.usual(now, q.key())
	if now.Add(usual).Before(q.spec.AnswerBy) {
		return earlier(q.spec.AnswerBy, q.spec.Deadline)
	}
	late := now.Add(time.Duration(lateShare * float64(q.spec.Aim)))
	return earlier(late, q.spec.Deadline)
}

// wait lets a shard that has leafs, none of which takes a request just now, be
// looked at again.
func (q *Query) wait(now time.Time, s *shard, why Why) {
	if why == Hedge {
		return
	}
	if s.flying > 0 || !now.Before(q.waitUntil()) {
		if s.flying == 0 {
			s.close(GapRoom)
		}
		return
	}
	if !q.table.Usable(s.service) && (!q.spec.Gathered || q.spec.Delegated) {
		// A caller who is told at once can turn elsewhere, and so can another VM,
		// which may know leafs that this one, just started, does not.
		s.close(GapNoLeaf)
		return
	}
	q.look(s, now.Add(lookPause))
}

// look sets when a leaf of a shard is looked for again, zero for never.
func (q *Query) look(s *shard, at time.Time) {
	if s.waitsAt != nil {
		s.waitsAt.waiting--
		s.waitsAt = nil
	}
	s.lookAt = at
	if at.IsZero() {
		return
	}
	if s.waitsAt = q.table.groups[s.service]; s.waitsAt != nil {
		s.waitsAt.waiting++
	}
}

func (q *Query) waitUntil() time.Time {
	if q.spec.Gathered {
		return q.spec.AnswerBy
	}
	queue := time.Duration(queueShare * float64(q.spec.Aim))
	return earlier(q.began.Add(queue), q.spec.Deadline)
}

// again sends another attempt on a shard after one ended without an answer.
func (q *Query) again(now time.Time, i int) []Action {
	s := &q.shards[i]
	if s.answered() || s.closed || s.flying > 0 {
		return nil
	}
	if q.spec.Gathered && !now.Before(q.spec.AnswerBy) {
		s.close(GapLate)
		return nil
	}
	if s.maybeRan >= q.spec.MaxAttempts || s.sends >= q.spec.MaxAttempts*sendsPerAttempt {
		s.close(GapAttempts)
		return nil
	}
	if s.maybeRan > 0 && !q.spec.Idempotent {
		s.close(GapAttempts)
		return nil
	}
	why := Retry
	if s.sends == 0 {
		why = First
	}
	return q.try(now, i, why)
}
