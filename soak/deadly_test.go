package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
)

// Parameters of a run with requests that end leafs.
const (
	deadlyContents = 4                      // number of different such requests
	restartPause   = 300 * time.Millisecond // time after which a leaf that has ended is started again
	// longestUsualRetry is the longest Retry-After of a request that ends no leaf: only a quarantine is longer.
	longestUsualRetry = 5 * time.Second
)

// deadly counts how often leafs began to run requests that end them.
type deadly struct {
	mu       sync.Mutex
	runs     map[string]int // by path
	vmFaults int            // faults after which a VM may know of no quarantine for a while
}

// endsLeaf counts a request, and reports whether it ends the leaf that begins to run it.
func (d *deadly) endsLeaf(uri string) bool {
	if !strings.Contains(uri, "deadly") {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[uri]++
	return true
}

// faults returns the faults of leafs: requests end them, or, if silences is true, those with an odd number silence them.
func (d *deadly) faults(silences bool) edgesim.LeafFaults {
	return edgesim.LeafFaults{
		EndOn:     func(uri string) bool { return !(silences && isOdd(uri)) && d.endsLeaf(uri) },
		SilenceOn: func(uri string) bool { return silences && isOdd(uri) && d.endsLeaf(uri) },
		Delay:     2 * time.Millisecond,
	}
}

// isOdd reports whether a path ends in an odd digit.
func isOdd(uri string) bool { return (uri[len(uri)-1]-'0')%2 == 1 }

// soakDeadly tests a new deployment with requests that end or silence each leaf which runs them, sent again and again
// through all VMs, while VMs are frozen, killed and stopped. A content may end the leafs of one wave over all
// shards, and of one more, with one trial, at each VM that a fault has kept from learning of it. All other
// requests must be served again soon after, and none is taken for one that ends leafs.
func soakDeadly(t *testing.T, binary string, seed uint64, silences bool) {
	d := newDeployment(t, binary, defaultOptions(nil))
	counts := &deadly{runs: make(map[string]int)}
	for _, l := range d.leafs {
		l.SetFaults(counts.faults(silences))
	}
	d.waitServing(t)
	load := &callers{deployment: d, reports: make(map[string]int)}
	ctx, stop := context.WithTimeout(context.Background(), faultDuration)
	defer stop()
	var wg sync.WaitGroup
	for number := range callerCount {
		wg.Go(func() {
			if number < callerCount/3 {
				load.runDeadly(ctx, number, seed)
			} else {
				load.run(ctx, number, seed)
			}
		})
	}
	wg.Go(func() { d.injectCountedVMFaults(ctx, counts, rand.New(rand.NewPCG(seed, 100))) })
	wg.Go(func() { d.restartLeafs(ctx) })
	wg.Wait()
	d.clearFaults()
	d.startEndedLeafs()
	d.waitServing(t)
	counts.check(t)
	load.checkReports()
	for _, violation := range load.violations {
		t.Error(violation)
	}
	t.Logf("%d answers, runs of contents that end leafs: %v, %d faults of VMs", load.served, counts.runs, counts.vmFaults)
}

// check fails the test if a content has ended more leafs than it may.
func (d *deadly) check(t *testing.T) {
	d.mu.Lock()
	defer d.mu.Unlock()
	vms := len(zones) * vmsPerZone
	for uri, runs := range d.runs {
		bound := (shardCount + 1) * (1 + d.vmFaults)
		if strings.HasPrefix(uri, "/one/") {
			bound = 3 + vms + 3*d.vmFaults
		}
		if runs > bound {
			t.Errorf("%s ended %d leafs, %d may end after %d faults of VMs", uri, runs, bound, d.vmFaults)
		}
	}
}

// injectCountedVMFaults freezes, kills and stops VMs until ctx ends.
func (d *deployment) injectCountedVMFaults(ctx context.Context, counts *deadly, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+rng.IntN(1000)) * time.Millisecond)
		counts.mu.Lock()
		counts.vmFaults++
		counts.mu.Unlock()
		d.injectVMFault(d.vms[rng.IntN(len(d.vms))], rng)
	}
}

// restartLeafs starts leafs again after they have ended, until ctx ends.
func (d *deployment) restartLeafs(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(restartPause)
		d.startEndedLeafs()
	}
}

// startEndedLeafs starts the leafs that have ended or are silent.
func (d *deployment) startEndedLeafs() {
	for id, l := range d.leafs {
		if l.Ended() || l.Silent() {
			l.Restart()
			d.store.Put("servers", id, l.RegistryEntry("ready"))
		}
	}
}

// runDeadly sends requests that end leafs to random VMs until ctx ends, each several times.
func (c *callers) runDeadly(ctx context.Context, number int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(number)))
	client := newClient()
	for n := 0; ctx.Err() == nil; n++ {
		path := [...]string{"/all/deadly-", "/one/deadly-"}[rng.IntN(2)] + strconv.Itoa(rng.IntN(deadlyContents))
		for try := range 3 {
			v := c.deployment.vms[rng.IntN(len(c.deployment.vms))]
			c.sendDeadly(client, v, fmt.Sprintf("deadly-%02d-%06d-%d", number, n, try), path)
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
}

// sendDeadly sends a request that ends each leaf which runs it. It must not be answered.
func (c *callers) sendDeadly(client *http.Client, v *vm, id, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.set.Listen.Callers+path, nil)
	if err != nil {
		c.addViolation("%s: %v", id, err)
		return
	}
	req.Host = "h.example"
	req.Header.Set("Bramleybarrow-Attempt-Id", id)
	req.Header.Set("Bramleybarrow-Deadline-Ms", "700")
	status, _, _, _ := do(client, req) // a VM may be frozen or killed
	if status == http.StatusOK {
		c.addViolation("%s: a request that ends its leafs was answered %d", id, status)
	}
}
