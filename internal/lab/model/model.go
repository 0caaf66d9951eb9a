package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Config describes a deployment and its load.
type Config struct {
	Seed          uint64
	Zones         []string
	VMsPerZone    int
	StrongPerZone int // VMs of StrongPower among them
	StrongPower   float64
	WeakPower     float64 // in cores
	Shards        int
	Replicas      int // leafs of each shard, in as many zones
	Slots         int // requests that a leaf runs at once
	Work          time.Duration
	WorkSpread    float64       // standard deviation of the logarithm of the work
	PauseEvery    time.Duration // period of the pauses of each leaf; 0 for none
	PauseFor      time.Duration
	InZone        time.Duration // one-way time of a message within a zone
	CrossZone     time.Duration // one-way time of a message between zones
	ToCaller      time.Duration // one-way time of a message to a caller
	PerSecond     float64       // requests per second
	Objective     time.Duration // latency objective
	Deadline      time.Duration // time that a caller waits
	MinShare      float64       // least share of the shards for an answer
	MaxAttempts   int
	Handling      time.Duration // processor time, on one core, for which a VM handles an answer of a leaf; 0 for none
	ListLag       time.Duration // each VM learns of a change of leafs after a random time up to this
	Budget        scatter.BudgetConfig
	Kinds         []Kind // kinds of callers; all are equal if there are none
	Ranked        bool   // VMs decide by rank and tenant
}

// Kind is a kind of callers.
type Kind struct {
	Name      string
	Share     float64 // its share of all callers, in any unit
	Rank      int
	Tenant    string
	Objective time.Duration // latency objective, in place of that of the Config
	Deadline  time.Duration // time that a caller waits, in place of that of the Config
}

// KindResult is what the callers of one kind got.
type KindResult struct {
	Asked   int `json:"asked"`
	InTime  int `json:"in_time"`
	Refused int `json:"refused"`
}

// Result is what callers got, and what it took.
type Result struct {
	Asked   int `json:"asked"` // requests of callers
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Credit is the mean over requests of the square of the share of shards in answers in time.
	Credit   float64 `json:"credit"`
	Attempts int     `json:"attempts"` // requests to leafs
	Extra    int     `json:"extra"`    // hedges and retries among them
	Direct   int     `json:"direct"`   // attempts of weak VMs for their own callers
	Calls    int     `json:"calls"`    // calls between VMs
	Declined int     `json:"declined"` // shards that a called VM declined
	// PerSecond holds the requests that came in each second.
	PerSecond []Second `json:"per_second"`
	// Kinds holds what each kind of callers got, by name.
	Kinds map[string]*KindResult `json:"kinds,omitempty"`
}

// Second says what became of the requests that came in one second.
type Second struct {
	Asked      int `json:"asked"`
	InTime     int `json:"in_time"`
	CalledLost int `json:"called_lost"` // requests for which a lost VM was called
}

// Model plays one run. Faults are added with At before Run.
type Model struct {
	clock
	config    Config
	rng       *rand.Rand
	startedAt time.Time
	vms       map[string]*vm
	vmNames   []string
	leafs     map[scatter.LeafID]*leaf
	current   []*leaf // the leafs that have not ended
	services  []string
	result    Result
}

// warmUp is how long VMs have run, and know each other and all leafs, when a run starts.
const warmUp = time.Minute

// answerMargin is how long before the objective answers leave with what has been received.
const answerMargin = 6 * time.Millisecond

// New returns a model in which nothing is wrong.
func New(config Config) *Model {
	m := &Model{
		clock: clock{now: time.Unix(1_000_000, 0)}, config: config, rng: rand.New(rand.NewPCG(config.Seed, 1)),
		vms: make(map[string]*vm), leafs: make(map[scatter.LeafID]*leaf),
	}
	m.startedAt = m.now
	var all []scatter.VM
	for _, zone := range config.Zones {
		for i := range config.VMsPerZone {
			power := config.WeakPower
			if i < config.StrongPerZone {
				power = config.StrongPower
			}
			all = append(all, scatter.VM{Name: fmt.Sprintf("vm-%s-%02d", zone, i), Zone: zone, Power: power})
		}
	}
	for i := range config.Shards {
		m.services = append(m.services, fmt.Sprintf("shard-%03d", i))
	}
	for i, self := range all {
		rng := rand.New(rand.NewPCG(config.Seed, uint64(100+i)))
		v := &vm{VM: self, table: scatter.NewTable(self, config.Budget, m.now.Add(-warmUp), rng)}
		m.vms[self.Name], m.vmNames = v, append(m.vmNames, self.Name)
		others := append([]scatter.VM(nil), all[:i]...)
		v.table.SetVMs(m.now, append(others, all[i+1:]...))
		v.table.SetTenants(config.Ranked, nil)
		for _, service := range m.services {
			v.table.SetServiceConfig(m.now, service, scatter.ServiceConfig{Shard: true})
		}
	}
	for i, service := range m.services {
		for n := range config.Replicas {
			m.addLeaf(service, config.Zones[(i+n)%len(config.Zones)], 0)
		}
	}
	for _, name := range m.vmNames {
		m.vms[name].table.SetMaxShards(m.now, config.Shards)
	}
	for _, name := range m.vmNames {
		v := m.vms[name]
		for _, other := range v.table.Delegates(m.now) {
			peer := m.vms[other.Name]
			v.linked, peer.linked = append(v.linked, peer), append(peer.linked, v)
		}
	}
	return m
}

// addLeaf starts a leaf, of which each VM learns within lag.
func (m *Model) addLeaf(service, zone string, lag time.Duration) {
	l := &leaf{slowdown: 1, Leaf: registry.Leaf{
		ID: fmt.Sprintf("leaf-%04d", len(m.leafs)), Born: int64(len(m.leafs) + 1), Service: service, Zone: zone, Slots: m.config.Slots, Address: "127.0.0.1:1",
	}}
	if m.config.PauseEvery > 0 {
		l.pauseStart = time.Duration(m.rng.Int64N(int64(m.config.PauseEvery)))
	}
	m.leafs[l.id()] = l
	m.current = append(m.current, l)
	m.tell(registry.Change{Leaf: l.Leaf}, lag)
}

// tell makes each VM learn of a change after a random time up to lag.
func (m *Model) tell(change registry.Change, lag time.Duration) {
	for _, name := range m.vmNames {
		t := m.vms[name].table
		if lag == 0 {
			t.Apply(m.now, change)
			continue
		}
		m.after(time.Duration(m.rng.Int64N(int64(lag))), func() { t.Apply(m.now, change) })
	}
}

// At calls a function, which may add a fault, at a time from the start of the run.
func (m *Model) At(t time.Duration, fn func()) { m.at(m.startedAt.Add(t), fn) }

// LoseZone makes all VMs and leafs of a zone silent.
func (m *Model) LoseZone(zone string) {
	for _, v := range m.vms {
		v.lost = v.lost || v.Zone == zone
	}
	for _, l := range m.current {
		l.gone = l.gone || l.Zone == zone
	}
}

// RestartVM stops a VM for the time down, after it has handed its partitions over if handOver is
// true. The others learn at once that it has left, and that it is back.
func (m *Model) RestartVM(name string, down time.Duration, handOver bool) {
	leaving := m.vms[name]
	if handOver {
		m.handOver(leaving)
	}
	leaving.lost = true
	m.list()
	m.after(down, func() {
		leaving.lost = false
		m.list()
	})
}

// handOver lets a VM hand its partitions over to the first VM that can stand in for it.
func (m *Model) handOver(leaving *vm) {
	for _, successor := range leaving.table.Successors(m.now) {
		handover := leaving.table.Handover(m.now)
		if _, err := m.vms[successor.Name].table.AcceptHandover(m.now, handover); err != nil {
			continue
		}
		for _, v := range m.vms {
			v.table.RecordSuccessor(m.now, leaving.Name, successor.Name, handover.Partitions)
		}
		return
	}
}

// list tells each VM which others run.
func (m *Model) list() {
	for _, name := range m.vmNames {
		var others []scatter.VM
		for _, other := range m.vmNames {
			if v := m.vms[other]; other != name && !v.lost {
				others = append(others, v.VM)
			}
		}
		m.vms[name].table.SetVMs(m.now, others)
	}
}

// SlowLeafs makes a share of the leafs slower by a factor.
func (m *Model) SlowLeafs(share, factor float64) {
	for _, l := range m.current {
		if m.rng.Float64() < share {
			l.slowdown = factor
		}
	}
}

// ReplaceLeafs replaces a share of the leafs by new ones at other addresses. The old ones run on for
// the time drain; VMs learn of both after their lag.
func (m *Model) ReplaceLeafs(share float64, drain time.Duration) {
	var kept []*leaf
	replaced := m.current
	m.current = nil
	for _, l := range replaced {
		if m.rng.Float64() >= share {
			kept = append(kept, l)
			continue
		}
		m.tell(registry.Change{Leaf: l.Leaf, Gone: true}, m.config.ListLag)
		m.after(drain, func() { l.gone = true })
		m.addLeaf(l.Service, l.Zone, m.config.ListLag)
	}
	m.current = append(m.current, kept...)
}

// Run plays requests for the given time, and returns what their callers got.
func (m *Model) Run(length time.Duration) Result {
	m.result.PerSecond = make([]Second, (length+time.Second-1)/time.Second)
	for at := time.Duration(0); at < length; at += time.Duration(m.rng.ExpFloat64() / m.config.PerSecond * float64(time.Second)) {
		m.At(at, m.request)
	}
	m.run()
	m.result.Credit /= float64(max(m.result.Asked, 1))
	return m.result
}

// request starts a request of a caller at a random VM that is not lost.
func (m *Model) request() {
	v := m.vms[m.vmNames[m.rng.IntN(len(m.vmNames))]]
	if v.lost {
		return // the balancer has not found out yet; not counted
	}
	m.result.Asked++
	second := m.second()
	second.Asked++
	began := m.now.Add(-m.config.ToCaller)
	kind, account := m.kind()
	account.Asked++
	m.start(v, scatter.Spec{
		Services: m.services, Gathered: true, Idempotent: true, MaxAttempts: m.config.MaxAttempts, MinShare: m.config.MinShare,
		LatencyObjective: kind.Objective, AnswerBy: began.Add(kind.Objective - m.config.ToCaller - answerMargin),
		Deadline: began.Add(kind.Deadline), MayDelegate: true, RequestID: fmt.Sprintf("%016x", m.rng.Uint64()), BudgetWeight: 1,
		Rank: kind.Rank, Tenant: kind.Tenant,
	}, second, func(out scatter.Outcome) {
		if out.Verdict == scatter.NotRun {
			account.Refused++
		}
		if m.record(out, m.now.Add(m.config.ToCaller).Sub(began), kind.Objective) {
			second.InTime++
			account.InTime++
		}
	})
}

// kind returns the kind of the next caller, and the account of that kind.
func (m *Model) kind() (Kind, *KindResult) {
	if len(m.config.Kinds) == 0 {
		return Kind{Objective: m.config.Objective, Deadline: m.config.Deadline}, &KindResult{}
	}
	total := 0.0
	for _, k := range m.config.Kinds {
		total += k.Share
	}
	x := m.rng.Float64() * total
	kind := m.config.Kinds[0]
	for _, kind = range m.config.Kinds {
		if x -= kind.Share; x < 0 {
			break
		}
	}
	if m.result.Kinds == nil {
		m.result.Kinds = make(map[string]*KindResult)
	}
	account := m.result.Kinds[kind.Name]
	if account == nil {
		account = &KindResult{}
		m.result.Kinds[kind.Name] = account
	}
	return kind, account
}

// second returns the account of the present second.
func (m *Model) second() *Second {
	return &m.result.PerSecond[m.now.Sub(m.startedAt)/time.Second]
}

// record counts the outcome of a caller's request that took a time, and reports whether it was answered
// in time by its latency objective.
func (m *Model) record(out scatter.Outcome, took, objective time.Duration) (inTime bool) {
	switch {
	case out.Verdict == scatter.NotRun:
		m.result.Refused++
	case out.Verdict != scatter.Answered:
		m.result.Failed++
	case took > objective:
		m.result.Late++
	default:
		m.result.InTime++
		share := 1 - float64(out.Missing)/float64(len(m.services))
		m.result.Credit += share * share
		return true
	}
	return false
}

// oneWay returns the time of a message between two zones.
func (m *Model) oneWay(a, b string) time.Duration {
	if a == b {
		return m.config.InZone
	}
	return m.config.CrossZone
}
