package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// link is a connection to another VM with what is still to be told over it.
// Exchange.mu guards its fields.
type link struct {
	conn          *wire.Conn
	name          string
	openedAt      time.Time
	pending       map[facts.Key]struct{}
	wakeScheduled bool   // only health of targets is pending, and a wake is set for it
	sendRevision  bool   // the own revision is to be told
	peerRevision  uint64 // highest revision that the peer said it has
	goodbye       bool   // the peer closes it on purpose
	wake          chan struct{}
}

const (
	// batchDelay is how long a sender waits for more to tell in the same message.
	batchDelay = 10 * time.Millisecond
	// healthBatchDelay is the same for the health of targets, which is read a second
	// apart: an index switch comes as thousands of statements, and the more go in
	// one message, the fewer bytes each takes and the more often a peer has told
	// of it first.
	healthBatchDelay = 100 * time.Millisecond
	// maxFacts bounds the facts in one message.
	maxFacts = 256
)

// maxConns bounds the connections of other VMs, those for calls included: as
// many as the largest fleet may have VMs, and some.
const maxConns = 2048

// WireOptions are those of this VM's connections, for others of its uses.
func (x *Exchange) WireOptions() wire.Options { return x.wireOptions() }

func (x *Exchange) wireOptions() wire.Options {
	return wire.Options{
		Self: wire.Identity{
			Deployment:  x.opts.Deployment,
			VM:          x.opts.VM.Name,
			Incarnation: x.opts.Incarnation,
		},
		Keys:         x.opts.FleetKeys,
		Handler:      x.handle,
		Log:          x.opts.Log,
		DialContext:  x.opts.DialContext,
		MaxConns:     maxConns,
		PingInterval: x.opts.PingInterval,
	}
}

// handleAccepted takes a connection of another VM. If there are too many, the oldest
// of the others' is closed: the VM that opened it knows more VMs by then. This
// spreads the load of those that all VMs know first.
func (x *Exchange) handleAccepted(conn *wire.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.tomb.Alive() {
		conn.Close()
		return
	}
	if conn.Use() != "" {
		conn.Serve()
		return
	}
	x.addLink(conn)
	var oldest *link
	inbound := 0
	for l := range x.links {
		if l.conn.Dialed() {
			continue
		}
		inbound++
		if oldest == nil || l.openedAt.Before(oldest.openedAt) {
			oldest = l
		}
	}
	if inbound > x.opts.MaxInbound {
		x.dropLink(oldest)
	}
}

// addLink must hold mu, with the tomb alive.
func (x *Exchange) addLink(conn *wire.Conn) *link {
	l := &link{
		conn:         conn,
		name:         conn.Peer().VM,
		openedAt:     time.Now(),
		pending:      map[facts.Key]struct{}{},
		sendRevision: true,
		wake:         make(chan struct{}, 1),
	}
	x.links[l] = struct{}{}
	conn.Serve()
	x.tomb.Go(func() error { return x.runLink(l) })
	l.signal()
	return l
}

// dropLink closes a link on purpose. It must hold mu.
func (x *Exchange) dropLink(l *link) {
	delete(x.links, l)
	l.goodbye = true
	x.tomb.Go(func() error {
		_ = l.conn.Notify(methodGoodbye, nil)
		l.conn.Close()
		return nil
	})
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// signalLater wakes the sender after healthGather. It must hold mu.
func (l *link) signalLater() {
	if !l.wakeScheduled {
		l.wakeScheduled = true
		time.AfterFunc(healthBatchDelay, l.signal)
	}
}

// forward tells a fact to all links but the one that it came from. It must hold
// mu.
func (x *Exchange) forward(f facts.Fact, from *link) {
	for l := range x.links {
		if l == from {
			continue
		}
		l.pending[f.Key()] = struct{}{}
		if f.Health != nil {
			l.signalLater()
		} else {
			l.signal()
		}
	}
}

// runLink sends what is to be told until the connection ends.
func (x *Exchange) runLink(l *link) error {
	defer l.conn.Close()
	for {
		select {
		case <-x.tomb.Dying():
			return nil
		case <-l.conn.Done():
			x.handleLinkLoss(l)
			return nil
		case <-l.wake:
		}
		time.Sleep(batchDelay)
		for {
			news, more := x.nextMessage(l)
			if news == nil {
				break
			}
			if err := l.conn.Notify(methodTell, news); err != nil {
				l.conn.Close()
				break
			}
			if !more {
				break
			}
		}
	}
}

// nextMessage returns the next message for a link, or nil, and whether there is
// more.
func (x *Exchange) nextMessage(l *link) (*tellMessage, bool) {
	revision := x.opts.Heads.Revision()
	news := &tellMessage{}
	x.mu.Lock()
	if l.sendRevision && revision > l.peerRevision {
		news.Revision = revision
	}
	l.sendRevision = false
	l.wakeScheduled = false
	var keys []facts.Key
	for key := range l.pending {
		if len(keys) == maxFacts {
			break
		}
		keys = append(keys, key)
		delete(l.pending, key)
	}
	list := x.table.Facts(keys)
	more := len(l.pending) > 0
	x.mu.Unlock()
	if news.Revision == 0 && len(list) == 0 {
		return nil, false
	}
	news.factPayload = encodeFacts(l.conn, list)
	return news, more
}

// handleLinkLoss finds out why a connection ended: unless the peer said goodbye, it is
// dialled once more, and suspected if that fails.
func (x *Exchange) handleLinkLoss(l *link) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.links, l)
	if l.goodbye || !x.tomb.Alive() {
		return
	}
	if m, known := x.table.Member(l.name); known && m.State <= facts.Leaving && m.Incarnation == l.conn.Peer().Incarnation {
		x.dial(l.name, m.Address)
	}
}

// dial opens a connection in the background. A failure makes the VM of that
// name suspect; a seed has no name. It must hold mu.
func (x *Exchange) dial(name, address string) {
	if x.dialing[address] || address == x.opts.VM.Address || !x.tomb.Alive() {
		return
	}
	x.dialing[address] = true
	x.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), dialTimeout)
		conn, err := wire.Dial(ctx, address, x.wireOptions(), &x.count)
		cancel()
		x.handleDialed(name, address, conn, err)
		return nil
	})
}

const dialTimeout = 2 * time.Second

func (x *Exchange) handleDialed(name, address string, conn *wire.Conn, err error) {
	x.mu.Lock()
	delete(x.dialing, address)
	if err != nil {
		x.opts.Log.Debug("peer not reached", "vm", name, "address", address, "error", err)
		if name != "" && x.tomb.Alive() {
			x.suspect(name, time.Now())
		}
		x.mu.Unlock()
		return
	}
	peer := conn.Peer().VM
	if name != "" && name != peer {
		x.suspect(name, time.Now()) // its address belongs to another VM now
	}
	if !x.tomb.Alive() || peer == x.opts.VM.Name || x.linkedTo(peer) || x.outbound() > x.opts.Fanout {
		x.mu.Unlock()
		_ = conn.Notify(methodGoodbye, nil)
		conn.Close()
		return
	}
	l := x.addLink(conn)
	x.mu.Unlock()
	x.sync(l)
}

// linkedTo must hold mu.
func (x *Exchange) linkedTo(name string) bool {
	for l := range x.links {
		if l.name == name {
			return true
		}
	}
	return false
}

// outbound counts the links that this VM opened. It must hold mu.
func (x *Exchange) outbound() int {
	n := 0
	for l := range x.links {
		if l.conn.Dialed() {
			n++
		}
	}
	return n
}

func (x *Exchange) linkOf(conn *wire.Conn) *link {
	for l := range x.links {
		if l.conn == conn {
			return l
		}
	}
	return nil
}

// flushLimit bounds the last messages of a VM that stops: a peer that has gone
// silent must not hold it up.
const flushLimit = 500 * time.Millisecond

// flush waits until everything told so far has been written, for a short time.
func (x *Exchange) flush() {
	end := time.Now().Add(flushLimit)
	for x.tomb.Alive() && time.Now().Before(end) && x.hasPending() {
		time.Sleep(batchDelay)
	}
	time.Sleep(2 * batchDelay)
}

func (x *Exchange) hasPending() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for l := range x.links {
		if len(l.pending) > 0 {
			return true
		}
	}
	return false
}

func decode(params json.RawMessage, into any) error {
	if len(params) == 0 {
		return nil
	}
	return json.Unmarshal(params, into)
}
