package stand

import (
	"net"
	"sync"
	"time"
)

// listener applies the connection limit and the set-up time.
type listener struct {
	net.Listener
	s *server
}

// Accept accepts a connection; one over the limit is closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.s.links.Add(1)
		l.s.noteConns(n)
		if n > int64(l.s.service.Connections) {
			l.s.links.Add(-1)
			_ = c.Close()
			continue
		}
		return &slowConn{Conn: c, s: l.s}, nil
	}
}

func (s *server) noteConns(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.MostConns = max(s.count.MostConns, n)
}

// slowConn delays the first read by the set-up time.
type slowConn struct {
	net.Conn
	s     *server
	begun bool
	once  sync.Once
}

// Read reads after the set-up time.
func (c *slowConn) Read(p []byte) (int, error) {
	if !c.begun {
		c.begun = true
		time.Sleep(millis(c.s.service.NewConnMs))
	}
	return c.Conn.Read(p)
}

// Close closes the connection and frees its place.
func (c *slowConn) Close() error {
	c.once.Do(func() { c.s.links.Add(-1) })
	return c.Conn.Close()
}
