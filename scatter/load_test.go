package scatter

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulation is a load on a world's leafs in virtual time: callers that arrive at random, leafs
// with slots and queues that stop at the time that they are given, and one VM's decisions.
type simulation struct {
	*world
	tables []*Table // of the VMs
	rng    *rand.Rand
	leafs  map[LeafID]*simulatedLeaf
	events simulatedEvents
	serial int

	callers, inTime, late, refused, failed int
	credit                                 float64 // shares of shards in answers in time, squared
	longestRefusal                         time.Duration
}

// simulatedLeaf takes work to finish a part, times its pace.
type simulatedLeaf struct {
	slots     int
	work      time.Duration
	slowdown  float64
	shedShare float64 // share of the parts that it refuses
	running   int
	queue     []simulatedPart
}

type simulatedPart struct {
	send   Send
	finish func(End)
}

type simulatedEvent struct {
	at     time.Time
	serial int // keeps events of one moment in order
	do     func()
}

type simulatedEvents []simulatedEvent

func (e simulatedEvents) Len() int      { return len(e) }
func (e simulatedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e simulatedEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}
func (e *simulatedEvents) Push(x any) { *e = append(*e, x.(simulatedEvent)) }
func (e *simulatedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSimulation returns a play with a number of VMs, which stand beside the world's own leafs.
func newSimulation(w *world, vms int) *simulation {
	p := &simulation{world: w, rng: rand.New(rand.NewPCG(3, 4)), leafs: make(map[LeafID]*simulatedLeaf)}
	for range vms {
		w.becomeVM("vm-home", homeZone, w.table.budgetConfig)
		p.tables = append(p.tables, w.table)
	}
	return p
}

// shards adds services with a leaf in each of the zones, that all VMs know.
func (p *simulation) shards(n int, work time.Duration, zones ...string) []string {
	var names []string
	for _, t := range p.tables {
		p.table = t
		names = p.world.shards(n, zones...)
	}
	for _, l := range p.table.leafs {
		p.leafs[l.id] = &simulatedLeaf{slots: l.Slots, work: work, slowdown: 1}
	}
	return names
}

func (p *simulation) after(d time.Duration, do func()) {
	p.serial++
	heap.Push(&p.events, simulatedEvent{at: p.now.Add(d), serial: p.serial, do: do})
}

// run plays for a time callers that arrive perSecond times a second, each with a request.
func (p *simulation) run(length time.Duration, perSecond float64, request func() Spec) {
	end := p.now.Add(length)
	var arrive func()
	arrive = func() {
		if !p.now.Before(end) {
			return
		}
		p.startQuery(request())
		p.after(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	p.after(0, arrive)
	for len(p.events) > 0 {
		ev := heap.Pop(&p.events).(simulatedEvent)
		p.now = ev.at
		ev.do()
	}
}

func (p *simulation) startQuery(spec Spec) {
	p.callers++
	q := NewQuery(spec, p.tables[p.rng.IntN(len(p.tables))])
	p.execute(q, q.Start(p.now))
}

func (p *simulation) execute(q *Query, acts []Action) {
	for _, s := range sends(acts) {
		p.send(q, s)
	}
	if out := outcome(acts); out != nil {
		p.recordOutcome(q, out)
		return
	}
	if !q.done {
		p.after(max(q.Wake(p.now).Sub(p.now), 0), func() { p.execute(q, q.Tick(p.now)) })
	}
}

func (p *simulation) recordOutcome(q *Query, out *Outcome) {
	took := p.now.Sub(q.startedAt)
	switch {
	case out.Verdict == NotRun:
		p.refused++
		p.longestRefusal = max(p.longestRefusal, took)
	case out.Verdict != Answered:
		p.failed++
	case took > q.spec.LatencyObjective:
		p.late++
	default:
		p.inTime++
		share := 1 - float64(out.Missing)/float64(len(q.shards))
		p.credit += share * share
	}
}

func (p *simulation) send(q *Query, s Send) {
	l := p.leafs[s.Leaf]
	part := simulatedPart{send: s, finish: func(end End) {
		q.table.RecordLoad(p.now, s.Leaf, Load{Running: l.running, Waiting: len(l.queue), Slots: l.slots, Slowdown: l.slowdown})
		q.table.AttemptEnded(p.now, s.Leaf, s.SentAt, end)
		if end == EndAnswered {
			p.execute(q, q.Reply(p.now, s.Attempt, false))
		} else {
			p.execute(q, q.Fail(p.now, s.Attempt, end))
		}
	}}
	if p.rng.Float64() < l.shedShare {
		p.after(time.Millisecond, func() { part.finish(EndRefused) })
		return
	}
	l.queue = append(l.queue, part)
	p.start(l)
}

// start begins with what waits while a slot is free.
func (p *simulation) start(l *simulatedLeaf) {
	for l.running < l.slots && len(l.queue) > 0 {
		part := l.queue[0]
		l.queue = l.queue[1:]
		left := part.send.Until.Sub(p.now)
		if left <= 0 {
			p.after(0, func() { part.finish(EndExpired) })
			continue
		}
		took := time.Duration(float64(l.work) * l.slowdown * (0.7 + 0.6*p.rng.Float64()))
		end := EndAnswered
		if took > left {
			took, end = left, EndExpired
		}
		l.running++
		p.after(took, func() {
			l.running--
			part.finish(end)
			p.start(l)
		})
	}
}
