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
		Use: "replay FILE...", Short: "Replay recorded traces against their stated outcomes", Args: cobra.MinimumNArgs(1),
		Long:    "Replays traces on the decision logic of this program. With --without each trace is replayed\nwith its mechanism switched off, and is expected to fail.",
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
	cmd.Flags().BoolVar(&without, "without", false, "switch each trace's mechanism off and expect it to fail")
	return cmd
}

// replay prints and returns whether a trace had its expected result.
func (o *options) replay(t *trace.Trace, without bool) bool {
	err := t.Replay(without)
	ok := (err != nil) == without
	verdict := "as stated"
	if err != nil {
		verdict = err.Error()
	}
	how := "with"
	if without {
		how = "without"
	}
	_, _ = fmt.Fprintf(o.out, "%t  %s (%s) %s %s: %s\n", ok, t.Name, t.Promise, how, t.Without, verdict)
	return ok
}
