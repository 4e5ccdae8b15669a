package conn

import (
	"io"

	"github.com/quic-go/quic-go"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Stream carries frames between two nodes. Send and Recv may run concurrently with each other, but
// neither with itself.
type Stream struct {
	// Peer is the node at the other end.
	Peer tier.NodeID

	qs *quic.Stream
	in *countingReader
	// buf is reused by Send. Its first headBytes bytes are the unsent StreamHeader of a stream just
	// opened, which is sent together with the first frame.
	buf       []byte
	headBytes int
}

func newStream(qs *quic.Stream, peer tier.NodeID) *Stream {
	return &Stream{Peer: peer, qs: qs, in: &countingReader{r: qs}}
}

// Send writes one frame.
func (s *Stream) Send(v any) error {
	b, err := frame.Append(s.buf[:s.headBytes], v)
	if err != nil {
		return err
	}
	s.buf, s.headBytes = b, 0
	_, err = s.qs.Write(b)
	return err
}

// takeHead returns the unsent StreamHeader of a stream just opened, for the first write.
func (s *Stream) takeHead() []byte {
	b := s.buf[:s.headBytes:s.headBytes]
	s.buf, s.headBytes = nil, 0
	return b
}

// write writes frames that are already encoded.
func (s *Stream) write(b []byte) error {
	_, err := s.qs.Write(b)
	return err
}

// Recv reads one frame.
func (s *Stream) Recv(v any) error { return frame.Read(s.in, v) }

// RecvWithin reads one frame that may be long, and reserves what it takes beyond freeBodyBytes in a budget. The error wraps
// ErrNoRoom if there is no room.
func (s *Stream) RecvWithin(v any, b *Budget) (Reservation, error) {
	res, free := Reservation{budget: b}, int64(freeBodyBytes)
	err := frame.ReadWithin(s.in, v, func(n int64) error {
		part := min(n, free)
		free -= part
		return res.grow(n - part)
	})
	if err != nil {
		res.Release()
		return Reservation{}, err
	}
	return res, nil
}

// CloseSend closes the sending side of the stream.
func (s *Stream) CloseSend() { _ = s.qs.Close() }

// Finish ends a stream on which no more messages are expected: it closes the sending side and waits
// until the peer does the same, so that nothing is cancelled.
func (s *Stream) Finish() {
	s.CloseSend()
	_, _ = io.Copy(io.Discard, s.in)
}

// Cancel aborts the stream in both directions.
func (s *Stream) Cancel() {
	s.qs.CancelRead(0)
	s.qs.CancelWrite(0)
}

// Close stops receiving and closes the sending side; what was sent still arrives.
func (s *Stream) Close() {
	s.qs.CancelRead(0)
	_ = s.qs.Close()
}

// Received returns the number of bytes read so far.
func (s *Stream) Received() uint64 { return s.in.count }
