package health

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// reading is one read of a target's status by one of its owners.
type reading struct {
	base   facts.Health   // what was known when it began; zero if nothing was
	began  time.Time      // by this VM's clock
	status *target.Status // nil if it failed
}

// standing is where an owner stands among the owners of a target.
type standing struct {
	place  int   // of this VM
	owners []int // places of all live owners, the first choice first
}

// speaker decides what one owner states of targets. It is pure.
//
// All owners read a target. What the fleet knows differs from what they read when
// the target has changed, and the first live owner says so at once. The others
// wait in their order, so that usually one speaks, and one that is frozen, cut
// off or slow is stood in for without anybody having to find out that it is.
type speaker struct {
	targets map[string]*watch
}

// watch is what an owner remembers between two reads of a target.
type watch struct {
	failures int
	failing  time.Time // since when enough reads failed; zero if they don't
	differs  time.Time // since when the fleet knows something else; zero if not
}

// times are a service's.
type times struct {
	interval     time.Duration // between reads
	suspectAfter int           // failed reads until a target counts as lost
}

// spreadTime is long enough for a statement to reach all VMs.
const spreadTime = 500 * time.Millisecond

// patience is how long an owner waits for the one before it: for its next read,
// late by the jitter, and for its statement.
func (t times) patience() time.Duration { return 2*t.interval + spreadTime }

func newSpeaker() *speaker { return &speaker{targets: map[string]*watch{}} }

// take returns what to state after a reading, if anything.
func (s *speaker) take(name string, r reading, at standing, t times, now time.Time) (facts.Health, bool) {
	w := s.targets[name]
	if w == nil {
		w = &watch{}
		s.targets[name] = w
	}
	if r.status == nil {
		return w.takeFailure(name, r, at, t, now)
	}
	w.failures, w.failing = 0, time.Time{}
	return w.takeStatus(name, r, at, t, now)
}

func (w *watch) takeFailure(name string, r reading, at standing, t times, now time.Time) (facts.Health, bool) {
	w.differs = time.Time{}
	w.failures++
	if w.failures < t.suspectAfter {
		return facts.Health{}, false
	}
	if w.failing.IsZero() {
		w.failing = now
	}
	base := r.base
	if base.Target == "" {
		// Nobody has read it yet. If that were not said, all VMs would go on trying
		// to read a target that was down when the bundle came into force.
		base = facts.Health{Target: name, Opaque: true}
	}
	return w.mark(base, at, t, now)
}

// hear returns what to state after something new was learned of a target: where
// the owner before this one has just said that it can't read a target, and this
// one can't either, the next read need not be waited for.
func (s *speaker) hear(h facts.Health, at standing, t times, now time.Time) (facts.Health, bool) {
	w := s.targets[h.Target]
	if w == nil || w.failing.IsZero() {
		return facts.Health{}, false
	}
	return w.mark(h, at, t, now)
}

// mark states that this owner can't read a target, never that the target is lost:
// it may be this VM's own fault. The target counts as lost only when no live owner
// is left that can read it. Until the owners before this one have said the same,
// or have been silent for long, there is no need to: the target isn't lost, and
// most targets that one owner can't reach the others can.
func (w *watch) mark(base facts.Health, at standing, t times, now time.Time) (facts.Health, bool) {
	if slices.Contains(base.Unread, at.place) || !due(w.failing, rank(base, at), t, now) {
		return facts.Health{}, false
	}
	next := follow(base, at, now)
	next.Unread = append(next.Unread, at.place)
	slices.Sort(next.Unread)
	return next, true
}

func (w *watch) takeStatus(name string, r reading, at standing, t times, now time.Time) (facts.Health, bool) {
	content := encode(*r.status)
	if r.base.Drained && r.base.Incarnation == content.Incarnation {
		content.State, content.Drained = facts.Draining, true // a drain is final
	}
	known := r.base.Target != ""
	unread := slices.Contains(r.base.Unread, at.place)
	if known && !unread && r.base.SameContent(content) {
		w.differs = time.Time{}
		return facts.Health{}, false
	}
	if w.differs.IsZero() {
		w.differs = now
	}
	// Only this owner can take back that it can't read the target.
	if !unread && !due(w.differs, rank(r.base, at), t, now) {
		return facts.Health{}, false
	}
	w.differs = time.Time{}
	next := follow(r.base, at, r.began)
	next.State, next.Drained, next.Opaque = content.State, content.Drained, content.Opaque
	next.Maps, next.Leaves = content.Maps, content.Leaves
	next.Unread = slices.DeleteFunc(next.Unread, func(p int) bool { return p == at.place })
	if !known || r.base.Incarnation != content.Incarnation {
		next.Target = name
		next.Unread = nil
		next.Stamp = facts.Stamp{
			Epoch: r.base.Epoch + 1, Born: next.At, At: next.At,
			Incarnation: content.Incarnation, Drained: content.Drained,
		}
	}
	return next, true
}

// follow returns a statement that comes after another one. Of the owners that
// can't read the target it keeps those that live, which bounds their number.
func follow(base facts.Health, at standing, read time.Time) facts.Health {
	next := base
	next.Seq++
	next.At = read.UnixMilli()
	next.Unread = slices.DeleteFunc(slices.Clone(base.Unread), func(p int) bool { return !slices.Contains(at.owners, p) })
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
		if !slices.Contains(h.Unread, place) {
			n++
		}
	}
	return n
}

func due(since time.Time, rank int, t times, now time.Time) bool {
	return now.Sub(since) >= time.Duration(rank)*t.patience()
}

// lost tells whether a target counts as lost: some of its owners live, and none
// of them can read it.
func lost(h facts.Health, owners []int) bool {
	for _, place := range owners {
		if !slices.Contains(h.Unread, place) {
			return false
		}
	}
	return len(owners) > 0
}
