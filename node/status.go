package node

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/ops"
)

// platformSilence is how long the platform may go unread before this VM says
// that it cannot reach it.
const platformSilence = 5 * time.Second

// Status returns what the operators' page shows.
func (n *Node) Status() ops.Status {
	st := ops.Status{
		VM:              n.set.Name,
		Zone:            n.set.Zone,
		Deployment:      n.set.Deployment,
		Incarnation:     n.incarnation,
		Started:         n.started,
		Leaving:         n.leaving.Load(),
		PlatformContact: n.keeper.PlatformContact(),
		Peers:           n.peers.Peers(),
	}
	st.PlatformReachable = time.Since(st.PlatformContact) < platformSilence
	if err := n.keeper.Refusal(); err != nil {
		st.Refused = err.Error()
	}
	if force := n.keeper.Current(); force != nil {
		st.Revision = force.Revision
		st.Digest = force.Digest
		st.Since = force.Since
		st.Ready = !st.Leaving
	}
	return st
}
