package scatter

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// Guards against answers that lack a shard although one of its leafs could answer. The others are
// unreachable or slow, and the called VM is restricted to the common leafs: those that both VMs may
// use, computed from the request's id. The called VM must use one other leaf, and no second one, so
// that both VMs together use no more leafs than the request allows.
func TestCalledVMUsesTheLeafThatAnswers(t *testing.T) {
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
		spec.Views = w.viewsOf(spec)
		q := NewQuery(spec, w.table)
		first := sends(q.Start(w.now))
		w.Expect(first).To(gomega.HaveLen(1))
		w.Expect(first[0].Leaf).To(gomega.Equal(good))

		// For further attempts it uses only leafs that the calling VM may use too.
		w.wait(5 * time.Millisecond)
		common := w.table.commonLeafs("shard", "other", spec.RequestID, spec.MaxAttempts)
		w.Expect(common).To(gomega.HaveLen(spec.MaxAttempts - 1))
		for _, s := range sends(q.Fail(w.now, first[0].Attempt, EndBroken)) {
			w.Expect(common).To(gomega.ContainElement(s.Leaf))
		}
	}
}

// Guards against losing a shard because the leaf that the called VM chose refuses, is unreachable,
// or has lost its address to another leaf. That leaf runs nothing, so another may be chosen.
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
		spec.Views = w.viewsOf(spec)
		q := NewQuery(spec, w.table)
		first := sends(q.Start(w.now))[0]
		w.table.AttemptEnded(w.now, first.Leaf, first.SentAt, end)
		second := sends(q.Fail(w.now, first.Attempt, end))
		w.Expect(second).To(gomega.HaveLen(1))
		w.Expect(second[0].Leaf).NotTo(gomega.Equal(first.Leaf))
		w.Expect(second[0].Leaf.ID).NotTo(gomega.Equal("shard@other"))
	}
}

// Guards against more leafs working on a shard than a request allows, during a rolling upgrade. A
// VM of the old release computes by another rule which leafs both VMs may use. The two VMs must not
// regard each other's view, a hash of the leafs that they know, as equal to their own.
func TestVMsOfTwoReleasesDeclineEachOthersShards(t *testing.T) {
	w := newWorld(t)
	id := w.leaf("shard", homeZone)
	spec := w.gathered([]string{"shard"})
	spec.Delegated = true
	oldView := View(xxhash.Sum64String(id.ID + "/1")) // the view of the release before viewVersion
	spec.Views = []View{oldView}
	q := NewQuery(spec, w.table)
	w.Expect(sends(q.Start(w.now))).To(gomega.BeEmpty())
	w.Expect(q.Declined()).To(gomega.Equal([]int{0}))
}

// Guards against direct requests for a hundred shards, by a VM that owns no leafs, whenever leafs
// elsewhere come and go and the two VMs hear of it at different times. Only a change of the leafs
// that both may use matters.
func TestShardsAreDeclinedOnlyIfTheCommonLeafsDiffer(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(10, homeZone, "a", "b"))
	spec.Delegated, spec.RequestID = true, "request"
	spec.Views = w.viewsOf(spec)
	for i, service := range spec.Services {
		if i < 6 { // a leaf of another zone is gone, or has come
			w.table.Apply(w.now, registry.Change{Gone: true, Leaf: registry.Leaf{ID: service + "@a", Born: 1, Service: service}})
			w.leaf(service, "c")
		} else { // the leaf of the called VM's zone is gone
			w.table.Apply(w.now, registry.Change{Gone: true, Leaf: registry.Leaf{ID: service + "@" + homeZone, Born: 1, Service: service}})
		}
	}
	q := NewQuery(spec, w.table)
	w.Expect(sends(q.Start(w.now))).To(gomega.HaveLen(6))
	w.Expect(q.Declined()).To(gomega.Equal([]int{6, 7, 8, 9}))
}
