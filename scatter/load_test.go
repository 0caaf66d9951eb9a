package scatter

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulation simulates a load on leafs in virtual time. Callers arrive at random, and a random VM
// makes the decisions for each request. Leafs have slots and queues, and stop work on an attempt
// when its time is over.
type simulation struct {
	*world
	tables []*Table // one for each VM
	rng    *rand.Rand
	leafs  map[LeafID]*simulatedLeaf
	events simulatedEvents // queue, ordered by time
	serial int             // number of events scheduled so far
	slow   map[*Table]*slowReader

	served  map[string]*Table         // by name of a VM that takes calls
	replies map[*Query]func(*Outcome) // by query of a called VM: sends its last answer

	// Numbers of callers: all, and those whose request was answered within the latency
	// objective, was answered later, was refused, or failed in another way.
	callers, inTime, late, refused, failed int
	sent                                   int           // attempts of called VMs
	credit                                 float64       // sum over answers in time: share of answered shards, squared
	longestRefusal                         time.Duration // longest time until a request was refused

	ended func(q *Query, out *Outcome) // called with each outcome; may be nil
}

// simulatedLeaf is a leaf that takes work times slowdown on average to finish an attempt.
type simulatedLeaf struct {
	slots     int             // attempts that it can run at the same time
	work      time.Duration   // average time for an attempt at usual speed
	slowdown  float64         // average time for an attempt, as a multiple of work
	shedShare float64         // share of the attempts that it refuses, from 0 to 1
	running   int             // attempts that it is running
	queue     []simulatedPart // attempts that wait for a slot
	dark      bool            // it answers nothing
	pauses    pauses          // it starts no work during these
}

// pauses are pauses of a leaf, one in each period; none if the period is 0.
type pauses struct{ period, length, offset time.Duration }

// left returns how long the pause at the given time lasts, 0 if there is none.
func (p pauses) left(now time.Time) time.Duration {
	if p.period == 0 {
		return 0
	}
	return max(p.length-time.Duration(now.UnixNano()+int64(p.offset))%p.period, 0)
}

// slowReader makes a VM late: it reads one answer at a time.
type slowReader struct {
	perAnswer time.Duration
	until     time.Time // when the latest answer that has arrived is read
}

// simulatedPart is an attempt at a simulated leaf.
type simulatedPart struct {
	send   Send
	table  *Table    // of the VM that sent it
	finish func(End) // passes the end of the attempt to the VM that sent it
}

// simulatedEvent is a function to call at a time.
type simulatedEvent struct {
	at     time.Time
	serial int // keeps events of the same time in order
	fn     func()
}

// simulatedEvents is a heap of events, the earliest first.
type simulatedEvents []simulatedEvent

// Len implements heap.Interface.
func (e simulatedEvents) Len() int { return len(e) }

// Swap implements heap.Interface.
func (e simulatedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Less implements heap.Interface. It orders events by time, and those of the same time in the
// order in which they were scheduled.
func (e simulatedEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}

// Push implements heap.Interface.
func (e *simulatedEvents) Push(x any) { *e = append(*e, x.(simulatedEvent)) }

// Pop implements heap.Interface.
func (e *simulatedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSimulation returns a simulation with the given number of VMs, whose tables have no leafs. It
// replaces the table of w.
func newSimulation(w *world, vms int) *simulation {
	sim := &simulation{world: w, rng: rand.New(rand.NewPCG(3, 4)), leafs: make(map[LeafID]*simulatedLeaf)}
	for range vms {
		w.becomeVM("vm-home", homeZone, w.table.budgetConfig)
		sim.tables = append(sim.tables, w.table)
	}
	return sim
}

// shards adds n services with a leaf in each of the zones, known to all VMs, and returns the names
// of the services. work is how long a leaf of usual speed works on an attempt, on average.
func (sim *simulation) shards(n int, work time.Duration, zones ...string) []string {
	var names []string
	for _, t := range sim.tables {
		sim.table = t
		names = sim.world.shards(n, zones...)
	}
	for _, l := range sim.table.leafs {
		sim.leafs[l.id] = &simulatedLeaf{slots: l.Slots, work: work, slowdown: 1}
	}
	return names
}

// after schedules a call of fn at the time d from now.
func (sim *simulation) after(d time.Duration, fn func()) {
	sim.serial++
	heap.Push(&sim.events, simulatedEvent{at: sim.now.Add(d), serial: sim.serial, fn: fn})
}

// run simulates callers that arrive for the time length, perSecond of them per second on average.
// Each sends a request that request returns. run returns once all queries have ended.
func (sim *simulation) run(length time.Duration, perSecond float64, request func() Spec) {
	end := sim.now.Add(length)
	var arrive func()
	arrive = func() {
		if !sim.now.Before(end) {
			return
		}
		sim.startQuery(request())
		sim.after(time.Duration(sim.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	sim.after(0, arrive)
	for len(sim.events) > 0 {
		ev := heap.Pop(&sim.events).(simulatedEvent)
		sim.now = ev.at
		ev.fn()
	}
}

// startQuery starts the request of a caller at a random VM.
func (sim *simulation) startQuery(spec Spec) {
	sim.callers++
	q := NewQuery(spec, sim.tables[sim.rng.IntN(len(sim.tables))])
	sim.execute(q, q.Start(sim.now))
}

// execute carries out the actions of a query and, if it is still in progress, schedules its next
// tick.
func (sim *simulation) execute(q *Query, acts []Action) {
	for _, s := range sends(acts) {
		sim.send(q, s)
	}
	for _, c := range vmCalls(acts) {
		sim.after(time.Millisecond, func() { sim.serve(q, c) })
	}
	if out := outcome(acts); out != nil {
		if reply := sim.replies[q]; reply != nil {
			reply(out)
			return
		}
		sim.recordOutcome(q, out)
		return
	}
	if !q.done {
		sim.after(max(q.Wake(sim.now).Sub(sim.now), 0), func() { sim.execute(q, q.Tick(sim.now)) })
	}
}

// serve lets the called VM query the shards of a call. It tells at once what it leaves out, and answers when
// its query ends.
func (sim *simulation) serve(q *Query, c CallVM) {
	spec := q.spec
	spec.Services, spec.MinShare, spec.MayDelegate, spec.Delegated = nil, 0, false, true
	for _, i := range c.Shards {
		spec.Services = append(spec.Services, q.spec.Services[i])
	}
	spec.Views, spec.Required, spec.Scarce, spec.Final, spec.AnswerBy = c.Views, c.Required, c.Scarce, c.Final, c.AnswerBy
	shards := func(list []int) (of []int) {
		for _, i := range list {
			of = append(of, c.Shards[i])
		}
		return of
	}
	called := NewQuery(spec, sim.served[c.VM.Name])
	answer := func(ans CallAnswer) {
		sim.after(time.Millisecond, func() { sim.execute(q, q.CallReply(sim.now, c.Call, ans)) })
	}
	sim.replies[called] = func(out *Outcome) {
		var included []int
		for i := range called.shards {
			if called.shards[i].answered() {
				included = append(included, i)
			}
		}
		sim.sent += out.Sent
		answer(CallAnswer{Included: shards(included), Last: true, Refused: out.Verdict == NotRun, Cause: out.RefusalCause()})
	}
	acts := called.Start(sim.now)
	if len(called.LeftOut()) > 0 && outcome(acts) == nil {
		answer(CallAnswer{LeftOut: shards(called.LeftOut()), Declined: shards(called.Declined())})
	}
	sim.execute(called, acts)
}

// recordOutcome counts the outcome of a query.
func (sim *simulation) recordOutcome(q *Query, out *Outcome) {
	took := sim.now.Sub(q.startedAt)
	if sim.ended != nil {
		sim.ended(q, out)
	}
	switch {
	case out.Verdict == NotRun:
		sim.refused++
		sim.longestRefusal = max(sim.longestRefusal, took)
	case out.Verdict != Answered:
		sim.failed++
	case took > q.spec.LatencyObjective:
		sim.late++
	default:
		sim.inTime++
		share := 1 - float64(out.Missing)/float64(len(q.shards))
		sim.credit += share * share
	}
}

// send queues an attempt at its leaf, which may refuse it.
func (sim *simulation) send(q *Query, s Send) {
	l := sim.leafs[s.Leaf]
	part := simulatedPart{send: s, table: q.table, finish: func(end End) {
		q.table.RecordLoad(sim.now, s.Leaf, Load{Running: l.running, Waiting: len(l.queue), Slots: l.slots, Slowdown: l.slowdown})
		q.table.AttemptEnded(sim.now, s.Leaf, s.SentAt, end)
		if end == EndAnswered {
			sim.execute(q, q.Reply(sim.now, s.Attempt, false))
		} else {
			sim.execute(q, q.Fail(sim.now, s.Attempt, end))
		}
	}}
	if sim.rng.Float64() < l.shedShare {
		sim.after(time.Millisecond, func() { part.finish(EndRefused) })
		return
	}
	if l.dark {
		sim.after(max(s.Until.Sub(sim.now), 0), func() { part.finish(EndSilent) })
		return
	}
	l.queue = append(l.queue, part)
	sim.start(l)
}

// start starts queued attempts at a leaf while it has free slots.
func (sim *simulation) start(l *simulatedLeaf) {
	for l.running < l.slots && len(l.queue) > 0 {
		part := l.queue[0]
		l.queue = l.queue[1:]
		timeLeft := part.send.Until.Sub(sim.now)
		if timeLeft <= 0 {
			sim.after(0, func() { part.finish(EndExpired) })
			continue
		}
		took := time.Duration(float64(l.work)*l.slowdown*(0.7+0.6*sim.rng.Float64())) + l.pauses.left(sim.now)
		end := EndAnswered
		if took > timeLeft {
			took, end = timeLeft, EndExpired
		}
		l.running++
		sim.after(took, func() {
			l.running--
			sim.read(part, end)
			sim.start(l)
		})
	}
}

// read passes the end of an attempt to its VM, once a slow VM has read the answers before.
func (sim *simulation) read(part simulatedPart, end End) {
	r := sim.slow[part.table]
	if r == nil {
		part.finish(end)
		return
	}
	r.until = later(r.until, sim.now).Add(r.perAnswer)
	sim.after(r.until.Sub(sim.now), func() { part.finish(end) })
}
