package scatter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/latency"
	"github.com/bramleybarrow/bramleybarrow/registry"
)

// Table is what this VM knows of leafs and of other VMs.
type Table struct {
	self     string // name of this VM
	zone     string
	power    float64 // of this VM, in cores
	rng      *rand.Rand
	terms    BudgetTerms
	leafs    map[string]*leaf // by id
	groups   map[string]*service
	vms      map[string]*vm      // the others
	places   map[string]vmPlace  // of other VMs, those that left lately included
	zones    map[string]*zoneVMs // these and this VM
	owners   int                 // VMs that ask one leaf, in all zones together
	shards   int                 // of the widest request
	perZone  int                 // ... that have a leaf in one zone
	listed   bool                // the other VMs were listed once
	liveness livenessRound
	born     time.Time // start of this VM's process
	times    map[timesKey]*latency.Record

	acks         map[string]ackTime // by zone
	callsRefused faults             // share of calls that other VMs refuse
	admitAll     bool               // for tests: no request is refused by forecast
}

// service is the leafs and the budget of one service.
type service struct {
	name           string
	leafs          []*leaf
	budget         *budget
	maxConnections int
	waiting        int  // shards of queries in progress that wait for a leaf to take them
	shard          bool // asked by gathered requests only, so mostly by its owners
	view           View
	viewKnown      bool // false after a change
}

// timesKey tells apart requests whose durations don't compare. Routes of one aim
// carry one kind of request.
type timesKey struct {
	aim   time.Duration
	byVM  bool // of answers by another VM
	shard bool // of one shard of a gathered request
}

// NewTable returns the table of the VM self, which knows nothing yet. Its process started at
// born.
func NewTable(self VM, terms BudgetTerms, born time.Time, rng *rand.Rand) *Table {
	t := &Table{
		self:   self.Name,
		zone:   self.Zone,
		power:  self.Power,
		rng:    rng,
		terms:  terms,
		born:   born,
		leafs:  make(map[string]*leaf),
		groups: make(map[string]*service),
		vms:    make(map[string]*vm),
		places: make(map[string]vmPlace),
		times:  make(map[timesKey]*latency.Record),
		acks:   make(map[string]ackTime),
	}
	t.divide(time.Time{})
	return t
}

// Terms is what is in force for a service.
type Terms struct {
	MaxConnections int  // that a leaf accepts from all VMs together; 0 for no limit
	Shard          bool // only gathered requests ask it
}

// SetTerms takes what is in force for a service.
func (t *Table) SetTerms(now time.Time, name string, terms Terms) {
	s := t.service(now, name)
	s.maxConnections = terms.MaxConnections
	s.shard = terms.Shard
	t.shareConnections(s)
}

// Apply takes a change of the list of leafs.
func (t *Table) Apply(now time.Time, c registry.Change) {
	id := LeafID{ID: c.Leaf.ID, Born: c.Leaf.Born}
	old := t.leafs[c.Leaf.ID]
	if old != nil && (c.Gone || old.id != id || old.Service != c.Leaf.Service || old.Address != c.Leaf.Address) {
		t.drop(old)
		old = nil
	}
	if c.Gone {
		return
	}
	s := t.service(now, c.Leaf.Service)
	s.viewKnown = false
	if old != nil {
		old.Leaf = c.Leaf
		return
	}
	l := &leaf{Leaf: c.Leaf, id: id, near: c.Leaf.Zone == t.zone}
	l.Slots = max(l.Slots, 1)
	t.leafs[l.ID] = l
	s.leafs = append(s.leafs, l)
	t.shareConnections(s)
}

func (t *Table) drop(l *leaf) {
	delete(t.leafs, l.ID)
	s := t.groups[l.Service]
	s.viewKnown = false
	s.leafs = slices.DeleteFunc(s.leafs, func(o *leaf) bool { return o == l })
}

func (t *Table) service(now time.Time, name string) *service {
	s := t.groups[name]
	if s == nil {
		s = &service{name: name, budget: newBudget(t.terms, now)}
		t.groups[name] = s
	}
	return s
}

// Parts of what VMs share. The list of VMs lags, and VMs are added or replaced.
const (
	// connectionShare is the part of a leaf's connections that VMs use: a leaf
	// accepts fewer while its queue is long, and resets the rest.
	connectionShare = 0.8
	// spareVMs is how many VMs there may be for each one that is known.
	spareVMs = 1.25
	// queuePerSlot bounds the requests of this VM at a leaf. More than that wait
	// longer than it takes to ask another leaf.
	queuePerSlot = 2
)

// shareConnections sets how many requests this VM may have in flight at each leaf:
// one for each connection of its share.
func (t *Table) shareConnections(s *service) {
	share := t.connections(s)
	for _, l := range s.leafs {
		l.room = max(int(min(share, float64(l.Slots*queuePerSlot))), 1)
	}
}

// connections is this VM's share of the connections that a leaf of the service accepts. Less
// than one allows a connection now and then, but none that stays open unused.
func (t *Table) connections(s *service) float64 {
	if s.maxConnections == 0 {
		return math.Inf(1)
	}
	vms := len(t.places) + 1
	if s.shard && t.ownsService(s.name) {
		vms = t.owners
	}
	return float64(s.maxConnections) * connectionShare / (float64(vms) * spareVMs)
}

// Keeps reports whether connections to a leaf are kept when a request is over. VMs that ask it
// now and then would hold all that it accepts.
func (t *Table) Keeps(id LeafID) bool {
	l := t.find(id)
	return l != nil && t.connections(t.groups[l.Service]) >= 1
}

func (t *Table) find(id LeafID) *leaf {
	l := t.leafs[id.ID]
	if l == nil || l.id != id {
		return nil
	}
	return l
}

// usable returns the leafs of a service that take requests, those that cool down included.
func (t *Table) usable(name string) []*leaf {
	s := t.groups[name]
	if s == nil {
		return nil
	}
	var list []*leaf
	for _, l := range s.leafs {
		if l.usable() {
			list = append(list, l)
		}
	}
	return list
}

// Usable reports whether a service has a leaf that takes requests.
func (t *Table) Usable(name string) bool { return len(t.usable(name)) > 0 }

// choice is what limits the leafs for a request.
type choice struct {
	tried []LeafID  // not these again
	idle  bool      // only leafs that would start at once
	by    time.Time // only leafs that are expected to answer until then; zero for all
}

// pick chooses the leaf for a request: of those that are asked and not full, the one that is
// expected to answer first.
func (t *Table) pick(now time.Time, kind timesKey, leafs []*leaf, c choice) *leaf {
	var best *leaf
	var bestCost time.Duration
	usual, _ := t.usual(now, kind)
	for _, l := range leafs {
		if slices.Contains(c.tried, l.id) || !l.hasRoom() || !l.asked(now) {
			continue
		}
		if c.idle && !l.idle(now) {
			continue
		}
		if !c.by.IsZero() && now.Add(l.eta(now, usual)/sendMargin).After(c.by) {
			continue
		}
		cost := l.cost(now, kind.aim, usual)
		// A little chance keeps VMs that know the same from all going one way.
		cost += time.Duration(t.rng.Int64N(int64(choiceNoise)))
		if best == nil || cost < bestCost {
			best, bestCost = l, cost
		}
	}
	return best
}

// choiceNoise is the difference in cost below which either leaf will do.
const choiceNoise = time.Millisecond

// pickCoolingDown chooses, for requests that have no other, the leaf that is to be asked again
// first. Those that are suspect come last.
func (t *Table) pickCoolingDown(now time.Time, leafs []*leaf, tried []LeafID) *leaf {
	var best *leaf
	for _, l := range leafs {
		if l.asked(now) || slices.Contains(tried, l.id) || !l.hasRoom() {
			continue
		}
		if best == nil || l.soonerThan(best) {
			best = l
		}
	}
	return best
}

// record returns the durations of one kind of request.
func (t *Table) record(key timesKey) *latency.Record {
	r := t.times[key]
	if r == nil {
		r = latency.New()
		t.times[key] = r
	}
	return r
}

// recordDuration records how long an answer took, as it would have at a leaf whose machine is as
// usual: what is expected of one leaf must not follow from how slow others are.
func (t *Table) recordDuration(now time.Time, kind timesKey, a *attempt) {
	took := now.Sub(a.sentAt)
	if l := t.find(a.leaf); l != nil {
		took = time.Duration(float64(took) / l.speed.pace(now))
	}
	t.record(kind).Add(now, took)
}

// Parameters of what is usual.
const (
	usualQuantile = 0.5 // the median: pauses and slow leafs are fewer than half
	// usualShare is the part of its aim that a kind of request is taken to need while too
	// few answers are known.
	usualShare = 0.1
)

// usual is how long one kind of request mostly takes at a leaf, and whether that is known.
func (t *Table) usual(now time.Time, kind timesKey) (d time.Duration, known bool) {
	d, known = t.record(kind).Quantile(now, usualQuantile)
	if !known {
		d = time.Duration(usualShare * float64(kind.aim))
	}
	return d, known
}

// Unused returns the near leafs of this VM's part that it has no request at, so that
// connections to them can be opened before they are needed.
func (t *Table) Unused() []registry.Leaf {
	z := t.zones[t.zone]
	var list []registry.Leaf
	for _, l := range t.leafs {
		if l.near && !l.Draining && !l.suspect.held && len(l.flying) == 0 && z.owns(z.partOf(l.Service)) {
			list = append(list, l.Leaf)
		}
	}
	return list
}

// End is how a request to a leaf ended.
type End int

// The ends.
const (
	EndAnswered    End = iota // with an answer, of whatever status
	EndUnreachable            // no connection; nothing reached the leaf
	EndRefused                // the leaf says that it did not run it
	EndBroken                 // it may have run: cut, reset, spoilt
	EndSilent                 // it may have run: nothing came while it was waited for
	EndMoved                  // another leaf has the address; nothing ran
	EndFailed                 // with the leaf's own failure for an answer
	EndExpired                // the leaf stopped when the time that it was given was over
	EndUnbegun                // that time was over before the leaf began
)

// alive reports whether the end shows that the leaf lives.
func (e End) alive() bool {
	switch e {
	case EndAnswered, EndFailed, EndRefused, EndExpired, EndUnbegun:
		return true
	}
	return false
}

// ran reports whether the leaf ran the request or may have.
func (e End) ran() bool {
	switch e {
	case EndUnreachable, EndRefused, EndMoved, EndUnbegun:
		return false
	}
	return true
}

// refusedCooldown is how long a leaf that refused is left alone: about the time in which
// one request ends and frees a slot.
const refusedCooldown = 15 * time.Millisecond

// Ended takes the end of a request to a leaf, also long after the query itself.
func (t *Table) Ended(now time.Time, id LeafID, sentAt time.Time, end End) {
	l := t.find(id)
	if l == nil {
		return
	}
	f := l.ended(sentAt)
	if end.alive() {
		l.suspect = suspicion{}
	}
	switch end {
	case EndAnswered:
		l.answered(now, f)
		l.faults.add(now, 0)
	case EndFailed:
		l.answered(now, f)
		l.faults.add(now, 1)
	case EndExpired:
		l.halfOpen = true
		if f.known {
			l.speed.expired(now, sentAt, f.usual)
		}
	case EndUnreachable:
		l.cooldown.unreachable(now)
		l.suspect.hold(now)
	case EndRefused:
		l.refused(now)
	case EndMoved:
		l.moved = true
	case EndSilent:
		l.cooldown.silent(sentAt, now)
		l.suspect.hold(now)
		l.faults.add(now, 1)
	case EndBroken:
		l.cooldown.fail(sentAt, now)
		l.faults.add(now, 1)
	}
}

// Report takes the load that a leaf stated with an answer. It comes before Ended, at the same time.
func (t *Table) Report(now time.Time, id LeafID, load Load) {
	if l := t.find(id); l != nil {
		l.report(now, load)
	}
}
