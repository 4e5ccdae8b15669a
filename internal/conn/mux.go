package conn

import (
	"context"
	"sync"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Request is one message on a multiplexed stream from an entry to an owner: a batch, or the
// withdrawal of one attempt of an earlier one.
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

// Muxes carries the batches of all queries: one multiplexed stream to each
// owner, which stays open. Lock order: mu, then a mux's mu.
type Muxes struct {
	// Mesh carries the streams.
	Mesh *Mesh

	mu    sync.Mutex
	open  map[tier.NodeID]*mux
	query uint64
}

// mux is the stream to one owner.
type mux struct {
	out  *outbox
	peer Peer

	mu      sync.Mutex
	pending map[uint64]*Call
	broken  bool
}

// Call is one batch under way.
type Call struct {
	muxes *Muxes
	peer  Peer
	query uint64
	reply func(Reply)

	mu   sync.Mutex
	mux  *mux
	left map[int]Sub
}

// Send sends a batch to an owner and returns at once where the mux is open,
// else it dials on the calling goroutine. reply is called once for each
// sub-query that is not cancelled before; it must not block.
func (m *Muxes) Send(ctx context.Context, c *Call, b *Batch) {
	x, err := m.mux(ctx, c.peer)
	if err != nil || !x.add(c) {
		c.fail(FateNotRun, tier.ReasonNoOwner)
		return
	}
	if !c.sendOn(x, b) {
		x.remove(c.query)
	}
}

// NewCall prepares a batch, so that it can be cancelled before it is sent.
func (m *Muxes) NewCall(p Peer, subs []Sub, reply func(Reply)) *Call {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.query++
	left := make(map[int]Sub, len(subs))
	for _, s := range subs {
		left[s.Attempt] = s
	}
	return &Call{muxes: m, peer: p, query: m.query, reply: reply, left: left}
}

// Ready reports whether Send would return at once.
func (m *Muxes) Ready(p Peer) bool {
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

// mux returns the open mux to a peer, or opens one. Where two open one at a
// time, the later one is given up.
func (m *Muxes) mux(ctx context.Context, p Peer) (*mux, error) {
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

// receive passes the replies on until the stream ends; what is pending then may have run.
func (x *mux) receive(s *Stream) {
	for {
		var t Response
		if s.Recv(&t) != nil {
			break
		}
		x.mu.Lock()
		h := x.pending[t.Query]
		x.mu.Unlock()
		if h != nil && h.take(t.Reply) {
			x.remove(t.Query)
		}
	}
	x.out.end()
	x.mu.Lock()
	x.broken = true
	lost := x.pending
	x.pending = nil
	x.mu.Unlock()
	for _, h := range lost {
		h.fail(FateFailed, tier.ReasonLost)
	}
}

// add makes a batch known before it is sent; false means that the mux has broken.
func (x *mux) add(c *Call) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.broken {
		return false
	}
	x.pending[c.query] = c
	return true
}

func (x *mux) remove(query uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.pending, query)
}

// sendOn sends the batch without what was cancelled meanwhile; false means
// that nothing was left or could be sent.
func (c *Call) sendOn(x *mux, b *Batch) bool {
	c.mu.Lock()
	subs := b.Subs[:0:0]
	for _, s := range b.Subs {
		if _, open := c.left[s.Attempt]; open {
			subs = append(subs, s)
		}
	}
	b.Subs = subs
	c.mux = x
	sent := len(subs) > 0 && x.out.send(Request{Query: c.query, Batch: b})
	c.mu.Unlock()
	if len(subs) > 0 && !sent {
		c.fail(FateNotRun, tier.ReasonNoOwner)
	}
	return sent
}

// Cancel withdraws one attempt; it gets no reply any more.
func (c *Call) Cancel(attempt int) {
	c.mu.Lock()
	_, open := c.left[attempt]
	delete(c.left, attempt)
	x, last := c.mux, len(c.left) == 0
	c.mu.Unlock()
	if !open || x == nil {
		return
	}
	if last {
		x.remove(c.query)
	}
	x.out.send(Request{Query: c.query, Cancel: &Cancel{Attempt: attempt}})
}

// take passes a reply on; true means that it was the last one.
func (c *Call) take(r Reply) bool {
	c.mu.Lock()
	s, open := c.left[r.Attempt]
	open = open && s.Server == r.Server && s.Shard == r.Shard
	if open {
		delete(c.left, r.Attempt)
	}
	last := len(c.left) == 0
	c.mu.Unlock()
	if open {
		c.reply(r)
	}
	return last
}

// fail ends what is left of a batch.
func (c *Call) fail(fate Fate, why tier.Reason) {
	c.mu.Lock()
	left := c.left
	c.left = nil
	c.mu.Unlock()
	for _, s := range left {
		c.reply(Reply{Attempt: s.Attempt, Shard: s.Shard, Server: s.Server, Fate: fate, Reason: why})
	}
}
