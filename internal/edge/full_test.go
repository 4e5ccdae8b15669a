package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// fullDisk is the log file of a replica on a disk that can be full: a write then leaves a part of its bytes.
type fullDisk struct {
	*os.File
	full *atomic.Bool
	// refused counts the writes that failed.
	refused *atomic.Int32
}

// Write writes to the file.
func (f *fullDisk) Write(b []byte) (int, error) {
	if !f.full.Load() {
		return f.File.Write(b)
	}
	f.refused.Add(1)
	n, err := f.File.Write(b[:len(b)/2])
	if err == nil {
		err = syscall.ENOSPC
	}
	return n, err
}

// controlHost is a node with a disk that can be full.
type controlHost struct {
	node    *Node
	full    atomic.Bool
	refused atomic.Int32
}

func startControlHosts(t *testing.T, n int) []*controlHost {
	var seeds []tier.NodeID
	for i := range n {
		seeds = append(seeds, tier.NodeID(fmt.Sprintf("127.86.%d.%d", os.Getpid()%250, i+1)))
	}
	port := freeUDPPorts(t, string(seeds[0]))
	dir := t.TempDir()
	var hosts []*controlHost
	for i, id := range seeds {
		h := &controlHost{}
		h.node = newControlNode(Settings{
			ID: id, Name: fmt.Sprint("h", i), LinkPort: port, GossipPort: port + 1, Seeds: seeds, Bootstrap: true, Data: filepath.Join(dir, fmt.Sprint(i)),
		})
		h.node.openLog = func(path string) (tier.File, error) {
			f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
			return &fullDisk{f, &h.full, &h.refused}, err
		}
		runControlNode(t, h.node)
		hosts = append(hosts, h)
	}
	return hosts
}

// newControlNode returns a node with a replica; s names its id, ports, seeds and data folder.
func newControlNode(s Settings) *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.Zone, s.Region, s.Tolerance, s.AnnounceInterval, s.GracePeriod = "z", "r", 1, time.Second, 6*time.Second
	return &Node{Settings: s, Log: log, Clock: tier.NewClock(), LeaseClock: BootClock{}, Stats: stats.NewRegistry(), Names: tier.DefaultHeaders(), Decode: vers.DecodeRoutes}
}

// runControlNode runs a node until the end of the test, and waits until its replica runs.
func runControlNode(t *testing.T, n *Node) {
	n.Build()
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.ErrorIs(t, <-end, context.Canceled)
	})
	require.Eventually(t, func() bool { return n.replica.Load() != nil }, 30*time.Second, 10*time.Millisecond, "the replica of %s runs", n.Settings.ID)
}

// freeUDPPorts returns the first of two ports that are free at an address.
func freeUDPPorts(t *testing.T, address string) int {
	c, err := net.ListenPacket("udp", address+":0")
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).Port - 1
}

// TestChangesAreAcceptedAfterDisksWereFull fills the disks of the control hosts one after another. Changes are accepted
// while one is full, and after it has room again.
func TestChangesAreAcceptedAfterDisksWereFull(t *testing.T) {
	hosts := startControlHosts(t, 3)
	version := 0
	apply := func(what string) {
		version++
		doc := fmt.Appendf(nil, `{"version": %d, "routes": [{"name": "r", "host": "a", "prefix": "/", "timeout": 1000, "service": "s"}], "services": [{"name": "s"}]}`, version)
		var err error
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err = hosts[version%len(hosts)].node.ApplyRoutes(ctx, doc, "ana", "test")
			return err == nil
		}, 30*time.Second, 10*time.Millisecond, "%s: %v", what, err)
	}
	apply("at the start")
	for round := range 2 {
		for i, h := range hosts {
			before := h.refused.Load()
			h.full.Store(true)
			require.Eventually(t, func() bool {
				apply(fmt.Sprintf("round %d, disk %d is full", round, i))
				return h.refused.Load() > before
			}, 30*time.Second, 10*time.Millisecond, "the full disk is written to")
			apply(fmt.Sprintf("round %d, disk %d has refused a write", round, i))
			h.full.Store(false)
			apply(fmt.Sprintf("round %d, disk %d has room", round, i))
		}
	}
	for i := range hosts {
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			r := hosts[i].node.replica.Load()
			if r == nil {
				return false
			}
			st, err := r.Status(ctx)
			return err == nil && len(st.Members.Voters) == len(hosts) && st.Applied == st.Last
		}, 30*time.Second, 10*time.Millisecond, "host %d is a voter again", i)
	}
	apply("after all")
}
