package edge

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
)

const (
	// exitReserve is the part of the grace period that is reserved for ending the process.
	exitReserve = 600 * time.Millisecond
	// finalAnswerReserve is the part of the grace period before exitReserve in which requests that are not finished get
	// their final answers.
	finalAnswerReserve = 100 * time.Millisecond
	// transferTimeout bounds the transfer of the control group's leadership.
	transferTimeout = 500 * time.Millisecond
)

// Stop starts a graceful shutdown; Run returns once the node has drained.
func (n *Node) Stop(reason string) {
	n.stopOnce.Do(func() {
		n.stopping.Store(true)
		event.DrainStarted.Log(n.Log, nil, logrus.Fields{"why": reason})
		close(n.stopped)
	})
}

// drainOnStop waits for Stop and then drains the node. The node leaves the lists of entries
// immediately, still accepts requests from callers with outdated lists for the first half of the
// grace period, and uses the second half to finish requests in flight. Those that are not finished at
// its end are answered nevertheless.
func (n *Node) drainOnStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
	}
	end := time.Now().Add(n.Settings.GracePeriod - exitReserve)
	n.gossip.updateSelf(func(h *spread.Host) { h.State, h.Ready = spread.HostLeaving, false })
	if r := n.replica.Load(); r != nil {
		transferCtx, cancel := context.WithTimeout(ctx, transferTimeout)
		r.TransferLeadership(transferCtx)
		cancel()
	}
	select {
	case <-time.After(time.Until(end) / 2):
	case <-ctx.Done():
		return ctx.Err()
	}
	last := end.Add(-finalAnswerReserve)
	n.graceEnd.Store(&last)
	final := time.AfterFunc(time.Until(last), n.endGrace)
	defer final.Stop()
	shutdownCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, srv := range n.servers {
		shutdowns.Add(1)
		go func() {
			defer shutdowns.Done()
			srv.listener.Drain(shutdownCtx, srv.http)
		}()
	}
	shutdowns.Wait()
	event.DrainEnded.Log(n.Log, nil, logrus.Fields{"open": n.forwarder.Open()})
	return nil
}

// graceLeft returns how much time requests have until they get their final answers; ok is false while the node does not
// only finish requests.
func (n *Node) graceLeft() (left time.Duration, ok bool) {
	end := n.graceEnd.Load()
	if end == nil {
		return 0, false
	}
	return time.Until(*end), true
}

// withinGrace returns a context that also ends with the grace period.
func (n *Node) withinGrace(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.grace, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
