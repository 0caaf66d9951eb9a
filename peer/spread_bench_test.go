package peer

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// BenchmarkSpread measures how long a drain and a revision, each known to one VM,
// take to reach the last of many VMs. All VMs run in this process, with connections
// over the loopback interface and the default intervals. Heads are fakes, so no
// signature is verified.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{50, 200, 400} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) { benchmarkSpread(b, n) })
	}
}

// benchmarkSpread is BenchmarkSpread for n VMs. In each round a drain and then a revision
// reach all VMs. It reports the mean time of each, the bytes that a VM sends per round,
// and the connections per VM.
func benchmarkSpread(b *testing.B, n int) {
	const limit = 2 * time.Minute
	f := &testFleet{g: NewWithT(b), t: b, list: &fakeList{}, net: newNetwork()}
	for i := range n {
		f.start(fmt.Sprintf("vm-%03d", i), func(o *Options) {
			*o = Options{
				VM: o.VM, Incarnation: o.Incarnation, Deployment: o.Deployment, FleetKeys: o.FleetKeys,
				Listen: o.Listen, Store: o.Store, Heads: o.Heads, DialContext: o.DialContext,
			}
		})
	}
	// await waits until check returns true for each VM and returns the time that this took.
	await := func(check func(*testVM) bool) time.Duration {
		begin := time.Now()
		for _, vm := range f.vms {
			for !check(vm) {
				if time.Since(begin) > limit {
					b.Fatalf("%s has not reached the awaited state in time", vm.opts.VM.Name)
				}
				time.Sleep(time.Millisecond)
			}
		}
		return time.Since(begin)
	}
	await(func(vm *testVM) bool { return vm.Peers() >= 4 && len(vm.Live()) == n })
	time.Sleep(5 * time.Second)
	var drain, revision, bytes float64 // sums over all rounds: seconds, seconds and bytes sent
	rounds := 0
	for b.Loop() {
		rounds++
		sent := f.bytesOut()
		f.vms[rounds%n].PublishDrain(Drain{Target: fmt.Sprint("t-", rounds), Incarnation: "i"})
		drain += await(func(vm *testVM) bool { return len(vm.Drains()) == rounds }).Seconds()
		f.vms[rounds%n].heads.set(uint64(rounds))
		revision += await(hasRevision(uint64(rounds))).Seconds()
		bytes += f.bytesOut() - sent
	}
	b.ReportMetric(1000*drain/float64(rounds), "drain-ms")
	b.ReportMetric(1000*revision/float64(rounds), "revision-ms")
	b.ReportMetric(bytes/float64(rounds*n), "B/VM")
	connections := 0
	for _, vm := range f.vms {
		connections += vm.Peers()
	}
	b.ReportMetric(float64(connections)/float64(n), "conns/VM")
}

// bytesOut returns the bytes that all VMs together have sent.
func (f *testFleet) bytesOut() float64 {
	sum := 0.0
	for _, vm := range f.vms {
		sum += float64(vm.wireCounters.BytesOut.Load())
	}
	return sum
}
