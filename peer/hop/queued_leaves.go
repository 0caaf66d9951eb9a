package hop

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// QueuedLeaves returns the Leaves for this VM's own calls to the targets that it
// owns connections to. These calls wait in the same queues for the leaves' slots as the
// calls of other VMs. If they bypassed the queues, both together would exceed the slots,
// and the target would shed calls that could have waited. The result is safe for
// concurrent use.
func (o *Owner) QueuedLeaves() Leaves { return queuedLeaves{o} }

// queuedLeaves implements Leaves for this VM's own calls; see QueuedLeaves.
type queuedLeaves struct{ owner *Owner }

// localPeer stands for this VM in the slot queues, where the other VMs that call through
// it have their names.
const localPeer = ""

// Search implements Leaves. It searches the leaf once the call holds a slot of the leaf.
func (l queuedLeaves) Search(ctx context.Context, name string, leaf int, req target.LeafRequest) (a target.LeafAnswer, err error) {
	err = l.owner.withSlot(ctx, name, leaf, func() error {
		a, err = l.owner.opts.Leaves.Search(ctx, name, leaf, req)
		return err
	})
	return a, err
}

// Submit implements Leaves. It sends the request once the call holds a slot of the leaf.
func (l queuedLeaves) Submit(ctx context.Context, name string, leaf int, req target.SubmitRequest) (a target.SubmitAnswer, err error) {
	err = l.owner.withSlot(ctx, name, leaf, func() error {
		a, err = l.owner.opts.Leaves.Submit(ctx, name, leaf, req)
		return err
	})
	return a, err
}

// Status implements Leaves. It needs no slot, and may return a status that was read up to
// maxStatusAge ago.
func (l queuedLeaves) Status(ctx context.Context, name string) (target.Status, error) {
	return l.owner.statuses.read(ctx, l.owner.opts.Leaves, name)
}

// withSlot makes a call to a leaf of the named target once one of the leaf's slots is
// free. If none becomes free in time, the error is a *target.CallError with NotStarted
// set. If this VM doesn't own connections to the target, withSlot makes the call at once.
func (o *Owner) withSlot(ctx context.Context, name string, leaf int, call func() error) error {
	slots, owned := o.opts.Slots(name, leaf)
	if !owned {
		return call() // this VM ceased to be an owner after the call was routed
	}
	q, err := o.acquireSlot(ctx, leafKey{name, leaf}, slots)
	if err != nil {
		return err
	}
	start := time.Now()
	err = call()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.releaseSlot(q, time.Since(start), time.Now())
	return err
}

// acquireSlot waits until a slot of a leaf is free and takes it. slots is the leaf's
// number of slots. On success the caller has to release the slot of the returned queue
// with releaseSlot.
func (o *Owner) acquireSlot(ctx context.Context, key leafKey, slots int) (*slotQueue, error) {
	now := time.Now()
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		deadline = now.Add(defaultCallTimeout)
	}
	granted := make(chan bool, 1) // receives true with the slot, or false if the deadline passed before one was free
	w := &waiter{peer: localPeer, deadline: deadline}
	w.run = func() { granted <- true }
	w.expire = func() { granted <- false }
	o.mu.Lock()
	q := o.queueFor(key, slots)
	run, accepted, wait := q.offer(w, now)
	o.mu.Unlock()
	switch {
	case run:
		return q, nil
	case !accepted:
		return nil, &target.CallError{
			Kind: target.ErrorRefused, Target: key.target, Reason: target.ReasonShed, NotStarted: true, RetryAfter: wait,
		}
	}
	select {
	case ok := <-granted:
		if ok {
			return q, nil
		}
		return nil, &target.CallError{Kind: target.ErrorDeadline, Target: key.target, NotStarted: true}
	case <-ctx.Done():
		o.cancelWait(q, w, granted)
		return nil, ContextError(ctx, key.target, true)
	}
}

// cancelWait removes a waiting call from its queue. If the call was granted a slot in
// the meantime, cancelWait releases the slot to the next call; otherwise the slot
// would stay taken permanently.
func (o *Owner) cancelWait(q *slotQueue, w *waiter, granted <-chan bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q.remove(w) {
		return
	}
	if ok := <-granted; ok {
		o.releaseSlot(q, q.meanService, time.Now()) // the mean as duration leaves the average unchanged
	}
}
