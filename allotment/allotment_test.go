package allotment

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/internal/knownred"
	"github.com/bramleybarrow/bramleybarrow/tenant"
)

const name = "tenant"

var large = tenant.Limit{RatePerS: 19, Burst: 19}

// settled returns a fleet of n VMs that follow their accountants, with the large tenant.
func settled(n int) *fleet {
	f := newFleet(n, 7)
	f.limits[name] = large
	f.run(8*time.Second, f.load(name, 12))
	clear(f.refused)
	return f
}

// accountant returns the VM that most VMs follow for the tenant.
func (f *fleet) accountant() *fleetVM {
	votes := map[string]int{}
	best := ""
	for _, v := range f.vms {
		who := v.member.Accountant(GroupOf(name))
		if votes[who]++; votes[who] > votes[best] {
			best = who
		}
	}
	return f.vm(best)
}

// wants checks the bound.
func (f *fleet) wants(t interface{ Fatalf(string, ...any) }, limit tenant.Limit) {
	gomega.NewGomega(func(message string, _ ...int) { t.Fatalf("%s", message) }).Expect(f.most(name)).To(gomega.BeNumerically("<=", testConfig.Bound(limit)))
}

// Guards against refusals below the limit, and calls that ask far from it.
func TestNobodyBelowTheLimitIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := settled(72)
	tokens, asks := 0.9*large.Burst, f.asks
	f.run(60*time.Second, func() {
		tokens = min(tokens+0.9*large.RatePerS*fleetStep.Seconds(), 0.9*large.Burst)
		if f.rng.Float64() < 0.3 && tokens >= 1 {
			tokens--
			f.request(f.rng.IntN(72), name)
		}
	})
	g.Expect(f.refused).To(gomega.BeEmpty())
	g.Expect(f.ran[name]).ToNot(gomega.BeEmpty())
	t.Log("asked", f.asks-asks, "ran", len(f.ran[name]))
}

// Guards against refusals below the limit for any limit and fleet, also when requests come in bursts.
func TestNoConformingTenantIsRefused(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 40).Draw(t, "vms"), rapid.Uint64().Draw(t, "seed"))
		rate := rapid.Float64Range(0.2, 60).Draw(t, "rate")
		limit := tenant.Limit{RatePerS: rate, Burst: rate * rapid.Float64Range(0, 5).Draw(t, "burst")}
		f.limits[name] = limit
		f.run(12*time.Second, nil) // the buckets fill
		tokens, bursts := max(1, 0.9*limit.Burst), rapid.Float64Range(0.001, 1).Draw(t, "bursts")
		stale := rapid.Float64Range(0, 1).Draw(t, "stale")
		f.run(10*time.Second, func() {
			tokens = min(tokens+0.9*limit.RatePerS*fleetStep.Seconds(), max(1, 0.9*limit.Burst))
			if f.rng.Float64() >= bursts {
				return
			}
			for ; tokens >= 1; tokens-- {
				freshFor := NoObjective
				if f.rng.Float64() < stale {
					freshFor = 0
				}
				f.requestFor(f.rng.IntN(len(f.vms)), name, freshFor, nil)
			}
		})
		if len(f.refused) > 0 {
			t.Fatalf("refused: %v", f.refused)
		}
	})
}

// Guards against small tenants that are refused because shares of their limit round to nothing.
func TestSmallTenantIsServedAnywhereWithoutAsking(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(72, 3)
	f.limits[name] = tenant.Limit{RatePerS: 0.5, Burst: 1}
	f.run(3*time.Second, nil)
	f.run(60*time.Second, f.load(name, 0.3))
	g.Expect(f.refused).To(gomega.BeEmpty())
	g.Expect(f.asks).To(gomega.BeZero())
}

// Guards against a tenant at eight times its usual, and refusals that name no time, or the same to all.
func TestHotTenantIsHeldToItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	f := settled(72)
	before := len(f.ran[name])
	f.run(9*time.Second, f.load(name, 96))
	f.wants(t, large)
	g.Expect(len(f.ran[name])-before).To(gomega.BeNumerically(">=", 9*large.RatePerS), "it gets its limit")
	g.Expect(f.refused[OverLimit]).To(gomega.BeNumerically(">", 0))
	together, per := 0, map[int64]int{}
	for _, at := range f.retry {
		per[at.UnixMilli()/100]++
		together = max(together, per[at.UnixMilli()/100])
	}
	g.Expect(together).To(gomega.BeNumerically("<", len(f.retry)/10), "spread")
}

// Guards against each failure of an accountant and of links, while a tenant is hot.
func TestFailuresKeepTheBound(t *testing.T) {
	for failure, fail := range map[string]func(f *fleet){
		"killed":            func(f *fleet) { f.accountant().down = true },
		"frozen":            func(f *fleet) { f.accountant().frozen = true },
		"cut one way":       func(f *fleet) { a := f.accountant().index; f.cut = func(from, _ int) bool { return from == a } },
		"cut the other way": func(f *fleet) { a := f.accountant().index; f.cut = func(_, to int) bool { return to == a } },
		"slow":              func(f *fleet) { f.delay = 200 * time.Millisecond },
		"two accountants": func(f *fleet) {
			a := f.accountant().index
			f.cut = func(from, to int) bool { return to == a && from%2 == 0 }
		},
		"halves":          func(f *fleet) { f.cut = func(from, to int) bool { return from%2 != to%2 } },
		"a third cut off": func(f *fleet) { f.cut = func(from, to int) bool { return (from%3 == 0) != (to%3 == 0) } },
		"half killed": func(f *fleet) {
			for _, v := range f.vms {
				v.down = v.index%2 == 0
			}
		},
		"all restarted": func(f *fleet) {
			for _, v := range f.vms {
				f.start(v)
			}
		},
		"all alone": func(f *fleet) { f.cut = func(int, int) bool { return true } },
		"repeated":  func(f *fleet) { f.repeat = true },
	} {
		t.Run(failure, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := settled(24)
			hot := f.load(name, 96)
			f.run(2*time.Second, hot)
			fail(f)
			before := len(f.ran[name])
			f.run(12*time.Second, hot)
			f.cut, f.delay = func(int, int) bool { return false }, 5*time.Millisecond
			for _, v := range f.vms {
				v.frozen = false
			}
			f.run(12*time.Second, hot)
			f.wants(t, large)
			g.Expect(len(f.ran[name])-before).To(gomega.BeNumerically(">", 24*large.RatePerS/3), "not silenced")
		})
	}
}

// Guards against a tenant below its limit that is refused when its accountant is killed.
func TestKilledAccountantSilencesNobodyForLong(t *testing.T) {
	g := gomega.NewWithT(t)
	f := settled(24)
	f.accountant().down = true
	f.run(10*time.Second, f.load(name, 12))
	g.Expect(f.refused[OverLimit]).To(gomega.BeZero(), "the limit is not used up")
	t.Log("refused", f.refused)
	clear(f.refused)
	f.run(10*time.Second, f.load(name, 12))
	g.Expect(f.refused).To(gomega.BeEmpty())
}

// Guards against a tenant below its limit that is refused when its accountant's process ends: the others see
// that it is gone.
func TestEndedAccountantSilencesNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(4) {
		f := newFleet(72, seed)
		f.limits[name], f.refuses = large, true
		load := f.load(name, 12)
		f.run(8*time.Second, load)
		f.accountant().down = true
		clear(f.refused)
		f.run(10*time.Second, load)
		t.Log("refused", f.refused)
		g.Expect(f.refused[Unknown]).To(gomega.BeNumerically("<=", 3))
		f.run(5*time.Second, f.load(name, 96))
		f.wants(t, large)
	}
}

// Guards against a restart of all VMs after which tenants below their limit are refused.
func TestRestartOfAllVMsSilencesNobody(t *testing.T) {
	const spread, seeds = 500 * time.Millisecond, 4 // of the starts
	for _, limit := range []tenant.Limit{large, {RatePerS: 60, Burst: 60}, {RatePerS: 2, Burst: 2}, {RatePerS: 0.5, Burst: 1}} {
		t.Run(fmt.Sprint(limit.RatePerS), func(t *testing.T) {
			g := gomega.NewWithT(t)
			refused, later := 0, 0
			for seed := range uint64(seeds) {
				f := newFleet(72, seed)
				f.limits[name] = limit
				load := f.load(name, 0.62*limit.RatePerS)
				f.run(8*time.Second, load)
				for _, v := range f.vms {
					v.down = true
				}
				f.run(1600*time.Millisecond, nil)
				clear(f.refused)
				for _, v := range f.vms {
					f.mail = append(f.mail, letter{at: f.now.Add(time.Duration(f.rng.Int64N(int64(spread)))), run: func() { f.start(v) }})
				}
				f.run(2*spread, load)
				refused += f.refused[Unknown]
				f.run(10*time.Second, load)
				later += f.refused[Unknown]
				g.Expect(f.refused[OverLimit]).To(gomega.BeZero())
				f.wants(t, limit)
			}
			later -= refused
			t.Log("refused while VMs start", refused, "later", later)
			g.Expect(refused).To(gomega.BeNumerically("<", max(4, seeds*0.62*limit.RatePerS*spread.Seconds())), "the requests of that time")
			g.Expect(later).To(gomega.BeZero())
		})
	}
}

// Guards against a part of the fleet that restarts, cut off, and is taken for the whole: a former accountant
// still counts its VMs.
func TestRestartedPartBringsNoTokens(t *testing.T) {
	defer func(config Config) { testConfig = config }(testConfig)
	testConfig = Config{Window: 5 * time.Second, Excess: 0.05, Slack: 2}
	limit := tenant.Limit{RatePerS: 60, Burst: 60}
	f := newFleet(24, 1)
	f.limits[name] = limit
	f.run(8*time.Second, f.load(name, 37))
	hot := f.load(name, 199)
	f.run(3*time.Second, hot)
	a := f.accountant().index % 4
	f.cut = func(from, to int) bool { return (from%4 == a) != (to%4 == a) }
	for _, v := range f.vms {
		if v.index%4 != a {
			f.start(v)
		}
	}
	f.run(12*time.Second, hot)
	f.wants(t, limit)
}

// Guards against refusals when VMs return to the accountant that they had before.
func TestReturnOfTheAccountantRefusesNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	f := settled(72)
	first, load := f.accountant(), f.load(name, 12)
	first.down = true
	f.run(20*time.Second, load)
	clear(f.refused)
	second := f.accountant()
	f.start(first)
	f.run(time.Second, load)
	g.Expect(first.member.Accountant(GroupOf(name))).To(gomega.Equal(second.name), "it is not alone until the others try it again")
	f.run(40*time.Second, load)
	g.Expect(f.accountant()).To(gomega.BeIdenticalTo(first))
	g.Expect(f.refused).To(gomega.BeEmpty())
}

// Guards against a burst after silence, which all VMs would admit as far from the limit.
func TestBurstAfterSilenceKeepsTheBound(t *testing.T) {
	for _, limit := range []tenant.Limit{large, {RatePerS: 0.5, Burst: 1}} {
		f := newFleet(72, 5)
		f.limits[name] = limit
		f.run(30*time.Second, nil)
		f.run(200*time.Millisecond, func() {
			for range 4 {
				f.request(f.rng.IntN(72), name)
			}
		})
		f.run(time.Second, nil)
		f.wants(t, limit)
	}
}

// Guards against a limit that is lowered, raised, taken away or new.
func TestChangedLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	f := settled(24)
	hot := f.load(name, 60)
	f.version, f.limits[name] = 2, tenant.Limit{RatePerS: 2, Burst: 2}
	f.run(testConfig.Window, hot)
	f.ran[name] = nil
	f.run(10*time.Second, hot)
	f.wants(t, f.limits[name])
	f.version, f.limits[name] = 3, large
	f.run(testConfig.Window, hot)
	f.ran[name] = nil
	f.run(10*time.Second, hot)
	g.Expect(len(f.ran[name])).To(gomega.BeNumerically(">=", 10*large.RatePerS*0.95))
	delete(f.limits, name)
	f.version = 4
	f.run(2*time.Second, f.load("other", 5))
	f.version, f.limits[name] = 5, large
	clear(f.refused)
	f.run(5*time.Second, f.load(name, 12))
	g.Expect(f.refused[OverLimit]).To(gomega.BeZero())
}

// Guards against tokens that are lost with requests that did not run.
func TestTokensOfRequestsThatDidNotRunComeBack(t *testing.T) {
	g := gomega.NewWithT(t)
	f := settled(24)
	f.notRun = 0.8
	f.run(20*time.Second, f.load(name, 60))
	g.Expect(f.refused[OverLimit]).To(gomega.BeNumerically("<", 60), "of 1200")
	f.wants(t, large)
}

// Guards against grants that come too late for their request, and are lost or used later.
func TestLateTokenIsGivenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	m := NewMember(testConfig, "vm", 1)
	m.SetVMs(now, []VM{{Name: "vm", Power: 1}})
	m.Next(now)
	for range 20 { // the spare tokens
		m.unanswered(now, name, m.usage(name, 1, large))
	}
	asked := m.Take(now, name, 1, large, NoObjective)
	g.Expect(asked.Verdict).To(gomega.Equal(Asking))
	g.Expect(m.Late(now, asked.Call).Verdict).To(gomega.Equal(Unknown))
	m.Answered(now, asked.Call, &Answer{Asked: true, Granted: true})
	calls, _ := m.Next(now.Add(time.Second))
	g.Expect(calls[GroupOf(name)].Call.Usage).To(gomega.ConsistOf(gomega.HaveField("Back", 1)))
}

// Guards against a Retry-After that does not hold for callers that honour it.
func TestRetryAfterHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	f := settled(24)
	f.run(4*time.Second, f.load(name, 96))
	back := f.retry
	f.retry = nil
	clear(f.refused)
	back = slices.DeleteFunc(back, func(at time.Time) bool { return at.Before(f.now) })
	for _, at := range back {
		f.mail = append(f.mail, letter{at: at, run: func() { f.request(f.rng.IntN(24), name) }})
	}
	f.run(40*time.Second, nil)
	g.Expect(f.refused[OverLimit]).To(gomega.BeNumerically("<=", len(back)/20))
}

// patient is a caller's view of its request.
type patient struct {
	objective time.Duration
	longest   time.Duration // it waits no longer than this before it tries again, once
}

// call lets a caller's request arrive at a random VM. served is called if it runs, with whether that was
// within its objective.
func (f *fleet) call(p patient, served func(inTime bool), refused func()) {
	began := f.now
	try := func(ended func(Decision)) {
		f.requestFor(f.rng.IntN(len(f.vms)), name, p.objective-f.now.Sub(began), ended)
	}
	end := func(d Decision) bool {
		if d.Verdict == Admitted {
			served(f.now.Sub(began) < p.objective)
		}
		return d.Verdict == Admitted
	}
	try(func(d Decision) {
		if end(d) {
			return
		}
		f.mail = append(f.mail, letter{at: f.now.Add(min(d.RetryAfter, p.longest)), run: func() {
			try(func(d Decision) {
				if !end(d) {
					refused()
				}
			})
		}})
	})
}

// Guards against tokens that go to callers who come back too late, in place of those that could be
// served in time.
func TestOverloadServesThoseInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	f := settled(72)
	inTime, late := 0, 0
	hot := func() {
		if f.rng.Float64() < 5*large.RatePerS*fleetStep.Seconds() {
			f.call(patient{objective: 50 * time.Millisecond, longest: 100 * time.Millisecond}, func(in bool) {
				if in {
					inTime++
				} else {
					late++
				}
			}, func() {})
		}
	}
	f.run(4*time.Second, hot)
	inTime, late = 0, 0
	f.run(10*time.Second, hot)
	t.Log("in time", inTime, "late", late)
	g.Expect(inTime).To(gomega.BeNumerically(">=", 10*large.RatePerS))
	f.wants(t, large)
}

// Guards against callers that wait as long as they are asked to and find no room, though their tenant is
// below its limit again.
func TestPatientCallersFindRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	served, lost := 0, 0
	for seed := range uint64(5) {
		f := newFleet(72, seed)
		f.limits[name] = large
		f.run(8*time.Second, f.load(name, 12))
		f.run(time.Second, f.load(name, 5*large.RatePerS))
		for range 60 {
			f.call(patient{objective: 50 * time.Millisecond, longest: time.Hour}, func(bool) { served++ }, func() { lost++ })
		}
		f.run(40*time.Second, f.load(name, 0.75*large.RatePerS))
		f.wants(t, large)
	}
	t.Log("served", served, "lost", lost)
	g.Expect(served).To(gomega.BeNumerically(">=", 0.95*(60*5)))
}

// Guards against any interleaving of failures that breaks the bound.
func TestAnyInterleavingKeepsTheBound(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		limit := tenant.Limit{RatePerS: rapid.Float64Range(0.2, 30).Draw(t, "rate"), Burst: rapid.Float64Range(0, 30).Draw(t, "burst")}
		f := newFleet(rapid.IntRange(1, 10).Draw(t, "vms"), rapid.Uint64().Draw(t, "seed"))
		f.limits[name], f.refuses = limit, rapid.Bool().Draw(t, "refuses")
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
			a := f.accountantOr(v)
			part := rapid.IntRange(1, 1<<len(f.vms)-1).Draw(t, "part")
			switch rapid.IntRange(0, 13).Draw(t, "event") {
			case 0:
				a.down = true
			case 1:
				a.frozen = true
			case 2:
				f.start(a)
			case 3:
				f.cut = func(from, to int) bool { return part>>from&1 != part>>to&1 }
			case 4:
				f.cut = func(from, _ int) bool { return part>>from&1 == 0 }
			case 5:
				f.cut = func(int, int) bool { return f.rng.IntN(3) == 0 }
			case 6:
				f.cut = func(int, int) bool { return false }
			case 7:
				f.delay = time.Duration(rapid.IntRange(0, 250).Draw(t, "delay")) * time.Millisecond
			case 8:
				f.repeat = !f.repeat
			case 9:
				for _, v := range f.vms {
					f.start(v)
				}
			case 10:
				if v.down && f.refuses {
					f.start(v) // its process has ended
				}
				v.down, v.frozen = false, false
			case 11:
				for i := range rapid.IntRange(1, 200).Draw(t, "burst") {
					f.request(i, name)
				}
			case 12:
				before := limit
				limit = tenant.Limit{RatePerS: limit.RatePerS * 0.3, Burst: limit.Burst * 0.3}
				f.version++
				f.limits[name] = limit
				f.run(testConfig.Window, f.load(name, 8*limit.RatePerS)) // the lower limit binds after a window
				f.wants(t, before)
				f.ran[name] = nil
			case 13:
				for _, v := range f.vms {
					if part>>v.index&1 == 1 {
						f.start(v)
					}
				}
			}
			f.notRun = rapid.Float64Range(0, 0.5).Draw(t, "not run")
			f.run(time.Duration(rapid.IntRange(100, 7000).Draw(t, "ms"))*time.Millisecond, f.load(name, rapid.Float64Range(0, 8).Draw(t, "load")*limit.RatePerS))
		}
		f.wants(t, limit)
	})
}

// Guards against a VM that takes itself for the whole fleet while it has not read the list of VMs.
func TestVMWithoutAListAdmitsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	m := NewMember(testConfig, "vm", 1)
	calls, _ := m.Next(now)
	g.Expect(calls).To(gomega.BeEmpty())
	g.Expect(m.Take(now, name, 1, large, NoObjective).Verdict).To(gomega.Equal(Unknown))
}

// Guards against a VM without an accountant among VMs of a release that keeps no limits.
func TestVMsThatKeepNoLimitsArePassedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(72, 1)
	v := f.vms[0]
	for range 2 * len(f.vms) {
		calls, _ := v.member.Next(f.now.Add(v.offset))
		for _, out := range calls {
			if out.To != v.name {
				v.member.Failed(f.clock(v), out, Ignored)
			}
		}
	}
	g.Expect(v.member.Accountant(GroupOf(name))).To(gomega.Equal(v.name))
}

// Guards against two accountants for half a minute after a start: VMs call one that keeps no limits until a moment
// later, and pass it over as if it never would.
func TestVMThatBeginsToKeepLimitsIsFollowedSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(20) {
		f := newFleet(3, seed)
		order := f.vms[0].member.groups[0].order
		best, second := f.vm(order[0]), f.vm(order[1])
		best.ignores, second.frozen = true, true // the third VM calls the best one, and then follows the second
		f.run(20*time.Millisecond, nil)
		best.ignores, second.frozen = false, false
		f.run(youngFor, nil)
		for group := range Groups {
			followed := map[string]int{}
			for _, v := range f.vms {
				followed[v.member.Accountant(group)]++
			}
			g.Expect(followed).To(gomega.HaveLen(1), "seed %d, group %d", seed, group)
		}
	}
}

// fixSeed fixes the seed of a property test, unless a flag states one.
func fixSeed(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		gomega.NewWithT(t).Expect(flag.Set("rapid.seed", "1")).To(gomega.Succeed())
	}
}

// accountantOr returns the accountant of the tenant, or v if there is none.
func (f *fleet) accountantOr(v *fleetVM) *fleetVM {
	if who := v.member.Accountant(GroupOf(name)); who != "" {
		return f.vm(who)
	}
	return v
}

// BenchmarkTakeFar measures the decision on a request of a tenant far from its limit.
func BenchmarkTakeFar(b *testing.B) {
	now := time.Now()
	m := NewMember(testConfig, "vm", 1)
	f := &m.groups[GroupOf(name)]
	f.name, f.heard, f.beatAt = "vm", now, now
	u := m.usage(name, 1, large)
	u.free, u.freeUntil = 1<<60, now.Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		m.Take(now, name, 1, large, NoObjective)
	}
}

// BenchmarkServe measures an accountant's answer with 10,000 tenants and 300 VMs.
func BenchmarkServe(b *testing.B) {
	const tenants, vms = 10000, 300
	now := time.Now()
	list := make([]tenant.Tenant, tenants)
	for i := range list {
		list[i] = tenant.Tenant{Name: strconv.Itoa(i), Limit: large}
	}
	a := NewAccountant(testConfig, 0, vms, now)
	a.SetLimits(now, 1, list)
	calls := make([]*Call, vms)
	for i := range calls {
		calls[i] = &Call{From: strconv.Itoa(i), Serial: 1, Usage: []Usage{{Tenant: list[i].Name, Version: 1, Limit: large, Used: 1}}}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		call := calls[i%vms]
		call.Count++
		now = now.Add(time.Second / beatsPerSecond)
		a.Serve(now, call)
	}
}

// Guards against VMs that start together, read the list of VMs before the others are in it, and then lose the
// store: each would take its share of the limit for larger than it is.
func TestFleetThatDoesNotKnowItselfKeepsTheLimit(t *testing.T) {
	for seed := range uint64(20) {
		g := gomega.NewWithT(t)
		f := newFleet(4, seed)
		f.limits["t"] = tenant.Limit{RatePerS: 10, Burst: 5}
		for i, v := range f.vms {
			v.member = NewMember(testConfig, v.name, seed)
			v.member.SetSettled(false)
			v.member.SetVMs(f.clock(v), slices.Compact([]VM{{Name: f.vms[i/2].name, Power: 1}, {Name: v.name, Power: 1}}))
		}
		f.run(6*time.Second, f.load("t", 100))
		for _, v := range f.vms {
			v.member.SetSettled(true)
			v.member.SetVMs(f.clock(v), f.list)
		}
		f.run(6*time.Second, f.load("t", 100))
		before := len(f.ran["t"])
		f.run(6*time.Second, f.load("t", 100))
		g.Expect(f.most("t")).To(gomega.BeNumerically("<=", testConfig.Bound(f.limits["t"])), "seed %d", seed)
		g.Expect(len(f.ran["t"])-before).To(gomega.BeNumerically(">=", 50), "seed %d: the limit is 10 a second", seed)
	}
}

// Guards against tokens that each start of all VMs brings again: all processes end at the same moment,
// and again within the window, while a tenant asks for far more than its limit.
func TestRestartsOfAllVMsKeepTheBound(t *testing.T) {
	const down = 1400 * time.Millisecond // from the end of the processes to their start
	for _, kills := range []int{1, 2, 3} {
		t.Run(strconv.Itoa(kills), func(t *testing.T) {
			knownred.Skip(t)
			limit := tenant.Limit{RatePerS: 0.5, Burst: 1}
			f := newFleet(6, 1)
			f.limits[name] = limit
			f.run(12*time.Second, nil)
			hot := f.load(name, 60)
			f.run(600*time.Millisecond, hot)
			for range kills {
				for _, v := range f.vms {
					v.down = true
				}
				f.run(down, nil)
				for _, v := range f.vms {
					f.start(v)
				}
				f.run(600*time.Millisecond, hot)
			}
			f.run(8*time.Second, hot)
			t.Logf("at most %d requests in %v, %.2f are allowed", f.most(name), testConfig.Window, testConfig.Bound(limit))
			f.wants(t, limit)
		})
	}
}
