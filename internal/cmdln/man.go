package cmdln

import (
	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

func manCommand(_ *options) *cobra.Command {
	return &cobra.Command{
		Use: "man DIR", Short: "Write the man pages to a directory", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			root := cmd.Root()
			root.DisableAutoGenTag = true
			return doc.GenManTree(root, &doc.GenManHeader{Title: "SASSAFRASRING", Section: "1", Source: "sassafrasring", Date: nil}, args[0])
		},
	}
}
