package edge

import (
	"context"
	"time"
)

// reachInterval is the interval at which a node decides whether it is cut off from the servers.
const reachInterval = 100 * time.Millisecond

// watchReach keeps track of whether this node reaches the servers.
func (n *Node) watchReach(ctx context.Context) error {
	t := time.NewTicker(reachInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			n.forwarder.UpdateReach()
		}
	}
}
