package stats

import (
	"io"
	"sort"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// Names of the exported metric families and of their label.
const (
	namespace         = "sassafrasring_"
	latencyFamilyName = namespace + "latency_seconds"
	labelName         = "label"
)

// WriteText writes all metrics in the Prometheus text exposition format.
func (r *Registry) WriteText(w io.Writer) error {
	families := append(r.counterAndGaugeFamilies(), r.latencyFamily())
	for _, f := range families {
		if len(f.Metric) == 0 {
			continue
		}
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return errors.Wrap(err, "write metrics "+f.GetName())
		}
	}
	return nil
}

// counterAndGaugeFamilies returns the counters and gauges, one family for each name.
func (r *Registry) counterAndGaugeFamilies() []*dto.MetricFamily {
	byName := map[string]*dto.MetricFamily{}
	r.counters.Each(func(key string, v any) {
		name, label := splitKey(key)
		m := &dto.Metric{Label: []*dto.LabelPair{{Name: new(labelName), Value: &label}}}
		kind := dto.MetricType_GAUGE
		switch v := v.(type) {
		case metrics.Counter:
			kind, name = dto.MetricType_COUNTER, name+"_total"
			m.Counter = &dto.Counter{Value: new(float64(v.Count()))}
		case metrics.GaugeFloat64:
			m.Gauge = &dto.Gauge{Value: new(v.Value())}
		default:
			return
		}
		f := byName[name]
		if f == nil {
			f = &dto.MetricFamily{Name: new(namespace + name), Type: &kind}
			byName[name] = f
		}
		f.Metric = append(f.Metric, m)
	})
	out := make([]*dto.MetricFamily, 0, len(byName))
	for _, f := range byName {
		sort.Slice(f.Metric, func(i, j int) bool { return f.Metric[i].Label[0].GetValue() < f.Metric[j].Label[0].GetValue() })
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

// latencyFamily returns the histograms as a family of summaries.
func (r *Registry) latencyFamily() *dto.MetricFamily {
	f := &dto.MetricFamily{Name: new(latencyFamilyName), Type: dto.MetricType_SUMMARY.Enum()}
	for _, s := range r.Series() {
		f.Metric = append(f.Metric, &dto.Metric{
			Label: []*dto.LabelPair{{Name: new(s.Kind), Value: new(s.Label)}},
			Summary: &dto.Summary{SampleCount: new(uint64(s.Summary.Count)), SampleSum: new(s.Summary.sumMs / 1000), Quantile: []*dto.Quantile{
				quantile(0.5, s.Summary.P50Ms), quantile(0.99, s.Summary.P99Ms), quantile(0.999, s.Summary.P999Ms), quantile(1, s.Summary.MaxMs),
			}},
		})
	}
	return f
}

func quantile(q, ms float64) *dto.Quantile { return &dto.Quantile{Quantile: &q, Value: new(ms / 1000)} }
