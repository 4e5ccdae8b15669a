package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasring.dev/sassafrasring/internal/stand"
	"sassafrasring.dev/sassafrasring/pkg/client"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	maxLatencyUs      = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
	settleTime        = 500 * time.Millisecond
	callTimeout       = 30 * time.Second
	connsPerHost      = 512
)

// StreamReport is the result of one stream. Latency is measured from the time at which a request was due to be sent, so
// that the wait behind a stall is included (no coordinated omission).
type StreamReport struct {
	Service   tier.Service     `json:"service"`
	Class     tier.Class       `json:"class"`
	Sent      int64            `json:"sent"`
	Outcomes  map[string]int64 `json:"outcomes"`
	Reasons   map[string]int64 `json:"reasons"`
	Errors    int64            `json:"errors"`
	FirstErr  string           `json:"first_error,omitempty"`
	Coverage  float64          `json:"coverage"`
	P50Ms     float64          `json:"p50_ms"`
	P99Ms     float64          `json:"p99_ms"`
	P999Ms    float64          `json:"p999_ms"`
	MaxMs     float64          `json:"max_ms"`
	RefusedMs float64          `json:"refused_p50_ms"`
	Goodput   float64          `json:"goodput"`
	// PerSecond holds the figures of each measured second; the last element collects requests due after the last
	// whole second.
	PerSecond []Second `json:"per_second"`
}

// Second holds the figures of one second of a run.
type Second struct {
	P99Ms    float64 `json:"p99_ms"`
	Done     int64   `json:"done"`
	NotDone  int64   `json:"not_done"`
	Coverage float64 `json:"coverage"`
}

// Report is the result of a run.
type Report struct {
	Variant    string         `json:"variant,omitempty"`
	Streams    []StreamReport `json:"streams"`
	Violations Violations     `json:"wrongs"`
	Needed     int64          `json:"sub_requests_needed"`
	Received   int64          `json:"sub_requests_received"`
	ExtraLoad  float64        `json:"extra_load"`
	Overrun    int64          `json:"over_slots"`
	Shed       int64          `json:"shed"`
	Deaths     int64          `json:"server_deaths"`
	MaxConns   int64          `json:"most_connections"`
	CPUMicros  float64        `json:"cpu_us_per_sub_request"`
	CPUCores   float64        `json:"cpu_cores"`
}

// streamStats collects the samples of one stream.
type streamStats struct {
	mu          sync.Mutex
	rep         StreamReport
	answered    *hdr.Histogram
	refused     *hdr.Histogram
	seconds     []*hdr.Histogram
	coverageSum float64
	answers     float64
	needed      int64
	violations  Violations
}

func newStreamStats(s Stream, seconds int) *streamStats {
	t := &streamStats{answered: hdr.New(1, maxLatencyUs, significantDigits), refused: hdr.New(1, maxLatencyUs, significantDigits)}
	t.rep = StreamReport{Service: s.Service, Class: s.Class, Outcomes: map[string]int64{}, Reasons: map[string]int64{}, PerSecond: make([]Second, seconds+1)}
	for range seconds + 1 {
		t.seconds = append(t.seconds, hdr.New(1, maxLatencyUs, significantDigits))
	}
	return t
}

// result is the outcome of one request. due is the time since the start of the run, took the time since due.
type result struct {
	due        time.Duration
	took       time.Duration
	outcome    tier.Outcome
	reason     tier.Reason
	coverage   float64
	needed     int
	violations Violations
	err        error
}

func (t *streamStats) record(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rep.Sent++
	t.violations.add(r.violations)
	second := min(max(int(r.due/time.Second), 0), len(t.seconds)-1)
	if r.err != nil {
		t.rep.Errors++
		t.rep.PerSecond[second].NotDone++
		if t.rep.FirstErr == "" {
			t.rep.FirstErr = r.err.Error()
		}
		return
	}
	t.rep.Outcomes[string(r.outcome)]++
	if r.reason != tier.ReasonNone {
		t.rep.Reasons[string(r.reason)]++
	}
	us := min(max(r.took.Microseconds(), 1), maxLatencyUs)
	t.needed += int64(r.needed)
	if r.outcome == tier.NotRun {
		_ = t.refused.RecordValue(us)
		t.rep.PerSecond[second].NotDone++
		return
	}
	_ = t.answered.RecordValue(us)
	_ = t.seconds[second].RecordValue(us)
	t.coverageSum += r.coverage
	t.answers++
	t.rep.PerSecond[second].Coverage += r.coverage
	if r.outcome == tier.Done {
		t.rep.PerSecond[second].Done++
	} else {
		t.rep.PerSecond[second].NotDone++
	}
}

func (t *streamStats) report(seconds float64) StreamReport {
	ms := func(h *hdr.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r := t.rep
	r.P50Ms, r.P99Ms, r.P999Ms, r.MaxMs = ms(t.answered, 50), ms(t.answered, 99), ms(t.answered, 99.9), float64(t.answered.Max())/1000
	r.RefusedMs = ms(t.refused, 50)
	r.Goodput = float64(r.Outcomes[string(tier.Done)]) / seconds
	if t.answers > 0 {
		r.Coverage = t.coverageSum / t.answers
	}
	for i := range r.PerSecond {
		p := &r.PerSecond[i]
		p.P99Ms = ms(t.seconds[i], 99)
		if n := t.seconds[i].TotalCount(); n > 0 {
			p.Coverage /= float64(n)
		}
	}
	return r
}

// Runner runs the load that Spec describes.
type Runner struct {
	// Spec describes the load.
	Spec Spec

	client *client.Client
	writes *writeLog
}

func (r *Runner) init() {
	r.writes = &writeLog{outcomes: map[uint64]tier.Outcome{}}
	r.client = &client.Client{
		Entries: r.Spec.Entries, Name: r.Spec.Account, Secret: r.Spec.Secret,
		HTTP: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: connsPerHost}},
	}
}

// Run sends the warmup load, measures the load itself and checks the outcomes of its writes.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	r.init()
	warmup := time.Duration(r.Spec.WarmupSeconds * float64(time.Second))
	if warmup > 0 {
		r.runStreams(ctx, warmup, r.Spec.Seed+1, nil)
		time.Sleep(settleTime)
	}
	before, err := r.sumCounters(ctx)
	if err != nil {
		return Report{}, err
	}
	cpu := cpuSeconds(r.Spec.Pids)
	d := time.Duration(r.Spec.Seconds * float64(time.Second))
	stats := r.runStreams(ctx, d, r.Spec.Seed, r.Spec.Events)
	spent := cpuSeconds(r.Spec.Pids) - cpu
	time.Sleep(settleTime)
	after, err := r.sumCounters(ctx)
	if err != nil {
		return Report{}, err
	}
	rep := Report{
		Received: after.Received - before.Received, Overrun: after.Overrun - before.Overrun, Shed: after.Shed - before.Shed,
		Deaths: after.Deaths - before.Deaths, MaxConns: after.MaxConns, CPUCores: spent / r.Spec.Seconds,
	}
	for _, t := range stats {
		rep.Streams = append(rep.Streams, t.report(r.Spec.Seconds))
		rep.Violations.add(t.violations)
		rep.Needed += t.needed
	}
	if rep.Needed > 0 {
		rep.ExtraLoad = float64(rep.Received)/float64(rep.Needed) - 1
		rep.CPUMicros = spent * 1e6 / float64(rep.Needed)
	}
	rep.Violations.OverLimit += after.OverLimit - before.OverLimit
	return rep, r.checkWrites(ctx, &rep)
}

func (r *Runner) checkWrites(ctx context.Context, rep *Report) error {
	runs := map[uint64]int{}
	for _, s := range r.Spec.Standins {
		var part map[uint64]int
		if err := getJSON(ctx, "http://"+s+"/runs", &part); err != nil {
			return err
		}
		for h, n := range part {
			runs[h] += n
		}
	}
	rep.Violations.add(r.writes.check(runs))
	return nil
}

func (r *Runner) sumCounters(ctx context.Context) (stand.Counters, error) {
	var all stand.Counters
	for _, s := range r.Spec.Standins {
		var rep stand.Report
		if err := getJSON(ctx, "http://"+s+"/counters", &rep); err != nil {
			return all, err
		}
		all.Received += rep.Total.Received
		all.Overrun += rep.Total.Overrun
		all.Shed += rep.Total.Shed
		all.OverLimit += rep.Total.OverLimit
		all.Deaths += rep.Total.Deaths
		all.MaxConns = max(all.MaxConns, rep.Total.MaxConns)
	}
	return all, nil
}

func getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return tier.At("get", url, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return tier.At("decode", url, json.NewDecoder(resp.Body).Decode(out))
}

// runStreams runs all streams for d and sets the faults of the events at their times.
func (r *Runner) runStreams(ctx context.Context, d time.Duration, seed uint64, events []Event) []*streamStats {
	var wait sync.WaitGroup
	var stats []*streamStats
	start := time.Now()
	for i, s := range r.Spec.Streams {
		t := newStreamStats(s, int(d/time.Second))
		stats = append(stats, t)
		wait.Add(1)
		go func() {
			defer wait.Done()
			r.stream(ctx, s, t, start, d, rand.New(rand.NewPCG(seed, uint64(i))))
		}()
	}
	for _, e := range events {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(e.AtSeconds * float64(time.Second)))
			_ = r.setFault(ctx, e.Fault)
		}()
	}
	wait.Wait()
	return stats
}

func (r *Runner) setFault(ctx context.Context, f stand.Fault) error {
	b, err := json.Marshal(f)
	if err != nil {
		return err
	}
	for _, s := range r.Spec.Standins {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s+"/fault", bytes.NewReader(b))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return tier.At("set fault", s, err)
		}
		_ = resp.Body.Close()
	}
	return nil
}

// stream sends requests at exponentially distributed intervals, without waiting for the answers to earlier ones.
func (r *Runner) stream(ctx context.Context, s Stream, t *streamStats, start time.Time, d time.Duration, rnd *rand.Rand) {
	var wait sync.WaitGroup
	due := time.Duration(0)
	for n := 0; s.Rate > 0; n++ {
		due += time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second))
		if due >= d || ctx.Err() != nil {
			break
		}
		body := fmt.Appendf(nil, `{"run":%d,"n":%d,"id":"%x"}`, start.UnixNano(), n, rnd.Uint64())
		resend := s.Write && rnd.Float64() < s.ResendShare
		time.Sleep(time.Until(start.Add(due)))
		at := due
		wait.Add(1)
		go func() {
			defer wait.Done()
			t.record(r.request(ctx, s, body, resend, start, at))
		}()
	}
	wait.Wait()
}

func (r *Runner) request(ctx context.Context, s Stream, body []byte, resend bool, start time.Time, due time.Duration) result {
	var res result
	switch {
	case s.Host != "":
		res = r.routed(ctx, s, body)
	case s.Write:
		res = r.sendWrite(ctx, s, body, resend)
	case s.Direct != "":
		res = r.direct(ctx, s, body)
	default:
		res = r.query(ctx, s, body)
	}
	res.due = due
	res.took = time.Since(start.Add(due))
	return res
}

func (r *Runner) query(ctx context.Context, s Stream, body []byte) result {
	a, err := r.client.Query(ctx, tier.QueryRequest{Service: s.Service, Body: body, Class: s.Class, DeadlineMs: s.DeadlineMs})
	if err != nil {
		return result{err: err}
	}
	res := result{outcome: a.Outcome, reason: a.Reason, violations: checkQuery(&a, body)}
	if a.Outcome != tier.NotRun {
		res.needed = int(a.Snapshot.Shards)
		res.coverage = float64(len(a.Shards)) / float64(max(1, a.Snapshot.Shards))
	}
	return res
}

func (r *Runner) sendWrite(ctx context.Context, s Stream, body []byte, resend bool) result {
	w := tier.WriteRequest{Service: s.Service, Key: string(body), Body: body, DeadlineMs: s.DeadlineMs, FirstSend: true}
	if resend {
		first := w
		go func() {
			a, err := r.client.Write(ctx, first)
			if err == nil {
				r.writes.record(body, a.Outcome)
			}
		}()
		w.FirstSend = false
	}
	a, err := r.client.Write(ctx, w)
	if err != nil {
		return result{err: err}
	}
	if !resend || a.Outcome != tier.NotRun {
		r.writes.record(body, a.Outcome)
	}
	res := result{outcome: a.Outcome, reason: a.Reason, coverage: 1}
	if a.Outcome != tier.NotRun && !a.Replayed {
		res.needed = 1
	}
	return res
}
