package health

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// readResult is the result of one read of a target's status by one of its owners.
type readResult struct {
	base   facts.Health   // the known statement when the read began; zero if there was none
	began  time.Time      // by this VM's clock
	status *target.Status // nil if it failed
}

// standing is an owner's position among the owners of a target.
type standing struct {
	place  int   // of this VM
	owners []int // places of all live owners, in the order of their rank
}

// reporter decides which statements one owner publishes about targets. It does no
// I/O and is not safe for concurrent use.
//
// All owners read a target. When the target has changed, what they read differs from
// the known statement, and the first live owner publishes the change at once. The
// others wait, each by its rank. So usually one owner publishes, and if it is frozen,
// isolated or slow, the next one does so without having to detect that.
type reporter struct {
	targets map[string]*targetState
}

// targetState is what an owner keeps between two reads of a target.
type targetState struct {
	failures     int       // consecutive failed reads
	failingSince time.Time // when failures reached suspectAfter; zero if it hasn't
	differsSince time.Time // since when the reads differ from the known statement; zero if they don't
}

// timing holds the settings of a service.
type timing struct {
	interval     time.Duration // between reads
	suspectAfter int           // failed reads in a row until this owner counts as unable to read a target
}

// propagationTime is long enough for a statement to reach all VMs.
const propagationTime = 500 * time.Millisecond

// rankDelay returns how long an owner waits for each owner before it: for that
// owner's next read, which jitter may delay, and for its statement to arrive.
func (t timing) rankDelay() time.Duration { return 2*t.interval + propagationTime }

func newReporter() *reporter { return &reporter{targets: map[string]*targetState{}} }

// handleRead returns the statement to publish after a read, and reports whether there
// is one.
func (rep *reporter) handleRead(name string, r readResult, pos standing, t timing, now time.Time) (facts.Health, bool) {
	ts := rep.targets[name]
	if ts == nil {
		ts = &targetState{}
		rep.targets[name] = ts
	}
	if r.status == nil {
		return ts.handleFailure(name, r, pos, t, now)
	}
	ts.failures, ts.failingSince = 0, time.Time{}
	return ts.handleStatus(name, r, pos, t, now)
}

func (ts *targetState) handleFailure(name string, r readResult, pos standing, t timing, now time.Time) (facts.Health, bool) {
	ts.differsSince = time.Time{}
	ts.failures++
	if ts.failures < t.suspectAfter {
		return facts.Health{}, false
	}
	if ts.failingSince.IsZero() {
		ts.failingSince = now
	}
	base := r.base
	if base.Target == "" {
		// No owner has read it yet. Without a statement, all VMs would continue to
		// try to read a target that was down when the bundle came into force.
		base = facts.Health{Target: name, Opaque: true}
	}
	return ts.reportUnreadable(base, pos, t, now)
}

// handleStatement returns the statement to publish after a new one has arrived, and
// reports whether there is one. If the owner before this one has just stated that it
// can't read a target, and this one can't either, it need not wait for its next read.
func (rep *reporter) handleStatement(h facts.Health, pos standing, t timing, now time.Time) (facts.Health, bool) {
	ts := rep.targets[h.Target]
	if ts == nil || ts.failingSince.IsZero() {
		return facts.Health{}, false
	}
	return ts.reportUnreadable(h, pos, t, now)
}

// reportUnreadable returns the statement that this owner can't read a target, if it is
// due. It never states that the target is lost, since this VM may be the cause. The
// target counts as lost only when no live owner is left that can read it. The
// statement isn't needed until the owners before this one have stated the same, or
// have had rankDelay to do so: until then the target isn't lost, and most targets that
// one owner can't reach can be reached by the others.
func (ts *targetState) reportUnreadable(base facts.Health, pos standing, t timing, now time.Time) (facts.Health, bool) {
	if slices.Contains(base.UnreadableBy, pos.place) || !due(ts.failingSince, rank(base, pos), t, now) {
		return facts.Health{}, false
	}
	next := nextStatement(base, pos, now)
	next.UnreadableBy = append(next.UnreadableBy, pos.place)
	slices.Sort(next.UnreadableBy)
	return next, true
}

func (ts *targetState) handleStatus(name string, r readResult, pos standing, t timing, now time.Time) (facts.Health, bool) {
	content := encode(*r.status)
	if r.base.Drained && r.base.Incarnation == content.Incarnation {
		content.State, content.Drained = facts.Draining, true // a drain is final
	}
	known := r.base.Target != ""
	unread := slices.Contains(r.base.UnreadableBy, pos.place)
	if known && !unread && r.base.SameContent(content) {
		ts.differsSince = time.Time{}
		return facts.Health{}, false
	}
	if ts.differsSince.IsZero() {
		ts.differsSince = now
	}
	// Only this owner can revoke its statement that it can't read the target.
	if !unread && !due(ts.differsSince, rank(r.base, pos), t, now) {
		return facts.Health{}, false
	}
	ts.differsSince = time.Time{}
	next := nextStatement(r.base, pos, r.began)
	next.State, next.Drained, next.Opaque = content.State, content.Drained, content.Opaque
	next.Maps, next.Leaves = content.Maps, content.Leaves
	next.UnreadableBy = slices.DeleteFunc(next.UnreadableBy, func(p int) bool { return p == pos.place })
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

// nextStatement returns a copy of base as the next statement about the same
// incarnation. Of the owners that can't read the target it keeps only live ones, which
// bounds their number.
func nextStatement(base facts.Health, pos standing, read time.Time) facts.Health {
	next := base
	next.Seq++
	next.At = read.UnixMilli()
	next.UnreadableBy = slices.DeleteFunc(slices.Clone(base.UnreadableBy), func(p int) bool { return !slices.Contains(pos.owners, p) })
	return next
}

// rank returns the number of live owners that come before this one and that, as far
// as h states, can read the target.
func rank(h facts.Health, pos standing) int {
	n := 0
	for _, place := range pos.owners {
		if place == pos.place {
			break
		}
		if !slices.Contains(h.UnreadableBy, place) {
			n++
		}
	}
	return n
}

// due reports whether an owner of that rank has waited long enough to publish what it
// has found since the given time.
func due(since time.Time, rank int, t timing, now time.Time) bool {
	return now.Sub(since) >= time.Duration(rank)*t.rankDelay()
}

// lost reports whether a target counts as lost: it has live owners, and none of them
// can read it.
func lost(h facts.Health, owners []int) bool {
	for _, place := range owners {
		if !slices.Contains(h.UnreadableBy, place) {
			return false
		}
	}
	return len(owners) > 0
}
