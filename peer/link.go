package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// link is a connection to another VM with the facts that are still to be sent over
// it. Exchange.mu guards its fields.
type link struct {
	conn          *wire.Conn
	name          string                 // of the other VM
	openedAt      time.Time              // when the link was registered
	pending       map[facts.Key]struct{} // keys of the facts that are still to be sent
	wakeScheduled bool                   // signalLater has scheduled a signal; reset when a message is built
	sendRevision  bool                   // this VM's revision is to be sent
	peerRevision  uint64                 // highest revision that the peer announced; 0 after a failed pull
	goodbye       bool                   // one side closes the connection on purpose; the peer isn't suspected
	wake          chan struct{}          // wakes runLink; buffers one signal
}

const (
	// batchDelay is how long the sender of a link, once woken, waits for more facts for
	// the same message.
	batchDelay = 10 * time.Millisecond
	// healthBatchDelay is how long a new fact about the health of a target waits before
	// it wakes the sender of a link. An index switch causes thousands of such facts. The
	// delay puts more of them into one message, in which each takes fewer bytes, and
	// those that the peer sends in the meantime need not be sent to it. Health is read
	// at intervals of 1 s, so the delay adds little to its age.
	healthBatchDelay = 100 * time.Millisecond
	// maxFactsPerMessage bounds the facts in one tellMessage.
	maxFactsPerMessage = 256
)

// maxConns bounds the connections accepted from other VMs, those for calls
// included. It exceeds the number of VMs of the largest fleet.
const maxConns = 2048

// WireOptions returns the options for connections to other VMs that aren't used for the
// exchange, such as calls to leaves. They are those of the exchange's own connections.
func (x *Exchange) WireOptions() wire.Options { return x.wireOptions() }

// wireOptions returns the options of all connections between this VM and others.
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

// handleAccepted adds a connection that another VM opened. If more than MaxInbound
// accepted connections serve the exchange, the oldest of them is closed: the VM that
// opened it knows more VMs by then. This bounds the load of the VMs that many others
// dial first. A connection for another use than the exchange is served and isn't
// counted.
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

// addLink registers a connection for the exchange and starts runLink for it. The caller
// must hold mu and have checked, while holding it, that the exchange isn't stopping.
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

// dropLink closes a link on purpose, with a goodbye to the peer, so that neither VM
// suspects the other. The caller must hold mu.
func (x *Exchange) dropLink(l *link) {
	delete(x.links, l)
	l.goodbye = true
	x.tomb.Go(func() error {
		_ = l.conn.Notify(methodGoodbye, nil)
		l.conn.Close()
		return nil
	})
}

// signal wakes the sender of the link.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// signalLater wakes the sender of the link after healthBatchDelay. The caller must hold
// Exchange.mu.
func (l *link) signalLater() {
	if !l.wakeScheduled {
		l.wakeScheduled = true
		time.AfterFunc(healthBatchDelay, l.signal)
	}
}

// forward queues a fact for all links except the one that it came from. The caller
// must hold mu.
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

// runLink sends the link's pending facts, and this VM's revision if it is to be
// announced, each time it is woken, until the connection ends or the exchange stops.
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
			msg, more := x.nextMessage(l)
			if msg == nil {
				break
			}
			if err := l.conn.Notify(methodTell, msg); err != nil {
				l.conn.Close()
				break
			}
			if !more {
				break
			}
		}
	}
}

// nextMessage returns the next message for a link, or nil if there is nothing to send,
// and reports whether facts are left for a further message.
func (x *Exchange) nextMessage(l *link) (*tellMessage, bool) {
	revision := x.opts.Heads.Revision()
	msg := &tellMessage{}
	x.mu.Lock()
	// A revision that the peer has already announced itself isn't sent to it.
	if l.sendRevision && revision > l.peerRevision {
		msg.Revision = revision
	}
	l.sendRevision = false
	l.wakeScheduled = false
	var keys []facts.Key
	for key := range l.pending {
		if len(keys) == maxFactsPerMessage {
			break
		}
		keys = append(keys, key)
		delete(l.pending, key)
	}
	list := x.table.Facts(keys)
	more := len(l.pending) > 0
	x.mu.Unlock()
	if msg.Revision == 0 && len(list) == 0 {
		return nil, false
	}
	msg.factPayload = encodeFacts(l.conn, list)
	return msg, more
}

// handleLinkLoss handles the end of a connection. It dials the peer again, and the peer
// is suspected if that fails. It doesn't dial if the connection was closed on purpose, or
// if the peer is already suspected, lost or replaced by a later process.
func (x *Exchange) handleLinkLoss(l *link) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.links, l)
	if l.goodbye || !x.tomb.Alive() {
		return
	}
	// The peer is alive or leaving, and still the process that the link was opened to.
	if m, known := x.table.Member(l.name); known && m.State <= facts.Leaving && m.Incarnation == l.conn.Peer().Incarnation {
		x.dial(l.name, m.Address)
	}
}

// dial opens a connection to another VM in the background. If the dial fails, the VM of
// that name is suspected. The name is empty for a seed, an address from the settings
// whose VM isn't known; then no VM is suspected. dial does nothing if the address is
// being dialled or is this VM's own, or if the exchange has stopped. The caller must
// hold mu.
func (x *Exchange) dial(name, address string) {
	if x.dialing[address] || address == x.opts.VM.Address || !x.tomb.Alive() {
		return
	}
	x.dialing[address] = true
	x.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), dialTimeout)
		conn, err := wire.Dial(ctx, address, x.wireOptions(), &x.wireCounters)
		cancel()
		x.handleDialed(name, address, conn, err)
		return nil
	})
}

// dialTimeout bounds the dial of one peer.
const dialTimeout = 2 * time.Second

// handleDialed handles the end of a dial, whose result is conn and err. It suspects the
// named VM if the dial failed or another VM answered. It registers the new connection and
// compares digests with the VM that answered. It closes the connection instead if the
// connection isn't needed: the exchange has stopped, the peer is this VM itself or is
// already linked, or this VM has dialled more than Fanout others.
func (x *Exchange) handleDialed(name, address string, conn *wire.Conn, err error) {
	x.mu.Lock()
	delete(x.dialing, address)
	if err != nil {
		x.opts.Log.Debug("could not connect to peer", "vm", name, "address", address, "error", err)
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

// linkedTo reports whether there is a link to the named VM. The caller must hold mu.
func (x *Exchange) linkedTo(name string) bool {
	for l := range x.links {
		if l.name == name {
			return true
		}
	}
	return false
}

// outbound counts the links that this VM dialled. The caller must hold mu.
func (x *Exchange) outbound() int {
	n := 0
	for l := range x.links {
		if l.conn.Dialed() {
			n++
		}
	}
	return n
}

// linkOf returns the link of a connection, or nil. The caller must hold mu.
func (x *Exchange) linkOf(conn *wire.Conn) *link {
	for l := range x.links {
		if l.conn == conn {
			return l
		}
	}
	return nil
}

// flushLimit bounds how long a stopping VM waits for its last messages to be sent,
// so that a peer that doesn't respond can't delay it.
const flushLimit = 500 * time.Millisecond

// flush waits until no facts are pending on any link, at most flushLimit. It then
// waits 2*batchDelay, so that the last messages can be written.
func (x *Exchange) flush() {
	end := time.Now().Add(flushLimit)
	for x.tomb.Alive() && time.Now().Before(end) && x.hasPending() {
		time.Sleep(batchDelay)
	}
	time.Sleep(2 * batchDelay)
}

// hasPending reports whether facts are still to be sent on some link.
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

// decode decodes the JSON parameters of a message. Empty parameters leave into unchanged.
func decode(params json.RawMessage, into any) error {
	if len(params) == 0 {
		return nil
	}
	return json.Unmarshal(params, into)
}
