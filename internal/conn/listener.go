package conn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// drainPoll is the interval at which Drain looks for connections that are still open.
	drainPoll = 10 * time.Millisecond
	// firstRequestGrace is how long Drain waits for the first request on a new connection: a caller
	// that has just connected sends it within a round trip.
	firstRequestGrace = 500 * time.Millisecond
	// The queue of connections counts as empty after emptyQueuePolls looks, queuePoll apart.
	emptyQueuePolls = 2
	queuePoll       = time.Millisecond
)

// DrainListener lets an http.Server stop without cutting off requests. http.Server.Shutdown closes the
// listening socket, which resets the connections that wait to be accepted, and it closes without an
// answer each connection on which a request arrives from then on. Drain takes its place. Lock order:
// mu, then a connection's mu.
type DrainListener struct {
	// base is the listening socket; inner accepts from it, possibly with a limit of connections.
	base  *recordingListener
	inner net.Listener

	mu       sync.Mutex
	stopping bool
	// ended is set once Accept has returned all connections.
	ended  bool
	closed chan struct{}
	conns  map[*drainConn]bool
}

// Listen listens on a TCP address. limit, if not nil, returns a listener that bounds the number of
// connections.
func Listen(address string, limit func(net.Listener) net.Listener) (*DrainListener, error) {
	var conf net.ListenConfig
	// Multipath TCP sockets take no filter (see refuseHandshakes).
	conf.SetMultipathTCP(false)
	sock, err := conf.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, tier.At("listen", address, err)
	}
	base := &recordingListener{TCPListener: sock.(*net.TCPListener)}
	l := &DrainListener{base: base, inner: base, closed: make(chan struct{}), conns: map[*drainConn]bool{}}
	if limit != nil {
		l.inner = limit(base)
	}
	return l, nil
}

// Accept returns the next connection. Once the server drains and all connections have been returned,
// it waits until Close.
func (l *DrainListener) Accept() (net.Conn, error) {
	c, err := l.inner.Accept()
	if err == nil {
		return l.track(c), nil
	}
	if errors.Is(err, net.ErrClosed) && l.endAccept() {
		<-l.closed
	}
	return nil, err
}

// endAccept records that no more connections will come, and reports whether the server drains.
func (l *DrainListener) endAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	return l.stopping
}

func (l *DrainListener) track(c net.Conn) net.Conn {
	d := &drainConn{Conn: c, sock: l.base.last, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[d] = true
	return d
}

// Addr returns the listener's address.
func (l *DrainListener) Addr() net.Addr { return l.base.Addr() }

// Close closes the listener at once.
func (l *DrainListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return nil
	default:
	}
	close(l.closed)
	if l.stopping {
		return nil
	}
	return l.inner.Close()
}

// Drain stops listening, and waits until the requests on all established connections have been
// answered or ctx ends. The server goes on until its Close.
func (l *DrainListener) Drain(ctx context.Context, srv *http.Server) {
	l.stopAccepting(ctx)
	srv.SetKeepAlivesEnabled(false)
	began := time.Now()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for l.closeUnused(time.Since(began) > firstRequestGrace) {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// closeUnused closes the connections that carry no request, new ones only if asked for, and reports
// whether others are left.
func (l *DrainListener) closeUnused(alsoNew bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.unused(alsoNew) {
			delete(l.conns, c)
			_ = c.Conn.Close()
		}
	}
	return len(l.conns) > 0 || !l.ended
}

// stopAccepting closes the listening socket once no connection waits to be accepted.
func (l *DrainListener) stopAccepting(ctx context.Context) {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	if raw, err := l.base.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { refuseHandshakes(int(fd)) })
		for empty := 0; empty < emptyQueuePolls && ctx.Err() == nil; time.Sleep(queuePoll) {
			empty++
			_ = raw.Control(func(fd uintptr) {
				if hasWaitingConn(int(fd)) {
					empty = 0
				}
			})
		}
	}
	_ = l.inner.Close()
}

// refuseHandshakes drops the first packets of new connections, so that none is established between
// the last look at the queue and the end of the socket. Where the system cannot do that, a connection
// of that moment is reset.
func refuseHandshakes(fd int) {
	const (
		flagsOffset = 13
		syn, ack    = 0x02, 0x10
		all         = 0xffffffff
	)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: syn | ack},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: all},
	}
	_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
}

// hasWaitingConn reports whether a connection waits to be accepted.
func hasWaitingConn(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0
}

// ConnState follows the states of the connections; set it as http.Server.ConnState.
func (l *DrainListener) ConnState(c net.Conn, s http.ConnState) {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	if d, ok := c.(*drainConn); ok {
		d.setState(s)
	}
	if k := callerOf(c); k != nil {
		k.SetState(s)
	}
}

// recordingListener keeps the socket of the last connection, which a listener with a limit hides. Only
// one goroutine accepts.
type recordingListener struct {
	*net.TCPListener
	last *net.TCPConn
}

// Accept returns the next connection.
func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.last = c
	return c, nil
}

// drainConn is a connection of a DrainListener; sock is its socket.
type drainConn struct {
	net.Conn
	sock     *net.TCPConn
	listener *DrainListener

	mu    sync.Mutex
	state http.ConnState
	// arrived is set once a byte of the next request was read, kept once the server closed the
	// connection nevertheless.
	arrived, kept bool
}

// Read reads from the connection.
func (c *drainConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.arrived = true
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite ends the sending side: http.Server waits after it, so that an answer to a request that it
// has not read to the end is not lost by a reset.
func (c *drainConn) CloseWrite() error { return c.sock.CloseWrite() }

func (c *drainConn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	if s == http.StateIdle {
		c.arrived = false
	}
}

// unused reports whether no request has begun to arrive on the connection.
func (c *drainConn) unused(alsoNew bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.state == http.StateIdle || (alsoNew && c.state == http.StateNew)
	return waiting && !c.arrived && !hasPending(c.sock)
}

// Close closes the connection. While the listener drains, the first Close of an idle connection on
// which a request has begun to arrive does nothing: the server answers that request and closes the
// connection again.
func (c *drainConn) Close() error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping && c.keep() {
		return nil
	}
	delete(l.conns, c)
	return c.Conn.Close()
}

func (c *drainConn) keep() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept || c.state != http.StateIdle || (!c.arrived && !hasPending(c.sock)) {
		return false
	}
	c.kept = true
	return true
}

// hasPending reports whether bytes have arrived on a connection that nobody has read. Unlike
// isReusable it does not wait for a concurrent read.
func hasPending(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
