package model

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/knownred"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// shifted is a deployment of 80 VMs in four zones, most of them with a fifth of a core, and 90 shards
// of three leafs, with the sweeps of docs/design/shifted.md.
func shifted() Config {
	return Config{
		Seed: 1, Zones: []string{"a", "b", "c", "d"}, VMsPerZone: 20, StrongPerZone: 2, StrongPower: 0.8, WeakPower: 0.2,
		Shards: 90, Replicas: 3, Slots: 2, Work: 11 * time.Millisecond, WorkSpread: 0.35,
		PauseEvery: 3 * time.Second, PauseFor: 120 * time.Millisecond,
		InZone: 100 * time.Microsecond, CrossZone: 1400 * time.Microsecond, ToCaller: time.Millisecond,
		PerSecond: 30, Objective: 100 * time.Millisecond, Deadline: 600 * time.Millisecond, MinShare: 0.95, MaxAttempts: 2,
		ListLag: time.Second, Budget: scatter.BudgetConfig{Ratio: 0.2, Floor: 196, Window: 10 * time.Second},
	}
}

// Guards against results that can't be played again.
func TestSameSeedGivesTheSameResult(t *testing.T) {
	g := gomega.NewWithT(t)
	play := func() Result {
		m := New(shifted())
		m.At(time.Second, func() { m.SlowLeafs(0.1, 6) })
		return m.Run(2 * time.Second)
	}
	g.Expect(play()).To(gomega.Equal(play()))
}

// Guards against a load that is lost although nothing is wrong but the pauses of leafs.
func TestCalmLoadIsServedInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(shifted()).Run(6 * time.Second)
	t.Logf("%+v", r)
	g.Expect(r.InTime).To(gomega.Equal(r.Asked))
	g.Expect(r.Credit).To(gomega.BeNumerically(">", 0.97))
}

// Guards against weak VMs that send shards to leafs themselves, over new connections, while leafs are
// replaced and VMs hear of it at different times: calls must not be declined for changes that don't
// matter. At most a tenth of the attempts may be sent by weak VMs besides those of a calm run.
func TestReplacedLeafsCostFewDirectAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	calm := New(shifted()).Run(6 * time.Second)
	m := New(shifted())
	for at := time.Second; at < 5*time.Second; at += 500 * time.Millisecond {
		m.At(at, func() { m.ReplaceLeafs(0.1, 2*time.Second) })
	}
	r := m.Run(6 * time.Second)
	t.Logf("%+v", r)
	g.Expect(r.Declined).To(gomega.BeNumerically(">", 0), "the VMs differ at times")
	g.Expect(r.InTime).To(gomega.Equal(r.Asked))
	g.Expect(r.Direct - calm.Direct).To(gomega.BeNumerically("<", r.Attempts/10))
}

// Guards against requests that are lost at each VM anew after the loss of a zone. Callers of the other
// zones are to be served as usual from the second after the loss on.
func TestLossOfAZoneCostsCallersOfOtherZonesLittle(t *testing.T) {
	g := gomega.NewWithT(t)
	m := New(shifted())
	m.At(time.Second, func() { m.LoseZone("d") })
	r := m.Run(6 * time.Second)
	t.Logf("%+v", r)
	for n, second := range r.PerSecond {
		if n >= 2 {
			g.Expect(second.InTime).To(gomega.Equal(second.Asked), "second %d", n)
		}
	}
	g.Expect(r.Failed + r.Refused + r.Late).To(gomega.BeNumerically("<", r.PerSecond[1].Asked))
}

// Guards against zones whose loss stays unknown in a small fleet, where each VM calls a single VM of the
// zone and so never finds several silent at once: from the second after the loss on, no request is to
// call a lost VM.
func TestLossOfAZoneIsKnownInASmallFleet(t *testing.T) {
	knownred.Skip(t)
	for seed := range uint64(4) {
		g := gomega.NewWithT(t)
		config := shifted()
		config.Seed = seed + 1
		config.VMsPerZone, config.StrongPerZone, config.Shards, config.PerSecond = 3, 1, 20, 60
		m := New(config)
		m.At(0, func() { m.LoseZone("d") })
		for n, second := range m.Run(4 * time.Second).PerSecond {
			if n >= 1 {
				g.Expect(second.CalledLost).To(gomega.BeZero(), "seed %d, second %d", config.Seed, n)
			}
		}
	}
}

// uneven is a deployment of 90 VMs in three zones, most of them with a seventh of a core, and 135
// shards whose answers a weak VM hardly handles in time.
func uneven() Config {
	return Config{
		Seed: 1, Zones: []string{"a", "b", "c"}, VMsPerZone: 30, StrongPerZone: 2, StrongPower: 0.8, WeakPower: 0.134,
		Shards: 135, Replicas: 3, Slots: 2, Work: 6 * time.Millisecond, WorkSpread: 0.35,
		InZone: 100 * time.Microsecond, CrossZone: 1400 * time.Microsecond, ToCaller: time.Millisecond,
		PerSecond: 50, Objective: 50 * time.Millisecond, Deadline: 300 * time.Millisecond, MinShare: 0.9, MaxAttempts: 2,
		Handling: 100 * time.Microsecond, ListLag: time.Second, Budget: scatter.BudgetConfig{Ratio: 0.2, Floor: 196, Window: 10 * time.Second},
	}
}

// Guards against requests that fail while a rolling restart has stopped one of the two strong VMs of
// two zones, since owners with a sixth of their power take over 66 shards.
func TestRestartOfStrongVMsFailsFewCallers(t *testing.T) {
	g := gomega.NewWithT(t)
	play := func(handOver bool) Result {
		m := New(uneven())
		m.At(3*time.Second, func() {
			for _, name := range []string{"vm-a-00", "vm-b-00"} {
				m.RestartVM(name, 4700*time.Millisecond, handOver)
			}
		})
		return m.Run(10 * time.Second)
	}
	r, without := play(true), play(false)
	t.Logf("%+v", r)
	g.Expect(r.Failed + r.Refused).To(gomega.BeNumerically("<=", r.Asked/100))
	g.Expect(without.Failed + without.Refused).To(gomega.BeNumerically(">", without.Asked/10))
}
