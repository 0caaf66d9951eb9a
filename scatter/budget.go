package scatter

import "time"

// BudgetConfig bound the extra arrivals at each service: hedges, retries, and
// whatever else reaches a leaf beyond the first arrival of a request.
type BudgetConfig struct {
	Ratio  float64       // extra arrivals for each request
	Floor  float64       // extra arrivals in a window, beside the ratio, of all VMs together
	Window time.Duration // sliding
}

// usableRatio is the share of the ratio that a VM uses. Windows of several VMs,
// whose clocks and wake-ups differ, don't end at one moment.
const usableRatio = 0.9

// budgetSteps is how many steps a window is counted in. The step under way counts
// as a whole among extra arrivals and not at all among requests, so the bound holds
// for every sliding window.
const budgetSteps = 40

// budget bounds the extra arrivals that this VM causes at one service. No VM knows
// what the others spend; each one spends the ratio of its own requests and its part
// of the floor, so that the sum holds however requests are spread.
type budget struct {
	config    BudgetConfig
	floor     float64 // this VM's part of the terms' floor
	steps     [budgetSteps + 1]budgetStep
	newest    int64 // of the newest step
	startedAt time.Time
}

type budgetStep struct{ requests, extra float64 }

func newBudget(terms BudgetConfig, now time.Time) *budget {
	return &budget{config: terms, startedAt: now}
}

// countRequest counts a request by weight: a request that another VM sends on counts in
// part there and in part here.
func (b *budget) countRequest(now time.Time, weight float64) {
	b.advance(now).requests += weight
}

// spend spends one extra arrival and reports whether it could. It leaves spare
// arrivals unspent, so that hedges don't use up what retries need.
func (b *budget) spend(now time.Time, spare float64) bool {
	step := b.advance(now)
	var first, extra float64
	for i := range b.steps {
		first += b.steps[i].requests
		extra += b.steps[i].extra
	}
	oldest := b.steps[(b.newest+1)%int64(len(b.steps))].requests
	allowed := b.config.Ratio*usableRatio*(first-oldest) + b.floor
	if extra+1+spare > allowed {
		return false
	}
	step.extra++
	return true
}

// advance clears the steps that have left the window and returns the newest.
func (b *budget) advance(now time.Time) *budgetStep {
	length := b.config.Window / budgetSteps
	number := int64(now.Sub(b.startedAt) / max(length, time.Millisecond))
	for n := 0; b.newest < number && n < len(b.steps); n++ {
		b.newest++
		b.steps[b.newest%int64(len(b.steps))] = budgetStep{}
	}
	b.newest = max(b.newest, number)
	return &b.steps[b.newest%int64(len(b.steps))]
}
