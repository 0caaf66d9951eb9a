package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/edgesim"
)

// fixedStopSeeds are the seeds with stops at the platform's grace that CI runs.
var fixedStopSeeds = []uint64{3, 13}

// Parameters of a run with stops.
const (
	platformGrace    = 6 * time.Second  // from SIGTERM to SIGKILL
	stopsDuration    = 14 * time.Second // time within which stops begin
	largeRunEvery    = 4                // one of so many seeds has twice the VMs and callers
	roomEvery        = 3                // in one of so many seeds VMs hand requests over
	scarcePower      = 0.01             // of every second VM in these, in cores, less than it uses
	maxUsualWork     = 60 * time.Millisecond
	stableWindow     = 4 * time.Second // time after a freeze within which the VM's requests aren't judged
	ledgerRecords    = 1024            // in an answer of the ledger, so that it is read in several parts
	slotsOfBusyLeafs = 16
)

// routeTimeouts and routeTargets are the timeouts and the latency objectives of routes, of each of which a run
// has one. Gathered requests end at the objective if too many shards are slow.
var (
	routeTimeouts = []time.Duration{3 * time.Second, 8 * time.Second, 16 * time.Second}
	routeTargets  = []time.Duration{200 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond}
)

// stop is one stop of a VM's process. The times of a freeze are zero if there was none.
type stop struct {
	told, exited time.Time
	frozenAt     time.Time
	thawedAt     time.Time
	status       string // how the process ended: exitedByItself, or by a signal
	threads      string // states of its threads at the end of its grace if it still ran
}

// exitedByItself is the status of a process that has ended without an error. One whose threads still end when
// SIGKILL comes has it, too.
const exitedByItself = "exit status 0"

// stopRun is a run with stops.
type stopRun struct {
	*deployment
	usual edgesim.LeafFaults // of leafs that aren't slow
	slow  map[string]*sync.Mutex
	wg    sync.WaitGroup
}

// soakStops tests a new deployment with the platform's grace, whose VMs are stopped and started again, in
// series and overlapping, with services that turn slow, silent or answer 504 at the time budget around a stop,
// and are quick again. Manifests, signals and the store change meanwhile. Each request that a VM has passed on
// to a leaf must be answered, and each process must exit by itself before the end of its grace.
func soakStops(t *testing.T, binary string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 200))
	options := deploymentOptions{
		targetMS: int(routeTargets[rng.IntN(len(routeTargets))].Milliseconds()),
		grace:    platformGrace, logLevel: "info", vmsPerZone: vmsPerZone, ledgers: []string{"ledger", "archive"},
		timeoutMS: int(routeTimeouts[rng.IntN(len(routeTimeouts))].Milliseconds()),
		leafSlots: slotsOfBusyLeafs, leafRecords: ledgerRecords,
	}
	callers := usualStopCallers
	if seed%largeRunEvery == 0 {
		options.vmsPerZone, callers = 2*vmsPerZone, 2*usualStopCallers
	}
	if seed%roomEvery == 0 {
		options.scarcePower = scarcePower
	}
	run := &stopRun{
		deployment: newDeployment(t, binary, options), slow: make(map[string]*sync.Mutex),
		usual: edgesim.LeafFaults{Delay: time.Duration(rng.Int64N(int64(maxUsualWork)))},
	}
	for _, name := range []string{ledgerGroup, shardsGroup} {
		run.slow[name] = new(sync.Mutex)
	}
	run.waitServing(t)
	for _, l := range run.leafs {
		l.SetFaults(run.usual)
	}
	load := newStopCallers(run.deployment)
	stopsEnd, cancelStops := context.WithTimeout(context.Background(), stopsDuration)
	defer cancelStops()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sending, stopping sync.WaitGroup
	for number := range callers {
		sending.Go(func() { load.run(ctx, number, seed) })
	}
	for number, delay := range stopDelays(rng, len(run.vms)) {
		rng := rand.New(rand.NewPCG(seed, uint64(300+number)))
		stopping.Go(func() { run.stopVMs(stopsEnd, delay, rng) })
	}
	stopping.Go(func() { run.disturb(stopsEnd, rand.New(rand.NewPCG(seed, 400))) })
	stopping.Wait()
	run.wg.Wait()
	cancel()
	sending.Wait()
	load.checkReports()
	load.checkStops()
	for _, violation := range load.violations {
		t.Error(violation)
	}
	t.Log(load.summary())
	run.clearFaults()
	run.waitServing(t)
}

// stopDelays returns after how long each series of stops begins: one series, several that overlap, or some
// VMs at the same moment or one shortly after the other. One VM at least isn't stopped at any time.
func stopDelays(rng *rand.Rand, vms int) []time.Duration {
	var delays []time.Duration
	switch rng.IntN(4) {
	case 0:
		delays = []time.Duration{0}
	case 1:
		delays = []time.Duration{0, time.Duration(rng.Int64N(int64(platformGrace)))}
	case 2:
		delays = make([]time.Duration, vms/2)
	default:
		for i := range vms - 1 {
			delays = append(delays, time.Duration(i)*1500*time.Millisecond)
		}
	}
	for i := range delays {
		delays[i] += time.Duration(rng.IntN(500)) * time.Millisecond
	}
	return delays
}

// stopVMs stops and starts random VMs, one after the other, until ctx ends.
func (r *stopRun) stopVMs(ctx context.Context, delay time.Duration, rng *rand.Rand) {
	sleep(ctx, delay)
	for ctx.Err() == nil {
		v := r.vms[rng.IntN(len(r.vms))]
		if !v.stopping.TryLock() {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		r.stopVM(v, rng)
		v.start(r.deployment)
		v.stopping.Unlock()
		sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
	}
}

// step is what happens at some time after SIGTERM, while the process runs.
type step struct {
	after time.Duration
	do    func()
}

// stopVM stops the VM's process, while a service turns slow, with other signals beside SIGTERM.
func (r *stopRun) stopVM(v *vm, rng *rand.Rand) {
	var s stop
	var steps []step
	onset, slowDown := r.drawSlowness(rng)
	if onset < 0 {
		slowDown()
		time.Sleep(-onset)
	} else {
		steps = append(steps, step{onset, slowDown})
	}
	for range rng.IntN(3) {
		steps = append(steps, step{time.Duration(rng.Int64N(int64(platformGrace))), func() { v.signal(syscall.SIGHUP) }})
	}
	if rng.IntN(8) == 0 {
		freeze, pause := time.Duration(rng.Int64N(int64(platformGrace))), time.Duration(200+rng.IntN(1800))*time.Millisecond
		steps = append(steps,
			step{freeze, func() { s.frozenAt = time.Now(); v.signal(syscall.SIGSTOP) }},
			step{freeze + pause, func() { v.signal(syscall.SIGCONT); s.thawedAt = time.Now() }})
	}
	slices.SortFunc(steps, func(a, b step) int { return int(a.after - b.after) })
	v.setStoppedAt(time.Now())
	hangUp := rng.IntN(4)
	if hangUp == 0 {
		v.signal(syscall.SIGHUP)
	}
	s.told = time.Now()
	v.signal(syscall.SIGTERM)
	if hangUp == 1 {
		v.signal(syscall.SIGHUP)
	}
	end := s.told.Add(platformGrace)
	for _, step := range steps {
		if at := s.told.Add(step.after); !at.Before(end) || !v.runsAt(at) {
			break
		}
		step.do()
	}
	if v.runsAt(end) {
		s.threads = v.threadStates()
		v.signal(syscall.SIGKILL)
	}
	v.waitExit(time.Second)
	s.exited = time.Now()
	if !s.frozenAt.IsZero() && s.thawedAt.IsZero() {
		s.thawedAt = s.exited
	}
	v.mu.Lock()
	s.status = v.process.ProcessState.String()
	v.stops = append(v.stops, s)
	v.mu.Unlock()
	v.setStoppedAt(time.Time{})
}

// runsAt waits until a time, or until the current process has exited, and reports whether it still runs.
func (v *vm) runsAt(at time.Time) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return false
	case <-time.After(time.Until(at)):
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// threadStates returns the states of the threads of the VM's process and what they wait for, with the name and
// the run-queue times of each.
func (v *vm) threadStates() string {
	v.mu.Lock()
	tasks := fmt.Sprintf("/proc/%d/task/*/", v.process.Process.Pid)
	v.mu.Unlock()
	var states []string
	for _, file := range []string{"stat", "wchan", "schedstat"} {
		paths, err := filepath.Glob(tasks + file)
		if err != nil {
			return err.Error()
		}
		for _, path := range paths {
			// An unreadable file means that the thread has ended.
			text, _ := os.ReadFile(path)
			states = append(states, file+" "+string(text[:min(len(text), 40)]))
		}
	}
	return strings.Join(states, "; ")
}

// Groups of leafs that turn slow together. The name of a single shard is that of its service.
const (
	ledgerGroup = "ledgers"
	shardsGroup = "shards"
)

// drawSlowness returns when, from SIGTERM on, the leafs of a group turn slow, and a function that makes them
// so for a while. It does nothing while leafs of the same kind are slow.
func (r *stopRun) drawSlowness(rng *rand.Rand) (onset time.Duration, slowDown func()) {
	onset = time.Duration(rng.Int64N(int64(platformGrace))) - time.Second
	if rng.IntN(2) == 0 {
		// around the time at which a VM that stops takes its last requests
		onset = platformGrace/2 + time.Duration(rng.Int64N(int64(platformGrace/4)))
	}
	duration := time.Duration(500+rng.IntN(4500)) * time.Millisecond
	work := time.Duration(1000+rng.IntN(3000)) * time.Millisecond
	form := rng.IntN(5)
	group := ledgerGroup
	if rng.IntN(4) == 0 {
		group = shardsGroup
	}
	var services []string
	switch {
	case group == ledgerGroup:
		services = r.ledgers
	case rng.IntN(2) == 0:
		services = shards()
	default:
		services = shards()[rng.IntN(shardCount):][:1]
	}
	return onset, func() {
		if !r.slow[group].TryLock() {
			return
		}
		held := make(chan struct{})
		faults := [...]edgesim.LeafFaults{
			{Delay: work}, {Silent: true}, {Hold: held},
			{Hold: make(chan struct{}), TimesOut: true}, {Hold: held, TimesOut: true},
		}[form]
		r.setFaults(services, faults)
		r.wg.Go(func() {
			defer r.slow[group].Unlock()
			time.Sleep(duration)
			r.setFaults(services, r.usual)
			close(held)
		})
	}
}

// setFaults sets the faults of all leafs of some services.
func (r *stopRun) setFaults(services []string, faults edgesim.LeafFaults) {
	for _, l := range r.leafs {
		if slices.Contains(services, l.Service) {
			l.SetFaults(faults)
		}
	}
}

// disturb changes the manifest, sends SIGHUP to VMs that aren't told to stop, and injects faults into the store
// and the links to it, one after the other, until ctx ends.
func (r *stopRun) disturb(ctx context.Context, rng *rand.Rand) {
	defer func() { r.ledger = r.ledgers[0] }()
	for version := 2; ctx.Err() == nil; version++ {
		sleep(ctx, time.Duration(100+rng.IntN(1200))*time.Millisecond)
		switch rng.IntN(5) {
		case 0:
			r.putManifest(version, "")
		case 1:
			r.ledger = r.ledgers[rng.IntN(len(r.ledgers))]
			r.putManifest(version, "")
		case 2:
			r.injectStoreFault(rng)
		case 3:
			v := r.vms[rng.IntN(len(r.vms))]
			v.proxy.Reject(503)
			sleep(ctx, time.Duration(200+rng.IntN(2000))*time.Millisecond)
			v.proxy.Reject(0)
		default:
			r.hangUp(r.vms[rng.IntN(len(r.vms))])
		}
	}
}

// hangUp sends SIGHUP to the VM if its process is ready and not told to stop. Before the process is ready, the
// signal may end it.
func (r *stopRun) hangUp(v *vm) {
	if !v.stopping.TryLock() {
		return
	}
	defer v.stopping.Unlock()
	if v.ready() {
		v.signal(syscall.SIGHUP)
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// linesOn returns the lines that VMs logged on the request with that ID, up to a number of lines.
func (d *deployment) linesOn(id string, limit int) string {
	var lines []string
	for _, v := range d.vms {
		for line := range strings.Lines(v.log()) {
			if strings.Contains(line, strconv.Quote(id)) && len(lines) < limit {
				lines = append(lines, v.set.Name+" "+line)
			}
		}
	}
	return strings.Join(lines, "")
}
