// Soak runs real nodes with injected, seeded faults and reports violated guarantees.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"sassafrasring.dev/sassafrasring/internal/soak"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run() error {
	binary := flag.String("binary", "bin/sassafrasring", "path of the node binary")
	dir := flag.String("dir", "", "directory for settings, data and logs; if empty, a temporary one, kept only for runs that violated a guarantee")
	firstSeed := flag.Uint64("seed", uint64(time.Now().Unix()), "first seed")
	runs := flag.Int("runs", 1, "number of consecutive seeds to run")
	hosts := flag.Int("hosts", 5, "number of nodes")
	disks := flag.Int("disks", 3, "number of nodes with a disk")
	length := flag.Duration("length", 12*time.Second, "duration of the fault injection")
	first := flag.String("first", "", "name of a fault that lasts for the whole duration of the fault injection, such as \"all servers stutter\"")
	verbose := flag.Bool("v", false, "print each injected fault")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	path, err := filepath.Abs(*binary)
	if err != nil {
		return err
	}
	failedRuns := 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*runs); seed++ {
		f := &soak.Fleet{Binary: path, Seed: seed, Hosts: *hosts, Disks: *disks, FaultDuration: *length, First: *first, Out: io.Discard}
		if *verbose {
			f.Out = os.Stdout
		}
		failed, err := runSeed(ctx, f, *dir)
		if err != nil {
			return err
		}
		failedRuns += failed
	}
	if failedRuns > 0 {
		return errors.New("at least one run violated a guarantee")
	}
	return nil
}

// runSeed runs one seed, prints the result and returns 1 if a guarantee was violated, else 0. A temporary directory
// is removed after a run without violations.
func runSeed(ctx context.Context, f *soak.Fleet, dir string) (failed int, err error) {
	if f.Dir = dir; dir == "" {
		if f.Dir, err = os.MkdirTemp("", "soak"); err != nil {
			return 0, err
		}
	}
	r, err := f.Run(ctx)
	if err != nil {
		return 0, fmt.Errorf("seed %d, logs in %s: %w", f.Seed, f.Dir, err)
	}
	fmt.Printf("seed %d: %d requests served, %d failed, %d routing tables, %d second answers, %d refused keys, %d violated guarantees\n", r.Seed, r.Served, r.Failed, r.Tables, r.SecondAnswers, r.KeysRefused, len(r.Violations))
	for _, b := range r.Violations {
		fmt.Println("  " + b)
	}
	if len(r.Violations) > 0 {
		fmt.Println("  logs in " + f.Dir)
		return 1, nil
	}
	if dir == "" {
		return 0, os.RemoveAll(f.Dir)
	}
	return 0, nil
}
