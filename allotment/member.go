package allotment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/tenant"
)

// Parameters of a VM's part.
const (
	// candidates is how many VMs, in their order, may become accountant of a group. Those of a release
	// that keeps no limits are passed over.
	candidates = 8
	// memberRetention is how long a VM that is no longer listed counts as a member of the fleet. A VM
	// that is told to stop still serves callers for some seconds.
	memberRetention = 10 * time.Second
	idleWindows     = 2 // what a VM knows of a tenant without requests is forgotten after this many windows
)

// Verdict is the decision on a request.
type Verdict int

// Verdicts.
const (
	Admitted  Verdict = iota
	Asking            // send Decision.Call; Answered or Failed decides
	OverLimit         // the tenant has used up its limit
	Unknown           // no accountant says whether the limit is used up
)

// Decision is the decision on a request.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration // of OverLimit and Unknown
	Call       *Outgoing     // of Asking
	TellNow    bool          // Next has a call to send
	Accountant string        // of OverLimit and Unknown: the VM that the decision rests on, empty if there is none
	Known      bool          // of OverLimit and Unknown: Age is known
	Age        time.Duration // how long ago the accountant was asked for what the decision rests on
	Move       string        // of Answered: if not empty, the accountant at this VM should tell its followers to follow this VM
}

// Outgoing is a call to send to an accountant, which may be this VM itself.
type Outgoing struct {
	To     string // name of the VM
	Call   *Call
	SentAt time.Time
	late   bool // the request waits no longer
}

// Member decides on the requests that arrive at one VM.
type Member struct {
	config    Config
	self      string
	rng       *rand.Rand
	vms       []VM                 // the fleet, this VM included
	left      map[string]time.Time // VMs that are no longer listed, by the time up to which they count
	unsettled bool                 // vms may lack VMs that started with this one
	groups    [Groups]following
	tenants   map[string]*usage
	startedAt time.Time // when the list of VMs was first known
	sweepAt   time.Time // when idle tenants are to be forgotten
}

// following is what a VM knows of the accountant of a group.
type following struct {
	order     []string // all VMs, the best candidate first
	cooldowns map[string]cooldown
	name      string // accountant, empty if there is none
	serial    int64
	count     int64
	fresh     bool      // see Call.Fresh
	first     bool      // see Call.Young: no other accountant counts this VM, unless it was one before the start
	able      bool      // see Call.Able
	since     time.Time // when the accountant was chosen
	heard     time.Time // when the latest answered call was sent; zero if none was
	near      map[string]bool
	allNear   bool
	whole     bool      // see Answer.Whole
	beatAt    time.Time // when the next call is due
	pending   []string  // tenants of which there is something to tell
	clean     bool      // see Call.Clean
	probing   bool      // a probe of a better candidate is under way
	lookAt    time.Time // when to ask another candidate next whether VMs follow it
	looked    int       // number of those questions
	next      string    // candidate to follow once the accountant knows that this VM leaves it; empty if there is none
	leaving   bool      // the call that says so is under way
	failedAt  time.Time // when a call was not answered, zero if the latest one was
}

// cooldown keeps a VM that did not answer from being chosen.
type cooldown struct {
	until   time.Time
	length  time.Duration
	ignores bool // the VM keeps no limits
}

// usage is what a VM knows of one tenant.
type usage struct {
	version    int64
	limit      tenant.Limit
	untold     int       // requests admitted without asking, of which the accountant was not told
	sent       int       // likewise, of which a call under way tells
	back       int       // tokens that were not used, of which the accountant was not told
	pending    bool      // listed in following.pending
	free       int       // requests that may be admitted before the accountant has been told
	freeUntil  time.Time // end of the validity of free
	spent      []time.Time
	fullUntil  time.Time // the accountant has said that there is no room until then
	staleUntil time.Time // likewise, for stale requests
	toldBy     string    // the accountant that said so
	toldAt     time.Time // when it was asked
	retryAt    time.Time // when the latest refused caller was asked to come back
	usedAt     time.Time // time of the latest request
}

// NewMember returns the part of the VM self. It knows no accountant and holds no token until SetVMs is
// called: a VM that doesn't know the fleet doesn't know its share.
func NewMember(config Config, self string, seed uint64) *Member {
	m := &Member{config: config, self: self, rng: rand.New(rand.NewPCG(seed, seed>>1)), left: make(map[string]time.Time), tenants: make(map[string]*usage)}
	for i := range m.groups {
		m.groups[i].cooldowns = make(map[string]cooldown)
	}
	return m
}

// SetVMs replaces the list of VMs of the fleet, this one included.
func (m *Member) SetVMs(now time.Time, vms []VM) {
	for _, vm := range m.vms {
		if !slices.ContainsFunc(vms, func(v VM) bool { return v.Name == vm.Name }) {
			m.left[vm.Name] = now.Add(memberRetention)
		}
	}
	for _, vm := range vms {
		delete(m.left, vm.Name)
	}
	m.vms = slices.Clone(vms)
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	for group := range m.groups {
		f := &m.groups[group]
		f.order = order(m.vms, group)
		f.able = slices.Contains(f.order[:min(candidates, len(f.order))], m.self)
		for name := range f.cooldowns {
			if !slices.Contains(f.order, name) {
				delete(f.cooldowns, name)
			}
		}
	}
}

// SetSettled says whether the list of VMs is known to hold all that have started with this one. A new
// Member takes it for settled. While it is not, this VM doesn't know its share: it is no accountant and
// has no spare tokens, but follows others.
func (m *Member) SetSettled(settled bool) { m.unsettled = !settled }

// Settled reports what SetSettled has said.
func (m *Member) Settled() bool { return !m.unsettled }

// young reports whether this VM has just started.
func (m *Member) young(now time.Time) bool { return now.Sub(m.startedAt) < youngFor }

// Members returns the number of VMs of the fleet. VMs that are no longer listed count for a while.
func (m *Member) Members(now time.Time) int {
	for name, until := range m.left {
		if !now.Before(until) {
			delete(m.left, name)
		}
	}
	return max(1, len(m.vms)+len(m.left))
}

// Accountant returns the name of the VM that this one follows in a group, empty if there is none.
func (m *Member) Accountant(group int) string { return m.groups[group].name }

// NoObjective is the freshFor of a request without a latency objective.
const NoObjective time.Duration = math.MaxInt64

// Take decides on a request of a tenant, whose limit a manifest of the given version states. freshFor is
// how long the request can still be answered within its latency objective. If that is over, the request
// is stale: near the limit, others come before it.
func (m *Member) Take(now time.Time, name string, version int64, limit tenant.Limit, freshFor time.Duration) Decision {
	if !limit.Limited() {
		return Decision{}
	}
	u := m.usage(name, version, limit)
	u.usedAt = now
	f := &m.groups[GroupOf(name)]
	if m.far(now, f, name) {
		free := 1
		if now.Before(u.freeUntil) {
			free = u.free
		}
		if u.untold+u.sent < free {
			u.untold++
			tell := u.untold+u.sent >= free
			m.pend(now, f, name, u, tell)
			return Decision{TellNow: tell}
		}
	}
	if now.Before(u.fullUntil) || freshFor <= 0 && now.Before(u.staleUntil) {
		return m.refuse(now, u)
	}
	if f.name == "" {
		m.choose(now, f)
	}
	if f.name == "" {
		return m.unanswered(now, name, u)
	}
	out := m.call(now, f, GroupOf(name), name)
	ask := &out.Call.Usage[0]
	if ask.Stale = freshFor <= 0; !ask.Stale && freshFor != NoObjective {
		ask.FreshMS = milliseconds(freshFor)
	}
	return Decision{Verdict: Asking, Call: out}
}

// far reports whether a tenant is far from its limit by a recent notice of the accountant.
func (m *Member) far(now time.Time, f *following, name string) bool {
	return !f.heard.IsZero() && now.Sub(f.heard) < lapse(len(m.vms)) && !f.allNear && !f.near[name]
}

// usage returns what is known of a tenant.
func (m *Member) usage(name string, version int64, limit tenant.Limit) *usage {
	u := m.tenants[name]
	if u == nil {
		u = &usage{}
		m.tenants[name] = u
	}
	if version != u.version || limit != u.limit {
		u.version, u.limit, u.fullUntil, u.staleUntil, u.freeUntil = version, limit, time.Time{}, time.Time{}, time.Time{}
	}
	return u
}

// pend notes that there is something to tell of a tenant, at once or soon.
func (m *Member) pend(now time.Time, f *following, name string, u *usage, atOnce bool) {
	if !u.pending {
		u.pending = true
		f.pending = append(f.pending, name)
	}
	due := now
	if !atOnce {
		due = now.Add(tellDelay)
	}
	if due.Before(f.beatAt) {
		f.beatAt = due
	}
}

// call returns a call to the accountant with all that there is to tell. If ask is not empty, the call
// asks for a token of that tenant.
func (m *Member) call(now time.Time, f *following, group int, ask string) *Outgoing {
	f.count++
	f.beatAt = now.Add(beat(len(m.vms)))
	c := &Call{From: m.self, Group: group, Serial: f.serial, Fresh: f.fresh, Clean: f.clean, Count: f.count}
	c.Young, c.Able = f.first && m.young(now), f.able
	add := func(name string, asks bool) {
		u := m.tenants[name]
		c.Usage = append(c.Usage, Usage{Tenant: name, Version: u.version, Limit: u.limit, Used: u.untold, Back: u.back, Ask: asks})
		u.sent += u.untold
		u.untold, u.back, u.pending = 0, 0, false
	}
	if ask != "" {
		add(ask, true)
	}
	for _, name := range f.pending {
		if name != ask {
			add(name, false)
		}
	}
	f.pending = f.pending[:0]
	return &Outgoing{To: f.name, Call: c, SentAt: now}
}

// Answered records the answer to a call. If the call asked for a token, it returns the decision on the
// request.
func (m *Member) Answered(now time.Time, out *Outgoing, ans *Answer) Decision {
	f := &m.groups[out.Call.Group]
	if out.Call.Serial == 0 {
		f.probing = false
		delete(f.cooldowns, out.To)
		if ans.Whole && f.name == m.self && !f.whole {
			f.next = out.To
			return Decision{}
		}
		if out.To != m.best(now, f) || out.To == f.name {
			return Decision{}
		}
		f.next = out.To
		if f.name == m.self {
			return Decision{Move: out.To}
		}
		return Decision{}
	}
	current := out.Call.Serial == f.serial
	if current {
		delete(f.cooldowns, out.To)
		f.failedAt = time.Time{}
		if out.SentAt.After(f.heard) {
			f.heard = out.SentAt
		}
		m.learn(f, ans)
	}
	var d Decision
	for i, told := range out.Call.Usage {
		u := m.tenants[told.Tenant]
		if u == nil {
			continue
		}
		u.sent -= told.Used
		if i == 0 && current {
			u.free, u.freeUntil = ans.Free, out.SentAt.Add(lapse(len(m.vms)))
		}
		if told.Ask {
			d = m.decide(now, f, out, told.Tenant, u, ans)
		}
	}
	if current && out.Call.Leave {
		first := f.first
		m.follow(now, f, f.next)
		f.clean, f.first = true, first
	}
	return d
}

// decide returns the decision on a request for which a token was asked.
func (m *Member) decide(now time.Time, f *following, out *Outgoing, name string, u *usage, ans *Answer) Decision {
	if ans.Granted && (out.late || now.Sub(out.SentAt) > m.config.tokenLife()) {
		u.back++
		m.pend(now, f, name, u, false)
	}
	switch {
	case out.late:
		return Decision{}
	case !ans.Asked, ans.Granted && now.Sub(out.SentAt) > m.config.tokenLife():
		return m.unanswered(now, name, u)
	case ans.Granted:
		return Decision{}
	case ans.Unsure:
		d := m.unanswered(now, name, u)
		d.RetryAfter = max(d.RetryAfter, time.Duration(ans.RetryMS)*time.Millisecond)
		return d
	}
	u.fullUntil = now.Add(time.Duration(ans.RoomMS) * time.Millisecond)
	u.staleUntil = now.Add(time.Duration(ans.StaleMS) * time.Millisecond)
	u.toldBy, u.toldAt = out.To, out.SentAt
	u.retryAt = now.Add(time.Duration(ans.RetryMS) * time.Millisecond)
	return u.overLimit(now)
}

// Failure is why a call was not answered.
type Failure int

// Failures.
const (
	NoAnswer   Failure = iota // no answer in time, or the link broke
	NotRunning                // the called VM refuses connections: its process has ended, and its state is lost
	Ignored                   // the called VM keeps no limits
)

// Failed records that a call was not answered. If the call asked for a token, it returns the decision on
// the request.
func (m *Member) Failed(now time.Time, out *Outgoing, why Failure) Decision {
	f, ignored := &m.groups[out.Call.Group], why == Ignored
	if out.Call.Serial == 0 {
		f.probing = false
	}
	switch followed := out.Call.Serial == f.serial && f.name == out.To; {
	case followed && out.Call.Leave:
		m.follow(now, f, f.next)
	case followed && why == NotRunning:
		// Nobody counts this VM any more, unless it has changed lately.
		alone, first := now.Sub(f.since) >= overlap(len(m.vms)), f.first
		m.exclude(now, f, out.To, false)
		m.follow(now, f, m.best(now, f))
		f.clean, f.first = alone, f.first || alone && first
	case followed && f.failedAt.IsZero() && !ignored:
		// This VM may have been paused itself, so a second call has to fail.
		f.failedAt, f.beatAt = now, now
	case followed && out.SentAt.Before(f.failedAt) && !ignored:
	case followed:
		m.exclude(now, f, out.To, ignored)
		m.follow(now, f, m.best(now, f))
	case out.Call.Serial == 0:
		m.exclude(now, f, out.To, ignored)
	}
	var d Decision
	for _, told := range out.Call.Usage {
		u := m.tenants[told.Tenant]
		if u == nil {
			continue
		}
		u.sent -= told.Used
		if told.Used > 0 {
			u.untold += told.Used
			m.pend(now, f, told.Tenant, u, false)
		}
		if told.Ask && !out.late {
			d = m.unanswered(now, told.Tenant, u)
		}
	}
	return d
}

// exclude keeps a VM that does not answer from being chosen as accountant for a while.
func (m *Member) exclude(now time.Time, f *following, name string, ignores bool) {
	first := firstCooldown
	if m.young(now) {
		first = youngCooldown // VMs that are starting too answer soon
	}
	next := min(maxCooldown, max(first, 2*f.cooldowns[name].length))
	f.cooldowns[name] = cooldown{until: now.Add(next), length: next, ignores: ignores}
}

// Late decides on the request for which a call asks for a token, when it may wait no longer. The call
// remains under way. A token that it gets is given back.
func (m *Member) Late(now time.Time, out *Outgoing) Decision {
	out.late = true
	name := out.Call.Usage[0].Tenant
	if u := m.tenants[name]; u != nil {
		return m.unanswered(now, name, u)
	}
	return Decision{Verdict: Unknown, RetryAfter: retryPause}
}

// Hear records what an accountant tells all its followers. It may be to follow another VM: they change
// together, so that neither accountant has a small share for long.
func (m *Member) Hear(from string, group int, ans *Answer) {
	if group < 0 || group >= Groups {
		return
	}
	f := &m.groups[group]
	if f.name != from {
		return
	}
	m.learn(f, ans)
	if ans.Move != "" && ans.Move != f.name && f.next == "" {
		f.next = ans.Move
	}
}

// learn records which tenants are near their limit.
func (m *Member) learn(f *following, ans *Answer) {
	f.allNear, f.whole = ans.AllNear, ans.Whole
	if len(ans.Near) == 0 {
		f.near = nil
		return
	}
	f.near = make(map[string]bool, len(ans.Near))
	for _, name := range ans.Near {
		f.near[name] = true
	}
}

// Unused gives back what Take took, for a request that has not run.
func (m *Member) Unused(now time.Time, name string) {
	u := m.tenants[name]
	switch {
	case u == nil:
	case u.untold > 0:
		u.untold--
	case len(u.spent) > 0:
		u.spent = u.spent[:len(u.spent)-1]
	default:
		u.back++
		m.pend(now, &m.groups[GroupOf(name)], name, u, false)
	}
}

// overLimit returns the decision that an accountant's answer led to.
func (u *usage) overLimit(now time.Time) Decision {
	return Decision{Verdict: OverLimit, RetryAfter: u.retryAt.Sub(now), Accountant: u.toldBy, Known: true, Age: now.Sub(u.toldAt)}
}

// refuse refuses a request of a tenant that has used up its limit. Callers are asked to come back one
// after the other.
func (m *Member) refuse(now time.Time, u *usage) Decision {
	if u.retryAt.Before(u.fullUntil) {
		u.retryAt = u.fullUntil
	}
	u.retryAt = u.retryAt.Add(seconds(1 / (m.config.rate(u.limit) * minReturnShare)))
	if latest := now.Add(maxRetryAfter); u.retryAt.After(latest) {
		u.retryAt = latest.Add(-time.Duration(m.rng.Int64N(int64(maxRetryAfter / 2))))
	}
	return u.overLimit(now)
}

// unanswered decides on a request while no accountant says whether the limit is used up: some VMs hold
// a spare token of the tenant, which they may use once in a window.
func (m *Member) unanswered(now time.Time, name string, u *usage) Decision {
	u.spent = slices.DeleteFunc(u.spent, func(t time.Time) bool { return now.Sub(t) > m.config.Window })
	if len(u.spent) < m.spare(now, name, u.limit) {
		u.spent = append(u.spent, now)
		return Decision{}
	}
	f := &m.groups[GroupOf(name)]
	return Decision{
		Verdict: Unknown, RetryAfter: retryPause + time.Duration(m.rng.Int64N(int64(retryPause))),
		Accountant: f.name, Known: !f.heard.IsZero(), Age: now.Sub(f.heard),
	}
}

// spare returns the number of spare tokens of a tenant that this VM holds. They are whole, and divided
// by rank of a hash.
func (m *Member) spare(now time.Time, name string, limit tenant.Limit) int {
	total := int(math.Floor(m.config.spare(limit) * (1 - initialShare)))
	rank, own := 0, hash(name, m.self)
	for _, vm := range m.vms {
		if vm.Name != m.self && hash(name, vm.Name) < own {
			rank++
		}
	}
	if len(m.vms) == 0 || m.unsettled {
		return 0
	}
	members := m.Members(now)
	tokens := total / members
	if rank < total%members {
		tokens++
	}
	return tokens
}

// sweep forgets tenants without requests, once in a window.
func (m *Member) sweep(now time.Time) {
	if now.Before(m.sweepAt) {
		return
	}
	m.sweepAt = now.Add(m.config.Window)
	for name, u := range m.tenants {
		idle := now.Sub(u.usedAt) > idleWindows*m.config.Window
		if idle && u.untold+u.sent+u.back == 0 && !u.pending {
			delete(m.tenants, name)
		}
	}
}
