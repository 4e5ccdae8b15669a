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
)

// mostLine is the longest log line that is read, in bytes.
const mostLine = 1 << 20

// logLine is one line of a node's log.
type logLine struct {
	file   string
	at     time.Time
	fields map[string]any
}

func traceCommand(o *options) *cobra.Command {
	var around time.Duration
	cmd := &cobra.Command{
		Use: "trace REQUEST-ID [LOG...]", Short: "Tell the story of one request from the logs of nodes", Args: cobra.MinimumNArgs(1),
		Long: "Print every line on a request from the logs given (standard input without any), in order of time, and\n" +
			"what the same nodes came to believe shortly before and after: hosts, servers, routing tables, control.",
		Example: "  sassafrasring trace 9c41d07be2a35f68 /var/log/sassafrasring/*.log",
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			story := storyOf(args[0], lines, around)
			if len(story) == 0 {
				return errors.Errorf("no line on request %q; successes are logged one in 256, failures up to 20 a second and node", args[0])
			}
			return o.show(story, func() error { return o.tell(story) })
		},
	}
	cmd.Flags().DurationVar(&around, "around", 2*time.Second, "how long before and after the request's lines to look for what nodes came to believe")
	return cmd
}

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

// parseLog reads the JSON objects of a log; text before one on its line is kept as the line's origin.
func parseLog(file string, r io.Reader) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, mostLine)
	for s.Scan() {
		before, rest, ok := strings.Cut(s.Text(), "{")
		l := logLine{file: file, fields: map[string]any{}}
		if !ok || json.Unmarshal([]byte("{"+rest), &l.fields) != nil {
			continue
		}
		if before = strings.TrimSpace(before); before != "" {
			l.file = before[strings.LastIndexByte(before, ' ')+1:]
		}
		text, _ := l.fields["time"].(string)
		l.at, _ = time.Parse(time.RFC3339Nano, text)
		out = append(out, l)
	}
	return out, s.Err()
}

// storyOf picks the lines on a request, and those of the same nodes around
// them that are on no request.
func storyOf(id string, lines []logLine, around time.Duration) []logLine {
	var own []logLine
	for _, l := range lines {
		if l.fields["request"] == id {
			own = append(own, l)
		}
	}
	story := append([]logLine(nil), own...)
	for _, l := range lines {
		if _, isRequest := l.fields["request"]; !isRequest && near(l, own, around) {
			story = append(story, l)
		}
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].at.Before(story[j].at) })
	return story
}

func near(l logLine, own []logLine, around time.Duration) bool {
	for _, o := range own {
		if o.file == l.file && l.at.Sub(o.at).Abs() <= around {
			return true
		}
	}
	return false
}

func (o *options) tell(story []logLine) error {
	for _, l := range story {
		var rest []string
		for k, v := range l.fields {
			if k != "time" && k != "msg" && k != "level" && k != "event" && k != "tries" {
				rest = append(rest, fmt.Sprintf("%s=%v", k, v))
			}
		}
		sort.Strings(rest)
		if _, err := fmt.Fprintf(o.out, "%s %s %v %v  %s\n", l.at.Format("15:04:05.000"), l.file, l.fields["event"], l.fields["msg"], strings.Join(rest, " ")); err != nil {
			return err
		}
		tries, _ := l.fields["tries"].([]any)
		for _, t := range tries {
			if _, err := fmt.Fprintf(o.out, "             %v\n", t); err != nil {
				return err
			}
		}
	}
	return nil
}

// MarshalJSON gives the line with its origin.
func (l logLine) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"node": l.file, "line": l.fields})
}
