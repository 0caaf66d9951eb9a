package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Silences: a leaf may hang, or its machine lose power, because of a request. Its connections then stay open, and it
// says nothing more. A leaf that is slow or paused, or that can't be reached, looks the same for a while. What tells
// them apart is what else is known of it: a leaf that answers a later request was not lost, and where other leafs of the
// zone are silent under contents that are answered elsewhere, something else has silenced them.

const (
	// recentAnswer is how young a request has to be whose answer shows that a leaf is alive, when another request to it
	// is given up.
	recentAnswer = 250 * time.Millisecond
	// silenceRetry is how long a leaf has to be silent under a content before it may get it again, where no other leaf
	// may.
	silenceRetry = 500 * time.Millisecond
	// lastAnswer is the same for one that only takes long.
	lastAnswer = 20 * time.Millisecond
	// disruptionMemory is how long a silent leaf counts for a disruption of its zone.
	disruptionMemory = 5 * time.Second
	// disruptedLeafs is the number of leafs of a zone that are silent for another reason, from which silences of other
	// leafs of the zone are no evidence against a content.
	disruptedLeafs = 2
	// prunePause is the time between two searches for leafs that need not be remembered as alive.
	prunePause = time.Second
	// maxAliveLeafs and maxDisruptedLeafs bound the leafs that are remembered as alive, and as silent.
	maxAliveLeafs     = 8192
	maxDisruptedLeafs = 256
)

// Silence is a leaf that has given no answer to a content.
type Silence struct {
	Leaf    string
	Zone    string
	SentAt  time.Time // when the content was sent to it
	Expired bool      // the attempt was given up; before, it only takes long
	Since   time.Time // when a VM has first recorded that there was none
}

// disrupted is a leaf that is silent for another reason than a content.
type disrupted struct {
	zone string
	at   time.Time
}

// Late records that a send of a content has had no answer for long, and that the same holds for all others of its
// request, unless the leaf has just answered another one. It reports whether that is new.
func (g *Guard) Late(now time.Time, f Fingerprint, s Silence) (news bool) {
	return now.Sub(g.alive[s.Leaf]) >= lastAnswer && g.Announce(now, f, s)
}

// Announce records a send of a content as Late does, whether its leaf answers others or not. It is for one after which
// nothing more may be sent.
func (g *Guard) Announce(now time.Time, f Fingerprint, s Silence) (news bool) {
	if f.IsZero() {
		return false
	}
	e := g.suspect(now, f)
	if e.answered {
		return false
	}
	news = g.addSilence(now, e, s)
	g.trialSilent(now, f, e, s.Leaf, news)
	return news
}

// GivenUp records that a send of a content was given up without any sign of its leaf. answered says that leafs have
// answered its request otherwise: it is then not what silences them.
func (g *Guard) GivenUp(now time.Time, f Fingerprint, s Silence, answered bool) {
	if f.IsZero() || now.Sub(g.alive[s.Leaf]) < recentAnswer {
		return
	}
	if answered {
		g.Unreachable(now, s.Leaf, s.Zone)
	}
	if e := g.find(now, f); answered && (e == nil || e.cleared || e.answered) {
		return
	}
	s.Expired = true
	g.addSilence(now, g.suspect(now, f), s)
}

// Alive records that a leaf has answered a request, whatever it asked, that was sent at sentAt.
func (g *Guard) Alive(now time.Time, leaf string, sentAt time.Time) {
	if !sentAt.After(g.alive[leaf]) {
		return
	}
	if len(g.alive) >= maxAliveLeafs && now.Sub(g.prunedAt) >= prunePause {
		g.prunedAt = now
		maps.DeleteFunc(g.alive, func(_ string, at time.Time) bool { return now.Sub(at) > suspectMemory })
	}
	if _, known := g.alive[leaf]; known || len(g.alive) < maxAliveLeafs {
		g.alive[leaf] = sentAt
	}
	delete(g.disrupted, leaf)
	if !g.silences {
		return
	}
	g.silences = false
	for _, e := range g.entries {
		g.dropSilences(e, func(s Silence) bool { return s.Leaf == leaf && sentAt.After(s.Since) })
		g.silences = g.silences || len(e.silent) > 0
	}
}

// Unreachable records that a leaf can't be reached, or is silent under a content that others have answered.
func (g *Guard) Unreachable(now time.Time, leaf, zone string) {
	if len(g.disrupted) >= maxDisruptedLeafs {
		maps.DeleteFunc(g.disrupted, func(_ string, d disrupted) bool { return now.Sub(d.at) > disruptionMemory })
	}
	if len(g.disrupted) < maxDisruptedLeafs {
		g.disrupted[leaf] = disrupted{zone: zone, at: now}
	}
}

// addSilence records a silence under the content with that entry, and reports whether its leaf is new.
func (g *Guard) addSilence(now time.Time, e *entry, s Silence) (news bool) {
	e.touched = now
	if i := slices.IndexFunc(e.silent, func(known Silence) bool { return known.Leaf == s.Leaf }); i >= 0 {
		e.silent[i].Expired = e.silent[i].Expired || s.Expired
		return false
	}
	if len(e.silent) >= maxLeafs || slices.Contains(e.ended, s.Leaf) {
		return false
	}
	if s.Since.IsZero() {
		s.Since = now
	}
	e.silent = append(e.silent, s)
	e.lostAt = now
	g.silences = true
	return true
}

// silentBefore reports whether a leaf was known to be silent under another content when the one with the entry e was sent to it. e is
// nil if nothing is known of that content.
func (g *Guard) silentBefore(e *entry, s Silence) bool {
	if !g.silences {
		return false
	}
	for _, other := range g.entries {
		if other != e && !other.cleared && slices.ContainsFunc(other.silent, func(o Silence) bool { return o.Leaf == s.Leaf && o.Since.Before(s.SentAt) }) {
			return true
		}
	}
	return false
}

// LostElsewhere returns the leafs that ended under other contents than f, or that have been silent under these for longer
// than leafs pause. Those of the last moment are left out: f may prove to be the cause.
func (g *Guard) LostElsewhere(now time.Time, f Fingerprint) map[string]bool {
	if len(g.entries) == 0 {
		return nil
	}
	lost := make(map[string]bool)
	for content, e := range g.entries {
		if content == f {
			continue
		}
		if now.Sub(e.lostAt) >= settleTime {
			for _, leaf := range e.ended {
				lost[leaf] = true
			}
		}
		for _, s := range e.silent {
			if !e.answered && (s.Expired || now.Sub(s.Since) >= recentAnswer) {
				lost[s.Leaf] = true
			}
		}
	}
	return lost
}

// dropSilences forgets silences under the content with the entry e, whose leafs were not lost.
func (g *Guard) dropSilences(e *entry, alive func(Silence) bool) {
	if !slices.ContainsFunc(e.silent, alive) {
		return
	}
	g.removeCauses(e)
	e.silent = slices.DeleteFunc(e.silent, alive)
	if e.quarantines > 0 {
		g.addCauses(e)
	}
}

// isSilent reports whether a leaf is silent under the content.
func (e *entry) isSilent(leaf string) bool {
	return slices.ContainsFunc(e.silent, func(s Silence) bool { return s.Leaf == leaf })
}

// losses returns the number of leafs that a content may have lost: those that ended, or may turn out to have, and for
// which no other content is known as the cause, and those that are silent. excused is the number of further silent leafs
// whose silence something else explains.
func (g *Guard) losses(now time.Time, e *entry) (lost, excused int) {
	lost = g.unexplainedEnds(e)
	if e.answered {
		return lost, 0
	}
	for _, s := range e.silent {
		switch {
		case g.silentBefore(e, s), g.explained(e, s.Leaf):
		case slices.Contains(e.checking, s.Leaf):
		case g.zoneDisrupted(now, s.Zone):
			excused++
		default:
			lost++
		}
	}
	return lost, excused
}

// zoneDisrupted reports whether leafs of a zone are silent that no suspect content was sent to.
func (g *Guard) zoneDisrupted(now time.Time, zone string) bool {
	n := 0
	for leaf, d := range g.disrupted {
		if d.zone == zone && now.Sub(d.at) <= disruptionMemory && !g.lostUnderSuspect(leaf) {
			n++
		}
	}
	return n >= disruptedLeafs
}

// lostUnderSuspect reports whether a leaf was lost under a content that has lost several.
func (g *Guard) lostUnderSuspect(leaf string) bool {
	for _, e := range g.entries {
		if e.possibleEnds()+len(e.silent) >= endsUntilTrials && (slices.Contains(e.ended, leaf) || e.isSilent(leaf)) {
			return true
		}
	}
	return false
}

// resolved reports whether it is known what became of each leaf that the content may have lost. One that has been silent
// for long is no longer taken for slow.
func (e *entry) resolved(now time.Time) bool {
	return len(e.checking) == 0 && !slices.ContainsFunc(e.silent, func(s Silence) bool {
		return !s.Expired && now.Sub(s.Since) < silenceQuarantine
	})
}

// TrialDue reports whether a content gets a trial, since its quarantine is over. silent are the leafs that are silent under
// it, one of which is to get it.
func (g *Guard) TrialDue(now time.Time, f Fingerprint) (due bool, silent []string) {
	e := g.find(now, f)
	if e == nil || e.cleared || e.quarantines == 0 || e.quarantined(now) {
		return false, nil
	}
	for _, s := range e.silent {
		silent = append(silent, s.Leaf)
	}
	return true, silent
}

// LongSilent returns the leafs that have been silent under a content for so long that it may be sent to them again: no
// further leaf can be lost by that.
func (g *Guard) LongSilent(now time.Time, f Fingerprint) []string {
	e := g.find(now, f)
	if e == nil || e.cleared {
		return nil
	}
	var list []string
	for _, s := range e.silent {
		if now.Sub(s.Since) >= silenceRetry {
			list = append(list, s.Leaf)
		}
	}
	return list
}

// trialSilent begins another quarantine of a content if the leaf of its trial is silent. further says that the leaf was not
// silent under the content before; the quarantine gets longer only then.
func (g *Guard) trialSilent(now time.Time, f Fingerprint, e *entry, leaf string, further bool) {
	isTrial := func(t trial) bool { return t.leaf == leaf }
	if e.quarantines == 0 || e.quarantined(now) || e.answered || !slices.ContainsFunc(e.trials, isTrial) {
		return
	}
	e.trials = slices.DeleteFunc(e.trials, isTrial)
	if further {
		g.quarantine(now, f, e, true)
		return
	}
	e.until, e.byTrial, e.touched = now.Add(silenceQuarantine), true, now
}
