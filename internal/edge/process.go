package edge

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// memoryShare is the part of the memory limit at which the collector works
// harder: what has arrived and was not read yet counts too.
const memoryShare = 2

// Process runs a node as a process of its own: SIGTERM and SIGINT stop it, and
// SIGHUP or a changed file has its settings read again.
type Process struct {
	// Path is the settings file, Load reads it.
	Path string
	Load func() (Settings, error)
	// Names are the names of the platform's headers.
	Names tier.HeaderNames
	// Decode reads a routing table.
	Decode func(doc []byte) (*vers.Routes, error)
	// Certs are the certificates between nodes; nil has one made at start.
	Certs *conn.Certs
	// Level is the least level of the logs.
	Level logrus.Level
	// Out takes the logs.
	Out io.Writer
	// Listeners makes the HTTP interfaces of a node.
	Listeners func(n *Node) []Listener
}

// Run runs the node until it has stopped.
func (p *Process) Run(ctx context.Context) error {
	s, err := p.Load()
	if err != nil {
		return err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes / memoryShare)
	}
	lines := &event.Queue{Out: p.Out}
	lines.Start()
	log := logrus.New()
	log.SetOutput(lines)
	log.SetLevel(p.Level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	n := &Node{
		Settings: s, Log: log, Clock: tier.NewClock(), Leases: BootClock{}, Stats: stats.NewRegistry(), Names: p.Names, Decode: p.Decode, Certs: p.Certs,
		LinesDropped: lines.Dropped,
	}
	n.Build()
	n.Listeners = p.Listeners(n)
	stops, hups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(stops)
	defer signal.Stop(hups)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case sig := <-stops:
			n.Stop(sig.String())
		case <-ended:
		}
	}()
	reload := &Reloader{Node: n, Path: p.Path, Load: p.Load, Signals: hups}
	defer lines.Flush()
	return n.Run(ctx, lines.Run, reload.Run)
}
