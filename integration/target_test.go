package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// recoveryTimeout bounds the time after which answers must be complete again after a
// fault that leaves the targets themselves intact. Recovery normally takes far less.
const recoveryTimeout = 10 * time.Second

// waitCompleteInRow waits until n answers of the daemon in a row are complete. It fails
// after recoveryTimeout.
func (c *cluster) waitCompleteInRow(d *fleet.Daemon, n int) {
	c.t.Helper()
	body := gateway.SearchBody{Query: "well", TimeLimitMS: 500}
	inRow := 0
	c.Eventually(func() int {
		a, _, err := d.Search(c.ctx, findSearch, body)
		c.ok(err)
		inRow++
		if a.Code != int(result.Complete) {
			inRow = 0
		}
		return inRow
	}, recoveryTimeout, "10ms").Should(gomega.Equal(n), d.Name)
	a, _, err := d.Search(c.ctx, findSearch, searchBody("well"))
	c.ok(err)
	c.expectCompleteAnswer(a, c.Index, target.KindSearch, searchBody("well"))
}

func (c *cluster) clearTargetFaults() {
	c.t.Helper()
	for _, tg := range c.Targets {
		c.ok(tg.SetFaults(targetsim.Faults{}))
	}
}

// A network device between VMs and targets has lost its state of the open connections:
// what is sent on them is lost without FIN or RST, while new connections work. Answers
// must not stay incomplete, since targets and VMs are healthy. Each shard has one replica
// here, so that no hedge can compensate for a silent target.
func TestSilentConnectionsToTargets(t *testing.T) {
	c := start(t, clusterConfig{Targets: 2, Replicas: 1, ProxyTargets: true})
	for range 2 {
		for _, p := range c.TargetProxies {
			c.ok(p.Silence())
		}
		for _, d := range c.Daemons {
			c.waitCompleteInRow(d, 10)
		}
	}
}

// Leaves return the answers of other requests, repeat answers, or answer after the query
// has moved on, while many callers send different queries. Each caller must get its own
// answer, which is complete or says that it is incomplete or was not run.
func TestCrossedLateAndDuplicateAnswersOfAllTargets(t *testing.T) {
	c := start(t, clusterConfig{Targets: 3, Replicas: 2, Shards: 6})
	for i, faults := range []targetsim.Faults{
		{MismatchedAnswers: 60},
		{DuplicateAnswers: 60},
		{LateAnswers: 60, LateMS: 400},
	} {
		c.ok(c.Targets[i].SetFaults(faults))
	}
	queries := []string{"well", "bore", "permit", "", "a", "e"}
	ask := func(caller int) error {
		d := c.Daemons[caller%len(c.Daemons)]
		body := gateway.SearchBody{Query: queries[caller%len(queries)], Limit: 3 + caller, TimeLimitMS: 2000}
		a, _, err := d.Search(c.ctx, findSearch, body)
		if err != nil {
			return err
		}
		if a.Code == int(result.Complete) {
			c.expectCompleteAnswer(a, c.Index, target.KindSearch, body)
			return nil
		}
		incomplete := a.Coverage != nil && a.Coverage.Ratio < 1
		if !incomplete && a.Ran != result.RanNo.String() {
			return fmt.Errorf("caller %d: code %d, %s, coverage %v", caller, a.Code, a.Ran, a.Coverage)
		}
		return nil
	}
	var callers sync.WaitGroup
	failed := make(chan error, 100)
	for caller := range 12 {
		callers.Go(func() {
			for range 20 {
				if err := ask(caller); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	callers.Wait()
	close(failed)
	for err := range failed {
		c.Expect(err).NotTo(gomega.HaveOccurred())
	}
	c.clearTargetFaults()
	for _, d := range c.Daemons {
		c.Expect(d.Log()).To(gomega.ContainSubstring("another request's answer"))
		c.waitCompleteInRow(d, 10)
	}
}

// Two VMs together must not hold more connections than a target accepts, or it would
// refuse its other clients. Callers that give up, crossed answers, and a VM that is
// killed and replaced all make the VMs open new connections. The limit here is exactly
// twice a VM's share, and the target counts the connections that it refuses above that
// limit.
func TestConnectionLimitOfTargets(t *testing.T) {
	const perTarget = 6 // connections that each target accepts
	c := start(t, clusterConfig{
		Daemons: 2,
		Target:  func(_ int, o *targetsim.Options) { o.MaxConnections = perTarget },
		Bundle: func(b *bundle.Bundle) {
			b.Fleet.MaxVMs = 2
			for i := range b.Services[0].Targets {
				b.Services[0].Targets[i].Connections = perTarget
			}
		},
	})
	crossed := targetsim.Faults{MismatchedAnswers: 200}
	for _, tg := range c.Targets {
		c.ok(tg.SetFaults(crossed))
	}
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for n := range 50 {
				ctx, cancel := context.WithTimeout(c.ctx, time.Duration(1+n%10)*time.Millisecond)
				_, _, _ = c.Daemons[caller%2].Search(ctx, findSearch, searchBody("well")) // many time out
				cancel()
			}
		})
	}
	callers.Wait()
	c.Daemons[1].Kill()
	c.startDaemon(1)
	c.Daemons = []*fleet.Daemon{c.Daemons[0], c.Daemons[2]}
	c.listVMs()
	c.clearTargetFaults()
	for _, d := range c.Daemons {
		c.waitCompleteInRow(d, 3)
	}
	for _, tg := range c.Targets {
		counts := must[targetsim.Counters](c)(tg.Counters()).Connections
		c.Expect(counts.Refused).To(gomega.BeZero(), tg.Name)
		c.Expect(counts.Peak).To(gomega.BeNumerically("<=", perTarget), tg.Name)
		c.Expect(counts.Total).To(gomega.BeNumerically(">", perTarget), "connections were replaced")
	}
}
