package hop

import "time"

// waiter is a call that waits for a slot of a leaf.
type waiter struct {
	peer     string
	deadline time.Time
	run      func()
	expire   func() // the deadline passed while it waited
}

// slotQueue shares the slots of one leaf among the VMs that call through this
// owner. It is pure: the caller runs what it returns. An owner sees nearly the
// whole load of its leaf, so it can tell how long a call will wait and refuse at
// once what can't be served in time; queueing that would make all calls late.
type slotQueue struct {
	slots       int
	running     int
	waiting     map[string][]*waiter // by VM, the oldest first
	turns       []string             // VMs that have calls waiting, in turn
	queued      int
	meanService time.Duration // of the service times, moving
}

// meanWeight is the weight of the past in the moving mean.
const meanWeight = 8

func newSlotQueue(slots int) *slotQueue {
	return &slotQueue{slots: max(slots, 1), waiting: map[string][]*waiter{}}
}

// expectedWait is how long a call that comes now is expected to expectedWait for a slot.
func (q *slotQueue) expectedWait() time.Duration {
	if q.running < q.slots {
		return 0
	}
	return time.Duration(q.queued+1) * q.meanService / time.Duration(q.slots)
}

// offer takes a call. It returns whether the call runs now; if neither that nor
// ok it can't be served in time, and wait says when to come back.
func (q *slotQueue) offer(w *waiter, now time.Time) (run, accepted bool, wait time.Duration) {
	wait = q.expectedWait()
	// A leaf with nothing to do takes a call whatever its last ones took. After a time of
	// silence the mean says that no call can be served in time; if all were refused for
	// that, none would ever tell that the leaf is well again.
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

// release frees a slot. It returns the call that takes it, if any, and those
// whose deadline passed while they waited.
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

// pop takes the oldest call of the VM whose turn it is.
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

// remove takes out a call that was given up, and tells whether it was waiting.
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

func (q *slotQueue) removeTurn(peer string) {
	for i, name := range q.turns {
		if name == peer {
			q.turns = append(q.turns[:i:i], q.turns[i+1:]...)
			return
		}
	}
}
