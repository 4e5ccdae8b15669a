package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// reachInterval is the interval at which a node decides whether it is cut off from the servers, and at which it probes
	// some of them while it is.
	reachInterval = 100 * time.Millisecond
	// minProbes and maxProbes bound the number of servers that are probed at a time. It grows by probeGrowth while probes
	// succeed, so that a node is back soon after its links are.
	minProbes   = 4
	maxProbes   = 64
	probeGrowth = 4
)

// nextProbes returns how many servers to probe next, from the last number and how many of these accepted a connection.
func nextProbes(last, accepted int) int {
	if accepted == 0 {
		return minProbes
	}
	return min(maxProbes, max(minProbes, last*probeGrowth))
}

// watchReach keeps track of whether this node reaches the servers, and publishes it in the host's record.
func (n *Node) watchReach(ctx context.Context) error {
	t := time.NewTicker(reachInterval)
	defer t.Stop()
	probes, was := minProbes, false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		cut := n.forwarder.UpdateReach()
		if cut != was {
			was = cut
			n.gossip.updateSelf(func(h *spread.Host) { h.Cut = cut })
		}
		if cut {
			probes = nextProbes(probes, n.probeServers(ctx, probes))
		}
	}
}

// probeServers opens connections to up to limit servers that this node does not reach, and returns how many of them
// accepted one.
func (n *Node) probeServers(ctx context.Context, limit int) int {
	var probing sync.WaitGroup
	var accepted atomic.Int32
	for _, id := range n.forwarder.LostServersToProbe(limit) {
		direct := n.catalog.Direct(id)
		if direct == nil {
			continue
		}
		probing.Add(1)
		n.workers.Go(func() {
			defer probing.Done()
			if direct.Probe(ctx) {
				accepted.Add(1)
				n.forwarder.ServerReached(id)
			}
		})
	}
	probing.Wait()
	return int(accepted.Load())
}

// relayPeers returns the hosts through which requests may be relayed: ready ones that reach the servers, without those
// that are much weaker than the strongest.
func (n *Node) relayPeers() []tier.NodeID {
	return pickRelayPeers(n.Settings.ID, n.gossip.list())
}

func pickRelayPeers(self tier.NodeID, hosts []spread.Host) []tier.NodeID {
	list := reachingHosts(readyHosts(hosts, func(h *spread.Host) bool { return h.ID != self }))
	var out []tier.NodeID
	for _, h := range strongHosts(list) {
		out = append(out, h.ID)
	}
	return out
}
