package cmdln

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/node"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/client"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// lagPollInterval is how often --wait queries the list of lagging nodes.
const lagPollInterval = 100 * time.Millisecond

// changeFlags holds the flags shared by all commands that change the configuration.
type changeFlags struct {
	base   uint64
	id     string
	reason string
	wait   bool
}

func (f *changeFlags) add(cmd *cobra.Command, reasonRequired bool) {
	cmd.Flags().Uint64Var(&f.base, "base", 0, "version that the change is based on; 0 means the current one")
	cmd.Flags().StringVar(&f.id, "change-id", "", "ID of the change, by default a random one; a change with the same ID is applied only once")
	cmd.Flags().StringVar(&f.reason, "reason", "", "reason for the change, kept in the history")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the change is in force on every node")
	if reasonRequired {
		_ = cmd.MarkFlagRequired("reason")
	}
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func configCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Show and change the fleet's configuration"}
	cmd.AddCommand(configGet(o), configSet(o), configHistory(o), configDiff(o), configRevert(o))
	return cmd
}

func (o *options) fetchConfig(ctx context.Context) (*vers.Config, error) {
	var c vers.Config
	return &c, o.ops(ctx, http.MethodGet, "/v1/ops/config", &c)
}

func configGet(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "get", Short: "Print the defaults and exceptions", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			c, err := o.readConfig()
			if err != nil {
				return err
			}
			return o.show(c, func() error { return o.printConfig(c) })
		},
	}
}

// readConfig fetches the latest accepted configuration, limited by the command's --timeout.
func (o *options) readConfig() (*vers.Config, error) {
	ctx, cancel := o.context()
	defer cancel()
	return o.fetchConfig(ctx)
}

func (o *options) printConfig(c *vers.Config) error {
	_, _ = fmt.Fprintf(o.out, "version %d\n\n", c.Version)
	t := o.table("KEY", "DEFAULT", "UNIT", "MEANING")
	for _, s := range vers.Keys {
		t.row(s.Key, c.Get(s.Key), s.Unit, s.Doc)
	}
	if err := t.flush(); err != nil || len(c.Exceptions) == 0 {
		return err
	}
	_, _ = fmt.Fprintln(o.out)
	return o.printExceptions(c)
}

func configSet(o *options) *cobra.Command {
	var f changeFlags
	cmd := &cobra.Command{
		Use: "set KEY=VALUE...", Short: "Change defaults", Args: cobra.MinimumNArgs(1),
		Example: "  sassafrasring config set hedge.budget=20 --reason 'counter servers are small' --wait",
		RunE: func(_ *cobra.Command, args []string) error {
			var edits []vers.Edit
			for _, a := range args {
				d, err := parseDefault(a)
				if err != nil {
					return withExitCode(ExitUsage, err)
				}
				edits = append(edits, vers.Edit{Set: &d})
			}
			return o.change(&f, edits)
		},
	}
	f.add(cmd, false)
	return cmd
}

func parseDefault(arg string) (vers.Default, error) {
	key, val, ok := strings.Cut(arg, "=")
	v, err := strconv.ParseInt(val, 10, 64)
	if !ok || err != nil {
		return vers.Default{}, errors.Errorf("%q: expected KEY=VALUE with an integer value", arg)
	}
	if _, known := vers.Spec(vers.Key(key)); !known {
		return vers.Default{}, errors.Errorf("%q: unknown key; see config get", key)
	}
	return vers.Default{Key: vers.Key(key), Value: v}, nil
}

// change submits a configuration change and reports its outcome. Retrying with the same --change-id is idempotent.
func (o *options) change(f *changeFlags, edits []vers.Edit) error {
	ctx, cancel := o.context()
	defer cancel()
	c, err := o.client()
	if err != nil {
		return err
	}
	ch := vers.Change{ID: tier.ChangeID(f.id), Base: tier.ConfigVersion(f.base), Reason: f.reason, Edits: edits}
	if ch.ID == "" {
		ch.ID = tier.ChangeID(newID())
	}
	if ch.Base == 0 {
		current, err := o.fetchConfig(ctx)
		if err != nil {
			return err
		}
		ch.Base = current.Version
	}
	var res store.ChangeResult
	err = c.Ops(ctx, http.MethodPost, "/v1/ops/config", ch, &res, http.StatusOK, http.StatusConflict, http.StatusUnprocessableEntity)
	if err != nil {
		return errors.Wrapf(err, "outcome unknown; retry with --change-id %s --base %d", ch.ID, ch.Base)
	}
	switch res.Status {
	case store.ChangeAccepted:
	case store.ChangeRaced:
		return withExitCode(ExitConflict, errors.Errorf("change rejected: version %d is in force, but the change is based on version %d; check config diff and retry", res.Version, ch.Base))
	case store.ChangeInvalid:
		return withExitCode(ExitUsage, errors.Errorf("change rejected: %s", res.Error))
	}
	return o.reportAccepted(ctx, f, ch, res)
}

func (o *options) reportAccepted(ctx context.Context, f *changeFlags, ch vers.Change, res store.ChangeResult) error {
	if f.wait {
		if err := o.waitInForce(ctx, res.Version); err != nil {
			return err
		}
	}
	return o.show(res, func() error {
		state := "accepted"
		if f.wait {
			state = "in force on every node"
		}
		_, err := fmt.Fprintf(o.out, "version %d %s (change %s)\n", res.Version, state, ch.ID)
		return err
	})
}

// waitInForce waits until version v is in force on every live node; on timeout the error lists the nodes that lag.
func (o *options) waitInForce(ctx context.Context, v tier.ConfigVersion) error {
	path := client.Path("/v1/ops/config/lagging", "version", strconv.FormatUint(uint64(v), 10))
	for {
		var l node.Lagging
		if err := o.ops(ctx, http.MethodGet, path, &l); err != nil {
			return err
		}
		if len(l.Nodes) == 0 {
			return nil
		}
		select {
		case <-time.After(lagPollInterval):
		case <-ctx.Done():
			return errors.Errorf("timed out: version %d is accepted, but not yet in force on nodes %v", v, l.Nodes)
		}
	}
}

func (o *options) fetchHistory(ctx context.Context) ([]store.HistoryEntry, error) {
	var h []store.HistoryEntry
	return h, o.ops(ctx, http.MethodGet, "/v1/ops/config/history", &h)
}

func configHistory(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "List the accepted versions", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, cancel := o.context()
			defer cancel()
			h, err := o.fetchHistory(ctx)
			if err != nil {
				return err
			}
			return o.show(h, func() error {
				t := o.table("VERSION", "TIME", "AUTHOR", "REASON")
				for _, p := range h {
					t.row(p.Config.Version, time.UnixMilli(p.AtMs).UTC().Format(time.RFC3339), p.Author, p.Reason)
				}
				return t.flush()
			})
		},
	}
}

// findVersion looks up a configuration version in the history; version 0 is the empty configuration.
func (o *options) findVersion(ctx context.Context, text string) (*vers.Config, error) {
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, withExitCode(ExitUsage, errors.Errorf("%q is not a version number", text))
	}
	if v == 0 {
		return &vers.Config{}, nil
	}
	h, err := o.fetchHistory(ctx)
	if err != nil {
		return nil, err
	}
	for _, p := range h {
		if p.Config.Version == tier.ConfigVersion(v) {
			return p.Config, nil
		}
	}
	return nil, errors.Errorf("version %d is not in the configuration history", v)
}

func configDiff(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "diff FROM TO", Short: "Show the differences between two versions", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			ctx, cancel := o.context()
			defer cancel()
			a, err := o.findVersion(ctx, args[0])
			if err != nil {
				return err
			}
			b, err := o.findVersion(ctx, args[1])
			if err != nil {
				return err
			}
			lines := vers.Diff(a, b)
			return o.show(lines, func() error {
				_, err := fmt.Fprintln(o.out, strings.Join(lines, "\n"))
				return err
			})
		},
	}
}

func configRevert(o *options) *cobra.Command {
	var f changeFlags
	cmd := &cobra.Command{
		Use: "revert VERSION", Short: "Create a new version with the content of an earlier one", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			ctx, cancel := o.context()
			defer cancel()
			c, err := o.findVersion(ctx, args[0])
			if err != nil {
				return err
			}
			return o.change(&f, []vers.Edit{{Revert: c}})
		},
	}
	f.add(cmd, true)
	return cmd
}
