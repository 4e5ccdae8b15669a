package reqst

import "time"

// extraSafety is the share of the allowance that is used. The rest allows for nodes'
// windows and servers' counts that do not start at the same moment.
const extraSafety = 0.9

// ExtraBudget limits the sub-requests sent beyond the first one of each request, in every
// sliding window: a ratio of the node's own first sub-requests plus the node's share of a
// fixed allowance. All nodes together thus stay within the fleet's budget without
// exchanging messages. It does no I/O and is not safe for concurrent use.
type ExtraBudget struct {
	// Window is the length of the window.
	Window time.Duration
	// Ratio is the allowed number of extra sub-requests per first one.
	Ratio float64

	window       window
	first, extra [windowSlots]int
}

func (x *ExtraBudget) advance(now time.Duration) int {
	return x.window.advance(now, x.Window, func(part int) { x.first[part], x.extra[part] = 0, 0 })
}

// RecordFirst counts a first sub-request.
func (x *ExtraBudget) RecordFirst(now time.Duration) { x.first[x.advance(now)]++ }

// Spend takes one extra sub-request from the budget, or returns false if none is
// available. The node's share of the fixed allowance is passed as fixed.
func (x *ExtraBudget) Spend(now time.Duration, fixed float64) bool {
	i := x.advance(now)
	if x.Remaining(now, fixed) < 1 {
		return false
	}
	x.extra[i]++
	return true
}

// Remaining returns how many extra sub-requests may be sent now.
func (x *ExtraBudget) Remaining(now time.Duration, fixed float64) float64 {
	allowed, spent := x.usage(now, fixed)
	return allowed - spent
}

// RemainingShare returns the remaining share of the allowance, from 0 to 1.
func (x *ExtraBudget) RemainingShare(now time.Duration, fixed float64) float64 {
	allowed, spent := x.usage(now, fixed)
	if allowed <= 0 {
		return 0
	}
	return max(0, 1-spent/allowed)
}

func (x *ExtraBudget) usage(now time.Duration, fixed float64) (allowed, spent float64) {
	x.advance(now)
	first := 0
	for i := range x.first {
		first += x.first[i]
		spent += float64(x.extra[i])
	}
	return extraSafety * (x.Ratio*float64(first) + fixed), spent
}
