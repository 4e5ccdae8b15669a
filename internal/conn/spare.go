package conn

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// spareTarget is the number of connections to a server that are set up ahead.
	spareTarget = 2
	// spareLife is how long an unused one is kept.
	spareLife = 10 * time.Second
)

// spares sets connections up ahead of their use: a cancelled request closes
// its connection, and the next one would wait for a new one's set-up.
type spares struct {
	address string

	mu      sync.Mutex
	ready   []spare
	dialing int
	closed  bool
}

type spare struct {
	conn net.Conn
	at   time.Time
}

// dial returns a connection that was set up ahead and still lives, or a new one.
func (s *spares) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		c := s.take()
		if c == nil {
			return (&net.Dialer{Timeout: DialTimeout}).DialContext(ctx, network, address)
		}
		if quiet(c) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (s *spares) take() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ready) > 0 {
		last := s.ready[len(s.ready)-1]
		s.ready = s.ready[:len(s.ready)-1]
		if time.Since(last.at) < spareLife {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

// refill sets connections up in the background until there are enough.
func (s *spares) refill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && len(s.ready)+s.dialing < spareTarget {
		s.dialing++
		go s.add()
	}
}

func (s *spares) add() {
	c, err := (&net.Dialer{Timeout: DialTimeout}).DialContext(context.Background(), "tcp", s.address)
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

// drop closes what is set up; with last, for good.
func (s *spares) drop(last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.ready {
		_ = v.conn.Close()
	}
	s.ready = nil
	s.closed = s.closed || last
}

// quiet reports whether the peer has neither closed a connection nor sent
// anything on it.
func quiet(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = e == unix.EAGAIN
		return true
	})
	return err == nil && alive
}
