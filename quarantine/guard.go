package quarantine

import (
	"encoding/binary"
	"slices"
	"time"
)

// Parameters of a Guard.
const (
	// endsUntilQuarantine is how many leafs may end under a content that no leaf answers, before it is
	// quarantined. It is also the number from which a trial that ends its leaf leads to a quarantine.
	endsUntilQuarantine = 3
	// endsUntilTrials is the number of ended leafs from which a content is sent to one leaf at a time.
	endsUntilTrials = 2
	// firstQuarantine is how long a first quarantine lasts. Each further one, after a trial that ended
	// its leaf again, lasts twice as long, up to longestQuarantine.
	firstQuarantine   = 30 * time.Second
	longestQuarantine = 10 * time.Minute
	// silenceQuarantine is firstQuarantine where leafs count that are only silent. They get the trial after it, so
	// that no further leaf may be lost.
	silenceQuarantine = 2 * time.Second
	// servedMemory is how long it counts that a request of a content was served.
	servedMemory = time.Minute
	// servedSlots bounds the contents of which that is remembered.
	servedSlots = 512
	// suspectMemory is how long ends count that led to no quarantine.
	suspectMemory = time.Minute
	// quarantineMemory is how long a content is remembered after its quarantine has ended.
	quarantineMemory = 10 * time.Minute
	// alertTime is how long after the begin of a quarantine further contents are expected to lose leafs.
	alertTime = time.Minute
	// settleTime is how long after an end other queries wait for answers to attempts that were sent
	// before it, which would show that the content does not end every leaf. It is also the time in which
	// other VMs tell of answers, and of contents that have ended the same leafs.
	settleTime = 50 * time.Millisecond
	// unresolvedRetry is the time after which a client may return whose content has lost leafs of which it is not known
	// yet whether they are only slow.
	unresolvedRetry = 250 * time.Millisecond
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

	alive     map[string]time.Time // by leaf: when the latest request was sent that it has answered, at most maxAliveLeafs
	disrupted map[string]disrupted // by leaf: those that are silent for another reason than a content, at most maxDisruptedLeafs
	prunedAt  time.Time            // when alive was last searched for leafs to forget
	silences  bool                 // leafs may be silent under a content

	alertUntil time.Time // until when contents that no leaf has answered of late are likely to lose leafs
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

// New returns a guard that suspects nothing.
func New() *Guard {
	return &Guard{entries: make(map[Fingerprint]*entry), causes: make(map[string][]*entry), alive: make(map[string]time.Time), disrupted: make(map[string]disrupted)}
}

// Suspects reports whether a content is quarantined or sent to one leaf at a time.
func (g *Guard) Suspects(now time.Time, f Fingerprint) bool {
	e := g.find(now, f)
	return e != nil && !e.cleared && g.isSuspect(now, e)
}

// isSuspect reports whether a content is quarantined or sent to one leaf at a time.
func (g *Guard) isSuspect(now time.Time, e *entry) bool {
	lost, excused := g.losses(now, e)
	return e.quarantines > 0 || g.unexplainedEnds(e) >= endsUntilTrials || lost+excused >= endsUntilQuarantine
}

// liftExplained ends a quarantine if the leafs have ended under other contents. These may have become
// known later.
func (g *Guard) liftExplained(now time.Time, e *entry) {
	if lost, excused := g.losses(now, e); e.quarantines > 0 && lost+excused < endsUntilTrials {
		e.until, e.quarantines = time.Time{}, 0
	}
}

// Alert reports whether a content was quarantined shortly before, here or at a VM that has told of it.
func (g *Guard) Alert(now time.Time) bool { return now.Before(g.alertUntil) }

// Knows reports whether anything is known of a content. If not, Decide returns Free.
func (g *Guard) Knows(f Fingerprint) bool { return len(g.entries) > 0 && g.entries[f] != nil }

// Decide returns what is allowed for a content. With Refuse, it returns how long the quarantine lasts, or
// the time until it is decided on.
// known is what the query knows of its own request. Sent has to be called for each send that follows.
func (g *Guard) Decide(now time.Time, f Fingerprint, known Evidence) (Decision, time.Duration) {
	e := g.find(now, f)
	if e == nil || e.cleared {
		return Free, 0
	}
	if known.Answered {
		g.recordAnswered(now, f, e)
	}
	g.liftExplained(now, e)
	lost, excused := g.losses(now, e)
	if !e.verdictAt.IsZero() && !now.Before(e.verdictAt) {
		e.verdictAt = time.Time{}
		if lost >= endsUntilQuarantine && !e.quarantined(now) {
			g.quarantine(now, f, e, true)
		}
	}
	suspect := g.isSuspect(now, e)
	switch {
	case e.quarantined(now):
		return Refuse, e.until.Sub(now)
	case !e.verdictAt.IsZero():
		return Refuse, e.verdictAt.Sub(now)
	case suspect && e.underTrial(now):
		return Await, 0
	case suspect && (e.answered || e.quarantines > 0 || lost < endsUntilQuarantine && excused > 0):
		return Trial, 0
	case e.answered:
		return Free, 0
	case lost >= endsUntilQuarantine:
		return g.decideLost(now, f, e, known)
	case known.InFlight:
		return Await, 0
	case suspect:
		return Trial, 0
	}
	return Free, 0
}

// decideLost decides on a content that has lost endsUntilQuarantine leafs, and that none has answered: nothing is sent
// any more. It is quarantined when it is known what became of the leafs. For one that was served shortly before, other
// VMs first have time to tell of another cause.
func (g *Guard) decideLost(now time.Time, f Fingerprint, e *entry, known Evidence) (Decision, time.Duration) {
	settled := e.lostAt.Add(settleTime)
	switch {
	case known.InFlight || known.Pending || known.Sent && !e.resolved(now):
		return Await, 0
	case !e.resolved(now):
		return Refuse, unresolvedRetry
	case g.unexplainedEnds(e) < endsUntilQuarantine && now.Sub(e.lostAt) >= silenceQuarantine:
		return Trial, 0 // at a silent leaf
	case !known.Sent && now.Before(settled):
		return Await, 0
	case e.served && now.Before(settled):
		return Refuse, settled.Sub(now)
	}
	g.quarantine(now, f, e, false)
	return Refuse, e.until.Sub(now)
}

// Sent records that a content is sent to a leaf. repeat says that the request was sent to a leaf of the
// same shard before. A repeat after a first end holds up others if more leafs turn out to have ended.
func (g *Guard) Sent(now time.Time, f Fingerprint, leaf string, repeat bool) {
	e := g.find(now, f)
	if e == nil || e.cleared || len(e.trials) >= maxTrials {
		return
	}
	if g.isSuspect(now, e) || g.unexplainedEnds(e) > 0 && repeat {
		g.counts.Trials++
		e.trials = append(e.trials, trial{leaf: leaf, sentAt: now})
		if e.isSilent(leaf) {
			e.lostAt = now
		}
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
	if lost, _ := g.losses(now, e); lost >= endsUntilQuarantine && !e.answered {
		g.tell(f, e) // nothing may be sent anywhere
	}
	if wasTrial && !g.explained(e, leaf) && g.unexplainedEnds(e) >= endsUntilQuarantine && !e.quarantined(now) {
		if e.served {
			e.verdictAt = now.Add(settleTime) // another content that has ended these leafs may become known
		} else {
			g.quarantine(now, f, e, true)
		}
	}
	return true
}

// FoundAlive records that a leaf is alive whose connection was lost under a content, so that it has only cut it.
func (g *Guard) FoundAlive(now time.Time, f Fingerprint, leaf string) {
	e := g.find(now, f)
	if e != nil && !e.cleared && len(e.cut) < maxLeafs && !slices.Contains(e.cut, leaf) {
		e.cut = append(e.cut, leaf)
	}
}

// Answered records that a leaf answered a send of a content, with whatever result.
func (g *Guard) Answered(now time.Time, f Fingerprint, leaf string, sentAt time.Time) {
	e := g.find(now, f)
	if e == nil || e.cleared {
		return
	}
	g.Done(now, f, leaf, sentAt)
	g.dropSilences(e, func(s Silence) bool { return s.Leaf == leaf })
	if sentAt.After(e.lostAt) || e.possibleEnds()+len(e.silent) == 0 && e.quarantines == 0 {
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

// quarantine begins a quarantine.
func (g *Guard) quarantine(now time.Time, f Fingerprint, e *entry, byTrial bool) {
	first := firstQuarantine
	if g.unexplainedEnds(e) < endsUntilQuarantine {
		first = silenceQuarantine
	}
	length := longestQuarantine
	if e.quarantines < maxDoublings {
		length = min(first<<e.quarantines, longestQuarantine)
	}
	e.quarantines++
	e.until, e.byTrial, e.touched = now.Add(length), byTrial, now
	g.alertUntil = now.Add(alertTime)
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
	return e.liftWithoutTrial(now)
}

// liftWithoutTrial ends a quarantine that rests on the lack of answers, and reports whether there was one.
func (e *entry) liftWithoutTrial(now time.Time) (ended bool) {
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
