package conn

import (
	"context"
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// MuxServer answers the batches that come on multiplexed streams. Lock order:
// mu, then a muxConn's mu.
type MuxServer struct {
	// Clock gives the time.
	Clock tier.Clock
	// Run answers one sub-query of a batch by its deadline; ctx ends when it is cancelled.
	Run func(ctx context.Context, b *Batch, s Sub, deadline time.Duration) Reply
	// Go runs a function on a worker.
	Go func(func())
	// Opened and Closed are called at the start and the end of each batch.
	Opened, Closed func()

	mu    sync.Mutex
	muxes map[*muxConn]bool
}

// muxConn is a multiplexed stream at the owner's end.
type muxConn struct {
	server *MuxServer
	out    *outbox

	mu      sync.Mutex
	cancels map[subKey]context.CancelFunc
	left    map[uint64]int
}

// subKey names a sub-query on a multiplexed stream.
type subKey struct {
	query   uint64
	attempt int
}

// Serve handles one multiplexed stream until the entry ends it; what still runs then is cancelled.
func (v *MuxServer) Serve(ctx context.Context, s *Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &muxConn{server: v, out: newOutbox(s, nil), cancels: map[subKey]context.CancelFunc{}, left: map[uint64]int{}}
	v.mu.Lock()
	if v.muxes == nil {
		v.muxes = map[*muxConn]bool{}
	}
	v.muxes[l] = true
	v.mu.Unlock()
	l.listen(ctx, s)
	cancel()
	v.mu.Lock()
	delete(v.muxes, l)
	v.mu.Unlock()
	l.out.end()
}

// Finish ends all streams once the replies on them have gone out. Each is gone
// when the entry has read them.
func (v *MuxServer) Finish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for l := range v.muxes {
		l.out.finish()
	}
}

// Muxes returns the number of streams that are served.
func (v *MuxServer) Muxes() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.muxes)
}

func (l *muxConn) listen(ctx context.Context, s *Stream) {
	for {
		var a Request
		if s.Recv(&a) != nil {
			return
		}
		switch {
		case a.Batch != nil:
			l.begin(ctx, a.Query, a.Batch)
		case a.Cancel != nil:
			l.cancel(subKey{a.Query, a.Cancel.Attempt})
		}
	}
}

func (l *muxConn) begin(ctx context.Context, query uint64, b *Batch) {
	if len(b.Subs) == 0 {
		return
	}
	l.server.Opened()
	deadline := l.server.Clock.Now() + b.DeadlineMs.Duration()
	l.mu.Lock()
	l.left[query] = len(b.Subs)
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
			l.end(key)
		})
	}
}

func (l *muxConn) cancel(key subKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stop := l.cancels[key]; stop != nil {
		stop()
	}
}

func (l *muxConn) end(key subKey) {
	l.mu.Lock()
	delete(l.cancels, key)
	l.left[key.query]--
	last := l.left[key.query] == 0
	if last {
		delete(l.left, key.query)
	}
	l.mu.Unlock()
	if last {
		l.server.Closed()
	}
}
