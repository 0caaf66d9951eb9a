package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// entry is what a guard knows of one content.
type entry struct {
	// epoch numbers the times that the content became suspect. A notice that clears it holds for its
	// own epoch and those before.
	epoch    uint64
	cleared  bool      // the content is not suspect any more; only epoch is still of use
	ended    []string  // leafs that ended
	ends     int       // number of leafs that ended, more than have a name in ended
	checking []string  // leafs that are being checked, one for each lost connection
	silent   []Silence // leafs that have given no answer, at most maxLeafs
	cut      []string  // leafs that were alive after their connection was lost, at most maxLeafs
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
	verdictAt   time.Time // when to decide on a quarantine, after a trial has ended its leaf; zero if there is nothing to decide
}

// trial is a send of a content that is sent to one leaf at a time.
type trial struct {
	leaf     string
	sentAt   time.Time
	checking bool // its connection was lost, and its leaf is being checked
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

// trialAt returns the index of the trial that was sent to a leaf at that time, -1 if there is none.
func (e *entry) trialAt(leaf string, sentAt time.Time) int {
	return slices.IndexFunc(e.trials, func(t trial) bool { return t.leaf == leaf && t.sentAt.Equal(sentAt) })
}

// addEnded records that a leaf has ended, and reports whether that was not known.
func (e *entry) addEnded(leaf string) bool {
	if slices.Contains(e.ended, leaf) {
		return false
	}
	e.silent = slices.DeleteFunc(e.silent, func(s Silence) bool { return s.Leaf == leaf })
	e.ends++
	if len(e.ended) < maxLeafs {
		e.ended = append(e.ended, leaf)
	}
	return true
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
	g.recallServed(now, f, e)
	return e
}

// recallServed records whether a request of a content was served shortly before the first leaf ended under it.
func (g *Guard) recallServed(now time.Time, f Fingerprint, e *entry) {
	if len(e.ended) == 0 && g.servedLately(now, f) {
		e.served = true
		e.liftWithoutTrial(now)
	}
}

// Proven reports whether leafs answer a content: a request of it was served here of late, and no leaf was lost under
// it since.
func (g *Guard) Proven(now time.Time, f Fingerprint) bool {
	e := g.find(now, f)
	return g.servedLately(now, f) && (e == nil || e.cleared || g.unexplainedEnds(e) == 0 && (e.answered || len(e.silent) == 0))
}

// LostLeafs returns the leafs that were lost under a content, and the number of those whose names are not known.
func (g *Guard) LostLeafs(now time.Time, f Fingerprint) (names []string, others int) {
	e := g.find(now, f)
	if e == nil || e.cleared {
		return nil, 0
	}
	names = g.unexplained(e)
	for _, s := range e.silent {
		if e.answered {
			break // they are only slow
		}
		names = append(names, s.Leaf)
	}
	for _, leaf := range e.checking {
		if !slices.Contains(names, leaf) {
			names = append(names, leaf)
		}
	}
	return names, e.ends - len(e.ended)
}

// HasLost reports whether a leaf was lost under a content.
func (g *Guard) HasLost(now time.Time, f Fingerprint, leaf string) bool {
	e := g.find(now, f)
	return e != nil && !e.cleared && (slices.Contains(e.ended, leaf) || slices.Contains(e.checking, leaf) || !e.answered && e.isSilent(leaf))
}

// Cut returns the leafs that have only cut their connection under a content: they were alive afterwards.
func (g *Guard) Cut(now time.Time, f Fingerprint) []string {
	e := g.find(now, f)
	if e == nil || e.cleared {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(e.cut), func(leaf string) bool { return g.HasLost(now, f, leaf) })
}

// Checking reports whether leafs are being checked that have lost a connection under a content.
func (g *Guard) Checking(now time.Time, f Fingerprint) bool {
	e := g.find(now, f)
	return e != nil && !e.cleared && len(e.checking) > 0
}

// servedLately reports whether this VM has served a request of a content shortly before.
func (g *Guard) servedLately(now time.Time, f Fingerprint) bool {
	s := g.served[f.slot()]
	return s.content == f && now.Sub(s.at) < servedMemory
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
