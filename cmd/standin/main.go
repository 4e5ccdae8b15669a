// Standin runs stand-in backend servers for tests and measurements.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"sassafrasring.dev/sassafrasring/internal/stand"
)

func main() {
	path := flag.String("c", "", "server specification (JSON with comments)")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	spec, err := stand.LoadSpec(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return (&stand.Stand{Spec: spec}).Run(ctx)
}
