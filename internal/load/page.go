package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"sassafrasring.dev/sassafrasring/pkg/tier"
	"sassafrasring.dev/sassafrasring/platform"
)

// Page is an HTML report of plots and tables.
type Page struct {
	Title   string
	Figures []Figure
}

// Figure is a plot, or a table if Rows is set.
type Figure struct {
	Title string
	SVG   template.HTML
	Head  []string
	Rows  [][]string
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:left}svg{max-width:100%;height:auto}</style>
<h1>{{.Title}}</h1>
{{range .Figures}}<h2>{{.Title}}</h2>
{{.SVG}}{{if .Rows}}<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>{{end}}
{{end}}</html>
`))

// Write writes the page as a self-contained HTML file.
func (p *Page) Write(w io.Writer) error { return errors.WithStack(pageTemplate.Execute(w, p)) }

// ReadPage builds a page from files, each of which holds either results of the load tool (a JSON array) or a journal
// entry of the platform's plays.
func ReadPage(paths []string) (Page, error) {
	page := Page{Title: "Report"}
	var plays []platform.Play
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return page, tier.At("read results", path, err)
		}
		if !bytes.HasPrefix(bytes.TrimSpace(b), []byte("[")) {
			play, err := platform.DecodePlay(b)
			if err != nil {
				return page, tier.At("decode journal entry", path, err)
			}
			if len(play.Days) > 0 {
				plays = append(plays, play)
			}
			continue
		}
		var reps []Report
		if err := json.Unmarshal(b, &reps); err != nil {
			return page, tier.At("decode results", path, err)
		}
		figs, err := runFigures(path, reps)
		if err != nil {
			return page, err
		}
		page.Figures = append(page.Figures, figs...)
	}
	figs, err := playFigures(plays)
	page.Figures = append(page.Figures, figs...)
	return page, err
}

// runFigures plots the p99 latency and the complete answers of each second and adds a table of the streams.
func runFigures(path string, reps []Report) ([]Figure, error) {
	latency, err := perSecondSVG(reps, "ms", func(s Second) float64 { return s.P99Ms })
	if err != nil {
		return nil, err
	}
	done, err := perSecondSVG(reps, "whole answers in a second", func(s Second) float64 { return float64(s.Done) })
	if err != nil {
		return nil, err
	}
	table := Figure{Title: "Streams", Head: []string{"run", "stream", "class", "sent", "done", "errors", "p50 ms", "p99 ms", "coverage", "extra load", "wrong"}}
	for _, r := range reps {
		for _, s := range r.Streams {
			table.Rows = append(table.Rows, []string{
				r.Variant, string(s.Service), string(s.Class), fmt.Sprint(s.Sent), fmt.Sprint(s.Outcomes[string(tier.Done)]), fmt.Sprint(s.Errors),
				fmt.Sprintf("%.1f", s.P50Ms), fmt.Sprintf("%.1f", s.P99Ms), fmt.Sprintf("%.4f", s.Coverage), fmt.Sprintf("%.2f%%", 100*r.ExtraLoad), fmt.Sprint(r.Violations.Sum()),
			})
		}
	}
	return []Figure{{Title: path + ": p99 by second", SVG: latency}, {Title: path + ": whole answers by second", SVG: done}, table}, nil
}

// perSecondSVG renders a plot of one value per second, a line per run and stream, as SVG.
func perSecondSVG(reps []Report, unit string, value func(Second) float64) (template.HTML, error) {
	p, err := secondsPlot(reps, unit, value)
	if err != nil {
		return "", err
	}
	return renderSVG(p)
}

func secondsPlot(reps []Report, unit string, value func(Second) float64) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", unit
	n := 0
	for _, r := range reps {
		for _, s := range r.Streams {
			pts := make(plotter.XYs, max(0, len(s.PerSecond)-1))
			for j := range pts {
				pts[j].X, pts[j].Y = float64(j), value(s.PerSecond[j])
			}
			line, err := plotter.NewLine(pts)
			if err != nil {
				return nil, errors.WithStack(err)
			}
			line.Color = plotColor(n)
			p.Add(line)
			p.Legend.Add(strings.TrimSpace(r.Variant+" "+string(s.Service)+" "+string(s.Class)), line)
			n++
		}
	}
	return p, nil
}

// render encodes a plot in a format that the plotting library supports, such as "png" or "svg".
func render(p *plot.Plot, format string) ([]byte, error) {
	c, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var b bytes.Buffer
	_, err = c.WriteTo(&b)
	return b.Bytes(), errors.WithStack(err)
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	b, err := render(p, "svg")
	if err != nil {
		return "", err
	}
	// Safe as HTML: the plotting library escapes texts. The XML header is cut off because HTML does not allow it here.
	return template.HTML(b[max(0, bytes.Index(b, []byte("<svg"))):]), nil //nolint:gosec // as above
}
