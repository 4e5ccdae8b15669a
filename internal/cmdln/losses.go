package cmdln

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// maxLossCauses and maxLossServers bound the causes and servers that are printed for one row.
	maxLossCauses  = 4
	maxLossServers = 3
	// causeSlow is the cause of a sub-request that was answered, but much later than usual.
	causeSlow = "slow"
	// causeUnknown is the cause of a sub-request whose text cannot be read.
	causeUnknown = "unknown"
)

// Results of requests in the table of losses.
const (
	resultFailed  = "failed"
	resultRefused = "refused"
	resultLate    = "late"
	resultPartial = "partial"
)

// loss summarizes the requests of one route that were lost in the same way in the same window of time.
type loss struct {
	From     time.Time      `json:"from"`
	Route    string         `json:"route"`
	Result   string         `json:"result"`
	Requests int            `json:"requests"`
	Missing  int            `json:"missing"`
	Causes   map[string]int `json:"causes"`
	Servers  map[string]int `json:"servers"`
}

func lossesCommand(o *options) *cobra.Command {
	var window time.Duration
	var tenant string
	cmd := &cobra.Command{
		Use: "losses [LOG...]", Short: "Summarize where requests were lost, from the logs of many nodes",
		Long: "Print, for each route, how many requests failed, were refused or late, or lacked parts, and why the\n" +
			"sub-requests behind them did not count. Nodes log all failed and late requests, up to 20 per second\n" +
			"each, as many that are refused before a server is chosen, and one in 256 others; partial answers are\n" +
			"counted among these samples only. Without LOG, standard input is read.",
		Example: "  sassafrasring losses /var/log/sassafrasring/*.log\n  sassafrasring losses --window 2s /var/log/sassafrasring/*.log\n  sassafrasring losses --tenant acme /var/log/sassafrasring/*.log",
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readLogs(args)
			if err != nil {
				return err
			}
			if tenant != "" {
				lines = slices.DeleteFunc(lines, func(l logLine) bool { return l.fields["tenant"] != tenant })
			}
			list := summarizeLosses(lines, window)
			return o.show(list, func() error { return o.printLosses(list, window > 0) })
		},
	}
	cmd.Flags().DurationVar(&window, "window", 0, "length of the windows of time to list separately; 0 lists all of the time together")
	cmd.Flags().StringVar(&tenant, "tenant", "", "only requests of this tenant")
	return cmd
}

// summarizeLosses groups the lost requests by window, route and result.
func summarizeLosses(lines []logLine, window time.Duration) []*loss {
	type key struct {
		from          time.Time
		route, result string
	}
	groups := map[key]*loss{}
	for _, l := range lines {
		route, ok := l.fields["route"].(string)
		result := requestResult(l)
		if !ok || result == "" {
			continue
		}
		k := key{route: route, result: result}
		if window > 0 {
			k.from = l.at.Truncate(window)
		}
		g := groups[k]
		if g == nil {
			g = &loss{From: k.from, Route: route, Result: result, Causes: map[string]int{}, Servers: map[string]int{}}
			groups[k] = g
		}
		g.add(l)
	}
	out := make([]*loss, 0, len(groups))
	for _, g := range groups {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		switch {
		case !a.From.Equal(b.From):
			return a.From.Before(b.From)
		case a.Route != b.Route:
			return a.Route < b.Route
		}
		return a.Result < b.Result
	})
	return out
}

// requestResult returns how the request of a line was lost, or "" if it was not or the line is about
// something else.
func requestResult(l logLine) string {
	status, ok := l.fields["status"].(float64)
	if _, request := l.fields["request"]; !ok || !request {
		return ""
	}
	late, _ := l.fields["late"].(bool)
	missing, _ := l.fields["missing"].(float64)
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusUnauthorized && l.fields["reason"] == string(tier.ReasonKey):
		return resultRefused
	case status >= http.StatusInternalServerError:
		return resultFailed
	case late:
		return resultLate
	case missing > 0:
		return resultPartial
	}
	return ""
}

func (g *loss) add(l logLine) {
	g.Requests++
	missing, _ := l.fields["missing"].(float64)
	g.Missing += int(missing)
	tries, _ := l.fields["tries"].([]any)
	for _, t := range tries {
		text, _ := t.(string)
		server, cause := parseTry(text)
		g.Causes[cause]++
		if server != "" {
			g.Servers[server]++
		}
	}
	if reason, _ := l.fields["reason"].(string); len(tries) == 0 && reason != "" {
		g.Causes[reason]++
	}
}

// parseTry returns the server and the cause of a logged sub-request: "SHARD SERVER +1ms for 2ms CAUSE",
// with "conn=..." and "hedge" before the cause where they apply.
func parseTry(text string) (server, cause string) {
	const fields = 5
	f := slices.DeleteFunc(strings.Fields(text), func(s string) bool { return strings.HasPrefix(s, "conn=") })
	if len(f) < fields {
		return "", causeUnknown
	}
	cause = causeSlow
	if last := f[len(f)-1]; len(f) > fields && last != "hedge" {
		cause = last
	}
	return f[1], cause
}

func (o *options) printLosses(list []*loss, windows bool) error {
	header := []any{"ROUTE", "RESULT", "REQUESTS", "MISSING", "CAUSES", "SERVERS"}
	if windows {
		header = append([]any{"FROM"}, header...)
	}
	t := o.table(header...)
	for _, g := range list {
		row := []any{g.Route, g.Result, g.Requests, g.Missing, shares(g.Causes, maxLossCauses), shares(g.Servers, maxLossServers)}
		if windows {
			row = append([]any{g.From.Format("15:04:05.000")}, row...)
		}
		t.row(row...)
	}
	return t.flush()
}

// shares returns the most frequent keys with their share of all, in percent.
func shares(counts map[string]int, limit int) string {
	keys := make([]string, 0, len(counts))
	sum := 0
	for k, n := range counts {
		keys = append(keys, k)
		sum += n
	}
	sort.Slice(keys, func(i, j int) bool {
		if counts[keys[i]] != counts[keys[j]] {
			return counts[keys[i]] > counts[keys[j]]
		}
		return keys[i] < keys[j]
	})
	out := make([]string, 0, limit)
	for _, k := range keys[:min(limit, len(keys))] {
		out = append(out, fmt.Sprintf("%s %d%%", k, (100*counts[k]+sum/2)/sum))
	}
	return strings.Join(out, ", ")
}
