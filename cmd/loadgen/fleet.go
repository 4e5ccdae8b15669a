package main

import (
	"encoding/json"
	"os"
	"runtime/pprof"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/load"
	"sassafrasring.dev/sassafrasring/internal/setup"
)

// fleetCommand measures one fleet size per process, so that the memory of another size does not add to its figures.
func fleetCommand() *cobra.Command {
	f := &load.Fleet{}
	var settings, out, profile string
	cmd := &cobra.Command{
		Use: "fleet", Short: "Measure the control plane with many nodes in this process", Args: cobra.NoArgs,
		Long: "Starts nodes in this process that follow the control hosts of a settings file, and measures bytes,\nprocessor time, memory and the time until a change is in force on all of them.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := setup.Load(settings)
			if err != nil {
				return err
			}
			f.Control = s.Control
			if profile != "" {
				p, err := os.Create(profile)
				if err != nil {
					return err
				}
				defer func() { _ = p.Close() }()
				if err := pprof.StartCPUProfile(p); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			rep, err := f.Run(cmd.Context())
			if err != nil {
				return err
			}
			if err := load.PrintFleet(os.Stdout, []load.FleetReport{rep}); err != nil {
				return err
			}
			b, err := json.Marshal(rep)
			if err != nil || out == "" {
				return err
			}
			return errors.WithStack(os.WriteFile(out, b, 0o644))
		},
	}
	fl := cmd.Flags()
	fl.StringVarP(&settings, "config", "c", "", "settings file of a control host")
	fl.StringVar(&f.Certs, "certs", "", "directory that contains ca.pem and ca.key")
	fl.StringSliceVar(&f.Entries, "entries", nil, "HTTP addresses of the control hosts")
	fl.StringVar(&f.Operator, "user", "ops", "operator account")
	fl.StringVar(&f.Secret, "secret", "", "secret of the operator account")
	fl.IntSliceVar(&f.Pids, "pids", nil, "process IDs of the control hosts")
	fl.IntVar(&f.Nodes, "nodes", 100, "number of nodes")
	fl.IntVar(&f.Servers, "servers", 500, "number of servers")
	fl.IntVar(&f.Zones, "zones", 19, "number of zones")
	fl.IntVar(&f.Changes, "changes", 10, "number of configuration changes to time")
	fl.DurationVar(&f.Idle, "idle", 10*time.Second, "duration of the measurement of the idle fleet")
	fl.StringVar(&profile, "cpuprofile", "", "file for a CPU profile of this process")
	fl.StringVar(&out, "json", "", "file for the result as JSON")
	return cmd
}
