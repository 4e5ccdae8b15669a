// Soak runs real nodes under seeded faults and reports the promises that were broken.
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
	binary := flag.String("binary", "bin/sassafrasring", "program of the nodes")
	dir := flag.String("dir", "", "folder for settings, data and logs; a temporary one if empty, kept for runs that broke a promise")
	first := flag.Uint64("seed", uint64(time.Now().Unix()), "first seed")
	runs := flag.Int("runs", 1, "number of seeds, one after the other")
	hosts := flag.Int("hosts", 5, "nodes")
	disks := flag.Int("disks", 3, "nodes with a disk")
	length := flag.Duration("length", 12*time.Second, "how long faults are injected")
	verbose := flag.Bool("v", false, "print each fault")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	path, err := filepath.Abs(*binary)
	if err != nil {
		return err
	}
	broken := 0
	for seed := *first; seed < *first+uint64(*runs); seed++ {
		f := &soak.Fleet{Binary: path, Seed: seed, Hosts: *hosts, Disks: *disks, Length: *length, Out: io.Discard}
		if *verbose {
			f.Out = os.Stdout
		}
		bad, err := one(ctx, f, *dir)
		if err != nil {
			return err
		}
		broken += bad
	}
	if broken > 0 {
		return errors.New("promises were broken")
	}
	return nil
}

// one runs a seed and prints its result; the folder of a run that broke nothing is removed.
func one(ctx context.Context, f *soak.Fleet, dir string) (broken int, err error) {
	if f.Dir = dir; dir == "" {
		if f.Dir, err = os.MkdirTemp("", "soak"); err != nil {
			return 0, err
		}
	}
	r, err := f.Run(ctx)
	if err != nil {
		return 0, fmt.Errorf("seed %d, logs in %s: %w", f.Seed, f.Dir, err)
	}
	fmt.Printf("seed %d: %d served, %d not, %d routing tables, %d broken promises\n", r.Seed, r.Served, r.Failed, r.Tables, len(r.Breaks))
	for _, b := range r.Breaks {
		fmt.Println("  " + b)
	}
	if len(r.Breaks) > 0 {
		fmt.Println("  logs in " + f.Dir)
		return 1, nil
	}
	if dir == "" {
		return 0, os.RemoveAll(f.Dir)
	}
	return 0, nil
}
