package rollout

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// TestRandomChangesMatchModel applies random rollouts, recalls and sign-offs and
// compares each entry with a model that keeps the whole history. A recalled bundle
// must never come back without a newer sign-off, although a head lists only the
// last MaxRecalls recalls. A recall must fall back to the latest bundle that is
// not recalled.
func TestRandomChangesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digests := rapid.IntRange(2, 60).Draw(t, "digests")
		var head *Head
		recalled := map[string]uint64{} // revision of each bundle's last recall
		signed := map[string]uint64{}   // revision at each bundle's last sign-off
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			d := fmt.Sprint("d", rapid.IntRange(1, digests).Draw(t, "digest"))
			if rapid.Bool().Draw(t, "sign") && head != nil {
				signed[d] = head.Entry.Revision
			}
			next, err := applyChange(head, d, signed, rapid.Bool().Draw(t, "recall"))
			if err != nil {
				continue
			}
			checkEntry(t, head, next, recalled, signed)
			if next.Action == ActionRecall {
				recalled[d] = next.Revision
			}
			head = &Head{Entry: next, Hash: fmt.Sprint(next.Revision)}
		}
	})
}

// applyChange returns the entry that follows head and rolls out or, if recall is set,
// recalls the bundle with digest d. signed holds the revision that was in force at
// each bundle's last sign-off.
func applyChange(head *Head, d string, signed map[string]uint64, recall bool) (Entry, error) {
	if !recall {
		return NextRollout("vatnsleit", head, Change{}, Approved{Digest: d, After: signed[d]})
	}
	var fallback *Approved
	if head != nil && head.Entry.Digest == d {
		if past := Fallbacks(head, d); len(past) > 0 {
			fallback = &Approved{Digest: past[0].Digest, After: signed[past[0].Digest]}
		}
	}
	return NextRecall(head, Change{}, d, fallback)
}

// checkEntry compares the entry e, which follows head, with the model. recalled holds
// the revision of each bundle's last recall, and signed the revision that was in force
// at each bundle's last sign-off.
func checkEntry(t *rapid.T, head *Head, e Entry, recalled, signed map[string]uint64) {
	g := NewWithT(t)
	before := uint64(0)
	if head != nil {
		before = head.Entry.Revision
		g.Expect(e.Before).To(Equal(head.Entry.Digest))
		g.Expect(e.Prev).To(Equal(head.Hash))
	}
	g.Expect(e.Revision).To(Equal(before + 1))
	g.Expect(signed[e.Digest]).To(BeNumerically(">=", recalled[e.Digest]), "%s was recalled", e.Digest)
	g.Expect(e.Digest).NotTo(Equal(e.Recalled))
	g.Expect(len(e.History)).To(BeNumerically("<=", MaxHistory))
	g.Expect(len(e.Recalls)).To(BeNumerically("<=", MaxRecalls))
	seen := map[string]bool{e.Digest: true, e.Recalled: true}
	for _, p := range e.History {
		g.Expect(seen[p.Digest]).To(BeFalse(), "%s is listed twice, is in force or was recalled", p.Digest)
		g.Expect(recalled[p.Digest]).To(BeNumerically("<", p.Revision))
		seen[p.Digest] = true
	}
}

// More bundles are recalled than a head lists. Then the first of them is rolled
// out again with its old sign-off. This rollout must be refused, although the head no
// longer lists the bundle's recall, or a faulty bundle would come back. With a newer
// sign-off, the rollout must be accepted.
func TestRecallNoLongerListedStillBlocksRollout(t *testing.T) {
	g := NewWithT(t)
	first, err := NextRollout("vatnsleit", nil, Change{}, Approved{Digest: "good"})
	g.Expect(err).NotTo(HaveOccurred())
	head := &Head{Entry: first}
	for i := range MaxRecalls + 1 {
		e, err := NextRecall(head, Change{}, fmt.Sprint("bad", i), nil)
		g.Expect(err).NotTo(HaveOccurred())
		head = &Head{Entry: e}
	}
	_, err = NextRollout("vatnsleit", head, Change{}, Approved{Digest: "bad0", After: 1})
	g.Expect(result.CodeOf(err)).To(Equal(result.Recalled))
	_, err = NextRollout("vatnsleit", head, Change{}, Approved{Digest: "bad0", After: head.Entry.Revision})
	g.Expect(err).NotTo(HaveOccurred())
}

// A recall of the only bundle would leave VMs without a bundle. It must be refused,
// and so must a recall before the first rollout.
func TestRecallWithoutEarlierBundleIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := NextRecall(nil, Change{}, "d1", nil)
	g.Expect(result.CodeOf(err)).To(Equal(result.NothingBefore))
	first, err := NextRollout("vatnsleit", nil, Change{}, Approved{Digest: "d1"})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = NextRecall(&Head{Entry: first}, Change{}, "d1", nil)
	g.Expect(result.CodeOf(err)).To(Equal(result.NothingBefore))
}

// An operator resumes an operation with a mistyped id. A malformed id must be refused
// with BadRequest.
func TestMalformedOperationIDIsRefused(t *testing.T) {
	g := NewWithT(t)
	op, err := NewOpID(7)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(op.Revision()).To(Equal(uint64(7)))
	for _, bad := range []OpID{"", "7", "0-0123456789abcdef", "x-0123456789abcdef", "7-01"} {
		_, err := bad.Revision()
		g.Expect(result.CodeOf(err)).To(Equal(result.BadRequest), "%q", bad)
	}
}
