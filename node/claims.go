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

// buildClaims creates the runner of non-idempotent requests. It also creates the links to
// the VMs that commit claims for this VM, which means that they write the claims to the
// platform. A claim records that a request's idempotency key is in use.
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

// handlePeerCall serves a call that another VM makes over the connection conn, which was
// opened for such calls, and returns the result. The call asks this VM to commit claims, or
// to call a leaf of a target that this VM owns. An owner of a target is a VM that holds
// connections to the target.
func (n *Node) handlePeerCall(ctx context.Context, conn *wire.Conn, method string, params json.RawMessage) (any, error) {
	if strings.HasPrefix(method, relay.Prefix) {
		return relay.Handle(ctx, n.claims, method, params)
	}
	return n.router.Handle(ctx, conn, method, params)
}
