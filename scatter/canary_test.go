package scatter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/quarantine"
)

// end ends the attempt s, without any sign that its leaf was lost under the request.
func (q *suspectQuery) end(s Send, end End) {
	q.inFlight = slices.DeleteFunc(q.inFlight, func(other Send) bool { return other.Attempt == s.Attempt })
	q.world.table.AttemptEnded(q.now, s.Leaf, s.SentAt, end)
	q.world.table.RecordEnd(q.now, content, s.Leaf, s.SentAt, end)
	q.take(q.Fail(q.now, s.Attempt, end))
}

// Guards against a first wave over all shards under which each leaf ends: one leaf is asked, and the others once it has
// answered.
func TestShardsAreAskedWhenACanaryHasAnswered(t *testing.T) {
	w := newWorld(t)
	q := w.startSuspect(w.gathered(w.shards(9, "home", "far")))
	w.Expect(q.inFlight).To(gomega.HaveLen(1))
	w.wait(2 * time.Millisecond)
	q.answer(q.inFlight[0])
	w.Expect(q.inFlight).To(gomega.HaveLen(8))
	for _, s := range slices.Clone(q.inFlight) {
		q.answer(s)
	}
	w.Expect(q.out.Verdict).To(gomega.Equal(Answered))
	w.Expect(q.out.Missing).To(gomega.BeZero())
}

// Guards against a content that loses other leafs through each VM, in requests that are in flight together.
func TestVMsSendAnUnprovenContentToTheSameThreeLeafs(t *testing.T) {
	for _, shards := range []int{1, 2, 9} {
		sentTo := make(map[LeafID]bool)
		for vm, zone := range []string{"home", "far", "farther", "home"} {
			w := newWorld(t)
			w.becomeVM(fmt.Sprint("vm-", vm), zone, BudgetConfig{Ratio: 0.2, Floor: 50, Window: 10 * time.Second})
			spec := w.gathered(w.shards(shards, "home", "far", "farther", "farthest"))
			spec.MaxAttempts = 9
			if shards == 1 {
				spec = w.single("shard-00", true)
				spec.MaxAttempts = 9
			}
			for range 3 {
				q := w.startSuspect(spec)
				q.tick(40 * time.Millisecond)
				for q.out == nil {
					q.tick(time.Millisecond)
					if len(q.inFlight) > 0 {
						sentTo[q.inFlight[0].Leaf] = true
						q.lose(q.inFlight[0], true)
					}
				}
			}
		}
		w := gomega.NewWithT(t)
		w.Expect(len(sentTo)).To(gomega.BeNumerically("<=", maxCanaries), "%d shards", shards)
	}
}

// Guards against a canary that says nothing and takes the whole time of the request.
func TestSilentCanaryIsFollowedByAnother(t *testing.T) {
	w := newWorld(t)
	q := w.startSuspect(w.gathered(w.shards(9, "home", "far")))
	q.tick(time.Duration(maxCanaryPatienceShare*float64(q.spec.LatencyObjective)) + 2*time.Millisecond)
	w.Expect(q.inFlight).To(gomega.HaveLen(2))
	q.answer(q.inFlight[1])
	w.Expect(q.inFlight).To(gomega.HaveLen(8))
}

// Guards against a request that fails since leafs that have not run it count as lost under it.
func TestCanaryThatRunsNothingGivesWay(t *testing.T) {
	for _, end := range []End{EndRefused, EndMoved, EndNotStarted} {
		w := newWorld(t)
		spec := w.gathered(w.shards(9, "home", "far"))
		spec.MinShare = 0.5 // both leafs of a shard may have moved
		q := w.startSuspect(spec)
		for range 5 {
			w.wait(time.Millisecond)
			q.end(q.inFlight[0], end)
			w.Expect(q.inFlight).NotTo(gomega.BeEmpty(), "after %v", endName(end))
		}
		for q.out == nil {
			for len(q.inFlight) > 0 {
				q.answer(q.inFlight[0])
			}
			q.tick(time.Millisecond)
		}
		w.Expect(q.out.Verdict).To(gomega.Equal(Answered), "after %v: %v", endName(end), q.out.Gaps)
	}
}

// endName returns a name for an end.
func endName(end End) string { return fmt.Sprint("end ", int(end)) }

// Guards against a request that fails since its canaries have crashed before: they give way, once other VMs have had time
// to tell whether they were lost under its content.
func TestUnreachableCanariesGiveWay(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(9, "home", "far"))
	spec.AnswerBy = w.now.Add(300 * time.Millisecond)
	q := w.startSuspect(spec)
	for range maxCanaries {
		w.wait(time.Millisecond)
		q.end(q.inFlight[0], EndUnreachable)
	}
	w.Expect(q.inFlight).To(gomega.BeEmpty())
	q.tick(recentLoss + 5*time.Millisecond)
	w.Expect(q.inFlight).NotTo(gomega.BeEmpty())
	q.answer(q.inFlight[0])
	w.Expect(len(q.inFlight)).To(gomega.BeNumerically(">=", 6))
}

// Guards against a request that fails since its canaries have cut their connections, while their processes go on.
func TestCutCanariesGiveWay(t *testing.T) {
	w := newWorld(t)
	q := w.startSuspect(w.gathered(w.shards(9, "home", "far")))
	for range maxCutCanaries {
		w.wait(time.Millisecond)
		q.lose(q.inFlight[0], false)
		w.Expect(q.inFlight).NotTo(gomega.BeEmpty())
	}
	q.answer(q.inFlight[0])
	w.Expect(len(q.inFlight)).To(gomega.BeNumerically(">=", 8))
}

// Guards against contents that cost a leaf's time more with each request, although leafs answer them.
func TestServedContentNeedsNoCanary(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(9, "home", "far"))
	first := w.startSuspect(spec)
	for len(first.inFlight) > 0 {
		first.answer(first.inFlight[0])
	}
	w.wait(time.Second)
	spec.AnswerBy, spec.Deadline = w.now.Add(90*time.Millisecond), w.now.Add(400*time.Millisecond)
	again := w.startSuspect(spec)
	w.Expect(again.inFlight).To(gomega.HaveLen(9))
	for _, s := range slices.Clone(again.inFlight) {
		if s.Shard == 0 {
			again.lose(s, true)
		}
	}
	w.Expect(w.startSuspect(spec).inFlight).To(gomega.HaveLen(1), "a leaf has ended under it since")
}

// Guards against calls to other VMs, each with a wave of its own, before a leaf has answered.
func TestVMsAreCalledWhenACanaryHasAnswered(t *testing.T) {
	w := newWorld(t)
	w.table.SetVMs(w.now, []VM{{Name: "vm-far", Zone: "far", Power: 1}})
	spec := w.gathered(w.shards(9, "far"))
	spec.MayDelegate, spec.Content = true, content
	w.answeredAfter(20 * time.Millisecond)
	q := NewQuery(spec, w.table)
	acts := q.Start(w.now)
	w.Expect(vmCalls(acts)).To(gomega.BeEmpty())
	w.Expect(sends(acts)).To(gomega.HaveLen(1))
	w.wait(2 * time.Millisecond)
	w.Expect(vmCalls(q.Reply(w.now, sends(acts)[0].Attempt, false))).To(gomega.HaveLen(1))
}

// answeredAfter records that gathered requests were usually answered after the time d.
func (w *world) answeredAfter(d time.Duration) {
	key := durationKey{objective: w.gathered(nil).LatencyObjective, gathered: true, whole: true}
	for range 100 {
		w.table.durationsOf(key).Add(w.now, d)
	}
}

// Guards against a canary that makes requests late which take most of their time anyway, and against a further content
// that loses a leaf of each shard after one has.
func TestRequestsWithoutTimeForACanaryAskOneAfterAQuarantine(t *testing.T) {
	w := newWorld(t)
	w.answeredAfter(70 * time.Millisecond)
	spec := w.gathered(w.shards(9, "home", "far"))
	w.Expect(w.startSuspect(spec).inFlight).To(gomega.HaveLen(9))
	other := quarantine.FingerprintOf("", "GET", "h", "/other", nil)
	w.table.guard.Merge(w.now, quarantine.Notice{Content: other, Epoch: 1, Ends: 3, Quarantines: 1, Remaining: time.Minute, ByTrial: true})
	w.Expect(w.startSuspect(spec).inFlight).To(gomega.HaveLen(1))
}
