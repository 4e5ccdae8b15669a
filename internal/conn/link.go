package conn

import (
	"context"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

func (m *Mesh) link(p Peer) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[p.Node]
	if l == nil || l.peer.Address != p.Address {
		if l != nil {
			l.close()
		}
		l = &link{mesh: m, peer: p}
		m.links[p.Node] = l
	}
	return l
}

// link is the outgoing connection to one peer.
type link struct {
	mesh *Mesh
	peer Peer

	mu      sync.Mutex
	conn    *quic.Conn
	dialing chan struct{}
}

func (l *link) alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil && l.conn.Context().Err() == nil
}

// get returns the open connection; concurrent callers share one dial.
func (l *link) get(ctx context.Context) (*quic.Conn, error) {
	for {
		l.mu.Lock()
		if l.conn != nil && l.conn.Context().Err() == nil {
			c := l.conn
			l.mu.Unlock()
			return c, nil
		}
		if l.dialing == nil {
			done := make(chan struct{})
			l.dialing = done
			l.mu.Unlock()
			return l.connect(ctx, done)
		}
		wait := l.dialing
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *link) connect(ctx context.Context, done chan struct{}) (*quic.Conn, error) {
	c, err := l.dialOnce(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = nil
	close(done)
	if err == nil {
		l.conn = c
	}
	return c, err
}

func (l *link) dialOnce(ctx context.Context) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	addr, err := net.ResolveUDPAddr("udp", l.peer.Address)
	if err != nil {
		return nil, err
	}
	conf, err := l.mesh.Certs.ClientConfig([]string{protocolName}, string(l.peer.Node))
	if err != nil {
		return nil, err
	}
	return l.mesh.transport.Dial(ctx, addr, conf, quicConfig())
}

// closeConn closes c and removes it from the link if it is still the link's connection.
func (l *link) closeConn(c *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
	}
	_ = c.CloseWithError(0, "retired")
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, "")
		l.conn = nil
	}
}
