package node

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/ops"
)

// maxPlatformSilence is how long the platform may go unread before this VM says
// that it cannot reach it.
const maxPlatformSilence = 5 * time.Second

// Status returns what the operators' page shows.
func (n *Node) Status() ops.Status {
	st := ops.Status{
		VM:              n.settings.Name,
		Zone:            n.settings.Zone,
		Deployment:      n.settings.Deployment,
		Incarnation:     n.incarnation,
		Started:         n.started,
		Leaving:         n.leaving.Load(),
		PlatformContact: n.follower.PlatformContact(),
		Peers:           n.peers.Peers(),
	}
	st.PlatformReachable = time.Since(st.PlatformContact) < maxPlatformSilence
	if err := n.follower.LastRefusal(); err != nil {
		st.Refused = err.Error()
	}
	if force := n.follower.Current(); force != nil {
		st.Revision = force.Revision
		st.Digest = force.Digest
		st.Since = force.Since
		st.Ready = !st.Leaving && n.isWarmedUp(force.Since)
	}
	return st
}

// warmupTimeout is how long readiness waits for targets. Where a service has lost
// them all, the others must be served all the same.
const warmupTimeout = 3 * time.Second

// isWarmedUp reports whether this VM has got to know its targets since it started. A
// VM that took callers' requests as soon as a bundle is in force would tell them
// that no replica lives. Once isWarmedUp it stays so: a rollout that brings a new
// service must not make all VMs unready together.
func (n *Node) isWarmedUp(inForceSince time.Time) bool {
	if n.warmedUp.Load() {
		return true
	}
	if !n.engine.Readable() && time.Since(inForceSince) < warmupTimeout {
		return false
	}
	n.warmedUp.Store(true)
	return true
}
