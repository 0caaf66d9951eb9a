package integration

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/faultproxy"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/operator"
	"github.com/bramleybarrow/bramleybarrow/peer"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// split separates the daemons of each group, given by name, from those of all other
// groups: no data passes between groups, and no connection is closed. It needs
// ProxyPeers. A call replaces the groups of an earlier one.
func (c *cluster) split(groups ...[]string) {
	c.t.Helper()
	for i, d := range c.Daemons {
		var blocked []string
		for _, group := range groups {
			if !slices.Contains(group, d.Name) {
				blocked = append(blocked, group...)
			}
		}
		c.ok(c.PeerProxies[i].SetFaults(faultproxy.Faults{Partitioned: blocked}))
	}
}

// endSplit ends the separation that split set up.
func (c *cluster) endSplit() {
	c.t.Helper()
	for _, p := range c.PeerProxies {
		c.ok(p.SetFaults(faultproxy.Faults{}))
	}
}

// cutOffPlatform blocks all data between these daemons and the platform if cut is set, and
// lets it pass again otherwise. It needs ProxyPlatform.
func (c *cluster) cutOffPlatform(daemons []*fleet.Daemon, cut bool) {
	c.t.Helper()
	for i, d := range c.Daemons {
		if slices.Contains(daemons, d) {
			c.ok(c.PlatformProxies[i].SetFaults(faultproxy.Faults{Frozen: cut}))
		}
	}
}

func daemonNames(daemons []*fleet.Daemon) (list []string) {
	for _, d := range daemons {
		list = append(list, d.Name)
	}
	return list
}

// waitLive waits until each of the daemons counts n VMs as alive.
func (c *cluster) waitLive(daemons []*fleet.Daemon, n int) {
	c.t.Helper()
	c.waitMetric(daemons, fmt.Sprintf("bramley_peer_live_vms %d\n", n))
}

// waitMetric waits until the metrics page of each of the daemons contains the line.
func (c *cluster) waitMetric(daemons []*fleet.Daemon, line string) {
	c.t.Helper()
	for _, d := range daemons {
		c.Eventually(func() string { return c.metrics(d) }, waitTimeout, "50ms").Should(gomega.ContainSubstring(line), d.Name)
	}
}

// waitCompleteAnswers waits for at least n more complete answers.
func (l *load) waitCompleteAnswers(n int) {
	l.c.t.Helper()
	before := l.answered(result.Complete)
	l.c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout, "10ms").
		Should(gomega.BeNumerically(">=", before+n), "complete answers")
}

// expectComplete waits for n more complete answers and expects no incomplete one
// meanwhile.
func (l *load) expectComplete(n int) {
	l.c.t.Helper()
	before := l.incompleteCount()
	l.waitCompleteAnswers(n)
	l.c.Expect(l.incompleteCount()).To(gomega.Equal(before), "incomplete answers; the last:\n%s", l.lastIncomplete())
}

// lastIncomplete describes the last incomplete answers, up to eight of them.
func (l *load) lastIncomplete() string {
	const shown = 8
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.incomplete[max(len(l.incomplete)-shown, 0):], "\n")
}

// waitCompleteInRow waits until n answers in a row are complete, and then expects the same
// of n further ones.
func (l *load) waitCompleteInRow(n int) {
	l.c.t.Helper()
	l.c.Eventually(func() bool {
		before := l.incompleteCount()
		l.waitCompleteAnswers(n)
		return l.incompleteCount() == before
	}, waitTimeout, "10ms").Should(gomega.BeTrue(), func() string {
		return fmt.Sprintf("%d complete answers in a row; the last incomplete ones:\n%s", n, l.lastIncomplete())
	})
	l.expectComplete(n)
}

// incompleteCount returns how many answers were not complete so far.
func (l *load) incompleteCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for code, times := range l.codes {
		if code != result.Complete {
			n += times
		}
	}
	return n
}

// The two halves of a fleet lose contact with each other, and one of them with the
// platform too. In the half that reaches the platform an operator rolls out a bundle, and
// the drain of a target is published.
//
// In both halves searches must become complete again, without VMs that are out of reach.
// No place changes its holder meanwhile, and each half has owners of each target. Once
// the halves are connected again, no VM may keep the old bundle, send requests to the
// target that drained, or make others return to an older revision.
func TestFleetSplitInHalves(t *testing.T) {
	t.Parallel() // it mostly waits
	const daemons, connections = 6, 5
	cfg := fewConnections(daemons, daemons, connections)
	cfg.ProxyPeers, cfg.ProxyPlatform = true, true
	c := start(t, cfg)
	c.Eventually(c.vmsWithPlace, waitTimeout, "50ms").Should(gomega.HaveLen(daemons))
	connected, isolated := c.Daemons[:daemons/2], c.Daemons[daemons/2:]
	next := c.pushSignedBundle("next")
	stop := c.watchRevisions()

	loads := []*load{
		c.startLoadOn(connected, 1, 0, truthOf(c.Index).check),
		c.startLoadOn(isolated, 1, 0, truthOf(c.Index).check),
	}
	c.waitLive(c.Daemons, daemons)
	const outsider = "member" // the VM that joinExchange adds, on the connected side
	c.split(append(daemonNames(connected), outsider), daemonNames(isolated))
	c.cutOffPlatform(isolated, true)
	began := time.Now()
	c.waitLive(c.Daemons, daemons/2)
	t.Logf("%v until each half counted the other as lost; %d and %d incomplete answers", time.Since(began), loads[0].incompleteCount(), loads[1].incompleteCount())
	for _, l := range loads {
		l.waitCompleteInRow(200)
		c.Expect(l.stop()).To(gomega.BeEmpty())
	}

	var answer operator.ChangeOutput
	c.ctl(fleet.Signer).must(&answer, "rollout", next, "--reason", "on one side")
	for _, d := range connected {
		c.waitInForce(d, answer.Revision)
	}
	draining := c.Targets[0]
	drain := peer.Drain{Target: draining.Name, Incarnation: must[targetsim.Counters](c)(draining.Counters()).Incarnation}
	member := c.joinExchange()
	member.PublishDrain(drain)
	c.waitMetric(connected, "bramley_peer_drains 1\n")
	for _, d := range isolated {
		status, err := d.Status(c.ctx)
		c.ok(err)
		c.Expect(status.Revision).To(gomega.Equal(answer.Revision-1), d.Name)
		c.Expect(c.metrics(d)).To(gomega.ContainSubstring("bramley_peer_drains 0\n"), d.Name)
	}

	c.ok(member.Stop(c.ctx))

	c.endSplit()
	began = time.Now()
	for _, d := range isolated {
		c.waitInForce(d, answer.Revision)
	}
	c.waitMetric(isolated, "bramley_peer_drains 1\n")
	t.Logf("%v from the end of the split until the half without the platform had the bundle and the drain", time.Since(began))
	c.waitLive(c.Daemons, daemons)
	time.Sleep(drainApplyTime)
	before := c.requestsReceived(draining)
	c.searchVia(isolated)
	c.Expect(c.requestsReceived(draining)).To(gomega.Equal(before), "requests to a target that drains")
	c.cutOffPlatform(isolated, false)
	c.searchVia(c.Daemons)
	c.Expect(stop()).To(gomega.BeEmpty(), "VMs whose revision decreased")
	c.expectWithinLimit(connections)
}

// searchVia sends five searches to each of the daemons and expects complete answers.
func (c *cluster) searchVia(daemons []*fleet.Daemon) {
	c.t.Helper()
	for _, d := range daemons {
		for range 5 {
			a, _, err := d.Search(c.ctx, findSearch, searchBody("well"))
			c.ok(err)
			c.Expect(result.Code(a.Code)).To(gomega.Equal(result.Complete), d.Name)
		}
	}
}
