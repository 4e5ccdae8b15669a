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

// sendRemote sends a batch to another owner. If a link has to be established first, it
// does so in a worker.
func (g *queryRun) sendRemote(ctx context.Context, b *batch, msg *conn.Batch) {
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

// initMuxServer initializes the server for batches of other entries.
func (e *Engine) initMuxServer() {
	e.muxServer = conn.MuxServer{
		Clock:        e.Clock,
		Go:           e.Workers.Go,
		OnBatchStart: func() { e.open.Add(1) },
		OnBatchEnd:   func() { e.open.Add(-1) },
		Run:          e.Owner.Query,
	}
}

// ServeQuery handles a mux connection from another entry.
func (e *Engine) ServeQuery(ctx context.Context, s *conn.Stream) { e.muxServer.Serve(ctx, s) }

// Finish closes the mux connections of other entries once their replies have been sent.
func (e *Engine) Finish() { e.muxServer.Finish() }

// Muxes returns the number of open mux connections of other entries.
func (e *Engine) Muxes() int { return e.muxServer.Muxes() }
