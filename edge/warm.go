package edge

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
)

// Parameters of opening connections before they are needed. Opening a connection occupies a
// slot of the leaf for some milliseconds, and delays a request that waits for the connection by
// the same time. Without connections opened in advance, requests after a simultaneous start of
// all VMs would wait for several hundred new connections.
const (
	warmInterval  = time.Second          // pause between two rounds, each of which opens all missing connections to leafs and VMs
	warmDialPause = 8 * time.Millisecond // pause after opening a connection, before the next one is opened
)

// warmConns maintains a connection to each leaf of this VM's leaf partition, and to each VM
// that it calls, until ctx ends. The leaf partition of a VM is the part of its zone's leafs to
// which it keeps connections.
func (n *Node) warmConns(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, warmInterval)
		for _, endpoint := range n.engine.unusedLeafEndpoints() {
			// The error is only logged: an unreachable leaf is detected when it is used.
			if err := n.engine.pool.Warm(ctx, endpoint); err != nil {
				n.log.Debug("opening a connection to a leaf failed", "leaf", endpoint.Key, "error", err)
			}
			sleep(ctx, warmDialPause)
		}
		n.engine.warmVMs(ctx)
	}
}

// unusedLeafEndpoints returns the endpoints of the leafs in this VM's leaf partition that have
// no request of this VM in flight. Draining and suspect leafs are left out.
func (e *Engine) unusedLeafEndpoints() []leafhttp.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpointsOf(e.table.UnusedLeafs())
}

// warmVMs opens a connection to each VM that this one calls, and in a small fleet to each VM that it tells
// of contents that end leafs, unless there is one.
func (e *Engine) warmVMs(ctx context.Context) {
	e.mu.Lock()
	list := e.table.VMs()
	if len(list) > maxDirectlyTold {
		list = e.table.Delegates(time.Now())
	}
	client := e.peerClient
	e.mu.Unlock()
	for _, vm := range list {
		// The error is ignored: an unreachable VM is detected when it is called.
		if opened, _ := client.connect(ctx, vm); opened {
			sleep(ctx, warmDialPause)
		}
	}
}
