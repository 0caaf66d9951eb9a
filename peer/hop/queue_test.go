package hop

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestIdleLeafAcceptsCallAfterTimeouts: a target was unreachable for some seconds, and
// calls to it lasted until their deadline. From then on, the moving average made the owner
// refuse every call as too late, although the target had recovered. Searches through this
// owner permanently missed the target's shards.
func TestIdleLeafAcceptsCallAfterTimeouts(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit = 200 * time.Millisecond
	now := time.Unix(1_000, 0)
	q := newSlotQueue(2)
	// call makes one call that takes the given time, and reports whether it ran at once.
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

// TestBusyLeafRefusesLateCall: the exception for an idle leaf must not apply to a busy one.
// A call that can't be served in time after the running calls must be refused immediately.
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
