package integration

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/peer/share"
)

// daemonsWithoutPlace returns the daemons that hold no place. The places decide which VMs
// own connections to targets, so these daemons have none of their own.
func (c *cluster) daemonsWithoutPlace() (list []*fleet.Daemon) {
	c.Eventually(c.vmsWithPlace, waitTimeout, "100ms").ShouldNot(gomega.BeEmpty())
	holders := c.vmsWithPlace()
	for _, d := range c.Daemons {
		if !slices.Contains(holders, d.Name) {
			list = append(list, d)
		}
	}
	return list
}

// VMs without connections to targets get searches in bursts. Between the bursts they
// close their connections to owners, which are idle. The first searches after such a
// pause must be answered completely, even if many begin at the same time and each finds
// its connection closed.
func TestIdleConnectionsToOwnersAreClosedAndOpenedAgain(t *testing.T) {
	// connections is the limit of each target. searches is per burst and VM.
	const daemons, places, connections, bursts, searches = 5, 3, 2, 2, 4
	cfg := fewConnections(daemons, places, connections)
	cfg.Targets, cfg.Replicas = 1, 1
	editBundle := cfg.Bundle
	cfg.Bundle = func(b *bundle.Bundle) {
		editBundle(b)
		// Status reads go through owners too and would keep the connections in use.
		b.Services[0].Drain.HealthIntervalMS = 15_000
	}
	c := start(t, cfg)
	vms := c.daemonsWithoutPlace()
	c.Expect(vms).NotTo(gomega.BeEmpty())
	for range bursts {
		for _, d := range vms {
			c.Eventually(func() string { return c.metrics(d) }, waitTimeout, "100ms").
				Should(gomega.ContainSubstring("bramley_route_owner_connections 0\n"), d.Name)
		}
		var wg sync.WaitGroup
		for _, d := range vms {
			for range searches {
				wg.Go(func() {
					answer, status, err := d.Search(c.ctx, findSearch, searchBody("well"))
					if err != nil || answer.Coverage == nil || answer.Coverage.Ratio != 1 {
						t.Errorf("%s: status %d, %+v, %v", d.Name, status, answer, err)
					}
				})
			}
		}
		wg.Wait()
		for _, d := range vms {
			c.Expect(c.metrics(d)).NotTo(gomega.ContainSubstring("bramley_route_owner_connections 0\n"), d.Name)
		}
	}
	c.expectWithinLimit(connections)
}

// addSecondZone adds as many VMs in otherZone as the cluster has, and waits until all VMs
// answer searches completely.
func (c *cluster) addSecondZone() {
	for i := range c.Daemons {
		fresh, err := c.StartDaemon(fleet.DaemonOptions{Name: fmt.Sprint("far-", i), Zone: otherZone})
		c.ok(err)
		c.Daemons = append(c.Daemons, fresh)
	}
	c.listVMs()
	for _, d := range c.Daemons {
		c.waitInForce(d, 1)
		c.waitComplete(d)
	}
}

// otherZone is the zone of the VMs that addSecondZone adds.
const otherZone = "zone-b"

// VMs call owners in their own zone. One of these owners is frozen in the middle of
// queries, and then one in the other zone is killed. Until the fault of an owner is
// detected, each VM in its zone could wait for its answers or lose them. Other owners must
// take over at once, those in the other zone if there is none left in this one, and all
// searches must stay complete.
//
// Which VMs own a target is drawn anew in each run. If a fault leaves a zone without an owner
// of some target, the VMs there have to call owners in the other zone, so their calls are
// counted up to the fault only.
func TestNearOwnerFrozenAndKilledInMidQuery(t *testing.T) {
	// Each target accepts five connections. It has four owners with one connection each;
	// the fifth is reserved for a frozen owner.
	const vmsPerZone, connections, owners = 3, 5, 4
	cfg := fewConnections(vmsPerZone, 2*vmsPerZone, connections)
	editBundle := cfg.Bundle
	cfg.Bundle = func(b *bundle.Bundle) {
		editBundle(b)
		b.Zones = append(b.Zones, bundle.Zone{Name: otherZone, Region: "region"})
	}
	c := start(t, cfg)
	c.addSecondZone()
	c.Eventually(c.vmsWithPlace, waitTimeout, "100ms").Should(gomega.HaveLen(2 * vmsPerZone))
	c.waitOwners(owners)
	owns := c.ownership(connections)
	all := slices.Clone(c.Daemons)
	calls := &ownerCallCount{}
	for _, fault := range []struct {
		victim *fleet.Daemon
		inject func() error
	}{
		{all[0], all[0].Pause},
		{all[vmsPerZone], func() error { all[vmsPerZone].Kill(); return nil }},
	} {
		c.Daemons = slices.DeleteFunc(c.Daemons, func(d *fleet.Daemon) bool { return d == fault.victim })
		rotation := &searchRotation{}
		rotation.setVMs(c.Daemons...)
		stop := c.startSearches(rotation)
		c.Eventually(rotation.answered, waitTimeout, "10ms").Should(gomega.BeNumerically(">", 100))
		for _, d := range c.Daemons {
			if !c.hasNearOwners(d, owns) {
				c.countOwnerCalls(calls, d)
			}
		}
		c.ok(fault.inject())
		before := rotation.answered()
		c.Eventually(rotation.answered, waitTimeout, "10ms").Should(gomega.BeNumerically(">", before+200))
		_, failures := stop()
		c.Expect(failures).To(gomega.BeEmpty(), fault.victim.Name)
	}
	for _, d := range c.Daemons {
		c.countOwnerCalls(calls, d)
	}
	c.t.Logf("%d calls to owners within the zone, %d within the region", calls.inZone, calls.inRegion)
	c.Expect(calls.inZone).To(gomega.BeNumerically(">", calls.inRegion))
	c.expectWithinLimit(connections)
}

// ownership returns a function that reports whether a daemon owns connections to a target,
// by the places that the daemons hold now. connections is the connection limit of each
// target.
func (c *cluster) ownership(connections int) func(*fleet.Daemon, *fleet.Target) bool {
	c.t.Helper()
	plan := share.NewPlan(connections, c.Bundle.Fleet.MaxVMs)
	places := map[string]int{}
	for number, claim := range c.placeClaims() {
		places[claim.VM] = number
	}
	c.t.Logf("places: %v", places)
	return func(d *fleet.Daemon, t *fleet.Target) bool {
		number, held := places[d.Name]
		return held && plan.Connections(t.Name, number) > 0
	}
}

// hasNearOwners reports whether each target has an owner among the daemons in the zone of d.
// Otherwise d has to call owners in another zone.
func (c *cluster) hasNearOwners(d *fleet.Daemon, owns func(*fleet.Daemon, *fleet.Target) bool) bool {
	return !slices.ContainsFunc(c.Targets, func(t *fleet.Target) bool {
		return !slices.ContainsFunc(c.Daemons, func(o *fleet.Daemon) bool { return o.Zone == d.Zone && owns(o, t) })
	})
}

// ownerCallCount counts the calls of daemons to owners.
type ownerCallCount struct {
	counted          []*fleet.Daemon // daemons whose calls are counted
	inZone, inRegion int             // calls to owners in the same zone, and in another zone of the region
}

// countOwnerCalls adds the calls that a daemon has made so far, unless they are counted
// already.
func (c *cluster) countOwnerCalls(count *ownerCallCount, d *fleet.Daemon) {
	c.t.Helper()
	if slices.Contains(count.counted, d) {
		return
	}
	count.counted = append(count.counted, d)
	count.inZone += c.ownerCallsWithin(d, "zone")
	count.inRegion += c.ownerCallsWithin(d, "region")
}

// ownerCallsWithin returns how many calls a daemon made to owners at this distance: "zone"
// for the same zone, "region" for another zone of the same region.
func (c *cluster) ownerCallsWithin(d *fleet.Daemon, distance string) int {
	c.t.Helper()
	line := regexp.MustCompile(`bramley_route_owner_calls_total\{within="` + distance + `"\} (\d+)`)
	match := line.FindStringSubmatch(c.metrics(d))
	c.Expect(match).To(gomega.HaveLen(2), d.Name)
	return must[int](c)(strconv.Atoi(match[1]))
}
