package scatter

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"
)

// Two leafs of three are dark or slow, and answers lack their shard though the third would
// do: the VM that was called was held to two leafs by the request's id. It asks the third,
// and no fourth; what the other VM may ask stays within what the request allows.
func TestCalledVMAsksTheLeafThatAnswers(t *testing.T) {
	for i := range 40 {
		w := newWorld(t)
		w.becomeVM("vm-other", "other", ampleBudget)
		w.leaf("shard", "other")
		w.leaf("shard", "third")
		good := w.leaf("shard", "fourth")
		w.leaf("shard", "fifth")
		for _, zone := range []string{"other", "third", "fifth"} {
			w.table.AttemptEnded(w.now, LeafID{ID: "shard@" + zone, Born: 1}, w.now, EndUnreachable)
		}
		spec := w.gathered([]string{"shard"})
		spec.Delegated, spec.RequestID = true, fmt.Sprintf("%016x", i)
		spec.Views = []View{w.table.View("shard")}
		q := NewQuery(spec, w.table)
		first := sends(q.Start(w.now))
		w.Expect(first).To(gomega.HaveLen(1))
		w.Expect(first[0].Leaf).To(gomega.Equal(good))

		// What it asks besides is what the other VM may ask too.
		w.wait(5 * time.Millisecond)
		common := w.table.commonLeafs("shard", "other", spec.RequestID, spec.MaxAttempts)
		w.Expect(common).To(gomega.HaveLen(spec.MaxAttempts - 1))
		for _, s := range sends(q.Fail(w.now, first[0].Attempt, EndBroken)) {
			w.Expect(common).To(gomega.ContainElement(s.Leaf))
		}
	}
}

// The leaf that was chosen refuses, or cannot be reached: it runs nothing, and another may be
// chosen in its place.
func TestCalledVMChoosesAgainAfterARefusal(t *testing.T) {
	for _, end := range []End{EndRefused, EndUnreachable, EndMoved} {
		w := newWorld(t)
		w.becomeVM("vm-other", "other", ampleBudget)
		for _, zone := range []string{"other", "third", "fourth"} {
			w.leaf("shard", zone)
		}
		w.table.AttemptEnded(w.now, LeafID{ID: "shard@other", Born: 1}, w.now, EndUnreachable)
		spec := w.gathered([]string{"shard"})
		spec.Delegated, spec.RequestID = true, "a"
		spec.Views = []View{w.table.View("shard")}
		q := NewQuery(spec, w.table)
		first := sends(q.Start(w.now))[0]
		w.table.AttemptEnded(w.now, first.Leaf, first.SentAt, end)
		second := sends(q.Fail(w.now, first.Attempt, end))
		w.Expect(second).To(gomega.HaveLen(1))
		w.Expect(second[0].Leaf).NotTo(gomega.Equal(first.Leaf))
		w.Expect(second[0].Leaf.ID).NotTo(gomega.Equal("shard@other"))
	}
}

// VMs are replaced by a new release one after another. A VM of the old one reckons other
// leafs that both may ask; the two must not take each other's view for their own.
func TestVMsOfTwoReleasesDeclineEachOthersShards(t *testing.T) {
	w := newWorld(t)
	id := w.leaf("shard", homeZone)
	spec := w.gathered([]string{"shard"})
	spec.Delegated = true
	former := View(xxhash.Sum64String(id.ID + "/1")) // the view of the release before forms
	spec.Views = []View{former}
	q := NewQuery(spec, w.table)
	w.Expect(sends(q.Start(w.now))).To(gomega.BeEmpty())
	w.Expect(q.Declined()).To(gomega.Equal([]int{0}))
}
