package cmdln

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/edge"
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/pkg/client"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

func zoneCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Evacuate zones: edge nodes send nothing to their servers (set --entries to control addresses)"}
	cmd.AddCommand(zoneOrder(o, false), zoneOrder(o, true), zoneStatus(o))
	return cmd
}

// zoneOrder returns the command that evacuates a zone, or ends its evacuation.
func zoneOrder(o *options, restore bool) *cobra.Command {
	var reason, author string
	method := http.MethodPost
	cmd := &cobra.Command{
		Use: "evacuate ZONE", Short: "Send nothing more to the servers of a zone", Args: cobra.ExactArgs(1),
		Long:    "Order all edge nodes to send nothing more to the servers of a zone. Requests that are under way\nmay complete. The order stays in force, also across restarts, until zone restore withdraws it;\nsending it again changes nothing.",
		Example: "  sassafrasring zone evacuate a1 --reason 'power work'",
	}
	if restore {
		method = http.MethodDelete
		cmd.Use, cmd.Short = "restore ZONE", "End the evacuation of a zone"
		cmd.Long = "Withdraw the order to evacuate a zone: its servers get requests again. A zone that is not evacuated\nstays as it is."
		cmd.Example = "  sassafrasring zone restore a1"
	}
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		var set evac.Set
		ctx, cancel := o.context()
		defer cancel()
		path := client.Path("/v1/ops/evacuations/"+url.PathEscape(args[0]), "author", author, "reason", reason)
		if err := o.ops(ctx, method, path, &set); err != nil {
			return err
		}
		state := "not evacuated"
		if set.Has(tier.Zone(args[0])) {
			state = "evacuated"
		}
		_, err := fmt.Fprintf(o.out, "zone %s is %s (set %d)\n", args[0], state, set.Version)
		return err
	}
	cmd.Flags().StringVar(&reason, "reason", "", "reason for the order, kept while it is in force")
	cmd.Flags().StringVar(&author, "author", os.Getenv("SASSAFRASRING_USER"), "author of the order, kept while it is in force")
	return cmd
}

func zoneStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "List the zones with their live hosts and servers, and which of them are evacuated", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var r edge.ZonesReport
			ctx, cancel := o.context()
			defer cancel()
			if err := o.ops(ctx, http.MethodGet, "/v1/ops/evacuations", &r); err != nil {
				return err
			}
			return o.show(r, func() error { return o.printZones(&r) })
		},
	}
}

func (o *options) printZones(r *edge.ZonesReport) error {
	orders := map[tier.Zone]evac.Entry{}
	if r.Committed == nil {
		_, _ = fmt.Fprintf(o.out, "set %d in force at this node; no control leader reached: %s\n", r.InForce, r.Problem)
	} else {
		_, _ = fmt.Fprintf(o.out, "set %d in force at this node, set %d committed\n", r.InForce, r.Committed.Version)
		for _, e := range r.Committed.Zones {
			orders[e.Zone] = e
		}
	}
	t := o.table("ZONE", "HOSTS", "SERVERS", "EVACUATED", "SINCE", "AUTHOR", "REASON")
	for _, z := range r.Zones {
		e, ordered := orders[z.Zone]
		since := ""
		if ordered {
			since = time.UnixMilli(e.AtMs).UTC().Format(time.RFC3339)
		}
		t.row(z.Zone, z.Hosts, z.Servers, z.Evacuated, since, e.Author, e.Reason)
	}
	return t.flush()
}

func tenantsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "tenants", Short: "List the tenants of the routing table in force at an edge node, without their keys", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var list []edge.TenantReport
			ctx, cancel := o.context()
			defer cancel()
			if err := o.ops(ctx, http.MethodGet, "/v1/ops/tenants", &list); err != nil {
				return err
			}
			return o.show(list, func() error { return o.printTenants(list) })
		},
	}
}

func (o *options) printTenants(list []edge.TenantReport) error {
	t := o.table("TENANT", "RATE/S", "BURST", "PRIORITY", "KEYS")
	for _, v := range list {
		rate, priority := "unlimited", "of the route"
		if v.Rate > 0 {
			rate = fmt.Sprint(v.Rate)
		}
		if v.Priority != nil {
			priority = fmt.Sprint(*v.Priority)
		}
		t.row(v.Name, rate, v.Burst, priority, v.Keys)
	}
	return t.flush()
}
