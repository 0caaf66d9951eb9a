package integration

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/faultproxy"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
)

const (
	zones        = 3
	zoneDaemons  = 2 * zones
	zoneTargets  = 2 * zones
	zoneLimit    = 5 // connections of each target, fewer than VMs
	zoneReplicas = 2 // of each shard, in two zones
)

// startZones runs three availability zones with two VMs and two targets each.
// Each shard has a replica in another zone, and each target is reached by some
// VMs through others, its owners, of which two at most are in one zone.
func startZones(t *testing.T) *cluster {
	s := fewConnections(zoneDaemons, zoneDaemons, zoneLimit)
	s.Zones, s.Targets, s.Replicas = zones, zoneTargets, zoneReplicas
	s.ProxyPeers, s.ProxyPlatform, s.ProxyTargets = true, true, true
	editTarget := s.Target
	s.Target = func(i int, o *targetsim.Options) {
		editTarget(i, o)
		o.IdleMS = 1000 // the target's end of a silent connection counts against its limit
	}
	c := start(t, s)
	c.Eventually(c.vmsWithPlace, waitTimeout, "50ms").Should(gomega.HaveLen(zoneDaemons))
	c.waitLive(c.Daemons, zoneDaemons)
	return c
}

// inZone returns the daemons of a zone, and the others.
func (c *cluster) inZone(zone int) (in, out []*fleet.Daemon) {
	for _, d := range c.Daemons {
		if d.Zone == zoneName(zone) {
			in = append(in, d)
		} else {
			out = append(out, d)
		}
	}
	return in, out
}

// outage is the loss of a zone and its return.
type outage struct {
	name    string
	lose    func(c *cluster, zone int)
	restore func(c *cluster, zone int)
}

var outages = []outage{
	{"killed", (*cluster).killZone, (*cluster).restartZone},
	{"cut off", func(c *cluster, zone int) { c.cutOffZone(zone, true) }, func(c *cluster, zone int) { c.cutOffZone(zone, false) }},
}

// killZone ends all processes of a zone at once.
func (c *cluster) killZone(zone int) {
	daemons, _ := c.inZone(zone)
	for _, d := range daemons {
		d.Kill()
	}
	for i := zone; i < len(c.Targets); i += zones {
		c.Targets[i].Kill()
	}
}

// restartZone starts them again at their addresses.
func (c *cluster) restartZone(zone int) {
	c.t.Helper()
	for i := zone; i < len(c.Targets); i += zones {
		o := c.Targets[i].Options
		o.Listen = c.Targets[i].Address
		c.Targets[i] = must[*fleet.Target](c)(c.StartTarget(o))
	}
	for i, d := range c.Daemons {
		if d.Zone == zoneName(zone) {
			c.Daemons[i] = must[*fleet.Daemon](c)(c.RestartDaemon(d))
		}
	}
}

// cutOffZone lets nothing pass between a zone and the rest, or lets it pass
// again. Nobody is told.
func (c *cluster) cutOffZone(zone int, cut bool) {
	c.t.Helper()
	in, out := c.inZone(zone)
	if cut {
		c.split(daemonNames(in), daemonNames(out))
	} else {
		c.endSplit()
	}
	c.cutOffPlatform(in, cut)
	for i := zone; i < len(c.Targets); i += zones {
		c.ok(c.TargetProxies[i].SetFaults(faultproxy.Faults{Frozen: cut}))
	}
}

// An availability zone goes at once, its targets and VMs together, by loss of
// power or of the network. A user of a VM in another zone would get half an
// answer though each shard has a replica in another zone, or wait for VMs that
// are gone. Then the zone comes back and takes its part again.
func TestZoneLost(t *testing.T) {
	t.Parallel() // it waits for most of its time
	c := startZones(t)
	for i, o := range outages {
		c.loseZone(o, zones-1-i)
	}
	c.expectWithinLimit(zoneLimit)
}

// loseZone lets a zone be lost and come back under load on the rest.
func (c *cluster) loseZone(o outage, zone int) {
	c.t.Helper()
	in, out := c.inZone(zone)
	l := c.startLoadOn(out, 1, 0, truthOf(c.Index).check)
	l.waitCompleteAnswers(50)
	began := time.Now()
	o.lose(c, zone)
	c.waitLive(out, len(out))
	c.t.Logf("%s: %v until the lost VMs were counted out, %d answers fell short", o.name, time.Since(began), l.incompleteCount())

	l.waitCompleteInRow(200)
	o.restore(c, zone)
	for _, d := range c.Daemons {
		c.waitInForce(d, 1)
		c.waitComplete(d)
	}
	c.waitLive(c.Daemons, len(in)+len(out))
	c.expectWorkFor(zone)
	l.waitCompleteInRow(200)
	failures := l.stop()
	c.Expect(failures).To(gomega.BeEmpty())
}

// expectWorkFor waits until each target of a zone gets searches.
func (c *cluster) expectWorkFor(zone int) {
	c.t.Helper()
	for i := zone; i < len(c.Targets); i += zones {
		target := c.Targets[i]
		searches := func() int { return must[targetsim.Counters](c)(target.Counters()).Searches }
		before := searches()
		c.Eventually(searches, waitTimeout, "50ms").Should(gomega.BeNumerically(">", before), target.Name)
	}
}

// A zone is lost while the platform is down, or the platform goes while a zone
// is lost, and a second zone may follow the first once that is back. A user
// would find that VMs wait for the platform with what they could do by
// themselves. Fixed seeds.
func TestZoneLostWhilePlatformDown(t *testing.T) {
	t.Parallel() // it waits for most of its time
	c := startZones(t)
	// A zone cut off and then the platform; the platform and then a zone killed.
	for _, seed := range []uint64{4, 8} {
		rng := rand.New(rand.NewPCG(seed, 0))
		c.loseZoneAndPlatform(rng)
	}
	c.expectWithinLimit(zoneLimit)
}

func (c *cluster) loseZoneAndPlatform(rng *rand.Rand) {
	c.t.Helper()
	o, zone := outages[rng.IntN(len(outages))], rng.IntN(zones)
	platformFirst := rng.IntN(2) == 0
	c.t.Logf("%s: %s, platform first: %v", o.name, zoneName(zone), platformFirst)
	down := func() { c.ok(c.Platform.SetFaults(platformsim.Faults{Outage: true})) }
	both := o
	both.lose = func(c *cluster, zone int) {
		if platformFirst {
			down()
		}
		o.lose(c, zone)
		if !platformFirst {
			down()
		}
	}
	c.loseZone(both, zone)
	c.ok(c.Platform.SetFaults(platformsim.Faults{}))
}
