package model

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// vm is a modelled VM.
type vm struct {
	scatter.VM
	table *scatter.Table
	lost  bool // it answers nothing
	// handledUntil is when it has handled the answers of leafs that have arrived.
	handledUntil time.Time
	linked       []*vm // VMs to which it has a connection: those that it calls, and those that call it
}

// query is a request in progress at a VM: a caller's, or a call of another VM.
type query struct {
	m          *Model
	vm         *vm
	spec       scatter.Spec
	query      *scatter.Query
	ended      bool
	calledLost bool // a lost VM was called
	ticks      int  // number of ticks scheduled so far; only the latest one counts
	// shards is the shard of each attempt.
	shards map[scatter.AttemptID]int
	second *Second               // account of a caller's request; nil for a call of another VM
	finish func(scatter.Outcome) // called with the outcome
}

// Times of the network and of calls that don't matter for what is compared.
const (
	silentAfter   = 300 * time.Millisecond // time after which an attempt at a leaf that gives no answer ends
	callLinger    = 100 * time.Millisecond // time after its answer was due when a call to a lost VM ends
	livenessAfter = 150 * time.Millisecond // time after which a liveness check has failed
	dialTimeout   = 300 * time.Millisecond // time after which a liveness check over a new connection has failed
)

// start starts a request at a VM. second is the account of a caller's request, nil for a call of
// another VM.
func (m *Model) start(v *vm, spec scatter.Spec, second *Second, finish func(scatter.Outcome)) *query {
	q := &query{m: m, vm: v, spec: spec, second: second, query: scatter.NewQuery(spec, v.table), shards: make(map[scatter.AttemptID]int), finish: finish}
	q.execute(q.query.Start(m.now))
	return q
}

// execute carries out actions, and schedules the next tick.
func (q *query) execute(acts []scatter.Action) {
	for _, act := range acts {
		switch a := act.(type) {
		case scatter.Send:
			q.shards[a.Attempt] = a.Shard
			q.m.send(q, a)
		case scatter.CallVM:
			q.m.call(q, a)
		case scatter.Finish:
			q.ended = true
			q.finish(a.Outcome)
		}
	}
	q.m.checkLiveness(q.vm)
	if q.ended {
		return
	}
	q.ticks++
	tick := q.ticks
	q.m.at(q.query.Wake(q.m.now), func() {
		if !q.ended && tick == q.ticks {
			q.execute(q.query.Tick(q.m.now))
		}
	})
}

// send sends an attempt to a leaf.
func (m *Model) send(q *query, s scatter.Send) {
	m.result.Attempts++
	if s.Reason != scatter.FirstAttempt {
		m.result.Extra++
	}
	if !q.spec.Delegated && q.vm.Power < m.config.StrongPower {
		m.result.Direct++
	}
	l := m.leafs[s.Leaf]
	way := m.oneWay(q.vm.Zone, l.Zone)
	end := func(end scatter.End) {
		q.vm.table.AttemptEnded(m.now, s.Leaf, s.SentAt, end)
		if end == scatter.EndAnswered {
			q.execute(q.query.Reply(m.now, s.Attempt, false))
		} else {
			q.execute(q.query.Fail(m.now, s.Attempt, end))
		}
	}
	if l.gone {
		m.at(s.Until.Add(silentAfter), func() { end(scatter.EndSilent) })
		return
	}
	m.after(way, func() {
		m.arrive(l, &attempt{until: s.Until, done: func(e scatter.End) {
			m.after(way, func() { m.handle(q.vm, func() { end(e) }) })
		}})
	})
}

// handle lets a VM handle an answer of a leaf, one at a time.
func (m *Model) handle(v *vm, fn func()) {
	if m.config.Handling == 0 {
		fn()
		return
	}
	if v.handledUntil.Before(m.now) {
		v.handledUntil = m.now
	}
	v.handledUntil = v.handledUntil.Add(time.Duration(float64(m.config.Handling) / v.Power))
	m.at(v.handledUntil, fn)
}

// call makes a call to another VM.
func (m *Model) call(q *query, c scatter.CallVM) {
	m.result.Calls++
	q.query.CallSent(m.now, c.Call)
	peer := m.vms[c.VM.Name]
	if peer.lost {
		if q.second != nil && !q.calledLost {
			q.calledLost = true
			q.second.CalledLost++
		}
		m.at(c.AnswerBy.Add(callLinger), func() {
			q.vm.table.CallEnded(m.now, c.VM.Name, scatter.EndSilent)
			q.execute(q.query.CallFail(m.now, c.Call, false))
		})
		return
	}
	way := m.oneWay(q.vm.Zone, peer.Zone)
	reply := func(ans scatter.CallAnswer) {
		for _, list := range [][]int{ans.Included, ans.Declined, ans.LeftOut} {
			for n, i := range list {
				list[n] = c.Shards[i]
			}
		}
		m.after(way, func() {
			if ans.Last {
				q.vm.table.CallEnded(m.now, c.VM.Name, scatter.EndAnswered)
			}
			q.execute(q.query.CallReply(m.now, c.Call, ans))
		})
	}
	m.after(way, func() { m.serveCall(peer, q.spec, c, reply) })
}

// serveCall serves a call at the called VM, whose caller has the request spec. It acknowledges the
// call, declines shards, gives an interim answer, and the last one.
func (m *Model) serveCall(v *vm, spec scatter.Spec, c scatter.CallVM, reply func(scatter.CallAnswer)) {
	if v.lost {
		return
	}
	reply(scatter.CallAnswer{})
	services := make([]string, len(c.Shards))
	for n, i := range c.Shards {
		services[n] = spec.Services[i]
	}
	spec.Services, spec.Views, spec.Required = services, c.Views, c.Required
	spec.AnswerBy, spec.MayDelegate, spec.Delegated, spec.Redelegated, spec.Final = c.AnswerBy, false, true, c.Redelegated, c.Final
	spec.MinShare, spec.BudgetWeight = 0, scatter.DelegateWeight
	if c.Redelegated {
		spec.BudgetWeight = 0
	}
	var q *query
	reported := make(map[scatter.AttemptID]bool)
	included := func(ids []scatter.AttemptID) (list []int) {
		for _, id := range ids {
			if !reported[id] {
				reported[id] = true
				list = append(list, q.shards[id])
			}
		}
		return list
	}
	var early *scatter.Outcome // the query ended before q was set
	finish := func(out scatter.Outcome) {
		if q == nil {
			early = &out
			return
		}
		reply(scatter.CallAnswer{
			Included: included(out.Parts), Last: true, Refused: out.Verdict == scatter.NotRun, RetryAfter: out.RetryAfter,
			Cause: out.RefusalCause(), LeafTime: q.query.LeafTime(m.now),
		})
	}
	q = m.start(v, spec, nil, finish)
	if declined := q.query.Declined(); len(declined) > 0 {
		m.result.Declined += len(declined)
		reply(scatter.CallAnswer{Declined: slices.Clone(declined)})
	}
	if early != nil {
		finish(*early)
		return
	}
	if leftOut := q.query.LeftOut(); len(leftOut) > 0 {
		reply(scatter.CallAnswer{LeftOut: leftOut})
	}
	m.at(c.InterimBy, func() {
		if list := included(q.query.AnsweredAttempts()); !q.ended && len(list) > 0 {
			reply(scatter.CallAnswer{Included: list})
		}
	})
}

// checkLiveness makes a round of liveness checks at a VM if one was requested.
func (m *Model) checkLiveness(v *vm) {
	if !v.table.LivenessCheckRequested() {
		return
	}
	due, takes := v.table.StartLivenessRound(m.now), livenessAfter
	if witnesses := v.table.LivenessWitnesses(due); len(witnesses) > 0 {
		due, takes = append(due, witnesses...), dialTimeout
	}
	m.after(takes, func() {
		for _, other := range due {
			v.table.RecordLivenessCheck(m.now, other.Name, !m.vms[other.Name].lost)
		}
		if v.table.EndLivenessRound(m.now).Report {
			m.reportLoss(v)
		}
	})
}

// reportLoss tells the VMs that a VM calls, or that call it, that VMs were lost.
func (m *Model) reportLoss(v *vm) {
	for _, peer := range v.linked {
		m.after(m.oneWay(v.Zone, peer.Zone), func() {
			if !peer.lost && peer.table.LossReported(m.now) {
				m.reportLoss(peer)
			}
			m.checkLiveness(peer)
		})
	}
}
