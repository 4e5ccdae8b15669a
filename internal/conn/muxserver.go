package conn

import (
	"context"
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// MuxServer answers the batches received on multiplexed streams. Lock order: mu, then a
// muxServerStream's mu.
type MuxServer struct {
	// Clock is the source of time.
	Clock tier.Clock
	// Run answers one sub-query of a batch by its deadline; ctx ends when the sub-query is
	// cancelled.
	Run func(ctx context.Context, b *Batch, s Sub, deadline time.Duration) Reply
	// Go runs a function on a worker.
	Go func(func())
	// OnBatchStart and OnBatchEnd are called at the start and at the end of each batch.
	OnBatchStart, OnBatchEnd func()

	mu    sync.Mutex
	muxes map[*muxServerStream]bool
}

// muxServerStream is the owner's end of a multiplexed stream.
type muxServerStream struct {
	server *MuxServer
	out    *outbox

	mu        sync.Mutex
	cancels   map[subKey]context.CancelFunc
	remaining map[uint64]int
}

// subKey identifies a sub-query on a multiplexed stream.
type subKey struct {
	query   uint64
	attempt int
}

// Serve handles one multiplexed stream until the entry ends it; sub-queries that are still running
// then are cancelled.
func (v *MuxServer) Serve(ctx context.Context, s *Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &muxServerStream{server: v, out: newOutbox(s, nil), cancels: map[subKey]context.CancelFunc{}, remaining: map[uint64]int{}}
	v.mu.Lock()
	if v.muxes == nil {
		v.muxes = map[*muxServerStream]bool{}
	}
	v.muxes[l] = true
	v.mu.Unlock()
	l.receive(ctx, s)
	cancel()
	v.mu.Lock()
	delete(v.muxes, l)
	v.mu.Unlock()
	l.out.abort()
}

// Finish ends all streams after the replies queued on them have been sent. A stream is removed once
// the node at its other end, the entry that sent the batches, has read the replies and ended it.
func (v *MuxServer) Finish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for l := range v.muxes {
		l.out.finish()
	}
}

// Muxes returns the number of open streams.
func (v *MuxServer) Muxes() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.muxes)
}

func (l *muxServerStream) receive(ctx context.Context, s *Stream) {
	for {
		var a Request
		if s.Recv(&a) != nil {
			return
		}
		switch {
		case a.Batch != nil:
			l.startBatch(ctx, a.Query, a.Batch)
		case a.Cancel != nil:
			l.cancelSub(subKey{a.Query, a.Cancel.Attempt})
		}
	}
}

func (l *muxServerStream) startBatch(ctx context.Context, query uint64, b *Batch) {
	if len(b.Subs) == 0 {
		return
	}
	l.server.OnBatchStart()
	deadline := l.server.Clock.Now() + b.DeadlineMs.Duration()
	l.mu.Lock()
	l.remaining[query] = len(b.Subs)
	l.mu.Unlock()
	for _, s := range b.Subs {
		sctx, stop := context.WithCancel(ctx)
		key := subKey{query, s.Attempt}
		l.mu.Lock()
		l.cancels[key] = stop
		l.mu.Unlock()
		l.server.Go(func() {
			r := l.server.Run(sctx, b, s, deadline)
			stop()
			l.out.send(Response{Query: query, Reply: r})
			r.Reservation.Release()
			l.finishSub(key)
		})
	}
}

func (l *muxServerStream) cancelSub(key subKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stop := l.cancels[key]; stop != nil {
		stop()
	}
}

func (l *muxServerStream) finishSub(key subKey) {
	l.mu.Lock()
	delete(l.cancels, key)
	l.remaining[key.query]--
	last := l.remaining[key.query] == 0
	if last {
		delete(l.remaining, key.query)
	}
	l.mu.Unlock()
	if last {
		l.server.OnBatchEnd()
	}
}
