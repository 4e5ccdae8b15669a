package reqst

import "time"

// windowSlots is the number of parts of a sliding window.
const windowSlots = 20

// window is the current position in a sliding window that is divided into windowSlots
// parts.
type window struct{ at int64 }

// advance moves to the part that contains now and returns its index. It calls reset for
// each part entered since the last call.
func (w *window) advance(now, length time.Duration, reset func(part int)) int {
	at := int64(now / (length / (windowSlots - 1)))
	for w.at = max(w.at, at-windowSlots); w.at < at; {
		w.at++
		reset(int(w.at % windowSlots))
	}
	return int(w.at % windowSlots)
}
