package cmdln

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// maxLineBytes is the maximum length of a log line; reading a log with a longer one fails.
const maxLineBytes = 1 << 20

// logLine is one parsed line of a node's log; source is the file, or the origin that precedes the JSON object.
type logLine struct {
	source string
	at     time.Time
	fields map[string]any
}

func traceCommand(o *options) *cobra.Command {
	var around time.Duration
	cmd := &cobra.Command{
		Use: "trace REQUEST-ID [LOG...]", Short: "Show the log lines about one request from the logs of several nodes", Args: cobra.MinimumNArgs(1),
		Long: "Print all log lines about a request in order of time, and the lines that the same nodes logged shortly\n" +
			"before and after about hosts, servers, routing tables and control. Without LOG, standard input is read.",
		Example: "  sassafrasring trace 9c41d07be2a35f68 /var/log/sassafrasring/*.log",
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			selected := selectLines(args[0], lines, around)
			if len(selected) == 0 {
				return errors.Errorf("no log line for request %q; a node logs one in 256 successful requests, and up to 20 failed and 20 refused ones per second", args[0])
			}
			return o.show(selected, func() error { return o.printLines(selected) })
		},
	}
	cmd.Flags().DurationVar(&around, "around", 2*time.Second, "how long before and after the request's lines to include lines of the same nodes that belong to no request")
	return cmd
}

// readLogs parses the given log files, or standard input if there are none.
func readLogs(paths []string) ([]logLine, error) {
	if len(paths) == 0 {
		return parseLog("-", os.Stdin)
	}
	var out []logLine
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, err := parseLog(filepath.Base(path), f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		out = append(out, lines...)
	}
	return out, nil
}

// parseLog reads log lines with a JSON object and skips all others. If text precedes the object, its last word,
// such as a host name that a log collector added, replaces source.
func parseLog(source string, r io.Reader) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		prefix, rest, ok := strings.Cut(s.Text(), "{")
		l := logLine{source: source, fields: map[string]any{}}
		if !ok || json.Unmarshal([]byte("{"+rest), &l.fields) != nil {
			continue
		}
		if prefix = strings.TrimSpace(prefix); prefix != "" {
			l.source = prefix[strings.LastIndexByte(prefix, ' ')+1:]
		}
		text, _ := l.fields["time"].(string)
		l.at, _ = time.Parse(time.RFC3339Nano, text)
		out = append(out, l)
	}
	return out, s.Err()
}

// selectLines returns the lines of a request, and the lines of the same nodes that
// belong to no request and were logged within around of one of them, sorted by time.
func selectLines(id string, lines []logLine, around time.Duration) []logLine {
	var requestLines []logLine
	for _, l := range lines {
		if l.fields["request"] == id {
			requestLines = append(requestLines, l)
		}
	}
	selected := append([]logLine(nil), requestLines...)
	for _, l := range lines {
		if _, isRequest := l.fields["request"]; !isRequest && nearAny(l, requestLines, around) {
			selected = append(selected, l)
		}
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].at.Before(selected[j].at) })
	return selected
}

// nearAny reports whether l is from the same source as one of requestLines and at most around apart from it.
func nearAny(l logLine, requestLines []logLine, around time.Duration) bool {
	for _, o := range requestLines {
		if o.source == l.source && l.at.Sub(o.at).Abs() <= around {
			return true
		}
	}
	return false
}

// refusalCauses explains the reasons for which a request is refused before any server is chosen.
var refusalCauses = map[string]string{
	string(tier.ReasonKey):      "the key is missing, sent twice, or not in the routing table in force",
	string(tier.ReasonUnproven): "the node could not prove that its routing table is recent; look for events about control shortly before",
	string(tier.ReasonQuota):    "the tenant's quota was used up on all control hosts",
	string(tier.ReasonNoQuota):  "no control host said in time what is left of the tenant's quota",
}

// printLines prints each line with its event, message and fields, followed by the attempts in "tries" and the cause of an early
// refusal.
func (o *options) printLines(lines []logLine) error {
	for _, l := range lines {
		var rest []string
		for k, v := range l.fields {
			if k != "time" && k != "msg" && k != "level" && k != "event" && k != "tries" {
				rest = append(rest, fmt.Sprintf("%s=%v", k, v))
			}
		}
		sort.Strings(rest)
		if _, err := fmt.Fprintf(o.out, "%s %s %v %v  %s\n", l.at.Format("15:04:05.000"), l.source, l.fields["event"], l.fields["msg"], strings.Join(rest, " ")); err != nil {
			return err
		}
		tries, _ := l.fields["tries"].([]any)
		reason, _ := l.fields["reason"].(string)
		if cause := refusalCauses[reason]; cause != "" {
			tries = append(tries, cause)
		}
		for _, t := range tries {
			if _, err := fmt.Fprintf(o.out, "             %v\n", t); err != nil {
				return err
			}
		}
	}
	return nil
}

// MarshalJSON encodes the line's fields together with its source.
func (l logLine) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"node": l.source, "line": l.fields})
}
