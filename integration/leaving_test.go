package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/ops"
	"github.com/bramleybarrow/bramleybarrow/result"
)

const (
	// balancerLag is the time after which the balancer applies a change of readiness.
	balancerLag = time.Second
	// lameDuck is longer than balancerLag, so that a stopping VM still serves the callers
	// that the balancer sends to it.
	lameDuck = 3 * balancerLag

	// drainApplyTime bounds the time from a VM's receipt of a drain until the last request
	// has ended whose target the VM chose without knowing of the drain.
	drainApplyTime = 300 * time.Millisecond
)

// balancer chooses daemons for callers as the load balancer of the platform does: in turn
// from those that were ready balancerLag ago.
type balancer struct {
	c  *cluster
	mu sync.Mutex // guards listed
	// listed holds the daemons that pick chooses from.
	listed []*fleet.Daemon
}

// run polls the readiness of all daemons until ctx ends. A change takes effect after
// balancerLag.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*fleet.Daemon
		for _, d := range b.c.Daemons {
			if d.Ready(ctx) {
				ready = append(ready, d)
			}
		}
		time.AfterFunc(balancerLag, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.listed = ready
		})
		time.Sleep(50 * time.Millisecond)
	}
}

// pick returns a daemon that is listed. Calls with increasing i get the listed daemons in
// turn.
func (b *balancer) pick(i int) *fleet.Daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed[i%len(b.listed)]
}

// caller sends requests to daemons and keeps its connections open. Its HTTP client never
// repeats a request by itself, because its request bodies cannot be rewound.
type caller struct {
	client http.Client
}

// post sends a request for a search of the bundle to a daemon and returns its answer. verb
// is the kind of the search in the URL. key is the idempotency key, or empty for none.
func (k *caller) post(ctx context.Context, d *fleet.Daemon, verb, search, key string, body any) (gateway.Answer, error) {
	var a gateway.Answer
	data, err := json.Marshal(body)
	if err != nil {
		return a, errors.Trace(err)
	}
	url := "http://" + d.Callers + "/v1/" + verb + "/" + search
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return a, errors.Trace(err)
	}
	req.ContentLength = int64(len(data))
	if key != "" {
		req.Header.Set(gateway.HeaderKey, key)
	}
	resp, err := k.client.Do(req)
	if err != nil {
		return a, errors.Trace(err)
	}
	defer resp.Body.Close()
	return a, errors.Trace(json.NewDecoder(resp.Body).Decode(&a))
}

// A VM gets SIGTERM under load, while the balancer goes on sending callers there for a
// while, on connections that the callers keep open. No request may be cut off: each gets
// its answer, and the process exits by itself.
func TestStoppingVMCutsOffNoRequest(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 3, LameDuck: lameDuck})
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	b := &balancer{c: c, listed: c.Daemons}
	go b.run(ctx)

	leaving := c.Daemons[0]
	var stopping, servedDuringStop atomic.Int64
	failed := make(chan string, 1000)
	var wg sync.WaitGroup
	const callers = 8
	for i := range callers {
		wg.Go(func() {
			k := &caller{client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
			defer k.client.CloseIdleConnections()
			for turn := i; ctx.Err() == nil; turn++ {
				d := b.pick(turn)
				duringStop := d == leaving && stopping.Load() != 0
				var a gateway.Answer
				var err error
				want := result.Complete
				if i%2 == 0 {
					a, err = k.post(c.ctx, d, "search", findSearch, "", searchBody("well"))
				} else {
					want = result.Accepted
					a, err = k.post(c.ctx, d, "submit", fileSearch, newKey(fmt.Sprintf("stop%d-%d", i, turn)), 1)
				}
				if err != nil || result.Code(a.Code) != want {
					failed <- fmt.Sprintf("%s: %v %s %v", d.Name, result.Code(a.Code), a.Detail, err)
				} else if duringStop {
					servedDuringStop.Add(1)
				}
			}
		})
	}
	time.Sleep(balancerLag)
	stopping.Store(1)
	c.ok(leaving.Terminate())
	c.Eventually(leaving.Done(), waitTimeout).Should(gomega.BeClosed())
	cancel()
	wg.Wait()
	close(failed)
	var failures []string
	for f := range failed {
		failures = append(failures, f)
	}
	c.Expect(failures).To(gomega.BeEmpty())
	c.Expect(leaving.ExitCode()).To(gomega.BeZero())
	c.Expect(servedDuringStop.Load()).To(gomega.BeNumerically(">", 0), "the lagging balancer sent no request to the leaving VM")
}

// A submit takes longer than the VM's lame-duck time. The stopping VM must wait for it,
// its caller must get the answer, and the outcome must be stored, so that another VM gives
// the same answer.
func TestStoppingVMWaitsForALongRequest(t *testing.T) {
	c := start(t, clusterConfig{LameDuck: 100 * time.Millisecond})
	c.setTargetFaults(targetsim.Faults{HoldSubmits: true})
	key := newKey("long")
	first := c.sendAsync(c.Daemons[0], key)
	c.waitRun(key)
	c.ok(c.Daemons[0].Terminate())
	c.Eventually(func() error {
		_, _, err := c.Daemons[0].Search(c.ctx, findSearch, searchBody("well"))
		return err
	}, waitTimeout, "50ms").Should(gomega.HaveOccurred(), "the listener closes after the lame-duck time")
	c.setTargetFaults(targetsim.Faults{})
	a := <-first
	c.Expect(result.Code(a.Code)).To(gomega.Equal(result.Accepted), a.Detail)
	c.Eventually(c.Daemons[0].Done(), waitTimeout).Should(gomega.BeClosed())
	c.Expect(c.Daemons[0].ExitCode()).To(gomega.BeZero())
	again := c.send(c.Daemons[1], key)
	c.Expect(result.Code(again.Code)).To(gomega.Equal(result.Accepted))
	c.Expect(again.Result).To(gomega.MatchJSON(a.Result))
	c.Expect(c.submitRuns()[key]).To(gomega.Equal(1))
}

// requestsReceived returns how many requests a target received, including those that it
// refused.
func (c *cluster) requestsReceived(t *fleet.Target) int {
	counters := must[targetsim.Counters](c)(t.Counters())
	n := counters.Searches + counters.Submits
	for _, refused := range counters.Refused {
		n += refused
	}
	return n
}

// A target drains, and VMs that do not know this go on sending it requests. Only one VM
// sends it a request after the drain began, and is refused; the others read its state
// only once in 10 min. The drain must reach them through the first VM within seconds.
func TestDrainLearnedByOneVMReachesAll(t *testing.T) {
	const healthIntervalMS = 600_000 // longer than the test
	c := start(t, clusterConfig{
		Targets: 4, Daemons: 3,
		Bundle: func(b *bundle.Bundle) { b.Services[0].Drain.HealthIntervalMS = healthIntervalMS },
	})
	draining := c.Targets[0]
	c.ok(draining.SetDraining(true))
	c.Eventually(func() int {
		_, _, err := c.Daemons[0].Search(c.ctx, findSearch, searchBody("well"))
		c.ok(err)
		return must[targetsim.Counters](c)(draining.Counters()).Refused["draining"]
	}, waitTimeout, "10ms").Should(gomega.BeNumerically(">", 0), "the first VM is refused by the target")

	// The other VMs have sent no request since, so they can get it only from the first.
	for _, d := range c.Daemons[1:] {
		c.Eventually(func() string { return c.metrics(d) }, waitTimeout, "50ms").Should(gomega.ContainSubstring("bramley_peer_drains 1\n"))
	}
	time.Sleep(drainApplyTime)
	before := c.requestsReceived(draining)
	c.searchOthers(30)
	c.Expect(c.requestsReceived(draining)).To(gomega.Equal(before))
}

// metrics returns a daemon's metrics page, or the text of the error if it can't be read.
func (c *cluster) metrics(d *fleet.Daemon) string {
	resp, err := http.Get("http://" + d.Ops + ops.PathMetrics)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	c.ok(err)
	return string(page)
}

// A target restarts after a drain. It must get requests again, instead of staying idle
// while its replicas carry its load: a drain holds only for the incarnation that drained.
func TestTargetComesBackAfterDrain(t *testing.T) {
	c := start(t, clusterConfig{Targets: 4})
	draining := c.Targets[0]
	c.ok(draining.SetDraining(true))
	c.Eventually(func() int {
		before := c.requestsReceived(draining)
		c.searchOthers(20)
		return c.requestsReceived(draining) - before
	}, waitTimeout, "200ms").Should(gomega.BeZero())

	o := draining.Options
	o.Listen = draining.Address
	draining.Kill()
	restarted := must[*fleet.Target](c)(c.StartTarget(o))
	c.Targets[0] = restarted
	c.Eventually(func() int {
		c.searchOthers(5)
		return c.requestsReceived(restarted)
	}, waitTimeout, "200ms").Should(gomega.BeNumerically(">", 0), "a drain holds only for the incarnation that drained")
}

// searchOthers sends n searches to each daemon except the first.
func (c *cluster) searchOthers(n int) {
	c.t.Helper()
	for _, d := range c.Daemons[1:] {
		for range n {
			_, _, err := d.Search(c.ctx, findSearch, searchBody("well"))
			c.ok(err)
		}
	}
}
