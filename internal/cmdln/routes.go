package cmdln

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/edge"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/client"
)

func routesCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "routes", Short: "Show and change the routing table of edge nodes (set --entries to their control addresses)"}
	cmd.AddCommand(routesApply(o), routesShow(o), routesHistory(o), routesDiff(o), routesStatus(o))
	return cmd
}

func routesApply(o *options) *cobra.Command {
	var reason, author string
	cmd := &cobra.Command{
		Use: "apply FILE", Short: "Apply a routing table", Args: cobra.ExactArgs(1),
		Long:    "Send a routing table to the nodes until one accepts or refuses it. The table with the highest version\nis in force; sending a table again, or an older one, changes nothing. Exit code 4: a higher version is\nin force.",
		Example: "  sassafrasring routes apply routes.jsonc --reason 'second index'",
		RunE: func(_ *cobra.Command, args []string) error {
			doc, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			t, err := vers.DecodeRoutes(doc)
			if err == nil {
				err = t.Check()
			}
			if err != nil {
				return withExitCode(ExitUsage, errors.Wrap(err, args[0]))
			}
			var reply struct {
				Version vers.RoutesVersion `json:"version"`
			}
			ctx, cancel := o.context()
			defer cancel()
			if err := o.putDocument(ctx, client.Path("/v1/ops/routes", "author", author, "reason", reason), doc, &reply); err != nil {
				return err
			}
			if reply.Version != t.Version {
				return withExitCode(ExitConflict, errors.Errorf("routing table not applied: version %d is in force, which is higher than %d", reply.Version, t.Version))
			}
			_, err = fmt.Fprintf(o.out, "version %d is accepted\n", reply.Version)
			return err
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "reason for the change, kept in the history")
	cmd.Flags().StringVar(&author, "author", os.Getenv("SASSAFRASRING_USER"), "author of the change, kept in the history")
	return cmd
}

// putDocument sends a document unmodified in a PUT request.
func (o *options) putDocument(ctx context.Context, path string, doc []byte, out any) error {
	c, err := o.client()
	if err != nil {
		return err
	}
	return c.Ops(ctx, http.MethodPut, path, client.Raw(doc), out)
}

func routesShow(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "show", Short: "Print the latest accepted routing table, as submitted", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var doc []byte
			ctx, cancel := o.context()
			defer cancel()
			if err := o.ops(ctx, http.MethodGet, "/v1/ops/routes", &doc); err != nil {
				return err
			}
			_, err := o.out.Write(append(doc, '\n'))
			return err
		},
	}
}

func (o *options) fetchRoutesHistory() ([]edge.RoutesRevision, error) {
	var list []edge.RoutesRevision
	ctx, cancel := o.context()
	defer cancel()
	return list, o.ops(ctx, http.MethodGet, "/v1/ops/routes/history", &list)
}

func routesHistory(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "List the latest versions with their authors and reasons", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			list, err := o.fetchRoutesHistory()
			if err != nil {
				return err
			}
			return o.show(list, func() error {
				t := o.table("VERSION", "AT", "AUTHOR", "BYTES", "REASON")
				for _, p := range list {
					t.row(p.Version, time.UnixMilli(p.AtMs).UTC().Format(time.RFC3339), p.Author, len(p.Document), p.Reason)
				}
				return t.flush()
			})
		},
	}
}

func routesDiff(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "diff [FROM [TO]]", Short: "Show the changes between two versions, by default the last two", Args: cobra.MaximumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			list, err := o.fetchRoutesHistory()
			if err != nil {
				return err
			}
			from, to, err := chooseVersions(list, args)
			if err != nil {
				return withExitCode(ExitUsage, err)
			}
			_, err = fmt.Fprint(o.out, diffLines(from.Document, to.Document))
			return err
		},
	}
}

// chooseVersions selects the tables to compare; the defaults are the last two in the history.
func chooseVersions(list []edge.RoutesRevision, args []string) (from, to edge.RoutesRevision, err error) {
	if len(list) == 0 {
		return from, to, errors.New("there is no routing table yet")
	}
	to = list[len(list)-1]
	if len(list) > 1 {
		from = list[len(list)-2]
	}
	for i, arg := range args {
		v, err := strconv.ParseUint(arg, 10, 64)
		if err != nil {
			return from, to, errors.Errorf("%q is not a version number", arg)
		}
		found := false
		for _, p := range list {
			if p.Version != vers.RoutesVersion(v) {
				continue
			}
			found = true
			if i == 0 {
				from = p
			} else {
				to = p
			}
		}
		if !found {
			return from, to, errors.Errorf("version %d is not in the routing table history", v)
		}
	}
	return from, to, nil
}

// diffLines returns a line diff of two texts, without the common lines, from their longest common subsequence.
func diffLines(from, to string) string {
	a, b := strings.Split(from, "\n"), strings.Split(to, "\n")
	// common[i][j] is the length of the longest common subsequence of a[i:] and b[j:].
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var out strings.Builder
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

func routesStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show an edge node's view: hosts, servers, control group, version in force", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := o.edgeStatus()
			if err != nil {
				return err
			}
			return o.show(s, func() error { return o.printEdgeStatus(&s) })
		},
	}
}

func (o *options) printEdgeStatus(s *edge.Status) error {
	_, _ = fmt.Fprintf(o.out, "node %s (%s): ready %v, stopping %v, open requests %d, routing table %d\n", s.Node, s.Name, s.Ready, s.Stopping, s.Open, s.Routes)
	if s.Control != nil {
		_, _ = fmt.Fprintf(o.out, "control group: leader %s, term %d, voters %v, learners %v\n", s.Control.Leader, s.Control.Term, s.Control.Members.Voters, s.Control.Members.Learners)
	} else {
		_, _ = fmt.Fprintf(o.out, "control group: no leader reached: %s\n", s.Problem)
	}
	if s.Proof != nil {
		_, _ = fmt.Fprintf(o.out, "currency proof: held %v for %d ms, table %d, strict %v\n", s.Proof.Held, s.Proof.LeftMs, s.Proof.Version, s.Proof.Strict)
	}
	if s.Quota != nil {
		_, _ = fmt.Fprintf(o.out, "quotas: grants a share %v, tokens held %d\n", s.Quota.Granting, s.Quota.Tokens)
	}
	for service, share := range s.Admitted {
		_, _ = fmt.Fprintf(o.out, "searches of %s: %.0f%% of the most urgent admitted\n", service, share*percent)
	}
	if len(s.Evacuations.Zones) > 0 {
		_, _ = fmt.Fprintf(o.out, "evacuated zones: %v\n", s.Evacuations.Zones)
	}
	t := o.table("\nHOST", "STATE", "ZONE", "READY", "USED", "REPLICA")
	for _, h := range s.Hosts {
		t.row(h.ID, [...]string{"up", "leaving", "down"}[h.State], h.Zone, h.Ready, h.Active, h.Replica)
	}
	if err := t.flush(); err != nil {
		return err
	}
	t = o.table("\nSERVER", "STATE", "SERVICE", "ZONE", "ADDRESS", "HOME")
	for i := range s.Servers {
		v := &s.Servers[i]
		t.row(v.ID, stateName(v.State), v.Service, v.Zone, v.Address, v.Home)
	}
	return t.flush()
}

func stateName(s spread.ServerState) string {
	return [...]string{"ready", "draining", "lost", "gone"}[s]
}
