package edge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against bounds that are too short for a VM to notice that the VM that it follows is silent, and to
// read the resource elsewhere.
func TestBoundsMustSufficeForAllSources(t *testing.T) {
	for _, c := range []struct {
		bounds   BoundSettings
		suffices map[string]bool
	}{
		{BoundSettings{ManifestMS: 3000, DrainMS: 3000, EvacuateMS: 5000}, map[string]bool{followedManifest: true, followedLeafs: true, followedEvacuations: true}},
		{BoundSettings{ManifestMS: 1000, DrainMS: 1000, EvacuateMS: 500}, map[string]bool{followedManifest: true, followedLeafs: false, followedEvacuations: false}},
		{BoundSettings{ManifestMS: 5000, RevokeMS: 2000, StrictRevoke: true, DrainMS: 1500}, map[string]bool{followedManifest: true, followedLeafs: true}},
		{BoundSettings{ManifestMS: 5000, RevokeMS: 200, StrictRevoke: true, DrainMS: 900}, map[string]bool{followedManifest: false, followedLeafs: false}},
	} {
		g := gomega.NewWithT(t)
		for resource, suffices := range c.suffices {
			g.Expect(c.bounds.followBound(resource).suffices()).To(gomega.Equal(suffices), "%+v: %s", c.bounds, resource)
		}
	}
}

// Guards against a VM that waits for the VM that it follows, or for one that it asks in its place, until its
// own knowledge is older than the bound.
func TestWaitForAnotherVMEndsBeforeKnowledgeIsTooOld(t *testing.T) {
	g := gomega.NewWithT(t)
	const bound = 3 * time.Second
	r := newFollowingRelay(&listingStore{}, noPeerClient{})
	r.budgets[followedLeafs] = newStalenessBudget(bound)
	up := upstream{vm: "vm-1", endsWaits: true}
	g.Expect(r.readTimeout(followedLeafs)).To(gomega.Equal(readerAnswerTimeout), "nothing is known yet")
	for age := time.Duration(0); age < bound; age += 50 * time.Millisecond {
		r.e.known.at[followedLeafs] = time.Now().Add(-age)
		wait, timeout := r.watchTimes(followedLeafs, up, 1800*time.Millisecond)
		left := max(0, 2250*time.Millisecond-age)
		g.Expect(timeout).To(gomega.BeNumerically("<=", left))
		g.Expect(wait).To(gomega.BeNumerically("<=", max(0, left-300*time.Millisecond)))
		g.Expect(r.readTimeout(followedLeafs)).To(gomega.BeNumerically("<=", left+300*time.Millisecond))
	}
}
