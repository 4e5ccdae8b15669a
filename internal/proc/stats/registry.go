package stats

import (
	"sort"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Maximum numbers of histograms and counters. Further counters share the label "other" of their name; further histograms
// of every kind share the caller "other".
const (
	MaxSeries   = 1000
	MaxCounters = 10000
)

const overflowLabel = "other"

// UnknownService is the label of requests to services that no server has announced.
const UnknownService tier.Service = "unknown"

// Registry holds counters, gauges and histograms by name and label.
type Registry struct {
	mu           sync.Mutex
	counters     metrics.Registry
	counterCount int
	histograms   map[string]*Histogram
	tenants      busiest
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{counters: metrics.NewRegistry(), histograms: map[string]*Histogram{}}
}

// Count increments the counter name{label}.
func (r *Registry) Count(name, label string) {
	key := name + "\x00" + label
	if c, ok := r.counters.Get(key).(metrics.Counter); ok {
		c.Inc(1)
		return
	}
	r.newCounter(name, key).Inc(1)
}

// newCounter adds a counter and returns it. If there are MaxCounters counters already, it returns the counter of that
// name with the label "other".
func (r *Registry) newCounter(name, key string) metrics.Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.counters.Get(key) != nil:
	case r.counterCount >= MaxCounters:
		key = name + "\x00" + overflowLabel
	default:
		r.counterCount++
	}
	return metrics.GetOrRegisterCounter(key, r.counters)
}

// Gauge sets the gauge name{label}.
func (r *Registry) Gauge(name, label string, v float64) {
	metrics.GetOrRegisterGaugeFloat64(name+"\x00"+label, r.counters).Update(v)
}

// Counter returns the value of the counter name{label}.
func (r *Registry) Counter(name, label string) int64 {
	return metrics.GetOrRegisterCounter(name+"\x00"+label, r.counters).Count()
}

// Request records the latency of a request by account, service and class, and counts its outcome and reason.
func (r *Registry) Request(a tier.Account, s tier.Service, c tier.Class, o tier.Outcome, reason tier.Reason, took time.Duration) {
	if c == "" {
		c = tier.ClassNormal
	}
	r.histogram("caller\x00" + string(a)).Record(took)
	r.histogram("service\x00" + string(s)).Record(took)
	r.histogram("class\x00" + string(c)).Record(took)
	r.Count("outcome", string(s)+"/"+string(o))
	if reason != tier.ReasonNone {
		r.Count("reason", string(s)+"/"+string(reason))
	}
}

// Latency records the latency of a request in the histogram kind{label}.
func (r *Registry) Latency(kind, label string, took time.Duration) {
	r.histogram(kind + "\x00" + label).Record(took)
}

func (r *Registry) histogram(key string) *Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[key]
	if h != nil {
		return h
	}
	if len(r.histograms) >= MaxSeries {
		key = "caller\x00" + overflowLabel
		if h = r.histograms[key]; h != nil {
			return h
		}
	}
	h = NewHistogram()
	r.histograms[key] = h
	return h
}

// Series is the summary of one histogram.
type Series struct {
	Kind    string  `json:"kind"`
	Label   string  `json:"label"`
	Summary Summary `json:"summary"`
}

// Series returns the summaries of all histograms, ordered by kind and label.
func (r *Registry) Series() []Series {
	r.mu.Lock()
	keys := make([]string, 0, len(r.histograms))
	for k := range r.histograms {
		keys = append(keys, k)
	}
	r.mu.Unlock()
	sort.Strings(keys)
	out := make([]Series, 0, len(keys))
	for _, k := range keys {
		kind, label := splitKey(k)
		out = append(out, Series{kind, label, r.histogram(k).Summary()})
	}
	return out
}

func splitKey(key string) (name, label string) {
	for i := range key {
		if key[i] == 0 {
			return key[:i], key[i+1:]
		}
	}
	return key, ""
}
