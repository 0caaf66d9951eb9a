package relay

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// link is the way to one VM. Its goroutine dials, sends batches, and ends when
// nothing was sent for a while or the connection breaks.
type link struct {
	links     *Links
	vm        objstore.VM
	wake      chan struct{}
	callSlots chan struct{} // one token per batch under way

	queue []*pending // guarded by Links.mu
}

// pending is an operation on its way. sent and gone are guarded by Links.mu.
type pending struct {
	req       OpRequest
	done      chan answer // holds one
	sent      bool        // part of a batch
	cancelled bool        // given up before
}

type answer struct {
	reply    Reply
	delivery Delivery
}

func (k *link) run() error {
	conn, err := k.dial()
	if err != nil {
		k.links.avoid(k.vm, err)
		k.remove()
		return nil
	}
	defer conn.Wait()
	defer conn.Close()
	defer k.remove()
	idle := time.NewTimer(k.links.opts.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-k.links.tomb.Dying():
			return nil
		case <-conn.Done():
			return nil
		case <-idle.C:
			return nil
		case <-k.wake:
		}
		if isClosed(conn) {
			return nil // what waits was never sent
		}
		time.Sleep(batchDelay)
		for _, batch := range splitBatches(k.takeQueue()) {
			k.sendBatch(conn, batch)
		}
		idle.Reset(k.links.opts.IdleTimeout)
	}
}

func isClosed(conn *wire.Conn) bool {
	select {
	case <-conn.Done():
		return true
	default:
		return false
	}
}

func (k *link) dial() (*wire.Conn, error) {
	ctx, cancel := context.WithTimeout(k.links.ctx, k.links.opts.ResponseTimeout)
	defer cancel()
	o := k.links.opts.Fleet.WireOptions()
	o.Use = Use
	o.Handler = nil // the other end has nothing to ask
	conn, err := wire.Dial(ctx, k.vm.Address, o, &wire.Counters{})
	if err != nil {
		return nil, err
	}
	conn.Serve()
	if conn.Peer().VM != k.vm.Name {
		conn.Close()
		conn.Wait()
		return nil, result.Errorf(result.ExchangeFailed, "VM %q found at the address of %q", conn.Peer().VM, k.vm.Name)
	}
	return conn, nil
}

// remove takes the link out of the table. What waits was never sent.
func (k *link) remove() {
	k.links.mu.Lock()
	if k.links.links[k.vm.Address] == k {
		delete(k.links.links, k.vm.Address)
	}
	queue := k.queue
	k.queue = nil
	k.links.mu.Unlock()
	for _, p := range queue {
		p.done <- answer{delivery: NotAccepted}
	}
}

// takeQueue returns what waits, marked as sent before it is: who gives up in between
// must not believe that the other VM will never carry it out.
func (k *link) takeQueue() []*pending {
	k.links.mu.Lock()
	defer k.links.mu.Unlock()
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

// splitBatches parts operations by segment and size.
func splitBatches(queue []*pending) [][]*pending {
	var list [][]*pending
	open := map[string]int{} // by segment, the batch that has room
	for _, p := range queue {
		at, ok := open[p.req.Segment]
		if !ok || len(list[at]) == MaxOps {
			at = len(list)
			open[p.req.Segment] = at
			list = append(list, nil)
		}
		list[at] = append(list[at], p)
	}
	return list
}

// sendBatch has a batch carried out apart from the link's goroutine, once there is
// room for it.
func (k *link) sendBatch(conn *wire.Conn, batch []*pending) {
	select {
	case k.callSlots <- struct{}{}:
	case <-conn.Done():
		deliver(batch, nil, NotAccepted)
		return
	}
	k.links.tomb.Go(func() error {
		defer func() { <-k.callSlots }()
		k.commit(conn, batch)
		return nil
	})
}

func (k *link) commit(conn *wire.Conn, batch []*pending) {
	o := k.links.opts
	ctx, cancel := context.WithTimeout(k.links.ctx, o.ResponseTimeout)
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
	k.links.avoid(k.vm, err) // before the batch falls back, so that others follow
	if isRefusal(err) {
		deliver(batch, nil, NotAccepted)
		return
	}
	// It is frozen, cut off or gone. A connection that went silent is not used
	// again, for the VM may be reached by a new one. It is closed first: who is told
	// may come back at once, and what is then sent on it would be lost as well.
	conn.Close()
	deliver(batch, nil, Unknown)
}

// isRefusal tells errors which are the other VM's own word that it took nothing.
func isRefusal(err error) bool {
	switch result.Of(err) {
	case result.PeerBusy, result.UnknownMethod, result.BadMessage:
		return true
	}
	return false
}

func deliver(batch []*pending, replies []Reply, fate Delivery) {
	for i, p := range batch {
		a := answer{delivery: fate}
		if replies != nil {
			a.reply = replies[i]
		}
		p.done <- a
	}
}
