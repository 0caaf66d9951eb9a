package policy

// budgetBurst is how many extra attempts may follow each other before the
// share counts. It lets a rarely used search retry at all.
const budgetBurst = 20

// Budget bounds extra attempts to a share of first attempts, so that the load
// added to targets has a ceiling also when everything is slow. Invariant: over
// any run of calls, successes of Take <= share * first attempts + budgetBurst.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a full budget of the given share of first attempts.
func NewBudget(share float64) *Budget {
	b := &Budget{share: share}
	b.tokens = b.capacity()
	return b
}

// RecordFirst counts n first attempts.
func (b *Budget) RecordFirst(n int) {
	b.tokens = min(b.tokens+b.share*float64(n), b.capacity())
}

// Take spends the budget for one extra attempt and reports whether it could.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) capacity() float64 {
	if b.share <= 0 {
		return 0
	}
	return budgetBurst
}

// SetShare changes the share of first attempts.
func (b *Budget) SetShare(share float64) {
	if share == b.share {
		return
	}
	b.share = share
	b.tokens = b.capacity()
}
