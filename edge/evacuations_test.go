package edge

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a VM that goes back to an older set of evacuated zones when it turns from one
// reader of the store to another one that lags behind.
func TestOlderSetOfEvacuatedZonesIsNotAdopted(t *testing.T) {
	g := gomega.NewWithT(t)
	var tracker evacuationTracker
	begun, _, _ := tracker.offer(Evacuations{Zones: []string{"a"}, Revision: 5})
	g.Expect(begun).To(gomega.Equal([]string{"a"}))
	_, ended, adopted := tracker.offer(Evacuations{Revision: 4})
	g.Expect(adopted).To(gomega.BeFalse())
	g.Expect(ended).To(gomega.BeEmpty())
	begun, ended, _ = tracker.offer(Evacuations{Zones: []string{"b"}, Revision: 6})
	g.Expect(begun).To(gomega.Equal([]string{"b"}))
	g.Expect(ended).To(gomega.Equal([]string{"a"}))
}

// Guards against a VM that keeps a zone evacuated for good. It heard of the evacuation from a reader
// that was then lost; the other reader was not told of changes until the evacuation had ended, so
// that its own set never changed.
func TestEndOfEvacuationThatTheReaderNeverSawIsPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFeed()
	f.setEvacuations(Evacuations{Revision: 1})
	f.setEvacuations(Evacuations{Revision: 5})
	set := f.evacuationsSince(4) // heard of an evacuation at revision 4
	g.Expect(set).NotTo(gomega.BeNil())
	g.Expect(set.Zones).To(gomega.BeEmpty())
	g.Expect(f.evacuationsSince(5)).To(gomega.BeNil())
}
