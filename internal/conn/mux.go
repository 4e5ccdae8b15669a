package conn

import (
	"context"
	"sync"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Request is one message on a multiplexed stream from an entry to an owner: a batch, or the
// cancellation of one attempt of an earlier batch.
type Request struct {
	Query  uint64  `cbor:"1,keyasint"`
	Batch  *Batch  `cbor:"2,keyasint,omitempty"`
	Cancel *Cancel `cbor:"3,keyasint,omitempty"`
}

// Response is one message on a multiplexed stream from an owner to an entry.
type Response struct {
	Query uint64 `cbor:"1,keyasint"`
	Reply Reply  `cbor:"2,keyasint"`
}

// MuxClient sends the batches of all queries over one multiplexed stream to each owner, which stays
// open. Lock order: mu, then a mux's mu.
type MuxClient struct {
	// Mesh carries the streams.
	Mesh *Mesh

	mu        sync.Mutex
	open      map[tier.NodeID]*mux
	lastQuery uint64
}

// mux is the multiplexed stream to one owner.
type mux struct {
	out  *outbox
	peer Peer

	mu      sync.Mutex
	pending map[uint64]*Call
	broken  bool
}

// Call is one batch in progress.
type Call struct {
	muxes *MuxClient
	peer  Peer
	query uint64
	reply func(Reply)

	mu         sync.Mutex
	mux        *mux
	unanswered map[int]Sub
}

// Send sends a batch to an owner. It returns at once if the mux is open; otherwise it dials in the
// calling goroutine. The call's reply function is called once for each sub-query that has not been
// cancelled by then; it must not block.
func (m *MuxClient) Send(ctx context.Context, c *Call, b *Batch) {
	x, err := m.openMux(ctx, c.peer)
	if err != nil || !x.addCall(c) {
		c.fail(ResultNotRun, tier.ReasonNoOwner)
		return
	}
	if !c.sendOn(x, b) {
		x.removeCall(c.query)
	}
}

// NewCall prepares a batch, so that it can be cancelled before it is sent.
func (m *MuxClient) NewCall(p Peer, subs []Sub, reply func(Reply)) *Call {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastQuery++
	unanswered := make(map[int]Sub, len(subs))
	for _, s := range subs {
		unanswered[s.Attempt] = s
	}
	return &Call{muxes: m, peer: p, query: m.lastQuery, reply: reply, unanswered: unanswered}
}

// Ready reports whether Send would return without dialing.
func (m *MuxClient) Ready(p Peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open[p.Node].usable(p)
}

func (x *mux) usable(p Peer) bool {
	if x == nil || x.peer != p {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.broken
}

// openMux returns the open mux to a peer, or opens one. If two goroutines open one at the same
// time, the later one is discarded.
func (m *MuxClient) openMux(ctx context.Context, p Peer) (*mux, error) {
	m.mu.Lock()
	x := m.open[p.Node]
	m.mu.Unlock()
	if x.usable(p) {
		return x, nil
	}
	s, err := m.Mesh.Open(ctx, p, KindQuery)
	if err != nil {
		return nil, err
	}
	fresh := &mux{peer: p, pending: map[uint64]*Call{}, out: newOutbox(s, m.Mesh.Go)}
	m.mu.Lock()
	defer m.mu.Unlock()
	if x := m.open[p.Node]; x.usable(p) {
		s.Cancel()
		return x, nil
	}
	if m.open == nil {
		m.open = map[tier.NodeID]*mux{}
	}
	m.open[p.Node] = fresh
	m.Mesh.Go(func() { fresh.receive(s) })
	return fresh, nil
}

// receive delivers the replies until the stream ends; sub-queries that are pending then may have
// run.
func (x *mux) receive(s *Stream) {
	for {
		var t Response
		if s.Recv(&t) != nil {
			break
		}
		x.mu.Lock()
		h := x.pending[t.Query]
		x.mu.Unlock()
		if h != nil && h.deliver(t.Reply) {
			x.removeCall(t.Query)
		}
	}
	x.out.abort()
	x.mu.Lock()
	x.broken = true
	lost := x.pending
	x.pending = nil
	x.mu.Unlock()
	for _, h := range lost {
		h.fail(ResultFailed, tier.ReasonLost)
	}
}

// addCall registers a batch before it is sent; it returns false if the mux is broken.
func (x *mux) addCall(c *Call) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.broken {
		return false
	}
	x.pending[c.query] = c
	return true
}

func (x *mux) removeCall(query uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.pending, query)
}

// sendOn sends the batch without the sub-queries cancelled meanwhile; it returns false if none
// remain or the batch could not be sent.
func (c *Call) sendOn(x *mux, b *Batch) bool {
	c.mu.Lock()
	subs := b.Subs[:0:0]
	for _, s := range b.Subs {
		if _, open := c.unanswered[s.Attempt]; open {
			subs = append(subs, s)
		}
	}
	b.Subs = subs
	c.mux = x
	sent := len(subs) > 0 && x.out.send(Request{Query: c.query, Batch: b})
	c.mu.Unlock()
	if len(subs) > 0 && !sent {
		c.fail(ResultNotRun, tier.ReasonNoOwner)
	}
	return sent
}

// Cancel cancels one attempt, which then gets no reply.
func (c *Call) Cancel(attempt int) {
	c.mu.Lock()
	_, open := c.unanswered[attempt]
	delete(c.unanswered, attempt)
	x, last := c.mux, len(c.unanswered) == 0
	c.mu.Unlock()
	if !open || x == nil {
		return
	}
	if last {
		x.removeCall(c.query)
	}
	x.out.send(Request{Query: c.query, Cancel: &Cancel{Attempt: attempt}})
}

// deliver passes a reply to the reply function, and returns true if no sub-query is unanswered any
// more.
func (c *Call) deliver(r Reply) bool {
	c.mu.Lock()
	s, open := c.unanswered[r.Attempt]
	open = open && s.Server == r.Server && s.Shard == r.Shard
	if open {
		delete(c.unanswered, r.Attempt)
	}
	last := len(c.unanswered) == 0
	c.mu.Unlock()
	if open {
		c.reply(r)
	}
	return last
}

// fail reports all unanswered sub-queries of a batch with the given result and reason.
func (c *Call) fail(fate Result, reason tier.Reason) {
	c.mu.Lock()
	unanswered := c.unanswered
	c.unanswered = nil
	c.mu.Unlock()
	for _, s := range unanswered {
		c.reply(Reply{Attempt: s.Attempt, Shard: s.Shard, Server: s.Server, Result: fate, Reason: reason})
	}
}
