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

// split cuts the daemons of each group, by name, off from those of all others, without a
// word: nothing passes, and nobody is told. It needs ProxyPeers.
func (c *cluster) split(groups ...[]string) {
	c.t.Helper()
	for i, d := range c.Daemons {
		var blocked []string
		for _, group := range groups {
			if !slices.Contains(group, d.Name) {
				blocked = append(blocked, group...)
			}
		}
		c.ok(c.PeerProxies[i].SetFaults(faultproxy.Faults{Apart: blocked}))
	}
}

// endSplit ends a split.
func (c *cluster) endSplit() {
	c.t.Helper()
	for _, p := range c.PeerProxies {
		c.ok(p.SetFaults(faultproxy.Faults{}))
	}
}

// cutOffPlatform lets nothing pass between some daemons and the platform, or
// lets it pass again. It needs ProxyPlatform.
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

// waitLive waits until each of the daemons counts so many as live.
func (c *cluster) waitLive(daemons []*fleet.Daemon, n int) {
	c.t.Helper()
	c.waitMetric(daemons, fmt.Sprintf("bramley_peer_live_vms %d\n", n))
}

// waitMetric waits until the metrics page of each of the daemons has the line.
func (c *cluster) waitMetric(daemons []*fleet.Daemon, line string) {
	c.t.Helper()
	for _, d := range daemons {
		c.Eventually(func() string { return c.metrics(d) }, waitTimeout, "50ms").Should(gomega.ContainSubstring(line), d.Name)
	}
}

// waitCompleteAnswers waits for so many more whole answers.
func (l *load) waitCompleteAnswers(n int) {
	l.c.t.Helper()
	before := l.answered(result.Complete)
	l.c.Eventually(func() int { return l.answered(result.Complete) }, waitTimeout, "10ms").
		Should(gomega.BeNumerically(">=", before+n), "whole answers")
}

// expectComplete expects that so many more answers are whole and none falls short.
func (l *load) expectComplete(n int) {
	l.c.t.Helper()
	short := l.incompleteCount()
	l.waitCompleteAnswers(n)
	l.c.Expect(l.incompleteCount()).To(gomega.Equal(short), "answers that fell short; the last:\n%s", l.lastIncomplete())
}

// lastIncomplete tells what the last answers that fell short were lacking.
func (l *load) lastIncomplete() string {
	const shown = 8
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.incomplete[max(len(l.incomplete)-shown, 0):], "\n")
}

// waitCompleteInRow waits until so many answers in a row are whole, and expects it to
// stay so for as many again.
func (l *load) waitCompleteInRow(n int) {
	l.c.t.Helper()
	l.c.Eventually(func() bool {
		short := l.incompleteCount()
		l.waitCompleteAnswers(n)
		return l.incompleteCount() == short
	}, waitTimeout, "10ms").Should(gomega.BeTrue(), func() string {
		return fmt.Sprintf("%d whole answers in a row; what fell short last:\n%s", n, l.lastIncomplete())
	})
	l.expectComplete(n)
}

// incompleteCount counts the answers that were not whole so far.
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

// Two halves of a fleet lose each other, and one of them the platform too. On
// the other side an operator rolls out a bundle and a target leaves. A user of
// either side would get half an answer, through VMs that are out of reach; once
// the halves join, a VM would stay with the old bundle, send work to the target
// that left, or set the others back. Places change no hands, and each half has
// owners of each target.
func TestFleetSplitInHalves(t *testing.T) {
	t.Parallel() // it waits for most of its time
	const daemons, connections = 6, 5
	s := fewConnections(daemons, daemons, connections)
	s.ProxyPeers, s.ProxyPlatform = true, true
	c := start(t, s)
	c.Eventually(c.vmsWithPlace, waitTimeout, "50ms").Should(gomega.HaveLen(daemons))
	connected, isolated := c.Daemons[:daemons/2], c.Daemons[daemons/2:]
	next := c.pushSignedBundle("next")
	stop := c.watchRevisions()

	loads := []*load{
		c.startLoadOn(connected, 1, 0, truthOf(c.Index).check),
		c.startLoadOn(isolated, 1, 0, truthOf(c.Index).check),
	}
	c.waitLive(c.Daemons, daemons)
	const outsider = "member" // of cluster.member
	c.split(append(daemonNames(connected), outsider), daemonNames(isolated))
	c.cutOffPlatform(isolated, true)
	began := time.Now()
	c.waitLive(c.Daemons, daemons/2)
	t.Logf("%v until each half counted the other out; %d and %d answers fell short", time.Since(began), loads[0].incompleteCount(), loads[1].incompleteCount())
	for _, l := range loads {
		l.waitCompleteInRow(200)
		c.Expect(l.stop()).To(gomega.BeEmpty())
	}

	var answer operator.ChangeOutput
	c.ctl(fleet.Signer).must(&answer, "rollout", next, "--reason", "on one side")
	for _, d := range connected {
		c.waitInForce(d, answer.Revision)
	}
	leaving := c.Targets[0]
	drain := peer.Drain{Target: leaving.Name, Incarnation: must[targetsim.Counters](c)(leaving.Counters()).Incarnation}
	member := c.joinExchange()
	member.LearnDrain(drain)
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
	t.Logf("%v from the join until the cut off half had the bundle and the drain, without the platform", time.Since(began))
	c.waitLive(c.Daemons, daemons)
	time.Sleep(drainApplyTime)
	before := c.requestsReceived(leaving)
	c.searchVia(isolated)
	c.Expect(c.requestsReceived(leaving)).To(gomega.Equal(before), "work for a target that left")
	c.cutOffPlatform(isolated, false)
	c.searchVia(c.Daemons)
	c.Expect(stop()).To(gomega.BeEmpty(), "VMs that went back")
	c.expectWithinLimit(connections)
}

// searchVia sends some searches to each of the daemons, each of which must be
// answered whole.
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
