package cmdln

import (
	"context"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/node"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/setup"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// logTimeFormat is the RFC 3339 layout with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func serveCommand(o *options) *cobra.Command {
	var path, profile string
	cmd := &cobra.Command{
		Use: "serve", Short: "Run a node", Args: cobra.NoArgs,
		Long:    "Run a node until SIGTERM or SIGINT. The signal drains the node: it keeps serving while callers may\nstill use its address, finishes the requests in flight and exits with code 0.",
		Example: "  sassafrasring serve -c /etc/sassafrasring/node.jsonc",
		RunE: func(*cobra.Command, []string) error {
			s, err := setup.Load(path)
			if err != nil {
				return err
			}
			stop, err := startCPUProfile(profile)
			if err != nil {
				return err
			}
			defer stop()
			return serve(s, o)
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "settings file (JSON with comments)")
	cmd.Flags().StringVar(&profile, "cpuprofile", "", "file to write a CPU profile of the whole run to")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// startCPUProfile starts a CPU profile that is written to path; an empty path disables profiling.
func startCPUProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

func serve(s setup.Settings, o *options) error {
	log, err := newLog(s.Log, o)
	if err != nil {
		return err
	}
	n := &node.Node{Settings: s, Log: log, Clock: tier.NewClock(), Stats: stats.NewRegistry()}
	n.Build()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case sig := <-signals:
			n.Drain(sig.String())
		case <-ended:
		}
	}()
	return n.Run(context.Background())
}

func newLog(l setup.Log, o *options) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(o.errs)
	level, err := logrus.ParseLevel(l.Level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{TimestampFormat: logTimeFormat, FullTimestamp: true})
	if l.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
	}
	return log, nil
}
