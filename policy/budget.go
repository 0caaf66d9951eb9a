package policy

// budgetBurst is the number of extra attempts (hedges or retries) that a full budget
// allows at once. A budget starts full, so a search that is rarely used can retry too.
const budgetBurst = 20

// Budget limits extra attempts (hedges or retries) to a share of first attempts, so that
// the load added to targets is bounded even when everything is slow. Invariant: over any
// sequence of calls, successes of Take <= share * first attempts + budgetBurst.
type Budget struct {
	share  float64 // extra attempts allowed per first attempt
	tokens float64 // extra attempts allowed now
}

// NewBudget returns a full budget. share is the number of extra attempts allowed per first
// attempt; 0 allows none.
func NewBudget(share float64) *Budget {
	b := &Budget{share: share}
	b.tokens = b.capacity()
	return b
}

// RecordFirst counts n first attempts. For each of them the budget is refilled by share
// extra attempts, up to its capacity.
func (b *Budget) RecordFirst(n int) {
	b.tokens = min(b.tokens+b.share*float64(n), b.capacity())
}

// Take spends one extra attempt and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// capacity returns the number of extra attempts that a full budget allows at once.
func (b *Budget) capacity() float64 {
	if b.share <= 0 {
		return 0
	}
	return budgetBurst
}

// SetShare sets the number of extra attempts allowed per first attempt. A changed number
// refills the budget.
func (b *Budget) SetShare(share float64) {
	if share == b.share {
		return
	}
	b.share = share
	b.tokens = b.capacity()
}
