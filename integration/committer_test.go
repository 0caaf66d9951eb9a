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

// committer is the index of the daemon that commits the claims of the committer tests. All
// other daemons have a lower index and send their claims to it.
const committer = 2

// startRelayingCluster starts three daemons and waits until the third has committed claims
// for each of the first two.
func startRelayingCluster(t *testing.T) *cluster {
	c := start(t, clusterConfig{Daemons: 3, ProxyPlatform: true})
	for requester := range committer {
		c.waitRelaying(requester)
	}
	return c
}

// waitRelaying waits until the committer has committed a claim for the daemon whose index
// is requester.
func (c *cluster) waitRelaying(requester int) {
	c.t.Helper()
	c.Eventually(func() bool {
		before := c.metric(c.Daemons[requester], "bramley_once_relayed_total")
		c.send(c.Daemons[requester], c.committerKey("warm"))
		return c.metric(c.Daemons[requester], "bramley_once_relayed_total") > before
	}, waitTimeout, "50ms").Should(gomega.BeTrue())
}

// committerKey returns a new key whose claim the committer commits as long as all daemons
// are alive.
func (c *cluster) committerKey(name string) string { return c.committerKeys(name, 1)[0] }

// committerKeys returns n new keys, each with a different second of creation, whose claims
// the committer commits as long as all daemons are alive.
func (c *cluster) committerKeys(name string, n int) []string {
	return c.keysCommittedBy(c.Daemons[committer], name, n)
}

// keysCommittedBy returns n new keys whose claims d commits as long as all daemons are
// alive. The claims of all keys of one second of creation are committed by the same VM,
// so each key has a different second.
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

// claimWithoutAnswer submits the key to the first daemon and returns once the committer
// has written the key's claim to the platform, but has not received the answer to that
// write. The channel gets the answer to the submit.
func (c *cluster) claimWithoutAnswer(key string) <-chan gateway.Answer {
	c.t.Helper()
	c.ok(c.PlatformProxies[committer].SetFaults(faultproxy.Faults{DelayMS: 100}))
	c.ok(c.Platform.SetFaults(platformsim.Faults{LoseAnswers: 1, WriteKind: once.Kind}))
	answer := c.sendAsync(c.Daemons[0], key)
	c.waitClaim(key)
	c.ok(c.Platform.SetFaults(platformsim.Faults{}))
	return answer
}

// expectAccepted expects that the answer says "accepted", that each of the given daemons,
// by index, answers "accepted" to the same key, and that the report ran once.
func (c *cluster) expectAccepted(key string, a gateway.Answer, daemons ...int) {
	c.t.Helper()
	c.Expect(result.Code(a.Code)).To(gomega.Equal(result.Accepted), a.Detail)
	for _, d := range daemons {
		c.Expect(c.finalCode(c.Daemons[d], key)).To(gomega.Equal(result.Accepted))
	}
	c.Expect(c.submitRuns()[key]).To(gomega.Equal(1))
}

// A report must not be answered "in progress" because of its own claim and then never run.
// The committer is killed after its write of the claim took effect and before it answers
// the VM that requested it. That VM falls back to an update of its own, and must recognize
// the entry that it finds as its own.
func TestCommitterKilledBetweenClaimAndAnswer(t *testing.T) {
	c := startRelayingCluster(t)
	key := c.committerKey("killed")
	answer := c.claimWithoutAnswer(key)
	c.Daemons[committer].Kill()
	c.expectAccepted(key, <-answer, 0, 1)
}

// A report must not run twice. The committer is cut off from the platform after its write
// of the claim took effect, gives up on the claim, and would clear it once the platform is
// reachable again. Meanwhile the VM that requested the claim has found it and sent the
// report to a target. With the claim cleared, a second submit would find the key free.
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

// flushCommitter makes the committer claim another key of the same second of creation.
// Once that claim is visible on the platform, the committer has completed all earlier
// work on claims of this second.
func (c *cluster) flushCommitter(key string) {
	c.t.Helper()
	second, _, _ := strings.Cut(key, "-")
	laterKey := fmt.Sprintf("%s-after-%d", second, time.Now().UnixNano())
	client := objstore.NewClient(c.Platform.Address, objstore.ClientOptions{})
	defer client.Close()
	c.Eventually(func() (string, error) {
		c.sendAsync(c.Daemons[committer], laterKey) // the committer may consider the platform down for a moment
		object, err := client.Get(c.ctx, once.Kind, deployment+"."+second)
		return string(object.Value), err
	}, waitTimeout, "100ms").Should(gomega.ContainSubstring(laterKey))
}

// The committer is frozen after its write of the claim took effect and before it answers
// the VM that requested it. It resumes after longer than any time limit of a claim. What
// the committer does after that must not change the outcome of the report.
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

// A report that every target refused is answered "not run". Later submits of its key must
// not be answered "in progress" forever. The committer is frozen before it reads the
// request for the claim. The VM that requested the claim writes one itself, is refused by
// the targets, and releases the key. When the committer resumes, it still reads from its
// socket the request for a submit that has already ended.
func TestCommitterResumedAfterNotRunAnswers(t *testing.T) {
	c := startRelayingCluster(t)
	c.ok(c.Daemons[committer].Pause())
	c.setTargetFaults(targetsim.Faults{ShedShare: 1})
	keys := c.committerKeys("thawed", 8)
	var pending []<-chan gateway.Answer
	for _, key := range keys {
		pending = append(pending, c.sendAsync(c.Daemons[0], key))
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
		c.flushCommitter(key) // the committer handles the requests in its socket before this one
		c.Expect(c.submitRuns()).NotTo(gomega.HaveKey(key))
		c.expectAccepted(key, c.send(c.Daemons[committer], key), 0, 1)
	}
}

// waitCommitterLost waits until the other daemons no longer count the committer as alive,
// which takes longer than any time limit of a claim.
func (c *cluster) waitCommitterLost() {
	c.t.Helper()
	for d := range committer {
		c.Eventually(func() float64 { return c.metric(c.Daemons[d], "bramley_peer_live_vms") }, waitTimeout, "100ms").
			Should(gomega.BeEquivalentTo(committer))
	}
}

// A client submits the same key to two VMs at the same time, twice each. A third VM
// commits the claims of both, while the platform loses some of its answers to this VM.
// The report must run exactly once.
func TestSameKeyAtTwoVMsThroughACommitter(t *testing.T) {
	c := startRelayingCluster(t)
	for i := range 8 {
		if i%2 == 1 {
			c.ok(c.Platform.SetFaults(platformsim.Faults{LoseAnswers: 2, WriteKind: once.Kind}))
		}
		key := c.committerKey(fmt.Sprint("both", i))
		pending := []<-chan gateway.Answer{
			c.sendAsync(c.Daemons[0], key), c.sendAsync(c.Daemons[1], key),
			c.sendAsync(c.Daemons[0], key), c.sendAsync(c.Daemons[1], key),
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
