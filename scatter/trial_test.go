package scatter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// failingLoad is a load of callers, each of which sends its next request when the one before has ended, on a
// service of two sound leafs and two that fail each attempt at once. Time advances by a millisecond.
type failingLoad struct {
	*world
	end       End // of attempts at the failing leafs
	callers   []*failingCaller
	failing   map[LeafID]int // attempts, by failing leaf
	slotsFree map[LeafID][]time.Time
	recoverAt time.Time // from when on the failing leafs are sound; zero for never

	answers map[LeafID]int // answered attempts, by leaf
	share   float64        // of the attempts at a failing leaf that fail, from 0 to 1
	takes   time.Duration  // time until an attempt at a failing leaf has failed

	lingering []failingAttempt // attempts whose query has ended

	failed  int // requests that failed, other than those that were refused
	refused int
	served  int
}

// failingCaller is a caller's request and its attempts in flight.
type failingCaller struct {
	query *Query
	sent  []failingAttempt
}

// failingAttempt is an attempt that ends at a time.
type failingAttempt struct {
	Send
	endsAt time.Time
	end    End
}

// Times of a failingLoad.
const (
	failingWork = 20 * time.Millisecond // of a sound leaf
	failingTime = time.Millisecond      // until an attempt at a failing leaf has failed
)

// newFailingLoad returns such a load, whose attempts at failing leafs end as given. failing is the number of such
// leafs of the four.
func newFailingLoad(t *testing.T, end End, callers, failing int) *failingLoad {
	f := &failingLoad{world: newWorld(t), end: end, share: 1, takes: failingTime, failing: make(map[LeafID]int), answers: make(map[LeafID]int), slotsFree: make(map[LeafID][]time.Time)}
	f.table.SetServiceConfig(f.now, "ledger", ServiceConfig{MaxConnections: 100})
	for i := range 4 {
		id := LeafID{ID: fmt.Sprint("leaf-", i), Born: 1}
		f.table.Apply(f.now, registry.Change{Leaf: registry.Leaf{ID: id.ID, Born: id.Born, Service: "ledger", Zone: homeZone, Slots: 2, Address: "127.0.0.1:1"}})
		f.slotsFree[id] = make([]time.Time, 2)
		if i < failing {
			f.failing[id] = 0
		}
	}
	for range callers {
		f.callers = append(f.callers, &failingCaller{})
	}
	return f
}

// run plays the load for a time.
func (f *failingLoad) run(d time.Duration, idempotent bool) {
	for end := f.now.Add(d); f.now.Before(end); f.wait(time.Millisecond) {
		for _, c := range f.callers {
			f.step(c, idempotent)
		}
		f.lingering = slices.DeleteFunc(f.lingering, func(a failingAttempt) bool {
			ended := !f.now.Before(a.endsAt)
			if ended {
				f.table.AttemptEnded(f.now, a.Leaf, a.SentAt, a.end)
			}
			return ended
		})
		suspects, _ := f.table.SuspectLeafs(f.now)
		for _, l := range suspects {
			f.table.RecordLeafProbe(f.now, LeafID{ID: l.ID, Born: l.Born}, true)
		}
	}
}

// step starts, continues or ends the request of a caller.
func (f *failingLoad) step(c *failingCaller, idempotent bool) {
	if c.query == nil {
		spec := f.single("ledger", idempotent)
		spec.LatencyObjective, spec.Deadline = 250*time.Millisecond, f.now.Add(1500*time.Millisecond)
		c.query, c.sent = NewQuery(spec, f.table), nil
		f.take(c, c.query.Start(f.now))
	}
	for i := 0; c.query != nil && i < len(c.sent); i++ {
		a := c.sent[i]
		if f.now.Before(a.endsAt) {
			continue
		}
		c.sent = append(c.sent[:i:i], c.sent[i+1:]...)
		i--
		f.table.AttemptEnded(f.now, a.Leaf, a.SentAt, a.end)
		switch a.end {
		case EndAnswered, EndFailed:
			f.take(c, c.query.Reply(f.now, a.Attempt, a.end == EndFailed))
		default:
			f.take(c, c.query.Fail(f.now, a.Attempt, a.end))
		}
	}
	if c.query != nil && !f.now.Before(c.query.Wake(f.now)) {
		f.take(c, c.query.Tick(f.now))
	}
}

// take carries out the actions of a caller's query.
func (f *failingLoad) take(c *failingCaller, acts []Action) {
	for _, s := range sends(acts) {
		c.sent = append(c.sent, f.attempt(s))
	}
	out := outcome(acts)
	if out == nil {
		return
	}
	switch out.Verdict {
	case Answered:
		f.served++
	case NotRun:
		f.refused++
	default:
		f.failed++
	}
	f.lingering = append(f.lingering, c.sent...)
	c.query = nil
}

// attempt returns how an attempt ends, and when.
func (f *failingLoad) attempt(s Send) failingAttempt {
	if _, fails := f.failing[s.Leaf]; fails && (f.recoverAt.IsZero() || f.now.Before(f.recoverAt)) && f.table.rng.Float64() < f.share {
		f.failing[s.Leaf]++
		return failingAttempt{Send: s, endsAt: f.now.Add(f.takes), end: f.end}
	}
	f.answers[s.Leaf]++
	slots := f.slotsFree[s.Leaf]
	first := 0
	if slots[1].Before(slots[0]) {
		first = 1
	}
	slots[first] = later(f.now, slots[first]).Add(failingWork)
	return failingAttempt{Send: s, endsAt: slots[first], end: EndAnswered}
}

// attempts returns the number of attempts at the failing leafs.
func (f *failingLoad) attempts() (n int) {
	for _, attempts := range f.failing {
		n += attempts
	}
	return n
}

// failingEnds are the ends of attempts at a leaf that fails each one at once.
var failingEnds = map[string]End{"broken": EndBroken, "failed": EndFailed}

// Guards against leafs that fail each request at once and so get more work than sound ones, which take longer:
// requests then fail although sound leafs are there.
func TestLeafThatFailsAtOnceAttractsNoLoad(t *testing.T) {
	for name, end := range failingEnds {
		for _, callers := range []int{2, 4, 15} {
			for _, idempotent := range []bool{true, false} {
				t.Run(fmt.Sprint(name, " ", callers, " ", idempotent), func(t *testing.T) {
					f := newFailingLoad(t, end, callers, 2)
					f.run(time.Second, idempotent)
					found, failed := f.attempts(), f.failed
					f.run(6*time.Second, idempotent)
					t.Logf("first second: %d attempts at failing leafs, %d failed; then %d and %d, %d served, %d refused", found, failed, f.attempts()-found, f.failed-failed, f.served, f.refused)
					// Each of the two leafs is found by failuresToTrial rounds of requests, and tried after pauses of 60, 120,
					// 240 and 480 ms.
					f.Expect(found).To(gomega.BeNumerically("<=", 2*(failuresToTrial*2*maxInFlightPerSlot+4)))
					// Then each is tried once in maxCooldown.
					f.Expect(f.attempts() - found).To(gomega.BeNumerically("<=", 2*(6*time.Second/maxCooldown+1)))
					allowed := 0
					switch {
					case !idempotent:
						allowed = 2 * int(6*time.Second/lastTryPause+1)
					case callers > 8: // the sound leafs have no room for a retry
						allowed = 2 * int(6*time.Second/maxCooldown+1)
					}
					f.Expect(f.failed - failed).To(gomega.BeNumerically("<=", allowed))
				})
			}
		}
	}
}

// Guards against requests that wait in vain for leafs which accept connections and answer nothing in time: each
// probe of them succeeds.
func TestLeafThatAnswersNothingInTimeIsTriedByFewRequests(t *testing.T) {
	for _, callers := range []int{4, 15} {
		t.Run(fmt.Sprint(callers), func(t *testing.T) {
			f := newFailingLoad(t, EndSilent, callers, 2)
			f.takes = 1560 * time.Millisecond
			f.run(2*time.Second, true)
			found, failed := f.attempts(), f.failed
			f.run(12*time.Second, true)
			t.Logf("first two seconds: %d attempts, %d failed; then %d and %d, %d served, %d refused", found, failed, f.attempts()-found, f.failed-failed, f.served, f.refused)
			// Each of the two leafs is tried by one request at a time.
			tries := 2 * int(12*time.Second/f.takes+1)
			f.Expect(f.attempts() - found).To(gomega.BeNumerically("<=", tries))
			allowed := 0
			if callers > 8 { // the sound leafs have no room for a hedge
				allowed = tries
			}
			f.Expect(f.failed - failed).To(gomega.BeNumerically("<=", allowed))
		})
	}
}

// Guards against a leaf that stays without work after it has recovered, also where no request may be sent to
// another leaf if it fails.
func TestLeafOnTrialGetsWorkSoonAfterItRecovers(t *testing.T) {
	for name, end := range failingEnds {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " ", idempotent), func(t *testing.T) {
				f := newFailingLoad(t, end, 15, 2)
				f.run(10*time.Second, idempotent)
				f.recoverAt = f.now
				f.run(maxCooldown+lastTryPause+time.Second, idempotent)
				before := f.answers
				f.answers = make(map[LeafID]int)
				f.run(time.Second, idempotent)
				f.Expect(len(before)).To(gomega.Equal(4))
				for id := range f.failing {
					f.Expect(f.answers[id]).To(gomega.BeNumerically(">=", 50), "of the 100 that it can run")
				}
			})
		}
	}
}

// Guards against callers that are refused, and leafs that are left out, because all leafs of a service fail each
// request: the cause may be what is asked.
func TestTrialsRestrictNothingWhileAllLeafsFail(t *testing.T) {
	f := newFailingLoad(t, EndFailed, 8, 4)
	f.run(2*time.Second, true)
	f.Expect(f.refused).To(gomega.BeZero())
	for id, attempts := range f.failing {
		f.Expect(attempts).To(gomega.BeNumerically(">=", f.attempts()/8), id.ID)
	}
}

// Guards against a request that is not sent again although another leaf is there, since that one is on trial while
// the only sound leaf has failed the request.
func TestLeafOnTrialGetsWhatTheSoundLeafHasFailed(t *testing.T) {
	w := newWorld(t)
	sound, failing := w.leaf("ledger", homeZone), w.leaf("ledger", "other")
	for range failuresToTrial {
		sentAt := w.now
		w.wait(time.Millisecond)
		w.table.AttemptEnded(w.now, failing, sentAt, EndFailed)
	}
	q := NewQuery(w.single("ledger", true), w.table)
	first := sends(q.Start(w.now))
	w.Expect(first).To(gomega.HaveLen(1))
	w.Expect(first[0].Leaf).To(gomega.Equal(sound))
	w.wait(time.Millisecond)
	w.table.AttemptEnded(w.now, sound, first[0].SentAt, EndBroken)
	second := sends(q.Fail(w.now, first[0].Attempt, EndBroken))
	w.Expect(second).To(gomega.HaveLen(1))
	w.Expect(second[0].Leaf).To(gomega.Equal(failing))
}

// Guards against a leaf that fails a part of its requests and is left without work, so that the others have too
// much.
func TestLeafThatFailsAPartKeepsServing(t *testing.T) {
	f := newFailingLoad(t, EndFailed, 15, 1)
	f.share = 0.3
	f.run(10*time.Second, true)
	for id := range f.failing {
		f.Expect(f.answers[id]).To(gomega.BeNumerically(">=", 500), "of the 1000 that it can run")
	}
}
