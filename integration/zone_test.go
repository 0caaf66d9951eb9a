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
	zones           = 3         // number of availability zones of startZones
	zoneDaemons     = 2 * zones // daemons in all zones together
	zoneTargets     = 2 * zones // targets in all zones together
	connectionLimit = 5         // connections that each target accepts, fewer than there are VMs
	zoneReplicas    = 2         // replicas of each shard, in different zones
)

// startZones starts three availability zones with two VMs and two targets each. The two
// replicas of each shard are in different zones. Some VMs reach a target only through its
// owners, of which at most two are in one zone.
func startZones(t *testing.T) *cluster {
	cfg := fewConnections(zoneDaemons, zoneDaemons, connectionLimit)
	cfg.Zones, cfg.Targets, cfg.Replicas = zones, zoneTargets, zoneReplicas
	cfg.ProxyPeers, cfg.ProxyPlatform, cfg.ProxyTargets = true, true, true
	editTarget := cfg.Target
	cfg.Target = func(i int, o *targetsim.Options) {
		editTarget(i, o)
		o.IdleMS = 1000 // closes the target's end of a silent connection, which counts toward the target's limit
	}
	c := start(t, cfg)
	c.Eventually(c.vmsWithPlace, waitTimeout, "50ms").Should(gomega.HaveLen(zoneDaemons))
	c.waitLive(c.Daemons, zoneDaemons)
	return c
}

// inZone returns the daemons in a zone and those in all other zones.
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

// outage is a way in which a zone is lost and restored.
type outage struct {
	name    string
	lose    func(c *cluster, zone int)
	restore func(c *cluster, zone int)
}

var outages = []outage{
	{"killed", (*cluster).killZone, (*cluster).restartZone},
	{"cut off", func(c *cluster, zone int) { c.cutOffZone(zone, true) }, func(c *cluster, zone int) { c.cutOffZone(zone, false) }},
}

// killZone kills all daemons and targets of a zone.
func (c *cluster) killZone(zone int) {
	daemons, _ := c.inZone(zone)
	for _, d := range daemons {
		d.Kill()
	}
	for i := zone; i < len(c.Targets); i += zones {
		c.Targets[i].Kill()
	}
}

// restartZone starts the daemons and targets of a zone again at their old addresses.
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

// cutOffZone blocks all data between a zone and everything outside it if cut is set, and
// lets it pass again otherwise. No connection is closed.
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

// An availability zone is lost at once, its targets and VMs together, because of a power
// or network failure. VMs in the other zones must not give incomplete answers, since each
// shard has a replica there, nor wait for VMs that are lost. Then the zone returns and
// must serve again.
func TestZoneLost(t *testing.T) {
	t.Parallel() // it mostly waits
	c := startZones(t)
	for i, o := range outages {
		c.loseZone(o, zones-1-i)
	}
	c.expectWithinLimit(connectionLimit)
}

// loseZone loses a zone and restores it, under load on the VMs of the other zones. Their
// answers must become complete while the zone is lost, and again once it is back.
func (c *cluster) loseZone(o outage, zone int) {
	c.t.Helper()
	in, out := c.inZone(zone)
	l := c.startLoadOn(out, 1, 0, truthOf(c.Index).check)
	l.waitCompleteAnswers(50)
	began := time.Now()
	o.lose(c, zone)
	c.waitLive(out, len(out))
	c.t.Logf("%s: %v until the VMs of the other zones counted those of this zone as lost, %d incomplete answers", o.name, time.Since(began), l.incompleteCount())

	l.waitCompleteInRow(200)
	o.restore(c, zone)
	for _, d := range c.Daemons {
		c.waitInForce(d, 1)
		c.waitComplete(d)
	}
	c.waitLive(c.Daemons, len(in)+len(out))
	c.waitSearchesAt(zone)
	l.waitCompleteInRow(200)
	failures := l.stop()
	c.Expect(failures).To(gomega.BeEmpty())
}

// waitSearchesAt waits until each target of a zone gets searches.
func (c *cluster) waitSearchesAt(zone int) {
	c.t.Helper()
	for i := zone; i < len(c.Targets); i += zones {
		target := c.Targets[i]
		searches := func() int { return must[targetsim.Counters](c)(target.Counters()).Searches }
		before := searches()
		c.Eventually(searches, waitTimeout, "50ms").Should(gomega.BeNumerically(">", before), target.Name)
	}
}

// A zone is lost while the platform is down, or the platform goes down while a zone is
// lost. VMs must not wait for the platform where they can do without it. The second fault
// follows once the zone and the platform of the first are back.
func TestZoneLostWhilePlatformDown(t *testing.T) {
	t.Parallel() // it mostly waits
	c := startZones(t)
	// Seed 4 cuts off a zone and then the platform goes down. With seed 8 the platform
	// goes down first, and then a zone is killed.
	for _, seed := range []uint64{4, 8} {
		rng := rand.New(rand.NewPCG(seed, 0))
		c.loseZoneAndPlatform(rng)
	}
	c.expectWithinLimit(connectionLimit)
}

// loseZoneAndPlatform loses a random zone together with the platform, in random order,
// and restores both.
func (c *cluster) loseZoneAndPlatform(rng *rand.Rand) {
	c.t.Helper()
	o, zone := outages[rng.IntN(len(outages))], rng.IntN(zones)
	platformFirst := rng.IntN(2) == 0
	c.t.Logf("%s: %s, platform first: %v", o.name, zoneName(zone), platformFirst)
	stopPlatform := func() { c.ok(c.Platform.SetFaults(platformsim.Faults{Outage: true})) }
	combined := o
	combined.lose = func(c *cluster, zone int) {
		if platformFirst {
			stopPlatform()
		}
		o.lose(c, zone)
		if !platformFirst {
			stopPlatform()
		}
	}
	c.loseZone(combined, zone)
	c.ok(c.Platform.SetFaults(platformsim.Faults{}))
}
