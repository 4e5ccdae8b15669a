package cmdln

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/trace"
)

func replayCommand(o *options) *cobra.Command {
	var without bool
	cmd := &cobra.Command{
		Use: "replay FILE...", Short: "Replay recorded traces and check their expected outcomes", Args: cobra.MinimumNArgs(1),
		Long:    "Replay traces against the decision logic of this program. With --without, each trace is replayed\nwith the mechanism that it tests disabled, and is expected to fail.",
		Example: "  sassafrasring replay testdata/traces/*.jsonc",
		RunE: func(_ *cobra.Command, args []string) error {
			failed := 0
			for _, path := range args {
				tr, err := trace.Load(path)
				if err != nil {
					return err
				}
				if !o.replay(&tr, without) {
					failed++
				}
			}
			if failed > 0 {
				return errors.Errorf("%d of %d traces failed", failed, len(args))
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&without, "without", false, "disable the mechanism that each trace tests, and expect the trace to fail")
	return cmd
}

// replay replays a trace, prints the result and reports whether it was the expected one.
func (o *options) replay(t *trace.Trace, without bool) bool {
	err := t.Replay(without)
	ok := (err != nil) == without
	result := "as stated"
	if err != nil {
		result = err.Error()
	}
	mode := "with"
	if without {
		mode = "without"
	}
	_, _ = fmt.Fprintf(o.out, "%t  %s (%s) %s %s: %s\n", ok, t.Name, t.Promise, mode, t.Without, result)
	return ok
}
