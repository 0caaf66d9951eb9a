package allotment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/tenant"
)

var testConfig = Config{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// fleet plays VMs, their messages and the requests that arrive at them.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	vms     []*fleetVM
	list    []VM
	mail    []letter
	delay   time.Duration                // longest delay of a message
	cut     func(from, to int) bool      // whether messages are lost
	refuses bool                         // VMs that are down refuse connections
	repeat  bool                         // each call is delivered twice
	version int64                        // of the manifest
	limits  map[string]tenant.Limit      // by tenant
	ran     map[string][]time.Time       // by tenant: when requests ran
	refused map[Verdict]int              // requests that did not run
	retry   []time.Time                  // when refused callers were asked to come back
	asks    int                          // calls that asked for a token
	notRun  float64                      // share of admitted requests that are given back
	waiting map[*Outgoing]*fleetVM       // requests that wait for the answer to a call
	ended   map[*Outgoing]func(Decision) // their callers, if these want to know
}

// fleetVM is one VM of a fleet.
type fleetVM struct {
	index       int
	name        string
	member      *Member
	accountants map[int]*Accountant
	down        bool // killed
	frozen      bool
	ignores     bool          // keeps no limits yet, and says so to calls of other VMs
	offset      time.Duration // of its clock
	nextAt      time.Time
}

// letter is a message under way.
type letter struct {
	at  time.Time
	run func()
}

const fleetStep = 5 * time.Millisecond

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), delay: 5 * time.Millisecond,
		limits: map[string]tenant.Limit{}, ran: map[string][]time.Time{}, refused: map[Verdict]int{},
		cut: func(int, int) bool { return false }, waiting: map[*Outgoing]*fleetVM{}, ended: map[*Outgoing]func(Decision){}, version: 1,
	}
	for i := range n {
		v := &fleetVM{index: i, name: fmt.Sprintf("vm-%d", i), offset: time.Duration(f.rng.IntN(1e9)) * time.Microsecond}
		f.vms = append(f.vms, v)
		f.list = append(f.list, VM{Name: v.name, Power: 1})
	}
	for _, v := range f.vms {
		f.start(v)
	}
	return f
}

// start starts a VM, or starts it anew.
func (f *fleet) start(v *fleetVM) {
	v.down, v.frozen, v.accountants, v.nextAt = false, false, map[int]*Accountant{}, time.Time{}
	v.member = NewMember(testConfig, v.name, f.rng.Uint64())
	v.member.SetVMs(f.clock(v), f.list)
}

func (f *fleet) clock(v *fleetVM) time.Time { return f.now.Add(v.offset) }

func (f *fleet) vm(name string) *fleetVM {
	return f.vms[slices.IndexFunc(f.vms, func(v *fleetVM) bool { return v.name == name })]
}

// post delivers a message from one VM to another after a delay, unless it is lost.
func (f *fleet) post(from, to *fleetVM, run func()) {
	at := f.now
	if from != to {
		at = at.Add(time.Duration(f.rng.Int64N(int64(f.delay) + 1)))
	}
	f.mail = append(f.mail, letter{at: at, run: func() {
		if !to.down && !to.frozen && !(from != to && f.cut(from.index, to.index)) {
			run()
		}
	}})
}

// send sends a call, and ends it if it is not answered.
func (f *fleet) send(v *fleetVM, out *Outgoing) {
	to, member, ended := f.vm(out.To), v.member, false
	deliver := func() {
		if ignored := to.ignores && v != to; ignored || !to.member.Settled() {
			why := NoAnswer
			if ignored {
				why = Ignored
			}
			f.post(to, v, func() {
				if !ended && v.member == member {
					ended = true
					f.finish(v, out, member.Failed(f.clock(v), out, why))
					v.nextAt = time.Time{}
				}
			})
			return
		}
		a := to.accountants[out.Call.Group]
		if a == nil {
			a = NewAccountant(testConfig, out.Call.Group, to.member.Members(f.clock(to)), f.clock(to))
			to.accountants[out.Call.Group] = a
		}
		a.SetLimits(f.clock(to), f.version, f.tenants())
		ans := a.Serve(f.clock(to), out.Call)
		if ans.Flipped {
			f.tell(to, out.Call.Group, a.Notice())
		}
		f.post(to, v, func() {
			if !ended && v.member == member {
				ended = true
				d := member.Answered(f.clock(v), out, &ans)
				if out.Call.Serial == 0 || out.Call.Leave {
					v.nextAt = time.Time{}
				}
				if d.Move != "" {
					f.tell(v, out.Call.Group, Answer{Move: d.Move, Whole: true})
				}
				f.finish(v, out, d)
			}
		})
	}
	if to.down && f.refuses {
		f.post(to, v, func() {
			ended = true
			f.finish(v, out, member.Failed(f.clock(v), out, NotRunning))
			v.nextAt = time.Time{}
		})
		return
	}
	f.post(v, to, deliver)
	if f.repeat {
		f.post(v, to, deliver)
	}
	f.mail = append(f.mail, letter{at: f.now.Add(CallTimeout), run: func() {
		if !ended && v.member == member && !v.down {
			ended = true
			f.finish(v, out, member.Failed(f.clock(v), out, NoAnswer))
		}
	}})
}

// tell sends an accountant's notice to all VMs.
func (f *fleet) tell(from *fleetVM, group int, notice Answer) {
	for _, v := range f.vms {
		f.post(from, v, func() {
			v.member.Hear(from.name, group, &notice)
			v.nextAt = time.Time{}
		})
	}
}

// finish ends the wait of a request.
func (f *fleet) finish(v *fleetVM, out *Outgoing, d Decision) {
	if f.waiting[out] == v {
		ended := f.ended[out]
		delete(f.waiting, out)
		delete(f.ended, out)
		f.decide(v, out.Call.Usage[0].Tenant, d, ended)
	}
}

// decide runs or refuses a request. ended may be nil.
func (f *fleet) decide(v *fleetVM, name string, d Decision, ended func(Decision)) {
	if ended != nil {
		ended(d)
	}
	switch {
	case d.Verdict != Admitted:
		f.refused[d.Verdict]++
		f.retry = append(f.retry, f.now.Add(d.RetryAfter))
	case f.rng.Float64() < f.notRun:
		member := v.member
		f.mail = append(f.mail, letter{at: f.now.Add(20 * fleetStep), run: func() { member.Unused(f.clock(v), name) }})
	default:
		f.ran[name] = append(f.ran[name], f.now)
	}
	v.nextAt = time.Time{}
}

// request lets a request of a tenant arrive at a VM.
func (f *fleet) request(i int, name string) { f.requestFor(i, name, NoObjective, nil) }

// requestFor lets a request arrive that can be answered in time for freshFor. ended, which may be nil,
// is called with the decision.
func (f *fleet) requestFor(i int, name string, freshFor time.Duration, ended func(Decision)) {
	v := f.vms[i%len(f.vms)]
	if v.down || v.frozen {
		return
	}
	d := v.member.Take(f.clock(v), name, f.version, f.limits[name], freshFor)
	if d.Verdict != Asking {
		f.decide(v, name, d, ended)
		return
	}
	f.ended[d.Call] = ended
	f.asks++
	f.waiting[d.Call] = v
	f.send(v, d.Call)
	f.mail = append(f.mail, letter{at: f.now.Add(4 * fleetStep), run: func() {
		if f.waiting[d.Call] == v {
			f.finish(v, d.Call, v.member.Late(f.clock(v), d.Call))
		}
	}})
}

// tenants returns the tenants of the manifest.
func (f *fleet) tenants() []tenant.Tenant {
	var list []tenant.Tenant
	for name, limit := range f.limits {
		list = append(list, tenant.Tenant{Name: name, Limit: limit})
	}
	return list
}

// run lets time pass. each, which may be nil, is called at each step.
func (f *fleet) run(d time.Duration, each func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for len(f.mail) > 0 {
			var due []letter
			f.mail = slices.DeleteFunc(f.mail, func(l letter) bool {
				if !l.at.After(f.now) {
					due = append(due, l)
					return true
				}
				return false
			})
			if len(due) == 0 {
				break
			}
			for _, l := range due {
				l.run()
			}
		}
		for _, v := range f.vms {
			if v.down || v.frozen || f.clock(v).Before(v.nextAt) {
				continue
			}
			calls, next := v.member.Next(f.clock(v))
			v.nextAt = next
			for _, out := range calls {
				f.send(v, out)
			}
		}
		if each != nil {
			each()
		}
	}
}

// load returns a step in which requests of a tenant arrive at random VMs, perSecond on average.
func (f *fleet) load(name string, perSecond float64) func() {
	return func() {
		if f.rng.Float64() < perSecond*fleetStep.Seconds() {
			f.request(f.rng.IntN(len(f.vms)), name)
		}
	}
}

// most returns the largest number of requests of a tenant that ran in a window.
func (f *fleet) most(name string) int {
	ran, most, first := f.ran[name], 0, 0
	for i, t := range ran {
		for t.Sub(ran[first]) >= testConfig.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
