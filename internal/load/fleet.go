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
	versionPollInterval = 2 * time.Millisecond
	readyTimeout        = 60 * time.Second
	leaseMs             = 3000
)

// Fleet measures the control plane: it runs many nodes in this process, which follow control replicas in other
// processes.
type Fleet struct {
	// Control lists the control hosts.
	Control []conn.Peer
	// Entries lists the HTTP addresses of the control hosts.
	Entries []string
	// Certs is the folder with the CA; the certificates of the nodes are written there.
	Certs string
	// Operator and Secret are the credentials for configuration changes.
	Operator, Secret string
	// Pids lists the process ids of the control replicas. The leader figures are the maximum over them.
	Pids []int
	// Nodes is the number of nodes, Servers the number of announced servers.
	Nodes, Servers int
	// Zones is the number of zones over which nodes and servers are spread.
	Zones int
	// Idle is how long traffic and CPU time are measured without changes.
	Idle time.Duration
	// Changes is the number of configuration changes whose propagation is timed.
	Changes int

	nodes         []*node.Node
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
}

// FleetReport is the result for one fleet size.
type FleetReport struct {
	Nodes      int     `json:"nodes"`
	Servers    int     `json:"servers"`
	InPerNode  float64 `json:"bytes_in_per_node_s"`
	OutPerNode float64 `json:"bytes_out_per_node_s"`
	CPUPerNode float64 `json:"cpu_share_per_node"`
	RSSPerNode float64 `json:"rss_bytes_per_node"`
	LeaderCPU  float64 `json:"leader_cpu_share"`
	LeaderRSS  int64   `json:"leader_rss_bytes"`
	ApplyP50   float64 `json:"in_force_p50_ms"`
	ApplyMax   float64 `json:"in_force_max_ms"`
	AllReadyMs float64 `json:"all_ready_ms"`
}

// countingConn counts the payload bytes of a UDP socket, without IP and UDP headers.
type countingConn struct {
	net.PacketConn
	f *Fleet
}

// ReadFrom reads a packet and counts its bytes.
func (c countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, a, err := c.PacketConn.ReadFrom(p)
	c.f.receivedBytes.Add(int64(n))
	return n, a, err
}

// WriteTo writes a packet and counts its bytes.
func (c countingConn) WriteTo(p []byte, a net.Addr) (int, error) {
	c.f.sentBytes.Add(int64(len(p)))
	return c.PacketConn.WriteTo(p, a)
}

// Run starts the nodes, measures them when idle and during configuration changes, and stops them.
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
	if err := f.waitReady(ctx); err != nil {
		return rep, err
	}
	rep.AllReadyMs = float64(time.Since(began).Microseconds()) / 1000
	time.Sleep(2 * time.Second)
	f.measureIdle(&rep)
	rep.RSSPerNode = float64(ResidentBytes(os.Getpid())-rss) / float64(f.Nodes)
	return rep, f.measureChanges(ctx, &rep)
}

func (f *Fleet) start(ctx context.Context, wait *sync.WaitGroup) error {
	m := &cert.Issuer{Folder: f.Certs}
	if err := m.Open(); err != nil {
		return err
	}
	for i := range f.Nodes {
		name := fmt.Sprintf("n-%d", i)
		if err := m.IssueNode(name, nil); err != nil {
			return err
		}
		n := f.newNode(name, i)
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

func (f *Fleet) newNode(name string, i int) *node.Node {
	s := setup.Defaults()
	s.Node, s.Zone = tier.NodeID(name), tier.Zone(fmt.Sprintf("zone-%d", i%f.Zones))
	s.Callers, s.Peers, s.Advertise = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Control = f.Control
	s.TLS = setup.TLS{CA: filepath.Join(f.Certs, "ca.pem"), Cert: filepath.Join(f.Certs, name+".pem"), Key: filepath.Join(f.Certs, name+".key")}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &node.Node{
		Settings: s, Log: log, Clock: tier.NewClock(), Stats: stats.NewRegistry(),
		WrapConn: func(c net.PacketConn) net.PacketConn { return countingConn{c, f} },
	}
}

// announce renews the announcements of one node's share of the servers until ctx ends.
func (f *Fleet) announce(ctx context.Context, node int) {
	t := time.NewTicker(leaseMs / 3 * time.Millisecond)
	defer t.Stop()
	for ctx.Err() == nil {
		for i := node; i < f.Servers; i += f.Nodes {
			_, _ = f.nodes[node].Announce(f.announcement(i))
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (f *Fleet) announcement(i int) tier.Announcement {
	return tier.Announcement{
		Server: tier.ServerID(fmt.Sprintf("server-%d", i)), Instance: tier.Instance(i + 1), Service: tier.Service(fmt.Sprintf("service-%d", i/600)),
		Zone: tier.Zone(fmt.Sprintf("zone-%d", i%f.Zones)), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Slots: 5, Conns: 40,
		Holdings: []tier.Holding{{Snapshot: tier.Snapshot{Version: 1, Shards: 200}, Shard: tier.Shard(i / 3 % 200)}}, LeaseMs: leaseMs,
	}
}

func (f *Fleet) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range f.nodes {
		select {
		case <-n.Ready():
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(deadline)):
			return fmt.Errorf("not all of %d nodes became ready within the timeout", f.Nodes)
		}
	}
	for _, n := range f.nodes {
		for n.Servers() < f.Servers {
			if time.Now().After(deadline) {
				return fmt.Errorf("a node knows only %d of %d servers at the timeout", n.Servers(), f.Servers)
			}
			time.Sleep(versionPollInterval)
		}
	}
	return nil
}

func (f *Fleet) measureIdle(rep *FleetReport) {
	in, out, cpu := f.receivedBytes.Load(), f.sentBytes.Load(), CPUSeconds(os.Getpid())
	controlCPU := make([]float64, len(f.Pids))
	for i, p := range f.Pids {
		controlCPU[i] = CPUSeconds(p)
	}
	time.Sleep(f.Idle)
	nodeSeconds := f.Idle.Seconds() * float64(f.Nodes)
	rep.InPerNode = float64(f.receivedBytes.Load()-in) / nodeSeconds
	rep.OutPerNode = float64(f.sentBytes.Load()-out) / nodeSeconds
	rep.CPUPerNode = (CPUSeconds(os.Getpid()) - cpu) / nodeSeconds
	for i, p := range f.Pids {
		rep.LeaderCPU = max(rep.LeaderCPU, (CPUSeconds(p)-controlCPU[i])/f.Idle.Seconds())
		rep.LeaderRSS = max(rep.LeaderRSS, ResidentBytes(p))
	}
}

// measureChanges measures the time from sending a configuration change until every node has applied it.
func (f *Fleet) measureChanges(ctx context.Context, rep *FleetReport) error {
	ops := &client.Client{Entries: f.Entries, Name: f.Operator, Secret: f.Secret}
	h := stats.NewHistogram()
	for i := range f.Changes {
		var current vers.Config
		if err := ops.Ops(ctx, http.MethodGet, "/v1/ops/config", nil, &current); err != nil {
			return err
		}
		ch := vers.Change{
			ID: tier.ChangeID(fmt.Sprintf("slope-%d-%d", f.Nodes, time.Now().UnixNano())), Base: current.Version, Reason: "slope",
			Edits: []vers.Edit{{Set: &vers.Default{Key: vers.KeyHedgeBudget, Value: int64(20 + i)}}},
		}
		began := time.Now()
		var res store.ChangeResult
		if err := ops.Ops(ctx, http.MethodPost, "/v1/ops/config", ch, &res); err != nil {
			return err
		}
		for _, n := range f.nodes {
			for n.ConfigVersion() < res.Version {
				time.Sleep(versionPollInterval)
			}
		}
		h.Record(time.Since(began))
	}
	s := h.Summary()
	rep.ApplyP50, rep.ApplyMax = s.P50Ms, s.MaxMs
	return nil
}

// PrintFleet writes a table with a row per fleet size.
func PrintFleet(w io.Writer, reps []FleetReport) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "NODES\tSERVERS\tIN B/S/NODE\tOUT B/S/NODE\tCPU %/NODE\tRSS KB/NODE\tLEADER CPU %\tLEADER RSS MB\tIN FORCE P50 MS\tMAX MS\tALL READY MS")
	for _, r := range reps {
		_, _ = fmt.Fprintf(t, "%d\t%d\t%.0f\t%.0f\t%.3f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\n", r.Nodes, r.Servers, r.InPerNode, r.OutPerNode,
			100*r.CPUPerNode, r.RSSPerNode/1024, 100*r.LeaderCPU, float64(r.LeaderRSS)/(1<<20), r.ApplyP50, r.ApplyMax, r.AllReadyMs)
	}
	return t.Flush()
}
