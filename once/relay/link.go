package relay

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// link is the connection to one VM, with the queue of operations for that VM. Its
// goroutine dials, sends batches, and ends when nothing was sent for IdleTimeout or
// the connection breaks.
type link struct {
	parent    *Links        // holds this link in Links.links
	vm        objstore.VM   // the VM at the other end
	wake      chan struct{} // signals that operations were queued
	callSlots chan struct{} // one token per batch in flight; holds at most maxConcurrentBatches

	queue []*pending // operations that are not yet part of a batch; guarded by Links.mu
}

// pending is an operation that is queued for another VM or was sent to it. sent and
// cancelled are guarded by Links.mu.
type pending struct {
	req       OpRequest
	done      chan answer // buffered; receives at most one answer
	sent      bool        // the operation was put into a batch
	cancelled bool        // the caller gave up before the operation was put into a batch
}

// answer is the result of relaying one operation.
type answer struct {
	reply    Reply    // of the other VM; set only if delivery is Answered
	delivery Delivery // whether the operation reached the other VM
}

// run is the link's goroutine. If it can't connect, the VM is not chosen to commit
// segments for a while, see Links.avoid.
func (k *link) run() error {
	conn, err := k.dial()
	if err != nil {
		k.parent.avoid(k.vm, err)
		k.remove()
		return nil
	}
	defer conn.Wait()
	defer conn.Close()
	defer k.remove()
	idle := time.NewTimer(k.parent.opts.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-k.parent.tomb.Dying():
			return nil
		case <-conn.Done():
			return nil
		case <-idle.C:
			return nil
		case <-k.wake:
		}
		if isClosed(conn) {
			return nil // remove answers the queued operations, which were never sent
		}
		time.Sleep(batchDelay)
		for _, batch := range splitBatches(k.takeQueue()) {
			k.sendBatch(conn, batch)
		}
		idle.Reset(k.parent.opts.IdleTimeout)
	}
}

// isClosed reports whether the connection has ended.
func isClosed(conn *wire.Conn) bool {
	select {
	case <-conn.Done():
		return true
	default:
		return false
	}
}

// dial connects to the VM and checks that the VM with the expected name answers.
func (k *link) dial() (*wire.Conn, error) {
	ctx, cancel := context.WithTimeout(k.parent.ctx, k.parent.opts.ResponseTimeout)
	defer cancel()
	o := k.parent.opts.Fleet.WireOptions()
	o.Use = ConnectionUse
	o.Handler = nil // the other VM makes no calls on this connection
	conn, err := wire.Dial(ctx, k.vm.Address, o, &wire.Counters{})
	if err != nil {
		return nil, err
	}
	conn.Serve()
	if conn.Peer().VM != k.vm.Name {
		conn.Close()
		conn.Wait()
		return nil, result.Errorf(result.ExchangeFailed, "VM %q answered at the address of VM %q", conn.Peer().VM, k.vm.Name)
	}
	return conn, nil
}

// remove removes the link from Links.links. It answers the queued operations with
// NotAccepted, because they were never sent.
func (k *link) remove() {
	k.parent.mu.Lock()
	if k.parent.links[k.vm.Address] == k {
		delete(k.parent.links, k.vm.Address)
	}
	queue := k.queue
	k.queue = nil
	k.parent.mu.Unlock()
	for _, p := range queue {
		p.done <- answer{delivery: NotAccepted}
	}
}

// takeQueue empties the queue and returns the operations whose callers still wait.
// It marks these operations as sent, although they are sent only after it returns: a
// caller that gives up from now on must not assume that the other VM will never apply
// its operation.
func (k *link) takeQueue() []*pending {
	k.parent.mu.Lock()
	defer k.parent.mu.Unlock()
	var taken []*pending
	for _, p := range k.queue {
		if !p.cancelled {
			p.sent = true
			taken = append(taken, p)
		}
	}
	k.queue = nil
	return taken
}

// splitBatches divides the queued operations into batches, each of at most MaxOps
// operations on one segment.
func splitBatches(queue []*pending) [][]*pending {
	var list [][]*pending
	open := map[string]int{} // index in list of the segment's last batch, by segment
	for _, p := range queue {
		index, ok := open[p.req.Segment]
		if !ok || len(list[index]) == MaxOps {
			index = len(list)
			open[p.req.Segment] = index
			list = append(list, nil)
		}
		list[index] = append(list[index], p)
	}
	return list
}

// sendBatch waits until fewer than maxConcurrentBatches batches are in flight to the
// VM, and starts a goroutine that sends the batch. If the connection ends first, it
// answers the operations with NotAccepted.
func (k *link) sendBatch(conn *wire.Conn, batch []*pending) {
	select {
	case k.callSlots <- struct{}{}:
	case <-conn.Done():
		deliver(batch, nil, NotAccepted)
		return
	}
	k.parent.tomb.Go(func() error {
		defer func() { <-k.callSlots }()
		k.commit(conn, batch)
		return nil
	})
}

// commit sends a batch to the VM and delivers the answers to the callers. If the VM
// does not answer with one reply per operation, it is not chosen to commit segments
// for a while, see Links.avoid.
func (k *link) commit(conn *wire.Conn, batch []*pending) {
	o := k.parent.opts
	ctx, cancel := context.WithTimeout(k.parent.ctx, o.ResponseTimeout)
	defer cancel()
	message := Batch{
		Segment: batch[0].req.Segment,
		HoldMS:  o.Hold.Milliseconds(),
		Credit:  batch[0].req.Credit(),
	}
	for _, p := range batch {
		message.Ops = append(message.Ops, p.req.Op)
	}
	var got Replies
	err := conn.Call(ctx, MethodCommit, message, &got)
	if err == nil && len(got.Replies) == len(batch) {
		deliver(batch, got.Replies, Answered)
		return
	}
	k.parent.avoid(k.vm, err) // before deliver, so that the callers do not choose this VM again
	if isRefusal(err) {
		deliver(batch, nil, NotAccepted)
		return
	}
	// The VM is frozen, disconnected or stopped. A silent connection is not used
	// again, because a new one may reach the VM. It is closed before the callers
	// get their answers: they may send the next operation at once, and on this
	// connection it would be lost as well.
	conn.Close()
	deliver(batch, nil, Unknown)
}

// isRefusal reports whether the error is the other VM's answer that it accepted no
// operation of a batch.
func isRefusal(err error) bool {
	switch result.CodeOf(err) {
	case result.PeerBusy, result.UnknownMethod, result.BadMessage:
		return true
	}
	return false
}

// deliver sends an answer to the caller of each operation of the batch: the given
// delivery and, unless replies is nil, the reply at the operation's index.
func deliver(batch []*pending, replies []Reply, delivery Delivery) {
	for i, p := range batch {
		a := answer{delivery: delivery}
		if replies != nil {
			a.reply = replies[i]
		}
		p.done <- a
	}
}
