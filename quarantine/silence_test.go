package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// late is how long after a send the tests record that it has no answer.
const late = 50 * time.Millisecond

// silence sends a content to a leaf of a zone, which says nothing. The attempt is given up if expired.
func (v *vm) silence(f Fingerprint, leaf, zone string, expired bool) {
	s := Silence{Leaf: leaf, Zone: zone, SentAt: v.now}
	v.wait(late)
	v.Late(v.now, f, s)
	if expired {
		v.wait(time.Second)
		v.GivenUp(v.now, f, s, false)
	}
}

// Guards against a fourth leaf that falls silent under a content.
func TestFourthLeafDoesNotGetASilencingRequest(t *testing.T) {
	for _, expired := range []bool{false, true} {
		v := newVM(*gomega.NewWithT(t))
		for i := range endsUntilQuarantine {
			v.Expect(v.allows(Evidence{})).NotTo(gomega.BeElementOf(Await, Refuse))
			v.silence(deadly, fmt.Sprint("leaf-", i), "a", expired)
		}
		v.Expect(v.allows(Evidence{Sent: true})).To(gomega.BeElementOf(Await, Refuse))
		v.wait(settleTime)
		v.Expect(v.allows(Evidence{})).To(gomega.Equal(Refuse))
	}
}

// Guards against a content that is refused for good since nothing else shows that its leafs answer again: after a while one
// silent leaf gets it, and no further one.
func TestSilentLeafGetsATrial(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	for i := range endsUntilQuarantine {
		v.silence(deadly, fmt.Sprint("leaf-", i), "a", false)
	}
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Refuse))
	v.wait(silenceQuarantine)
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Trial))
	v.Expect(v.LongSilent(v.now, deadly)).To(gomega.HaveLen(endsUntilQuarantine))
	sent := v.send("leaf-0")
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Await))
	v.wait(time.Second)
	v.Expect(v.allows(Evidence{})).To(gomega.BeElementOf(Await, Refuse))
	v.Answered(v.now, deadly, "leaf-0", sent)
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Free))
}

// Guards against each VM counting silences for itself.
func TestSilencesOfAllVMsAddUp(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newVM(*g), newVM(*g)
	one.silence(deadly, "leaf-0", "a", false)
	one.silence(deadly, "leaf-1", "a", false)
	two.now = one.now
	one.Tell(one.now, deadly)
	one.tellAll(two)
	two.silence(deadly, "leaf-2", "a", false)
	g.Expect(two.allows(Evidence{})).To(gomega.Equal(Refuse))
}

// Guards against a request that is refused since its leafs were slow or paused: they answer it late, or others.
func TestLeafsThatAnswerLaterWereNotLost(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	sentAt := v.now
	for i := range 4 {
		v.silence(deadly, fmt.Sprint("leaf-", i), "a", true)
	}
	v.Expect(v.allows(Evidence{Sent: true})).To(gomega.Equal(Refuse))
	for i := range 3 {
		v.wait(time.Millisecond)
		v.Alive(v.now, fmt.Sprint("leaf-", i), v.now)
	}
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Free))

	v = newVM(*gomega.NewWithT(t))
	for i := range 4 {
		v.silence(deadly, fmt.Sprint("leaf-", i), "a", false)
	}
	v.Answered(v.now, deadly, "leaf-0", sentAt)
	v.Expect(v.allows(Evidence{})).NotTo(gomega.BeElementOf(Await, Refuse))
}

// Guards against a leaf that counts as lost although it answers other requests all the time.
func TestBusyLeafIsNotSilent(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	for i := range 5 {
		leaf := fmt.Sprint("leaf-", i)
		s := Silence{Leaf: leaf, Zone: "a", SentAt: v.now}
		v.wait(time.Second)
		v.Alive(v.now, leaf, v.now.Add(-time.Millisecond))
		v.Late(v.now, deadly, s)
		v.GivenUp(v.now, deadly, s, false)
	}
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Free))
}

// Guards against refusing what was in flight to a zone as it was cut off, or as its leafs went dark.
func TestSilencesInACutOffZoneAreNoEvidence(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	for i := range 3 {
		v.silence(deadly, fmt.Sprint("leaf-", i), "a", true)
	}
	v.Expect(v.allows(Evidence{Sent: true})).To(gomega.Equal(Refuse))
	v.Lift(v.now, deadly)
	for i := range 3 {
		v.silence(deadly, fmt.Sprint("leaf-", i), "a", false)
	}
	for i := range disruptedLeafs {
		answered := Silence{Leaf: fmt.Sprint("other-", i), Zone: "a", SentAt: v.now.Add(-time.Second)}
		v.GivenUp(v.now, innocent, answered, true)
	}
	v.Expect(v.allows(Evidence{})).To(gomega.Equal(Trial))
}

// Guards against blaming a content for leafs that were silent before it was sent there.
func TestLeafsThatWereSilentBeforeDoNotCount(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	for i := range 3 {
		v.silence(deadly, fmt.Sprint("leaf-", i), "a", true)
	}
	v.Expect(v.allows(Evidence{Sent: true})).To(gomega.Equal(Refuse))
	for i := range 3 {
		v.silence(innocent, fmt.Sprint("leaf-", i), "a", true)
	}
	v.Expect(v.allowsInnocent(Evidence{})).To(gomega.Equal(Free))
}

// Guards against a VM that was cut off itself, and whose notices have other VMs refuse what they serve.
func TestSilencesThatAnotherVMKnowsBetterAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	cut, sound := newVM(*g), newVM(*g)
	for i := range 3 {
		cut.silence(deadly, fmt.Sprint("leaf-", i), "a", true)
	}
	sound.now = cut.now
	for i := range 3 {
		sound.Alive(sound.now, fmt.Sprint("leaf-", i), sound.now)
	}
	cut.allows(Evidence{Sent: true})
	cut.passNews(sound)
	g.Expect(sound.allows(Evidence{})).NotTo(gomega.BeElementOf(Await, Refuse))
}

// Guards against memory that grows with leafs that come and go.
func TestAliveAndDisruptedLeafsAreBounded(t *testing.T) {
	v := newVM(*gomega.NewWithT(t))
	for i := range 2 * maxAliveLeafs {
		v.wait(time.Millisecond)
		v.Alive(v.now, fmt.Sprint("leaf-", i), v.now)
		v.Unreachable(v.now, fmt.Sprint("dark-", i), "a")
	}
	v.Expect(len(v.alive)).To(gomega.BeNumerically("<=", maxAliveLeafs))
	v.Expect(len(v.disrupted)).To(gomega.BeNumerically("<=", maxDisruptedLeafs))
}
