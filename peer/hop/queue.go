package hop

import "time"

// waiter is a call that waits for a slot of a leaf.
type waiter struct {
	peer     string // VM that sent the call, or localPeer
	deadline time.Time
	run      func() // starts the call once it holds a slot
	expire   func() // fails the call if the deadline passed while it waited
}

// slotQueue shares the slots of one leaf among the VMs that call through this
// owner, in round-robin order. It has no side effects: its user runs or expires the
// calls that it returns. It isn't safe for concurrent use. An owner handles nearly
// the whole load of its leaf, so it can estimate how long a call will wait. It
// refuses a call immediately if it can't be served in time, since queueing such
// calls would make all calls late.
type slotQueue struct {
	slots       int                  // at least 1
	running     int                  // slots in use
	waiting     map[string][]*waiter // by VM, the oldest first
	turns       []string             // VMs that have waiting calls, the next to be served first
	queued      int                  // waiting calls of all VMs
	meanService time.Duration        // moving average of the service times
}

// meanWeight is the divisor of the moving average: each new service time changes the
// average by its difference from it divided by meanWeight.
const meanWeight = 8

func newSlotQueue(slots int) *slotQueue {
	return &slotQueue{slots: max(slots, 1), waiting: map[string][]*waiter{}}
}

// expectedWait returns how long a call that arrives now is expected to wait for a
// slot.
func (q *slotQueue) expectedWait() time.Duration {
	if q.running < q.slots {
		return 0
	}
	return time.Duration(q.queued+1) * q.meanService / time.Duration(q.slots)
}

// offer starts, queues or refuses a call. If run is set, the call holds a slot and
// its user has to start it; if only accepted is set, it waits. If neither is set, it
// can't be served in time, and wait says how long to wait before a retry.
func (q *slotQueue) offer(w *waiter, now time.Time) (run, accepted bool, wait time.Duration) {
	wait = q.expectedWait()
	// An idle leaf accepts a call however long the last calls took. After a period
	// without answers, the average suggests that no call can be served in time. If all
	// calls were refused for that reason, none would ever show that the leaf has
	// recovered.
	if q.running > 0 && now.Add(wait+q.meanService).After(w.deadline) {
		return false, false, wait
	}
	if q.running < q.slots {
		q.running++
		return true, true, 0
	}
	if len(q.waiting[w.peer]) == 0 {
		q.turns = append(q.turns, w.peer)
	}
	q.waiting[w.peer] = append(q.waiting[w.peer], w)
	q.queued++
	return false, true, wait
}

// release frees the slot of a call that took the given time. It returns the waiting
// call that takes over the slot, if any, and the calls whose deadline passed while
// they waited.
func (q *slotQueue) release(took time.Duration, now time.Time) (next *waiter, expired []*waiter) {
	q.meanService += (took - q.meanService) / meanWeight
	for len(q.turns) > 0 && q.running <= q.slots {
		w := q.pop()
		if w.deadline.After(now) {
			return w, expired
		}
		expired = append(expired, w)
	}
	q.running--
	return nil, expired
}

// pop removes and returns the oldest call of the VM that is next in turn.
func (q *slotQueue) pop() *waiter {
	peer := q.turns[0]
	q.turns = q.turns[1:]
	list := q.waiting[peer]
	w := list[0]
	q.queued--
	if len(list) == 1 {
		delete(q.waiting, peer)
		return w
	}
	q.waiting[peer] = list[1:]
	q.turns = append(q.turns, peer)
	return w
}

// remove removes a cancelled call and reports whether it was waiting.
func (q *slotQueue) remove(w *waiter) bool {
	list := q.waiting[w.peer]
	for i := range list {
		if list[i] != w {
			continue
		}
		q.queued--
		q.waiting[w.peer] = append(list[:i:i], list[i+1:]...)
		if len(q.waiting[w.peer]) == 0 {
			delete(q.waiting, w.peer)
			q.removeTurn(w.peer)
		}
		return true
	}
	return false
}

// removeTurn removes a VM without waiting calls from the turns.
func (q *slotQueue) removeTurn(peer string) {
	for i, name := range q.turns {
		if name == peer {
			q.turns = append(q.turns[:i:i], q.turns[i+1:]...)
			return
		}
	}
}
