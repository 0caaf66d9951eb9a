package scatter

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Canary requests.
//
// A content that no leaf has answered of late may end or silence each leaf that runs it. Until one answers, only a
// few leafs get it, the canaries. VMs choose them by rendezvous hashing of the content and the leafs, so that
// VMs which know the same leafs choose the same ones: however many requests of a content are in flight, through
// whichever VMs, it loses no more leafs than there are canaries. A gathered request asks one of them, the next one where
// the first does not answer soon, and the other shards when one has answered.

const (
	// maxCanaries is how many leafs get a content before one has answered it.
	maxCanaries = 3
	// maxCutCanaries bounds the further canaries of a content in place of those that have cut their connection.
	maxCutCanaries = 3
	// maxCanaryTimeShare is the share of the time until AnswerBy that requests of a kind may usually take, with a canary,
	// so that one is asked first. Where there is less time, one is asked only after other contents have lost leafs.
	maxCanaryTimeShare = 0.7
	// maxCanarySlowdown is the slowdown from which a leaf is no canary.
	maxCanarySlowdown = 1.7
	// recentLoss is how long a leaf that has become suspect, or could not be reached, stays a canary.
	// It may have been lost under the same content through another VM, whose notice arrives in this time.
	recentLoss = 50 * time.Millisecond
	// maxCanaryPatienceShare bounds the wait for the answer of a canary before the next one is asked, as a share of the
	// latency objective.
	maxCanaryPatienceShare = 0.2
)

// canary is a leaf that may get a request before any leaf has answered its content.
type canary struct {
	shard int // index of the leaf's shard in the query
	leaf  *leaf
	rank  uint64 // by rendezvous hashing; the lowest ones are chosen
}

// compareCanaries orders canaries by rank.
func compareCanaries(a, b canary) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.leaf.id.ID, b.leaf.id.ID))
}

// Unproven reports whether no leaf has answered the content of the request yet.
func (q *Query) Unproven() bool { return q.canary }

// Answered reports whether a leaf has answered the request.
func (q *Query) Answered() bool { return q.answered() > 0 }

// mayLoseAll reports whether each leaf that a gathered request was sent to may be lost under it: no leaf has answered its
// content yet, as far as is known, and as many leafs as may be lost are at work on it.
func (q *Query) mayLoseAll() bool {
	if q.spec.Content.IsZero() || q.spec.Proven || q.answered() > 0 {
		return false
	}
	return q.canary || len(q.attempts) >= maxCanaries
}

// needsCanary reports whether the query may ask only canaries, since no leaf has answered its content of late.
func (q *Query) needsCanary(now time.Time, calls []delegation) bool {
	if q.spec.Content.IsZero() || q.spec.Proven || q.table.guard.Proven(now, q.spec.Content) {
		return false
	}
	return !q.spec.Gathered || q.table.guard.Suspects(now, q.spec.Content) || q.table.guard.Alert(now) || q.canaryInTime(now, calls)
}

// canaryInTime reports whether a gathered request is usually answered early enough that it can ask a canary first. While
// that is not known, one that other VMs are called for is taken for one that is not.
func (q *Query) canaryInTime(now time.Time, calls []delegation) bool {
	usual, known := q.table.durationsOf(q.wholeDurationKey()).Quantile(now, typicalDurationQuantile)
	if !known {
		return len(calls) == 0
	}
	canaryTime, _ := q.table.typicalDuration(now, q.durationKey())
	return usual+canaryTime <= time.Duration(maxCanaryTimeShare*float64(q.spec.AnswerBy.Sub(q.startedAt)))
}

// recordWhole records how long a gathered request has taken that was answered.
func (q *Query) recordWhole(now time.Time, out Outcome) {
	if out.Verdict == Answered && q.spec.Gathered && !q.spec.Delegated {
		q.table.durationsOf(q.wholeDurationKey()).Add(now, now.Sub(q.askedAt))
	}
}

// wholeDurationKey returns the key under which the times are recorded that gathered requests take after their canary.
func (q *Query) wholeDurationKey() durationKey {
	return durationKey{objective: q.spec.LatencyObjective, gathered: true, whole: true}
}

// canaries returns the canaries that the request was not sent to and that no other request of its content has lost. They
// are of different shards and zones where there are enough.
func (q *Query) canaries(now time.Time) []canary {
	if due, silent := q.table.guard.TrialDue(now, q.spec.Content); due {
		return q.trialLeafs(silent, false)
	}
	if list := q.canariesAmong(now, true); len(list) > 0 {
		return list
	}
	if list := q.canariesAmong(now, false); len(list) > 0 {
		return list
	}
	if silent := q.table.guard.LongSilent(now, q.spec.Content); len(silent) > 0 {
		return q.trialLeafs(silent, true)
	}
	return nil
}

// trialLeafs returns the leafs that may get the trial of a content whose quarantine is over: those that are silent under
// it, if there are any. only says that no others may.
func (q *Query) trialLeafs(silent []string, only bool) []canary {
	seed := binary.BigEndian.Uint64(q.spec.Content[:])
	var list, silentOnes []canary
	for i := range q.shards {
		s := &q.shards[i]
		for _, l := range q.candidates(s) {
			if s.declined || slices.Contains(s.tried, l.id) {
				continue
			}
			c := canary{shard: i, leaf: l, rank: rendezvousRank(seed, l.hash)}
			list = append(list, c)
			if slices.Contains(silent, leafName(l.id)) {
				silentOnes = append(silentOnes, c)
			}
		}
	}
	if only || len(silentOnes) > 0 {
		list = silentOnes
	}
	return chooseCanaries(list, false)
}

// canariesAmong is canaries, with or without suspect and slow leafs.
func (q *Query) canariesAmong(now time.Time, sound bool) []canary {
	lost, others := q.table.guard.LostLeafs(now, q.spec.Content)
	cut := q.table.guard.Cut(now, q.spec.Content)
	cut = cut[:min(len(cut), maxCutCanaries)]
	elsewhere := q.table.guard.LostElsewhere(now, q.spec.Content)
	seed := binary.BigEndian.Uint64(q.spec.Content[:])
	list := make([]canary, 0, 2*len(q.shards))
	used := others + len(lost)
	for i := range q.shards {
		s := &q.shards[i]
		for _, id := range s.tried {
			if name := leafName(id); !q.givesWay(now, id) && !slices.Contains(lost, name) && !slices.Contains(cut, name) {
				used++
			}
		}
		if s.declined {
			continue
		}
		for _, l := range q.candidates(s) {
			if q.mayBeCanary(now, s, l, sound, elsewhere) && !slices.Contains(cut, leafName(l.id)) {
				list = append(list, canary{shard: i, leaf: l, rank: rendezvousRank(seed, l.hash)})
			}
		}
	}
	chosen := chooseCanaries(list, len(q.shards) >= maxCanaries)
	chosen = slices.DeleteFunc(chosen, func(c canary) bool {
		return slices.Contains(q.shards[c.shard].tried, c.leaf.id) || slices.Contains(lost, leafName(c.leaf.id))
	})
	return chosen[:max(min(len(chosen), maxCanaries-used), 0)]
}

// chooseCanaries returns maxCanaries of the candidates: of different shards if required, of different zones where
// possible, those of the lowest ranks first.
func chooseCanaries(list []canary, distinctShards bool) []canary {
	var chosen []canary
	for len(chosen) < maxCanaries {
		best, bestZone := -1, false
		for i, c := range list {
			if slices.ContainsFunc(chosen, func(o canary) bool { return o.leaf == c.leaf || distinctShards && o.shard == c.shard }) {
				continue
			}
			newZone := !slices.ContainsFunc(chosen, func(o canary) bool { return o.leaf.Zone == c.leaf.Zone })
			if best < 0 || newZone && !bestZone || newZone == bestZone && compareCanaries(c, list[best]) < 0 {
				best, bestZone = i, newZone
			}
		}
		if best < 0 {
			break
		}
		chosen = append(chosen, list[best])
	}
	return chosen
}

// mayBeCanary reports whether a leaf of a shard may be a canary. One that the request was sent to stays one, unless it
// has said that it did not run it. sound says that suspect and slow leafs are none, nor those
// that were lost under other contents, elsewhere.
func (q *Query) mayBeCanary(now time.Time, s *shard, l *leaf, sound bool, elsewhere map[string]bool) bool {
	switch {
	case q.table.guard.HasLost(now, q.spec.Content, leafName(l.id)):
		return true
	case q.givesWay(now, l.id):
		return false
	case slices.Contains(s.tried, l.id):
		return true
	}
	if !sound {
		return true
	}
	unsound := l.onTrial(now) || l.slowdown.factor(now) >= maxCanarySlowdown ||
		l.suspicion.raised && now.Sub(l.suspicion.since) >= recentLoss
	return !unsound && !(len(elsewhere) > 0 && elsewhere[leafName(l.id)])
}

// givesWay reports whether another leaf takes the place of one that the request was sent to: it has said that it did not
// run it, or could not be reached and was not lost just then.
func (q *Query) givesWay(now time.Time, id LeafID) bool {
	if slices.Contains(q.notRunBy, id) {
		return true
	}
	if !slices.Contains(q.unreachable, id) {
		return false
	}
	l := q.table.findLeaf(id)
	return l == nil || !l.suspicion.raised || now.Sub(l.suspicion.since) >= recentLoss
}

// canaryGivesWayAt returns when the next leaf that could not be reached gives way to another one, zero for never.
func (q *Query) canaryGivesWayAt(now time.Time) time.Time {
	var next time.Time
	for _, id := range q.unreachable {
		if !q.givesWay(now, id) {
			next = earlier(next, q.table.findLeaf(id).suspicion.since.Add(recentLoss))
		}
	}
	return next
}

// canariesOf returns those of the leafs of the shard with index i that may get the request: canaries, and leafs that have
// not run it although it was sent to them.
func (q *Query) canariesOf(now time.Time, i int, leafs []*leaf) []*leaf {
	var list []*leaf
	for _, c := range q.canaries(now) {
		if c.shard == i && slices.Contains(leafs, c.leaf) {
			list = append(list, c.leaf)
		}
	}
	for _, l := range leafs {
		if slices.Contains(q.notRunBy, l.id) {
			list = append(list, l)
		}
	}
	return list
}

// startCanary sends the request to a canary. calls are made, and the other shards asked, when one has answered.
func (q *Query) startCanary(now time.Time, calls []delegation) []Action {
	q.canary = true
	q.delayedCalls = calls
	for i := range q.shards {
		s := &q.shards[i]
		s.delayed = !s.closed
	}
	if !q.spec.Gathered {
		q.shards[0].delayed = false
		return q.trySend(now, 0, FirstAttempt)
	}
	q.canaryPatience = q.patienceWithCanary(now)
	return q.sendCanary(now)
}

// patienceWithCanary returns how long the query waits for its first canary before it asks the others too. A leaf may
// pause for longer.
func (q *Query) patienceWithCanary(now time.Time) time.Duration {
	longest := time.Duration(maxCanaryPatienceShare * float64(q.spec.LatencyObjective))
	usual, known := q.table.durationsOf(q.durationKey()).Quantile(now, hedgeDurationQuantile)
	if !known {
		return longest
	}
	return min(max(time.Duration(hedgeDurationFactor*float64(usual)), minHedgeDelay), longest)
}

// sendCanary sends a gathered request to one more canary: one in this VM's zone if there is one.
func (q *Query) sendCanary(now time.Time) []Action {
	q.nextCanaryAt = time.Time{}
	list := q.canaries(now)
	slices.SortStableFunc(list, func(a, b canary) int {
		return cmp.Compare(distance(a.leaf), distance(b.leaf))
	})
	for _, c := range list {
		s := &q.shards[c.shard]
		if !s.delayed || s.sends > 0 {
			continue
		}
		s.delayed = false
		if acts := q.trySend(now, c.shard, FirstAttempt); len(acts) > 0 {
			q.nextCanaryAt = now.Add(q.canaryPatience)
			return acts
		}
	}
	return nil
}

// distance returns 0 for a leaf in this VM's zone, 1 for any other.
func distance(l *leaf) int {
	if l.sameZone {
		return 0
	}
	return 1
}

// lastCanary reports whether one more leaf is all that the content may lose.
func (q *Query) lastCanary(now time.Time) bool {
	lost, others := q.table.guard.LostLeafs(now, q.spec.Content)
	return len(lost)+others >= maxCanaries-1
}

// announce records an attempt as late as it is made, and tells other VMs of it, so that none of them sends the request to
// a further leaf.
func (q *Query) announce(now time.Time, a *attempt) {
	a.late = true
	s := q.table.silence(a.leaf, a.sentAt)
	s.Since = now.Add(q.lateTime(now)) // an answer to a request that is sent before shows nothing
	if q.table.guard.Announce(now, q.spec.Content, s) {
		q.table.guard.Tell(now, q.spec.Content)
	}
}

// delayAfterCanary is called for a shard with index i of which no leaf may get the request now. The shard is asked when a
// canary has answered or another one may be asked, and closed if neither can be.
func (q *Query) delayAfterCanary(now time.Time, i int) {
	s := &q.shards[i]
	if q.spec.Gathered {
		s.delayed = true
		return
	}
	at := q.nextCanaryTime(now)
	if at.IsZero() || !at.Before(q.waitUntil()) {
		s.close(GapQuarantined)
		return
	}
	q.setPollAt(s, at)
}

// nextCanaryTime returns when another canary may take the place of one that was lost, zero for never.
func (q *Query) nextCanaryTime(now time.Time) time.Time {
	if q.table.guard.Checking(now, q.spec.Content) {
		return now.Add(heldPollInterval) // a leaf that is alive gives way
	}
	return q.canaryGivesWayAt(now)
}

// stepCanary returns what follows once a canary has answered or given way to another one. Without any that may still
// answer, the delayed shards are closed.
func (q *Query) stepCanary(now time.Time) []Action {
	if !q.canary {
		return nil
	}
	if q.answered() > 0 {
		return q.endCanary(now)
	}
	var acts []Action
	if q.spec.Gathered && (len(q.attempts) == 0 || !q.nextCanaryAt.IsZero() && !now.Before(q.nextCanaryAt)) {
		acts = q.sendCanary(now)
	}
	if len(q.attempts) > 0 || slices.ContainsFunc(q.shards, func(s shard) bool { return !s.pollAt.IsZero() }) {
		return acts
	}
	if q.spec.Gathered && now.Before(q.spec.AnswerBy) {
		if q.nextCanaryAt = q.nextCanaryTime(now); !q.nextCanaryAt.IsZero() {
			return acts
		}
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.delayed {
			s.delayed = false
			s.close(GapQuarantined)
		}
	}
	return acts
}

// endCanary makes the calls and asks the shards that have waited for the answer of a canary.
func (q *Query) endCanary(now time.Time) []Action {
	q.canary, q.askedAt = false, now
	var calls []delegation
	for _, d := range q.delayedCalls {
		d.shards = slices.DeleteFunc(d.shards, func(i int) bool { return !q.shards[i].delayed || q.shards[i].sends > 0 })
		if len(d.shards) >= minDelegatedShards || len(d.shards) > 0 && d.partition.zone == q.table.zone {
			calls = append(calls, d)
		}
	}
	q.delayedCalls = nil
	var again []int // shards whose canary has failed
	for i := range q.shards {
		s := &q.shards[i]
		if s.delayed && s.sends > 0 {
			again = append(again, i)
		}
		s.delayed = false
	}
	acts := q.sendFirst(now, calls)
	for _, i := range again {
		acts = append(acts, q.retryShard(now, i)...)
	}
	return acts
}

// rendezvousRank returns the rank of a leaf for a content. VMs need the same ranks.
func rendezvousRank(content, leaf uint64) uint64 {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:8], content)
	binary.BigEndian.PutUint64(buf[8:], leaf)
	return xxhash.Sum64(buf[:])
}
