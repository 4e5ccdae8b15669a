package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot/vg"

	"sassafrasring.dev/sassafrasring/internal/node"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/stand"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/client"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Experiment runs all variants once per repeat, so that their runs are interleaved. All variants of a repeat use the
// same seed.
func (r *Runner) Experiment(ctx context.Context) ([]Report, error) {
	var out []Report
	seed, streams := r.Spec.Seed, r.Spec.Streams
	for rep := range max(1, r.Spec.Repeats) {
		for _, v := range r.Spec.Variants {
			r.Spec.Seed = seed + uint64(rep)*1000
			r.Spec.Streams = withRates(streams, v)
			if err := r.prepare(ctx, v); err != nil {
				return out, err
			}
			one, err := r.Run(ctx)
			if err != nil {
				return out, err
			}
			one.Variant = v.Name
			out = append(out, one)
		}
	}
	r.Spec.Seed, r.Spec.Streams = seed, streams
	return out, r.prepare(ctx, Variant{Name: "end"})
}

func withRates(streams []Stream, v Variant) []Stream {
	out := append([]Stream(nil), streams...)
	for i := range out {
		if rate, ok := v.RateOf[string(out[i].Service)]; ok {
			out[i].Rate = rate
		}
	}
	return out
}

// prepare clears all faults, sets the variant's faults, changes the configuration to the variant's defaults and waits
// until every node has applied them.
func (r *Runner) prepare(ctx context.Context, v Variant) error {
	faults := append([]stand.Fault{{Match: "*", Revive: true}}, v.Faults...)
	for _, f := range faults {
		if err := r.setFault(ctx, f); err != nil {
			return err
		}
	}
	ops := &client.Client{Entries: r.Spec.Entries, Name: r.Spec.Operator, Secret: r.Spec.OperatorSecret}
	var current vers.Config
	if err := ops.Ops(ctx, http.MethodGet, "/v1/ops/config", nil, &current); err != nil {
		return err
	}
	next := vers.Config{Defaults: v.Defaults}
	ch := vers.Change{ID: tier.ChangeID(fmt.Sprintf("experiment-%d-%d", current.Version, time.Now().UnixNano())), Base: current.Version, Reason: "experiment " + v.Name, Edits: []vers.Edit{{Revert: &next}}}
	var res store.ChangeResult
	if err := ops.Ops(ctx, http.MethodPost, "/v1/ops/config", ch, &res); err != nil {
		return err
	}
	path := client.Path("/v1/ops/config/lagging", "version", strconv.FormatUint(uint64(res.Version), 10))
	for {
		var l node.Lagging
		if err := ops.Ops(ctx, http.MethodGet, path, nil, &l); err != nil || len(l.Nodes) == 0 {
			time.Sleep(settleTime)
			return err
		}
		time.Sleep(settleTime / 5)
	}
}

// Print writes a table with a row per run and stream.
func Print(w io.Writer, reps []Report) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "VARIANT\tSERVICE\tCLASS\tSENT\tDONE\tPARTIAL\tNOT RUN\tUNKNOWN\tERRORS\tP50\tP99\tP99.9\tCOVERAGE\tGOODPUT/S\tREFUSED P50\tEXTRA LOAD\tOVER SLOTS\tCPU us/SUB\tWRONG")
	for _, r := range reps {
		for _, s := range r.Streams {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.1f\t%.1f\t%.2f%%\t%d\t%.0f\t%d\n",
				r.Variant, s.Service, s.Class, s.Sent, s.Outcomes["done"], s.Outcomes["partial"], s.Outcomes["not_run"], s.Outcomes["unknown"], s.Errors,
				s.P50Ms, s.P99Ms, s.P999Ms, s.Coverage, s.Goodput, s.RefusedMs, 100*r.ExtraLoad, r.Overrun, r.CPUMicros, r.Violations.Sum())
		}
	}
	return t.Flush()
}

// Plot writes a PNG file with the p99 latency of every second, a line per run and stream.
func Plot(path string, reps []Report) error {
	p, err := secondsPlot(reps, "ms", func(s Second) float64 { return s.P99Ms })
	if err != nil {
		return err
	}
	p.Title.Text = "p99 by second"
	b, err := render(p, "png")
	if err != nil {
		return err
	}
	return errors.WithStack(os.WriteFile(path, b, 0o644))
}
