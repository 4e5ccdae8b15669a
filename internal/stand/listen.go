package stand

import (
	"net"
	"slices"
	"sync"
	"time"
)

// limitListener enforces the connection limit and wraps connections to simulate the connection set-up time.
type limitListener struct {
	net.Listener
	s *server
}

// Accept returns the next connection within the limit; connections over the limit are closed at once.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.s.connCount.Add(1)
		l.s.recordConns(n)
		if n > int64(l.s.service.Connections) {
			l.s.connCount.Add(-1)
			_ = c.Close()
			continue
		}
		w := &slowConn{Conn: c, s: l.s}
		if l.s.add(w) {
			return w, nil
		}
		reset(w)
	}
}

func (s *server) recordConns(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.MaxConns = max(s.totals.MaxConns, n)
}

// slowConn delays the first read by the connection set-up time.
type slowConn struct {
	net.Conn
	s       *server
	started bool
	once    sync.Once
}

// Read reads from the connection; the first call sleeps for the set-up time before.
func (c *slowConn) Read(p []byte) (int, error) {
	if !c.started {
		c.started = true
		time.Sleep(millis(c.s.service.NewConnMs))
	}
	return c.Conn.Read(p)
}

// Close closes the connection and stops counting it towards the limit.
func (c *slowConn) Close() error {
	c.once.Do(func() {
		c.s.connCount.Add(-1)
		c.s.remove(c)
	})
	return c.Conn.Close()
}

// add records an open connection; it returns false if the host at its other end is cut off.
func (s *server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutOff(c) {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// cutOff reports whether the host at the other end of a connection is cut off from the server. It is called with mu held.
func (s *server) cutOff(c net.Conn) bool {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	return err == nil && slices.Contains(s.fault.CutFrom, host)
}

// cutConns returns the connections of hosts that are cut off. It is called with mu held.
func (s *server) cutConns() (list []net.Conn) {
	for c := range s.conns {
		if s.cutOff(c) {
			list = append(list, c)
		}
	}
	return list
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if w, ok := c.(*slowConn); ok {
		if t, ok := w.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = c.Close()
}
