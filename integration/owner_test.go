package integration

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/place"
)

// fewConnections configures a fleet in which not every VM can connect to every target.
// Each target accepts the given number of connections, and the bundle allows the given
// number of places (VMs), which must be greater.
func fewConnections(daemons, places, connections int) clusterConfig {
	return clusterConfig{
		Daemons: daemons, Targets: 3, Replicas: 2, LameDuck: time.Second,
		Target: func(_ int, o *targetsim.Options) { o.MaxConnections = connections },
		Bundle: func(b *bundle.Bundle) {
			b.Fleet.MaxVMs = places
			for i := range b.Services[0].Targets {
				b.Services[0].Targets[i].Connections = connections
			}
		},
	}
}

// expectWithinLimit expects that no target ever had more open connections than the limit,
// and that none refused a connection.
func (c *cluster) expectWithinLimit(limit int) {
	c.t.Helper()
	for _, target := range c.Targets {
		counts := must[struct{ Peak, Refused int }](c)(connectionCounts(target))
		c.t.Logf("%s: peak of %d connections, limit %d, %d refused", target.Name, counts.Peak, limit, counts.Refused)
		c.Expect(counts.Peak).To(gomega.BeNumerically("<=", limit))
		c.Expect(counts.Refused).To(gomega.BeZero())
	}
}

// A fleet has more VMs than its targets accept connections, and all VMs are replaced one
// after another under load. A VM without a connection can reach a target only through an
// owner, and the target refuses a new VM that connects too early. Every search must be
// answered completely, and no target may see more connections than it accepts.
func TestVMsWithoutConnectionsReachTargetsThroughOwners(t *testing.T) {
	const daemons, connections = 5, 3
	c := start(t, fewConnections(daemons, daemons+1, connections))
	rotation := &searchRotation{}
	rotation.setVMs(c.Daemons...)
	stop := c.startSearches(rotation)
	c.replaceVMs(rotation, 0)
	complete, failures := stop()
	c.Expect(failures).To(gomega.BeEmpty())
	c.Expect(complete).To(gomega.BeNumerically(">", 0))
	c.expectWithinLimit(connections)
}

// Owners are killed one after another while other VMs call targets through them, and new
// VMs take their places. The answers that such a VM waits for must not be lost with the
// owner: every search must still be answered completely within its time limit.
func TestOwnersKilledInMidQuery(t *testing.T) {
	const daemons, connections = 5, 3
	c := start(t, fewConnections(daemons, daemons, connections))
	c.killOwners()
	c.expectWithinLimit(connections)
}

// killOwners kills three VMs under load, one after another, and replaces each. Every
// search of the other VMs must be answered completely. Targets must accept three
// connections.
func (c *cluster) killOwners() {
	c.t.Helper()
	const owners = 2 // of each target, with one connection each; the third is reserved for a frozen owner
	c.waitOwners(owners)
	rotation := &searchRotation{}
	for i := range 3 {
		victim := c.Daemons[0]
		c.Daemons = c.Daemons[1:]
		rotation.setVMs(c.Daemons...)
		before := rotation.answered()
		stop := c.startSearches(rotation)
		c.Eventually(rotation.answered, waitTimeout, "10ms").Should(gomega.BeNumerically(">", before+50))
		victim.Kill()
		before = rotation.answered()
		c.Eventually(rotation.answered, waitTimeout, "10ms").Should(gomega.BeNumerically(">", before+50))
		_, failures := stop()
		c.Expect(failures).To(gomega.BeEmpty())

		fresh, err := c.StartDaemon(fleet.DaemonOptions{Name: fmt.Sprint("new-", i), Zone: zone, LameDuck: time.Second})
		c.ok(err)
		c.Daemons = append(c.Daemons, fresh)
		c.listVMs()
		c.waitInForce(fresh, 1)
		c.waitComplete(fresh)
		c.waitOwners(owners)
	}
}

// waitOwners waits until each target has this number of connections, one of each owner. A
// new VM can claim the place of a killed VM only once the latter counts as lost. Until
// then the loss of a further owner can leave a target without any owner.
func (c *cluster) waitOwners(owners int) {
	c.t.Helper()
	for _, target := range c.Targets {
		c.Eventually(func() (int, error) {
			counters, err := target.Counters()
			return counters.Connections.Current, err
		}, waitTimeout, "50ms").Should(gomega.Equal(owners), target.Name)
	}
}

// answered returns the number of complete answers so far.
func (r *searchRotation) answered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// An owner is frozen for longer than any timeout. There are more VMs than places, so its
// place is given to another VM. Then it resumes, still has its connections, and would
// open more. It must detect that it no longer holds the place, and no target may ever see
// more connections than it accepts.
func TestFrozenOwnerComesBack(t *testing.T) {
	const daemons, places, connections = 3, 4, 3
	const owned = 2 // connections to each target; the third is reserved for a frozen owner
	c := start(t, fewConnections(daemons, places, connections))
	frozen, others := c.Daemons[0], c.Daemons[1:]
	c.Eventually(c.vmsWithPlace, waitTimeout, "100ms").Should(gomega.HaveLen(daemons))
	c.ok(frozen.Pause())
	for i := range 2 {
		fresh, err := c.StartDaemon(fleet.DaemonOptions{Name: fmt.Sprint("new-", i), Zone: zone})
		c.ok(err)
		c.waitInForce(fresh, 1)
		others = append(others, fresh)
	}
	c.Eventually(c.vmsWithPlace, waitTimeout, "100ms").Should(gomega.And(
		gomega.HaveLen(places), gomega.Not(gomega.ContainElement(frozen.Name))))
	c.ok(frozen.Resume())
	c.waitInForce(frozen, 1)
	for _, d := range append(others, frozen) {
		c.waitComplete(d)
	}
	c.Expect(c.vmsWithPlace()).NotTo(gomega.ContainElement(frozen.Name))
	for _, target := range c.Targets {
		c.Eventually(func() (int, error) {
			counters, err := target.Counters()
			return counters.Connections.Current, err
		}, waitTimeout, "100ms").Should(gomega.BeNumerically("<=", owned), target.Name)
	}
	c.expectWithinLimit(connections)
}

// An owner is cut off from the other VMs, but neither from the platform nor from targets,
// until it counts as lost and its place is given to another VM. It was never frozen. Once the
// VMs are connected again, it must detect that it no longer holds the place and close its
// connections: the connection that is reserved for such an owner may be needed again.
func TestOwnerCutOffFromOtherVMsGivesUpItsPlace(t *testing.T) {
	t.Parallel() // it mostly waits
	const daemons, places, connections = 3, 4, 3
	const owned = 2 // connections to each target; the third is reserved for the owner that is cut off
	cfg := fewConnections(daemons, places, connections)
	cfg.ProxyPeers = true
	c := start(t, cfg)
	cutOff := c.Daemons[0]
	c.Eventually(c.vmsWithPlace, waitTimeout, "100ms").Should(gomega.HaveLen(daemons))
	c.split([]string{cutOff.Name}, []string{"vm-1", "vm-2", "vm-3", "vm-4"})
	for i := daemons; i < daemons+2; i++ {
		c.startDaemon(i)
		c.waitInForce(c.Daemons[i], 1)
	}
	c.Eventually(c.vmsWithPlace, waitTimeout, "100ms").Should(gomega.And(
		gomega.HaveLen(places), gomega.Not(gomega.ContainElement(cutOff.Name))))
	c.endSplit()
	for _, target := range c.Targets {
		c.Eventually(func() (int, error) {
			counters, err := target.Counters()
			return counters.Connections.Current, err
		}, waitTimeout, "100ms").Should(gomega.Equal(owned), target.Name)
	}
	for _, d := range c.Daemons {
		c.waitComplete(d)
	}
	c.Expect(c.vmsWithPlace()).NotTo(gomega.ContainElement(cutOff.Name))
	c.expectWithinLimit(connections)
}

// A target is paused under load for longer than it takes to find a connection silent, as on a
// machine that stalls. The owners replace their connections, while the target hasn't closed
// the old ones. It must not see more connections than it accepts.
func TestPausedTargetSeesNoMoreConnectionsThanItAccepts(t *testing.T) {
	const daemons, connections, pauses = 5, 3, 5
	const pause = 700 * time.Millisecond
	c := start(t, fewConnections(daemons, daemons, connections))
	rotation := &searchRotation{}
	rotation.setVMs(c.Daemons...)
	stop := c.startSearches(rotation)
	for range pauses {
		for _, target := range c.Targets {
			before := rotation.answered()
			c.Eventually(rotation.answered, waitTimeout, "10ms").Should(gomega.BeNumerically(">", before+20))
			c.ok(target.Pause())
			time.Sleep(pause)
			c.ok(target.Resume())
		}
	}
	stop()
	c.expectWithinLimit(connections)
}

// vmsWithPlace returns the names of the VMs that have claimed a place.
func (c *cluster) vmsWithPlace() (holders []string) {
	for _, claim := range c.placeClaims() {
		holders = append(holders, claim.VM)
	}
	return holders
}

// placeClaims returns the claims to places, by the number of the place.
func (c *cluster) placeClaims() map[int]place.Claim {
	page, err := objstore.NewClient(c.Platform.Address, objstore.ClientOptions{}).List(c.ctx, place.Kind, "", 100)
	c.ok(err)
	claims := map[int]place.Claim{}
	for _, object := range page.Objects {
		var claim place.Claim
		c.ok(json.Unmarshal(object.Value, &claim))
		number, found := strings.CutPrefix(object.Name, deployment+"-")
		c.Expect(found).To(gomega.BeTrue(), object.Name)
		claims[must[int](c)(strconv.Atoi(number))] = claim
	}
	return claims
}
