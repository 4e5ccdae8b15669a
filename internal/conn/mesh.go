package conn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Protocol name and limits of the links between nodes.
const (
	protocolName = "sassafrasring/1"
	// LinkKeepAlive is the interval of keep-alive packets on an idle link.
	LinkKeepAlive = time.Second
	// LinkIdleTimeout is how long a link may receive nothing before it is closed.
	LinkIdleTimeout = 3 * time.Second
	// DialTimeout bounds the setup of a link.
	DialTimeout = 2 * time.Second
	// maxStreams bounds the concurrent streams that one peer may open.
	maxStreams = 16384
)

// Kind is the purpose of a stream between nodes.
type Kind string

// StreamHeader is the first frame on every stream.
type StreamHeader struct {
	Kind Kind        `cbor:"1,keyasint"`
	From tier.NodeID `cbor:"2,keyasint"`
}

// Handler serves one stream; the stream is closed when it returns.
type Handler func(ctx context.Context, s *Stream)

// Peer is a node and its address for links.
type Peer struct {
	Node    tier.NodeID `json:"node" doc:"Name of the node." allow:"1 to 63 letters, digits and dashes"`
	Address string      `json:"peer" doc:"Its address for nodes." allow:"ip:port"`
}

// Mesh is a node's QUIC endpoint: it listens for peers and dials them on demand. Lock order: mu,
// then a link's mu.
type Mesh struct {
	// Self is the node's ID, which its certificate must contain as a DNS name.
	Self tier.NodeID
	// Listen is the UDP address to listen on.
	Listen string
	// Certs holds the node's certificate and the CA of its peers.
	Certs *Certs
	// Handlers maps each stream kind to its handler.
	Handlers map[Kind]Handler
	// Wrap, if not nil, wraps the UDP socket, for example to count or drop packets.
	Wrap func(net.PacketConn) net.PacketConn
	// OnAuthFailure, if not nil, is called when a peer fails authentication.
	OnAuthFailure func(err error)

	mu        sync.Mutex
	transport *quic.Transport
	listener  *quic.Listener
	links     map[tier.NodeID]*link
	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup
}

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:       LinkKeepAlive,
		MaxIdleTimeout:        LinkIdleTimeout,
		HandshakeIdleTimeout:  DialTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: maxStreams,
	}
}

// Start opens the UDP socket and starts to accept links.
func (m *Mesh) Start(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp", m.Listen)
	if err != nil {
		return tier.At("resolve peer address", m.Listen, err)
	}
	sock, err := net.ListenUDP("udp", addr)
	if err != nil {
		return tier.At("listen for peers", m.Listen, err)
	}
	m.transport = &quic.Transport{Conn: sock}
	if m.Wrap != nil {
		m.transport.Conn = m.Wrap(sock)
	}
	m.listener, err = m.transport.Listen(m.Certs.ServerConfig([]string{protocolName}, true), quicConfig())
	if err != nil {
		_ = sock.Close()
		return tier.At("listen for peers", m.Listen, err)
	}
	m.links = map[tier.NodeID]*link{}
	m.ctx, m.cancel = context.WithCancel(ctx)
	m.Go(m.accept)
	return nil
}

// Close closes all links and waits for the handlers.
func (m *Mesh) Close() error {
	m.cancel()
	m.mu.Lock()
	for _, l := range m.links {
		l.close()
	}
	m.mu.Unlock()
	err := m.listener.Close()
	if e := m.transport.Close(); err == nil {
		err = e
	}
	m.wait.Wait()
	if e := m.transport.Conn.Close(); err == nil {
		err = e
	}
	return err
}

func (m *Mesh) accept() {
	for {
		c, err := m.listener.Accept(m.ctx)
		if err != nil {
			if m.ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return
			}
			continue
		}
		m.Go(func() { m.serve(c) })
	}
}

// serve accepts the streams of one connection until it ends.
func (m *Mesh) serve(c *quic.Conn) {
	from, err := peerName(c)
	if err != nil {
		if m.OnAuthFailure != nil {
			m.OnAuthFailure(tier.At("authenticate peer", c.RemoteAddr().String(), err))
		}
		_ = c.CloseWithError(1, "no name in certificate")
		return
	}
	defer func() { _ = c.CloseWithError(0, "") }()
	for {
		s, err := c.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.Go(func() { m.handle(c.Context(), newStream(s, from)) })
	}
}

func peerName(c *quic.Conn) (tier.NodeID, error) {
	certs := c.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 || len(certs[0].DNSNames) == 0 {
		return "", errors.New("certificate contains no DNS name")
	}
	return tier.NodeID(certs[0].DNSNames[0]), nil
}

func (m *Mesh) handle(ctx context.Context, s *Stream) {
	defer s.Close()
	var h StreamHeader
	if err := s.Recv(&h); err != nil {
		return
	}
	f := m.Handlers[h.Kind]
	if f == nil {
		s.Cancel()
		return
	}
	f(ctx, s)
}

// Open opens a stream of the given kind to a peer and dials the peer if there is no link.
func (m *Mesh) Open(ctx context.Context, p Peer, kind Kind) (*Stream, error) {
	l := m.link(p)
	c, err := l.get(ctx)
	if err != nil {
		return nil, tier.At("dial", string(p.Node), err)
	}
	qs, err := c.OpenStreamSync(ctx)
	if err != nil {
		if ctx.Err() == nil {
			l.closeConn(c)
		}
		return nil, tier.At("open stream", string(p.Node), err)
	}
	s := newStream(qs, p.Node)
	s.buf, err = frame.Append(nil, StreamHeader{Kind: kind, From: m.Self})
	s.headBytes = len(s.buf)
	return s, tier.At("open stream", string(p.Node), err)
}

// Call sends one request and reads one answer on a new stream. The stream is cancelled when ctx
// ends.
func (m *Mesh) Call(ctx context.Context, p Peer, kind Kind, req, resp any) error {
	s, err := m.Open(ctx, p, kind)
	if err != nil {
		return err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	if err := s.Send(req); err != nil {
		return tier.At("send "+string(kind), string(p.Node), err)
	}
	if err := s.Recv(resp); err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return tier.At("await "+string(kind), string(p.Node), err)
	}
	return nil
}

// Go runs f in a goroutine. f must end when its link or stream does; Close waits for it.
func (m *Mesh) Go(f func()) {
	m.wait.Add(1)
	go func() {
		defer m.wait.Done()
		f()
	}()
}

// Links returns the number of peers with an open link.
func (m *Mesh) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, l := range m.links {
		if l.alive() {
			n++
		}
	}
	return n
}

// CloseLink closes the link to a peer; the next use dials again.
func (m *Mesh) CloseLink(id tier.NodeID) {
	m.mu.Lock()
	l := m.links[id]
	m.mu.Unlock()
	if l != nil {
		l.close()
	}
}
