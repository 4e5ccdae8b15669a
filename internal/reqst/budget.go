// Package reqst handles requests: it plans a query's sub-requests with hedges and retries,
// gathers their answers, and runs writes.
package reqst

// budgetBurst is the maximum number of tokens that can accumulate.
const budgetBurst = 50

// Budget is a token bucket that limits extra sub-requests to a share of first ones. It
// does no I/O and is not safe for concurrent use.
type Budget struct {
	tokens float64
	earned bool
}

// Earn adds tokens for n first sub-requests, at the given share in permille. The first
// call also grants one token.
func (b *Budget) Earn(n int, permille int64) {
	if !b.earned && permille > 0 {
		b.earned = true
		b.tokens = 1
	}
	b.tokens = min(b.tokens+float64(n)*float64(permille)/1000, budgetBurst)
}

// Spend takes one token; it returns false if the budget is used up.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
