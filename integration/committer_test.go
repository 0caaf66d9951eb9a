package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/faultproxy"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/once"
	"github.com/bramleybarrow/bramleybarrow/once/relay"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// committer is the daemon that commits the claims of these tests; the others ask
// it.
const committer = 2

// startRelayingCluster starts three daemons and waits until the first two have had
// claims carried out by the third.
func startRelayingCluster(t *testing.T) *cluster {
	c := start(t, clusterConfig{Daemons: 3, ProxyPlatform: true})
	for requester := range committer {
		c.waitRelaying(requester)
	}
	return c
}

// waitRelaying waits until a daemon has its claims carried out by the committer.
func (c *cluster) waitRelaying(requester int) {
	c.t.Helper()
	c.Eventually(func() bool {
		before := c.metric(c.Daemons[requester], "bramley_once_relayed_total")
		c.send(c.Daemons[requester], c.committerKey("warm"))
		return c.metric(c.Daemons[requester], "bramley_once_relayed_total") > before
	}, waitTimeout, "50ms").Should(gomega.BeTrue())
}

// committerKey returns a fresh key whose second the committer commits, if all
// daemons live.
func (c *cluster) committerKey(name string) string { return c.committerKeys(name, 1)[0] }

// committerKeys returns such keys of as many seconds.
func (c *cluster) committerKeys(name string, n int) []string {
	return c.keysCommittedBy(c.Daemons[committer], name, n)
}

// keysCommittedBy returns fresh keys of as many seconds that a daemon commits, if
// all live.
func (c *cluster) keysCommittedBy(d *fleet.Daemon, name string, n int) (keys []string) {
	var vms []objstore.VM
	for _, other := range c.Daemons {
		vms = append(vms, other.VM())
	}
	for second := time.Now().Unix(); len(keys) < n; second-- {
		segment := fmt.Sprintf("%s.%010d", deployment, second)
		vm, _ := relay.Choose(segment, vms, func(string) bool { return false })
		if vm.Name == d.Name {
			keys = append(keys, fmt.Sprintf("%d-%s-%d", second, name, time.Now().UnixNano()))
		}
	}
	return keys
}

// claimWithoutAnswer makes the first daemon's claim land by the committer's update
// while the committer does not yet know.
func (c *cluster) claimWithoutAnswer(key string) <-chan gateway.Answer {
	c.t.Helper()
	c.ok(c.PlatformProxies[committer].SetFaults(faultproxy.Faults{DelayMS: 100}))
	c.ok(c.Platform.SetFaults(platformsim.Faults{LoseAnswers: 1, LoseKind: once.Kind}))
	answer := c.sendAside(c.Daemons[0], key)
	c.waitClaim(key)
	c.ok(c.Platform.SetFaults(platformsim.Faults{}))
	return answer
}

// expectAccepted expects that the report ran once, and that all VMs say so.
func (c *cluster) expectAccepted(key string, a gateway.Answer, daemons ...int) {
	c.t.Helper()
	c.Expect(result.Code(a.Code)).To(gomega.Equal(result.Accepted), a.Detail)
	for _, d := range daemons {
		c.Expect(c.finalCode(c.Daemons[d], key)).To(gomega.Equal(result.Accepted))
	}
	c.Expect(c.submitRuns()[key]).To(gomega.Equal(1))
}

// A report is told "in progress" by its own claim and never runs. The VM that
// commits for others is killed after the claim landed and before it could say
// so. The VM that asked falls back to an update of its own and must know the
// entry that it finds for its own.
func TestCommitterKilledBetweenClaimAndAnswer(t *testing.T) {
	c := startRelayingCluster(t)
	key := c.committerKey("killed")
	answer := c.claimWithoutAnswer(key)
	c.Daemons[committer].Kill()
	c.expectAccepted(key, <-answer, 0, 1)
}

// A report runs twice. The VM that commits is cut off from the platform after
// the claim landed, gives up on it, and clears it away when it is back. The VM
// that asked has found the claim meanwhile and handed the report over, and a
// second sending finds the key free.
func TestCommitterCutOffBetweenClaimAndAnswer(t *testing.T) {
	c := startRelayingCluster(t)
	c.setTargetFaults(targetsim.Faults{HoldSubmits: true})
	key := c.committerKey("cut")
	answer := c.claimWithoutAnswer(key)
	c.ok(c.PlatformProxies[committer].SetFaults(faultproxy.Faults{Frozen: true}))
	c.waitRun(key)
	c.ok(c.PlatformProxies[committer].SetFaults(faultproxy.Faults{}))
	c.ok(c.PlatformProxies[committer].Cut())
	c.flushCommitter(key)
	c.Expect(result.Code(c.send(c.Daemons[1], key).Code)).To(gomega.Equal(result.InProgress))
	c.setTargetFaults(targetsim.Faults{})
	c.expectAccepted(key, <-answer, 0, 1, committer)
}

// flushCommitter has the committer claim another key of the same second, which comes
// after all that it still had to do there.
func (c *cluster) flushCommitter(key string) {
	c.t.Helper()
	second, _, _ := strings.Cut(key, "-")
	after := fmt.Sprintf("%s-after-%d", second, time.Now().UnixNano())
	client := objstore.NewClient(c.Platform.Address, objstore.ClientOptions{})
	defer client.Close()
	c.Eventually(func() (string, error) {
		c.sendAside(c.Daemons[committer], after) // the platform may count as down for a moment
		object, err := client.Get(c.ctx, once.Kind, deployment+"."+second)
		return string(object.Value), err
	}, waitTimeout, "100ms").Should(gomega.ContainSubstring(after))
}

// The VM that commits is frozen between claim and answer for longer than any
// time limit, and then goes on. What it does then must change nothing.
func TestCommitterFrozenBetweenClaimAndAnswer(t *testing.T) {
	c := startRelayingCluster(t)
	key := c.committerKey("frozen")
	answer := c.claimWithoutAnswer(key)
	c.ok(c.Daemons[committer].Pause())
	c.expectAccepted(key, <-answer, 0, 1)
	c.waitCommitterLost()
	c.ok(c.Daemons[committer].Resume())
	c.ok(c.PlatformProxies[committer].SetFaults(faultproxy.Faults{}))
	c.Expect(c.finalCode(c.Daemons[committer], key)).To(gomega.Equal(result.Accepted))
	c.Expect(c.finalCode(c.Daemons[0], key)).To(gomega.Equal(result.Accepted))
	c.Expect(c.submitRuns()[key]).To(gomega.Equal(1))
}

// A report that every target refused is told "not run", and then "in progress"
// for ever. The VM that commits is frozen before it reads the claim; the VM that
// asked claims by itself, is refused and gives the key free; the frozen VM goes
// on and finds the claim of a sending that has ended in its socket.
func TestCommitterResumedAfterNotRunAnswers(t *testing.T) {
	c := startRelayingCluster(t)
	c.ok(c.Daemons[committer].Pause())
	c.setTargetFaults(targetsim.Faults{ShedShare: 1})
	keys := c.committerKeys("thawed", 8)
	var pending []<-chan gateway.Answer
	for _, key := range keys {
		pending = append(pending, c.sendAside(c.Daemons[0], key))
	}
	for _, answer := range pending {
		a := <-answer
		c.Expect(result.Code(a.Code).Info().Ran).To(gomega.Equal(result.RanNo), a.Detail)
	}
	c.setTargetFaults(targetsim.Faults{})
	c.Expect(c.metric(c.Daemons[0], "bramley_once_fallbacks_total")).To(gomega.BeNumerically(">", 0))
	c.waitCommitterLost()
	c.ok(c.Daemons[committer].Resume())
	for _, key := range keys {
		c.flushCommitter(key) // comes after what waits in its socket
		c.Expect(c.submitRuns()).NotTo(gomega.HaveKey(key))
		c.expectAccepted(key, c.send(c.Daemons[committer], key), 0, 1)
	}
}

// waitCommitterLost waits until the other daemons count the committer as gone, which
// takes longer than any time limit of a claim.
func (c *cluster) waitCommitterLost() {
	c.t.Helper()
	for d := range committer {
		c.Eventually(func() float64 { return c.metric(c.Daemons[d], "bramley_peer_live_vms") }, waitTimeout, "100ms").
			Should(gomega.BeEquivalentTo(committer))
	}
}

// A bookmark sync fires twice, at two VMs at once, and both have their claims
// carried out by a third, while the platform loses answers. One of them runs.
func TestSameKeyAtTwoVMsThroughACommitter(t *testing.T) {
	c := startRelayingCluster(t)
	for i := range 8 {
		if i%2 == 1 {
			c.ok(c.Platform.SetFaults(platformsim.Faults{LoseAnswers: 2, LoseKind: once.Kind}))
		}
		key := c.committerKey(fmt.Sprint("both", i))
		pending := []<-chan gateway.Answer{
			c.sendAside(c.Daemons[0], key), c.sendAside(c.Daemons[1], key),
			c.sendAside(c.Daemons[0], key), c.sendAside(c.Daemons[1], key),
		}
		for _, answer := range pending {
			a := <-answer
			c.Expect(result.Code(a.Code)).To(gomega.BeElementOf(result.Accepted, result.InProgress), a.Detail)
		}
		c.Expect(c.finalCode(c.Daemons[0], key)).To(gomega.Equal(result.Accepted))
		c.Expect(c.send(c.Daemons[0], key).Result).To(gomega.MatchJSON(c.send(c.Daemons[1], key).Result))
		c.Expect(c.submitRuns()[key]).To(gomega.Equal(1))
	}
}
