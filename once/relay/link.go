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
	owner *Links
	vm    objstore.VM
	wake  chan struct{}
	calls chan struct{} // one token per batch under way

	queue []*pending // guarded by Links.mu
}

// pending is an operation on its way. sent and gone are guarded by Links.mu.
type pending struct {
	ask  Ask
	done chan answer // holds one
	sent bool        // part of a batch
	gone bool        // given up before
}

type answer struct {
	reply Reply
	fate  Fate
}

func (k *link) run() error {
	conn, err := k.dial()
	if err != nil {
		k.owner.avoid(k.vm, err)
		k.end()
		return nil
	}
	defer conn.Wait()
	defer conn.Close()
	defer k.end()
	idle := time.NewTimer(k.owner.opts.Idle)
	defer idle.Stop()
	for {
		select {
		case <-k.owner.tomb.Dying():
			return nil
		case <-conn.Done():
			return nil
		case <-idle.C:
			return nil
		case <-k.wake:
		}
		if ended(conn) {
			return nil // what waits was never sent
		}
		time.Sleep(gather)
		for _, batch := range batches(k.take()) {
			k.send(conn, batch)
		}
		idle.Reset(k.owner.opts.Idle)
	}
}

func ended(conn *wire.Conn) bool {
	select {
	case <-conn.Done():
		return true
	default:
		return false
	}
}

func (k *link) dial() (*wire.Conn, error) {
	ctx, cancel := context.WithTimeout(k.owner.life, k.owner.opts.Silent)
	defer cancel()
	o := k.owner.opts.Fleet.WireOptions()
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

// end takes the link out of the table. What waits was never sent.
func (k *link) end() {
	k.owner.mu.Lock()
	if k.owner.links[k.vm.Address] == k {
		delete(k.owner.links, k.vm.Address)
	}
	queue := k.queue
	k.queue = nil
	k.owner.mu.Unlock()
	for _, p := range queue {
		p.done <- answer{fate: NotTaken}
	}
}

// take returns what waits, marked as sent before it is: who gives up in between
// must not believe that the other VM will never carry it out.
func (k *link) take() []*pending {
	k.owner.mu.Lock()
	defer k.owner.mu.Unlock()
	var taken []*pending
	for _, p := range k.queue {
		if !p.gone {
			p.sent = true
			taken = append(taken, p)
		}
	}
	k.queue = nil
	return taken
}

// batches parts operations by segment and size.
func batches(queue []*pending) [][]*pending {
	var list [][]*pending
	open := map[string]int{} // by segment, the batch that has room
	for _, p := range queue {
		at, ok := open[p.ask.Segment]
		if !ok || len(list[at]) == MaxOps {
			at = len(list)
			open[p.ask.Segment] = at
			list = append(list, nil)
		}
		list[at] = append(list[at], p)
	}
	return list
}

// send has a batch carried out apart from the link's goroutine, once there is
// room for it.
func (k *link) send(conn *wire.Conn, batch []*pending) {
	select {
	case k.calls <- struct{}{}:
	case <-conn.Done():
		tell(batch, nil, NotTaken)
		return
	}
	k.owner.tomb.Go(func() error {
		defer func() { <-k.calls }()
		k.commit(conn, batch)
		return nil
	})
}

func (k *link) commit(conn *wire.Conn, batch []*pending) {
	o := k.owner.opts
	ctx, cancel := context.WithTimeout(k.owner.life, o.Silent)
	defer cancel()
	message := Batch{
		Segment: batch[0].ask.Segment,
		HoldMS:  o.Hold.Milliseconds(),
		Credit:  batch[0].ask.Credit(),
	}
	for _, p := range batch {
		message.Ops = append(message.Ops, p.ask.Op)
	}
	var got Replies
	err := conn.Call(ctx, MethodCommit, message, &got)
	if err == nil && len(got.Replies) == len(batch) {
		tell(batch, got.Replies, Answered)
		return
	}
	k.owner.avoid(k.vm, err) // before the batch falls back, so that others follow
	if refused(err) {
		tell(batch, nil, NotTaken)
		return
	}
	// It is frozen, cut off or gone. A connection that went silent is not used
	// again, for the VM may be reached by a new one. It is closed first: who is told
	// may come back at once, and what is then sent on it would be lost as well.
	conn.Close()
	tell(batch, nil, Lost)
}

// refused tells errors which are the other VM's own word that it took nothing.
func refused(err error) bool {
	switch result.Of(err) {
	case result.PeerBusy, result.UnknownMethod, result.BadMessage:
		return true
	}
	return false
}

func tell(batch []*pending, replies []Reply, fate Fate) {
	for i, p := range batch {
		a := answer{fate: fate}
		if replies != nil {
			a.reply = replies[i]
		}
		p.done <- a
	}
}
