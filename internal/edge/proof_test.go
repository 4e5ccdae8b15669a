package edge

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestHostsServeKeysWhileProven starts three hosts with replicas and one without, and then ends two of the replicas. Guards
// against hosts that accept keys without contact to the control group, and against questions that nobody needs.
func TestHostsServeKeysWhileProven(t *testing.T) {
	const limit = 2 * time.Second
	for i, c := range []struct {
		name   string
		strict bool
		rate   int
		proven []bool
	}{
		{"strict", true, 0, []bool{true, true, true, true}},
		{"quotas", false, 5, []bool{true, true, true, false}},
		{"neither", false, 0, []bool{false, false, false, false}},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		rest, cancelRest := context.WithCancel(ctx)
		var ids []tier.NodeID
		for j := range 4 {
			ids = append(ids, tier.NodeID(fmt.Sprintf("127.87.%d.%d", os.Getpid()%250, i*4+j+1)))
		}
		port := freeUDPPorts(t, string(ids[0]))
		dir := t.TempDir()
		var nodes []*Node
		ended := make(chan error, len(ids))
		for j, id := range ids {
			s := Settings{
				ID: id, Name: fmt.Sprint("h", j), LinkPort: port, GossipPort: port + 1, Seeds: ids[:3], Bootstrap: true, Callers: string(id),
				Revocation: Revocation{Strict: c.strict, Limit: limit}, Budget: reqst.Allowance{Window: time.Second},
			}
			if j < 3 {
				s.Data = filepath.Join(dir, fmt.Sprint(j))
			}
			n := newControlNode(s)
			n.Build()
			runCtx := ctx
			if j == 1 || j == 2 {
				runCtx = rest
			}
			go func() { ended <- n.Run(runCtx) }()
			nodes = append(nodes, n)
			require.Eventually(t, func() bool { return n.gossip.list() != nil }, 30*time.Second, 10*time.Millisecond, "%s: host %d runs", c.name, j)
		}
		doc := fmt.Appendf(nil, `{"version": 1, "routes": [{"name": "r", "host": "a", "prefix": "/", "timeout": 1000, "service": "s"},
			{"name": "p", "host": "a", "prefix": "/public/", "timeout": 1000, "service": "s", "public": true}],
			"services": [{"name": "s"}], "tenants": [{"name": "one", "keys": ["k"], "rate": %d}]}`, c.rate)
		require.Eventually(t, func() bool {
			apply, stop := context.WithTimeout(ctx, 5*time.Second)
			defer stop()
			_, err := nodes[0].ApplyRoutes(apply, doc, "ana", "test")
			return err == nil
		}, 30*time.Second, 10*time.Millisecond, c.name)
		reason := func(n *Node, path string) tier.Reason {
			in := &reqst.Inbound{ID: "id", Method: http.MethodGet, Target: path, Path: path, Host: "a", Header: http.Header{n.Names.Credential: {"k"}}}
			out := n.forwarder.Forward(ctx, in)
			require.Equal(t, http.StatusServiceUnavailable, out.Status, "there are no servers")
			return out.Reason
		}
		for j, n := range nodes {
			require.Eventually(t, func() bool { return n.Ready() && n.ProofHeld() == c.proven[j] }, 30*time.Second, 10*time.Millisecond, "%s: host %d", c.name, j)
			require.NotEqual(t, tier.ReasonUnproven, reason(n, "/"), c.name)
		}
		cancelRest()
		waitEnded(t, ended, 2)
		lost := time.Now().Add(limit)
		require.Eventually(t, func() bool { return !nodes[0].ProofHeld() && !nodes[3].ProofHeld() }, 30*time.Second, 10*time.Millisecond, c.name)
		if c.strict {
			require.WithinDuration(t, time.Now(), lost, limit, "the proof is not held for longer than a revocation may take")
		}
		for _, n := range []*Node{nodes[0], nodes[3]} {
			require.Equal(t, c.strict, reason(n, "/") == tier.ReasonUnproven, c.name)
			require.NotEqual(t, tier.ReasonUnproven, reason(n, "/public/"), c.name)
			require.Equal(t, !c.strict, n.Ready(), c.name)
			require.Eventually(t, func() bool {
				list, _ := n.Entries("z", "r")
				return len(list) == 2
			}, 30*time.Second, 10*time.Millisecond, "%s: the hosts that are left stay in the list, as there is no other", c.name)
		}
		cancel()
		waitEnded(t, ended, 2)
	}
}

func waitEnded(t *testing.T, ended <-chan error, n int) {
	for range n {
		require.ErrorIs(t, <-ended, context.Canceled)
	}
}
