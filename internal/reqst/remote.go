package reqst

import (
	"context"

	"sassafrasring.dev/sassafrasring/internal/conn"
)

// deliver passes a reply to the query unless it has ended.
func deliver(ctx context.Context, out chan<- conn.Reply, r conn.Reply) {
	select {
	case out <- r:
	case <-ctx.Done():
	}
}

// askRemote sends a batch to another owner. A worker does so where a link has
// to be set up first.
func (g *gather) askRemote(ctx context.Context, b *batch, msg *conn.Batch) {
	out := g.replies
	muxes := &g.engine.muxes
	h := muxes.NewCall(b.peer, b.subs, func(r conn.Reply) { deliver(ctx, out, r) })
	for _, s := range b.subs {
		g.cancels[s.Attempt] = func() { h.Cancel(s.Attempt) }
	}
	if muxes.Ready(b.peer) {
		muxes.Send(ctx, h, msg)
		return
	}
	g.engine.Workers.Go(func() { muxes.Send(ctx, h, msg) })
}

// serveBatches readies what answers the batches of other entries.
func (e *Engine) serveBatches() {
	e.muxConn = conn.MuxServer{
		Clock:  e.Clock,
		Go:     e.Workers.Go,
		Opened: func() { e.open.Add(1) },
		Closed: func() { e.open.Add(-1) },
		Run:    e.Owner.Query,
	}
}

// ServeQuery handles the mux of another entry.
func (e *Engine) ServeQuery(ctx context.Context, s *conn.Stream) { e.muxConn.Serve(ctx, s) }

// Finish ends the muxes of other entries once their replies have gone out.
func (e *Engine) Finish() { e.muxConn.Finish() }

// Muxes returns the number of muxes of other entries.
func (e *Engine) Muxes() int { return e.muxConn.Muxes() }
