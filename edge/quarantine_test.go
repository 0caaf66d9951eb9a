package edge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/quarantine"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Guards against a failed request that is answered before the VMs know of it to which its client turns next.
func TestOtherVMsKnowOnceTheyWereTold(t *testing.T) {
	g := gomega.NewWithT(t)
	engines, _ := limitedSite(t, nil, "a", "b", "c")
	content := quarantine.FingerprintOf("", "GET", "h", "/deadly", nil)
	one := engines[0]
	one.mu.Lock()
	for _, id := range []string{"leaf-1", "leaf-2", "leaf-3"} {
		one.table.RecordLost(time.Now(), content, scatter.LeafID{ID: id}, time.Now())
		one.table.RecordChecked(time.Now(), content, scatter.LeafID{ID: id}, true)
	}
	decision, _ := one.table.Guard().Decide(time.Now(), content, quarantine.Evidence{Sent: true, Lost: 3})
	one.mu.Unlock()
	g.Expect(decision).To(gomega.Equal(quarantine.Refuse))
	one.tellQuarantine(t.Context(), time.Minute)
	for _, e := range engines {
		e.mu.Lock()
		decision, left := e.table.Guard().Decide(time.Now(), content, quarantine.Evidence{})
		e.mu.Unlock()
		g.Expect(decision).To(gomega.Equal(quarantine.Refuse), e.self.Name)
		g.Expect(left).To(gomega.BeNumerically(">", 0))
	}
}
