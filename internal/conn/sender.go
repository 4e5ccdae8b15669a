package conn

import (
	"context"
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Limits of the queue of one-way messages to a peer.
const (
	senderQueueMessages = 1024
	senderRetryDelay    = 100 * time.Millisecond
)

// payload is a one-way message.
type payload struct {
	Data []byte `cbor:"1,keyasint"`
}

// Sender sends one-way messages over one long-lived stream per peer. A message is lost if the queue
// is full or its stream breaks.
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

// Run lets Send accept messages until ctx ends, then waits until sending has stopped.
func (s *Sender) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.queues = map[tier.NodeID]chan []byte{}
	s.mu.Unlock()
	<-ctx.Done()
	s.wait.Wait()
	return ctx.Err()
}

// Send queues a message, or drops it if the queue is full; it never blocks.
func (s *Sender) Send(to tier.NodeID, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	q := s.queues[to]
	if q == nil {
		q = make(chan []byte, senderQueueMessages)
		s.queues[to] = q
		s.wait.Add(1)
		go s.sendLoop(s.ctx, to, q)
	}
	select {
	case q <- b:
	default:
	}
}

func (s *Sender) sendLoop(ctx context.Context, to tier.NodeID, q chan []byte) {
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
			// The stream may have broken while it was idle: retry on a new one, so that no vote is
			// lost.
			st = s.open(ctx, to)
			if st == nil {
				s.backoff(ctx, q)
			} else if !sendOn(st, b) {
				st = nil
			}
		}
	}
}

// backoff waits before the next dial and drops the messages queued meanwhile: a replica's messages
// are useless when late.
func (s *Sender) backoff(ctx context.Context, q chan []byte) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(senderRetryDelay):
	}
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

// sendOn sends on a stream, if there is one, and cancels the stream if sending fails.
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
