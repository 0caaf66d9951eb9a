package edge

import (
	"context"
	"time"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Parameters of opening connections before they are needed. A new connection takes a
// slot of its leaf for some milliseconds and a request the same time; after a start of
// all VMs at once, requests would wait for some hundred of them.
const (
	warmInterval  = time.Second
	warmDialPause = 8 * time.Millisecond // between two connections
)

// warmConns keeps a connection to each leaf of this VM's part, and to each VM that it calls.
func (n *Node) warmConns(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, warmInterval)
		for _, peer := range n.engine.unusedLeafPeers() {
			// Whether a leaf can be reached shows when it is needed.
			if err := n.engine.pool.Warm(ctx, peer); err != nil {
				n.log.Debug("no connection to a leaf", "leaf", peer.Key, "error", err)
			}
			sleep(ctx, warmDialPause)
		}
		n.engine.warmDelegates(ctx)
	}
}

func (e *Engine) unusedLeafPeers() []leafhttp.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var peers []leafhttp.Endpoint
	for _, l := range e.table.UnusedLeafs() {
		key := poolKey(scatter.LeafID{ID: l.ID, Born: l.Born})
		peers = append(peers, leafhttp.Endpoint{Key: key, Address: l.Address})
	}
	return peers
}

func (e *Engine) warmDelegates(ctx context.Context) {
	e.mu.Lock()
	partners := e.table.Delegates(time.Now())
	d := e.peerClient
	e.mu.Unlock()
	for _, vm := range partners {
		// Whether a VM can be reached shows when it is called.
		if opened, _ := d.connect(ctx, vm); opened {
			sleep(ctx, warmDialPause)
		}
	}
}
