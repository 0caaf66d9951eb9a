package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// fixedCrowdSeeds are the seeds with crowds that CI runs.
var fixedCrowdSeeds = []uint64{1, 2}

// Parameters of runs with crowds.
const (
	soakCrowdMost     = 120                     // connections of a crowd at most
	soakCrowdStay     = 1500 * time.Millisecond // how long a crowd stays at most
	soakCrowdsAtATime = 3                       // crowds, each at another VM, that come together at most
)

// soakCrowds tests a new deployment whose VMs meet crowds while they are stopped, frozen, killed and restarted, and
// while manifests change. The VMs must stay within their memory, and each answer must hold as in any run.
func soakCrowds(t *testing.T, binary string, seed uint64) {
	options := defaultOptions(nil)
	options.memoryMB = crowdMemoryMB
	d := newDeployment(t, binary, options)
	d.waitServing(t)
	load := &callers{deployment: d, reports: make(map[string]int)}
	ctx, stop := context.WithTimeout(context.Background(), faultDuration)
	defer stop()
	var wg sync.WaitGroup
	for number := range callerCount {
		wg.Go(func() { load.run(ctx, number, seed) })
	}
	wg.Go(func() { d.injectFaults(ctx, 0, rand.New(rand.NewPCG(seed, 600))) })
	wg.Go(func() { d.bringCrowds(ctx, rand.New(rand.NewPCG(seed, 601))) })
	wg.Go(func() {
		for version := 2; ctx.Err() == nil; version++ {
			d.putManifest(version, "")
			time.Sleep(700 * time.Millisecond)
		}
	})
	wg.Wait()
	d.clearFaults()
	d.waitServing(t)
	load.checkReports()
	for _, violation := range load.violations {
		t.Error(violation)
	}
	for _, v := range d.vms {
		if peak := v.peakMemoryMB(t); peak > crowdMemoryMB {
			t.Errorf("%s used %d MB of %d", v.set.Name, peak, crowdMemoryMB)
		}
	}
	t.Logf("%d answers, %d reports", load.served, len(load.reports))
}

// bringCrowds lets crowds of random forms and sizes meet one to three VMs at a time, until ctx ends.
func (d *deployment) bringCrowds(ctx context.Context, rng *rand.Rand) {
	forms := append(crowdForms(), crowdFDForms()...)
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, i := range rng.Perm(len(d.vms))[:1+rng.IntN(soakCrowdsAtATime)] {
			form := forms[rng.IntN(len(forms))]
			form.callers = 1 + rng.IntN(soakCrowdMost)
			stay := time.Duration(rng.Int64N(int64(soakCrowdStay)))
			wg.Go(func() {
				crowd := newCrowd(d.vms[i], form)
				crowd.arrive()
				time.Sleep(stay)
				crowd.leave()
			})
		}
		wg.Wait()
	}
}
