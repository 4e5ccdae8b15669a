// Package reqst holds what lives for a request: the plan of a query with its
// hedges and retries, the gathering of its answers, and the run of a write.
package reqst

// budgetBurst is the most extra sub-requests that may be saved up.
const budgetBurst = 50

// Budget limits extra sub-requests to a share of first ones. It is pure and
// not safe for concurrent use.
type Budget struct {
	tokens float64
	earned bool
}

// Earn adds the share, in permille, of n first sub-requests.
func (b *Budget) Earn(n int, permille int64) {
	if !b.earned && permille > 0 {
		b.earned = true
		b.tokens = 1
	}
	b.tokens = min(b.tokens+float64(n)*float64(permille)/1000, budgetBurst)
}

// Spend takes one token; false means that the budget is used up.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
