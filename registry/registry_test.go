package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func leaf(id string, born int64) Leaf {
	return Leaf{ID: id, Born: born, Service: "s", Address: "127.0.0.1:1", Slots: 2}
}

// The store comes back from an outage and lists nothing, since every entry lapsed. A VM
// that believed it would refuse all callers. Leafs that come back were never away; one
// that stays missing is gone.
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

// A leaf that said it leaves is not held: it must get no more requests.
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

// Without an outage a leaf that is missing is gone at once.
func TestMissingLeafIsRemovedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	r := New()
	r.Replace(now, []Leaf{leaf("a", 1)})
	g.Expect(r.Remove(now, "a")).To(gomega.HaveLen(1))
	g.Expect(r.Remove(now, "a")).To(gomega.BeEmpty())
}

// A late word of a leaf's earlier life must not replace its present one, nor is a word
// that says nothing new a change.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New()
	g.Expect(r.Put(leaf("a", 2))).To(gomega.HaveLen(1))
	g.Expect(r.Put(leaf("a", 2))).To(gomega.BeEmpty())
	g.Expect(r.Put(leaf("a", 1))).To(gomega.BeEmpty())
	g.Expect(r.Put(leaf("a", 3))).To(gomega.HaveLen(1))
}
