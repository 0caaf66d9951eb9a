package scatter

import (
	"slices"
	"time"
)

// waiter is the place of a shard among those that wait for a leaf of a service.
type waiter struct {
	shard    *shard
	position float64   // of the request among the recent demand; the lowest comes first
	since    time.Time // when the shard began to wait
	// unsuited says that leafs with room were left when it was the shard's turn, and none of
	// them suited it. Others need not wait for it then.
	unsuited bool
}

// before reports whether w comes before other.
func (w waiter) before(other waiter) bool {
	if w.position != other.position {
		return w.position < other.position
	}
	return w.since.Before(other.since)
}

// waiterOf returns the place that a shard of the query has if it waits now.
func (q *Query) waiterOf(now time.Time, s *shard) waiter {
	if s.waitsSince.IsZero() {
		s.waitsSince = now
	}
	return waiter{shard: s, position: q.position(now, typicalDraw), since: s.waitsSince}
}

// ahead returns the number of waiting shards that come before w and may take a leaf from it.
func (s *service) ahead(w waiter) int {
	n := 0
	for _, other := range s.line {
		if other.shard != w.shard && !other.unsuited && other.before(w) {
			n++
		}
	}
	return n
}

// waitersAhead returns the number of this VM's waiting shards of the service that are served before
// the given one.
func (q *Query) waitersAhead(now time.Time, s *shard) int {
	svc := q.table.services[s.service]
	if q.table.urgency == nil || len(svc.line) == 0 {
		return svc.waiting
	}
	// Shards that wait for something else than their turn are not in the line.
	return svc.waiting - len(svc.line) + svc.ahead(waiter{shard: s, position: q.position(now, typicalDraw), since: now})
}

// room returns how many more requests this VM may send to available ones of the leafs.
func (t *Table) room(now time.Time, leafs []*leaf) int {
	n := 0
	for _, l := range leafs {
		if !t.mayTake(now, l) || !l.available(now) {
			continue
		}
		if l.halfOpen {
			n++
		} else {
			n += l.maxInFlight - len(l.inFlight)
		}
	}
	return n
}

// inTurn reports whether a shard may look for one of the leafs now: they have room for it beside
// those that come before it.
func (q *Query) inTurn(now time.Time, s *shard, leafs []*leaf) bool {
	svc := q.table.services[s.service]
	if q.table.urgency == nil || svc == nil || len(svc.line) == 0 {
		return true
	}
	ahead := svc.ahead(q.waiterOf(now, s))
	return ahead == 0 || ahead < q.table.room(now, leafs)
}

// joinLine adds a shard that waits to the line of its service, and returns the time until its next
// check for a leaf. suits is false if leafs have room for the shard, but none of them suits it.
func (q *Query) joinLine(now time.Time, s *shard, suits bool) time.Duration {
	svc := q.table.services[s.service]
	if q.table.urgency == nil || svc == nil {
		return leafPollInterval
	}
	w := q.waiterOf(now, s)
	w.unsuited = !suits
	first := suits && svc.ahead(w) == 0
	svc.line = append(svc.line, w)
	if first {
		return firstPollInterval
	}
	return leafPollInterval
}

// leaveLine removes a shard from the line of its service.
func (s *service) leaveLine(sh *shard) {
	if i := slices.IndexFunc(s.line, func(w waiter) bool { return w.shard == sh }); i >= 0 {
		s.line = slices.Delete(s.line, i, i+1)
	}
}
