package health

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// readResult is the result of one read of a target's status by one of its owners.
type readResult struct {
	base   facts.Health   // the statement that was known when the read began; zero if there was none
	began  time.Time      // by this VM's clock
	status *target.Status // the status that was read; nil if the read failed
}

// ownerOrder is the order in which the owners of a target publish what they read. Owners
// are identified by their places: numbers that VMs claim, each held by one VM only.
type ownerOrder struct {
	place  int   // of this VM, which is an owner
	owners []int // places of all live owners, in their order; the first one publishes at once
}

// reporter decides which statements one owner publishes about targets. It does no
// I/O and is not safe for concurrent use.
//
// All owners read a target. When the target has changed, what they read differs from
// the known statement, and the first live owner publishes the change at once. The
// others wait, each by its rank. So usually one owner publishes, and if it is frozen,
// isolated or slow, the next one does so without having to detect that.
type reporter struct {
	targets map[string]*targetState // by the target's name
}

// targetState records the results of an owner's earlier reads of one target.
type targetState struct {
	failures     int       // consecutive failed reads
	failingSince time.Time // when failures reached timing.suspectAfter; zero if the number is lower
	differsSince time.Time // since when the reads differ from the known statement; zero if they don't
}

// timing holds the settings of a service that say when its targets are read and when a
// failed read is published.
type timing struct {
	interval     time.Duration // between two reads of a target by one owner
	suspectAfter int           // number of consecutive failed reads after which this owner counts as unable to read a target
}

// propagationTime is long enough for a statement to reach all VMs of the fleet.
const propagationTime = 500 * time.Millisecond

// rankDelay returns how long an owner waits, for each owner that comes before it in the
// order, until it publishes. That is long enough for the other owner's next read, which
// jitter may delay, and for its statement to arrive.
func (t timing) rankDelay() time.Duration { return 2*t.interval + propagationTime }

// newReporter returns a reporter that has recorded no reads yet.
func newReporter() *reporter { return &reporter{targets: map[string]*targetState{}} }

// handleRead returns the statement that this owner has to publish after its read of the
// named target, and reports whether there is one. order is the order of the target's live
// owners.
func (rep *reporter) handleRead(name string, r readResult, order ownerOrder, t timing, now time.Time) (facts.Health, bool) {
	ts := rep.targets[name]
	if ts == nil {
		ts = &targetState{}
		rep.targets[name] = ts
	}
	if r.status == nil {
		return ts.handleFailure(name, r, order, t, now)
	}
	ts.failures, ts.failingSince = 0, time.Time{}
	return ts.handleStatus(name, r, order, t, now)
}

// handleFailure is handleRead for a failed read. After suspectAfter consecutive failures,
// this owner counts as unable to read the target.
func (ts *targetState) handleFailure(name string, r readResult, order ownerOrder, t timing, now time.Time) (facts.Health, bool) {
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
		// No owner has read the target yet, so there is no statement that could say
		// that it is unreadable. Without one, all VMs would continue to try to read a
		// target that was down when the bundle came into force.
		base = facts.Health{Target: name, Opaque: true}
	}
	return ts.reportUnreadable(base, order, t, now)
}

// handleStatement returns the statement that this owner has to publish after the
// statement h of another owner has arrived, and reports whether there is one. If h says
// that the owner before this one can't read the target, and this one can't either, this
// one states it at once instead of after its next read.
func (rep *reporter) handleStatement(h facts.Health, order ownerOrder, t timing, now time.Time) (facts.Health, bool) {
	ts := rep.targets[h.Target]
	if ts == nil || ts.failingSince.IsZero() {
		return facts.Health{}, false
	}
	return ts.reportUnreadable(h, order, t, now)
}

// reportUnreadable returns the statement that this owner can't read a target, and reports
// whether it has to be published now. base is the known statement, which it replaces.
//
// The statement never says that the target is lost, since this VM may be the cause. The
// target counts as lost only when no live owner is left that can read it. The statement
// isn't needed until each owner before this one has stated the same, or has had rankDelay
// to do so. Until then the target isn't lost, and most targets that one owner can't reach
// can be reached by the others.
func (ts *targetState) reportUnreadable(base facts.Health, order ownerOrder, t timing, now time.Time) (facts.Health, bool) {
	if slices.Contains(base.UnreadableBy, order.place) || !due(ts.failingSince, rank(base, order), t, now) {
		return facts.Health{}, false
	}
	next := nextStatement(base, order, now)
	next.UnreadableBy = append(next.UnreadableBy, order.place)
	slices.Sort(next.UnreadableBy)
	return next, true
}

// handleStatus is handleRead for a successful read. A statement is published if the
// status differs from the known statement and it is this owner's turn, or if the known
// statement says that this owner can't read the target.
func (ts *targetState) handleStatus(name string, r readResult, order ownerOrder, t timing, now time.Time) (facts.Health, bool) {
	content := encode(*r.status)
	if r.base.Drained && r.base.Incarnation == content.Incarnation {
		content.State, content.Drained = facts.Draining, true // a drain is final
	}
	known := r.base.Target != ""
	statedUnreadable := slices.Contains(r.base.UnreadableBy, order.place)
	// The known statement is correct, also about this owner.
	if known && !statedUnreadable && r.base.SameContent(content) {
		ts.differsSince = time.Time{}
		return facts.Health{}, false
	}
	if ts.differsSince.IsZero() {
		ts.differsSince = now
	}
	// Only this owner can revoke its own statement that it can't read the target, so it
	// doesn't wait for the others.
	if !statedUnreadable && !due(ts.differsSince, rank(r.base, order), t, now) {
		return facts.Health{}, false
	}
	ts.differsSince = time.Time{}
	next := nextStatement(r.base, order, r.began)
	next.State, next.Drained, next.Opaque = content.State, content.Drained, content.Opaque
	next.Maps, next.Leaves = content.Maps, content.Leaves
	next.UnreadableBy = slices.DeleteFunc(next.UnreadableBy, func(p int) bool { return p == order.place })
	// The first statement about an incarnation starts a new epoch.
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

// nextStatement returns a copy of the statement base with the stamp of the next statement
// about the same incarnation. read becomes the stamp's At: the start of the read that the
// new statement is based on, or the current time if the statement says that this owner
// can't read the target. Owners that aren't live are removed from UnreadableBy, which
// bounds the length of UnreadableBy.
func nextStatement(base facts.Health, order ownerOrder, read time.Time) facts.Health {
	next := base
	next.Seq++
	next.At = read.UnixMilli()
	next.UnreadableBy = slices.DeleteFunc(slices.Clone(base.UnreadableBy), func(p int) bool { return !slices.Contains(order.owners, p) })
	return next
}

// rank returns how many live owners this one has to wait for before it publishes: those
// that come before it in the order and that, as far as the statement h says, can read the
// target.
func rank(h facts.Health, order ownerOrder) int {
	n := 0
	for _, place := range order.owners {
		if place == order.place {
			break
		}
		if !slices.Contains(h.UnreadableBy, place) {
			n++
		}
	}
	return n
}

// due reports whether an owner may publish now what it first found at the time since. It
// has to wait rankDelay for each of the owners before it in the order; rank is their number.
func due(since time.Time, rank int, t timing, now time.Time) bool {
	return now.Sub(since) >= time.Duration(rank)*t.rankDelay()
}

// lost reports whether a target counts as lost: it has live owners, and the statement h
// says of each that it can't read the target. owners holds the places of the live owners.
func lost(h facts.Health, owners []int) bool {
	for _, place := range owners {
		if !slices.Contains(h.UnreadableBy, place) {
			return false
		}
	}
	return len(owners) > 0
}
