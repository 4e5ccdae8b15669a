package cmdln

import (
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/cert"
)

func certCommand(_ *options) *cobra.Command {
	m := &cert.Issuer{}
	var nodes, ips []string
	cmd := &cobra.Command{
		Use: "cert", Short: "Create node certificates, and a CA if there is none", Args: cobra.NoArgs,
		Example: "  sassafrasring cert --dir tls --node zg-a-1 --node os-a-1 --ip 10.0.0.1",
		RunE: func(*cobra.Command, []string) error {
			if err := m.Open(); err != nil {
				return err
			}
			for _, n := range nodes {
				if err := m.IssueNode(n, ips); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&m.Folder, "dir", ".", "directory of the files ca.pem, ca.key, NODE.pem and NODE.key")
	cmd.Flags().StringArrayVar(&nodes, "node", nil, "name of a node to create a certificate for; may be repeated")
	cmd.Flags().StringArrayVar(&ips, "ip", nil, "IP address to include in the certificates; may be repeated")
	return cmd
}
