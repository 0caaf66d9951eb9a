package scatter

import "time"

// BudgetConfig bounds the extra arrivals at each service: hedges, retries, and everything else
// that reaches a leaf beyond the first arrival of a request.
type BudgetConfig struct {
	Ratio  float64       // extra arrivals per request
	Floor  float64       // extra arrivals per window in addition to the ratio, of all VMs together
	Window time.Duration // length of the sliding window
}

// usableRatio is the share of the ratio that a VM uses. The windows of several VMs, whose
// clocks and wake-ups differ, don't end at the same moment.
const usableRatio = 0.9

// budgetSteps is the number of steps in which a window is counted. The step in progress counts
// in full among extra arrivals and not at all among requests, so the bound holds for every
// sliding window.
const budgetSteps = 40

// budget bounds the extra arrivals that this VM causes at one service. No VM knows what the
// others spend. Each VM spends the ratio of its own requests and its share of the floor, so
// the total bound holds however requests are distributed.
type budget struct {
	config    BudgetConfig
	floor     float64 // this VM's share of the configured floor
	steps     [budgetSteps + 1]budgetStep
	newest    int64 // number of the newest step
	startedAt time.Time
}

type budgetStep struct{ requests, extra float64 }

func newBudget(config BudgetConfig, now time.Time) *budget {
	return &budget{config: config, startedAt: now}
}

// countRequest counts a request with the given weight: a request that one VM delegates to
// another counts in part at each of them.
func (b *budget) countRequest(now time.Time, weight float64) {
	b.advance(now).requests += weight
}

// spend takes one extra arrival from the budget and reports whether it could. It leaves
// reserve arrivals unspent, so that hedges don't use up what retries need.
func (b *budget) spend(now time.Time, reserve float64) bool {
	step := b.advance(now)
	var requests, extra float64
	for i := range b.steps {
		requests += b.steps[i].requests
		extra += b.steps[i].extra
	}
	oldest := b.steps[(b.newest+1)%int64(len(b.steps))].requests
	allowed := b.config.Ratio*usableRatio*(requests-oldest) + b.floor
	if extra+1+reserve > allowed {
		return false
	}
	step.extra++
	return true
}

// advance clears the steps that have left the window and returns the newest step.
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
