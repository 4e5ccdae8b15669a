package conn

import (
	"context"
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Server answers the batches that come on lanes. Lock order: mu, then a served lane's mu.
type Server struct {
	// Clock gives the time.
	Clock tier.Clock
	// Run answers one sub-query of a batch by its deadline; ctx ends when it is cancelled.
	Run func(ctx context.Context, b *Batch, s Sub, deadline time.Duration) Reply
	// Go runs a function on a worker.
	Go func(func())
	// Opened and Closed are called at the start and the end of each batch.
	Opened, Closed func()

	mu    sync.Mutex
	lanes map[*served]bool
}

// served is a lane at its owner.
type served struct {
	server *Server
	out    *writer

	mu      sync.Mutex
	cancels map[subKey]context.CancelFunc
	left    map[uint64]int
}

// subKey names a sub-query on a lane.
type subKey struct {
	query   uint64
	attempt int
}

// Serve handles one lane until the entry ends it; what still runs then is cancelled.
func (v *Server) Serve(ctx context.Context, s *Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &served{server: v, out: newWriter(s, nil), cancels: map[subKey]context.CancelFunc{}, left: map[uint64]int{}}
	v.mu.Lock()
	if v.lanes == nil {
		v.lanes = map[*served]bool{}
	}
	v.lanes[l] = true
	v.mu.Unlock()
	l.listen(ctx, s)
	cancel()
	v.mu.Lock()
	delete(v.lanes, l)
	v.mu.Unlock()
	l.out.end()
}

// Finish ends all lanes once the replies on them have gone out. Each is gone
// when the entry has read them.
func (v *Server) Finish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for l := range v.lanes {
		l.out.finish()
	}
}

// Lanes returns the number of lanes that are served.
func (v *Server) Lanes() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.lanes)
}

func (l *served) listen(ctx context.Context, s *Stream) {
	for {
		var a Ask
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

func (l *served) begin(ctx context.Context, query uint64, b *Batch) {
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
			l.out.send(Told{Query: query, Reply: r})
			l.end(key)
		})
	}
}

func (l *served) cancel(key subKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stop := l.cancels[key]; stop != nil {
		stop()
	}
}

func (l *served) end(key subKey) {
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
