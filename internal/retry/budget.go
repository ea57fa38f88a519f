// Package retry decides whether a request may be sent again.
//
// It is pure: no clock, no I/O, no goroutine.
package retry

// Budget bounds retries to a share of first tries, so that retries cannot
// multiply the load on back ends that are already failing. It is a token
// bucket filled by first tries. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

const (
	// budgetBurst is the number of retries allowed at once after a calm time.
	budgetBurst = 20
	// DefaultRatio is the number of retries per first try.
	DefaultRatio = 0.1
)

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: budgetBurst}
}

// FirstTry adds ratio of a token, up to the burst. Zero means DefaultRatio.
func (b *Budget) FirstTry(ratio float64) {
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b.tokens = min(budgetBurst, b.tokens+ratio)
}

// Spend takes a token for one retry or hedge; false means that none is left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
