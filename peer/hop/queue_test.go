package hop

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Searches through one VM stay short of a shard for good: its target was out of reach
// for some seconds, calls to it took all their time, and since then the owner refuses
// every call because it could not be served in time, although the target is well.
func TestIdleLeafAcceptsCallAfterTimeouts(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit = 200 * time.Millisecond
	now := time.Unix(1_000, 0)
	q := newSlotQueue(2)
	call := func(took time.Duration) bool {
		run, ok, _ := q.offer(&waiter{deadline: now.Add(limit)}, now)
		if ok {
			now = now.Add(took)
			q.release(took, now)
		}
		return run && ok
	}
	for range 40 {
		g.Expect(call(limit + 10*time.Millisecond)).To(gomega.BeTrue())
	}
	for range 40 {
		g.Expect(call(5 * time.Millisecond)).To(gomega.BeTrue())
	}
	g.Expect(q.meanService).To(gomega.BeNumerically("<", limit/2))
}

// What cannot be served in time behind the calls that run is still refused at once.
func TestBusyLeafRefusesLateCall(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000, 0)
	q := newSlotQueue(1)
	q.meanService = 150 * time.Millisecond
	_, ok, _ := q.offer(&waiter{deadline: now.Add(100 * time.Millisecond)}, now)
	g.Expect(ok).To(gomega.BeTrue())
	_, ok, _ = q.offer(&waiter{deadline: now.Add(100 * time.Millisecond)}, now)
	g.Expect(ok).To(gomega.BeFalse())
}
