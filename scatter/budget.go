package scatter

import "time"

// BudgetConfig bounds the extra arrivals at each service. An extra arrival is anything that
// reaches a leaf after the first arrival of a request: a hedge, a retry, or a request sent
// again by another VM.
type BudgetConfig struct {
	Ratio  float64       // extra arrivals allowed per request in the window
	Floor  float64       // extra arrivals that all VMs together may cause per window, besides those that Ratio allows
	Window time.Duration // length of the sliding window in which arrivals are counted
}

// usableRatio is the share of BudgetConfig.Ratio that a VM uses, from 0 to 1. The ratio is the
// number of extra arrivals, such as hedges and retries, that are allowed per request in a sliding
// window. The remainder is a margin: clocks and wake-ups of VMs differ, so their windows don't end
// at the same moment.
const usableRatio = 0.9

// budgetSteps is the number of equal steps into which the budget's window is divided. Arrivals
// are counted per step. One more step is kept, since a sliding window may begin in the middle of
// a step. Extra arrivals, such as hedges and retries, are summed over all kept steps, but requests
// over all except the oldest. So the bound on extra arrivals per request holds wherever the window
// begins.
const budgetSteps = 40

// budget bounds the extra arrivals that this VM causes at one service. An extra arrival is
// anything that reaches a leaf after the first arrival of a request, such as a hedge or a retry.
//
// No VM knows how many extra arrivals the others cause. Each VM may cause as many as the ratio
// allows for its own requests, plus its share of the floor. The floor is the number that all VMs
// together may cause per window besides the ratio. So the bound on all VMs together holds however
// requests are distributed among them.
type budget struct {
	config    BudgetConfig
	floor     float64                     // this VM's share of the configured floor, in extra arrivals per window
	steps     [budgetSteps + 1]budgetStep // ring: step n is at index n modulo its length
	newest    int64                       // number of the newest step
	startedAt time.Time                   // when step 0 began
}

// budgetStep counts the arrivals at a service in one step of the window: the requests, each with
// its weight from 0 to 1, and the extra arrivals, such as hedges and retries.
type budgetStep struct{ requests, extra float64 }

// newBudget returns an empty budget whose step 0 begins now.
func newBudget(config BudgetConfig, now time.Time) *budget {
	return &budget{config: config, startedAt: now}
}

// countRequest counts a request with the given weight, from 0 to 1. The weight is below 1 for a
// request that one VM delegates to another: a part of it counts at each of the two.
func (b *budget) countRequest(now time.Time, weight float64) {
	b.advance(now).requests += weight
}

// spend takes one extra arrival, such as a hedge or a retry, from the budget and returns true. If
// fewer than reserve extra arrivals would then be left, it takes nothing and returns false. The
// reserve keeps hedges from using up what retries need.
func (b *budget) spend(now time.Time, reserve float64) bool { return b.spendAbove(now, reserve, 0) }

// spendAbove does the same as spend, but also takes nothing if less than reserveShare of what the
// budget allows would then be left, from 0 to 1. It keeps less urgent requests from using up what
// more urgent ones need.
func (b *budget) spendAbove(now time.Time, reserve, reserveShare float64) bool {
	step := b.advance(now)
	var requests, extra float64
	for i := range b.steps {
		requests += b.steps[i].requests
		extra += b.steps[i].extra
	}
	// The step after the newest one in the ring is the oldest. Its requests don't count,
	// since the window may begin after them.
	oldest := b.steps[(b.newest+1)%int64(len(b.steps))].requests
	// The window allows the usable part of the ratio for each request, plus this VM's share
	// of the floor.
	allowed := b.config.Ratio*usableRatio*(requests-oldest) + b.floor
	if extra+1+max(reserve, reserveShare*allowed) > allowed {
		return false
	}
	step.extra++
	return true
}

// advance makes the step of the current time the newest one, and returns it. It clears the
// steps that have left the window.
func (b *budget) advance(now time.Time) *budgetStep {
	stepLength := b.config.Window / budgetSteps
	number := int64(now.Sub(b.startedAt) / max(stepLength, time.Millisecond))
	// If more steps have passed than the ring holds, it is enough to clear each of them once.
	for n := 0; b.newest < number && n < len(b.steps); n++ {
		b.newest++
		b.steps[b.newest%int64(len(b.steps))] = budgetStep{}
	}
	b.newest = max(b.newest, number)
	return &b.steps[b.newest%int64(len(b.steps))]
}
