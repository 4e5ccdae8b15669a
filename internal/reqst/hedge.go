package reqst

import "time"

const (
	// hedgeEarlyFactor is the multiple of the usual latency after which an answer counts as
	// late: with the normal spread of service times about one in twenty healthy answers is.
	hedgeEarlyFactor = 1.8
	// hedgeTimeFactor is the multiple of the usual latency that a hedge needs to arrive
	// before the target.
	hedgeTimeFactor = 1.5
	// hedgeSavingThreshold is the remaining share of the budget below which only urgent
	// hedges are sent.
	hedgeSavingThreshold = 0.5
	// hedgeLateThreshold is the remaining share of the budget required to hedge a request
	// whose target has passed: its answer is worth little.
	hedgeLateThreshold = 0.6
)

// hedgeState is the state of one sub-request that might be hedged.
type hedgeState struct {
	// Base is the usual latency of an answer.
	Base time.Duration
	// Waited is the time since the sub-request was sent.
	Waited time.Duration
	// TimeLeft is the time until the request's target; negative once it has passed.
	TimeLeft time.Duration
	// BudgetLeft is the remaining share of the budget, from 0 to 1.
	BudgetLeft float64
}

// due decides whether to send a hedge now. With at least hedgeSavingThreshold of the
// budget left, a hedge is due as soon as the answer is later than usual. Below that, the
// required wait grows toward the last moment at which a hedge can still meet the target.
// So a few slow servers are hedged early, and many at once do not use up the budget for
// requests that have time.
func (h *hedgeState) due() bool {
	early := time.Duration(hedgeEarlyFactor * float64(h.Base))
	if h.Waited < early {
		return false
	}
	last := h.TimeLeft - time.Duration(hedgeTimeFactor*float64(h.Base))
	if h.TimeLeft < 0 {
		return h.BudgetLeft >= hedgeLateThreshold
	}
	if last <= 0 || h.BudgetLeft >= hedgeSavingThreshold {
		return true
	}
	// The required wait grows from early to last as the budget runs out.
	extra := time.Duration(float64(last) * (1 - h.BudgetLeft/hedgeSavingThreshold))
	return h.Waited >= early+extra
}
