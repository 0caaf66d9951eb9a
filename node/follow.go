package node

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/rollout"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// followRevisions applies each revision of the bundle that comes into force. It also opens
// and closes connections to a target when this VM becomes one of the target's owners (the
// VMs that hold connections to it) or stops being one.
func (n *Node) followRevisions() error {
	var applied *rollout.InForce
	for {
		changed := n.follower.Changed()
		if inForce := n.follower.Current(); inForce != applied {
			n.applyRevision(inForce)
			applied = inForce
		}
		// The channel signals that this VM's shares of connections changed. Get it before
		// endpoints reads the shares, so that no change is missed.
		shares := n.router.Changed()
		if applied != nil {
			endpoints := n.endpoints(applied.Bundle)
			n.client.Apply(endpoints)
			n.monitor.Apply(endpoints)
			n.health.Reapply()
		}
		select {
		case <-changed:
		case <-shares:
		case <-n.tomb.Dying():
			return nil
		}
	}
}

// applyRevision applies a bundle that came into force to all parts of the daemon.
func (n *Node) applyRevision(inForce *rollout.InForce) {
	n.router.Apply(inForce.Bundle)
	endpoints := n.endpoints(inForce.Bundle)
	n.engine.Apply(inForce.Bundle)
	n.client.Apply(endpoints)
	n.health.Apply(inForce.Bundle)
	n.monitor.Apply(endpoints)
	n.applyDrains()
	n.claims.SetFleetSize(inForce.Bundle.Fleet.MaxVMs)
	n.log.Info("revision in force", "revision", inForce.Revision, "digest", inForce.Digest)
}

// followDrains applies the drains that other VMs report until the Node stops. A drain states
// that one incarnation of a target is about to leave.
func (n *Node) followDrains() error {
	for {
		changed := n.peers.DrainsChanged()
		n.applyDrains()
		select {
		case <-changed:
		case <-n.tomb.Dying():
			return nil
		}
	}
}

// applyDrains passes all drains that are known from other VMs to the engine.
func (n *Node) applyDrains() {
	for _, d := range n.peers.Drains() {
		n.engine.MarkDraining(d.Target, d.Incarnation)
	}
}

// watchingCheckInterval is the time between two checks of whether this VM should watch the
// platform for changes.
const watchingCheckInterval = time.Second

// updateWatching checks every watchingCheckInterval whether this VM is one of those that
// watch the platform for changes, and passes the result to the follower. The other VMs rely
// on their peers for changes.
func (n *Node) updateWatching() error {
	ticker := time.NewTicker(watchingCheckInterval)
	defer ticker.Stop()
	for {
		n.follower.SetWatching(n.peers.Watching())
		select {
		case <-ticker.C:
		case <-n.tomb.Dying():
			return nil
		}
	}
}

// endpoints returns the endpoints of a bundle's targets. Each states this VM's share: how
// many connections to the target this VM may hold.
func (n *Node) endpoints(b *bundle.Bundle) []target.Endpoint {
	var list []target.Endpoint
	for i := range b.Services {
		svc := &b.Services[i]
		for j := range svc.Targets {
			t := &svc.Targets[j]
			list = append(list, target.Endpoint{
				Name:           t.Name,
				Zone:           t.Zone,
				Address:        t.Address,
				Connections:    n.router.Connections(t.Name),
				ConnectCost:    time.Duration(t.ConnectCostMS * float64(time.Millisecond)),
				HealthInterval: time.Duration(svc.Drain.HealthIntervalMS) * time.Millisecond,
				HealthTimeout:  time.Duration(svc.Drain.HealthTimeoutMS) * time.Millisecond,
			})
		}
	}
	return list
}
