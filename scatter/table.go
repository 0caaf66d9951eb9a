package scatter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleybarrow/bramleybarrow/latency"
	"github.com/bramleybarrow/bramleybarrow/quarantine"
	"github.com/bramleybarrow/bramleybarrow/registry"
)

// Table is what this VM knows of leafs and of other VMs. It is not safe for concurrent use.
type Table struct {
	self          string  // name of this VM
	zone          string  // availability zone of this VM
	power         float64 // number of processor cores of this VM
	rng           *rand.Rand
	budgetConfig  BudgetConfig
	leafs         map[string]*leaf                  // by id
	services      map[string]*service               // by name
	vms           map[string]*vm                    // by name: the other VMs that are listed now
	members       map[string]memberInfo             // by name: the other VMs, including those that left recently
	zones         map[string]*zoneMembers           // by zone: its VMs, which are members or this VM
	leafOwners    int                               // number of VMs that normally use one leaf: the owners of one leaf partition, summed over the zones
	maxShards     int                               // number of shards of the gathered request that has the most shards
	shardsPerZone int                               // how many of those maxShards shards have a leaf in one zone, on average
	vmsKnown      bool                              // SetVMs was called at least once
	liveness      livenessRound                     // schedules a check of all VMs that this one calls, after one was silent
	startedAt     time.Time                         // when this VM's process started
	durations     map[durationKey]*latency.Recorder // recent durations of requests and calls
	forecasts     map[durationKey]*forecast         // by kind of request to leafs

	// lastDurations is the entry of durations that was used last, nil before. A request uses the
	// same one several times for each shard.
	lastDurationsKey durationKey
	lastDurations    *latency.Recorder

	standIns map[zonePartition]*standIn // partitions that a VM serves in place of an owner
	doubts   float64                    // refusals for leafs that may be doubted
	handBack []handBack                 // partitions whose owner has returned and is not told yet

	ackTimes        map[string]ackTime // by zone: longest time that VMs recently took to acknowledge a call
	lostZones       map[string]bool    // zones of which all VMs that this one calls are silent
	isolatedSince   time.Time          // when all other zones were found lost; zero if they are not
	evacuatedZones  []string           // zones whose leafs get no requests
	coldConfig      ColdConfig         // limits of requests to cold leafs
	callRefusalRate failureRate        // share of calls that other VMs refuse
	rooms           *rooms             // room of other VMs; nil if VMs are chosen by nominal power
	admitAll        bool               // for tests: the forecast refuses no request
	guard           *quarantine.Guard  // keeps requests that end leafs from further ones
	urgency         *urgency           // decides by rank and tenant; nil if all requests are equal
}

// service holds the leafs and the budget of one service.
type service struct {
	name           string
	leafs          []*leaf
	budget         *budget       // bounds the hedges, retries and other extra arrivals that this VM causes
	maxConnections int           // connections that a leaf accepts from all VMs together; 0 for no limit
	coldPerSecond  float64       // requests per second that a cold leaf tolerates from all VMs together; 0 for no limit
	coldFor        time.Duration // how long a leaf is cold after a start or an evacuation
	waiting        int           // shards of this VM's queries that wait for a leaf of the service with capacity
	pool           *pool         // the room of requests that are not gathered; nil before the first one, and if all requests are equal
	line           []waiter      // the shards among them whose turn depends on rank and tenant
	leftOutAt      time.Time     // when a called VM last left the service out as lost; zero if it has answered since
	keepers        keepers       // VMs that keep account of its slots; chosen when first asked for
	gatheredOnly   bool          // only gathered requests use the service; most requests to its leafs then come from the VMs that own them
}

// durationKey identifies a kind of request. The durations of requests of one kind are comparable
// and are recorded together. Routes with the same latency objective are assumed to have requests
// of one kind.
type durationKey struct {
	objective time.Duration // latency objective of the requests
	byVM      bool          // the durations are those of calls to other VMs
	whole     bool          // the durations are those of whole gathered requests
	gathered  bool          // the requests are attempts or calls of gathered requests
}

// NewTable returns an empty table for the VM self, whose process started at startedAt.
func NewTable(self VM, budgetConfig BudgetConfig, startedAt time.Time, rng *rand.Rand) *Table {
	t := &Table{
		self:         self.Name,
		zone:         self.Zone,
		power:        self.Power,
		rng:          rng,
		budgetConfig: budgetConfig,
		startedAt:    startedAt,
		guard:        quarantine.New(),
		leafs:        make(map[string]*leaf),
		services:     make(map[string]*service),
		vms:          make(map[string]*vm),
		members:      make(map[string]memberInfo),
		durations:    make(map[durationKey]*latency.Recorder),
		forecasts:    make(map[durationKey]*forecast),
		standIns:     make(map[zonePartition]*standIn),
		ackTimes:     make(map[string]ackTime),
		lostZones:    make(map[string]bool),
		liveness:     newLivenessRound(),
	}
	t.partitionZones(time.Time{})
	return t
}

// ServiceConfig is the configuration in force for a service.
type ServiceConfig struct {
	MaxConnections int           // connections that a leaf accepts from all VMs together; 0 for no limit
	ColdPerSecond  float64       // requests per second that a cold leaf tolerates from all VMs together; 0 for no limit
	ColdFor        time.Duration // how long a leaf is cold after a start or an evacuation
	Shard          bool          // only gathered requests use the service
}

// SetServiceConfig sets the configuration in force for the named service.
func (t *Table) SetServiceConfig(now time.Time, name string, config ServiceConfig) {
	s := t.service(now, name)
	s.maxConnections = config.MaxConnections
	s.gatheredOnly = config.Shard
	s.coldPerSecond, s.coldFor = config.ColdPerSecond, config.ColdFor
	t.shareConnections(s)
}

// Apply applies a change of the list of leafs: one leaf was added, changed or removed. A leaf
// with a new incarnation, service or address replaces the old one, whose history is dropped.
func (t *Table) Apply(now time.Time, change registry.Change) {
	id := LeafID{ID: change.Leaf.ID, Born: change.Leaf.Born}
	old := t.leafs[change.Leaf.ID]
	if old != nil && (change.Gone || old.id != id || old.Service != change.Leaf.Service || old.Address != change.Leaf.Address) {
		t.removeLeaf(old)
		old = nil
	}
	if change.Gone {
		return
	}
	s := t.service(now, change.Leaf.Service)
	if old != nil {
		old.Leaf = change.Leaf
		t.updateEvacuated(old)
		return
	}
	l := &leaf{Leaf: change.Leaf, id: id, hash: xxhash.Sum64String(id.ID), sameZone: change.Leaf.Zone == t.zone}
	l.Slots = max(l.Slots, 1)
	t.leafs[l.ID] = l
	s.leafs = append(s.leafs, l)
	t.updateEvacuated(l)
	t.shareConnections(s)
}

// removeLeaf removes a leaf from the table and from its service.
func (t *Table) removeLeaf(l *leaf) {
	delete(t.leafs, l.ID)
	s := t.services[l.Service]
	s.leafs = slices.DeleteFunc(s.leafs, func(o *leaf) bool { return o == l })
}

// service returns the named service. It adds an unknown one, whose budget starts empty.
func (t *Table) service(now time.Time, name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{name: name, budget: newBudget(t.budgetConfig, now)}
		t.services[name] = s
	}
	return s
}

// Limits on what this VM uses of resources that all VMs share. These are the connections and slots
// of leafs, and the floor of a service's budget. The budget allows extra arrivals, such as hedges
// and retries, in proportion to the service's requests. The floor is the number of extra arrivals
// that all VMs together may cause per window in addition.
const (
	// usableConnectionShare is the share of a leaf's connection limit that all VMs together
	// use, from 0 to 1. The limit is configured for the service. The remainder is a margin:
	// while its queue is long, a leaf accepts fewer connections and resets the others.
	usableConnectionShare = 0.8
	// vmHeadroom is the number of VMs that are assumed to share the connections of a leaf or
	// the floor of a budget, as a multiple of the number of known VMs. It is above 1 since
	// the list of VMs lags behind, and VMs are added or replaced.
	vmHeadroom = 1.25
	// maxInFlightPerSlot is the largest number of requests that this VM has in flight at a
	// leaf, per slot of the leaf. More requests would wait longer than a request to another
	// leaf takes.
	maxInFlightPerSlot = 2
)

// shareConnections sets how many requests this VM may have in flight at each leaf of a service:
// one for each connection of its share, but no more than maxInFlightPerSlot for each slot, and
// at least one.
func (t *Table) shareConnections(s *service) {
	share := t.connectionsPerLeaf(s)
	for _, l := range s.leafs {
		l.maxInFlight = max(int(min(share, float64(l.Slots*maxInFlightPerSlot))), 1)
	}
}

// connectionsPerLeaf returns this VM's share of the connections that a leaf of the service
// accepts, as a number of connections. It is infinite if there is no limit. A share below one
// allows an occasional connection, but none that stays open unused.
//
// A service that only gathered requests use (gatheredOnly) gets requests mostly from the VMs
// that own its leafs. Each owner therefore has an equal share among the owners. In all other
// cases the share is equal among all VMs.
func (t *Table) connectionsPerLeaf(s *service) float64 {
	if s.maxConnections == 0 {
		return math.Inf(1)
	}
	vms := len(t.members) + 1
	if s.gatheredOnly && t.servesService(s.name) {
		vms = t.leafOwners
	}
	return float64(s.maxConnections) * usableConnectionShare / (float64(vms) * vmHeadroom)
}

// KeepsConnection reports whether a connection to a leaf is kept open after a request. It is
// closed if this VM's share of the leaf's connections is below one. Otherwise VMs that use the
// leaf only occasionally would hold all connections that it accepts.
func (t *Table) KeepsConnection(id LeafID) bool {
	l := t.findLeaf(id)
	return l != nil && t.connectionsPerLeaf(t.services[l.Service]) >= 1
}

// findLeaf returns the given incarnation of a leaf, or nil if it is not known.
func (t *Table) findLeaf(id LeafID) *leaf {
	l := t.leafs[id.ID]
	if l == nil || l.id != id {
		return nil
	}
	return l
}

// usableLeafs returns the leafs of the named service that take requests, including those in
// cooldown and suspect ones. The result must not be changed, and is valid until the table changes.
func (t *Table) usableLeafs(name string) []*leaf {
	s := t.services[name]
	if s == nil {
		return nil
	}
	unusable := slices.IndexFunc(s.leafs, func(l *leaf) bool { return !l.usable() })
	if unusable < 0 {
		return s.leafs
	}
	list := append(make([]*leaf, 0, len(s.leafs)), s.leafs[:unusable]...)
	for _, l := range s.leafs[unusable:] {
		if l.usable() {
			list = append(list, l)
		}
	}
	return list
}

// HasUsableLeaf reports whether the named service has a leaf that takes requests.
func (t *Table) HasUsableLeaf(name string) bool {
	s := t.services[name]
	return s != nil && slices.ContainsFunc(s.leafs, (*leaf).usable)
}

// leafFilter restricts the leafs that may be picked for a request.
type leafFilter struct {
	exclude  []LeafID // leafs that were already tried
	idleOnly bool     // only leafs that would start the request at once
	// usefulUntil is the time from which the answer is useless. A leaf is left out if the
	// expected time until its answer is more than latenessTolerance times the time until
	// usefulUntil. Zero means no limit.
	usefulUntil time.Time
}

// pickLeaf returns the leaf for a request: the one with the lowest cost, which is the expected
// duration plus surcharges. Only those of the given leafs are considered that pass the filter,
// are available and have capacity. It returns nil if there is none.
func (t *Table) pickLeaf(now time.Time, kind durationKey, leafs []*leaf, filter leafFilter) *leaf {
	var best *leaf
	var bestCost time.Duration
	typical, _ := t.typicalDuration(now, kind)
	for _, l := range leafs {
		if slices.Contains(filter.exclude, l.id) || !t.mayTake(now, l) || !l.available(now) {
			continue
		}
		if filter.idleOnly && !l.idle(now) {
			continue
		}
		// A leaf may take latenessTolerance times the time until the answer is useless.
		if !filter.usefulUntil.IsZero() && now.Add(l.eta(now, typical)/latenessTolerance).After(filter.usefulUntil) {
			continue
		}
		cost := l.cost(now, kind.objective, typical)
		// Random jitter keeps VMs with the same knowledge from all picking the same
		// leaf.
		cost += time.Duration(t.rng.Int64N(int64(costJitter)))
		if best == nil || cost < bestCost {
			best, bestCost = l, cost
		}
	}
	return best
}

// mayTake reports whether this VM may send one more request to the leaf.
func (t *Table) mayTake(now time.Time, l *leaf) bool { return l.hasCapacity() && t.admitsCold(now, l) }

// costJitter bounds the random time that is added to a leaf's cost, its expected duration plus
// surcharges, when leafs are compared. If the costs of two leafs differ by less, either may be
// picked.
const costJitter = time.Millisecond

// pickUnavailable returns a leaf for a request for which pickLeaf found none. It chooses among
// the given leafs that are in cooldown or suspect: the one whose cooldown ends first, and a
// suspect one only if there is no other. Leafs in tried and those without capacity are left out.
// It returns nil if no leaf remains.
func (t *Table) pickUnavailable(now time.Time, leafs []*leaf, tried []LeafID) *leaf {
	var best *leaf
	for _, l := range leafs {
		if l.available(now) || slices.Contains(tried, l.id) || !t.mayTake(now, l) {
			continue
		}
		if best == nil || l.preferredTo(best) {
			best = l
		}
	}
	return best
}

// durationsOf returns the recorder of recent durations of one kind of request.
func (t *Table) durationsOf(key durationKey) *latency.Recorder {
	if t.lastDurations != nil && t.lastDurationsKey == key {
		return t.lastDurations
	}
	r := t.durations[key]
	if r == nil {
		r = latency.New()
		t.durations[key] = r
	}
	t.lastDurationsKey, t.lastDurations = key, r
	return r
}

// recordDuration records how long the answer to an attempt took. The time is first divided by
// the slowdown that the leaf reports for its machine. So the typical duration of a kind of request
// does not depend on how slow the leafs are that answer it.
func (t *Table) recordDuration(now time.Time, kind durationKey, a *attempt) {
	took := now.Sub(a.sentAt)
	leafTime := took - a.ownTime(now)
	if l := t.findLeaf(a.leaf); l != nil {
		factor := l.slowdown.reportedFactor(now)
		took = time.Duration(float64(took) / factor)
		leafTime = time.Duration(float64(leafTime) / factor)
	}
	t.durationsOf(kind).Add(now, took)
	t.forecastOf(kind).recordAnswer(now, leafTime)
}

// Parameters of the typical duration of one kind of request at a leaf.
const (
	// typicalDurationQuantile is the quantile of the recent durations of one kind of request
	// that counts as typical: the median, since fewer than half of the answers come from
	// paused or slow leafs.
	typicalDurationQuantile = 0.5
	// defaultTypicalDurationShare is the assumed typical duration of a kind of request while
	// too few answers are known, as a share of the latency objective.
	defaultTypicalDurationShare = 0.1
)

// typicalDuration returns how long one kind of request typically takes at a leaf of usual speed.
// known says that this follows from enough answers; otherwise it is a default.
func (t *Table) typicalDuration(now time.Time, kind durationKey) (d time.Duration, known bool) {
	d, known = t.durationsOf(kind).Quantile(now, typicalDurationQuantile)
	if !known {
		d = time.Duration(defaultTypicalDurationShare * float64(kind.objective))
	}
	return d, known
}

// UnusedLeafs returns leafs to which connections can be opened before they are needed. These are the
// leafs of the partitions that this VM serves, to which it normally sends requests. Leafs with a request of this VM in flight, unusable ones and suspect ones are left
// out.
func (t *Table) UnusedLeafs() []registry.Leaf {
	var list []registry.Leaf
	for _, l := range t.leafs {
		if l.usable() && !l.suspicion.raised && len(l.inFlight) == 0 && t.servesLeaf(l) {
			list = append(list, l.Leaf)
		}
	}
	return list
}

// End is how a request to a leaf, or a call to another VM, ended.
type End int

// The possible ends.
const (
	EndAnswered    End = iota // answered, with a status that does not count as a failure of the leaf
	EndUnreachable            // no connection: nothing reached the leaf
	EndRefused                // the leaf reports that it did not run the request
	EndBroken                 // the request may have run: the connection was cut or reset, or the answer was corrupt
	EndSilent                 // the request may have run: no answer while this VM waited for it
	EndMoved                  // another leaf has the address; nothing ran
	EndFailed                 // answered with a failure of the leaf
	EndExpired                // the leaf stopped work when the time given to it was over
	EndNotStarted             // the time given to the leaf was over before it started
)

// showsAlive reports whether the end shows that the leaf is alive: the leaf itself sent a reply.
func (e End) showsAlive() bool {
	switch e {
	case EndAnswered, EndFailed, EndRefused, EndExpired, EndNotStarted:
		return true
	}
	return false
}

// mayHaveRun reports whether the leaf ran the request or may have run it.
func (e End) mayHaveRun() bool {
	switch e {
	case EndUnreachable, EndRefused, EndMoved, EndNotStarted:
		return false
	}
	return true
}

// refusedCooldown is the time for which a leaf that refused a request gets no other one. It is
// about the time until one of the leaf's requests ends and frees a slot.
const refusedCooldown = 15 * time.Millisecond

// AttemptEnded records how a request that was sent to a leaf at sentAt ended. It may be called
// long after the query ended.
func (t *Table) AttemptEnded(now time.Time, id LeafID, sentAt time.Time, end End) {
	l := t.findLeaf(id)
	if l == nil {
		return
	}
	req := l.removeInFlight(sentAt)
	if end.showsAlive() {
		t.guard.Alive(now, leafName(id), sentAt)
		l.suspicion = suspicion{}
	}
	switch end {
	case EndAnswered:
		l.recordAnswer(now, req)
		l.failures.add(now, 0)
		l.trial.recordAnswer()
	case EndFailed:
		l.recordFailedAnswer(now, req)
		l.failures.add(now, 1)
		l.trial.recordFailure(sentAt, now)
	case EndExpired:
		l.halfOpen = true
		if req.known {
			l.slowdown.recordExpired(now, sentAt, req.typical)
		}
	case EndUnreachable:
		t.guard.Unreachable(now, leafName(id), l.Zone)
		l.cooldown.recordUnreachable(now)
		l.suspicion.raise(now)
	case EndRefused:
		l.recordRefusal(now)
	case EndMoved:
		l.addressReused = true
	case EndSilent:
		l.cooldown.recordSilence(sentAt, now)
		l.suspicion.raise(now)
		l.failures.add(now, 1)
		l.trial.recordSilence(sentAt, now)
	case EndBroken:
		l.cooldown.recordFailure(sentAt, now)
		l.failures.add(now, 1)
		l.trial.recordFailure(sentAt, now)
	}
}

// RecordLoad records the load that a leaf reported with an answer. It has to be called before
// AttemptEnded and with the same time. From the equal times, AttemptEnded concludes that a refusal
// came with this load.
func (t *Table) RecordLoad(now time.Time, id LeafID, load Load) {
	if l := t.findLeaf(id); l != nil {
		l.recordLoad(now, load)
	}
}
