package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Parameters of a Guard.
const (
	// endsUntilQuarantine is how many leafs may end under a content that no leaf answers, before it is
	// quarantined. It is also the number from which a trial that ends its leaf leads to a quarantine.
	endsUntilQuarantine = 3
	// endsUntilQuarantineServed is the same for a content that was served shortly before.
	endsUntilQuarantineServed = 6
	// endsUntilTrials is the number of ended leafs from which a content is sent to one leaf at a time.
	endsUntilTrials = 2
	// firstQuarantine is how long a first quarantine lasts. Each further one, after a trial that ended
	// its leaf again, lasts twice as long, up to longestQuarantine.
	firstQuarantine   = 30 * time.Second
	longestQuarantine = 10 * time.Minute
	// servedMemory is how long it counts that a request of a content was served.
	servedMemory = time.Minute
	// servedSlots bounds the contents of which that is remembered.
	servedSlots = 512
	// suspectMemory is how long ends count that led to no quarantine.
	suspectMemory = time.Minute
	// quarantineMemory is how long a content is remembered after its quarantine has ended.
	quarantineMemory = 10 * time.Minute
	// settleTime is how long after an end other queries wait for answers to attempts that were sent
	// before it, which would show that the content does not end every leaf.
	settleTime = 50 * time.Millisecond
	// trialPatience is how long a trial in flight holds up others. A leaf that a request ends mostly
	// ends as it begins; a longer trial has met a slow leaf.
	trialPatience = 250 * time.Millisecond
	// maxTrials bounds the trials in flight that are remembered.
	maxTrials = 16
	// maxContents bounds the contents that a guard remembers.
	maxContents = 1024
	// contentsKept is how many contents are remembered when room is made for more.
	contentsKept = maxContents * 15 / 16
	// maxCauses bounds the contents that are remembered as the cause of one leaf's end.
	maxCauses = 4
	// maxLeafs bounds the leafs of one content that a guard remembers by name.
	maxLeafs = 16
)

// Decision says what a Guard allows for a content.
type Decision int

// The decisions.
const (
	Free   Decision = iota // any number of sends
	Trial                  // one send; the next only when it has ended
	Await                  // none until something else has ended or answered
	Refuse                 // none
)

// Evidence is what a query knows of its own request.
type Evidence struct {
	Sent     bool // it was sent to leafs
	Lost     int  // connections to leafs that were lost under it
	Answered bool // a leaf has answered it
	InFlight bool // it is at other leafs, which may answer soon
	Pending  bool // other VMs query leafs for it
}

// Guard decides whether a request may be sent to a leaf, by what became of the leafs that got
// requests of the same content. A leaf ends if its process does. Callers tell the guard of each lost
// connection, of what a check of the leaf found, and of each answer.
//
// A request that ended three leafs and that none has answered quarantines its content, unless others like
// it were served shortly before: no leaf gets it for a time. Leafs also crash for other reasons, under
// requests that others answer. A content under which leafs ended, in whichever requests, is sent to one
// leaf at a time until it is answered. Only if that leaf ends too, it is quarantined. Leafs that ended
// under a quarantined content don't count for others.
//
// A Guard is not safe for concurrent use.
//
// Invariants:
//   - It remembers at most maxContents contents, with at most maxLeafs names of leafs each.
//   - A content is remembered only after a connection was lost under it, or another VM has told of it.
type Guard struct {
	entries map[Fingerprint]*entry
	causes  map[string][]*entry // by leaf: contents that were quarantined and ended it, at most maxCauses each
	served  [servedSlots]served // by the first bytes of their content
	news    []Fingerprint       // contents to tell other VMs of, at most maxContents
	counts  Counts
}

// served says when a request of a content was last answered.
type served struct {
	content Fingerprint
	at      time.Time
}

// Counts are the numbers of what a Guard has found since it was made.
type Counts struct {
	Ended       int // leafs that ended under a request
	Quarantines int // quarantines that began here
	Cleared     int // quarantines that an answer ended
	Trials      int // sends of a content after a leaf had ended under it
}

// entry is what a guard knows of one content.
type entry struct {
	// epoch numbers the times that the content became suspect. A notice that clears it holds for its
	// own epoch and those before.
	epoch    uint64
	cleared  bool      // the content is not suspect any more; only epoch is still of use
	ended    []string  // leafs that ended
	ends     int       // number of leafs that ended, more than have a name in ended
	checking []string  // leafs that are being checked, one for each lost connection
	answered bool      // a leaf has answered the content since it became suspect
	served   bool      // a request of the content was served shortly before it became suspect
	trials   []trial   // trials that have not ended
	lostAt   time.Time // when a connection was last lost
	touched  time.Time // when something was last learned

	quarantines int       // quarantines in a row
	until       time.Time // end of the latest quarantine; zero if there was none
	toTell      bool      // it is among Guard.news
	told        bool      // other VMs know of it
	byTrial     bool      // a trial led to the latest quarantine; answers to sends before it don't end it
}

// trial is a send of a content that is sent to one leaf at a time.
type trial struct {
	leaf     string
	sentAt   time.Time
	checking bool // its connection was lost, and its leaf is being checked
}

// New returns a guard that suspects nothing.
func New() *Guard {
	return &Guard{entries: make(map[Fingerprint]*entry), causes: make(map[string][]*entry)}
}

// possibleEnds returns the number of leafs that ended or may turn out to have ended.
func (e *entry) possibleEnds() int {
	n := e.ends
	for i, leaf := range e.checking {
		if !slices.Contains(e.checking[:i], leaf) && !slices.Contains(e.ended, leaf) {
			n++
		}
	}
	return n
}

// unexplainedEnds returns the number of leafs that ended, or may turn out to have ended, and for which
// no other content is known as the cause.
func (g *Guard) unexplainedEnds(e *entry) int {
	n := e.possibleEnds()
	if e.ends > len(e.ended) {
		return n // some have no name
	}
	for _, leaf := range e.ended {
		if g.explained(e, leaf) {
			n--
		}
	}
	return n
}

// explained reports whether a leaf that ended under e also ended under a quarantined content that has
// ended others too. Requests that were at work on the leaf at that moment ended with it.
func (g *Guard) explained(e *entry, leaf string) bool {
	return slices.ContainsFunc(g.causes[leaf], func(cause *entry) bool {
		return cause != e && cause.quarantines > 0 && !isSubset(cause.ended, e.ended)
	})
}

// addCauses adds a quarantined content to the causes of the ends of its leafs.
func (g *Guard) addCauses(e *entry) {
	for _, leaf := range e.ended {
		list := slices.DeleteFunc(g.causes[leaf], func(cause *entry) bool { return cause.quarantines == 0 })
		if len(list) < maxCauses && !slices.Contains(list, e) {
			list = append(list, e)
		}
		g.causes[leaf] = list
	}
}

// removeCauses is the inverse of addCauses, for a content that is forgotten or cleared.
func (g *Guard) removeCauses(e *entry) {
	for _, leaf := range e.ended {
		list := slices.DeleteFunc(g.causes[leaf], func(cause *entry) bool { return cause == e })
		if g.causes[leaf] = list; len(list) == 0 {
			delete(g.causes, leaf)
		}
	}
}

// forget removes a content.
func (g *Guard) forget(f Fingerprint) {
	if e := g.entries[f]; e != nil {
		g.removeCauses(e)
		delete(g.entries, f)
	}
}

// isSubset reports whether all of a are in b.
func isSubset(a, b []string) bool {
	return !slices.ContainsFunc(a, func(name string) bool { return !slices.Contains(b, name) })
}

// limit returns the number of ends that lead to a quarantine.
func (e *entry) limit() int {
	if e.served {
		return endsUntilQuarantineServed
	}
	return endsUntilQuarantine
}

// quarantined reports whether the content is quarantined.
func (e *entry) quarantined(now time.Time) bool { return now.Before(e.until) }

// underTrial reports whether a trial holds up other sends.
func (e *entry) underTrial(now time.Time) bool {
	return slices.ContainsFunc(e.trials, func(t trial) bool { return now.Sub(t.sentAt) < trialPatience })
}

// expired reports whether the content need not be remembered any more.
func (e *entry) expired(now time.Time) bool {
	switch {
	case e.cleared, e.quarantines > 0:
		return now.Sub(e.touched) > quarantineMemory && now.Sub(e.until) > quarantineMemory
	default:
		return now.Sub(e.touched) > suspectMemory
	}
}

// Suspects reports whether a content is quarantined or sent to one leaf at a time.
func (g *Guard) Suspects(now time.Time, f Fingerprint) bool {
	e := g.find(now, f)
	return e != nil && !e.cleared && (e.quarantines > 0 || g.unexplainedEnds(e) >= endsUntilTrials)
}

// liftExplained ends a quarantine if the leafs have ended under other contents. These may have become
// known later.
func (g *Guard) liftExplained(e *entry) {
	if e.quarantines > 0 && g.unexplainedEnds(e) < endsUntilTrials {
		e.until, e.quarantines = time.Time{}, 0
	}
}

// Knows reports whether anything is known of a content. If not, Decide returns Free.
func (g *Guard) Knows(f Fingerprint) bool { return len(g.entries) > 0 && g.entries[f] != nil }

// Decide returns what is allowed for a content. With Refuse, it returns how long the quarantine lasts.
// known is what the query knows of its own request. Sent has to be called for each send that follows.
func (g *Guard) Decide(now time.Time, f Fingerprint, known Evidence) (Decision, time.Duration) {
	e := g.find(now, f)
	if e == nil || e.cleared {
		return Free, 0
	}
	if known.Answered {
		g.recordAnswered(now, f, e)
	}
	g.liftExplained(e)
	possible := g.unexplainedEnds(e)
	suspect := e.quarantines > 0 || possible >= endsUntilTrials
	switch {
	case e.quarantined(now):
		return Refuse, e.until.Sub(now)
	case suspect && e.underTrial(now):
		return Await, 0
	case suspect && (e.answered || e.quarantines > 0):
		return Trial, 0
	case e.answered:
		return Free, 0
	case possible >= endsUntilQuarantine && (known.InFlight || known.Pending || len(e.checking) > 0):
		return Await, 0
	case possible >= endsUntilQuarantine && known.Lost >= endsUntilQuarantine && !e.served:
		g.quarantine(now, f, e, false)
		return Refuse, e.until.Sub(now)
	case possible >= endsUntilQuarantine && !known.Sent && now.Sub(e.lostAt) < settleTime:
		return Await, 0
	case known.InFlight:
		return Await, 0
	case suspect:
		return Trial, 0
	}
	return Free, 0
}

// Sent records that a content is sent to a leaf. repeat says that the request was sent to a leaf of the
// same shard before. A repeat after a first end holds up others if more leafs turn out to have ended.
func (g *Guard) Sent(now time.Time, f Fingerprint, leaf string, repeat bool) {
	e := g.find(now, f)
	if e == nil || e.cleared || len(e.trials) >= maxTrials {
		return
	}
	if possible := g.unexplainedEnds(e); e.quarantines > 0 || possible >= endsUntilTrials || possible > 0 && repeat {
		g.counts.Trials++
		e.trials = append(e.trials, trial{leaf: leaf, sentAt: now})
	}
}

// Lost records that the leaf's end closed the connection of a send before the whole answer was there.
// Checked has to follow.
func (g *Guard) Lost(now time.Time, f Fingerprint, leaf string, sentAt time.Time) {
	if f.IsZero() {
		return
	}
	e := g.suspect(now, f)
	e.touched, e.lostAt = now, now
	e.checking = append(e.checking, leaf)
	if i := e.trialAt(leaf, sentAt); i >= 0 {
		e.trials[i].checking = true
	}
}

// Checked records the result of the check of a leaf after Lost: whether it has ended. It reports
// whether that is new.
func (g *Guard) Checked(now time.Time, f Fingerprint, leaf string, ended bool) (news bool) {
	e := g.find(now, f)
	if e == nil {
		return false
	}
	if i := slices.Index(e.checking, leaf); i >= 0 {
		e.checking = slices.Delete(e.checking, i, i+1)
	}
	isTrial := func(t trial) bool { return t.leaf == leaf && t.checking }
	wasTrial := slices.ContainsFunc(e.trials, isTrial)
	e.trials = slices.DeleteFunc(e.trials, isTrial)
	if !ended || e.cleared || !e.addEnded(leaf) {
		return false
	}
	g.counts.Ended++
	e.touched = now
	if e.quarantines > 0 {
		g.addCauses(e)
	}
	if wasTrial && g.unexplainedEnds(e) >= e.limit() && !e.quarantined(now) {
		g.quarantine(now, f, e, true)
	}
	return true
}

// Answered records that a leaf answered a send of a content, with whatever result.
func (g *Guard) Answered(now time.Time, f Fingerprint, leaf string, sentAt time.Time) {
	e := g.find(now, f)
	if e == nil || e.cleared {
		return
	}
	g.Done(now, f, leaf, sentAt)
	if sentAt.After(e.lostAt) {
		g.clear(now, f, e)
		return
	}
	g.recordAnswered(now, f, e)
}

// Served records that a request of a content was answered, and that no connection was lost under it.
func (g *Guard) Served(now time.Time, f Fingerprint) {
	g.served[f.slot()] = served{content: f, at: now}
}

// slot returns the place of a content in Guard.served.
func (f Fingerprint) slot() int { return int(binary.BigEndian.Uint16(f[:])) % servedSlots }

// Done records that a send ended in a way that says nothing of its content.
func (g *Guard) Done(now time.Time, f Fingerprint, leaf string, sentAt time.Time) {
	e := g.find(now, f)
	if e == nil {
		return
	}
	if i := e.trialAt(leaf, sentAt); i >= 0 {
		e.trials = slices.Delete(e.trials, i, i+1)
	}
}

// Lift ends the quarantine of a content, and forgets the leafs that ended under it. It reports whether
// the content was suspect.
func (g *Guard) Lift(now time.Time, f Fingerprint) bool {
	e := g.find(now, f)
	if e == nil || e.cleared {
		return false
	}
	g.clearEntry(now, e)
	g.tell(f, e)
	return true
}

// trialAt returns the index of the trial that was sent to a leaf at that time, -1 if there is none.
func (e *entry) trialAt(leaf string, sentAt time.Time) int {
	return slices.IndexFunc(e.trials, func(t trial) bool { return t.leaf == leaf && t.sentAt.Equal(sentAt) })
}

// addEnded records that a leaf has ended, and reports whether that was not known.
func (e *entry) addEnded(leaf string) bool {
	if slices.Contains(e.ended, leaf) {
		return false
	}
	e.ends++
	if len(e.ended) < maxLeafs {
		e.ended = append(e.ended, leaf)
	}
	return true
}

// quarantine begins a quarantine.
func (g *Guard) quarantine(now time.Time, f Fingerprint, e *entry, byTrial bool) {
	length := longestQuarantine
	if e.quarantines < maxDoublings {
		length = min(firstQuarantine<<e.quarantines, longestQuarantine)
	}
	e.quarantines++
	e.until, e.byTrial, e.touched = now.Add(length), byTrial, now
	g.counts.Quarantines++
	g.addCauses(e)
	g.tell(f, e)
}

// maxDoublings is the number of quarantines from which each is the longest.
const maxDoublings = 8

// recordAnswered records an answer to a send that may have been made before leafs ended. It shows that
// the content does not end every leaf. A quarantine that rests on the lack of answers ends here and at
// other VMs; the content is then sent to one leaf at a time.
func (g *Guard) recordAnswered(now time.Time, f Fingerprint, e *entry) {
	e.touched = now
	if e.answer(now) {
		g.counts.Cleared++
		g.tell(f, e)
	}
}

// answer records that a leaf has answered, and reports whether that ends a quarantine.
func (e *entry) answer(now time.Time) (ended bool) {
	e.answered = true
	if !e.quarantined(now) || e.byTrial {
		return false
	}
	e.until, e.quarantines = time.Time{}, 0
	return true
}

// clear ends the suspicion of a content that was answered.
func (g *Guard) clear(now time.Time, f Fingerprint, e *entry) {
	if e.quarantines > 0 {
		g.counts.Cleared++
	}
	told := e.told || e.toTell
	g.clearEntry(now, e)
	if told {
		g.tell(f, e) // they don't see the answer
	}
}

// clearEntry ends the suspicion of a content, of which only the epoch is kept.
func (g *Guard) clearEntry(now time.Time, e *entry) {
	g.removeCauses(e)
	*e = entry{epoch: e.epoch, cleared: true, touched: now, toTell: e.toTell}
}

// find returns what is known of a content, nil if that is nothing or too old.
func (g *Guard) find(now time.Time, f Fingerprint) *entry {
	if len(g.entries) == 0 {
		return nil
	}
	e := g.entries[f]
	if e != nil && e.expired(now) {
		g.forget(f)
		return nil
	}
	return e
}

// suspect returns the entry of a content that is suspect from now on.
func (g *Guard) suspect(now time.Time, f Fingerprint) *entry {
	e := g.find(now, f)
	switch {
	case e == nil:
		g.makeRoom(now)
		e = &entry{epoch: 1}
		g.entries[f] = e
	case e.cleared:
		*e = entry{epoch: e.epoch + 1, toTell: e.toTell}
	}
	if s := g.served[f.slot()]; len(e.ended) == 0 && s.content == f && now.Sub(s.at) < servedMemory {
		e.served = true
	}
	return e
}

// makeRoom makes room for one more content. It forgets expired ones, and then those that are least of use.
func (g *Guard) makeRoom(now time.Time) {
	if len(g.entries) < maxContents {
		return
	}
	for f, e := range g.entries {
		if e.expired(now) {
			g.forget(f)
		}
	}
	if len(g.entries) <= contentsKept {
		return
	}
	order := slices.SortedFunc(maps.Keys(g.entries), func(a, b Fingerprint) int {
		return g.entries[a].compareUse(now, g.entries[b])
	})
	for _, f := range order[:len(order)-contentsKept] {
		g.forget(f)
	}
}

// compareUse orders entries by their use. The least useful are contents that are not suspect any more,
// then those that are not quarantined, oldest first, then those whose quarantine ends first.
func (e *entry) compareUse(now time.Time, other *entry) int {
	use := func(e *entry) int {
		switch {
		case e.cleared:
			return 0
		case !e.quarantined(now):
			return 1
		}
		return 2
	}
	return cmp.Or(cmp.Compare(use(e), use(other)), e.until.Compare(other.until), e.touched.Compare(other.touched))
}
