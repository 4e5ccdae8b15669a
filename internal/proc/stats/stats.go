// Package stats measures latencies and counts, and exports them in the
// registry's text form.
package stats

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestUs  = 1
	highestUs = int64(10 * time.Minute / time.Microsecond)
	// digits gives quantiles exact to 1%.
	digits = 2
)

// Histogram records durations; quantiles are exact to 1%. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdr.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram { return &Histogram{h: hdr.New(lowestUs, highestUs, digits)} }

// Record adds one duration.
func (h *Histogram) Record(d time.Duration) {
	us := min(max(d.Microseconds(), lowestUs), highestUs)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(us)
}

// Summary is a histogram at one time.
type Summary struct {
	Count  int64   `json:"count"`
	P50Ms  float64 `json:"p50_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	MaxMs  float64 `json:"max_ms"`

	sumMs float64
}

// Summary returns count, quantiles and the greatest value.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Summary{
		Count:  h.h.TotalCount(),
		P50Ms:  ms(h.h.ValueAtQuantile(50)),
		P99Ms:  ms(h.h.ValueAtQuantile(99)),
		P999Ms: ms(h.h.ValueAtQuantile(99.9)),
		MaxMs:  ms(h.h.Max()),
		sumMs:  h.h.Mean() * float64(h.h.TotalCount()) / 1000,
	}
}

// Window holds the latencies of the last few seconds, for a quantile that
// follows the present.
type Window struct {
	mu   sync.Mutex
	h    *hdr.WindowedHistogram
	next time.Duration
	// merged is the whole window as of less than mergedLife ago.
	merged *hdr.Histogram
	till   time.Duration
}

const (
	windowParts = 5
	windowPart  = 2 * time.Second
	// mergedLife is how long a merged window is reused.
	mergedLife = 100 * time.Millisecond
	// windowLeast is the number of samples below which there is no quantile.
	windowLeast = 20
)

// NewWindow returns an empty window.
func NewWindow() *Window {
	return &Window{h: hdr.NewWindowed(windowParts, lowestUs, highestUs, digits)}
}

// Record adds one duration at the time now.
func (w *Window) Record(now, d time.Duration) {
	us := min(max(d.Microseconds(), lowestUs), highestUs)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(now)
	_ = w.h.Current.RecordValue(us)
}

func (w *Window) rotate(now time.Duration) {
	if now < w.next {
		return
	}
	if w.next != 0 {
		w.h.Rotate()
	}
	w.next = now + windowPart
}

// Quantile returns the given quantile in permille; ok is false with too few samples.
func (w *Window) Quantile(now time.Duration, permille int64) (d time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.merged == nil || now >= w.till {
		w.rotate(now)
		w.merged = w.h.Merge()
		w.till = now + mergedLife
	}
	if w.merged.TotalCount() < windowLeast {
		return 0, false
	}
	return time.Duration(w.merged.ValueAtQuantile(float64(permille)/10)) * time.Microsecond, true
}
