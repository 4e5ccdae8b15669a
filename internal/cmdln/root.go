// Package cmdln implements the command line of both the daemon and the operators' client.
package cmdln

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/node"
	"sassafrasring.dev/sassafrasring/internal/setup"
	"sassafrasring.dev/sassafrasring/pkg/client"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // any error without a code of its own
	ExitUsage    = 2 // invalid command line, input or change
	ExitSettings = 3 // invalid settings file
	ExitConflict = 4 // another configuration version, or a higher routing table version, is in force
	ExitNotRun   = 5 // the request was not executed
	ExitUnknown  = 6 // it is unknown whether the request was executed
	ExitPartial  = 7 // some shards are missing from the answer
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the underlying error.
func (e *exitError) Error() string { return e.err.Error() }

// withExitCode wraps err so that Main returns code.
func withExitCode(code int, err error) error { return &exitError{code, err} }

// options holds the global flags and the output streams.
type options struct {
	entries string
	account string
	secret  string
	output  string
	timeout time.Duration
	certs   conn.Certs
	out     io.Writer
	errs    io.Writer
}

// Main executes the command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	o := &options{out: out, errs: errs}
	cmd := Root(o)
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errs)
	err := cmd.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = io.WriteString(errs, "error: "+err.Error()+"\n")
	var e *exitError
	var p setup.Problems
	switch {
	case errors.As(err, &e):
		return e.code
	case errors.As(err, &p):
		return ExitSettings
	case strings.HasPrefix(err.Error(), "unknown "), strings.Contains(err.Error(), "required flag"), strings.Contains(err.Error(), "arg(s)"):
		return ExitUsage
	}
	return ExitFailed
}

// Root returns the root command with all subcommands.
func Root(o *options) *cobra.Command {
	root := &cobra.Command{
		Use:           "sassafrasring",
		Short:         "A query tier over many shards",
		Long:          "Sassafrasring answers queries over many shards, and runs writes at most once.\nThe program is both the daemon (serve, edge, platform) and the operators' client.",
		Version:       node.Version,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	f := root.PersistentFlags()
	f.StringVarP(&o.entries, "entries", "e", envOr("SASSAFRASRING_ENTRIES", "127.0.0.1:7001"), "addresses of entries, separated by commas")
	f.StringVarP(&o.account, "user", "u", os.Getenv("SASSAFRASRING_USER"), "account of the caller or operator")
	f.StringVar(&o.secret, "secret", os.Getenv("SASSAFRASRING_SECRET"), "secret of the account; prefer the environment variable SASSAFRASRING_SECRET")
	f.StringVarP(&o.output, "output", "o", "table", "output format: table or json")
	f.StringVar(&o.certs.CA, "ca", os.Getenv("SASSAFRASRING_CA"), "file with the CA of the entries' certificates; enables HTTPS")
	f.StringVar(&o.certs.Cert, "cert", os.Getenv("SASSAFRASRING_CERT"), "file with the client certificate; requires --ca")
	f.StringVar(&o.certs.Key, "key", os.Getenv("SASSAFRASRING_KEY"), "file with the private key of the client certificate; requires --ca")
	f.DurationVar(&o.timeout, "timeout", 10*time.Second, "maximum duration of the command")
	root.AddCommand(serveCommand(o), edgeCommand(o), platformCommand(o), settingsCommand(o), hashCommand(o), certCommand(o), versionCommand(o))
	root.AddCommand(statusCommand(o), configCommand(o), exceptionCommand(o), nodeCommand(o), serverCommand(o), controlCommand(o), suspectCommand(o))
	root.AddCommand(routesCommand(o), queryCommand(o), writeCommand(o), replayCommand(o), traceCommand(o), lossesCommand(o), manCommand(o), eventsCommand(o))
	root.AddCommand(zoneCommand(o), tenantsCommand(o))
	return root
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// client creates a client for the configured entries; it uses HTTPS if --ca is set.
func (o *options) client() (*client.Client, error) {
	h := &http.Client{Timeout: o.timeout, Transport: client.Transport()}
	c := &client.Client{Entries: strings.Split(o.entries, ","), Name: o.account, Secret: o.secret, HTTP: h}
	if o.certs.CA == "" {
		if o.certs.Cert != "" || o.certs.Key != "" {
			return nil, withExitCode(ExitUsage, errors.New("--cert and --key require --ca"))
		}
		return c, nil
	}
	conf, err := o.certs.ClientConfig([]string{"http/1.1"}, "")
	if err != nil {
		return nil, errors.Wrap(err, "--ca, --cert, --key")
	}
	secure := client.Transport()
	secure.TLSClientConfig = conf
	c.Scheme, h.Transport = "https", secure
	return c, nil
}

// ops sends a request without a body to the operators' API of the entries.
func (o *options) ops(ctx context.Context, method, path string, out any, ok ...int) error {
	c, err := o.client()
	if err != nil {
		return err
	}
	return c.Ops(ctx, method, path, nil, out, ok...)
}

func (o *options) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), o.timeout)
}

func versionCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := io.WriteString(o.out, "sassafrasring "+node.Version+"\n")
			return err
		},
	}
}

func hashCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "hash SECRET", Short: "Print the hash of a secret, for use in the settings file", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := io.WriteString(o.out, node.Hash(args[0])+"\n")
			return err
		},
	}
}

// outcomeError returns an error with the exit code of an outcome, or nil if the request is done.
func outcomeError(out tier.Outcome, why tier.Reason) error {
	err := errors.Errorf("outcome %s: %s", out, why)
	switch out {
	case tier.Done:
		return nil
	case tier.Partial:
		return withExitCode(ExitPartial, err)
	case tier.NotRun:
		return withExitCode(ExitNotRun, err)
	case tier.Unknown:
	}
	return withExitCode(ExitUnknown, err)
}
