package cmdln

import (
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/platform"
)

func platformCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "platform", Short: "Run a node on the users' machines", Args: cobra.NoArgs,
		Long: "Run a node by the settings file that the platform writes, until SIGTERM or SIGINT has\nstopped it. deploy/system.toml says where the nodes run.",
		RunE: func(cmd *cobra.Command, _ []string) error { return platform.Run(cmd.Context(), o.out) },
	}
}
