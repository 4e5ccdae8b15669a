package cmdln

import (
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/edge"
	"sassafrasring.dev/sassafrasring/internal/proc/quota"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/internal/setup"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
	"sassafrasring.dev/sassafrasring/platform"
)

func platformCommand(o *options) *cobra.Command {
	var metrics int
	cmd := &cobra.Command{
		Use: "platform", Short: "Run a node from the platform's settings file", Args: cobra.NoArgs,
		Long: "Run a node with the settings file that the platform writes. SIGTERM or SIGINT drains and stops\nthe node. deploy/system.toml lists the machines that nodes run on.",
		RunE: func(cmd *cobra.Command, _ []string) error { return platform.Run(cmd.Context(), o.out, metrics) },
	}
	cmd.Flags().IntVar(&metrics, "metrics", 0, "port of the metrics endpoint (/metrics); 0 disables it")
	return cmd
}

func edgeCommand(o *options) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "edge", Short: "Run a node that forwards requests according to a routing table", Args: cobra.NoArgs,
		Long:    "Run a node that forwards callers' HTTP requests directly to servers according to the routing\ntable (see routes apply). SIGTERM or SIGINT drains and stops the node.",
		Example: "  sassafrasring edge -c /etc/sassafrasring/edge.jsonc",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := setup.LoadEdge(path)
			if err != nil {
				return err
			}
			level, err := logrus.ParseLevel(s.Log.Level)
			if err != nil {
				return err
			}
			p := &edge.Process{
				Path: path, Load: func() (edge.Settings, error) { return loadEdge(path) }, Names: tier.DefaultHeaders(), Decode: vers.DecodeRoutes,
				Level: level, Out: o.out, Listeners: func(n *edge.Node) []edge.Listener { return n.StandardListeners(s.Callers, s.Control) },
			}
			if s.TLS != (setup.TLS{}) {
				p.Certs = &conn.Certs{CA: s.TLS.CA, Cert: s.TLS.Cert, Key: s.TLS.Key}
			}
			return p.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "settings file (JSON with comments)")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

const (
	percent  = 100
	megabyte = 1 << 20
)

// loadEdge loads an edge settings file and converts it to edge.Settings.
func loadEdge(path string) (edge.Settings, error) {
	s, err := setup.LoadEdge(path)
	if err != nil {
		return edge.Settings{}, err
	}
	return edge.Settings{
		ID: s.ID, Bind: s.Bind, Source: s.Source, Name: s.Name, Zone: s.Zone, Region: s.Region, Callers: s.Callers, Control: s.Control, LinkPort: s.LinkPort, GossipPort: s.GossipPort,
		Seeds: s.Seeds, Bootstrap: s.Bootstrap, Data: s.Data, Tolerance: s.Tolerance, AnnounceInterval: s.AnnounceIntervalMs.Duration(), GracePeriod: s.GraceMs.Duration(),
		AnswerTTL: s.TTLMs.Duration(), Answers: s.Answers.Limits(), HeldBytes: s.Answers.HeldBytes, MemoryBytes: int64(s.Limits.MemoryMB) * megabyte, CallerBytes: int64(s.Limits.CallerMB) * megabyte,
		Revocation: edge.Revocation{Strict: s.Revocation.Strict, Limit: s.Revocation.LimitMs.Duration()},
		Budget:     reqst.Allowance{Ratio: float64(s.Repeats.Percent) / percent, Fixed: float64(s.Repeats.Fixed), Window: s.Repeats.WindowMs.Duration()},
		Limits:     edge.CallerLimits{HeaderBytes: s.Limits.HeaderBytes, BodyBytes: s.Limits.BodyBytes, HeaderTimeout: s.Limits.ReadMs.Duration(), BodyTimeout: s.Limits.BodyMs.Duration(), IdleTimeout: s.Limits.IdleMs.Duration()},
		Quota:      quota.Limits{Window: s.Quota.WindowMs.Duration(), Overage: float64(s.Quota.Percent) / percent, Tolerance: float64(s.Quota.Slack)},
		Cold:       terms.ColdBound{Overage: float64(s.Cold.Percent) / percent, Tolerance: float64(s.Cold.Fixed)},
	}, nil
}

// edgeStatus fetches the status of the first edge node that responds.
func (o *options) edgeStatus() (edge.Status, error) {
	var s edge.Status
	ctx, cancel := o.context()
	defer cancel()
	return s, o.ops(ctx, http.MethodGet, "/v1/ops/status", &s)
}
