package cmdln

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/proc/ctrl"
	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/setup"
)

func controlRestore(o *options) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "restore FILE", Short: "Create a new control group from a backup, in the empty data directory of this host", Args: cobra.ExactArgs(1),
		Long:    "Create a new control group from a backup. All former control hosts must be stopped permanently and\ntheir data directories emptied. Start this host first, and add the others with control add.",
		Example: "  sassafrasring control restore -c /etc/sassafrasring/node.jsonc state.backup",
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := setup.Load(path)
			if err != nil {
				return err
			}
			if !s.HasRole(setup.RoleControl) {
				return withExitCode(ExitUsage, errors.Errorf("--config %s: node %s has no control role", path, s.Node))
			}
			b, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			id, version, err := ctrl.Restore(&disk.Folder{Path: s.Data, Node: s.Node}, b, time.Now())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(o.out, "replica %s is the only voter of a new control group; configuration %d\n", id, version)
			return err
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "settings file of this host (JSON with comments)")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}
