package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func leaf(id string, born int64) Leaf {
	return Leaf{ID: id, Born: born, Service: "s", Address: "127.0.0.1:1", Slots: 2}
}

// The store recovers from an outage and lists nothing, since every entry has expired. A
// VM that dropped all leafs would refuse all callers. A leaf that is listed again yields
// no change; one that stays missing is removed after the hold.
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

// A draining leaf that goes missing is not held: it must get no more requests.
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

// Without an outage a missing leaf is removed at once, and only once.
func TestMissingLeafIsRemovedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	r := New()
	r.Replace(now, []Leaf{leaf("a", 1)})
	g.Expect(r.Remove(now, "a")).To(gomega.HaveLen(1))
	g.Expect(r.Remove(now, "a")).To(gomega.BeEmpty())
}

// A delayed entry of a leaf's earlier incarnation must not replace the current one, and
// an entry that is already known is no change.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New()
	g.Expect(r.Put(leaf("a", 2))).To(gomega.HaveLen(1))
	g.Expect(r.Put(leaf("a", 2))).To(gomega.BeEmpty())
	g.Expect(r.Put(leaf("a", 1))).To(gomega.BeEmpty())
	g.Expect(r.Put(leaf("a", 3))).To(gomega.HaveLen(1))
}
