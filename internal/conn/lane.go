package conn

import (
	"context"
	"sync"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Ask is one message on a lane from an entry to an owner: a batch, or the
// withdrawal of one attempt of an earlier one.
type Ask struct {
	Query  uint64  `cbor:"1,keyasint"`
	Batch  *Batch  `cbor:"2,keyasint,omitempty"`
	Cancel *Cancel `cbor:"3,keyasint,omitempty"`
}

// Told is one message on a lane from an owner to an entry.
type Told struct {
	Query uint64 `cbor:"1,keyasint"`
	Reply Reply  `cbor:"2,keyasint"`
}

// Lanes carries the batches of all queries: one stream to each owner, which
// stays open. Lock order: mu, then a lane's mu.
type Lanes struct {
	// Mesh carries the streams.
	Mesh *Mesh

	mu    sync.Mutex
	open  map[tier.NodeID]*lane
	query uint64
}

// lane is the stream to one owner.
type lane struct {
	out  *writer
	peer Peer

	mu      sync.Mutex
	pending map[uint64]*Handle
	broken  bool
}

// Handle is one batch under way.
type Handle struct {
	lanes *Lanes
	peer  Peer
	query uint64
	reply func(Reply)

	mu   sync.Mutex
	lane *lane
	left map[int]Sub
}

// Ask sends a batch to an owner and returns at once where the lane is open,
// else it dials on the calling goroutine. reply is called once for each
// sub-query that is not cancelled before; it must not block.
func (l *Lanes) Ask(ctx context.Context, h *Handle, b *Batch) {
	ln, err := l.lane(ctx, h.peer)
	if err != nil || !ln.add(h) {
		h.fail(FateNotRun, tier.ReasonNoOwner)
		return
	}
	if !h.sendOn(ln, b) {
		ln.remove(h.query)
	}
}

// NewHandle prepares a batch, so that it can be cancelled before it is sent.
func (l *Lanes) NewHandle(p Peer, subs []Sub, reply func(Reply)) *Handle {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.query++
	left := make(map[int]Sub, len(subs))
	for _, s := range subs {
		left[s.Attempt] = s
	}
	return &Handle{lanes: l, peer: p, query: l.query, reply: reply, left: left}
}

// Ready reports whether Ask would return at once.
func (l *Lanes) Ready(p Peer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[p.Node].usable(p)
}

func (l *lane) usable(p Peer) bool {
	if l == nil || l.peer != p {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.broken
}

// lane returns the open lane to a peer, or opens one. Where two open one at a
// time, the later one is given up.
func (l *Lanes) lane(ctx context.Context, p Peer) (*lane, error) {
	l.mu.Lock()
	ln := l.open[p.Node]
	l.mu.Unlock()
	if ln.usable(p) {
		return ln, nil
	}
	s, err := l.Mesh.Open(ctx, p, KindQuery)
	if err != nil {
		return nil, err
	}
	fresh := &lane{peer: p, pending: map[uint64]*Handle{}, out: newWriter(s, l.Mesh.Go)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ln := l.open[p.Node]; ln.usable(p) {
		s.Cancel()
		return ln, nil
	}
	if l.open == nil {
		l.open = map[tier.NodeID]*lane{}
	}
	l.open[p.Node] = fresh
	l.Mesh.Go(func() { fresh.receive(s) })
	return fresh, nil
}

// receive passes the replies on until the stream ends; what is pending then may have run.
func (l *lane) receive(s *Stream) {
	for {
		var t Told
		if s.Recv(&t) != nil {
			break
		}
		l.mu.Lock()
		h := l.pending[t.Query]
		l.mu.Unlock()
		if h != nil && h.take(t.Reply) {
			l.remove(t.Query)
		}
	}
	l.out.end()
	l.mu.Lock()
	l.broken = true
	lost := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, h := range lost {
		h.fail(FateFailed, tier.ReasonLost)
	}
}

// add makes a batch known before it is sent; false means that the lane has broken.
func (l *lane) add(h *Handle) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return false
	}
	l.pending[h.query] = h
	return true
}

func (l *lane) remove(query uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, query)
}

// sendOn sends the batch without what was cancelled meanwhile; false means
// that nothing was left or could be sent.
func (h *Handle) sendOn(ln *lane, b *Batch) bool {
	h.mu.Lock()
	subs := b.Subs[:0:0]
	for _, s := range b.Subs {
		if _, open := h.left[s.Attempt]; open {
			subs = append(subs, s)
		}
	}
	b.Subs = subs
	h.lane = ln
	sent := len(subs) > 0 && ln.out.send(Ask{Query: h.query, Batch: b})
	h.mu.Unlock()
	if len(subs) > 0 && !sent {
		h.fail(FateNotRun, tier.ReasonNoOwner)
	}
	return sent
}

// Cancel withdraws one attempt; it gets no reply any more.
func (h *Handle) Cancel(attempt int) {
	h.mu.Lock()
	_, open := h.left[attempt]
	delete(h.left, attempt)
	ln, last := h.lane, len(h.left) == 0
	h.mu.Unlock()
	if !open || ln == nil {
		return
	}
	if last {
		ln.remove(h.query)
	}
	ln.out.send(Ask{Query: h.query, Cancel: &Cancel{Attempt: attempt}})
}

// take passes a reply on; true means that it was the last one.
func (h *Handle) take(r Reply) bool {
	h.mu.Lock()
	s, open := h.left[r.Attempt]
	open = open && s.Server == r.Server && s.Shard == r.Shard
	if open {
		delete(h.left, r.Attempt)
	}
	last := len(h.left) == 0
	h.mu.Unlock()
	if open {
		h.reply(r)
	}
	return last
}

// fail ends what is left of a batch.
func (h *Handle) fail(fate Fate, why tier.Reason) {
	h.mu.Lock()
	left := h.left
	h.left = nil
	h.mu.Unlock()
	for _, s := range left {
		h.reply(Reply{Attempt: s.Attempt, Shard: s.Shard, Server: s.Server, Fate: fate, Reason: why})
	}
}
