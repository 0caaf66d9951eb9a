package edge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a VM that waits for a slow read of another resource until its own knowledge is too old.
func TestNeededReadDoesNotWaitForASlowOne(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	turns := storeTurns{pause: time.Second}
	flight := turns.begin(now)
	g.Expect(turns.decide(now, false, true)).To(gomega.Equal(awaitFlight))
	g.Expect(turns.decide(now, true, true)).To(gomega.Equal(readStore))
	g.Expect(turns.decide(now, true, false)).To(gomega.Equal(deferRead), "this VM has just started")
	close(flight)
	turns.succeed(now)
	g.Expect(turns.decide(now, false, false)).To(gomega.Equal(readStore))
}

// Guards against many failed calls, which are billed, to a store that is unavailable to all VMs.
func TestUnavailableStoreIsTriedByOneReadAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	turns := storeTurns{pause: time.Second}
	close(turns.begin(now))
	turns.fail(now, 500*time.Millisecond)
	g.Expect(turns.decide(now, true, true)).To(gomega.Equal(deferRead))
	later := now.Add(500 * time.Millisecond)
	g.Expect(turns.decide(later, false, true)).To(gomega.Equal(readStore))
	turns.begin(later)
	g.Expect(turns.decide(later, true, true)).To(gomega.Equal(deferRead), "the read before it has failed")
}
