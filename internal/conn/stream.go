package conn

import (
	"io"

	"github.com/quic-go/quic-go"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Stream carries frames between two nodes. Send and Recv may run at the same
// time as each other, but neither at the same time as itself.
type Stream struct {
	// Peer is the node at the other end.
	Peer tier.NodeID

	qs *quic.Stream
	in *countReader
	// buf is reused by Send; its first held bytes, the head of a stream just
	// opened, go out together with the first frame.
	buf  []byte
	held int
}

func newStream(qs *quic.Stream, peer tier.NodeID) *Stream {
	return &Stream{Peer: peer, qs: qs, in: &countReader{r: qs}}
}

// Send writes one frame.
func (s *Stream) Send(v any) error {
	b, err := frame.Append(s.buf[:s.held], v)
	if err != nil {
		return err
	}
	s.buf, s.held = b, 0
	_, err = s.qs.Write(b)
	return err
}

// takeHead returns the head of a stream just opened, for the first write.
func (s *Stream) takeHead() []byte {
	b := s.buf[:s.held:s.held]
	s.buf, s.held = nil, 0
	return b
}

// write writes frames that are encoded already.
func (s *Stream) write(b []byte) error {
	_, err := s.qs.Write(b)
	return err
}

// Recv reads one frame.
func (s *Stream) Recv(v any) error { return frame.Read(s.in, v) }

// CloseSend tells the peer that nothing more will be sent.
func (s *Stream) CloseSend() { _ = s.qs.Close() }

// Finish ends a stream on which all has been received that will come: both
// ends close it, and nothing is cancelled.
func (s *Stream) Finish() {
	s.CloseSend()
	_, _ = io.Copy(io.Discard, s.in)
}

// Cancel ends the stream in both directions at once.
func (s *Stream) Cancel() {
	s.qs.CancelRead(0)
	s.qs.CancelWrite(0)
}

// Close ends the stream; what was sent still arrives.
func (s *Stream) Close() {
	s.qs.CancelRead(0)
	_ = s.qs.Close()
}

// Received returns the bytes read so far.
func (s *Stream) Received() uint64 { return s.in.n }
