package cmdln

import (
	"fmt"
	"net/http"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/node"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/client"
)

// callOps calls the operators' API within the command's --timeout and decodes the response into out.
func (o *options) callOps(method, path string, out any) error {
	ctx, cancel := o.context()
	defer cancel()
	return o.ops(ctx, method, path, out, http.StatusOK, http.StatusNoContent)
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the status of the first entry that answers", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var s node.Status
			if err := o.callOps(http.MethodGet, "/v1/ops/status", &s); err != nil {
				return err
			}
			return o.show(s, func() error { return o.printStatus(s) })
		},
	}
}

func (o *options) printStatus(s node.Status) error {
	_, _ = fmt.Fprintf(o.out, "node %s  zone %s  version %s  ready %t  draining %t  control lease %t  leader %s\n", s.Node, s.Zone, s.Version, s.Ready, s.Draining, s.Leased, s.Leader)
	_, _ = fmt.Fprintf(o.out, "configuration %d  membership %d/%d  nodes %d  servers %d  owned %d  links %d  open requests %d\n\n",
		s.Config, s.Stamp.Epoch, s.Stamp.Seq, s.Nodes, s.Servers, s.Owned, s.Links, s.Open)
	t := o.table("KIND", "NAME", "COUNT", "P50 MS", "P99 MS", "P99.9 MS", "MAX MS")
	for _, l := range s.Latency {
		t.row(l.Kind, l.Label, l.Summary.Count, l.Summary.P50Ms, l.Summary.P99Ms, l.Summary.P999Ms, l.Summary.MaxMs)
	}
	return t.flush()
}

func nodeCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "node", Short: "List and drain nodes"}
	list := &cobra.Command{
		Use: "list", Short: "List the live nodes", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var l []roster.Node
			if err := o.callOps(http.MethodGet, "/v1/ops/nodes", &l); err != nil {
				return err
			}
			return o.show(l, func() error {
				t := o.table("NODE", "ZONE", "CALLERS", "PEERS", "CONTROL", "DRAINING")
				for _, n := range l {
					t.row(n.ID, n.Zone, n.Address, n.Peer, n.Control, n.Draining)
				}
				return t.flush()
			})
		},
	}
	cmd.AddCommand(list, drainCommand(o, vers.ScopeNode), undrainCommand(o, vers.ScopeNode))
	return cmd
}

func serverCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "server", Short: "List and drain servers"}
	list := &cobra.Command{
		Use: "list", Short: "List the live servers with their owners", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var l []node.ServerRow
			if err := o.callOps(http.MethodGet, "/v1/ops/servers", &l); err != nil {
				return err
			}
			return o.show(l, func() error {
				t := o.table("SERVER", "SERVICE", "ZONE", "ADDRESS", "SLOTS", "CONNECTIONS", "HOLDINGS", "DRAINING", "OWNER")
				for _, s := range l {
					t.row(s.Server, s.Service, s.Zone, s.Address, s.Slots, s.Conns, holdings(s), s.Draining, s.Owner)
				}
				return t.flush()
			})
		},
	}
	cmd.AddCommand(list, drainCommand(o, vers.ScopeServer), undrainCommand(o, vers.ScopeServer))
	return cmd
}

// holdings formats the shards that a server holds as version:shard/shards.
func holdings(s node.ServerRow) string {
	text := ""
	for _, h := range s.Holdings {
		text += fmt.Sprintf("v%d:%d/%d ", h.Snapshot.Version, h.Shard, h.Snapshot.Shards)
	}
	return text
}

func drainCommand(o *options, kind vers.ScopeKind) *cobra.Command {
	var f changeFlags
	cmd := &cobra.Command{
		Use: "drain NAME", Short: "Drain a " + string(kind) + ": stop sending new requests to it; a reason is required", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s := vers.Scope{Kind: kind, Name: args[0]}
			e := vers.Exception{ID: drainID(s), Key: vers.KeyDrain, Value: 1, Scope: s, Reason: f.reason}
			return o.change(&f, []vers.Edit{{Add: &e}})
		},
	}
	f.add(cmd, true)
	return cmd
}

// drainID returns the ID of the exception that drains a scope; undrain removes it by this ID.
func drainID(s vers.Scope) string { return "drain/" + string(s.Kind) + ":" + s.Name }

func undrainCommand(o *options, kind vers.ScopeKind) *cobra.Command {
	var f changeFlags
	cmd := &cobra.Command{
		Use: "undrain NAME", Short: "Return a drained " + string(kind) + " to service", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return o.change(&f, []vers.Edit{{Remove: drainID(vers.Scope{Kind: kind, Name: args[0]})}})
		},
	}
	f.add(cmd, true)
	return cmd
}

func controlCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "control", Short: "Show and change the control group"}
	show := &cobra.Command{
		Use: "show", Short: "Show the leader, the members and their replication lag", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var s node.ControlStatus
			if err := o.callOps(http.MethodGet, "/v1/ops/control", &s); err != nil {
				return err
			}
			return o.show(s, func() error {
				_, _ = fmt.Fprintf(o.out, "leader %s  term %d  last entry %d  applied %d\n\n", s.Leader, s.Term, s.Last, s.Applied)
				t := o.table("REPLICA", "ROLE", "LAG")
				for _, id := range s.Members.All() {
					role := "voter"
					if s.Members.IsLearner(id) {
						role = "learner"
					}
					t.row(id, role, s.Lag[string(id)])
				}
				return t.flush()
			})
		},
	}
	cmd.AddCommand(show, controlMember(o, "add", "Add a node's control host, first as a learner"),
		controlMember(o, "remove", "Remove a node's control host"), controlTransfer(o), controlBackup(o), controlRestore(o))
	return cmd
}

func controlMember(o *options, operation, short string) *cobra.Command {
	return &cobra.Command{
		Use: operation + " NODE", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return o.callOps(http.MethodPost, client.Path("/v1/ops/control/"+operation, "node", args[0]), nil)
		},
	}
}

func controlTransfer(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "hand", Short: "Transfer leadership to another control host", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return o.callOps(http.MethodPost, "/v1/ops/control/hand", nil)
		},
	}
}

func controlBackup(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "backup FILE", Short: "Write a backup of the control state", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var b []byte
			if err := o.callOps(http.MethodGet, "/v1/ops/backup", &b); err != nil {
				return err
			}
			if err := os.WriteFile(args[0], b, 0o600); err != nil {
				return err
			}
			_, err := fmt.Fprintf(o.out, "%d bytes\n", len(b))
			return err
		},
	}
}

func suspectCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "suspect", Short: "List and clear requests suspected of crashing servers"}
	list := &cobra.Command{
		Use: "list", Short: "List suspected and quarantined requests", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var l []store.Suspect
			if err := o.callOps(http.MethodGet, "/v1/ops/suspects", &l); err != nil {
				return err
			}
			return o.show(l, func() error {
				t := o.table("FINGERPRINT", "SERVICE", "DEATHS", "ALONE", "QUARANTINED", "UNTIL MS")
				for _, s := range l {
					t.row(uint64(s.Fingerprint), s.Service, s.Deaths, s.Alone, s.Quarantined, s.UntilMs)
				}
				return t.flush()
			})
		},
	}
	clearCmd := &cobra.Command{
		Use: "clear FINGERPRINT|all", Short: "Clear the suspicion or quarantine of one request, or of all", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := strconv.ParseUint(args[0], 10, 64); err != nil && args[0] != "all" {
				return withExitCode(ExitUsage, err)
			}
			return o.callOps(http.MethodDelete, "/v1/ops/suspects/"+args[0], nil)
		},
	}
	cmd.AddCommand(list, clearCmd)
	return cmd
}
