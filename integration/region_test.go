package integration

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/operator"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

// Two regions lose contact with each other, and one of them with the platform, just after
// a faulty bundle came into force everywhere. The bundle is recalled in the region that
// reaches the platform. In the other region one VM is replaced, and the new one gets the
// faulty bundle from its neighbor; then the neighbor is frozen. The platform's list still
// names the VM that was replaced.
//
// Once the regions are connected again, the side with the faulty bundle must apply the
// recall, through its peers alone, and must never spread the faulty bundle back to the
// other side.
func TestRecallWhileRegionsAreApart(t *testing.T) {
	t.Parallel() // it mostly waits
	const daemons, replacement = 4, "vm-4"
	var c *cluster
	c = start(t, clusterConfig{
		Daemons: daemons, Zones: 2, ProxyPeers: true, ProxyPlatform: true,
		Bundle: func(b *bundle.Bundle) {
			b.Fleet.MaxVMs = daemons + 1
			b.Zones[0].Region, b.Zones[1].Region = "near", "far"
		},
		Settings: func(i int, s *settings.Settings) {
			if i >= daemons { // the replacement: its region is cut off from the platform
				s.Zone = zoneName(1)
				s.Platform.Address = c.PlatformProxies[1].Address
				s.Seeds = []string{c.Daemons[1].Peers}
			}
		},
	})
	near := []*fleet.Daemon{c.Daemons[0], c.Daemons[2]}
	far := []*fleet.Daemon{c.Daemons[1], c.Daemons[3]}
	good, faulty := c.pushSignedBundle("good"), c.pushSignedBundle("faulty")
	person := c.ctl(fleet.Signer)
	var answer operator.ChangeOutput
	person.must(&answer, "rollout", good, "--reason", "good", "--wait", "30s")
	person.must(&answer, "rollout", faulty, "--reason", "faulty", "--wait", "30s")
	faultyRevision := answer.Revision
	stop := c.watchRevisions()

	c.cutOffPlatform(far, true)
	c.split(daemonNames(near), append(daemonNames(far), replacement))
	c.waitLive(c.Daemons, daemons/2)
	person.must(&answer, "recall", "head", "--reason", "faulty")
	c.Expect(answer.InForce).To(gomega.Equal(good))
	recallRevision := answer.Revision
	for _, d := range near {
		c.waitInForce(d, recallRevision)
	}

	far[1].Kill()
	c.startDaemon(daemons)
	fresh := c.Daemons[daemons]
	c.split(daemonNames(near), append(daemonNames(far), replacement))
	stopFresh := c.watchRevisionsOf(fresh)
	c.waitInForce(fresh, faultyRevision)
	for _, d := range []*fleet.Daemon{far[0], fresh} {
		c.Expect(must[string](c)(digestOf(c.ctx, d))).To(gomega.Equal(faulty), d.Name)
		c.waitComplete(d)
	}
	// The replacement can get the addresses of the other region's VMs only from its
	// neighbor. A VM that knows no other VM stays isolated until the platform is
	// reachable again.
	c.waitMetric([]*fleet.Daemon{fresh}, "bramley_peer_lost_vms 3\n")
	c.ok(far[0].Pause())

	c.endSplit()
	c.waitInForce(fresh, recallRevision)
	c.ok(far[0].Resume())
	c.waitInForce(far[0], recallRevision)
	for _, d := range append(near, far[0], fresh) {
		c.Expect(must[string](c)(digestOf(c.ctx, d))).To(gomega.Equal(good), d.Name)
		c.waitComplete(d)
	}
	c.Expect(stop()).To(gomega.BeEmpty(), "VMs whose revision decreased")
	c.Expect(stopFresh()).To(gomega.BeEmpty(), "VMs whose revision decreased")
}
