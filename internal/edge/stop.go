package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
)

const (
	// stopRoom is left of the grace for ending the process.
	stopRoom = 600 * time.Millisecond
	// handTimeout bounds the hand-over of the control group's leadership.
	handTimeout = 500 * time.Millisecond
)

// Stop stops the node gracefully; Run returns when callers have had time to turn elsewhere.
func (n *Node) Stop(why string) {
	n.once.Do(func() {
		n.stopping.Store(true)
		event.DrainStarted.Log(n.Log, nil, logrus.Fields{"why": why})
		close(n.stopped)
	})
}

// untilStopped returns when a stop has ended: the node is off the lists at
// once, serves callers with old ones for half of its grace, and has the other
// half to finish what is in flight.
func (n *Node) untilStopped(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
	}
	end := time.Now().Add(n.Settings.Grace - stopRoom)
	n.gossip.change(func(h *spread.Host) { h.State, h.Ready = spread.HostLeaving, false })
	if r := n.replica.Load(); r != nil {
		hctx, cancel := context.WithTimeout(ctx, handTimeout)
		r.Hand(hctx)
		cancel()
	}
	select {
	case <-time.After(time.Until(end) / 2):
	case <-ctx.Done():
		return ctx.Err()
	}
	sctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var wait sync.WaitGroup
	for _, srv := range n.servers {
		wait.Add(1)
		go func(srv *http.Server) {
			defer wait.Done()
			_ = srv.Shutdown(sctx)
		}(srv)
	}
	wait.Wait()
	event.DrainEnded.Log(n.Log, nil, logrus.Fields{"open": n.door.Open()})
	return nil
}
