package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// leaf returns the incarnation of a leaf that started at born, in Unix milliseconds.
func leaf(id string, born int64) Leaf {
	return Leaf{ID: id, Born: born, Service: "s", Address: "127.0.0.1:1", Slots: 2}
}

// Guards against a VM that drops all leafs and refuses all callers after an outage of the
// store. The store has recovered and lists nothing, since every entry has expired. A leaf
// that is listed again yields no change; one that stays missing is removed after the hold.
func TestMissingLeafsAreHeldAfterAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	r := New()
	r.Replace(now, []Leaf{leaf("a", 1), leaf("b", 1)})
	until := r.StoreRecovered(now, OutageHold)
	g.Expect(r.Replace(now, nil)).To(gomega.BeEmpty())
	g.Expect(r.Put(leaf("a", 1))).To(gomega.BeEmpty())
	g.Expect(r.ExpireHeld(until.Add(-time.Millisecond))).To(gomega.BeEmpty())
	g.Expect(r.ExpireHeld(until)).To(gomega.Equal([]Change{{Leaf: leaf("b", 1), Gone: true}}))
	g.Expect(r.Len()).To(gomega.Equal(1))
}

// Guards against requests to a leaf that has left. A draining leaf that goes missing just
// after an outage of the store must be removed at once, not held like other leafs.
func TestDrainingLeafIsNotHeld(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	r := New()
	l := leaf("a", 1)
	l.Draining = true
	r.Replace(now, []Leaf{l})
	r.StoreRecovered(now, OutageHold)
	g.Expect(r.Replace(now, nil)).To(gomega.Equal([]Change{{Leaf: l, Gone: true}}))
}

// Guards against a missing leaf that is held although the store had no outage, and against
// a second Change for the same removal.
func TestMissingLeafIsRemovedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	r := New()
	r.Replace(now, []Leaf{leaf("a", 1)})
	g.Expect(r.Remove(now, "a")).To(gomega.HaveLen(1))
	g.Expect(r.Remove(now, "a")).To(gomega.BeEmpty())
}

// Guards against a delayed entry of a leaf's earlier incarnation that replaces the current
// one, and against a Change for an entry that is already known.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New()
	g.Expect(r.Put(leaf("a", 2))).To(gomega.HaveLen(1))
	g.Expect(r.Put(leaf("a", 2))).To(gomega.BeEmpty())
	g.Expect(r.Put(leaf("a", 1))).To(gomega.BeEmpty())
	g.Expect(r.Put(leaf("a", 3))).To(gomega.HaveLen(1))
}
