package conn

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// spareTarget is the number of spare connections per server.
	spareTarget = 2
	// maxSpareAge is how long an unused spare connection is kept.
	maxSpareAge = 10 * time.Second
	// serverProtocol is the only protocol offered to servers in the TLS handshake.
	serverProtocol = "http/1.1"
)

// spares opens connections ahead of their use: a cancelled request closes its connection, and the
// next one would have to wait for the setup of a new connection.
type spares struct {
	address string
	// certs is nil for plain connections; service is the name that the server's certificate must
	// contain.
	certs   *Certs
	service tier.Service

	mu      sync.Mutex
	ready   []spare
	dialing int
	closed  bool
}

type spare struct {
	conn     net.Conn
	openedAt time.Time
}

// dial returns a spare connection that is still open, or a new one.
func (s *spares) dial(ctx context.Context) (net.Conn, error) {
	for {
		c := s.take()
		if c == nil {
			return s.open(ctx)
		}
		if isReusable(c) {
			return c, nil
		}
		_ = c.Close()
	}
}

// open opens a connection, with a TLS handshake if certs is set.
func (s *spares) open(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.address)
	if err != nil || s.certs == nil {
		return c, err
	}
	conf, err := s.certs.ClientConfig([]string{serverProtocol}, string(s.service))
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	t := tls.Client(c, conf)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, &handshakeError{tier.At("TLS handshake", s.address, err)}
	}
	return t, nil
}

// handshakeError is a failed TLS handshake: no part of the request was sent.
type handshakeError struct{ err error }

// Error returns the message of the cause.
func (e *handshakeError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *handshakeError) Unwrap() error { return e.err }

func (s *spares) take() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ready) > 0 {
		last := s.ready[len(s.ready)-1]
		s.ready = s.ready[:len(s.ready)-1]
		if time.Since(last.openedAt) < maxSpareAge {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

// refill opens connections in the background until there are spareTarget of them.
func (s *spares) refill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && len(s.ready)+s.dialing < spareTarget {
		s.dialing++
		go s.add()
	}
}

func (s *spares) add() {
	c, err := s.open(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	if err != nil {
		return
	}
	if s.closed {
		_ = c.Close()
		return
	}
	s.ready = append(s.ready, spare{c, time.Now()})
}

// closeAll closes the spare connections. If final is set, no more are opened.
func (s *spares) closeAll(final bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.ready {
		_ = v.conn.Close()
	}
	s.ready = nil
	s.closed = s.closed || final
}

// isReusable reports whether the peer has neither closed a connection nor sent anything on it. No
// session tickets arrive after a TLS handshake, since the client requests none.
func isReusable(c net.Conn) bool {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = e == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}
