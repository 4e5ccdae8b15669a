package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// runLimit ends a case that hangs.
const runLimit = 118 * time.Second

// script is one case: it returns what broke the rule, or "".
type script struct {
	options options
	run     func(f *fleet, trouble bool) string
}

var scripts = map[string]script{
	"snapshot": {options{machines: 3, disks: 3, memoryMB: 284}, runSnapshot},
	"poison":   {options{machines: 3, disks: 3, memoryMB: 284}, runPoison},
	"failure":  {options{machines: 3, disks: 3, memoryMB: 284}, runFailure},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(exitUnusable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) (code int) {
	s, known := scripts[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitUnusable
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %v", name, trouble)
	var f *fleet
	defer func() {
		if f != nil {
			f.close()
			if keep := os.Getenv("KEEP"); keep != "" {
				_ = os.Rename(dir, keep)
			}
		}
		if p := recover(); p != nil {
			u, ok := p.(unusable)
			if !ok {
				panic(p)
			}
			rec.add("the case could not run: %s", u.why)
			fmt.Println("could not run:", u.why)
			code = exitUnusable
		}
	}()
	f = newFleet(root, dir, rec, s.options)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(runLimit):
		}
		rec.add("the case was ended early")
		for _, m := range f.machines {
			if pid := m.pid(); pid != 0 {
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
		}
		_ = os.RemoveAll(dir)
		os.Exit(exitUnusable)
	}()
	f.startAll()
	if broken := s.run(f, trouble); broken != "" {
		rec.add("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
