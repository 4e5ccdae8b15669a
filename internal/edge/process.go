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

// memoryLimitDivisor divides the process's memory limit to get the garbage collector's soft limit:
// received data that has not been read yet counts against the process's limit too.
const memoryLimitDivisor = 2

// Process runs a node as a stand-alone process: SIGTERM and SIGINT stop it, and SIGHUP or a
// change of the settings file reloads its settings.
type Process struct {
	// Path is the settings file; Load reads it.
	Path string
	Load func() (Settings, error)
	// Names are the names of the platform's HTTP headers.
	Names tier.HeaderNames
	// Decode parses a routing table.
	Decode func(doc []byte) (*vers.Routes, error)
	// Certs are the certificates for connections between nodes; if nil, one is generated at start.
	Certs *conn.Certs
	// Level is the lowest level that is logged.
	Level logrus.Level
	// Out receives the logs.
	Out io.Writer
	// Listeners creates the HTTP interfaces of a node.
	Listeners func(n *Node) []Listener
}

// Run runs the node until it has stopped.
func (p *Process) Run(ctx context.Context) error {
	s, err := p.Load()
	if err != nil {
		return err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes / memoryLimitDivisor)
	}
	lines := &event.Queue{Out: p.Out}
	lines.Start()
	log := logrus.New()
	log.SetOutput(lines)
	log.SetLevel(p.Level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	clock := &RequestClock{Base: tier.NewClock(), Boot: BootClock{}}
	clock.Update()
	n := &Node{
		Settings: s, Log: log, Clock: clock, LeaseClock: BootClock{}, OnTick: clock.Update, Stats: stats.NewRegistry(), Names: p.Names, Decode: p.Decode, Certs: p.Certs,
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
