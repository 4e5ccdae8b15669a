package reqst

import (
	"math"
	"slices"
	"time"
)

// WindowMin tracks the minimum of a value over a sliding window. Applied to a node's share of
// an allowance, it delays a rise by one window: until then, the nodes whose share fell may
// already have spent their former share. It does no I/O and is not safe for concurrent
// use.
type WindowMin struct {
	// Window is the length of the window.
	Window time.Duration

	window  window
	parts   [windowSlots]float64
	started bool
}

// Record records a value and returns the minimum of the window, including it.
func (l *WindowMin) Record(now time.Duration, v float64) float64 {
	if !l.started {
		l.started = true
		for part := range l.parts {
			l.parts[part] = math.Inf(1)
		}
	}
	at := l.window.advance(now, l.Window, func(part int) { l.parts[part] = math.Inf(1) })
	l.parts[at] = min(l.parts[at], v)
	return slices.Min(l.parts[:])
}
