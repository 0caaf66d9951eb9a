package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// Notice is what one VM tells others of a content.
type Notice struct {
	Content     Fingerprint
	Epoch       uint64        // see entry.epoch
	Cleared     bool          // the content is not suspect any more
	Answered    bool          // a leaf has answered it since it became suspect
	Served      bool          // a request of the content was served shortly before
	Ended       []string      // leafs that ended, without those for which another content is known as the cause
	Ends        int           // number of leafs that ended, likewise, at least those in Ended
	Silent      []Silence     // leafs that are silent; times are by the clock of the VM that has the notice
	Quarantines int           // quarantines in a row
	Remaining   time.Duration // time until the end of the quarantine; 0 if there is none
	ByTrial     bool          // a trial led to the quarantine
}

// tell puts a content among those that other VMs are told of.
func (g *Guard) tell(f Fingerprint, e *entry) {
	if !e.toTell && len(g.news) < maxContents {
		e.toTell = true
		g.news = append(g.news, f)
	}
}

// Tell puts a suspect content among those that other VMs are told of.
func (g *Guard) Tell(now time.Time, f Fingerprint) {
	if e := g.find(now, f); e != nil {
		g.tell(f, e)
	}
}

// HasNews reports whether TakeNews would return anything.
func (g *Guard) HasNews() bool { return len(g.news) > 0 }

// TakeNews returns what other VMs are to be told, at most limit notices.
func (g *Guard) TakeNews(now time.Time, limit int) []Notice {
	var list []Notice
	for len(g.news) > 0 && len(list) < limit {
		f := g.news[0]
		g.news = g.news[1:]
		if e := g.find(now, f); e != nil {
			e.toTell, e.told = false, true
			list = append(list, g.notice(now, f, e))
		}
	}
	return list
}

// Notice returns what another VM is told of a content, if anything is known of it.
func (g *Guard) Notice(now time.Time, f Fingerprint) (Notice, bool) {
	e := g.find(now, f)
	if e == nil {
		return Notice{}, false
	}
	return g.notice(now, f, e), true
}

// Quarantined returns notices of quarantined contents, at most limit.
func (g *Guard) Quarantined(now time.Time, limit int) []Notice {
	var list []Notice
	for f, e := range g.entries {
		if len(list) < limit && e.quarantined(now) {
			list = append(list, g.notice(now, f, e))
		}
	}
	return list
}

// notice returns what other VMs are told of the content f, whose entry is e. They may not know of the other
// contents that have ended its leafs.
func (g *Guard) notice(now time.Time, f Fingerprint, e *entry) Notice {
	ended := g.unexplained(e)
	return Notice{
		Content: f, Epoch: e.epoch, Cleared: e.cleared, Answered: e.answered, Served: e.served,
		Silent: slices.Clone(e.silent),
		Ended:  ended, Ends: e.ends - len(e.ended) + len(ended),
		Quarantines: e.quarantines, Remaining: max(e.until.Sub(now), 0), ByTrial: e.byTrial,
	}
}

// Merge records what another VM has told, and reports whether it is news, which is then to be told to
// further VMs.
func (g *Guard) Merge(now time.Time, n Notice) (news bool) {
	if n.Content.IsZero() {
		return false
	}
	e := g.find(now, n.Content)
	known := e != nil
	if known && (e.epoch > n.Epoch || e.cleared && e.epoch == n.Epoch) {
		if n.Remaining <= 0 || n.ByTrial || n.Cleared {
			return false
		}
		// A VM that has started anew counts epochs from the first on. It has to learn of answers to others.
		if !e.cleared {
			if e.answered || e.served {
				g.tell(n.Content, e)
			}
			return false
		}
		if !g.servedLately(now, n.Content) {
			return false
		}
		n.Epoch, n.Answered = e.epoch+1, true // it was served after these ends
	}
	switch {
	case !known:
		g.makeRoom(now)
		e = &entry{}
		g.entries[n.Content] = e
	case n.Cleared:
	case e.cleared:
		*e = entry{toTell: e.toTell}
	}
	e.epoch, e.touched, e.told = n.Epoch, now, true
	if n.Cleared {
		g.clearEntry(now, e)
		g.tell(n.Content, e)
		return true
	}
	g.recallServed(now, n.Content, e)
	news = !known
	for _, leaf := range n.Ended {
		// Names beyond maxLeafs are not news: two VMs that know different ones would tell each other
		// for ever.
		if len(e.ended) < maxLeafs {
			news = e.addEnded(leaf) || news
		}
	}
	if news {
		e.lostAt = now
	}
	// Silences are not passed on: they are told again if they prove to be ends.
	for _, s := range n.Silent {
		if !g.alive[s.Leaf].After(s.Since) {
			g.addSilence(now, e, s)
		}
	}
	e.ends = max(e.ends, n.Ends)
	if n.Served && !e.served {
		e.served = true
		news = e.liftWithoutTrial(now) || news
	}
	if n.Answered && !e.answered {
		e.answer(now)
		news = true
	}
	switch {
	case n.Remaining <= 0 || n.Quarantines <= e.quarantines:
	case (e.answered || e.served) && !n.ByTrial:
		g.tell(n.Content, e) // the other VM does not know of the answers
	default:
		// The time that the notice took must not lengthen a quarantine that this VM knows.
		e.until, e.byTrial, e.quarantines, news = now.Add(min(n.Remaining, longestQuarantine)), n.ByTrial, n.Quarantines, true
		g.alertUntil = now.Add(alertTime)
	}
	if e.quarantines > 0 {
		g.addCauses(e)
	}
	if news {
		g.tell(n.Content, e)
	}
	return news
}

// Content is what a guard knows of a suspect content, for operators.
type Content struct {
	Fingerprint string   `json:"content"`
	Ended       int      `json:"ended"`        // number of leafs that ended under it
	Leafs       []string `json:"leafs"`        // some of them
	Answered    bool     `json:"answered"`     // a leaf has answered it meanwhile
	RemainingMS int64    `json:"remaining_ms"` // time until the end of its quarantine; 0 if there is none
	Quarantines int      `json:"quarantines"`  // quarantines in a row
}

// Contents returns the suspect contents, ordered by fingerprint.
func (g *Guard) Contents(now time.Time) []Content {
	var order []Fingerprint
	for f, e := range g.entries {
		if !e.cleared && !e.expired(now) {
			order = append(order, f)
		}
	}
	slices.SortFunc(order, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	list := make([]Content, 0, len(order))
	for _, f := range order {
		e := g.entries[f]
		list = append(list, Content{
			Fingerprint: f.String(), Ended: e.ends, Leafs: slices.Clone(e.ended), Answered: e.answered,
			RemainingMS: max(e.until.Sub(now), 0).Milliseconds(), Quarantines: e.quarantines,
		})
	}
	return list
}

// Counts returns the numbers of what the guard has found.
func (g *Guard) Counts() Counts { return g.counts }

// Sizes returns how many contents are suspect, and how many of these are quarantined.
func (g *Guard) Sizes(now time.Time) (suspect, quarantined int) {
	for _, e := range g.entries {
		switch {
		case e.cleared || e.expired(now):
		case e.quarantined(now):
			suspect++
			quarantined++
		default:
			suspect++
		}
	}
	return suspect, quarantined
}
