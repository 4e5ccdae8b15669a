package conn

import (
	"context"
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Bounds of the queue of one-way messages to a peer.
const (
	senderQueue = 1024
	senderRetry = 100 * time.Millisecond
)

// payload is a one-way message.
type payload struct {
	Data []byte `cbor:"1,keyasint"`
}

// Sender sends one-way messages over a long-lived stream per peer. A message
// that does not fit into the queue, or is on a stream that breaks, is lost.
type Sender struct {
	// Mesh carries the streams.
	Mesh *Mesh
	// Kind is the kind of the streams.
	Kind Kind
	// Resolve returns a peer's address.
	Resolve func(tier.NodeID) (Peer, bool)

	mu     sync.Mutex
	queues map[tier.NodeID]chan []byte
	ctx    context.Context
	wait   sync.WaitGroup
}

// Run keeps the sender going until ctx ends.
func (s *Sender) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.queues = map[tier.NodeID]chan []byte{}
	s.mu.Unlock()
	<-ctx.Done()
	s.wait.Wait()
	return ctx.Err()
}

// Send queues a message; it never blocks.
func (s *Sender) Send(to tier.NodeID, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	q := s.queues[to]
	if q == nil {
		q = make(chan []byte, senderQueue)
		s.queues[to] = q
		s.wait.Add(1)
		go s.pump(s.ctx, to, q)
	}
	select {
	case q <- b:
	default:
	}
}

func (s *Sender) pump(ctx context.Context, to tier.NodeID, q chan []byte) {
	defer s.wait.Done()
	var st *Stream
	for {
		select {
		case <-ctx.Done():
			if st != nil {
				st.Close()
			}
			return
		case b := <-q:
			if sendOn(st, b) {
				continue
			}
			// A stream that broke while nothing was sent must not cost a vote.
			st = s.open(ctx, to)
			if st == nil {
				s.pause(ctx, q)
			} else if !sendOn(st, b) {
				st = nil
			}
		}
	}
}

// pause waits before the next dial and drops what was queued meanwhile: a
// replica's messages are worthless when late.
func (s *Sender) pause(ctx context.Context, q chan []byte) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(senderRetry):
	}
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

// sendOn sends on a stream, if there is one, and cancels it when it has broken.
func sendOn(st *Stream, b []byte) bool {
	if st == nil {
		return false
	}
	if st.Send(payload{b}) != nil {
		st.Cancel()
		return false
	}
	return true
}

func (s *Sender) open(ctx context.Context, to tier.NodeID) *Stream {
	p, ok := s.Resolve(to)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	st, err := s.Mesh.Open(ctx, p, s.Kind)
	if err != nil {
		return nil
	}
	return st
}

// Receive returns a handler that passes each message to f.
func Receive(f func(from tier.NodeID, b []byte)) Handler {
	return func(_ context.Context, s *Stream) {
		for {
			var p payload
			if s.Recv(&p) != nil {
				return
			}
			f(s.Peer, p.Data)
		}
	}
}
