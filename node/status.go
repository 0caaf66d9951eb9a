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
	if err := n.keeper.LastRefusal(); err != nil {
		st.Refused = err.Error()
	}
	if force := n.keeper.Current(); force != nil {
		st.Revision = force.Revision
		st.Digest = force.Digest
		st.Since = force.Since
		st.Ready = !st.Leaving && n.warm(force.Since)
	}
	return st
}

// warmupLimit is how long readiness waits for targets. Where a service has lost
// them all, the others must be served all the same.
const warmupLimit = 3 * time.Second

// warm reports whether this VM has got to know its targets since it started. A
// VM that took callers' requests as soon as a bundle is in force would tell them
// that no replica lives. Once warm it stays so: a rollout that brings a new
// service must not make all VMs unready together.
func (n *Node) warm(inForceSince time.Time) bool {
	if n.warmed.Load() {
		return true
	}
	if !n.engine.Readable() && time.Since(inForceSince) < warmupLimit {
		return false
	}
	n.warmed.Store(true)
	return true
}
