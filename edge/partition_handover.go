package edge

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// Methods by which a VM hands its leaf partitions over (see docs/design/handover.md). Both have a
// body in CBOR.
const (
	methodHandOver  = "handover"  // a call with a handoverMessage; answered once the successor is ready
	methodSuccessor = "successor" // a notification with a successorMessage
)

// handoverMessage hands partitions over to the VM that gets it.
type handoverMessage struct {
	Handover scatter.Handover `cbor:"1,keyasint"`
	ReadyUS  int64            `cbor:"2,keyasint"` // time within which the successor has to answer, in microseconds
}

// successorMessage tells a caller that another VM stands in for the sender.
type successorMessage struct {
	Partitions []scatter.Partition `cbor:"1,keyasint"`
	Successor  string              `cbor:"2,keyasint"` // name of the VM that stands in
}

// Parameters of a hand-over.
const (
	// handoverGraceShare bounds the search for a successor, as a share of the time between
	// SIGTERM and SIGKILL. This VM stays on the list of VMs meanwhile.
	handoverGraceShare = 0.25
	// handoverTryShare is the share of that time that one candidate gets.
	handoverTryShare = 0.5
	// successorDials is how many connections a successor opens side by side.
	successorDials = 2
	// maxWarmTime is how long a returning VM may take to open connections before it announces
	// itself.
	maxWarmTime = 1500 * time.Millisecond
)

// handOver looks for a VM to stand in for this one, and tells the VMs that call this one. It does
// nothing if no other VM is needed. If it finds none, this VM leaves as it would without.
func (n *Node) handOver(ctx context.Context) {
	p := n.transport.Load()
	if p == nil {
		return
	}
	n.engine.mu.Lock()
	now := time.Now()
	candidates, handover := n.engine.table.Successors(now), n.engine.table.Handover(now)
	n.engine.mu.Unlock()
	if len(candidates) == 0 {
		return
	}
	limit := time.Duration(handoverGraceShare * float64(n.grace()))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	try := time.Duration(handoverTryShare * float64(limit))
	outcome := "no_successor"
	for _, vm := range candidates {
		if err := p.handOver(ctx, vm, handover, try); err != nil {
			n.log.Warn("a VM does not stand in for this one", "vm", vm.Name, "zone", vm.Zone, "error", err)
			continue
		}
		told := p.announceSuccessor(&successorMessage{Partitions: handover.Partitions, Successor: vm.Name})
		n.log.Info("partitions handed over", "vm", vm.Name, "zone", vm.Zone, "partitions", len(handover.Partitions),
			"leafs", len(handover.Leafs), "told", told, "ms", time.Since(now).Milliseconds())
		outcome = "done"
		break
	}
	n.engine.stats.count(`bramley_edge_partition_handovers_total{outcome=%q}`, outcome)
}

// handOver implements peerClient. It returns once the VM has answered that it serves the partitions,
// or after limit.
func (p *peerTransport) handOver(ctx context.Context, vm scatter.VM, handover scatter.Handover, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := p.link(vm).ensureConn(ctx, vm, p)
	if err != nil {
		return err
	}
	// The answer has to arrive in time, too.
	body, err := cbor.Marshal(&handoverMessage{Handover: handover, ReadyUS: limit.Microseconds() / 2})
	if err != nil {
		return err
	}
	return conn.CallBody(ctx, methodHandOver, body)
}

// announceSuccessor tells the VMs that have opened a connection to this one who stands in for it. It
// returns how many messages were sent.
func (p *peerTransport) announceSuccessor(msg *successorMessage) int {
	body, err := cbor.Marshal(msg)
	if err != nil {
		p.log.Error("naming the successor failed", "error", err)
		return 0
	}
	told := 0
	for _, conn := range p.server.Conns() {
		if err := conn.NotifyBody(methodSuccessor, body); err != nil {
			// That VM calls other owners once the list shows that this one has left.
			p.log.Debug("naming the successor to a VM failed", "vm", conn.Peer().VM, "error", err)
			continue
		}
		told++
	}
	return told
}

// serveHandOver makes this VM stand in for the one that sent the message, and opens connections to the
// partitions' leafs. It returns when they are open or the stated time is over.
func (e *Engine) serveHandOver(ctx context.Context, conn *wire.Conn, params []byte) error {
	var msg handoverMessage
	if err := decodeBody(params, &msg); err != nil {
		return err
	}
	if msg.Handover.From != conn.Peer().VM {
		return result.Errorf(result.BadMessage, "hand-over of %q sent by %q", msg.Handover.From, conn.Peer().VM)
	}
	if e.leaving.Load() {
		return result.Errorf(result.Leaving, "this VM is about to stop")
	}
	e.mu.Lock()
	leafs, err := e.table.AcceptHandover(time.Now(), msg.Handover)
	e.mu.Unlock()
	if err != nil {
		return result.Wrap(result.BadMessage, err, "hand-over")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(msg.ReadyUS)*time.Microsecond)
	defer cancel()
	opened := e.warmLeafs(ctx, endpointsOf(leafs), successorDials)
	e.stats.count(`bramley_edge_partition_handovers_total{outcome="taken"}`)
	e.log.Info("partitions taken over", "vm", msg.Handover.From, "partitions", len(msg.Handover.Partitions),
		"leafs", len(leafs), "connected", opened)
	return nil
}

// recordSuccessor records who stands in for the VM that sent the message.
func (e *Engine) recordSuccessor(conn *wire.Conn, params []byte) error {
	var msg successorMessage
	if err := decodeBody(params, &msg); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.RecordSuccessor(time.Now(), conn.Peer().VM, msg.Successor, msg.Partitions)
	return nil
}

// handBack tells owners that have returned what this VM learned while it stood in for them.
func (e *Engine) handBack() {
	e.mu.Lock()
	returned, client := e.table.TakeReturned(time.Now()), e.peerClient
	e.mu.Unlock()
	for _, owner := range returned {
		go func() {
			err := client.handOver(context.Background(), owner.VM, owner.Handover, maxWarmTime)
			e.stats.count(`bramley_edge_partition_handovers_total{outcome="back"}`)
			e.log.Info("partitions handed back", "vm", owner.VM.Name, "leafs", len(owner.Handover.Leafs), "error", err)
		}()
	}
}

// endpointsOf returns the endpoints of leafs.
func endpointsOf(leafs []registry.Leaf) []leafhttp.Endpoint {
	var endpoints []leafhttp.Endpoint
	for _, l := range leafs {
		key := poolKey(scatter.LeafID{ID: l.ID, Born: l.Born})
		endpoints = append(endpoints, leafhttp.Endpoint{Key: key, Address: l.Address})
	}
	return endpoints
}

// warmLeafs opens a connection to each endpoint to which there is none, the given number side by
// side, until ctx ends. It returns the number of endpoints to which there is a connection then.
func (e *Engine) warmLeafs(ctx context.Context, endpoints []leafhttp.Endpoint, dials int) int {
	next := make(chan leafhttp.Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		next <- endpoint
	}
	close(next)
	var mu sync.Mutex // guards connected
	connected := 0
	var wg sync.WaitGroup
	for range dials {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for endpoint := range next {
				if ctx.Err() != nil {
					return
				}
				// An unreachable leaf is detected when it is used.
				if err := e.pool.Warm(ctx, endpoint); err != nil {
					e.log.Debug("opening a connection to a leaf failed", "leaf", endpoint.Key, "error", err)
					continue
				}
				mu.Lock()
				connected++
				mu.Unlock()
				sleep(ctx, warmDialPause)
			}
		}()
	}
	wg.Wait()
	return connected
}

// warmBeforeAnnouncing opens connections to the leafs of this VM's partition, if the VMs that can be
// called for it now have much less power: calls come here as soon as this VM is listed. It takes
// maxWarmTime at most.
func (n *Node) warmBeforeAnnouncing(ctx context.Context) {
	defer n.warmed.Store(true)
	ctx, cancel := context.WithTimeout(ctx, maxWarmTime)
	defer cancel()
	// Without a manifest it is not known which partition this VM owns.
	for n.engine.inForce.Get() == nil {
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, warmDialPause)
	}
	if !n.engine.isMissed() {
		return
	}
	start := time.Now()
	opened := n.engine.warmLeafs(ctx, n.engine.unusedLeafEndpoints(), successorDials)
	n.log.Info("connected before announcing", "leafs", opened, "ms", time.Since(start).Milliseconds())
}

// isMissed reports whether other VMs serve this VM's partition in its place now, with much less power.
func (e *Engine) isMissed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	return e.table.IsServedByOthers(now) && e.table.IsNeeded(now)
}
