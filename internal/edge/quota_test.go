package edge

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/quota"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// quotaFleet is three control hosts and one host without a replica.
type quotaFleet struct{ nodes []*Node }

func startQuotaFleet(t *testing.T) *quotaFleet {
	hosts := startControlHosts(t, 3)
	f := &quotaFleet{}
	for _, h := range hosts {
		f.nodes = append(f.nodes, h.node)
	}
	s := hosts[0].node.Settings
	s.ID = tier.NodeID(string(s.ID[:len(s.ID)-1]) + "9")
	s.Name, s.Bootstrap, s.Data = "entry", false, ""
	entry := newControlNode(s)
	entry.Build()
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- entry.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.ErrorIs(t, <-end, context.Canceled)
	})
	f.nodes = append(f.nodes, entry)
	return f
}

func (f *quotaFleet) apply(t *testing.T, version int, rate, burst float64) {
	doc := fmt.Appendf(nil, `{"version": %d, "routes": [{"name": "r", "host": "a", "prefix": "/", "timeout": 1000, "service": "s"}], "services": [{"name": "s"}],
		"tenants": [{"name": "one", "keys": ["k"], "rate": %g, "burst": %g}]}`, version, rate, burst)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := f.nodes[0].ApplyRoutes(ctx, doc, "ana", "test")
		return err == nil
	}, 30*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		for _, n := range f.nodes {
			if n.routesVersion() < vers.RoutesVersion(version) {
				return false
			}
		}
		return true
	}, 30*time.Second, 10*time.Millisecond)
}

func (f *quotaFleet) take(i int) (granted, known bool) {
	n := f.nodes[i]
	r := n.quotas.Take(context.Background(), n.Routes().Tenant("one"), time.Second)
	return r.Granted, r.Known
}

// TestQuotaHoldsOverAllHosts guards against hosts that count on their own, and against a quota that is not available: four
// hosts take tokens as fast as they can.
func TestQuotaHoldsOverAllHosts(t *testing.T) {
	f := startQuotaFleet(t)
	f.apply(t, 1, 2, 5)
	require.Eventually(t, func() bool { granted, _ := f.take(3); return granted }, 30*time.Second, 10*time.Millisecond)
	var granted, unknown atomic.Int32
	began := time.Now()
	var taking sync.WaitGroup
	for i := range f.nodes {
		for range 4 {
			taking.Go(func() {
				for time.Since(began) < time.Second {
					ok, known := f.take(i)
					if ok {
						granted.Add(1)
					} else if !known {
						unknown.Add(1)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	taking.Wait()
	l := quota.DefaultLimits()
	bound := (2*time.Since(began).Seconds()+5)*(1+l.Overage) + l.Tolerance
	require.LessOrEqual(t, float64(granted.Load()), bound)
	require.GreaterOrEqual(t, granted.Load(), int32(5), "the burst is granted")
	t.Logf("%d granted, bound %.1f, %d unknown", granted.Load(), bound, unknown.Load())
	granted0, known := f.take(3)
	require.False(t, granted0)
	require.True(t, known, "an exhausted quota is known to be")
}

// TestShareIsKeptOnDisk guards against a wait of all control hosts after a power failure of the fleet.
func TestShareIsKeptOnDisk(t *testing.T) {
	f := startQuotaFleet(t)
	f.apply(t, 1, 100, 5)
	n := f.nodes[0]
	share := func() bool {
		n.quotas.mu.Lock()
		m := n.quotas.membership
		n.quotas.mu.Unlock()
		return n.quotas.hadShare(m)
	}
	require.Eventually(t, share, 30*time.Second, 10*time.Millisecond, "the share is in %s", filepath.Join(n.Settings.Data, shareFile))
}

// TestNewVoterGetsItsShare guards against shares that nobody has after the group has grown: a host with a disk joins.
func TestNewVoterGetsItsShare(t *testing.T) {
	f := startQuotaFleet(t)
	f.apply(t, 1, 100, 5)
	s := f.nodes[0].Settings
	s.ID = tier.NodeID(string(s.ID[:len(s.ID)-1]) + "8")
	s.Name, s.Bootstrap, s.Data = "late", false, t.TempDir()
	late := newControlNode(s)
	runControlNode(t, late)
	granting := func(n *Node) func() bool {
		return func() bool {
			n.quotas.mu.Lock()
			defer n.quotas.mu.Unlock()
			return n.quotas.granting
		}
	}
	voter := func() bool {
		late.quotas.mu.Lock()
		defer late.quotas.mu.Unlock()
		return late.quotas.membership.Voter
	}
	require.Eventually(t, voter, 30*time.Second, 10*time.Millisecond, "the host becomes a voter")
	began := time.Now()
	require.Eventually(t, granting(late), 30*time.Second, 10*time.Millisecond, "it has a share")
	t.Logf("share %s after it became a voter", time.Since(began).Round(time.Millisecond))
	for _, n := range f.nodes[:3] {
		require.Eventually(t, granting(n), 30*time.Second, 10*time.Millisecond, "%s keeps its share", n.Settings.ID)
	}
}
