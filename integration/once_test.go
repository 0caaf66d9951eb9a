package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
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
	"github.com/bramleybarrow/bramleybarrow/result"
)

// sendTimeout bounds one submit, including its answer.
const sendTimeout = 20 * time.Second

// send submits a report under the key. If it receives no answer, it returns an answer
// with code 0 and the error as its detail.
func (c *cluster) send(d *fleet.Daemon, key string) gateway.Answer {
	ctx, cancel := context.WithTimeout(c.ctx, sendTimeout)
	defer cancel()
	a, _, err := d.Submit(ctx, fileSearch, key, map[string]string{"report": key})
	if err != nil {
		return gateway.Answer{Detail: err.Error()}
	}
	return a
}

// sendAsync calls send in a goroutine and returns a channel that gets the answer.
func (c *cluster) sendAsync(d *fleet.Daemon, key string) <-chan gateway.Answer {
	answer := make(chan gateway.Answer, 1)
	go func() { answer <- c.send(d, key) }()
	return answer
}

// finalCode submits the key repeatedly until it receives an answer that says neither "in
// progress" nor "not run", and returns that answer's code.
func (c *cluster) finalCode(d *fleet.Daemon, key string) result.Code {
	c.t.Helper()
	var code result.Code
	c.Eventually(func() bool {
		code = result.Code(c.send(d, key).Code)
		return code != 0 && code != result.InProgress && code.Info().Ran != result.RanNo
	}, waitTimeout, "100ms").Should(gomega.BeTrue(), "last code %v", &code)
	return code
}

// setTargetFaults sets the same faults at all targets.
func (c *cluster) setTargetFaults(f targetsim.Faults) {
	for _, t := range c.Targets {
		c.ok(t.SetFaults(f))
	}
}

// waitClaim waits until the platform holds a claim of the key.
func (c *cluster) waitClaim(key string) {
	c.t.Helper()
	client := objstore.NewClient(c.Platform.Address, objstore.ClientOptions{})
	defer client.Close()
	c.Eventually(func() (string, error) {
		page, err := client.List(c.ctx, once.Kind, "", 100)
		text := ""
		for _, o := range page.Objects {
			text += string(o.Value)
		}
		return text, err
	}, waitTimeout, "10ms").Should(gomega.ContainSubstring(key))
}

// waitRun waits until the targets have started the report of the key once.
func (c *cluster) waitRun(key string) {
	c.t.Helper()
	c.Eventually(func() int { return c.submitRuns()[key] }, waitTimeout, "20ms").Should(gomega.Equal(1))
}

// A report must not run twice. The target runs it and the connection breaks before the
// answer. The connection was a reused one, on which net/http would by itself repeat a
// request that looks idempotent.
func TestConnectionCutAfterWriteRunsOnce(t *testing.T) {
	c := start(t, clusterConfig{})
	const keys = 8
	for i := range keys {
		c.Expect(result.Code(c.send(c.Daemons[i%2], newKey("warm")).Code)).To(gomega.Equal(result.Accepted))
	}
	c.setTargetFaults(targetsim.Faults{CutSubmits: 1000})
	for i := range keys {
		key := newKey(fmt.Sprint("cut", i))
		for turn := range 4 {
			a := c.send(c.Daemons[(i+turn)%2], key)
			c.Expect(result.Code(a.Code)).To(gomega.Equal(result.OutcomeUnknown), a.Detail)
		}
		c.Expect(c.submitRuns()[key]).To(gomega.Equal(1))
	}
}

// A client submits the same key to two VMs at the same time, twice each, while the
// platform applies some of their claims and loses the answers. The report must run exactly
// once.
func TestSameKeyAtTwoVMsRunsOnce(t *testing.T) {
	c := start(t, clusterConfig{})
	for i := range 12 {
		if i%2 == 1 {
			c.ok(c.Platform.SetFaults(platformsim.Faults{LoseAnswers: 2, WriteKind: once.Kind}))
		}
		key := newKey(fmt.Sprint("both", i))
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

// A report runs at the target and its VM is killed before the answer. The client tries
// another VM, which must not run the report again, and must answer that the outcome is
// unknown.
func TestVMKilledBeforeTheAnswer(t *testing.T) {
	c := start(t, clusterConfig{})
	c.setTargetFaults(targetsim.Faults{HoldSubmits: true})
	key := newKey("killed")
	c.sendAsync(c.Daemons[0], key)
	c.waitRun(key)
	c.Daemons[0].Kill()
	c.setTargetFaults(targetsim.Faults{})
	c.Expect(c.finalCode(c.Daemons[1], key)).To(gomega.Equal(result.OutcomeUnknown))
	c.Expect(c.submitRuns()[key]).To(gomega.Equal(1))
}

// The VM is killed after the platform applied its claim and before the VM knew of it, so
// nothing ran. The other VM can't distinguish this from a run, so it must not run the
// report.
func TestVMKilledBeforeTheHandOver(t *testing.T) {
	c := start(t, clusterConfig{ProxyPlatform: true})
	c.setTargetFaults(targetsim.Faults{HoldSubmits: true}) // no outcome is stored if the claim's answer arrives before the kill
	c.ok(c.PlatformProxies[0].SetFaults(faultproxy.Faults{DelayMS: 300}))
	key := newKey("claimed")
	c.sendAsync(c.Daemons[0], key)
	c.waitClaim(key)
	c.Daemons[0].Kill()
	c.setTargetFaults(targetsim.Faults{})
	c.Expect(c.finalCode(c.Daemons[1], key)).To(gomega.Equal(result.OutcomeUnknown))
	c.Expect(c.submitRuns()[key]).To(gomega.BeNumerically("<=", 1))
}

// A VM is frozen right after its claim, for longer than its time limit, while the client
// tries another VM. Then it resumes and still considers the claim its own. Whichever VM
// runs the report, it must run at most once.
func TestVMFrozenBeforeTheHandOver(t *testing.T) {
	c := start(t, clusterConfig{ProxyPlatform: true})
	c.setTargetFaults(targetsim.Faults{HoldSubmits: true}) // no outcome is stored if the claim's answer arrives before the pause
	c.ok(c.PlatformProxies[0].SetFaults(faultproxy.Faults{DelayMS: 300}))
	key := newKey("frozen")
	first := c.sendAsync(c.Daemons[0], key)
	c.waitClaim(key)
	c.ok(c.Daemons[0].Pause())
	c.setTargetFaults(targetsim.Faults{})
	code := c.finalCode(c.Daemons[1], key)
	c.ok(c.Daemons[0].Resume())
	c.Expect(code).To(gomega.Equal(result.OutcomeUnknown))
	c.ok(c.PlatformProxies[0].SetFaults(faultproxy.Faults{}))
	a := <-first
	c.finalCode(c.Daemons[1], key)
	runs := c.submitRuns()[key]
	c.Expect(runs).To(gomega.BeNumerically("<=", 1))
	if result.Code(a.Code) == result.Accepted {
		c.Expect(runs).To(gomega.Equal(1))
	}
}

// A VM is frozen after it sent a report to the target. Meanwhile the other VM must not run
// the report. Once the first VM has resumed, both must give the outcome that the target
// answered.
func TestVMFrozenBeforeTheAnswer(t *testing.T) {
	c := start(t, clusterConfig{})
	c.setTargetFaults(targetsim.Faults{HoldSubmits: true})
	key := newKey("held")
	first := c.sendAsync(c.Daemons[0], key)
	c.waitRun(key)
	c.ok(c.Daemons[0].Pause())
	c.setTargetFaults(targetsim.Faults{})
	c.Expect(result.Code(c.send(c.Daemons[1], key).Code)).To(gomega.BeElementOf(result.InProgress, result.OutcomeUnknown))
	c.ok(c.Daemons[0].Resume())
	firstAnswer := <-first
	c.Expect(result.Code(firstAnswer.Code)).To(gomega.BeElementOf(result.Accepted, result.OutcomeUnknown))
	c.Eventually(func() int { return c.send(c.Daemons[1], key).Code }, waitTimeout, "100ms").Should(gomega.Equal(firstAnswer.Code))
	c.Expect(c.submitRuns()[key]).To(gomega.Equal(1))
}

// A VM's claim takes effect, but the VM receives nothing more from the platform. It
// answers "not run", which the targets' records confirm. The other VM finds the claim.
// Once the first VM can reach the platform again it must remove the claim, or the report
// could never run under its key.
func TestClaimAnswerLostForLong(t *testing.T) {
	c := start(t, clusterConfig{ProxyPlatform: true})
	const tries = 20 // the next key is tried if the answer arrived before the fault was set
	// The first VM commits the claims of these keys itself. Otherwise the other VM would
	// commit them and could answer the first despite the fault.
	for _, key := range c.keysCommittedBy(c.Daemons[0], "unheard", tries) {
		c.ok(c.Platform.SetFaults(platformsim.Faults{LoseAnswers: 1000, WriteKind: once.Kind}))
		c.ok(c.PlatformProxies[0].SetFaults(faultproxy.Faults{DelayMS: 400}))
		answer := c.sendAsync(c.Daemons[0], key)
		c.waitClaim(key)
		// The VM is about to read whether its claim took effect.
		c.ok(c.PlatformProxies[0].SetFaults(faultproxy.Faults{LoseDown: true}))
		c.ok(c.Platform.SetFaults(platformsim.Faults{}))
		a := <-answer
		if result.Code(a.Code) == result.ClaimsDown {
			c.Expect(a.RetryAfterMS).To(gomega.BeNumerically(">", 0))
			c.expectReleased(key)
			return
		}
		c.ok(c.PlatformProxies[0].SetFaults(faultproxy.Faults{}))
		c.ok(c.PlatformProxies[0].Cut())
	}
	t.Fatal("the answer to the claim was never lost in time")
}

// expectReleased expects that the report has not run and its key is still claimed. Then
// it restores the first daemon's connection to the platform, and waits until the claim is
// removed and the other daemon can run the report.
func (c *cluster) expectReleased(key string) {
	c.t.Helper()
	c.Expect(c.submitRuns()).NotTo(gomega.HaveKey(key))
	c.Expect(result.Code(c.send(c.Daemons[1], key).Code)).To(gomega.BeElementOf(result.InProgress, result.OutcomeUnknown))
	c.ok(c.PlatformProxies[0].SetFaults(faultproxy.Faults{}))
	c.ok(c.PlatformProxies[0].Cut())
	c.Eventually(func() int { return c.send(c.Daemons[1], key).Code }, waitTimeout, "100ms").Should(gomega.Equal(int(result.Accepted)))
	c.Expect(c.submitRuns()[key]).To(gomega.Equal(1))
}

// The platform is down when reports arrive. Each must be answered "not run", with a time
// after which to retry. When the platform is up again, each must run once under its old
// key.
func TestPlatformDownRunsNothing(t *testing.T) {
	c := start(t, clusterConfig{})
	c.ok(c.Platform.SetFaults(platformsim.Faults{Outage: true}))
	var keys []string
	for i := range 6 {
		key := newKey(fmt.Sprint("down", i))
		keys = append(keys, key)
		a := c.send(c.Daemons[i%2], key)
		c.Expect(result.Code(a.Code)).To(gomega.Equal(result.ClaimsDown), a.Detail)
		c.Expect(a.RetryAfterMS).To(gomega.BeNumerically(">", 0))
	}
	c.Expect(c.submitRuns()).To(gomega.BeEmpty())
	c.ok(c.Platform.SetFaults(platformsim.Faults{}))
	for i, key := range keys {
		c.Expect(c.finalCode(c.Daemons[(i+1)%2], key)).To(gomega.Equal(result.Accepted))
		c.Expect(c.submitRuns()[key]).To(gomega.Equal(1))
	}
}

// Faults overlap and repeat: the platform loses writes and answers and goes down,
// connections are cut and become silent, targets refuse requests and cut connections, a
// VM freezes. Each key is submitted in five rounds, each time to two random VMs at once.
// By the targets' own records no report may run twice, a report whose answers all say
// "not run" must not have run, and a report with an answer "accepted" must have run.
func TestOnceUnderRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := start(t, clusterConfig{Daemons: 3, ProxyPlatform: true, ProxyTargets: true})
			const senders, keys, tries = 4, 6, 5 // keys of each sender, tries of each key
			received := make([]map[string][]result.Code, senders)
			var wg sync.WaitGroup
			for s := range senders {
				rng := rand.New(rand.NewPCG(seed, uint64(s)))
				received[s] = map[string][]result.Code{}
				wg.Go(func() {
					for i := range keys {
						key := newKey(fmt.Sprintf("random%d-%d", s, i))
						for range tries {
							one, other := c.sendAsync(c.Daemons[rng.IntN(3)], key), c.sendAsync(c.Daemons[rng.IntN(3)], key)
							codes := []result.Code{result.Code((<-one).Code), result.Code((<-other).Code)}
							received[s][key] = append(received[s][key], codes...)
						}
					}
				})
			}
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			c.randomFaults(rand.New(rand.NewPCG(seed, 99)), done)
			runs := c.submitRuns()
			for _, keys := range received {
				for key, codes := range keys {
					c.expectOnce(key, codes, runs[key])
				}
			}
		})
	}
}

// expectOnce expects that the number of runs of a report agrees with the codes of all
// answers to its key.
func (c *cluster) expectOnce(key string, codes []result.Code, runs int) {
	c.t.Helper()
	c.Expect(runs).To(gomega.BeNumerically("<=", 1), "%s ran twice, answered %v", key, codes)
	allNotRun := true
	for _, code := range codes {
		if code == result.Accepted {
			c.Expect(runs).To(gomega.Equal(1), "%s was answered %v", key, codes)
		}
		allNotRun = allNotRun && code != 0 && code.Info().Ran == result.RanNo
	}
	if allNotRun {
		c.Expect(runs).To(gomega.BeZero(), "%s was answered %v", key, codes)
	}
}

// randomFaults repeatedly sets up to two random faults and clears them, until done is
// closed.
func (c *cluster) randomFaults(rng *rand.Rand, done <-chan struct{}) {
	const faultTime, calmTime = 300 * time.Millisecond, 200 * time.Millisecond
	randomDaemon := func() int { return rng.IntN(len(c.Daemons)) }
	for {
		paused := -1
		for range 2 {
			switch rng.IntN(7) {
			case 0:
				c.ok(c.Platform.SetFaults(platformsim.Faults{Outage: true}))
			case 1:
				c.ok(c.Platform.SetFaults(platformsim.Faults{LoseAnswers: 3, WriteKind: once.Kind}))
			case 2:
				c.ok(c.Platform.SetFaults(platformsim.Faults{LoseWrites: 3, WriteKind: once.Kind}))
			case 3:
				c.ok(c.PlatformProxies[randomDaemon()].Silence())
			case 4:
				c.ok(c.TargetProxies[rng.IntN(len(c.TargetProxies))].Cut())
			case 5:
				c.setTargetFaults(targetsim.Faults{CutSubmits: 1, ShedShare: 0.5})
			case 6:
				if paused < 0 {
					paused = randomDaemon()
					c.ok(c.Daemons[paused].Pause())
				}
			}
		}
		time.Sleep(faultTime)
		if paused >= 0 {
			c.ok(c.Daemons[paused].Resume())
		}
		c.ok(c.Platform.SetFaults(platformsim.Faults{}))
		c.setTargetFaults(targetsim.Faults{})
		select {
		case <-done:
			return
		case <-time.After(calmTime):
		}
	}
}
