package cmdln

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

func queryCommand(o *options) *cobra.Command {
	var class string
	var deadline time.Duration
	cmd := &cobra.Command{
		Use: "query SERVICE JSON", Short: "Send a query as a caller", Args: cobra.ExactArgs(2),
		Example: `  sassafrasring query fitter-app '{"profile":"D-12"}'`,
		RunE: func(_ *cobra.Command, args []string) error {
			if !json.Valid([]byte(args[1])) {
				return withExitCode(ExitUsage, errors.New("the query is not JSON"))
			}
			ctx, cancel := o.context()
			defer cancel()
			q := tier.QueryRequest{Service: tier.Service(args[0]), Body: json.RawMessage(args[1]), Class: tier.Class(class), DeadlineMs: tier.ToMillis(deadline)}
			c, err := o.client()
			if err != nil {
				return err
			}
			a, err := c.Query(ctx, q)
			if err != nil {
				return err
			}
			if err := o.show(a, func() error { return o.printQuery(a) }); err != nil {
				return err
			}
			return outcomeError(a.Outcome, a.Reason)
		},
	}
	cmd.Flags().StringVar(&class, "class", "", "priority class: urgent, normal or bulk; default normal")
	cmd.Flags().DurationVar(&deadline, "deadline", 0, "deadline of the query; 0 means the configured one")
	return cmd
}

func (o *options) printQuery(a tier.QueryAnswer) error {
	_, _ = fmt.Fprintf(o.out, "request %s  outcome %s  snapshot v%d  shards %d of %d\n", a.RequestID, a.Outcome, a.Snapshot.Version, len(a.Shards), a.Snapshot.Shards)
	t := o.table("SHARD", "SERVER", "DATA")
	for _, s := range a.Shards {
		t.row(s.Shard, s.Server, string(s.Data))
	}
	for _, m := range a.Missing {
		t.row(m.Shard, "missing", m.Reason)
	}
	return t.flush()
}

func writeCommand(o *options) *cobra.Command {
	var key string
	cmd := &cobra.Command{
		Use: "write SERVICE JSON", Short: "Send a write as a caller; a write runs at most once per key", Args: cobra.ExactArgs(2),
		Example: `  sassafrasring write dispatch-desk '{"crew":7}' --key order-4711`,
		RunE: func(_ *cobra.Command, args []string) error {
			if !json.Valid([]byte(args[1])) {
				return withExitCode(ExitUsage, errors.New("the write is not JSON"))
			}
			ctx, cancel := o.context()
			defer cancel()
			w := tier.WriteRequest{Service: tier.Service(args[0]), Body: json.RawMessage(args[1]), Key: key}
			if key == "" {
				w.Key, w.FirstSend = newID(), true
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			a, err := c.Write(ctx, w)
			if err != nil {
				return errors.Wrapf(err, "outcome unknown; retry with --key %s", w.Key)
			}
			if err := o.show(a, func() error {
				_, err := fmt.Fprintf(o.out, "request %s  key %s  outcome %s  server %s  replayed %t  data %s\n", a.RequestID, w.Key, a.Outcome, a.Server, a.Replayed, a.Data)
				return err
			}); err != nil {
				return err
			}
			return outcomeError(a.Outcome, a.Reason)
		},
	}
	cmd.Flags().StringVar(&key, "key", "", "idempotency key of the write, by default a random one; a retry must use the same key")
	return cmd
}
