package node

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/ops"
)

// maxPlatformSilence is the time since the last successful read from the platform after
// which this VM reports the platform as unreachable.
const maxPlatformSilence = 5 * time.Second

// Status returns the state of this VM for the operators' status page.
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
	if inForce := n.follower.Current(); inForce != nil {
		st.Revision = inForce.Revision
		st.Digest = inForce.Digest
		st.Since = inForce.Since
		st.Ready = !st.Leaving && n.isWarmedUp(inForce.Since)
	}
	return st
}

// warmupTimeout bounds how long readiness waits for targets, counted from when the
// bundle came into force on this VM. If one service has lost all its targets, the other
// services must still be served.
const warmupTimeout = 3 * time.Second

// isWarmedUp reports whether this VM has known a readable snapshot of every service since
// it started, or warmupTimeout has passed since inForceSince. A VM that accepted requests as
// soon as a bundle is in force would answer that no replica is alive. Once true, the result
// stays true: a rollout that adds a service must not make all VMs unavailable at the same
// time.
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
