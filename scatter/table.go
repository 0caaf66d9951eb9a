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
	self          string // name of this VM
	zone          string
	power         float64 // of this VM, in cores
	rng           *rand.Rand
	budgetConfig  BudgetConfig
	leafs         map[string]*leaf // by id
	services      map[string]*service
	vms           map[string]*vm          // the others
	members       map[string]memberInfo   // of other VMs, those that left lately included
	zones         map[string]*zoneMembers // these and this VM
	ownersPerLeaf int                     // VMs that ask one leaf, in all zones together
	maxShards     int                     // of the widest request
	shardsPerZone int                     // ... that have a leaf in one zone
	vmsKnown      bool                    // the other VMs were listed once
	liveness      livenessRound
	startedAt     time.Time // start of this VM's process
	durations     map[durationKey]*latency.Record

	ackTimes        map[string]ackTime // by zone
	callRefusalRate failureRate        // share of calls that other VMs refuse
	admitAll        bool               // for tests: no request is refused by forecast
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

// durationKey tells apart requests whose durations don't compare. Routes of one aim
// carry one kind of request.
type durationKey struct {
	objective time.Duration
	byVM      bool // of answers by another VM
	shard     bool // of one shard of a gathered request
}

// NewTable returns the table of the VM self, which knows nothing yet. Its process started at
// born.
func NewTable(self VM, terms BudgetConfig, born time.Time, rng *rand.Rand) *Table {
	t := &Table{
		self:         self.Name,
		zone:         self.Zone,
		power:        self.Power,
		rng:          rng,
		budgetConfig: terms,
		startedAt:    born,
		leafs:        make(map[string]*leaf),
		services:     make(map[string]*service),
		vms:          make(map[string]*vm),
		members:      make(map[string]memberInfo),
		durations:    make(map[durationKey]*latency.Record),
		ackTimes:     make(map[string]ackTime),
	}
	t.partitionZones(time.Time{})
	return t
}

// ServiceConfig is what is in force for a service.
type ServiceConfig struct {
	MaxConnections int  // that a leaf accepts from all VMs together; 0 for no limit
	Shard          bool // only gathered requests ask it
}

// SetServiceConfig takes what is in force for a service.
func (t *Table) SetServiceConfig(now time.Time, name string, terms ServiceConfig) {
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
		t.removeLeaf(old)
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
	l := &leaf{Leaf: c.Leaf, id: id, sameZone: c.Leaf.Zone == t.zone}
	l.Slots = max(l.Slots, 1)
	t.leafs[l.ID] = l
	s.leafs = append(s.leafs, l)
	t.shareConnections(s)
}

func (t *Table) removeLeaf(l *leaf) {
	delete(t.leafs, l.ID)
	s := t.services[l.Service]
	s.viewKnown = false
	s.leafs = slices.DeleteFunc(s.leafs, func(o *leaf) bool { return o == l })
}

func (t *Table) service(now time.Time, name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{name: name, budget: newBudget(t.budgetConfig, now)}
		t.services[name] = s
	}
	return s
}

// Parts of what VMs share. The list of VMs lags, and VMs are added or replaced.
const (
	// connectionShare is the part of a leaf's connections that VMs use: a leaf
	// accepts fewer while its queue is long, and resets the rest.
	connectionShare = 0.8
	// vmHeadroom is how many VMs there may be for each one that is known.
	vmHeadroom = 1.25
	// queuePerSlot bounds the requests of this VM at a leaf. More than that wait
	// longer than it takes to ask another leaf.
	queuePerSlot = 2
)

// shareConnections sets how many requests this VM may have in flight at each leaf:
// one for each connection of its share.
func (t *Table) shareConnections(s *service) {
	share := t.connectionsPerLeaf(s)
	for _, l := range s.leafs {
		l.maxInFlight = max(int(min(share, float64(l.Slots*queuePerSlot))), 1)
	}
}

// connectionsPerLeaf is this VM's share of the connectionsPerLeaf that a leaf of the service accepts. Less
// than one allows a connection now and then, but none that stays open unused.
func (t *Table) connectionsPerLeaf(s *service) float64 {
	if s.maxConnections == 0 {
		return math.Inf(1)
	}
	vms := len(t.members) + 1
	if s.shard && t.ownsService(s.name) {
		vms = t.ownersPerLeaf
	}
	return float64(s.maxConnections) * connectionShare / (float64(vms) * vmHeadroom)
}

// KeepsConnection reports whether connections to a leaf are kept when a request is over. VMs that ask it
// now and then would hold all that it accepts.
func (t *Table) KeepsConnection(id LeafID) bool {
	l := t.findLeaf(id)
	return l != nil && t.connectionsPerLeaf(t.services[l.Service]) >= 1
}

func (t *Table) findLeaf(id LeafID) *leaf {
	l := t.leafs[id.ID]
	if l == nil || l.id != id {
		return nil
	}
	return l
}

// usableLeafs returns the leafs of a service that take requests, those that cool down included.
func (t *Table) usableLeafs(name string) []*leaf {
	s := t.services[name]
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

// HasUsableLeaf reports whether a service has a leaf that takes requests.
func (t *Table) HasUsableLeaf(name string) bool { return len(t.usableLeafs(name)) > 0 }

// leafFilter is what limits the leafs for a request.
type leafFilter struct {
	exclude  []LeafID  // not these again
	idleOnly bool      // only leafs that would start at once
	answerBy time.Time // only leafs that are expected to answer until then; zero for all
}

// pickLeaf chooses the leaf for a request: of those that are asked and not full, the one that is
// expected to answer first.
func (t *Table) pickLeaf(now time.Time, kind durationKey, leafs []*leaf, c leafFilter) *leaf {
	var best *leaf
	var bestCost time.Duration
	usual, _ := t.typicalDuration(now, kind)
	for _, l := range leafs {
		if slices.Contains(c.exclude, l.id) || !l.hasCapacity() || !l.available(now) {
			continue
		}
		if c.idleOnly && !l.idle(now) {
			continue
		}
		if !c.answerBy.IsZero() && now.Add(l.eta(now, usual)/sendMargin).After(c.answerBy) {
			continue
		}
		cost := l.cost(now, kind.objective, usual)
		// A little chance keeps VMs that know the same from all going one way.
		cost += time.Duration(t.rng.Int64N(int64(costJitter)))
		if best == nil || cost < bestCost {
			best, bestCost = l, cost
		}
	}
	return best
}

// costJitter is the difference in cost below which either leaf will do.
const costJitter = time.Millisecond

// pickCoolingDown chooses, for requests that have no other, the leaf that is to be asked again
// first. Those that are suspect come last.
func (t *Table) pickCoolingDown(now time.Time, leafs []*leaf, tried []LeafID) *leaf {
	var best *leaf
	for _, l := range leafs {
		if l.available(now) || slices.Contains(tried, l.id) || !l.hasCapacity() {
			continue
		}
		if best == nil || l.preferredTo(best) {
			best = l
		}
	}
	return best
}

// durationsOf returns the durations of one kind of request.
func (t *Table) durationsOf(key durationKey) *latency.Record {
	r := t.durations[key]
	if r == nil {
		r = latency.New()
		t.durations[key] = r
	}
	return r
}

// recordDuration records how long an answer took, as it would have at a leaf whose machine is as
// usual: what is expected of one leaf must not follow from how slow others are.
func (t *Table) recordDuration(now time.Time, kind durationKey, a *attempt) {
	took := now.Sub(a.sentAt)
	if l := t.findLeaf(a.leaf); l != nil {
		took = time.Duration(float64(took) / l.slowdown.statedFactor(now))
	}
	t.durationsOf(kind).Add(now, took)
}

// Parameters of what is usual.
const (
	typicalQuantile = 0.5 // the median: pauses and slow leafs are fewer than half
	// defaultTypicalShare is the part of its aim that a kind of request is taken to need while too
	// few answers are known.
	defaultTypicalShare = 0.1
)

// typicalDuration is how long one kind of request mostly takes at a leaf, and whether that is known.
func (t *Table) typicalDuration(now time.Time, kind durationKey) (d time.Duration, known bool) {
	d, known = t.durationsOf(kind).Quantile(now, typicalQuantile)
	if !known {
		d = time.Duration(defaultTypicalShare * float64(kind.objective))
	}
	return d, known
}

// UnusedLeafs returns the near leafs of this VM's part that it has no request at, so that
// connections to them can be opened before they are needed.
func (t *Table) UnusedLeafs() []registry.Leaf {
	z := t.zones[t.zone]
	var list []registry.Leaf
	for _, l := range t.leafs {
		if l.sameZone && !l.Draining && !l.suspicion.active && len(l.inFlight) == 0 && z.owns(z.partitionOf(l.Service)) {
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
	EndNotStarted             // that time was over before the leaf began
)

// showsAlive reports whether the end shows that the leaf lives.
func (e End) showsAlive() bool {
	switch e {
	case EndAnswered, EndFailed, EndRefused, EndExpired, EndNotStarted:
		return true
	}
	return false
}

// mayHaveRun reports whether the leaf mayHaveRun the request or may have.
func (e End) mayHaveRun() bool {
	switch e {
	case EndUnreachable, EndRefused, EndMoved, EndNotStarted:
		return false
	}
	return true
}

// refusedCooldown is how long a leaf that refused is left alone: about the time in which
// one request ends and frees a slot.
const refusedCooldown = 15 * time.Millisecond

// AttemptEnded takes the end of a request to a leaf, also long after the query itself.
func (t *Table) AttemptEnded(now time.Time, id LeafID, sentAt time.Time, end End) {
	l := t.findLeaf(id)
	if l == nil {
		return
	}
	f := l.removeInFlight(sentAt)
	if end.showsAlive() {
		l.suspicion = suspicion{}
	}
	switch end {
	case EndAnswered:
		l.recordAnswer(now, f)
		l.failures.add(now, 0)
	case EndFailed:
		l.recordAnswer(now, f)
		l.failures.add(now, 1)
	case EndExpired:
		l.halfOpen = true
		if f.known {
			l.slowdown.recordExpired(now, sentAt, f.typical)
		}
	case EndUnreachable:
		l.cooldown.recordUnreachable(now)
		l.suspicion.begin(now)
	case EndRefused:
		l.recordRefusal(now)
	case EndMoved:
		l.addressReused = true
	case EndSilent:
		l.cooldown.recordSilence(sentAt, now)
		l.suspicion.begin(now)
		l.failures.add(now, 1)
	case EndBroken:
		l.cooldown.recordFailure(sentAt, now)
		l.failures.add(now, 1)
	}
}

// RecordLoad takes the load that a leaf stated with an answer. It comes before Ended, at the same time.
func (t *Table) RecordLoad(now time.Time, id LeafID, load Load) {
	if l := t.findLeaf(id); l != nil {
		l.recordLoad(now, load)
	}
}
