package reqst

import (
	"context"
	"sync"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// deliver passes a reply to the query unless it has ended.
func deliver(ctx context.Context, out chan<- conn.Reply, r conn.Reply) {
	select {
	case out <- r:
	case <-ctx.Done():
	}
}

// remote is one batch at another owner.
type remote struct {
	engine *Engine
	peer   conn.Peer
	msg    *conn.Batch
	out    chan<- conn.Reply

	mu        sync.Mutex
	stream    *conn.Stream
	cancelled []int
}

func (r *remote) run(ctx context.Context) {
	got := make(map[int]bool, len(r.msg.Subs))
	sent, err := r.exchange(ctx, got)
	if err == nil || ctx.Err() != nil {
		return
	}
	fate, why := conn.FateFailed, tier.ReasonLost
	if !sent {
		fate, why = conn.FateNotRun, tier.ReasonNoOwner
	}
	for _, s := range r.msg.Subs {
		if !got[s.Attempt] {
			deliver(ctx, r.out, conn.Reply{Attempt: s.Attempt, Shard: s.Shard, Server: s.Server, Fate: fate, Reason: why})
		}
	}
}

// exchange sends the batch and passes on the replies; sent is false where
// nothing can have reached the owner.
func (r *remote) exchange(ctx context.Context, got map[int]bool) (sent bool, err error) {
	s, err := r.engine.Mesh.Open(ctx, r.peer, conn.KindQuery)
	if err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	defer func() {
		r.mu.Lock()
		r.stream = nil
		r.mu.Unlock()
		if err != nil {
			s.Cancel()
			return
		}
		s.Finish()
	}()
	if err := r.begin(s); err != nil {
		return true, err
	}
	for len(got) < len(r.msg.Subs) {
		var rep conn.Reply
		if err := s.Recv(&rep); err != nil {
			return true, err
		}
		got[rep.Attempt] = true
		deliver(ctx, r.out, rep)
	}
	return true, nil
}

// begin sends the batch and the cancellations that came before it.
func (r *remote) begin(s *conn.Stream) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stream = s
	if err := s.Send(r.msg); err != nil {
		return err
	}
	for _, a := range r.cancelled {
		_ = s.Send(conn.Cancel{Attempt: a})
	}
	return nil
}

func (r *remote) cancel(attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream == nil {
		r.cancelled = append(r.cancelled, attempt)
		return
	}
	_ = r.stream.Send(conn.Cancel{Attempt: attempt})
}

// ServeQuery handles a query stream of another node.
func (e *Engine) ServeQuery(ctx context.Context, s *conn.Stream) {
	var b conn.Batch
	if s.Recv(&b) != nil {
		return
	}
	e.open.Add(1)
	defer e.open.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	deadline := e.Clock.Now() + b.DeadlineMs.Duration()
	srv := &served{stream: s, cancels: make(map[int]func(), len(b.Subs))}
	var wait sync.WaitGroup
	for _, sub := range b.Subs {
		sctx, stop := context.WithCancel(ctx)
		srv.cancels[sub.Attempt] = stop
		wait.Add(1)
		e.Workers.Go(func() {
			defer wait.Done()
			defer stop()
			srv.send(e.Owner.Query(sctx, &b, sub, deadline))
		})
	}
	ended := make(chan struct{})
	e.Workers.Go(func() {
		defer close(ended)
		srv.listen(cancel)
	})
	wait.Wait()
	s.CloseSend()
	<-ended
}

// served is a batch at its owner.
type served struct {
	mu      sync.Mutex
	stream  *conn.Stream
	cancels map[int]func()
}

func (v *served) send(r conn.Reply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.stream.Send(r)
}

// listen takes cancellations; the end of the stream cancels the whole batch.
func (v *served) listen(cancel func()) {
	defer cancel()
	for {
		var c conn.Cancel
		if v.stream.Recv(&c) != nil {
			return
		}
		if f := v.cancels[c.Attempt]; f != nil {
			f()
		}
	}
}
