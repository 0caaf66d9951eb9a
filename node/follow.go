package node

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/rollout"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// followRevisions puts each revision that comes into force to work, and opens and closes
// connections when this VM becomes an owner of targets or ceases to be one.
func (n *Node) followRevisions() error {
	var applied *rollout.InForce
	for {
		changed := n.follower.Changed()
		if force := n.follower.Current(); force != applied {
			n.applyRevision(force)
			applied = force
		}
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

func (n *Node) applyRevision(force *rollout.InForce) {
	n.router.Apply(force.Bundle)
	endpoints := n.endpoints(force.Bundle)
	n.engine.Apply(force.Bundle)
	n.client.Apply(endpoints)
	n.health.Apply(force.Bundle)
	n.monitor.Apply(endpoints)
	n.applyDrains()
	n.claims.SetFleetSize(force.Bundle.Fleet.MaxVMs)
	n.log.Info("revision in force", "revision", force.Revision, "digest", force.Digest)
}

// followDrains takes drains that other VMs learned.
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

func (n *Node) applyDrains() {
	for _, d := range n.peers.Drains() {
		n.engine.MarkDraining(d.Target, d.Incarnation)
	}
}

// watchingCheckInterval is how often this VM asks itself whether it is one of those
// that watch the platform.
const watchingCheckInterval = time.Second

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

// endpoints gives this VM its share of each target's connections.
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
