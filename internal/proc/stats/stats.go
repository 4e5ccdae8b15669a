// Package stats records latencies and counts, and exports them in the Prometheus text format.
package stats

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minUs = 1
	maxUs = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of a histogram; two digits make quantiles exact to 1%.
	significantDigits = 2
)

// Histogram records durations; quantiles are exact to 1%. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdr.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram { return &Histogram{h: hdr.New(minUs, maxUs, significantDigits)} }

// Record adds one duration.
func (h *Histogram) Record(d time.Duration) {
	us := min(max(d.Microseconds(), minUs), maxUs)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(us)
}

// Summary is the state of a histogram at one time.
type Summary struct {
	Count  int64   `json:"count"`
	P50Ms  float64 `json:"p50_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	MaxMs  float64 `json:"max_ms"`

	sumMs float64
}

// Summary returns the current count, quantiles and maximum.
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

// Window records recent latencies in windowBuckets buckets of bucketLength each, for quantiles that follow the current
// load.
type Window struct {
	mu           sync.Mutex
	h            *hdr.WindowedHistogram
	nextRotation time.Duration
	// merged is the sum of all buckets, recomputed after mergedTTL.
	merged      *hdr.Histogram
	mergedUntil time.Duration
}

const (
	windowBuckets = 5
	bucketLength  = 2 * time.Second
	// mergedTTL is how long the merged histogram is reused.
	mergedTTL = 100 * time.Millisecond
	// minSamples is the minimum number of samples for a quantile.
	minSamples = 20
)

// NewWindow returns an empty window.
func NewWindow() *Window {
	return &Window{h: hdr.NewWindowed(windowBuckets, minUs, maxUs, significantDigits)}
}

// Record adds the duration d at the time now.
func (w *Window) Record(now, d time.Duration) {
	us := min(max(d.Microseconds(), minUs), maxUs)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(now)
	_ = w.h.Current.RecordValue(us)
}

func (w *Window) rotate(now time.Duration) {
	if now < w.nextRotation {
		return
	}
	if w.nextRotation != 0 {
		w.h.Rotate()
	}
	w.nextRotation = now + bucketLength
}

// Quantile returns the quantile given in permille. ok is false if there are fewer than minSamples samples.
func (w *Window) Quantile(now time.Duration, permille int64) (d time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.merged == nil || now >= w.mergedUntil {
		w.rotate(now)
		w.merged = w.h.Merge()
		w.mergedUntil = now + mergedTTL
	}
	if w.merged.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(w.merged.ValueAtQuantile(float64(permille)/10)) * time.Microsecond, true
}
