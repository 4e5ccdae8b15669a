// Loadgen generates load, runs experiments, and measures how the cost of the control plane grows with the fleet.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/load"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return root().ExecuteContext(ctx)
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "loadgen", Short: "Generate load on entries and measure the results", SilenceErrors: true, SilenceUsage: true}
	cmd.AddCommand(runCommand(), experimentCommand(), fleetCommand(), reportCommand())
	return cmd
}

// runOptions holds the paths of the load specification and of the result files.
type runOptions struct {
	spec, json, plot string
}

func (o *runOptions) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.spec, "config", "c", "", "load specification (JSON with comments)")
	cmd.Flags().StringVar(&o.json, "json", "", "file for the results as JSON")
	cmd.Flags().StringVar(&o.plot, "plot", "", "file for a plot (PNG)")
	_ = cmd.MarkFlagRequired("config")
}

func (o *runOptions) write(reps []load.Report) error {
	if err := load.Print(os.Stdout, reps); err != nil {
		return err
	}
	if o.json != "" {
		b, err := json.MarshalIndent(reps, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.json, b, 0o644); err != nil {
			return err
		}
	}
	if o.plot != "" {
		if err := load.Plot(o.plot, reps); err != nil {
			return err
		}
	}
	for _, r := range reps {
		if r.Violations.Sum() > 0 {
			return errors.Errorf("wrong answers: %+v", r.Violations)
		}
	}
	return nil
}

func runCommand() *cobra.Command {
	var o runOptions
	cmd := &cobra.Command{
		Use: "run", Short: "Run one load", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := load.ReadSpec(o.spec)
			if err != nil {
				return err
			}
			rep, err := (&load.Runner{Spec: s}).Run(cmd.Context())
			if err != nil {
				return err
			}
			return o.write([]load.Report{rep})
		},
	}
	o.addFlags(cmd)
	return cmd
}

func experimentCommand() *cobra.Command {
	var o runOptions
	cmd := &cobra.Command{
		Use: "experiment", Short: "Run the specified variants, interleaved and with the same seeds", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := load.ReadSpec(o.spec)
			if err != nil {
				return err
			}
			reps, err := (&load.Runner{Spec: s}).Experiment(cmd.Context())
			if err != nil {
				return err
			}
			return o.write(reps)
		},
	}
	o.addFlags(cmd)
	return cmd
}
