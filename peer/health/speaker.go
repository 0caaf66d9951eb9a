package health

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// readResult is one read of a target's status by one of its owners.
type readResult struct {
	base   facts.Health   // what was known when it began; zero if nothing was
	began  time.Time      // by this VM's clock
	status *target.Status // nil if it failed
}

// standing is where an owner stands among the owners of a target.
type standing struct {
	place  int   // of this VM
	owners []int // places of all live owners, the first choice first
}

// reporter decides what one owner states of targets. It is pure.
//
// All owners read a target. What the fleet knows differs from what they read when
// the target has changed, and the first live owner says so at once. The others
// wait in their order, so that usually one speaks, and one that is frozen, cut
// off or slow is stood in for without anybody having to find out that it is.
type reporter struct {
	targets map[string]*targetState
}

// targetState is what an owner remembers between two reads of a target.
type targetState struct {
	failures     int
	failingSince time.Time // since when enough reads failed; zero if they don't
	differsSince time.Time // since when the fleet knows something else; zero if not
}

// timing are a service's.
type timing struct {
	interval     time.Duration // between reads
	suspectAfter int           // failed reads until a target counts as lost
}

// propagationTime is long enough for a statement to reach all VMs.
const propagationTime = 500 * time.Millisecond

// rankDelay is how long an owner waits for the one before it: for its next read,
// late by the jitter, and for its statement.
func (t timing) rankDelay() time.Duration { return 2*t.interval + propagationTime }

func newReporter() *reporter { return &reporter{targets: map[string]*targetState{}} }

// handleRead returns what to state after a reading, if anything.
func (s *reporter) handleRead(name string, r readResult, at standing, t timing, now time.Time) (facts.Health, bool) {
	w := s.targets[name]
	if w == nil {
		w = &targetState{}
		s.targets[name] = w
	}
	if r.status == nil {
		return w.handleFailure(name, r, at, t, now)
	}
	w.failures, w.failingSince = 0, time.Time{}
	return w.handleStatus(name, r, at, t, now)
}

func (w *targetState) handleFailure(name string, r readResult, at standing, t timing, now time.Time) (facts.Health, bool) {
	w.differsSince = time.Time{}
	w.failures++
	if w.failures < t.suspectAfter {
		return facts.Health{}, false
	}
	if w.failingSince.IsZero() {
		w.failingSince = now
	}
	base := r.base
	if base.Target == "" {
		// Nobody has read it yet. If that were not said, all VMs would go on trying
		// to read a target that was down when the bundle came into force.
		base = facts.Health{Target: name, Opaque: true}
	}
	return w.reportUnreadable(base, at, t, now)
}

// handleStatement returns what to state after something new was learned of a target: where
// the owner before this one has just said that it can't read a target, and this
// one can't either, the next read need not be waited for.
func (s *reporter) handleStatement(h facts.Health, at standing, t timing, now time.Time) (facts.Health, bool) {
	w := s.targets[h.Target]
	if w == nil || w.failingSince.IsZero() {
		return facts.Health{}, false
	}
	return w.reportUnreadable(h, at, t, now)
}

// reportUnreadable states that this owner can't read a target, never that the target is lost:
// it may be this VM's own fault. The target counts as lost only when no live owner
// is left that can read it. Until the owners before this one have said the same,
// or have been silent for long, there is no need to: the target isn't lost, and
// most targets that one owner can't reach the others can.
func (w *targetState) reportUnreadable(base facts.Health, at standing, t timing, now time.Time) (facts.Health, bool) {
	if slices.Contains(base.UnreadableBy, at.place) || !due(w.failingSince, rank(base, at), t, now) {
		return facts.Health{}, false
	}
	next := nextStatement(base, at, now)
	next.UnreadableBy = append(next.UnreadableBy, at.place)
	slices.Sort(next.UnreadableBy)
	return next, true
}

func (w *targetState) handleStatus(name string, r readResult, at standing, t timing, now time.Time) (facts.Health, bool) {
	content := encode(*r.status)
	if r.base.Drained && r.base.Incarnation == content.Incarnation {
		content.State, content.Drained = facts.Draining, true // a drain is final
	}
	known := r.base.Target != ""
	unread := slices.Contains(r.base.UnreadableBy, at.place)
	if known && !unread && r.base.SameContent(content) {
		w.differsSince = time.Time{}
		return facts.Health{}, false
	}
	if w.differsSince.IsZero() {
		w.differsSince = now
	}
	// Only this owner can take back that it can't read the target.
	if !unread && !due(w.differsSince, rank(r.base, at), t, now) {
		return facts.Health{}, false
	}
	w.differsSince = time.Time{}
	next := nextStatement(r.base, at, r.began)
	next.State, next.Drained, next.Opaque = content.State, content.Drained, content.Opaque
	next.Maps, next.Leaves = content.Maps, content.Leaves
	next.UnreadableBy = slices.DeleteFunc(next.UnreadableBy, func(p int) bool { return p == at.place })
	if !known || r.base.Incarnation != content.Incarnation {
		next.Target = name
		next.UnreadableBy = nil
		next.Stamp = facts.Stamp{
			Epoch: r.base.Epoch + 1, FirstRead: next.At, At: next.At,
			Incarnation: content.Incarnation, Drained: content.Drained,
		}
	}
	return next, true
}

// nextStatement returns a statement that comes after another one. Of the owners that
// can't read the target it keeps those that live, which bounds their number.
func nextStatement(base facts.Health, at standing, read time.Time) facts.Health {
	next := base
	next.Seq++
	next.At = read.UnixMilli()
	next.UnreadableBy = slices.DeleteFunc(slices.Clone(base.UnreadableBy), func(p int) bool { return !slices.Contains(at.owners, p) })
	return next
}

// rank is the number of live owners that come before this one and can read the
// target.
func rank(h facts.Health, at standing) int {
	n := 0
	for _, place := range at.owners {
		if place == at.place {
			break
		}
		if !slices.Contains(h.UnreadableBy, place) {
			n++
		}
	}
	return n
}

func due(since time.Time, rank int, t timing, now time.Time) bool {
	return now.Sub(since) >= time.Duration(rank)*t.rankDelay()
}

// lost tells whether a target counts as lost: some of its owners live, and none
// of them can read it.
func lost(h facts.Health, owners []int) bool {
	for _, place := range owners {
		if !slices.Contains(h.UnreadableBy, place) {
			return false
		}
	}
	return len(owners) > 0
}
