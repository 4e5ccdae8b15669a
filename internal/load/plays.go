package load

import (
	"fmt"
	"html/template"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"sassafrasring.dev/sassafrasring/platform"
)

const (
	barWidth = 9 * vg.Millimeter / 2
	// maxPrices is the number of prices with a colour of their own, limited by how many colours are easy to tell
	// apart; all others are summed in one bar.
	maxPrices = 5
	// scoreVerb is the command of plays of the standard days. Only their worth is plotted over successive plays.
	scoreVerb = "score"
	// legendShare is the space for the legend, as a fraction of the number of values on the x axis.
	legendShare = 0.35
)

// playFigures plots, for each site, the worth of the standard days over all plays (oldest first) and the prices of the
// newest play, and adds a table of that play's days. A site without plays of the standard days gets only the table, of
// its newest play.
func playFigures(plays []platform.Play) ([]Figure, error) {
	sort.SliceStable(plays, func(i, j int) bool { return plays[i].At.Before(plays[j].At) })
	bySite := map[string][]platform.Play{}
	var sites []string
	for _, p := range plays {
		if bySite[p.Site] == nil {
			sites = append(sites, p.Site)
		}
		bySite[p.Site] = append(bySite[p.Site], p)
	}
	var out []Figure
	for _, site := range sites {
		list := slices.DeleteFunc(slices.Clone(bySite[site]), func(p platform.Play) bool { return p.Command != scoreVerb })
		if len(list) == 0 {
			out = append(out, dayTable(&bySite[site][len(bySite[site])-1]))
			continue
		}
		worth, err := worthPlot(list)
		if err != nil {
			return nil, err
		}
		last := list[len(list)-1]
		prices, err := pricePlot(&last)
		if err != nil {
			return nil, err
		}
		out = append(out, Figure{Title: site + ": worth by day", SVG: worth}, Figure{Title: site + ": prices of the newest play", SVG: prices}, dayTable(&last))
	}
	return out, nil
}

// worthPlot plots the worth of each day over the plays that contain it.
func worthPlot(plays []platform.Play) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text, p.X.Label.Text = "worth", "play"
	points := map[string]plotter.XYs{}
	var names []string
	for i, play := range plays {
		for _, d := range play.Days {
			if points[d.Name] == nil {
				names = append(names, d.Name)
			}
			points[d.Name] = append(points[d.Name], plotter.XY{X: float64(i + 1), Y: d.Worth})
		}
	}
	if len(plays) > 1 {
		// A day that is in only one play has no line to plot.
		names = slices.DeleteFunc(names, func(name string) bool { return len(points[name]) < 2 })
	}
	for i, name := range names {
		line, dots, err := plotter.NewLinePoints(points[name])
		if err != nil {
			return "", errors.WithStack(err)
		}
		line.Color, dots.Color = plotColor(i), plotColor(i)
		p.Add(line, dots)
		p.Legend.Add(name, line, dots)
	}
	p.X.Max += legendShare * float64(len(plays))
	return renderSVG(p)
}

// pricePlot plots the charges of each day as stacked bars, the prices with the highest total first.
func pricePlot(play *platform.Play) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "taken off the worth"
	var previous *plotter.BarChart
	names := highestPrices(play)
	for i, name := range append(names, "all others") {
		values := make(plotter.Values, len(play.Days))
		for d := range play.Days {
			for _, price := range play.Days[d].Prices {
				if price.Name == name || (i == len(names) && !slices.Contains(names, price.Name)) {
					values[d] += price.Charge
				}
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", errors.WithStack(err)
		}
		bars.Color, bars.LineStyle.Width = plotColor(i), 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	labels := make([]string, len(play.Days))
	for d := range play.Days {
		labels[d] = play.Days[d].Name
	}
	p.NominalX(labels...)
	p.X.Max += legendShare * float64(len(labels))
	return renderSVG(p)
}

// highestPrices returns the names of at most maxPrices prices with the highest total charge in a play, highest first.
func highestPrices(play *platform.Play) []string {
	sum := map[string]float64{}
	for _, d := range play.Days {
		for _, price := range d.Prices {
			sum[price.Name] += price.Charge
		}
	}
	names := make([]string, 0, len(sum))
	for name := range sum {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if sum[names[i]] != sum[names[j]] {
			return sum[names[i]] > sum[names[j]]
		}
		return names[i] < names[j]
	})
	return names[:min(maxPrices, len(names))]
}

func dayTable(play *platform.Play) Figure {
	f := Figure{Title: play.Site + ": " + play.Why + ", " + play.At.Format(time.DateTime), Head: []string{"day", "worth", "served", "prices", "dearest", "broken rules"}}
	for _, d := range play.Days {
		sum := 0.0
		for _, price := range d.Prices {
			sum += price.Charge
		}
		single := platform.Play{Days: []platform.Day{d}}
		top := ""
		if names := highestPrices(&single); len(names) > 0 {
			top = names[0]
		}
		f.Rows = append(f.Rows, []string{d.Name, fmt.Sprintf("%.3f", d.Worth), fmt.Sprintf("%.3f", d.Served), fmt.Sprintf("%.3f", sum), top, strings.Join(d.Broken, ", ")})
	}
	return f
}
