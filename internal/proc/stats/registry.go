package stats

import (
	"sort"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Bounds of the registry; what comes beyond is counted as "other".
const (
	MaxSeries   = 1000
	MaxCounters = 10000
)

const otherName = "other"

// UnknownService is the label of requests for services that no server has announced.
const UnknownService tier.Service = "unknown"

// Registry holds counters and histograms by name and label.
type Registry struct {
	mu       sync.Mutex
	counters metrics.Registry
	counts   int
	series   map[string]*Histogram
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{counters: metrics.NewRegistry(), series: map[string]*Histogram{}}
}

// Count adds one to the counter name{label}.
func (r *Registry) Count(name, label string) {
	key := name + "\x00" + label
	if c, ok := r.counters.Get(key).(metrics.Counter); ok {
		c.Inc(1)
		return
	}
	r.newCounter(name, key).Inc(1)
}

// newCounter adds a counter; where there are too many it is the name's "other" one.
func (r *Registry) newCounter(name, key string) metrics.Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.counters.Get(key) != nil:
	case r.counts >= MaxCounters:
		key = name + "\x00" + otherName
	default:
		r.counts++
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

// Request records one request by account, service and class, and its outcome.
func (r *Registry) Request(a tier.Account, s tier.Service, c tier.Class, o tier.Outcome, why tier.Reason, took time.Duration) {
	if c == "" {
		c = tier.ClassNormal
	}
	r.histogram("caller\x00" + string(a)).Record(took)
	r.histogram("service\x00" + string(s)).Record(took)
	r.histogram("class\x00" + string(c)).Record(took)
	r.Count("outcome", string(s)+"/"+string(o))
	if why != tier.ReasonNone {
		r.Count("reason", string(s)+"/"+string(why))
	}
}

// Latency records the time of one request under a kind and label.
func (r *Registry) Latency(kind, label string, took time.Duration) {
	r.histogram(kind + "\x00" + label).Record(took)
}

func (r *Registry) histogram(key string) *Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.series[key]
	if h != nil {
		return h
	}
	if len(r.series) >= MaxSeries {
		key = "caller\x00" + otherName
		if h = r.series[key]; h != nil {
			return h
		}
	}
	h = NewHistogram()
	r.series[key] = h
	return h
}

// Series is one histogram with its labels.
type Series struct {
	Kind    string  `json:"kind"`
	Label   string  `json:"label"`
	Summary Summary `json:"summary"`
}

// Series returns all histograms, sorted.
func (r *Registry) Series() []Series {
	r.mu.Lock()
	keys := make([]string, 0, len(r.series))
	for k := range r.series {
		keys = append(keys, k)
	}
	r.mu.Unlock()
	sort.Strings(keys)
	out := make([]Series, 0, len(keys))
	for _, k := range keys {
		kind, label := split(k)
		out = append(out, Series{kind, label, r.histogram(k).Summary()})
	}
	return out
}

func split(key string) (name, label string) {
	for i := range key {
		if key[i] == 0 {
			return key[:i], key[i+1:]
		}
	}
	return key, ""
}
