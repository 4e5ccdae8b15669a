package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/cert"
	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/node"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/setup"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/client"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	forcePoll  = 2 * time.Millisecond
	readyLimit = 60 * time.Second
	leaseMs    = 3000
)

// Fleet measures the control plane with many nodes in this process, which
// follow control replicas in other processes.
type Fleet struct {
	// Control lists the control hosts.
	Control []conn.Peer
	// Entries are the HTTP addresses of the control hosts.
	Entries []string
	// Certs is the folder with the CA.
	Certs string
	// Operator and Secret change the configuration.
	Operator, Secret string
	// Pids are the control processes, the first one's leader first.
	Pids []int
	// Nodes is the number of nodes, Servers that of announced servers.
	Nodes, Servers int
	// Zones is the number of zones over which they are spread.
	Zones int
	// Idle is how long the fleet is watched at rest.
	Idle time.Duration
	// Changes is the number of configuration changes that are timed.
	Changes int

	nodes []*node.Node
	sent  atomic.Int64
	recvd atomic.Int64
}

// FleetReport is one row of a slope.
type FleetReport struct {
	Nodes      int     `json:"nodes"`
	Servers    int     `json:"servers"`
	InPerNode  float64 `json:"bytes_in_per_node_s"`
	OutPerNode float64 `json:"bytes_out_per_node_s"`
	CPUPerNode float64 `json:"cpu_share_per_node"`
	RSSPerNode float64 `json:"rss_bytes_per_node"`
	LeaderCPU  float64 `json:"leader_cpu_share"`
	LeaderRSS  int64   `json:"leader_rss_bytes"`
	ForceP50   float64 `json:"in_force_p50_ms"`
	ForceMax   float64 `json:"in_force_max_ms"`
	JoinMs     float64 `json:"all_ready_ms"`
}

// counted counts the bytes of a socket, without IP and UDP headers.
type counted struct {
	net.PacketConn
	f *Fleet
}

// ReadFrom counts what arrives.
func (c counted) ReadFrom(p []byte) (int, net.Addr, error) {
	n, a, err := c.PacketConn.ReadFrom(p)
	c.f.recvd.Add(int64(n))
	return n, a, err
}

// WriteTo counts what is sent.
func (c counted) WriteTo(p []byte, a net.Addr) (int, error) {
	c.f.sent.Add(int64(len(p)))
	return c.PacketConn.WriteTo(p, a)
}

// Run starts the nodes, measures at rest and under changes, and stops them.
func (f *Fleet) Run(ctx context.Context) (FleetReport, error) {
	rep := FleetReport{Nodes: f.Nodes, Servers: f.Servers}
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	rss := ResidentBytes(os.Getpid())
	began := time.Now()
	if err := f.start(ctx, &wait); err != nil {
		return rep, err
	}
	for i := range f.nodes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.announce(ctx, i)
		}()
	}
	if err := f.ready(ctx); err != nil {
		return rep, err
	}
	rep.JoinMs = float64(time.Since(began).Microseconds()) / 1000
	time.Sleep(2 * time.Second)
	f.rest(&rep)
	rep.RSSPerNode = float64(ResidentBytes(os.Getpid())-rss) / float64(f.Nodes)
	return rep, f.changes(ctx, &rep)
}

func (f *Fleet) start(ctx context.Context, wait *sync.WaitGroup) error {
	m := &cert.Maker{Folder: f.Certs}
	if err := m.Open(); err != nil {
		return err
	}
	for i := range f.Nodes {
		name := fmt.Sprintf("n-%d", i)
		if err := m.Node(name, nil); err != nil {
			return err
		}
		n := f.node(name, i)
		f.nodes = append(f.nodes, n)
		n.Build()
		wait.Add(1)
		go func() {
			defer wait.Done()
			_ = n.Run(ctx)
		}()
	}
	return nil
}

func (f *Fleet) node(name string, i int) *node.Node {
	s := setup.Defaults()
	s.Node, s.Zone = tier.NodeID(name), tier.Zone(fmt.Sprintf("zone-%d", i%f.Zones))
	s.Callers, s.Peers, s.Advertise = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Control = f.Control
	s.TLS = setup.TLS{CA: filepath.Join(f.Certs, "ca.pem"), Cert: filepath.Join(f.Certs, name+".pem"), Key: filepath.Join(f.Certs, name+".key")}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &node.Node{
		Settings: s, Log: log, Clock: tier.NewClock(), Stats: stats.NewRegistry(),
		Wrap: func(c net.PacketConn) net.PacketConn { return counted{c, f} },
	}
}

// announce keeps the servers of one node announced there.
func (f *Fleet) announce(ctx context.Context, node int) {
	t := time.NewTicker(leaseMs / 3 * time.Millisecond)
	defer t.Stop()
	for ctx.Err() == nil {
		for i := node; i < f.Servers; i += f.Nodes {
			_, _ = f.nodes[node].Announce(f.server(i))
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (f *Fleet) server(i int) tier.Announcement {
	return tier.Announcement{
		Server: tier.ServerID(fmt.Sprintf("server-%d", i)), Instance: tier.Instance(i + 1), Service: tier.Service(fmt.Sprintf("service-%d", i/600)),
		Zone: tier.Zone(fmt.Sprintf("zone-%d", i%f.Zones)), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Slots: 5, Conns: 40,
		Holdings: []tier.Holding{{Snapshot: tier.Snapshot{Version: 1, Shards: 200}, Shard: tier.Shard(i / 3 % 200)}}, LeaseMs: leaseMs,
	}
}

func (f *Fleet) ready(ctx context.Context) error {
	limit := time.Now().Add(readyLimit)
	for _, n := range f.nodes {
		select {
		case <-n.Ready():
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(limit)):
			return fmt.Errorf("not all of %d nodes got ready", f.Nodes)
		}
	}
	for _, n := range f.nodes {
		for n.Servers() < f.Servers {
			if time.Now().After(limit) {
				return fmt.Errorf("a node knows %d of %d servers", n.Servers(), f.Servers)
			}
			time.Sleep(forcePoll)
		}
	}
	return nil
}

func (f *Fleet) rest(rep *FleetReport) {
	in, out, cpu := f.recvd.Load(), f.sent.Load(), CPUSeconds(os.Getpid())
	lead := make([]float64, len(f.Pids))
	for i, p := range f.Pids {
		lead[i] = CPUSeconds(p)
	}
	time.Sleep(f.Idle)
	per := f.Idle.Seconds() * float64(f.Nodes)
	rep.InPerNode = float64(f.recvd.Load()-in) / per
	rep.OutPerNode = float64(f.sent.Load()-out) / per
	rep.CPUPerNode = (CPUSeconds(os.Getpid()) - cpu) / per
	for i, p := range f.Pids {
		rep.LeaderCPU = max(rep.LeaderCPU, (CPUSeconds(p)-lead[i])/f.Idle.Seconds())
		rep.LeaderRSS = max(rep.LeaderRSS, ResidentBytes(p))
	}
}

// changes times configuration changes until they are in force on every node.
func (f *Fleet) changes(ctx context.Context, rep *FleetReport) error {
	ops := &client.Client{Entries: f.Entries, Name: f.Operator, Secret: f.Secret}
	h := stats.NewHistogram()
	for i := range f.Changes {
		var now vers.Config
		if err := ops.Ops(ctx, http.MethodGet, "/v1/ops/config", nil, &now); err != nil {
			return err
		}
		ch := vers.Change{
			ID: tier.ChangeID(fmt.Sprintf("slope-%d-%d", f.Nodes, time.Now().UnixNano())), Base: now.Version, Reason: "slope",
			Edits: []vers.Edit{{Set: &vers.Default{Key: vers.KeyHedgeBudget, Value: int64(20 + i)}}},
		}
		began := time.Now()
		var res store.ChangeResult
		if err := ops.Ops(ctx, http.MethodPost, "/v1/ops/config", ch, &res); err != nil {
			return err
		}
		for _, n := range f.nodes {
			for n.ConfigVersion() < res.Version {
				time.Sleep(forcePoll)
			}
		}
		h.Record(time.Since(began))
	}
	s := h.Summary()
	rep.ForceP50, rep.ForceMax = s.P50Ms, s.MaxMs
	return nil
}

// PrintFleet writes a row per size.
func PrintFleet(w io.Writer, reps []FleetReport) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "NODES\tSERVERS\tIN B/S/NODE\tOUT B/S/NODE\tCPU %/NODE\tRSS KB/NODE\tLEADER CPU %\tLEADER RSS MB\tIN FORCE P50 MS\tMAX MS\tALL READY MS")
	for _, r := range reps {
		_, _ = fmt.Fprintf(t, "%d\t%d\t%.0f\t%.0f\t%.3f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\n", r.Nodes, r.Servers, r.InPerNode, r.OutPerNode,
			100*r.CPUPerNode, r.RSSPerNode/1024, 100*r.LeaderCPU, float64(r.LeaderRSS)/(1<<20), r.ForceP50, r.ForceMax, r.JoinMs)
	}
	return t.Flush()
}
