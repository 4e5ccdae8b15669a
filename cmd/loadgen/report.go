package main

import (
	"bytes"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/load"
)

func reportCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use: "report FILE...", Short: "Make a page with plots of runs or journal entries", Args: cobra.MinimumNArgs(1),
		Long:    "Reads results that run or experiment wrote with --json, and entries of the users' journal, and\nwrites one HTML page: latency and answers by second, worth by day, prices.",
		Example: "  loadgen report run.json -o run.html\n  loadgen report journal/*.json -o worth.html",
		RunE: func(_ *cobra.Command, args []string) error {
			page, err := load.ReadPage(args)
			if err != nil {
				return err
			}
			var b bytes.Buffer
			if err := page.Write(&b); err != nil {
				return err
			}
			return errors.WithStack(os.WriteFile(out, b.Bytes(), 0o644))
		},
	}
	cmd.Flags().StringVarP(&out, "out", "o", "report.html", "file for the page")
	return cmd
}
