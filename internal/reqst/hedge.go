package reqst

import "time"

const (
	// hedgeEarly is after how many usual times an answer counts as late: about
	// one in twenty sound answers is, by the spread of servers' work.
	hedgeEarly = 1.8
	// hedgeLast is how many usual times a hedge needs to come before the target.
	hedgeLast = 1.5
	// hedgeSaving is the fill of the budget, as a share, below which only the
	// more urgent hedges are sent.
	hedgeSaving = 0.5
	// hedgeLate is the fill of the budget that must be left for a request
	// whose target has passed: its answer is worth little.
	hedgeLate = 0.6
)

// hedging is the state of one sub-request that might be hedged.
type hedging struct {
	// Base is the usual time of an answer.
	Base time.Duration
	// Waited is the time since the sub-request was sent.
	Waited time.Duration
	// Left is the time until the request's target; negative once it has passed.
	Left time.Duration
	// Fill is the share of the budget that is left.
	Fill float64
}

// due decides whether a second server is worth its load now: while the budget
// is full as soon as the answer is later than usual, and the emptier it is,
// the nearer the last moment at which a hedge can still make the target. So a
// few slow servers are hedged early, and many at once do not use the budget up
// for requests that have time.
func (h *hedging) due() bool {
	early := time.Duration(hedgeEarly * float64(h.Base))
	if h.Waited < early {
		return false
	}
	last := h.Left - time.Duration(hedgeLast*float64(h.Base))
	if h.Left < 0 {
		return h.Fill >= hedgeLate
	}
	if last <= 0 || h.Fill >= hedgeSaving {
		return true
	}
	// The wait that is asked for grows from early to last as the budget empties.
	extra := time.Duration(float64(last) * (1 - h.Fill/hedgeSaving))
	return h.Waited >= early+extra
}
