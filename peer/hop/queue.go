package hop

import "time"

// waiter is a call that waits for a slot of a leaf.
type waiter struct {
	peer     string    // name of the VM that sent the call, or localPeer for this VM's own calls
	deadline time.Time // when the call's time limit ends
	run      func()    // starts the call once it holds a slot
	expire   func()    // fails the call if the deadline passed while it waited
}

// slotQueue shares the slots of one leaf among the VMs that call through this owner, in
// round-robin order. A leaf has as many slots as it runs calls at once. slotQueue only
// decides which call gets a slot: Owner runs or expires the calls that its methods return.
// It isn't safe for concurrent use.
//
// An owner handles a large part of a leaf's load, so it can estimate how long a call will
// wait. It refuses a call immediately if the call can't be served in time, since queueing
// such calls would make all calls late.
type slotQueue struct {
	slots       int                  // number of slots of the leaf, at least 1
	running     int                  // number of slots in use
	waiting     map[string][]*waiter // calls that wait for a slot, by VM, the oldest first
	turns       []string             // VMs that have waiting calls, the next to be served first
	queued      int                  // number of waiting calls of all VMs
	meanService time.Duration        // moving average of the times that calls held their slot
}

// meanServiceDivisor determines how fast the moving average of service times follows new
// ones: a new service time changes the average by the difference between the two, divided
// by meanServiceDivisor.
const meanServiceDivisor = 8

// newSlotQueue returns a queue without calls for a leaf with the given number of slots.
// A number below 1 counts as 1.
func newSlotQueue(slots int) *slotQueue {
	return &slotQueue{slots: max(slots, 1), waiting: map[string][]*waiter{}}
}

// expectedWait returns how long a call that arrives now is expected to wait for a
// slot.
func (q *slotQueue) expectedWait() time.Duration {
	if q.running < q.slots {
		return 0
	}
	// While all slots are in use, one is freed every meanService/slots on average. All
	// queued calls and then this one take a slot each.
	return time.Duration(q.queued+1) * q.meanService / time.Duration(q.slots)
}

// offer gives a slot to a call, queues the call or refuses it. If run is set, the call
// holds a slot, and the caller of offer has to start it. If only accepted is set, the
// call waits for a slot. If neither is set, the call can't be served in time and is
// refused, and wait says how long to wait before a retry.
func (q *slotQueue) offer(w *waiter, now time.Time) (run, accepted bool, wait time.Duration) {
	wait = q.expectedWait()
	// A call is refused if it is expected to end after its deadline, unless the leaf is
	// idle. An idle leaf accepts a call however long the last calls took. After a period
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

// release frees the slot of a call that has ended. took is how long the call held it. next
// is the waiting call that takes over the slot, or nil. expired holds the calls that are
// removed because their deadline passed while they waited.
func (q *slotQueue) release(took time.Duration, now time.Time) (next *waiter, expired []*waiter) {
	q.meanService += (took - q.meanService) / meanServiceDivisor
	// No call takes over the slot if more slots are in use than the leaf now has.
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

// pop removes and returns the oldest waiting call of the VM that is next in turn. If the
// VM has further calls, it moves to the end of the turns.
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

// remove removes a cancelled call from the waiting ones. It reports whether the call was
// among them.
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
