package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Ranks is the number of ranks that are told apart. Less urgent ranks count as the last one.
	Ranks = 8
	// maxFlows bounds the number of tenants of which the demand is kept, summed over the ranks.
	// The demand of further ones is kept in one sum for each rank.
	maxFlows = 10_000
	// halfLife is the time after which a request counts half in the recent demand.
	halfLife = 4 * time.Second
	// maxHalfLives is the number of half-lives after which the scale of the sums starts again.
	maxHalfLives = 64
	// forgotten is the recent demand below which a tenant is forgotten, in units of work.
	forgotten = 0.01
	// orderLifetime is how long a computed order is used, and orderLifetimePerFlow how much
	// longer for each tenant in it, so that the cost stays small however many there are.
	orderLifetime        = 100 * time.Millisecond
	orderLifetimePerFlow = 40 * time.Microsecond
	// rankFloor is the share, relative to all demand, that a rank is served at least: where a
	// share s of all demand is served, it is at least rankFloor times s of each rank's.
	rankFloor = 0.4
)

// Shares holds the recent demand of each rank and tenant. It is not safe for concurrent use.
type Shares struct {
	weights    map[string]float64 // by tenant
	mean       float64            // weight of a tenant that has none of its own
	flows      map[flowKey]*flow
	overflow   [Ranks]flow // demand of the tenants beyond maxFlows
	scaleStart time.Time   // demand that comes now is multiplied by 2 to the number of half-lives since then
	orderedAt  time.Time
	ranks      [Ranks]rankOrder
	total      float64 // demand of all ranks
}

type flowKey struct {
	rank   int
	tenant string
}

// flow is the demand of one tenant at one rank.
type flow struct {
	demand float64 // scaled
	weight float64
}

// level is the demand of a tenant per unit of its weight.
func (f flow) level() float64 { return f.demand / f.weight }

// rankOrder is the order within one rank. Where each tenant is served up to a common level of demand
// per unit of weight, the served demand is a function of the level, which the sums describe.
type rankOrder struct {
	ahead  float64   // demand of more urgent ranks
	demand float64   // demand of this rank
	levels []float64 // of the tenants, in ascending order
	served []float64 // for each index: demand of the tenants before it
	weight []float64 // for each index: sum of the weights of the tenants from it on
}

// New returns Shares without demand, in which all tenants have the same weight.
func New() *Shares {
	s := &Shares{flows: make(map[flowKey]*flow)}
	s.SetWeights(nil)
	return s
}

// SetWeights sets the weights of tenants, for instance the rates that they may use. A tenant
// without a positive weight has the mean of the others.
func (s *Shares) SetWeights(weights map[string]float64) {
	s.weights, s.mean = weights, 1
	sum, n := 0.0, 0.0
	for _, w := range weights {
		if w > 0 {
			sum, n = sum+w, n+1
		}
	}
	if n > 0 {
		s.mean = sum / n
	}
	for key, f := range s.flows {
		f.weight = s.weightOf(key.tenant)
	}
	for i := range s.overflow {
		s.overflow[i].weight = s.mean
	}
	s.orderedAt = time.Time{}
}

func (s *Shares) weightOf(tenant string) float64 {
	if w := s.weights[tenant]; w > 0 {
		return w
	}
	return s.mean
}

// Ask records the demand of a request, in units of work such as attempts.
func (s *Shares) Ask(now time.Time, rank int, tenant string, work float64) {
	rank = clampRank(rank)
	scale := s.scale(now)
	if len(s.flows) >= maxFlows {
		s.refresh(now, scale) // forgets tenants
	}
	f := s.flow(rank, tenant)
	if f == &s.overflow[rank] && len(s.flows) < maxFlows {
		f = &flow{weight: s.weightOf(tenant)}
		s.flows[flowKey{rank: rank, tenant: tenant}] = f
	}
	f.demand += work * scale
}

func clampRank(rank int) int { return min(max(rank, 0), Ranks-1) }

// flow returns the flow that holds the demand of a tenant at a rank.
func (s *Shares) flow(rank int, tenant string) *flow {
	if f := s.flows[flowKey{rank: rank, tenant: tenant}]; f != nil {
		return f
	}
	return &s.overflow[rank]
}

// scale returns the factor of demand that comes now. Old demand decays by the growth of the factor,
// so that nothing has to be updated for each tenant.
func (s *Shares) scale(now time.Time) float64 {
	if s.scaleStart.IsZero() {
		s.scaleStart = now
	}
	n := float64(now.Sub(s.scaleStart)) / float64(halfLife)
	if n > maxHalfLives {
		factor := math.Exp2(-n)
		for _, f := range s.flows {
			f.demand *= factor
		}
		for i := range s.overflow {
			s.overflow[i].demand *= factor
		}
		s.scaleStart, s.orderedAt, n = now, time.Time{}, 0
	}
	return math.Exp2(n)
}

// Position returns the position of a request, from 0 to 1: the share of the recent demand that is
// served before it. draw is a number from 0 to 1, evenly distributed over the requests of a tenant.
// The demand of the request has to be recorded before.
//
// Within a rank, the requests of each tenant are spread evenly from 0 to the tenant's demand per
// unit of weight, and the lowest come first. Where these are cut off, each tenant has been served up
// to the same level or wholly, which is max-min fairness.
func (s *Shares) Position(now time.Time, rank int, tenant string, draw float64) float64 {
	rank = clampRank(rank)
	scale := s.scale(now)
	s.refresh(now, scale)
	r := &s.ranks[rank]
	if s.total == 0 {
		return 0
	}
	if r.demand == 0 {
		return r.ahead / s.total
	}
	f := s.flow(rank, tenant)
	within := r.within(draw * f.level())
	return min((r.ahead+within*r.demand)/s.total, within/rankFloor, 1)
}

// within returns the share of the rank's demand, from 0 to 1, that lies below a level.
func (r *rankOrder) within(level float64) float64 {
	i, _ := slices.BinarySearch(r.levels, level)
	return min((r.served[i]+level*r.weight[i])/r.demand, 1)
}

// MoreUrgent returns the share of the recent demand, from 0 to 1, whose rank is more urgent.
func (s *Shares) MoreUrgent(now time.Time, rank int) float64 {
	s.refresh(now, s.scale(now))
	if s.total == 0 {
		return 0
	}
	return s.ranks[clampRank(rank)].ahead / s.total
}

// refresh computes the order again if its lifetime is over.
func (s *Shares) refresh(now time.Time, scale float64) {
	lifetime := orderLifetime + time.Duration(len(s.flows))*orderLifetimePerFlow
	if age := now.Sub(s.orderedAt); s.orderedAt.IsZero() || age >= lifetime || age < 0 {
		s.order(now, scale)
	}
}

// order computes the order of all requests from the demand, and forgets tenants without any.
func (s *Shares) order(now time.Time, scale float64) {
	s.orderedAt = now
	var flows [Ranks][]flow
	for key, f := range s.flows {
		if f.demand < forgotten*scale {
			delete(s.flows, key)
			continue
		}
		flows[key.rank] = append(flows[key.rank], *f)
	}
	s.total = 0
	for rank := range s.ranks {
		if f := s.overflow[rank]; f.demand >= forgotten*scale {
			flows[rank] = append(flows[rank], f)
		}
		s.ranks[rank] = newRankOrder(s.total, flows[rank])
		s.total += s.ranks[rank].demand
	}
}

// newRankOrder returns the order of the flows of one rank, where ahead is the demand of more urgent
// ranks.
func newRankOrder(ahead float64, flows []flow) rankOrder {
	slices.SortFunc(flows, func(a, b flow) int { return cmp.Compare(a.level(), b.level()) })
	n := len(flows)
	r := rankOrder{ahead: ahead, levels: make([]float64, n), served: make([]float64, n+1), weight: make([]float64, n+1)}
	for i, f := range flows {
		r.levels[i] = f.level()
		r.served[i+1] = r.served[i] + f.demand
	}
	for i := n - 1; i >= 0; i-- {
		r.weight[i] = r.weight[i+1] + flows[i].weight
	}
	r.demand = r.served[n]
	return r
}
