package node

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/once"
	"github.com/bramleybarrow/bramleybarrow/once/relay"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// buildClaims makes the runner of non-idempotent requests and its ways to the
// VMs that commit for this one.
func (n *Node) buildClaims() {
	n.links = relay.NewLinks(relay.Options{
		Self:  n.settings.Name,
		Fleet: n.peers,
		Log:   logging.Component(n.log, "claims"),
	})
	n.claims = once.NewRunner(once.Options{
		Store:       n.store,
		VM:          n.settings.Name,
		Incarnation: n.incarnation,
		Log:         logging.Component(n.log, "once"),
		Metrics:     n.metrics,
		Deployment:  n.settings.Deployment,
		Peers:       n.links,
	})
}

// handlePeerCall serves the calls that other VMs make over connections of their own.
func (n *Node) handlePeerCall(ctx context.Context, conn *wire.Conn, method string, params json.RawMessage) (any, error) {
	if strings.HasPrefix(method, relay.Prefix) {
		return relay.Handle(ctx, n.claims, method, params)
	}
	return n.router.Handle(ctx, conn, method, params)
}
