package pace

import (
	"math"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// An answer counts as held up by a pause if it took stallFactor times the usual time, and minStall
	// at least.
	stallFactor = 4
	minStall    = 80 * time.Millisecond
	// maxPause is the longest pause that is predicted.
	maxPause = 400 * time.Millisecond
	// minPeriod and maxPeriod bound the interval between two pauses of a server.
	minPeriod = time.Second
	maxPeriod = 30 * time.Second
	// periodBin is the resolution with which intervals between pauses are counted.
	periodBin = 50 * time.Millisecond
	// A period is accepted when minPeriodCount intervals and the share minPeriodShare of all intervals
	// lie within one bin of it. Beyond maxIntervals all counts are halved, so that old ones fade.
	minPeriodCount = 10
	minPeriodShare = 0.2
	maxIntervals   = 400
	// A pause is predicted for predictedPeriods periods after the last one that was seen.
	predictedPeriods = 5
	// A window that was seen in trustedCycles periods is not given up for a stall at another time
	// until it has not been seen for staleCycles periods.
	trustedCycles = 2
	staleCycles   = 3
)

// pauseWindow is the time at which a server was last seen to pause.
type pauseWindow struct {
	from, to time.Duration
	// cycles is the number of periods in which it was seen, seenAt the last of these times.
	cycles int
	seenAt time.Duration
	// lastEnd is the end of the last stall that ended with an answer; 0 if there was none.
	lastEnd time.Duration
}

// pauses learns at which regular intervals servers stand still, as during the collection of garbage or
// the merge of index segments, from the answers that took much longer than usual. Servers of a fleet
// share the length of the interval, and each has its own phase.
type pauses struct {
	windows map[tier.ServerID]*pauseWindow
	// intervals counts the intervals between pauses of the same server by length.
	intervals []float64
	total     float64
	period    time.Duration
}

func (p *pauses) start() {
	p.windows = map[tier.ServerID]*pauseWindow{}
	p.intervals = make([]float64, maxPeriod/periodBin+1)
}

// forget drops what is known of the servers for which keep returns false.
func (p *pauses) forget(keep func(tier.ServerID) bool) {
	for id := range p.windows {
		if !keep(id) {
			delete(p.windows, id)
		}
	}
}

// record records a sub-request to a server that took from sent to end. answered is false if it was
// given up at end without an answer.
func (p *pauses) record(id tier.ServerID, sent, end, usual time.Duration, answered bool) {
	if end-sent < max(stallFactor*usual, minStall) {
		return
	}
	if answered {
		// The pause ended one usual answer time before.
		end -= usual
	}
	w := p.windows[id]
	if w == nil {
		w = &pauseWindow{from: sent, to: end, cycles: 1, seenAt: end}
		p.windows[id] = w
	} else {
		p.extend(w, sent, end)
	}
	if answered {
		p.recordEnd(w, end)
	}
}

// recordEnd counts the interval since the server's previous pause.
func (p *pauses) recordEnd(w *pauseWindow, end time.Duration) {
	since := end - w.lastEnd
	w.lastEnd = end
	if since == end || since < minPeriod || since > maxPeriod {
		return
	}
	p.intervals[since/periodBin]++
	p.total++
	if p.total > maxIntervals {
		p.total = 0
		for i := range p.intervals {
			p.intervals[i] /= 2
			p.total += p.intervals[i]
		}
	}
	p.period = p.commonPeriod()
}

// commonPeriod returns the most frequent interval, or 0 if none stands out.
func (p *pauses) commonPeriod() time.Duration {
	best, most := 0, 0.0
	for i := 1; i+1 < len(p.intervals); i++ {
		if n := p.intervals[i-1] + p.intervals[i] + p.intervals[i+1]; n > most {
			best, most = i, n
		}
	}
	if most < minPeriodCount || most < minPeriodShare*p.total {
		return 0
	}
	mean := (p.intervals[best+1] - p.intervals[best-1]) / most
	return time.Duration((float64(best) + 0.5 + mean) * float64(periodBin))
}

// extend adds a stall to a window if it fits to it in some period; otherwise it replaces a window that
// is not trusted.
func (p *pauses) extend(w *pauseWindow, from, to time.Duration) {
	cycles := p.cyclesSince(w, (from+to)/2)
	shift := time.Duration(cycles) * p.period
	union := pauseWindow{from: min(w.from+shift, from), to: max(w.to+shift, to), cycles: w.cycles, seenAt: to, lastEnd: w.lastEnd}
	switch {
	case union.to-union.from <= maxPause:
		if cycles != 0 {
			union.cycles++
		}
		*w = union
	case p.period > 0 && w.cycles >= trustedCycles && to-w.seenAt < staleCycles*p.period:
	default:
		*w = pauseWindow{from: from, to: to, cycles: 1, seenAt: to, lastEnd: w.lastEnd}
	}
}

// cyclesSince returns the number of periods between a window and a time, rounded.
func (p *pauses) cyclesSince(w *pauseWindow, at time.Duration) int64 {
	if p.period == 0 {
		return 0
	}
	return int64(math.Round(float64(at-(w.from+w.to)/2) / float64(p.period)))
}

// remaining returns how much longer a server is expected to stand still, at a time at which a request
// that usually takes usual would reach it; 0 if it is expected to answer.
func (p *pauses) remaining(now time.Duration, id tier.ServerID, usual time.Duration) time.Duration {
	w := p.windows[id]
	if w == nil || p.period == 0 || now-w.seenAt > predictedPeriods*p.period {
		return 0
	}
	shift := time.Duration(p.cyclesSince(w, now)) * p.period
	if now < w.from+shift-usual/2 {
		return 0
	}
	return max(0, w.to+shift-now)
}
