package edge

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/allotment"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Bounds of the wait for an accountant's answer to a request of a tenant near its limit.
const (
	// askWaitShare is the longest wait as a share of the route's latency objective. A refusal should
	// reach the caller within a quarter of the objective, so that trying again is still worth it.
	askWaitShare = 0.2
	minAskWait   = 5 * time.Millisecond
	maxAskWait   = 100 * time.Millisecond
	askTries     = 3 // how often a request asks within the wait, while nobody says whether the limit is used up
)

// idleAllotmentPeriod is the interval at which a VM looks for limits while its manifest states none.
const idleAllotmentPeriod = time.Second

// config returns the tolerances in the form that package allotment uses.
func (s AllotmentSettings) config() allotment.Config {
	return allotment.Config{Window: time.Duration(s.WindowS * float64(time.Second)), Excess: s.Excess, Slack: s.Slack}
}

// allotments keeps the limits of tenants: this VM's part, and that of an accountant where other VMs
// follow this one. It is safe for concurrent use.
type allotments struct {
	e      *Engine
	self   scatter.VM
	config allotment.Config
	log    *slog.Logger
	wake   wakeup // wakes the loop that sends calls

	mu          sync.Mutex // guards the fields below
	member      *allotment.Member
	accountants [allotment.Groups]*allotment.Accountant // nil for groups in which no VM follows this one
	near        [allotment.Groups][]string              // tenants near their limit, as last logged
	over        map[string]time.Time                    // tenants near their limit, by when it was last logged that they have used it up
	followed    [allotment.Groups]string                // accountants, as last logged
	vms         map[string]scatter.VM                   // the other VMs, by name
	gone        map[string]time.Time                    // VMs that don't run or keep no limits, by when that was last seen
	goneCheckAt time.Time                               // when VMs that don't follow this one are to be checked
	version     int64                                   // manifest whose limits the accountants have
	limited     bool                                    // that manifest states limits

	admitted, asked, overLimit, unknown, stale, again, late, returned, changes *metrics.Counter
}

// newAllotments returns the limits of tenants at the VM self, with their metrics.
func newAllotments(e *Engine, self scatter.VM, config allotment.Config, seed uint64) *allotments {
	a := &allotments{
		e: e, self: self, config: config, log: logging.Component(e.log, "allotments"), wake: newWakeup(),
		member: allotment.NewMember(config, self.Name, seed),
		vms:    make(map[string]scatter.VM), over: make(map[string]time.Time), gone: make(map[string]time.Time),
	}
	set := e.stats.set
	a.admitted = set.NewCounter(`bramley_edge_allotment_requests_total{decision="admitted"}`)
	a.overLimit = set.NewCounter(`bramley_edge_allotment_requests_total{decision="over_limit"}`)
	a.unknown = set.NewCounter(`bramley_edge_allotment_requests_total{decision="unknown"}`)
	a.asked = set.NewCounter(`bramley_edge_allotment_asked_total`)
	a.stale = set.NewCounter(`bramley_edge_allotment_stale_total`)
	a.again = set.NewCounter(`bramley_edge_allotment_again_total`)
	a.late = set.NewCounter(`bramley_edge_allotment_late_total`)
	a.returned = set.NewCounter(`bramley_edge_allotment_returned_total`)
	a.changes = set.NewCounter(`bramley_edge_allotment_accountant_changes_total`)
	set.NewGauge(`bramley_edge_allotment_near_tenants`, func() float64 { return a.sum(func(c *allotment.Accountant) int { return c.Near() }) })
	set.NewGauge(`bramley_edge_allotment_followers`, func() float64 {
		return a.sum(func(c *allotment.Accountant) int { following, _ := c.Followers(); return following })
	})
	return a
}

// sum adds up a number over this VM's groups as accountant.
func (a *allotments) sum(of func(*allotment.Accountant) int) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0
	for _, c := range a.accountants {
		if c != nil {
			total += of(c)
		}
	}
	return float64(total)
}

// startAllotments keeps the limits of tenants until ctx ends, if the settings say how far they may be
// exceeded.
func (n *Node) startAllotments(ctx context.Context) {
	if n.settings.Allotment.WindowS <= 0 {
		return
	}
	a := newAllotments(n.engine, n.self, n.settings.Allotment.config(), uint64(time.Now().UnixNano()))
	n.engine.allotments.Store(a)
	n.tomb.Go(func() error {
		probeLoop(ctx, a.wake, func(ctx context.Context) (bool, time.Time) { return false, a.round(ctx, time.Now()) })
		return nil
	})
}

// takeToken takes one request from the limit of its tenant, and returns a rejection if the limit is
// used up, or if it is not known whether it is. freshFor is that of allotment.Member.Take.
func (e *Engine) takeToken(ctx context.Context, now time.Time, who origin, route *routing.Route, freshFor time.Duration) *rejection {
	a := e.allotments.Load()
	if a == nil || who.tenant == nil || !who.tenant.Limit.Limited() {
		return nil
	}
	version := int64(0)
	if m := e.inForce.Get(); m != nil {
		version = m.Version
	}
	wait := askWait(route)
	d := a.take(ctx, now, who, version, freshFor, wait)
	for tries, pause := 1, wait/askTries; d.Verdict == allotment.Unknown && freshFor > 0 && tries < askTries; tries++ {
		if wait-time.Since(now) < pause {
			break
		}
		if sleep(ctx, pause); ctx.Err() != nil {
			break
		}
		a.again.Inc()
		d = a.take(ctx, time.Now(), who, version, freshFor, wait-time.Since(now))
	}
	if d.Verdict != allotment.Admitted && freshFor <= 0 {
		a.stale.Inc()
	}
	switch d.Verdict {
	case allotment.OverLimit:
		a.overLimit.Inc()
		return &rejection{status: http.StatusTooManyRequests, why: "over_limit", retryAfter: d.RetryAfter, fields: limitFields(who, freshFor, &d)}
	case allotment.Unknown:
		a.unknown.Inc()
		return &rejection{status: http.StatusServiceUnavailable, why: "limit_unknown", retryAfter: d.RetryAfter, fields: limitFields(who, freshFor, &d)}
	default:
		a.admitted.Inc()
		return nil
	}
}

// take decides on a request, and waits for an accountant's answer if it has to ask.
func (a *allotments) take(ctx context.Context, now time.Time, who origin, version int64, freshFor, wait time.Duration) allotment.Decision {
	a.mu.Lock()
	d := a.member.Take(now, who.tenant.Name, version, who.tenant.Limit, freshFor)
	a.mu.Unlock()
	if d.TellNow {
		a.wake.notify()
	}
	if d.Verdict == allotment.Asking {
		a.asked.Inc()
		d = a.ask(ctx, d.Call, max(wait, minAskWait))
	}
	return d
}

// limitFields returns the fields for the log line of a request that was refused by its tenant's limit.
func limitFields(who origin, freshFor time.Duration, d *allotment.Decision) []any {
	fields := append(who.logFields(),
		"rate_per_s", who.tenant.Limit.RatePerS,
		"burst", who.tenant.Limit.Burst,
		"stale", freshFor <= 0,
		"accountant", d.Accountant,
		"retry_ms", d.RetryAfter.Milliseconds(),
	)
	if d.Known {
		fields = append(fields, "age_ms", d.Age.Milliseconds())
	}
	return fields
}

// askWait returns how long a request of a route may wait for an accountant.
func askWait(route *routing.Route) time.Duration {
	if route.Aim <= 0 {
		return maxAskWait
	}
	wait := time.Duration(askWaitShare * float64(route.Aim))
	return min(max(wait, minAskWait), maxAskWait)
}

// returnToken gives back what takeToken took, for a request that has not run.
func (e *Engine) returnToken(now time.Time, who origin) {
	a := e.allotments.Load()
	if a == nil || who.tenant == nil || !who.tenant.Limit.Limited() {
		return
	}
	a.returned.Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.Unused(now, who.tenant.Name)
}

// ask asks an accountant for a token, and decides after wait without its answer. The call continues, so
// that an accountant that does not answer is found out.
func (a *allotments) ask(ctx context.Context, out *allotment.Outgoing, wait time.Duration) allotment.Decision {
	decided := make(chan allotment.Decision, 1)
	go a.send(out, decided)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case d := <-decided:
		return d
	default:
		a.late.Inc()
		return a.member.Late(time.Now(), out)
	}
}

// send sends a call to an accountant and records the answer. decided, which may be nil, receives the
// decision on the request for which the call asks.
func (a *allotments) send(out *allotment.Outgoing, decided chan<- allotment.Decision) {
	ans, err := a.call(out)
	if err != nil {
		a.log.Debug("call to an accountant failed", "vm", out.To, "group", out.Call.Group, "error", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var d allotment.Decision
	if err != nil {
		d = a.member.Failed(time.Now(), out, failureOf(err))
		a.wake.notify() // the next candidate is told at once
	} else {
		d = a.member.Answered(time.Now(), out, ans)
	}
	if c := a.accountants[out.Call.Group]; d.Move != "" && c != nil {
		notice := &allotmentNotice{Group: out.Call.Group, Answer: c.Notice()}
		notice.Answer.Move = d.Move
		go a.e.currentPeerClient().notifyNear(notice)
	}
	if out.Call.Serial == 0 || out.Call.Leave {
		a.wake.notify() // another accountant is to be told at once
	}
	if decided != nil {
		decided <- d
	}
}

// failureOf returns why a call to an accountant was not answered.
func failureOf(err error) allotment.Failure {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return allotment.NotRunning
	case result.CodeOf(err) == result.UnknownMethod:
		return allotment.Ignored
	default:
		return allotment.NoAnswer
	}
}

// call sends a call to an accountant, which may be this VM.
func (a *allotments) call(out *allotment.Outgoing) (*allotment.Answer, error) {
	if out.To == a.self.Name {
		return a.serve(out.Call)
	}
	a.mu.Lock()
	vm, known := a.vms[out.To]
	a.mu.Unlock()
	if !known {
		return nil, errNotConnected
	}
	ctx, cancel := context.WithTimeout(context.Background(), allotment.CallTimeout)
	defer cancel()
	ans := new(allotment.Answer)
	return ans, a.e.currentPeerClient().allot(ctx, vm, out.Call, ans)
}

// serve answers a call of a VM, and tells all followers if a tenant has come near its limit. It refuses
// while this VM doesn't know the fleet.
func (a *allotments) serve(call *allotment.Call) (*allotment.Answer, error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.member.Settled() {
		return nil, result.Errorf(result.NotStarted, "the list of VMs is not settled")
	}
	a.applyManifest(now)
	c := a.accountants[call.Group]
	if c == nil && call.Serial == 0 {
		return &allotment.Answer{}, nil // a probe: this VM could be an accountant
	}
	if c == nil {
		c = allotment.NewAccountant(a.config, call.Group, a.member.Members(now), now)
		a.goneCheckAt = now.Add(goneCheckDelay)
		if m := a.e.inForce.Get(); m != nil {
			c.SetLimits(now, m.Version, m.Tenants)
		}
		a.accountants[call.Group] = c
	}
	ans := c.Serve(now, call)
	if ans.Asked && !ans.Granted && !ans.Unsure {
		a.logOver(now, call.Usage[0].Tenant)
	}
	if ans.Flipped {
		notice := &allotmentNotice{Group: call.Group, Answer: c.Notice()}
		client := a.e.currentPeerClient()
		go client.notifyNear(notice)
	}
	a.logNear(call.Group)
	return &ans, nil
}

// hear records what an accountant tells its followers.
func (a *allotments) hear(from string, notice *allotmentNotice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.Hear(from, notice.Group, &notice.Answer)
	if notice.Answer.Move != "" {
		a.wake.notify()
	}
}

// setVMs sets the list of the other VMs. a may be nil.
func (a *allotments) setVMs(others []scatter.VM) {
	if a == nil {
		return
	}
	list := []allotment.VM{{Name: a.self.Name, Power: a.self.Power}}
	vms := make(map[string]scatter.VM, len(others))
	for _, vm := range others {
		list = append(list, allotment.VM{Name: vm.Name, Power: vm.Power})
		vms[vm.Name] = vm
	}
	a.mu.Lock()
	a.vms = vms
	maps.DeleteFunc(a.gone, func(name string, _ time.Time) bool { _, listed := vms[name]; return !listed })
	a.member.SetVMs(time.Now(), list)
	a.mu.Unlock()
	a.wake.notify()
}

// setSettled says whether the list of VMs holds all that have started with this one. a may be nil.
func (a *allotments) setSettled(settled bool) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.SetSettled(settled)
}

// settleVMs replaces the list of the other VMs by one that holds all that have started with this one.
func (e *Engine) settleVMs(others []scatter.VM) {
	a := e.allotments.Load()
	a.setSettled(true)
	a.setVMs(others)
}

// manifestInForce begins to keep the limits of a new manifest.
func (a *allotments) manifestInForce() {
	if a != nil {
		a.wake.notify()
	}
}

// applyManifest gives the limits of the manifest in force to the accountants, if it is a new one. The
// caller must hold a.mu.
func (a *allotments) applyManifest(now time.Time) {
	m := a.e.inForce.Get()
	if m == nil || m.Version == a.version {
		return
	}
	a.version, a.limited = m.Version, false
	for i := range m.Tenants {
		a.limited = a.limited || m.Tenants[i].Limit.Limited()
	}
	for _, c := range a.accountants {
		if c != nil {
			c.SetLimits(now, m.Version, m.Tenants)
		}
	}
}

// round sends the calls that are due, and returns when the next one is.
func (a *allotments) round(_ context.Context, now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyManifest(now)
	for group, c := range a.accountants {
		if c == nil {
			continue
		}
		c.SetMembers(now, a.member.Members(now)-a.goneFrom(now, c))
		if c.Idle(now) {
			a.accountants[group] = nil
		}
		a.logNear(group)
	}
	if !a.limited {
		return now.Add(idleAllotmentPeriod)
	}
	a.checkGone(now)
	calls, next := a.member.Next(now)
	for _, out := range calls {
		go a.send(out, nil)
	}
	for group := range allotment.Groups {
		if name := a.member.Accountant(group); name != a.followed[group] {
			a.changes.Inc()
			a.log.Info("accountant changed", "group", group, "vm", name, "before", a.followed[group])
			a.followed[group] = name
		}
	}
	return next
}

// Parameters of the search for VMs that don't run.
const (
	goneCheckPeriod = 2 * time.Second
	goneCheckDelay  = time.Second     // from this VM's becoming accountant to the first check: VMs that run follow it by then
	goneLife        = 5 * time.Second // how long after the latest check a VM counts as not running
)

// goneFrom returns how many of the VMs that don't follow an accountant don't run, or keep no limits: a
// share of the limit would be kept for them in vain. A VM that is only cut off is not among them: it may use its share. The caller must hold a.mu.
func (a *allotments) goneFrom(now time.Time, c *allotment.Accountant) int {
	gone := 0
	for name, seen := range a.gone {
		if _, listed := a.vms[name]; listed && now.Sub(seen) < goneLife && !c.Follows(name) {
			gone++
		}
	}
	return gone
}

// checkGone starts checks of the VMs that don't follow this one as accountant. The caller must hold a.mu.
func (a *allotments) checkGone(now time.Time) {
	if now.Before(a.goneCheckAt) {
		return
	}
	a.goneCheckAt = now.Add(goneCheckPeriod)
	missing := make(map[string]scatter.VM)
	for _, c := range a.accountants {
		for name, vm := range a.vms {
			if c != nil && !c.Follows(name) {
				missing[name] = vm
			}
		}
	}
	if len(missing) == 0 {
		return
	}
	client := a.e.currentPeerClient()
	go forEachLimited(slices.Collect(maps.Values(missing)), func(vm scatter.VM) {
		ctx, cancel := context.WithTimeout(context.Background(), peerDialTimeout)
		defer cancel()
		err := client.allot(ctx, vm, &allotment.Call{From: a.self.Name}, new(allotment.Answer))
		a.mu.Lock()
		defer a.mu.Unlock()
		if err != nil && failureOf(err) != allotment.NoAnswer {
			a.gone[vm.Name] = time.Now()
		} else {
			delete(a.gone, vm.Name)
		}
	})
}

// logNear logs which tenants have come near their limit or are far from it again. The caller must hold
// a.mu.
func (a *allotments) logNear(group int) {
	var near []string
	following, members := 0, 0
	if c := a.accountants[group]; c != nil {
		near = c.NearTenants()
		following, members = c.Followers()
	}
	before := a.near[group]
	if slices.Equal(near, before) {
		return
	}
	a.near[group] = near
	a.log.Info("tenants near their limit", "group", group, "near", len(near), "first", near[:min(len(near), loggedTenants)], "before", len(before), "followers", following, "vms", members)
	for _, name := range before {
		if _, found := slices.BinarySearch(near, name); !found {
			delete(a.over, name)
		}
	}
}

// loggedTenants bounds the tenants that a log line names.
const loggedTenants = 8

// logOver logs that a tenant has used up its limit, once in a window. The caller must hold a.mu.
func (a *allotments) logOver(now time.Time, name string) {
	if last, known := a.over[name]; known && now.Sub(last) < a.config.Window {
		return
	}
	a.over[name] = now
	a.log.Info("tenant has used up its limit", "tenant", name, "window_s", math.Round(a.config.Window.Seconds()))
}
