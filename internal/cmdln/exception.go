package cmdln

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/vers"
)

func exceptionCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "exception", Short: "Add, list and remove exceptions to the configuration defaults"}
	cmd.AddCommand(exceptionAdd(o), exceptionList(o), exceptionRemove(o))
	return cmd
}

func exceptionAdd(o *options) *cobra.Command {
	var f changeFlags
	var id string
	var expires time.Duration
	cmd := &cobra.Command{
		Use: "add KEY=VALUE KIND:NAME", Short: "Add an exception; a reason is required", Args: cobra.ExactArgs(2),
		Example: "  sassafrasring exception add hedge.budget=20 service:balcao --reason 'counter servers are small'",
		RunE: func(_ *cobra.Command, args []string) error {
			d, err := parseDefault(args[0])
			if err != nil {
				return withExitCode(ExitUsage, err)
			}
			kind, name, ok := strings.Cut(args[1], ":")
			if !ok {
				return withExitCode(ExitUsage, errors.Errorf("%q: expected KIND:NAME, for example service:balcao", args[1]))
			}
			e := vers.Exception{ID: id, Key: d.Key, Value: d.Value, Scope: vers.Scope{Kind: vers.ScopeKind(kind), Name: name}, Reason: f.reason}
			if e.ID == "" {
				e.ID = args[1] + "/" + string(d.Key)
			}
			if expires > 0 {
				e.ExpiresMs = time.Now().Add(expires).UnixMilli()
			}
			return o.change(&f, []vers.Edit{{Add: &e}})
		},
	}
	f.add(cmd, true)
	cmd.Flags().StringVar(&id, "id", "", "ID of the exception; default KIND:NAME/KEY")
	cmd.Flags().DurationVar(&expires, "expires", 0, "time after which the exception expires; 0 means never")
	return cmd
}

func (o *options) printExceptions(c *vers.Config) error {
	t := o.table("EXCEPTION", "KEY", "SCOPE", "VALUE", "AUTHOR", "SINCE", "EXPIRES", "REASON")
	for _, e := range c.Exceptions {
		expires := "never"
		if e.ExpiresMs > 0 {
			expires = time.UnixMilli(e.ExpiresMs).UTC().Format(time.RFC3339)
		}
		t.row(e.ID, e.Key, string(e.Scope.Kind)+":"+e.Scope.Name, strconv.FormatInt(e.Value, 10), e.Author,
			time.UnixMilli(e.AtMs).UTC().Format(time.RFC3339), expires, e.Reason)
	}
	return t.flush()
}

func exceptionList(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the exceptions with their reasons", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			c, err := o.readConfig()
			if err != nil {
				return err
			}
			return o.show(c.Exceptions, func() error { return o.printExceptions(c) })
		},
	}
}

func exceptionRemove(o *options) *cobra.Command {
	var f changeFlags
	cmd := &cobra.Command{
		Use: "remove ID", Short: "Remove an exception", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return o.change(&f, []vers.Edit{{Remove: args[0]}})
		},
	}
	f.add(cmd, true)
	return cmd
}
