package cmdln

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/setup"
)

func settingsCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Validate and print settings files, and describe their keys"}
	cmd.AddCommand(settingsCheck(o), settingsShow(o), settingsSchema(o))
	return cmd
}

func settingsCheck(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Validate settings files and report all problems", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var all setup.Problems
			for _, path := range args {
				_, err := setup.Load(path)
				var p setup.Problems
				if errors.As(err, &p) {
					all = append(all, p...)
				} else if err != nil {
					return err
				}
			}
			if len(all) > 0 {
				return all
			}
			_, err := fmt.Fprintf(o.out, "%d file(s) valid\n", len(args))
			return err
		},
	}
}

func settingsShow(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "show FILE", Short: "Print the settings of a file, with defaults for missing keys", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := setup.Load(args[0])
			if err != nil {
				return err
			}
			return o.printJSON(s)
		},
	}
}

func settingsSchema(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "schema", Short: "Print every key with its type, unit, default and meaning (-o table, json or markdown)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			switch o.output {
			case "json":
				return o.printJSON(setup.Schema())
			case "markdown":
				_, err := io.WriteString(o.out, setup.Markdown())
				return err
			}
			t := o.table("KEY", "TYPE", "UNIT", "DEFAULT", "ALLOWED", "MEANING")
			for _, r := range setup.Schema() {
				t.row(r.Key, r.Type, r.Unit, r.Default, r.Allowed, r.Doc)
			}
			return t.flush()
		},
	}
}
