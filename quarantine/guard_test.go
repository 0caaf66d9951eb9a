package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// lostThree is what a query knows that has lost three leafs, and got no answer.
var lostThree = Evidence{Sent: true, Lost: 3}

// vm is the guard of one VM, and a clock that only the test advances.
type vm struct {
	*gomega.WithT
	*Guard
	now time.Time
}

// deadly is a content that ends leafs.
var deadly = FingerprintOf("", "GET", "h", "/deadly", nil)

// newVM returns a VM that suspects nothing.
func newVM(t gomega.WithT) *vm { return &vm{WithT: &t, Guard: New(), now: time.Unix(1_000_000, 0)} }

// wait advances the clock.
func (v *vm) wait(d time.Duration) { v.now = v.now.Add(d) }

// allows returns what is allowed for the deadly content.
func (v *vm) allows(known Evidence) Decision {
	d, _ := v.Decide(v.now, deadly, known)
	return d
}

// send sends the deadly content to a leaf, and returns when.
func (v *vm) send(leaf string) time.Time {
	v.wait(time.Millisecond)
	v.Sent(v.now, deadly, leaf, true)
	return v.now
}

// lose loses the connection of a send, and finds out whether the leaf has ended.
func (v *vm) lose(leaf string, sentAt time.Time, ended bool) {
	v.wait(time.Millisecond)
	v.Lost(v.now, deadly, leaf, sentAt)
	v.Checked(v.now, deadly, leaf, ended)
}

// wave sends the deadly content to n leafs at the same time, all of which end.
func (v *vm) wave(n int) {
	var sent []time.Time
	for i := range n {
		sent = append(sent, v.send(fmt.Sprint("leaf-", i)))
	}
	for i := range n {
		v.lose(fmt.Sprint("leaf-", i), sent[i], true)
	}
}

// tellAll tells another VM all news, and returns what that VM tells further VMs.
func (v *vm) tellAll(other *vm) (passedOn int) {
	for _, n := range v.TakeNews(v.now, maxContents) {
		other.Merge(other.now, n)
	}
	return len(other.TakeNews(other.now, maxContents))
}

// passNews tells another VM all news, which that VM has then still to tell others.
func (v *vm) passNews(other *vm) {
	for _, n := range v.TakeNews(v.now, maxContents) {
		other.Merge(other.now, n)
	}
}

// Guards against a request that ends one leaf after the other: the fourth leaf must not get it.
func TestFourthLeafDoesNotGetADeadlyRequest(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	for i := range 3 {
		v.Expect(v.allows(Evidence{Sent: i > 0})).NotTo(gomega.BeElementOf(Await, Refuse))
		leaf := fmt.Sprint("leaf-", i)
		v.lose(leaf, v.send(leaf), true)
	}
	v.Expect(v.allows(Evidence{Sent: true})).To(gomega.Equal(Refuse))
	v.wait(firstQuarantine / 2)
	d, left := v.Decide(v.now, deadly, Evidence{})
	v.Expect(d).To(gomega.Equal(Refuse))
	v.Expect(left).To(gomega.BeNumerically("~", firstQuarantine/2, time.Second))
}

// Guards against repeats of a request over many shards that no leaf answers: it is quarantined as soon as
// nothing is in flight.
func TestWaveWithoutAnswerIsNotRepeated(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	v.wave(9)
	v.Expect(v.allows(Evidence{Sent: true, InFlight: true})).To(gomega.Equal(Await))
	v.Expect(v.allows(Evidence{Sent: true, Pending: true})).To(gomega.Equal(Await))
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Await), "another query waits for answers to this one")
	v.Expect(v.allows(lostThree)).To(gomega.Equal(Refuse))
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Refuse))
}

// Guards against taking a request for a deadly one since leafs crash under it that others answer: it stays
// served, first at one leaf, and freely after that leaf has answered.
func TestAnsweredRequestBesideCrashesStaysServed(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	v.wave(9)
	v.Expect(v.allows(Evidence{Sent: true, InFlight: true})).To(gomega.Equal(Await))
	v.Answered(v.now, deadly, "leaf-20", v.now.Add(-time.Second)) // sent before the first crash
	v.Expect(v.allows(Evidence{Sent: true, InFlight: true, Answered: true})).To(gomega.Equal(Trial))
	sent := v.send("leaf-30")
	v.Expect(v.allows(Evidence{Sent: true, InFlight: true, Answered: true})).To(gomega.Equal(Await))
	v.wait(time.Millisecond)
	v.Answered(v.now, deadly, "leaf-30", sent)
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Free))
}

// Guards against a request that ends some leafs and is answered by others: of those that end, one more gets
// it, and not one for each shard.
func TestTrialThatEndsItsLeafIsTheLast(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	v.wave(3)
	v.Answered(v.now, deadly, "leaf-20", v.now.Add(-time.Second))
	v.Expect(v.allows(Evidence{Sent: true, Answered: true})).To(gomega.Equal(Trial))
	sent := v.send("leaf-30")
	v.wait(time.Millisecond)
	v.Lost(v.now, deadly, "leaf-30", sent)
	v.Expect(v.allows(Evidence{Sent: true, Answered: true})).To(gomega.Equal(Await), "its leaf is being checked")
	v.Checked(v.now, deadly, "leaf-30", true)
	v.Expect(v.allows(Evidence{Sent: true, Answered: true})).To(gomega.Equal(Refuse))
}

// Guards against taking cut connections for ended leafs.
func TestCutConnectionsLeadToNoQuarantine(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	for i := range 20 {
		leaf := fmt.Sprint("leaf-", i)
		v.lose(leaf, v.send(leaf), false)
		v.Expect(v.allows(Evidence{Sent: true})).To(gomega.Equal(Free))
	}
}

// Guards against one crash that holds up a request which many clients send.
func TestOneCrashHoldsNothingUp(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	v.wave(1)
	for range 50 {
		v.Expect(v.allows(Evidence{})).To(gomega.Equal(Free))
		v.send("leaf-20")
	}
}

// Guards against crashes far apart that add up, since answers between them are not counted.
func TestAnswersBetweenCrashesCount(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	for i := range 10 {
		leaf := fmt.Sprint("leaf-", i)
		v.lose(leaf, v.send(leaf), true)
		sent := v.send("leaf-20")
		v.wait(time.Millisecond)
		v.Answered(v.now, deadly, "leaf-20", sent)
		v.Expect(v.allows(Evidence{})).To(gomega.Equal(Free))
	}
}

// Guards against a quarantine that never ends, and against one after which all shards get the request at
// once. A further one lasts longer, and an answered trial ends it.
func TestQuarantineEndsWithTrials(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	v.wave(4)
	v.Expect(v.allows(lostThree)).To(gomega.Equal(Refuse))
	for n, length := range []time.Duration{firstQuarantine, 2 * firstQuarantine, 4 * firstQuarantine} {
		v.wait(length + time.Second)
		v.Expect(v.allows(Evidence{})).To(gomega.Equal(Trial))
		leaf := fmt.Sprint("later-", n)
		sent := v.send(leaf)
		v.Expect(v.allows(Evidence{})).To(gomega.Equal(Await))
		v.lose(leaf, sent, true)
		v.Expect(v.allows(Evidence{})).To(gomega.Equal(Refuse))
	}
	v.wait(longestQuarantine)
	sent := v.send("healthy")
	v.wait(time.Millisecond)
	v.Answered(v.now, deadly, "healthy", sent)
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Free))
}

// Guards against a trial at a slow leaf that holds up all others until its time is over.
func TestSlowTrialDoesNotHoldUpOthers(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	v.wave(2)
	v.send("slow")
	v.Expect(v.allows(Evidence{Sent: true})).To(gomega.Equal(Await))
	v.wait(trialPatience)
	v.Expect(v.allows(Evidence{Sent: true})).To(gomega.Equal(Trial))
}

// Guards against a quarantine that holds at one VM only, and against notices that go round for ever.
func TestOtherVMsKeepAQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two, three := newVM(*g), newVM(*g), newVM(*g)
	one.wave(5)
	one.Expect(one.allows(lostThree)).To(gomega.Equal(Refuse))
	news := one.TakeNews(one.now, maxContents)
	g.Expect(news).To(gomega.HaveLen(1))
	g.Expect(two.Merge(two.now, news[0])).To(gomega.BeTrue())
	g.Expect(two.tellAll(three)).To(gomega.Equal(1))
	g.Expect(two.allows(Evidence{})).To(gomega.Equal(Refuse))
	g.Expect(three.allows(Evidence{})).To(gomega.Equal(Refuse))
	g.Expect(two.Merge(two.now, news[0])).To(gomega.BeFalse())
	g.Expect(one.Merge(one.now, news[0])).To(gomega.BeFalse())
}

// Guards against the ends of one content that each VM counts for itself.
func TestEndsOfAllVMsAddUp(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newVM(*g), newVM(*g)
	for _, leaf := range []string{"leaf-0", "leaf-1"} {
		one.lose(leaf, one.send(leaf), true)
		one.Tell(one.now, deadly)
	}
	one.tellAll(two)
	two.wait(time.Second)
	g.Expect(two.allows(Evidence{})).To(gomega.Equal(Trial))
	two.lose("leaf-2", two.send("leaf-2"), true)
	g.Expect(two.allows(Evidence{Sent: true})).To(gomega.Equal(Refuse))
}

// Guards against a VM with older knowledge that brings a lifted quarantine back.
func TestLiftedQuarantineStaysLifted(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newVM(*g), newVM(*g)
	one.wave(5)
	one.allows(lostThree)
	stale := one.Quarantined(one.now, 10)
	g.Expect(stale).To(gomega.HaveLen(1))
	one.tellAll(two)
	g.Expect(two.Lift(two.now, deadly)).To(gomega.BeTrue())
	two.tellAll(one)
	for _, v := range []*vm{one, two} {
		g.Expect(v.allows(Evidence{})).To(gomega.Equal(Free))
		g.Expect(v.Merge(v.now, stale[0])).To(gomega.BeFalse())
		g.Expect(v.allows(Evidence{})).To(gomega.Equal(Free))
	}
	one.wave(5) // ends leafs again
	g.Expect(one.allows(lostThree)).To(gomega.Equal(Refuse))
	one.tellAll(two)
	g.Expect(two.allows(Evidence{})).To(gomega.Equal(Refuse))
}

// Guards against a quarantine of an innocent content by a VM that asked few leafs: answers that another
// VM has end it everywhere.
func TestAnswersElsewhereEndAQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	called, calling := newVM(*g), newVM(*g)
	called.wave(3)
	g.Expect(called.allows(lostThree)).To(gomega.Equal(Refuse))
	called.tellAll(calling)
	g.Expect(calling.allows(Evidence{Answered: true})).To(gomega.Equal(Trial))
	stale := called.Quarantined(called.now, 1)
	for _, n := range calling.TakeNews(calling.now, maxContents) {
		called.Merge(called.now, n)
	}
	g.Expect(called.allows(Evidence{Sent: true})).To(gomega.Equal(Trial))
	calling.Merge(calling.now, stale[0])
	g.Expect(calling.allows(Evidence{})).To(gomega.Equal(Trial))
}

// Guards against memory that grows with contents that differ, and against forgetting quarantines for those.
func TestMemoryIsBoundedWhenEveryRequestDiffers(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	v.wave(5)
	v.allows(lostThree)
	for i := range 5 * maxContents {
		f := FingerprintOf("", "GET", "h", fmt.Sprint("/", i), nil)
		v.wait(time.Microsecond)
		v.Lost(v.now, f, "leaf-x", v.now)
		v.Checked(v.now, f, "leaf-x", true)
		v.Tell(v.now, f)
		v.Merge(v.now, Notice{Content: FingerprintOf("", "GET", "h", fmt.Sprint("/told/", i), nil), Epoch: 1, Ended: []string{"leaf-y"}})
	}
	v.Expect(len(v.entries)).To(gomega.BeNumerically("<=", maxContents))
	v.Expect(len(v.causes)).To(gomega.BeNumerically("<=", maxContents*maxLeafs))
	v.Expect(len(v.news)).To(gomega.BeNumerically("<=", maxContents))
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Refuse))
	v.wait(suspectMemory + time.Second)
	suspect, quarantined := v.Sizes(v.now)
	v.Expect(suspect).To(gomega.Equal(1), "the content that was quarantined is remembered")
	v.Expect(quarantined).To(gomega.BeZero())
}

// Guards against leafs that are remembered for ever since a content ended them once.
func TestForgottenContentsLeaveNoLeafs(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	for range 2 {
		v.wave(5)
		v.Expect(v.allows(lostThree)).To(gomega.Equal(Refuse))
		v.Expect(v.causes).To(gomega.HaveLen(5))
		v.Lift(v.now, deadly)
		v.Expect(v.causes).To(gomega.BeEmpty())
	}
	v.wave(5)
	v.allows(lostThree)
	v.wait(longestQuarantine + quarantineMemory)
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Free))
	v.Expect(v.causes).To(gomega.BeEmpty())
}

// TestGuardInvariants plays one content at one VM in any order of sends, ends and answers. However they fall,
// at most one trial that is not slow is in flight, and a content that ends every leaf ends no more than were
// in flight together, and one for each quarantine.
func TestGuardInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New()
		now := time.Unix(1_000_000, 0)
		type send struct {
			leaf   string
			sentAt time.Time
		}
		var inFlight []send
		ends, mostTogether := 0, 0
		for n := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * time.Millisecond)
			known := Evidence{Sent: n > 0, Lost: ends, InFlight: len(inFlight) > 0}
			if rapid.Bool().Draw(t, "send") || len(inFlight) == 0 {
				d, _ := g.Decide(now, deadly, known)
				if d == Free || d == Trial {
					leaf := fmt.Sprint("leaf-", n)
					g.Sent(now, deadly, leaf, true)
					inFlight = append(inFlight, send{leaf, now})
					mostTogether = max(mostTogether, len(inFlight))
				}
				continue
			}
			s := inFlight[0]
			inFlight = inFlight[1:]
			g.Lost(now, deadly, s.leaf, s.sentAt)
			g.Checked(now, deadly, s.leaf, true)
			ends++
		}
		quarantines := g.Counts().Quarantines
		if ends > max(mostTogether, endsUntilQuarantine)+quarantines+1 {
			t.Fatalf("%d leafs ended; %d were asked together at most, %d quarantines", ends, mostTogether, quarantines)
		}
	})
}

// Guards against notices that VMs send each other for ever, each of which the other takes for news: of more leafs
// than are remembered by name, or of a quarantine that lasts longer by the time that the notice took.
func TestNoticesStopGoingRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		vms := make([]*Guard, rapid.IntRange(2, 5).Draw(t, "vms"))
		for i := range vms {
			vms[i] = New()
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond)
			g, leaf := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")], fmt.Sprint("leaf-", n)
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				g.Answered(now, deadly, leaf, now.Add(-time.Minute))
			case 1:
				g.Lift(now, deadly)
			case 2:
				g.Decide(now, deadly, lostThree)
			case 3:
				g.Served(now, deadly)
			default:
				g.Sent(now, deadly, leaf, true)
				g.Lost(now, deadly, leaf, now)
				g.Checked(now, deadly, leaf, true)
				g.Tell(now, deadly)
			}
		}
		for range 20 * len(vms) {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay")) * time.Millisecond)
			quiet := true
			for _, from := range vms {
				for _, notice := range from.TakeNews(now, maxContents) {
					quiet = false
					for _, to := range vms {
						if to != from {
							to.Merge(now.Add(3*time.Second), notice)
						}
					}
				}
			}
			if quiet {
				return
			}
		}
		t.Fatalf("VMs still tell each other: %+v", vms[0].Contents(now))
	})
}

// Guards against ends that all VMs hear of while each keeps its answers to itself: a content that many clients
// send would be taken for a deadly one beside leafs that crash.
func TestAnswersAreToldLikeEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newVM(*g), newVM(*g)
	for i := range 10 {
		leaf := fmt.Sprint("leaf-", i)
		one.lose(leaf, one.send(leaf), true)
		one.Tell(one.now, deadly)
		one.tellAll(two)
		sent := one.send("leaf-20")
		one.wait(time.Millisecond)
		one.Answered(one.now, deadly, "leaf-20", sent)
		one.tellAll(two)
		g.Expect(two.allows(Evidence{Sent: true, Lost: 1})).To(gomega.Equal(Free))
	}
}

// Guards against one more leaf that ends at each VM which has only been told of three ends.
func TestThreeEndsElsewhereAreTheLast(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newVM(*g), newVM(*g)
	one.wave(3)
	one.Tell(one.now, deadly)
	one.tellAll(two)
	g.Expect(two.allows(Evidence{})).To(gomega.Equal(Await))
	two.wait(settleTime)
	g.Expect(two.allows(Evidence{})).To(gomega.Equal(Refuse))
	g.Expect(two.allows(Evidence{Sent: true, Lost: 1})).To(gomega.Equal(Refuse))
}

// Guards against a request that is taken for a deadly one since it was at work on leafs that others ended.
func TestLeafsThatOthersEndedDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVM(*g)
	loseBoth := func(leaf, killer string) {
		f := FingerprintOf("", "GET", "h", killer, nil)
		sentAt := v.now
		v.Sent(v.now, f, leaf, true)
		v.Sent(v.now, innocent, leaf, true)
		v.wait(time.Millisecond)
		for _, content := range []Fingerprint{innocent, f} {
			v.Lost(v.now, content, leaf, sentAt)
			v.Checked(v.now, content, leaf, true)
		}
	}
	for n := range 3 {
		killer := fmt.Sprint("/deadly-", n)
		for i := range 2 {
			leaf := fmt.Sprint(killer, i)
			f := FingerprintOf("", "GET", "h", killer, nil)
			v.Sent(v.now, f, leaf, true)
			v.Lost(v.now, f, leaf, v.now)
			v.Checked(v.now, f, leaf, true)
			v.wait(time.Millisecond)
		}
		loseBoth(fmt.Sprint("shared-", n), killer)
		d, _ := v.Decide(v.now, FingerprintOf("", "GET", "h", killer, nil), Evidence{})
		g.Expect(d).To(gomega.Equal(Refuse), killer)
	}
	d, _ := v.Decide(v.now, innocent, Evidence{Sent: true, Lost: 1})
	g.Expect(d).To(gomega.Equal(Free))
}

// Guards against two contents that were always at work on the same leafs clearing each other.
func TestContentsWithTheSameEndsDoNotExplainEachOther(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVM(*g)
	other := FingerprintOf("", "GET", "h", "/other", nil)
	for i := range 4 {
		leaf := fmt.Sprint("leaf-", i)
		for _, f := range []Fingerprint{deadly, other} {
			v.Lost(v.now, f, leaf, v.now)
			v.Checked(v.now, f, leaf, true)
		}
	}
	for range 2 {
		for _, f := range []Fingerprint{deadly, other} {
			d, _ := v.Decide(v.now, f, lostThree)
			g.Expect(d).To(gomega.Equal(Refuse))
		}
	}
}

// Guards against a fourth leaf that ends under a content since it was served before, at this VM or at one that is told.
func TestServedContentEndsNoFourthLeaf(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newVM(*g), newVM(*g)
	for _, v := range []*vm{one, two} {
		v.Served(v.now, deadly)
	}
	for i := range endsUntilQuarantine {
		one.Expect(one.allows(Evidence{Sent: i > 0, Lost: min(i, 1)})).NotTo(gomega.BeElementOf(Await, Refuse), "after %d ends", i)
		leaf := fmt.Sprint("leaf-", i)
		one.lose(leaf, one.send(leaf), true)
		one.Tell(one.now, deadly)
	}
	one.tellAll(two)
	for range 20 {
		for _, v := range []*vm{one, two} {
			g.Expect(v.allows(Evidence{Sent: true, Lost: 1})).To(gomega.Equal(Refuse))
			g.Expect(v.allows(Evidence{})).To(gomega.BeElementOf(Await, Refuse))
			v.wait(settleTime / 5)
		}
		one.tellAll(two)
		two.tellAll(one)
	}
}

// innocent is a content that ends no leaf.
var innocent = FingerprintOf("", "GET", "h", "/innocent", nil)

// endBoth ends leafs under the deadly content while they are at work on the innocent one, and quarantines the former.
func (v *vm) endBoth(leafs ...string) {
	for _, leaf := range leafs {
		for _, f := range []Fingerprint{innocent, deadly} {
			v.Lost(v.now, f, leaf, v.now)
			v.Checked(v.now, f, leaf, true)
		}
	}
	v.Expect(v.allows(Evidence{Sent: true, Lost: len(leafs)})).To(gomega.Equal(Refuse))
}

// allowsInnocent returns what is allowed for the innocent content.
func (v *vm) allowsInnocent(known Evidence) Decision {
	d, _ := v.Decide(v.now, innocent, known)
	return d
}

// Guards against a served content being taken for the cause since it was at work on just the leafs that a deadly one
// ended, and on one more as that ended.
func TestServedContentIsNotBlamedForTheWaveOfAnother(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	v.Served(v.now, innocent)
	wave := []string{"leaf-0", "leaf-1", "leaf-2", "leaf-3", "leaf-4", "leaf-5", "leaf-6", "leaf-7", "leaf-8", "leaf-9"}
	v.endBoth(wave...)
	v.Expect(v.allowsInnocent(Evidence{Sent: true, Lost: len(wave)})).To(gomega.Equal(Free))
	v.Sent(v.now, innocent, "leaf-10", true)
	v.Lost(v.now, innocent, "leaf-10", v.now)
	v.Checked(v.now, innocent, "leaf-10", true) // this VM is told later that the deadly content has ended it
	v.Expect(v.allowsInnocent(Evidence{})).To(gomega.Equal(Free))
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Refuse))
}

// Guards against a VM that has just started, and knows of no answer, having other VMs refuse a content that they serve.
func TestStartedVMDoesNotQuarantineWhatOthersServe(t *testing.T) {
	g := gomega.NewWithT(t)
	started, other := newVM(*g), newVM(*g)
	other.Served(other.now, innocent)
	started.endBoth("leaf-0", "leaf-1", "leaf-2", "leaf-3")
	g.Expect(started.allowsInnocent(lostThree)).To(gomega.Equal(Refuse), "it can't tell the two contents apart")
	started.passNews(other)
	g.Expect(other.allowsInnocent(Evidence{})).To(gomega.Equal(Free))
	g.Expect(other.allows(Evidence{})).To(gomega.Equal(Refuse))
	other.passNews(started)
	g.Expect(started.allowsInnocent(Evidence{})).To(gomega.Equal(Free))
	g.Expect(started.allows(Evidence{})).To(gomega.Equal(Refuse))
}

// Guards against a VM that has just started refusing a content that others serve, which were suspicious of it and
// have cleared it, or are again, while that VM was not there.
func TestStartedVMHearsFromVMsThatHaveClearedTheContent(t *testing.T) {
	for _, again := range []bool{false, true} {
		g := gomega.NewWithT(t)
		started, other := newVM(*g), newVM(*g)
		for range 3 {
			other.Served(other.now, innocent)
			other.Lost(other.now, innocent, "leaf-x", other.now)
			other.Checked(other.now, innocent, "leaf-x", true)
			other.Lift(other.now, innocent)
		}
		if again {
			other.Lost(other.now, innocent, "leaf-y", other.now)
			other.Checked(other.now, innocent, "leaf-y", true)
		}
		other.TakeNews(other.now, maxContents)
		started.endBoth("leaf-0", "leaf-1", "leaf-2", "leaf-3")
		g.Expect(started.allowsInnocent(lostThree)).To(gomega.Equal(Refuse))
		started.passNews(other)
		other.passNews(started)
		g.Expect(started.allowsInnocent(Evidence{})).To(gomega.Equal(Free))
		g.Expect(other.allowsInnocent(Evidence{})).To(gomega.Equal(Free))
	}
}

// Guards against a late notice from before a quarantine was lifted bringing it back.
func TestLateNoticeBringsNoLiftedQuarantineBack(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newVM(*g), newVM(*g)
	one.wave(4)
	g.Expect(one.allows(lostThree)).To(gomega.Equal(Refuse))
	late, _ := one.Notice(one.now, deadly)
	two.Merge(two.now, late)
	g.Expect(two.allows(Evidence{})).To(gomega.Equal(Refuse))
	two.Lift(two.now, deadly)
	two.Merge(two.now, late)
	g.Expect(two.allows(Evidence{})).To(gomega.Equal(Free))
	two.Served(two.now, deadly)
	two.Merge(two.now, late)
	two.wait(settleTime)
	g.Expect(two.allows(Evidence{})).To(gomega.Equal(Trial))
}

// Guards against ends of which one VM knows the cause counting at another one that doesn't.
func TestExplainedEndsAreNotTold(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newVM(*g), newVM(*g)
	one.Served(one.now, innocent)
	one.endBoth("leaf-0", "leaf-1", "leaf-2", "leaf-3", "leaf-4")
	one.Lost(one.now, innocent, "leaf-x", one.now)
	one.Checked(one.now, innocent, "leaf-x", true)
	n, _ := one.Notice(one.now, innocent)
	g.Expect(n.Ended).To(gomega.Equal([]string{"leaf-x"}))
	two.Merge(two.now, n)
	g.Expect(two.allowsInnocent(Evidence{})).To(gomega.Equal(Free))
}

// Guards against a trial whose leaf another content has ended counting as one that shows who is to blame.
func TestTrialAtALeafThatAnotherContentEndedShowsNothing(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	v.wave(4)
	v.Expect(v.allows(lostThree)).To(gomega.Equal(Refuse))
	for i := range 3 {
		leaf := fmt.Sprint("other-", i)
		v.Lost(v.now, innocent, leaf, v.now)
		v.Checked(v.now, innocent, leaf, true)
	}
	v.Answered(v.now, innocent, "other-9", v.now.Add(-time.Second))
	v.Expect(v.allowsInnocent(Evidence{Answered: true})).To(gomega.Equal(Trial))
	v.Sent(v.now, innocent, "shared", true)
	for _, f := range []Fingerprint{deadly, innocent} {
		v.Lost(v.now, f, "shared", v.now)
		v.Checked(v.now, f, "shared", true)
	}
	v.Expect(v.allowsInnocent(Evidence{Answered: true})).To(gomega.Equal(Trial))
	v.Sent(v.now, innocent, "other-4", true)
	v.Lost(v.now, innocent, "other-4", v.now)
	v.Checked(v.now, innocent, "other-4", true)
	v.Expect(v.allowsInnocent(Evidence{Answered: true})).To(gomega.Equal(Refuse), "it has ended the leaf of a trial itself")
}

// Guards against a content that was served before leafs began to end under it going on to end leafs beside another one.
func TestServedContentThatEndsLeafsItselfIsQuarantined(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	v.Served(v.now, innocent)
	v.endBoth("leaf-0", "leaf-1", "leaf-2")
	for i := range endsUntilQuarantine {
		v.Expect(v.allowsInnocent(Evidence{Sent: true, Lost: 1})).NotTo(gomega.BeElementOf(Await, Refuse), "after %d ends", i)
		leaf := fmt.Sprint("own-", i)
		v.Sent(v.now, innocent, leaf, true)
		v.Lost(v.now, innocent, leaf, v.now)
		v.Checked(v.now, innocent, leaf, true)
	}
	for range 10 {
		v.Expect(v.allowsInnocent(Evidence{Sent: true, Lost: 1})).To(gomega.Equal(Refuse))
		v.wait(settleTime / 10)
	}
	v.Expect(v.allowsInnocent(Evidence{Sent: true, Lost: 1})).To(gomega.Equal(Refuse))
}

// Guards against a served content being quarantined just before another VM tells of the content that has ended its leafs.
func TestVerdictOnAServedContentWaitsForNews(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newVM(*g), newVM(*g)
	one.Served(one.now, innocent)
	for i := range endsUntilQuarantine {
		leaf := fmt.Sprint("leaf-", i)
		one.Sent(one.now, innocent, leaf, true)
		one.Lost(one.now, innocent, leaf, one.now)
		one.Checked(one.now, innocent, leaf, true)
	}
	decision, left := one.Decide(one.now, innocent, Evidence{Sent: true, Lost: 1})
	g.Expect(decision).To(gomega.Equal(Refuse))
	g.Expect(left).To(gomega.Equal(settleTime))
	two.wave(endsUntilQuarantine)
	g.Expect(two.allows(lostThree)).To(gomega.Equal(Refuse))
	two.passNews(one)
	one.wait(settleTime)
	g.Expect(one.allowsInnocent(Evidence{})).To(gomega.Equal(Free))
	g.Expect(one.allows(Evidence{})).To(gomega.Equal(Refuse))
}
